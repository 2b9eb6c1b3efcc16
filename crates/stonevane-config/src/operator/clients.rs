//! Section `[clients]`: timeouts of client connections. Owned by the RESP2 front end.

use std::time::Duration;

use crate::Table;

/// Timeouts of client connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clients {
    /// Longest time from accepting a connection to its first complete command. After this time the client
    /// gets an error and the connection is closed.
    pub first_command: Duration,
    /// Longest time from a command's first byte to its last.
    pub command: Duration,
    /// Longest time from the start of an answer's write to its completion.
    pub write: Duration,
    /// Idle time after which a connection may be evicted if the connection table is full.
    pub evictable_idle: Duration,
    /// Idle time after which a connection is closed even if the connection table is not full.
    pub idle: Duration,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            first_command: Duration::from_millis(2_200),
            command: Duration::from_millis(2_300),
            write: Duration::from_millis(4_000),
            evictable_idle: Duration::from_millis(10),
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
            first_command: time("first_ms", base.first_command),
            command: time("whole_ms", base.command),
            write: time("written_ms", base.write),
            evictable_idle: time("spare_ms", base.evictable_idle),
            idle: time("idle_ms", base.idle),
        };
        if clients.evictable_idle > clients.idle {
            let rule = format!("`spare_ms` is to be at most `idle_ms`, {}", clients.idle.as_millis());
            table.error(table.span_of("spare_ms"), rule);
        }
        clients
    }
}
