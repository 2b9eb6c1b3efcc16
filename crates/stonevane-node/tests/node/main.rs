//! Tests of the real node process over loopback sockets. Each guards against one failure.
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
pub fn cache_and_origin(cache: SocketAddr, origin: SocketAddr) -> String {
    let entries = [entry("s-1", cache, "std", "active"), entry("o-1", origin, "origin", "active")];
    server_list(5, true, &entries)
}

/// Starts a discovery service that sends only the updates that the test sends.
pub fn quiet_discovery() -> (SocketAddr, std::sync::mpsc::Sender<Vec<u8>>, std::sync::mpsc::Receiver<String>)
{
    discovery(vec![watch_head()])
}

/// Starts an origin that answers every request with status 500.
pub fn failing_origin() -> EmulatedServer {
    origin(|_| Action::Respond(http_response(500, "", "")))
}
