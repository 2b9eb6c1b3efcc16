//! Figures of a run, from its history.

mod figure;
mod reader;

use std::collections::BTreeMap;
use std::io::BufRead;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use stonevane_audit::{HistoryError, history};

use self::reader::Reader;

/// The width of an interval, in microseconds.
pub const INTERVAL_US: u64 = 250_000;
/// The longest time that a histogram holds, in microseconds.
const MAX_TIME_US: u64 = 120_000_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 3;

/// What became of one class's requests; times in milliseconds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Requests.
    pub asked: u64,
    /// Answered with a value.
    pub served: u64,
    /// Rejected.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// The median time of served requests.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
    /// The percentiles 0, 2, 4 ... 100.
    pub marks_ms: Vec<f64>,
    /// Times in microseconds.
    #[serde(skip)]
    times: Times,
}

/// A histogram of times, in microseconds.
#[derive(Debug, Clone)]
struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        // The bounds are constants that the library takes; the other histogram grows by itself.
        Times(Histogram::new_with_bounds(1, MAX_TIME_US, DIGITS).unwrap_or_else(|_| {
            let mut growing = Histogram::new(DIGITS).unwrap_or_else(|_| unreachable!("valid digits"));
            growing.auto(true);
            growing
        }))
    }
}

impl Times {
    fn record(&mut self, us: u64) {
        self.0.saturating_record(us);
    }

    /// A quantile in milliseconds; 0 of none.
    fn quantile_ms(&self, quantile: f64) -> f64 {
        match self.0.len() {
            0 => 0.0,
            _ => self.0.value_at_quantile(quantile) as f64 / 1e3,
        }
    }
}

/// What a server was sent, against its limit.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ServerFigures {
    /// Attempts.
    pub attempts: u64,
    /// Attempts rejected as busy.
    pub busy: u64,
    /// Misses.
    pub misses: u64,
    /// The most work in a second, as a share of its capacity.
    pub peak: f64,
    /// While it warmed up: the most work in a window of the rule, as a share of what the rule allows.
    pub cold_peak: f64,
    /// Times that it became overloaded or stopped.
    pub falls: u64,
}

/// What happened in an interval of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    /// Requests sent in it.
    pub asked: u64,
    /// Of these, how many were served.
    pub served: u64,
    /// Of these, how many were rejected.
    pub refused: u64,
    /// Of these, how many failed.
    pub failed: u64,
    /// Work sent to the origin, as a share of its capacity.
    pub origin: f64,
    /// Work sent to the coldest server, as a share of what the rule allows.
    pub coldest: f64,
}

/// Calls to discovery. Serialized as a list of three.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 3]", into = "[u64; 3]")]
pub struct DiscoveryCalls {
    /// All calls.
    pub calls: u64,
    /// Calls that were rejected.
    pub rejected: u64,
    /// Of these, how many followed a rejected call of the same node.
    pub rejected_again: u64,
}

impl From<[u64; 3]> for DiscoveryCalls {
    fn from([calls, rejected, rejected_again]: [u64; 3]) -> DiscoveryCalls {
        DiscoveryCalls { calls, rejected, rejected_again }
    }
}

impl From<DiscoveryCalls> for [u64; 3] {
    fn from(calls: DiscoveryCalls) -> [u64; 3] {
        [calls.calls, calls.rejected, calls.rejected_again]
    }
}

/// All figures of a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Summary {
    /// By class.
    pub classes: BTreeMap<String, ClassFigures>,
    /// By server.
    pub servers: BTreeMap<String, ServerFigures>,
    /// The intervals of the run.
    pub steps: Vec<Interval>,
    /// Faults, in seconds from the start of the load.
    pub faults: Vec<(f64, String)>,
    /// From the end of the last fault until service had recovered, in milliseconds; `None` where it never did.
    pub recovery_ms: Option<f64>,
    /// Attempts at all servers.
    pub attempts: u64,
    /// Calls to discovery.
    #[serde(default)]
    pub list_calls: DiscoveryCalls,
    /// Reads of the store of record, where it is an emulator.
    #[serde(default)]
    pub store_queries: Option<u64>,
}

/// Figures of a history.
///
/// # Errors
/// [`HistoryError`] as for [`stonevane_audit::audit`].
pub fn summarise(text: impl BufRead) -> Result<Summary, HistoryError> {
    let mut reader = Reader::default();
    history::read(text, |_, record| reader.read(&record))?;
    Ok(reader.finish())
}
