//! What a cache server bears. Its processor and memory are its own software's and were not measured.

use super::figures::{Figures, MissingFigure};
use super::row::{Mechanism, Party, Quantity, Row, Rows, Situation, amount};
use super::target::TARGET;
use crate::roles::Role;

/// Nodes of the measured fleet whose servers are about as many as one zone of a region has.
const ZONE_SIZED_NODES: f64 = 300.0;
/// Servers of that fleet.
const ZONE_SIZED_SERVERS: f64 = 70.0;

const ALL_PAIRS: Mechanism = Mechanism::Today("a subset of servers by region, where `[regions]` is set");
const PURGES: Mechanism = Mechanism::Missing("nothing tells purges");
const REQUESTS: Mechanism = Mechanism::Today("the request path, no control");

/// The rows of a cache server.
///
/// # Errors
/// Where a figure was not measured.
pub fn rows(figures: &Figures) -> Result<Vec<Row>, MissingFigure> {
    use Quantity::{Bytes, Messages, State};
    let at = |metric| figures.at(Role::ServerConnections, metric, TARGET.nodes);
    let (held, wanted, opened) = (at("server_connections")?, at("server_wanted")?, at("server_opened")?);
    let (region, region_opened) = (at("server_region")?, at("server_region_opened")?);
    let node_held = at("node_connections")?;
    let zone = figures.at(Role::ServerConnections, "node_connections", ZONE_SIZED_NODES)?;
    let mut rows = Rows::of(Party::Server);

    let what = "connections, every node to every server, nodes at 1,024 sockets";
    let formula = "connections of a node x nodes / servers";
    rows.add(amount(State, what, held.value, "connections", formula), &[&held], None, ALL_PAIRS);
    let what = "the same, nodes with sockets enough";
    rows.add(amount(State, what, wanted.value, "connections", formula), &[&wanted], None, ALL_PAIRS);
    let what = "connections with a subset by region";
    let formula = "connections of a node x 643 / 150";
    rows.add(amount(State, what, region.value, "connections", formula), &[&region], None, ALL_PAIRS);
    let what = "connections opened, every node to every server";
    let formula = "opened by a node x nodes / servers";
    rows.add(amount(Messages, what, opened.value, "1/s", formula), &[&opened], None, ALL_PAIRS);
    let what = "connections opened with a subset by region";
    let formula = "opened by a node x 643 / 150";
    rows.add(amount(Messages, what, region_opened.value, "1/s", formula), &[&region_opened], None, ALL_PAIRS);
    let purges = TARGET.purges * TARGET.purge_bytes;
    rows.add(amount(Bytes, "purges", purges, "B/s", "purges/s x 16 B"), &[], None, PURGES);

    rows.during(Situation::BusiestSecond);
    let requests = TARGET.requests / TARGET.servers;
    rows.add(amount(Messages, "requests", requests, "1/s", "14 million / servers"), &[], None, REQUESTS);
    let answers = TARGET.bits / 8.0 / TARGET.servers;
    rows.add(amount(Bytes, "answers", answers, "B/s", "100 Tbit/s / 8 / servers"), &[], None, REQUESTS);

    rows.during(Situation::ZoneLost);
    let other_zone = zone.value * TARGET.region_nodes / ZONE_SIZED_SERVERS;
    let what = "connections in the region's other zone, with a subset by region";
    let formula = "643 x connections of a node before 70 servers / 70";
    rows.add(amount(State, what, other_zone, "connections", formula), &[&zone], None, ALL_PAIRS);
    let doubled = 2.0 * requests;
    let what = "requests in the region's other zone";
    rows.add(amount(Messages, what, doubled, "1/s", "2 x 14 million / servers"), &[], None, REQUESTS);

    rows.during(Situation::RegionStarts);
    let what = "connections opened within seconds, with a subset by region";
    let formula = "connections of a node x 643 / 150";
    rows.add(amount(Messages, what, region.value, "connections", formula), &[&region], None, ALL_PAIRS);

    rows.during(Situation::RegionsCut);
    let lost = node_held.value * TARGET.region_nodes / TARGET.servers;
    let what = "connections lost, every node to every server";
    let formula = "643 x connections of a node / servers";
    rows.add(amount(State, what, lost, "connections", formula), &[&node_held], None, ALL_PAIRS);
    rows.add(
        amount(State, "the same with a subset by region", 0.0, "connections", "none crosses regions"),
        &[],
        None,
        ALL_PAIRS,
    );

    rows.during(Situation::AllRestarted);
    let what = "connections opened in the first second: one for each request";
    rows.add(amount(Messages, what, requests, "1/s", "14 million / servers"), &[], None, ALL_PAIRS);
    Ok(rows.done())
}
