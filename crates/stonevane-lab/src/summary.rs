//! Figures of a run, computed from its history.

mod figure;
mod reader;

use std::collections::BTreeMap;
use std::io::BufRead;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use stonevane_audit::{HistoryError, history};

use self::reader::Reader;

/// Length of an interval of a run, in microseconds.
pub const INTERVAL_US: u64 = 250_000;
/// Longest time that a histogram records, in microseconds; longer ones count as this.
const MAX_TIME_US: u64 = 120_000_000;
/// Precision of a histogram, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcomes and response times of one class's requests. Times are those of served requests, in milliseconds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Requests sent.
    pub asked: u64,
    /// Requests answered with a value.
    pub served: u64,
    /// Requests rejected.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Median time.
    pub p50_ms: f64,
    /// 99th percentile of the time.
    pub p99_ms: f64,
    /// 99.9th percentile of the time.
    pub p999_ms: f64,
    /// Percentiles 0, 2, 4 ... 100 of the time.
    pub marks_ms: Vec<f64>,
    #[serde(skip)]
    times: Times,
}

/// A histogram of times, in microseconds.
#[derive(Debug, Clone)]
struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        // The library accepts these constant bounds; the fallback resizes itself.
        Times(Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS).unwrap_or_else(|_| {
            let mut growing =
                Histogram::new(SIGNIFICANT_DIGITS).unwrap_or_else(|_| unreachable!("valid digits"));
            growing.auto(true);
            growing
        }))
    }
}

impl Times {
    fn record(&mut self, us: u64) {
        self.0.saturating_record(us);
    }

    /// Returns a quantile in milliseconds; 0 if no time was recorded.
    fn quantile_ms(&self, quantile: f64) -> f64 {
        match self.0.len() {
            0 => 0.0,
            _ => self.0.value_at_quantile(quantile) as f64 / 1e3,
        }
    }
}

/// Load on a server, relative to its limits.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ServerFigures {
    /// Attempts received.
    pub attempts: u64,
    /// Attempts rejected as busy.
    pub busy: u64,
    /// Attempts that missed.
    pub misses: u64,
    /// Highest work in one second, as a share of the work that the server can do in a second. For the origin,
    /// measured over the window of its overload rule instead.
    pub peak: f64,
    /// Highest work in one window of the slow-start rule while the server warmed up, as a share of the work
    /// that the rule allows.
    pub cold_peak: f64,
    /// Number of times that the server became overloaded or stopped.
    pub falls: u64,
}

/// Request outcomes and server load in one interval of a run. A request counts in the interval in which it
/// was sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    /// Requests sent in the interval.
    pub asked: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Work sent to the origin, as a share of its capacity in the interval.
    pub origin: f64,
    /// Highest load on a server that warms up, as a share of what the slow-start rule allows.
    pub coldest: f64,
}

/// Counts of calls to discovery. Serialized as a list of three numbers in the order of the fields.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 3]", into = "[u64; 3]")]
pub struct DiscoveryCalls {
    /// All calls.
    pub calls: u64,
    /// Calls that were rejected.
    pub rejected: u64,
    /// Rejected calls that directly followed another rejected call of the same node.
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
    /// Figures by class name.
    pub classes: BTreeMap<String, ClassFigures>,
    /// Figures by server name.
    pub servers: BTreeMap<String, ServerFigures>,
    /// Intervals of the run, each [`INTERVAL_US`] long, from the start of the load.
    pub steps: Vec<Interval>,
    /// Faults as recorded: seconds from the start of the load, and label.
    pub faults: Vec<(f64, String)>,
    /// Time from the last recorded fault event until service had recovered, in milliseconds; `None` if it did
    /// not.
    pub recovery_ms: Option<f64>,
    /// Attempts at all servers.
    pub attempts: u64,
    /// Calls to discovery.
    #[serde(default)]
    pub list_calls: DiscoveryCalls,
    /// Reads of the store of record; `None` if it is not an emulator.
    #[serde(default)]
    pub store_queries: Option<u64>,
}

/// Computes the figures of a history.
///
/// # Errors
/// [`HistoryError`] as for [`stonevane_audit::audit`].
pub fn summarise(text: impl BufRead) -> Result<Summary, HistoryError> {
    let mut reader = Reader::default();
    history::read(text, |_, record| reader.read(&record))?;
    Ok(reader.finish())
}
