//! The operator file: options that operators may set in addition to the deployment's settings. Each section
//! belongs to the subsystem that uses it. An empty file means the defaults.

mod clients;
mod membership;
mod regions;
mod servers;
mod start;
mod store;

use crate::{ConfigError, Document, Table};

pub use self::clients::Clients;
pub use self::membership::Fleet;
pub use self::regions::{Region, Regions};
pub use self::servers::Servers;
pub use self::start::Start;
pub use self::store::{Copies, Store, StoreLocation};

/// All options of an operator file.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Operator {
    /// Section `[clients]`: timeouts of client connections.
    pub clients: Clients,
    /// Section `[servers]`: connections to servers.
    pub servers: Servers,
    /// Section `[start]`: limits while nodes start.
    pub start: Start,
    /// Section `[store]`: the store of record. `None`: the origin is a server in the list.
    pub store: Option<Store>,
    /// Section `[fleet]`: membership among the nodes. `None`: nodes do not exchange messages.
    pub fleet: Option<Fleet>,
    /// Section `[regions]`: regions and their zones. `None`: a node uses all cache servers.
    pub regions: Option<Regions>,
}

impl Operator {
    /// Supported version of the file format, the value of the key `version`.
    pub const VERSION: u64 = 1;

    /// Parses the text of an operator file.
    ///
    /// # Errors
    /// Returns all errors in the text, in its order.
    pub fn parse(text: &str) -> Result<Operator, Vec<ConfigError>> {
        let document = Document::parse(text);
        let root = document.root();
        root.integer("version", Self::VERSION, Self::VERSION..=Self::VERSION);
        let operator = Operator {
            clients: section(&root, "clients", Clients::read).unwrap_or_default(),
            servers: section(&root, "servers", Servers::read).unwrap_or_default(),
            start: section(&root, "start", Start::read).unwrap_or_default(),
            store: section(&root, "store", Store::read),
            fleet: section(&root, "fleet", Fleet::read),
            regions: section(&root, "regions", Regions::read).flatten(),
        };
        root.finish();
        let errors = document.errors();
        if errors.is_empty() { Ok(operator) } else { Err(errors) }
    }
}

/// Reads a section and reports its unknown keys; `None` if the section is absent.
fn section<T>(root: &Table<'_, '_>, name: &str, read: impl FnOnce(&Table<'_, '_>) -> T) -> Option<T> {
    let table = root.table(name)?;
    let section = read(&table);
    table.finish();
    Some(section)
}
