//! Load on one cache server. Its processor time and memory depend on its own software and were not measured.

use super::figures::{Measurements, MissingMetric};
use super::row::{Component, Mechanism, Quantity, Row, Rows, Situation, amount};
use super::target::TARGET;
use crate::roles::Role;

/// Number of nodes in the measured fleet that has about as many servers as one zone.
const ZONE_SIZED_NODES: f64 = 300.0;
/// Number of servers in the measured fleet of [`ZONE_SIZED_NODES`] nodes.
const ZONE_SIZED_SERVERS: f64 = 70.0;

const SUBSET: Mechanism = Mechanism::Today("a subset of servers by region, where `[regions]` is set");
const PURGE_DELIVERY: Mechanism = Mechanism::Missing("nothing tells purges");
const REQUEST_PATH: Mechanism = Mechanism::Today("the request path, no control");

/// Computes the rows of a cache server.
///
/// # Errors
/// If a metric was not measured.
pub fn rows(measurements: &Measurements) -> Result<Vec<Row>, MissingMetric> {
    use Quantity::{Bytes, Messages, State};
    let at = |metric| measurements.at(Role::ServerConnections, metric, TARGET.nodes);
    let (held, unlimited, opened) = (at("server_connections")?, at("server_wanted")?, at("server_opened")?);
    let (region, region_opened) = (at("server_region")?, at("server_region_opened")?);
    let node_held = at("node_connections")?;
    let zone = measurements.at(Role::ServerConnections, "node_connections", ZONE_SIZED_NODES)?;
    let mut rows = Rows::new(Component::Server);

    let label = "connections, every node to every server, nodes at 1,024 sockets";
    let formula = "connections of a node x nodes / servers";
    rows.add(amount(State, label, held.value, "connections", formula), &[&held], None, SUBSET);
    let label = "the same, nodes with sockets enough";
    rows.add(amount(State, label, unlimited.value, "connections", formula), &[&unlimited], None, SUBSET);
    let label = "connections with a subset by region";
    let formula = "connections of a node x 643 / 150";
    rows.add(amount(State, label, region.value, "connections", formula), &[&region], None, SUBSET);
    let label = "connections opened, every node to every server";
    let formula = "opened by a node x nodes / servers";
    rows.add(amount(Messages, label, opened.value, "1/s", formula), &[&opened], None, SUBSET);
    let label = "connections opened with a subset by region";
    let formula = "opened by a node x 643 / 150";
    rows.add(amount(Messages, label, region_opened.value, "1/s", formula), &[&region_opened], None, SUBSET);
    let purges = TARGET.purges * TARGET.purge_bytes;
    rows.add(amount(Bytes, "purges", purges, "B/s", "purges/s x 16 B"), &[], None, PURGE_DELIVERY);

    rows.set_situation(Situation::BusiestSecond);
    let requests = TARGET.requests / TARGET.servers;
    rows.add(amount(Messages, "requests", requests, "1/s", "14 million / servers"), &[], None, REQUEST_PATH);
    let responses = TARGET.bits / 8.0 / TARGET.servers;
    rows.add(amount(Bytes, "answers", responses, "B/s", "100 Tbit/s / 8 / servers"), &[], None, REQUEST_PATH);

    rows.set_situation(Situation::ZoneLost);
    let other_zone = zone.value * TARGET.region_nodes / ZONE_SIZED_SERVERS;
    let label = "connections in the region's other zone, with a subset by region";
    let formula = "643 x connections of a node before 70 servers / 70";
    rows.add(amount(State, label, other_zone, "connections", formula), &[&zone], None, SUBSET);
    let doubled = 2.0 * requests;
    let label = "requests in the region's other zone";
    rows.add(amount(Messages, label, doubled, "1/s", "2 x 14 million / servers"), &[], None, REQUEST_PATH);

    rows.set_situation(Situation::RegionStarts);
    let label = "connections opened within seconds, with a subset by region";
    let formula = "connections of a node x 643 / 150";
    rows.add(amount(Messages, label, region.value, "connections", formula), &[&region], None, SUBSET);

    rows.set_situation(Situation::RegionsCut);
    let lost = node_held.value * TARGET.region_nodes / TARGET.servers;
    let label = "connections lost, every node to every server";
    let formula = "643 x connections of a node / servers";
    rows.add(amount(State, label, lost, "connections", formula), &[&node_held], None, SUBSET);
    rows.add(
        amount(State, "the same with a subset by region", 0.0, "connections", "none crosses regions"),
        &[],
        None,
        SUBSET,
    );

    rows.set_situation(Situation::AllRestarted);
    let label = "connections opened in the first second: one for each request";
    rows.add(amount(Messages, label, requests, "1/s", "14 million / servers"), &[], None, SUBSET);
    Ok(rows.finish())
}
