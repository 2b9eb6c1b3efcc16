//! Idle connections: decides whether the node closes connections to servers as soon as they are idle.
//!
//! Inputs: the prices of open connections and of handshakes, the number of nodes. An open connection uses an
//! entry in the server's connection table, at a price that grows with the number of nodes. Opening a
//! connection has the same price whatever the number of nodes.

use crate::settings::Settings;

/// Number of nodes in the fleet for which the settings state the connection price.
const NODES_PER_CONNECTION_PRICE: f64 = 100.0;

/// Returns whether keeping idle connections open costs more than opening a new one for each request.
pub fn should_close(settings: &Settings) -> bool {
    f64::from(settings.nodes) * settings.connection_price
        > NODES_PER_CONNECTION_PRICE * settings.handshake_price
}
