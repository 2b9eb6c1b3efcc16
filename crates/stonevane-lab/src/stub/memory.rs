//! What a stub node remembers between requests.

use std::collections::HashMap;

use bytes::Bytes;

/// What a stub node remembers between requests.
#[derive(Default)]
pub(super) struct Memory {
    /// Servers that drain or have left.
    pub(super) away: Vec<String>,
    /// The last value that was fetched.
    pub(super) last_value: Option<Bytes>,
    /// The first value that was fetched of each key.
    pub(super) values: HashMap<String, Bytes>,
    /// The last key that was read.
    pub(super) last_key: Option<Bytes>,
}
