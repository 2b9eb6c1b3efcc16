//! Values of arguments.

use std::net::SocketAddr;
use std::num::ParseIntError;
use std::ops::RangeInclusive;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::filter::ParseError;

/// Why an argument's value can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ArgumentError {
    /// A seed is no number.
    #[error("{0}")]
    Seed(#[from] ParseIntError),
    /// The first seed is greater than the last.
    #[error("the first seed is behind the last")]
    SeedOrder,
    /// A share is none.
    #[error("a part from 0 to 1")]
    Share,
    /// A number is not above 0.
    #[error("a number above 0")]
    Positive,
    /// A name is none of those known.
    #[error("one of {known}")]
    UnknownName {
        /// All names.
        known: String,
    },
    /// A deliberate fault does not exist.
    #[error("no such mutant; `{command}` lists them")]
    UnknownMutant {
        /// The command that lists those that do.
        command: &'static str,
    },
    /// A server has no `=`.
    #[error("not like NAME=ADDRESS")]
    NamedAddress,
    /// An address is none.
    #[error("`{0}` is no address")]
    Address(String),
}

/// Reads log levels.
pub fn log_levels(text: &str) -> Result<EnvFilter, ParseError> {
    text.parse()
}

/// Reads `A..B`, the last one included, or one seed.
pub fn seeds(text: &str) -> Result<RangeInclusive<u64>, ArgumentError> {
    let seed = |text: &str| text.trim_start_matches('=').parse::<u64>();
    let (first, last) = match text.split_once("..") {
        Some((first, last)) => (seed(first)?, seed(last)?),
        None => (seed(text)?, seed(text)?),
    };
    if first <= last { Ok(first..=last) } else { Err(ArgumentError::SeedOrder) }
}

/// Reads a share from 0 to 1.
pub fn share(text: &str) -> Result<f64, ArgumentError> {
    let share = text.parse().ok().filter(|share| (0.0..=1.0).contains(share));
    share.ok_or(ArgumentError::Share)
}

/// Reads a finite number above 0.
pub fn positive(text: &str) -> Result<f64, ArgumentError> {
    let number = text.parse().ok().filter(|number: &f64| *number > 0.0 && number.is_finite());
    number.ok_or(ArgumentError::Positive)
}

/// Reads a server, `NAME=ADDRESS`.
pub fn named_address(text: &str) -> Result<(String, SocketAddr), ArgumentError> {
    let (name, address) = text.split_once('=').ok_or(ArgumentError::NamedAddress)?;
    let address = address.parse().map_err(|_| ArgumentError::Address(address.to_owned()))?;
    Ok((name.into(), address))
}
