//! Idle connections: whether they are closed at once.
//!
//! Inputs: the prices of connections and of handshakes, the number of nodes. Keeping a connection open takes
//! a place in a server's table, at a price that grows with the number of nodes; opening it again has the same
//! price for each.

use crate::settings::Settings;

/// The connection price of the settings is that of one node among this many.
const NODES_PER_CONNECTION_PRICE: f64 = 100.0;

/// Whether keeping idle connections open costs more than opening them again.
pub fn should_close(settings: &Settings) -> bool {
    f64::from(settings.nodes) * settings.connection_price
        > NODES_PER_CONNECTION_PRICE * settings.handshake_price
}
