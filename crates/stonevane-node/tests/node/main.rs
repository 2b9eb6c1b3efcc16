//! The real node over loopback sockets: one test for each failure that must not happen.
#![allow(missing_docs)]

mod capacity;
mod cold_start;
mod crossings;
mod endpoint_list;
mod harness;
mod malformed_responses;
mod origin;
mod process;
mod readiness;
mod requests;
mod server_connections;
mod service;
mod subset;
mod time_left;
mod upgrade;

use std::net::SocketAddr;

use harness::*;

/// A whole list of one cache server and an origin.
pub fn pair(cache: SocketAddr, origin: SocketAddr) -> String {
    let entries = [entry("s-1", cache, "std", "active"), entry("o-1", origin, "origin", "active")];
    listing(5, true, &entries)
}

/// Discovery that tells of nothing new.
pub fn quiet() -> (SocketAddr, std::sync::mpsc::Sender<Vec<u8>>, std::sync::mpsc::Receiver<String>) {
    discovery(vec![watch_head()])
}

pub fn no_origin() -> EmulatedServer {
    origin(|_| Act::Say(http(500, "", "")))
}
