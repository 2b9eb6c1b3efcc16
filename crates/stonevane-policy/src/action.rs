//! Actions: what the policy wants its node to do, and why.

use crate::ids::{Micros, RequestId, ServerId};
use crate::outcome::AttemptStatus;

/// Something that the node is to do, in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a server.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Give the attempt up after this time; 0 for the client's own limit.
        give_up_after: Micros,
    },
    /// Final answer: rejected, a retry by the client is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Retry-After hint for the client; 0 for none.
        retry_after: Micros,
    },
    /// Final answer: failed, with no promise.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Call back with [`Event::Timer`](crate::Event::Timer) after a time.
    Timer {
        /// The time from now.
        after: Micros,
        /// Returned with the event.
        token: u32,
    },
    /// Subscribe to the changes of the endpoint list, or unsubscribe.
    Subscribe(bool),
    /// Request the whole endpoint list once.
    FetchList,
    /// Send a health check to a server.
    HealthCheck(ServerId),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// Send at most 256 bytes to one node, or to all.
    SendToPeer {
        /// Index of the node; `None` for every peer.
        to: Option<u32>,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Why a request is answered so, waits, or is resent by the action beside this one: for logs and counts.
    /// A request may have several: each backoff, retry and hedged request, and its final answer.
    Explain {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Reason,
    },
    /// A line for the log.
    Log(String),
    /// The policy cannot go on.
    Fault(String),
}

/// Why a request is rejected, fails, waits, or is resent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Its tenant is over its quota.
    OverQuota,
    /// Its deadline has passed, or its latency objective where a late answer earns nothing.
    DeadlineExceeded,
    /// It has made all attempts that it may.
    AttemptsExhausted,
    /// This process is shutting down.
    ShuttingDown,
    /// This process has just started and has as many attempts in flight as it may.
    StartupLimit,
    /// No server may be sent it: none is listed, all were tried or are full, or slow start allows none.
    NoServer,
    /// The origin is known to have stopped.
    OriginUnavailable,
    /// The concurrency or rate limit of the origin is reached.
    OriginLimited,
    /// An attempt may have run, and may not be resent.
    MayHaveRun,
    /// The retry budget is used up.
    RetryBudgetExhausted,
    /// Resent after an attempt that ended so.
    Retry(AttemptStatus),
    /// Hedged: sent to a second server while the first is slow.
    Hedged,
    /// Resent: the response to an attempt is lost.
    ResponseLost,
}

impl Reason {
    /// Its name in logs and counts.
    pub fn name(self) -> &'static str {
        match self {
            Reason::OverQuota => "over-quota",
            Reason::DeadlineExceeded => "time-up",
            Reason::AttemptsExhausted => "attempts-used",
            Reason::ShuttingDown => "ending",
            Reason::StartupLimit => "starting",
            Reason::NoServer => "no-server",
            Reason::OriginUnavailable => "origin-stopped",
            Reason::OriginLimited => "gate-shut",
            Reason::MayHaveRun => "may-have-run",
            Reason::RetryBudgetExhausted => "repeats-used",
            Reason::Hedged => "second-copy",
            Reason::ResponseLost => "answer-lost",
            Reason::Retry(status) => status.retry_name(),
        }
    }
}
