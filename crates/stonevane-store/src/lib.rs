//! The store of record behind the caches.
//!
//! [`contract`] defines what a store does and how it fails. [`sqlite`] implements it on an embedded file,
//! [`postgres`] on a server. The other modules are pure state machines, without I/O and without a clock, that
//! work with any store: [`flight`] shares one fetch among all callers that wait for a key, [`breaker`] stops
//! calls to a store that does not answer, [`reconnect`] paces new connections so that clients do not
//! reconnect in step, [`following`] detects lost change notifications, [`quick`] decides whether a read may
//! run on the caller's thread, and [`copies`] tracks the invalidation of cached copies after an edit.

pub mod breaker;
pub mod contract;
pub mod copies;
pub mod flight;
pub mod following;
pub mod postgres;
pub mod quick;
pub mod reconnect;
pub mod sqlite;

pub use contract::{Change, Edit, Receipt, Store, StoreError, StoreStats, Zone};
pub use postgres::Postgres;
pub use sqlite::Sqlite;
