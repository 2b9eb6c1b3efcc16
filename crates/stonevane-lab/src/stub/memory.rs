//! State of a stub node.

use std::collections::HashMap;

use bytes::Bytes;

/// State of a stub node that is shared by its connections.
#[derive(Default)]
pub(super) struct StubState {
    /// Names of servers that drain or have left.
    pub(super) unavailable: Vec<String>,
    /// Last value that was fetched.
    pub(super) last_value: Option<Bytes>,
    /// First value that was read, by key.
    pub(super) values: HashMap<String, Bytes>,
    /// Key of the last read.
    pub(super) last_key: Option<Bytes>,
}
