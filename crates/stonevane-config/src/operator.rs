//! The operator file: what is new and for other installations, each section owned by the subsystem that uses
//! it. A file that sets nothing changes nothing.

use std::path::PathBuf;
use std::time::Duration;

use crate::{Document, Fault, Table};

/// Time limits on clients' connections; owned by the RESP2 front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clients {
    /// A connection that has brought no whole command for so long after it was taken is closed.
    pub first: Duration,
    /// A command must be whole so long after its first byte.
    pub whole: Duration,
    /// An answer must be written so long after its turn has come.
    pub written: Duration,
    /// A connection on which nothing is open may go after this long, where others wait for its place ...
    pub spare: Duration,
    /// ... and goes after this long in any case.
    pub idle: Duration,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            first: Duration::from_millis(2_200),
            whole: Duration::from_millis(2_000),
            written: Duration::from_millis(4_000),
            spare: Duration::from_millis(2_000),
            idle: Duration::from_millis(15_000),
        }
    }
}

impl Clients {
    fn read(table: &Table<'_, '_>) -> Clients {
        let base = Clients::default();
        let time = |key, default: Duration| {
            Duration::from_millis(table.integer(key, default.as_millis() as u64, 10..=3_600_000))
        };
        let read = Clients {
            first: time("first_ms", base.first),
            whole: time("whole_ms", base.whole),
            written: time("written_ms", base.written),
            spare: time("spare_ms", base.spare),
            idle: time("idle_ms", base.idle),
        };
        if read.spare > read.idle {
            let what = format!("`spare_ms` is to be at most `idle_ms`, {}", read.idle.as_millis());
            table.fault(table.place_of("spare_ms"), what);
        }
        read
    }
}

/// Connections to servers; owned by the pool of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Servers {
    /// A connection rests for so long after an answer, so that what comes behind it is seen.
    pub rest: Duration,
}

impl Default for Servers {
    fn default() -> Self {
        Servers { rest: Duration::from_millis(15) }
    }
}

/// The store of record within the node, in the place of the origin; owned by its backend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Store {
    /// The SQLite file; made where there is none.
    pub sqlite: PathBuf,
    /// Threads that read, from 1 to 16.
    pub readers: usize,
    /// Calls that may wait before the store; more are turned away at once.
    pub queue: usize,
    /// How long to wait for another process that holds the file.
    pub busy: Duration,
}

impl Store {
    fn read(table: &Table<'_, '_>) -> Store {
        let sqlite = table.required("sqlite");
        if table.has("sqlite") && sqlite.is_empty() {
            table.fault(table.place_of("sqlite"), "`sqlite` is to name a file");
        }
        Store {
            sqlite: sqlite.into(),
            readers: table.integer("readers", 2, 1..=16) as usize,
            queue: table.integer("queue", 1_024, 1..=65_536) as usize,
            busy: Duration::from_millis(table.integer("busy_ms", 200, 1..=10_000)),
        }
    }
}

/// All that an operator file can set.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Operator {
    /// `[clients]`.
    pub clients: Clients,
    /// `[servers]`.
    pub servers: Servers,
    /// `[store]`; `None`: the origin is a server of the list.
    pub store: Option<Store>,
}

impl Operator {
    /// The version of the form of the file.
    pub const VERSION: u64 = 1;

    /// Reads an operator file whole.
    ///
    /// # Errors
    /// All that is wrong with it, in the order of the text.
    pub fn parse(text: &str) -> Result<Operator, Vec<Fault>> {
        let mut document = Document::parse(text);
        let root = document.root();
        root.integer("version", Self::VERSION, Self::VERSION..=Self::VERSION);
        let mut operator = Operator::default();
        if let Some(table) = root.table("clients") {
            operator.clients = Clients::read(&table);
            table.finish();
        }
        if let Some(table) = root.table("servers") {
            let base = operator.servers.rest.as_millis() as u64;
            operator.servers.rest = Duration::from_millis(table.integer("rest_ms", base, 0..=1_000));
            table.finish();
        }
        if let Some(table) = root.table("store") {
            operator.store = Some(Store::read(&table));
            table.finish();
        }
        root.finish();
        let faults = document.faults();
        if faults.is_empty() { Ok(operator) } else { Err(faults) }
    }
}
