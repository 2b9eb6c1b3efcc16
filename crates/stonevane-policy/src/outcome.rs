//! Outcomes of attempts: status, cache status, load report and timing.

use crate::ids::{Micros, RequestId, ServerId};

/// Status with which an attempt ended. It determines whether the request may have run, and so whether a retry
/// can repeat its effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The server answered with the value.
    Served,
    /// The server has no value for this key; the request did not run.
    Miss,
    /// The server reported an error; the request may have run.
    Error,
    /// The response could not be parsed; the request may have run.
    Malformed,
    /// The server rejected the attempt at once; the request did not run.
    Rejected,
    /// No response arrived in time; the request may have run or may still be running.
    TimedOut,
    /// No connection was established; the request did not run.
    ConnectFailed,
    /// The connection was lost after it was established; the request may have run.
    Reset,
    /// The node cancelled the attempt; the request may have run.
    Cancelled,
    /// The attempt was never sent because the request had ended or had no attempts left; it did not run.
    NotSent,
}

impl AttemptStatus {
    /// Returns whether this status proves that the request did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            AttemptStatus::Miss
                | AttemptStatus::Rejected
                | AttemptStatus::ConnectFailed
                | AttemptStatus::NotSent
        )
    }

    /// Returns the status name in traces of single requests, which operators' pages quote.
    pub fn name(self) -> &'static str {
        match self {
            AttemptStatus::Served => "Served",
            AttemptStatus::Miss => "Miss",
            AttemptStatus::Error => "Error",
            AttemptStatus::Malformed => "Spoilt",
            AttemptStatus::Rejected => "Full",
            AttemptStatus::TimedOut => "TimedOut",
            AttemptStatus::ConnectFailed => "ConnectFailed",
            AttemptStatus::Reset => "Reset",
            AttemptStatus::Cancelled => "Cancelled",
            AttemptStatus::NotSent => "NotSent",
        }
    }

    /// Returns the name, in logs and metrics, of a retry after this status.
    pub(crate) fn retry_name(self) -> &'static str {
        match self {
            AttemptStatus::Served => "retry-after-served",
            AttemptStatus::Miss => "retry-after-miss",
            AttemptStatus::Error => "retry-after-error",
            AttemptStatus::Rejected => "retry-after-full",
            AttemptStatus::Malformed => "retry-after-spoilt",
            AttemptStatus::ConnectFailed => "retry-after-connect-failed",
            AttemptStatus::TimedOut => "retry-after-timeout",
            AttemptStatus::Reset => "retry-after-reset",
            AttemptStatus::Cancelled => "retry-after-cancel",
            AttemptStatus::NotSent => "retry-after-not-sent",
        }
    }
}

/// Cache status of the key that a server reports in its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CacheStatus {
    /// The response has no cache status.
    #[default]
    None,
    /// The value was cached.
    Hit,
    /// The value was not cached.
    Miss,
    /// The value was not cached, and another request is fetching it.
    MissBeingFetched,
}

/// Load metrics of a server, in the order of
/// [`Deployment::load_metric_names`](crate::settings::Deployment::load_metric_names).
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Number of elements of `values` that are present, at most 4.
    pub count: u8,
    /// Metric values; their units depend on the deployment.
    pub values: [f32; 4],
}

/// End of one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0, in the order of sending.
    pub attempt: u16,
    /// Server that the attempt was sent to.
    pub server: ServerId,
    /// Status with which the attempt ended.
    pub status: AttemptStatus,
    /// Whether the request has its final answer, through this outcome or earlier.
    pub request_finished: bool,
    /// Cache status of the key in the response.
    pub cache_status: CacheStatus,
    /// Time from sending the attempt to its end, in microseconds.
    pub elapsed: Micros,
    /// Load report of the server; empty if the response carried none.
    pub load: LoadReport,
    /// Whether the attempt was the first request on its connection, so that its response time includes the
    /// handshake.
    pub first_on_connection: bool,
}
