//! Errors of calls to discovery.

use stonevane_core::discovery_timeouts::CallEnd;

/// Reason why a call to discovery ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// The connection could not be opened, or failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// No response began in time.
    #[error("no answer in time")]
    Unanswered,
    /// The response has begun, and then nothing arrived in time. `established`: at least one line, possibly
    /// an empty one, had arrived before.
    #[error("silent for too long")]
    Silent { established: bool },
    /// Discovery answered with a status other than 200.
    #[error("answered with status {0}")]
    Status(u16),
    /// The response is not a complete endpoint list; the list in use stays.
    #[error("brought no list, or one that was cut off")]
    Malformed,
    /// The memory budget has no space for the list; the list in use stays.
    #[error("brought a list for which no memory is left")]
    OutOfMemory,
}

/// Classifies the end of a call for the core.
pub(super) fn call_end(result: &Result<(), CallError>) -> CallEnd {
    match result {
        Err(CallError::Unanswered) => CallEnd::Unanswered,
        Err(CallError::Silent { established }) => CallEnd::TimedOut { was_established: *established },
        _ => CallEnd::Broken,
    }
}
