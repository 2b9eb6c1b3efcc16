//! Errors of a session: those reported to the client and those that end it.

/// An error that is sent to the client as an `ErrorResponse`.
#[derive(Debug, thiserror::Error)]
#[error("{sqlstate}: {message}")]
pub(super) struct SqlError {
    pub(super) sqlstate: &'static str,
    pub(super) message: String,
}

impl SqlError {
    pub(super) fn new(sqlstate: &'static str, message: impl Into<String>) -> SqlError {
        SqlError { sqlstate, message: message.into() }
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> SqlError {
        let message = error.to_string();
        let sqlstate = match &message {
            message if message.contains("no such table") => "42P01",
            message if message.contains("already exists") => "42P07",
            message if message.contains("locked") => "55P03",
            _ => "42601",
        };
        SqlError { sqlstate, message }
    }
}

/// The reason why a message of the client failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum SessionError {
    /// The error is reported to the client, and the session continues.
    #[error(transparent)]
    Sql(#[from] SqlError),
    /// The connection has ended (by a failure, a fault or a Terminate message), or the client has violated
    /// the protocol.
    #[error("the session has ended")]
    Ended,
}

impl From<std::io::Error> for SessionError {
    fn from(_: std::io::Error) -> SessionError {
        SessionError::Ended
    }
}

impl From<rusqlite::Error> for SessionError {
    fn from(error: rusqlite::Error) -> SessionError {
        SessionError::Sql(error.into())
    }
}
