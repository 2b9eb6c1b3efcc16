//! The store of record behind the caches.
//!
//! [`contract`] says what a store does and how it fails; [`sqlite`] does it on an embedded file. Two pure state
//! machines, with no I/O and no clock, stand before any store: [`flight`] shares one fetch among all who wait
//! for a key, [`breaker`] keeps calls from a store that has stopped answering.

pub mod breaker;
pub mod contract;
pub mod flight;
pub mod sqlite;

pub use contract::{Change, Edit, Receipt, StoreError, Zone};
pub use sqlite::Sqlite;
