//! Replies of servers, independent of the protocol that carried them.

use bytes::Bytes;
use stonevane_policy::{AttemptStatus, CacheStatus, LoadReport, RequestId};

/// Names a connection to a client or to a server; never reused.
pub type ConnId = u64;

/// Names an attempt. Keys order by request, then by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// Its number among the request's attempts, from 0 on.
    pub number: u16,
}

/// The bytes of a server follow no protocol that is spoken here; its connection can't be used any more.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct MalformedReply;

/// A server's reply to one attempt.
#[derive(Debug, PartialEq)]
pub struct Reply {
    /// How the attempt ended.
    pub status: AttemptStatus,
    /// What the server said of the key in its cache.
    pub cache_status: CacheStatus,
    /// The server's load report.
    pub load: LoadReport,
    /// The value of a read or the receipt of a write.
    pub value: Option<Bytes>,
    /// Of a miss: the newest version of the key that the cache has been notified of; 0 where it names none. An older
    /// version was overwritten before the request was sent.
    pub min_version: u64,
    /// Whether the connection can carry another request.
    pub reusable: bool,
}

impl Reply {
    /// A reply that says no more than how the attempt ended.
    pub fn of_status(status: AttemptStatus, reusable: bool) -> Reply {
        Reply {
            status,
            cache_status: CacheStatus::None,
            load: LoadReport::default(),
            value: None,
            min_version: 0,
            reusable,
        }
    }
}
