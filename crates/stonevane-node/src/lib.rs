//! The daemon of one node. It drives the core (`stonevane-core`) on sockets and provides its surroundings:
//! discovery, membership, the management address and, where the operator configures one, a store of record in
//! place of the origin.

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
mod poll_time;
mod process;
mod signals;
mod store;

pub use cli::main;
