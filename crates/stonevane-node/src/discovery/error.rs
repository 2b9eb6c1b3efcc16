//! Why a call to discovery ended.

use stonevane_core::discovery_timeouts::CallEnd;

/// Why a call to discovery ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// The connection broke, or could not be opened.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// No response began in time.
    #[error("no answer in time")]
    Unanswered,
    /// The response fell silent. `established`: it had brought a line before, be it an empty one.
    #[error("silent for too long")]
    Silent { established: bool },
    /// The call was rejected.
    #[error("answered with status {0}")]
    Status(u16),
    /// The response is no endpoint list; the list in use stays.
    #[error("brought no list, or one that was cut off")]
    Malformed,
}

/// What the end of a call means to the core.
pub(super) fn call_end(result: &Result<(), CallError>) -> CallEnd {
    match result {
        Err(CallError::Unanswered) => CallEnd::Unanswered,
        Err(CallError::Silent { established }) => CallEnd::TimedOut { was_established: *established },
        _ => CallEnd::Broken,
    }
}
