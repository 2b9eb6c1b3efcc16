//! The operator file: what operators may set beside the deployment's settings, each section owned by the subsystem that
//! uses it. A file that sets nothing changes nothing.

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
pub use self::store::{Copies, Place, Store};

/// All that an operator file can set.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Operator {
    /// `[clients]`.
    pub clients: Clients,
    /// `[servers]`.
    pub servers: Servers,
    /// `[start]`.
    pub start: Start,
    /// `[store]`; `None`: the origin is a server of the list.
    pub store: Option<Store>,
    /// `[fleet]`; `None`: nodes send one another nothing.
    pub fleet: Option<Fleet>,
    /// `[regions]`; `None`: a node uses all cache servers.
    pub regions: Option<Regions>,
}

impl Operator {
    /// The version of the file's format.
    pub const VERSION: u64 = 1;

    /// Reads an operator file.
    ///
    /// # Errors
    /// All errors in it, in the order of the text.
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

/// Reads a section, where it is there.
fn section<T>(root: &Table<'_, '_>, name: &str, read: impl FnOnce(&Table<'_, '_>) -> T) -> Option<T> {
    let table = root.table(name)?;
    let section = read(&table);
    table.finish();
    Some(section)
}
