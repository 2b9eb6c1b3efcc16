//! Actions that the policy requests from its node, and the reasons for them.

use crate::ids::{Micros, RequestId, ServerId};
use crate::outcome::AttemptStatus;

/// One step for the node to carry out. The node executes the actions of an event in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends one attempt of a request to a server.
    Send {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Destination of the attempt: a cache server or the origin.
        server: ServerId,
        /// Timeout of the attempt, in microseconds from sending; 0 if only the client's deadline applies.
        give_up_after: Micros,
    },
    /// Gives the client its final answer: rejected. A retry by the client is safe, because the request is
    /// idempotent or did not run.
    Reject {
        /// Request that is answered.
        request: RequestId,
        /// Retry-After hint for the client, in microseconds; 0 for none.
        retry_after: Micros,
    },
    /// Gives the client its final answer: failed. The request may have run, so a retry may repeat its effect.
    Fail(RequestId),
    /// Cancels an attempt in flight.
    Cancel {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u16,
    },
    /// Requests an [`Event::Timer`](crate::Event::Timer) after a delay.
    Timer {
        /// Delay from now, in microseconds.
        after: Micros,
        /// Value returned with the event.
        token: u32,
    },
    /// Subscribes to changes of the endpoint list (`true`), or unsubscribes (`false`).
    Subscribe(bool),
    /// Fetches the full endpoint list once.
    FetchList,
    /// Sends a health check to a server.
    HealthCheck(ServerId),
    /// Closes the idle connections to a server.
    CloseIdle(ServerId),
    /// Sends a message of at most 256 bytes to one node, or to all.
    SendToPeer {
        /// Index of the receiving node; `None` for every peer.
        to: Option<u32>,
        /// Message body.
        bytes: Vec<u8>,
    },
    /// Reports why another action of the same event answers, delays or resends a request, for logs and
    /// metrics. A request may have several reports: one for each backoff, retry and hedged request, and one
    /// for its final answer.
    Explain {
        /// Request that the reason applies to.
        request: RequestId,
        /// Reason for the answer, the delay or the further attempt.
        reason: Reason,
    },
    /// Writes a line to the log.
    Log(String),
    /// Reports that the policy cannot continue; the text names the cause.
    Fault(String),
}

/// Reason for the rejection, failure, backoff or further attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The tenant is over its quota.
    OverQuota,
    /// The deadline has passed, or the latency objective if late answers of the class earn nothing.
    DeadlineExceeded,
    /// The request has made all its allowed attempts.
    AttemptsExhausted,
    /// The process is shutting down.
    ShuttingDown,
    /// The process has just started and its attempts in flight have reached the start-up limit.
    StartupLimit,
    /// No server can take the request: none is listed, all were tried or are overloaded, or slow start allows
    /// none.
    NoServer,
    /// The origin is known to be unavailable.
    OriginUnavailable,
    /// The concurrency or rate limit of the origin is reached.
    OriginLimited,
    /// An attempt may have run, and sending the request again could repeat its effect.
    MayHaveRun,
    /// The retry budget has too few tokens for a retry.
    RetryBudgetExhausted,
    /// Retry after an attempt that ended with this status.
    Retry(AttemptStatus),
    /// Hedged request: sent to a second server while the first one is slow.
    Hedged,
    /// Attempt repeated because the response to an earlier one was lost.
    ResponseLost,
}

impl Reason {
    /// Returns the reason's name in logs and metrics, which is part of the node's external interface.
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
