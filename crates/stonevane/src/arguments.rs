//! Parsers of argument values, for clap.

use std::net::SocketAddr;
use std::num::ParseIntError;
use std::ops::RangeInclusive;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::filter::ParseError;

/// An argument value that can't be used. Clap prints the flag and the value before the error's text.
#[derive(Debug, thiserror::Error)]
pub enum ArgumentError {
    /// A seed is not a whole number.
    #[error("expected a seed or a range of seeds `A..B`: {0}")]
    Seed(#[from] ParseIntError),
    /// The first seed is greater than the last.
    #[error("the first seed must not be greater than the last")]
    SeedOrder,
    /// A share is not a number from 0 to 1.
    #[error("must be a number from 0 to 1")]
    Share,
    /// A number is not finite, or not above 0.
    #[error("must be a finite number above 0")]
    Positive,
    /// A name is unknown.
    #[error("must be one of {known}")]
    UnknownName {
        /// All accepted names, separated by commas.
        known: String,
    },
    /// A mutant is unknown.
    #[error("no such mutant; `{command}` lists them")]
    UnknownMutant {
        /// The command that lists the known mutants.
        command: &'static str,
    },
    /// A `NAME=ADDRESS` value has no `=`.
    #[error("must have the form NAME=ADDRESS, for example s-1=127.0.0.1:7001")]
    NamedAddress,
    /// An address is not an IP address with a port.
    #[error("`{0}` is not an address of the form IP:PORT")]
    Address(String),
}

/// Parses log levels: one level for all packages, or levels by package, for example
/// `warn,stonevane_emulators=debug`.
pub fn log_levels(text: &str) -> Result<EnvFilter, ParseError> {
    text.parse()
}

/// Parses a range of seeds `A..B` (both ends included; `A..=B` means the same), or a single seed.
pub fn seeds(text: &str) -> Result<RangeInclusive<u64>, ArgumentError> {
    let seed = |text: &str| text.trim_start_matches('=').parse::<u64>();
    let (first, last) = match text.split_once("..") {
        Some((first, last)) => (seed(first)?, seed(last)?),
        None => (seed(text)?, seed(text)?),
    };
    if first <= last { Ok(first..=last) } else { Err(ArgumentError::SeedOrder) }
}

/// Parses a share from 0 to 1.
pub fn share(text: &str) -> Result<f64, ArgumentError> {
    let share = text.parse().ok().filter(|share| (0.0..=1.0).contains(share));
    share.ok_or(ArgumentError::Share)
}

/// Parses a finite number above 0.
pub fn positive(text: &str) -> Result<f64, ArgumentError> {
    let number = text.parse().ok().filter(|number: &f64| *number > 0.0 && number.is_finite());
    number.ok_or(ArgumentError::Positive)
}

/// Parses the name and the address of a server, `NAME=ADDRESS`.
pub fn named_address(text: &str) -> Result<(String, SocketAddr), ArgumentError> {
    let (name, address) = text.split_once('=').ok_or(ArgumentError::NamedAddress)?;
    let address = address.parse().map_err(|_| ArgumentError::Address(address.to_owned()))?;
    Ok((name.into(), address))
}
