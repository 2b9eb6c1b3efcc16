//! Timeouts of clients' connections; owned by the RESP2 front.

use std::time::Duration;

use crate::Table;

/// Timeouts of clients' connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clients {
    /// A connection that has brought no complete command for this long after it was accepted is closed.
    pub first: Duration,
    /// A command must be complete this long after its first byte.
    pub whole: Duration,
    /// An answer must be written this long after its turn has come.
    pub written: Duration,
    /// A connection without requests may be closed after this long, where others wait for its place ...
    pub spare: Duration,
    /// ... and is closed after this long in any case.
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
