//! Replies from servers, independent of the protocol that carried them.

use bytes::Bytes;
use stonevane_policy::{AttemptStatus, CacheStatus, LoadReport, RequestId};

/// Identifier of a connection to a client or a server; never reused.
pub type ConnId = u64;

/// Identifies an attempt. Keys are ordered by request, then by attempt number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within the request, from 0.
    pub number: u16,
}

/// The bytes from a server violate its protocol. The connection can't be used any more.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct MalformedReply;

/// A server's reply to one attempt.
#[derive(Debug, PartialEq)]
pub struct Reply {
    /// Outcome of the attempt.
    pub status: AttemptStatus,
    /// Result of the lookup in the server's cache.
    pub cache_status: CacheStatus,
    /// Load report of the server.
    pub load: LoadReport,
    /// The value of a read or the receipt of a write.
    pub value: Option<Bytes>,
    /// For a miss: the newest version of the key that the cache has been notified of, or 0 if the reply names
    /// none. Any older version was overwritten before the request was sent.
    pub min_version: u64,
    /// Whether the connection can carry another request.
    pub reusable: bool,
}

impl Reply {
    /// Creates a reply that carries only the outcome of the attempt.
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
