//! The contract of a store of record: its operations, its types and its errors.

use std::fmt;
use std::future::Future;
use std::pin::Pin;

use tokio::sync::mpsc;

/// Result of a call to a store, as a boxed future that can be sent between threads.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// The operations of a store of record. Dropping a call's future abandons the call; an edit that has begun
/// may still be applied.
pub trait Store: Send + Sync {
    /// Reads the zone of a key; `None` where the store has no such key.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Zone>>;

    /// Applies an edit, once per idempotency key. The receipt is returned after the commit.
    /// [`StoreError::is_certainly_not_applied`] states whether a failed edit may be sent again.
    fn edit(&self, edit: Edit) -> StoreFuture<'_, Receipt>;

    /// Reads at most `limit` keys that changed after version `after`, oldest change first.
    fn changes(&self, after: u64, limit: usize) -> StoreFuture<'_, Vec<Change>>;

    /// Reads the store's version and its numbers of entries.
    fn stats(&self) -> StoreFuture<'_, StoreStats>;

    /// Number of calls that the store has answered so far, errors included. While this number grows, the
    /// store has not stopped, even if some calls time out.
    fn answered(&self) -> u64;

    /// Subscribes to all changes from now on, including those of other programs, until the receiver is
    /// dropped. A key that changed several times while the store was unreachable is reported once, with its
    /// newest version. `None` where the store does not announce changes.
    fn follow(&self) -> Option<mpsc::Receiver<Change>> {
        None
    }
}

/// The version of a store and its numbers of entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreStats {
    /// The newest version, which equals the number of edits so far.
    pub version: u64,
    /// Number of keys that the store holds.
    pub zones: u64,
    /// Number of recorded idempotency keys, including expired ones that have not been deleted yet.
    pub tokens: u64,
}

/// The longest key, in bytes. Keys are UTF-8 without control characters.
pub const MAX_KEY_BYTES: usize = 512;
/// The longest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// The longest idempotency key, in bytes.
pub const MAX_TOKEN_BYTES: usize = 512;

/// A zone as the store holds it: a key with its value, version and time of change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// The key, at most [`MAX_KEY_BYTES`] long.
    pub key: String,
    /// The value, at most [`MAX_VALUE_BYTES`] long.
    pub value: Vec<u8>,
    /// The store's version at the zone's last change. Versions count all edits of the store, so no two edits
    /// share one.
    pub version: u64,
    /// Time of the last change, Unix time in milliseconds.
    pub edited_at: u64,
}

/// An edit: sets the value of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// The key to set, at most [`MAX_KEY_BYTES`] long.
    pub key: String,
    /// The new value, at most [`MAX_VALUE_BYTES`] long.
    pub value: Vec<u8>,
    /// The idempotency key, at most [`MAX_TOKEN_BYTES`] long; `None` for an edit without one. Sending the
    /// same edit again with the same idempotency key returns the first receipt and changes nothing.
    pub token: Option<String>,
    /// Time for which the store remembers the idempotency key, milliseconds.
    pub remember_ms: u64,
}

/// The acknowledgement of a committed edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Receipt {
    /// The version that the edit created.
    pub version: u64,
    /// Whether the edit repeated an earlier one with the same idempotency key, and changed nothing.
    pub repeat: bool,
}

/// A change of a key, as reported to subscribers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key that changed.
    pub key: String,
    /// The store's version at the change.
    pub version: u64,
}

/// Reasons why a call to a store failed. [`StoreError::is_certainly_not_applied`] tells whether an edit may
/// be sent again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The key, value or idempotency key exceeds its bounds; nothing was done.
    Bounds(&'static str),
    /// The queue is full, another process locks the file, or the server cancelled or rolled back the
    /// statement; nothing was done.
    Busy,
    /// The disk is full; nothing was done.
    Full,
    /// The file is damaged.
    Corrupt(String),
    /// The schema version is newer than this program supports; the store was not modified.
    Newer {
        /// Schema version of the store.
        found: u32,
        /// The newest schema version that this program supports.
        known: u32,
    },
    /// The file is not a store of this program; it was not modified.
    Foreign,
    /// The idempotency key was used for another edit.
    Conflict,
    /// The store has stopped answering, so this call was not made; nothing was done.
    Stopped,
    /// No answer arrived in time; whether an edit was applied is unknown.
    TimedOut,
    /// No connection to the store could be established; nothing was done.
    Unreachable,
    /// The answer came from a lagging replica: its version is older than a receipt that this program holds.
    /// Nothing was done.
    Behind,
    /// The store closed before it answered; whether an edit was applied is unknown.
    Closed,
    /// Any other error of the system or of the database.
    Io(String),
}

impl StoreError {
    /// Whether an edit that failed with this error was certainly not applied.
    pub fn is_certainly_not_applied(&self) -> bool {
        use StoreError::{Closed, Corrupt, Io, TimedOut};
        !matches!(self, Closed | TimedOut | Io(_) | Corrupt(_))
    }

    /// Whether the store gave no usable answer, which suggests that it has stopped. Other errors are answers.
    pub fn is_unresponsive(&self) -> bool {
        matches!(
            self,
            StoreError::TimedOut | StoreError::Closed | StoreError::Unreachable | StoreError::Behind
        )
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Bounds(what) => write!(f, "{what} is past its bounds"),
            StoreError::Busy => write!(f, "the store is busy"),
            StoreError::Full => write!(f, "the disk is full"),
            StoreError::Corrupt(what) => write!(f, "the file is damaged: {what}"),
            StoreError::Newer { found, known } => {
                write!(
                    f,
                    "the store has schema version {found}, and this program supports versions up to {known}; \
                     it was not modified"
                )
            }
            StoreError::Foreign => write!(f, "the file is not a store of this program; it was not modified"),
            StoreError::Conflict => write!(f, "the idempotency key was used for another edit"),
            StoreError::Stopped => write!(f, "the store has stopped answering"),
            StoreError::TimedOut => write!(f, "the store gave no answer in time"),
            StoreError::Unreachable => write!(f, "the store can't be reached"),
            StoreError::Behind => write!(f, "the store answered from a replica that lags behind a receipt"),
            StoreError::Closed => write!(f, "the store closed before it answered"),
            StoreError::Io(what) => write!(f, "{what}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Checks that a key has 1 to [`MAX_KEY_BYTES`] bytes and no control characters.
///
/// # Errors
/// [`StoreError::Bounds`] otherwise.
pub fn check_key(key: &str) -> Result<(), StoreError> {
    let valid = !key.is_empty() && key.len() <= MAX_KEY_BYTES && !key.chars().any(char::is_control);
    if valid { Ok(()) } else { Err(StoreError::Bounds("the key")) }
}

impl Edit {
    /// Checks the bounds of the key, the value and the idempotency key.
    ///
    /// # Errors
    /// [`StoreError::Bounds`] where one of them exceeds its bounds.
    pub fn check(&self) -> Result<(), StoreError> {
        check_key(&self.key)?;
        if self.value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::Bounds("the value"));
        }
        let token = self.token.as_deref();
        if token.is_some_and(|token| token.is_empty() || token.len() > MAX_TOKEN_BYTES) {
            return Err(StoreError::Bounds("the idempotency key"));
        }
        Ok(())
    }
}
