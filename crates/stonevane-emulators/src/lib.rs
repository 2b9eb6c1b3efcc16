//! Emulators of the systems around a node, on loopback sockets: cache servers, the origin, discovery, the
//! store of record, clients, and the network between nodes. Each follows the platform's protocol, can be made
//! to fail like a real one, and records the events that it observes in a history.
//!
//! The emulators run as tasks of one process on one thread, or as separate processes. None of this code is
//! linked into the daemon. All random numbers come from seeds.

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
