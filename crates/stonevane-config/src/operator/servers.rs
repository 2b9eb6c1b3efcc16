//! Section `[servers]`: connections to servers. Owned by the pool of server connections.

use std::time::Duration;

use crate::Table;

/// Options of connections to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Servers {
    /// Time after a reply during which the connection is not reused, so that stray bytes behind the reply are
    /// detected.
    pub rest: Duration,
}

impl Default for Servers {
    fn default() -> Self {
        Servers { rest: Duration::from_millis(15) }
    }
}

impl Servers {
    pub(super) fn read(table: &Table<'_, '_>) -> Servers {
        let default_ms = Servers::default().rest.as_millis() as u64;
        Servers { rest: Duration::from_millis(table.integer("rest_ms", default_ms, 0..=1_000)) }
    }
}
