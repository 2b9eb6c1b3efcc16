//! What servers bring: answers, in no protocol's words.

use bytes::Bytes;
use stonevane_policy::{AttemptStatus, CacheStatus, LoadReport, RequestId};

/// Names a connection of either side; never used twice.
pub type ConnId = u64;
/// Names an attempt: its request and its number.
pub type AttemptKey = (RequestId, u16);

/// What a server sent can't be understood; the connection is of no more use.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct Broken;

/// An answer of a server.
#[derive(Debug, PartialEq)]
pub struct Reply {
    /// How the attempt ended.
    pub status: AttemptStatus,
    /// What was said of the key.
    pub note: CacheStatus,
    /// The load report.
    pub load: LoadReport,
    /// The value or the receipt.
    pub value: Option<Bytes>,
    /// Of a miss: the version of the key that the cache was told of last, where it says so; else 0. What is older than
    /// this was edited before the request was asked.
    pub at_least: u64,
    /// Whether the connection can carry another request.
    pub keep: bool,
}

impl Reply {
    /// One that says no more than how it ended.
    pub fn bare(status: AttemptStatus, keep: bool) -> Reply {
        Reply { status, note: CacheStatus::None, load: LoadReport::default(), value: None, at_least: 0, keep }
    }
}
