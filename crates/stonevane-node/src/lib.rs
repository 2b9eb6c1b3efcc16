//! The daemon of one node: drives the core (`stonevane-core`) on sockets, with discovery, membership, and a store of
//! record in the origin's place where the operator configures one.

mod cache_updates;
mod cli;
mod clock;
mod config;
pub mod datagrams;
pub mod discovery;
mod driver;
mod exclusions;
mod handover;
mod inherited_listener;
mod log;
mod management;
mod membership;
mod process;
mod signals;
mod store;

pub use cli::main;
