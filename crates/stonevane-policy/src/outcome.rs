//! How attempts end.

use crate::ids::{Micros, RequestId, ServerId};

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStatus {
    /// Served.
    Served,
    /// The server holds nothing for this key; the request did not run.
    Miss,
    /// The server reported an error; the request may have run.
    Error,
    /// The response can't be parsed; the request may have run.
    Malformed,
    /// Rejected by the server at once; the request did not run.
    Rejected,
    /// No response in time; the request may have run or still run.
    TimedOut,
    /// No connection was established; the request did not run.
    ConnectFailed,
    /// The connection was lost; the request may have run.
    Reset,
    /// Cancelled by this node; the request may have run.
    Cancelled,
    /// Never sent: the request had ended or had no attempts left; it did not run.
    NotSent,
}

impl AttemptStatus {
    /// Whether this outcome proves that the request never ran.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            AttemptStatus::Miss
                | AttemptStatus::Rejected
                | AttemptStatus::ConnectFailed
                | AttemptStatus::NotSent
        )
    }

    /// Its name in traces of single requests, as operators' pages quote it.
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

    /// The name of a retry after this outcome, in logs and counts.
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

/// What a server said of the key in its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CacheStatus {
    /// Nothing.
    #[default]
    None,
    /// The value was cached.
    Hit,
    /// It was not.
    Miss,
    /// It was not, and another request is fetching it.
    MissBeingFetched,
}

/// A load report: figures in the order of
/// [`Deployment::load_metric_names`](crate::settings::Deployment::load_metric_names).
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// How many of `values` are present.
    pub count: u8,
    /// The figures.
    pub values: [f32; 4],
}

/// The end of one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Its request.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0, in the order of sending.
    pub attempt: u16,
    /// Where it had been sent.
    pub server: ServerId,
    /// How it ended.
    pub status: AttemptStatus,
    /// Whether the request has its final answer (by this outcome or before).
    pub request_finished: bool,
    /// What the server said of the key.
    pub cache_status: CacheStatus,
    /// Time from sending to this end.
    pub elapsed: Micros,
    /// Load report of the server, if the response carried one.
    pub load: LoadReport,
    /// Whether it was the first request on its connection, whose response time includes a handshake.
    pub first_on_connection: bool,
}
