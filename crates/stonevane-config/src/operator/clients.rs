//! Section `[clients]`: timeouts of client connections. Owned by the RESP2 front end.

use std::time::Duration;

use crate::Table;

/// Timeouts of client connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clients {
    /// Time from the accept by which the first command must be complete; otherwise the connection is closed.
    pub first: Duration,
    /// Time from a command's first byte by which the command must be complete.
    pub whole: Duration,
    /// Time by which an answer must be written, from when it is the next to be written.
    pub written: Duration,
    /// Idle time after which a connection may be evicted if the connection table is full.
    pub spare: Duration,
    /// Idle time after which a connection is closed in any case.
    pub idle: Duration,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            first: Duration::from_millis(2_200),
            whole: Duration::from_millis(2_300),
            written: Duration::from_millis(4_000),
            spare: Duration::from_millis(10),
            idle: Duration::from_millis(15_000),
        }
    }
}

impl Clients {
    pub(super) fn read(table: &Table<'_, '_>) -> Clients {
        let base = Clients::default();
        let time = |key, default: Duration| {
            Duration::from_millis(table.integer(key, default.as_millis() as u64, 10..=3_600_000))
        };
        let clients = Clients {
            first: time("first_ms", base.first),
            whole: time("whole_ms", base.whole),
            written: time("written_ms", base.written),
            spare: time("spare_ms", base.spare),
            idle: time("idle_ms", base.idle),
        };
        if clients.spare > clients.idle {
            let rule = format!("`spare_ms` is to be at most `idle_ms`, {}", clients.idle.as_millis());
            table.error(table.place_of("spare_ms"), rule);
        }
        clients
    }
}
