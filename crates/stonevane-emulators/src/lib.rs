//! Emulators of all that surrounds a node, on loopback sockets: cache servers, the origin, discovery, the store of
//! record, clients, and the network between nodes. Each follows the platform's protocol, can be made to fail in the
//! ways that real ones do, and records what it sees as a history.
//!
//! They are one process's tasks on one thread, or processes of their own. Nothing here is linked into the daemon.
//! Randomness comes from seeds only.

pub mod cache;
pub mod client;
pub mod discovery;
pub mod origin;
pub mod peers;
pub mod postgres;
pub mod record;
pub mod relay;
pub mod request;
mod server;

pub use record::{MonotonicClock, Recorder};
pub use server::{Fault, lock};
