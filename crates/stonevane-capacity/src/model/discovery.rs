//! Load on the discovery service. Its processor time and memory depend on its own software and were not
//! measured.

use super::figures::{Measurements, MissingMetric, Value};
use super::row::{Component, Mechanism, Quantity, Row, Rows, Situation, amount};
use super::target::TARGET;
use crate::roles::Role;

const WATCH_PER_NODE: Mechanism = Mechanism::Today("one watch of each node");
const CHANGES_BY_REGION: Mechanism = Mechanism::Missing("changes told once a region and on from there");
const LISTS_BY_REGION: Mechanism = Mechanism::Missing("lists by region, or from a neighbour");

/// Bytes delivered for `changes` changes of the server list, each sent to every node; `change` is the size of
/// one change, in bytes.
fn delivered_bytes(changes: f64, change: &Value) -> f64 {
    changes * TARGET.nodes * change.value
}

/// Computes the rows of the discovery service.
///
/// # Errors
/// If a metric was not measured.
#[expect(clippy::too_many_lines, reason = "one table: a few lines for each row of the page")]
pub fn rows(measurements: &Measurements) -> Result<Vec<Row>, MissingMetric> {
    use Quantity::{Bytes, Messages, State};
    let list = |metric| measurements.at(Role::ServerList, metric, TARGET.servers);
    let calls = |metric, nodes| measurements.at(Role::Discovery, metric, nodes);
    let (full_list, change, heartbeat) = (list("whole_bytes")?, list("change_bytes")?, list("watch_bytes")?);
    let start = calls("start_busiest", TARGET.nodes)?;
    let lost = calls("lost_busiest", TARGET.nodes)?;
    let lost_region = calls("lost_busiest", TARGET.region_nodes)?;
    let mut rows = Rows::new(Component::Discovery);

    rows.add(amount(State, "watches open", TARGET.nodes, "watches", "nodes"), &[], None, WATCH_PER_NODE);
    let heartbeats = TARGET.nodes / 2.0;
    rows.add(amount(Messages, "empty lines", heartbeats, "1/s", "nodes / 2 s"), &[], None, WATCH_PER_NODE);
    let label = "empty lines";
    let idle = amount(Bytes, label, TARGET.nodes * heartbeat.value, "B/s", "nodes x beat of a watch");
    rows.add(idle, &[&heartbeat], None, WATCH_PER_NODE);
    let changes = 3.0 * TARGET.server_restarts();
    let formula = "3 x server restarts/s x nodes";
    let lines = amount(Messages, "lines told", changes * TARGET.nodes, "1/s", formula);
    rows.add(lines, &[], None, WATCH_PER_NODE);
    let formula = "lines x bytes of a change";
    let lines = amount(Bytes, "lines told", delivered_bytes(changes, &change), "B/s", formula);
    rows.add(lines, &[&change], None, WATCH_PER_NODE);

    rows.set_situation(Situation::BusiestSecond);
    let site = TARGET.servers / TARGET.sites;
    let label = "lines when the servers of a site are gone";
    let formula = "servers / sites x nodes";
    rows.add(amount(Messages, label, site * TARGET.nodes, "1/s", formula), &[], None, CHANGES_BY_REGION);
    let formula = "lines x bytes of a change";
    rows.add(
        amount(Bytes, label, delivered_bytes(site, &change), "B/s", formula),
        &[&change],
        None,
        CHANGES_BY_REGION,
    );

    rows.set_situation(Situation::ZoneLost);
    let gone = TARGET.zone_servers();
    let label = "lines when its servers are gone, and again when they are back";
    let formula = "servers of a zone x nodes";
    rows.add(amount(Messages, label, gone * TARGET.nodes, "lines", formula), &[], None, CHANGES_BY_REGION);
    let formula = "lines x bytes of a change";
    rows.add(
        amount(Bytes, label, delivered_bytes(gone, &change), "B", formula),
        &[&change],
        None,
        CHANGES_BY_REGION,
    );
    let label = "whole lists when its nodes are back with none kept";
    let returned = TARGET.zone_nodes() * full_list.value;
    rows.add(
        amount(Bytes, label, returned, "B", "nodes of a zone x whole list"),
        &[&full_list],
        None,
        LISTS_BY_REGION,
    );

    rows.set_situation(Situation::RegionStarts);
    let calls = TARGET.region_nodes;
    rows.add(amount(Messages, "calls at once", calls, "calls", "643"), &[&start], None, WATCH_PER_NODE);
    let label = "whole lists, where none is kept";
    rows.add(
        amount(Bytes, label, calls * full_list.value, "B", "643 x whole list"),
        &[&full_list],
        None,
        LISTS_BY_REGION,
    );

    rows.set_situation(Situation::RegionsCut);
    let label = "calls in the busiest second after all watches of a region are lost";
    let formula = "calls are spread by each node's own draw";
    rows.add(
        amount(Messages, label, lost_region.value, "1/s", formula),
        &[&lost_region],
        None,
        WATCH_PER_NODE,
    );
    let missed = TARGET.cut_s * changes * change.value * TARGET.region_nodes;
    let label = "changes told after it";
    let formula = "600 s x 3 x server restarts/s x 643 x bytes of a change";
    rows.add(amount(Bytes, label, missed, "B", formula), &[&change], None, WATCH_PER_NODE);

    rows.set_situation(Situation::AllRestarted);
    let label = "calls in the busiest second of a start at once";
    rows.add(amount(Messages, label, start.value, "1/s", "nodes"), &[&start], None, LISTS_BY_REGION);
    let label = "calls in the busiest second after all watches are lost";
    let formula = "calls are spread by each node's own draw";
    rows.add(amount(Messages, label, lost.value, "1/s", formula), &[&lost], None, WATCH_PER_NODE);
    let label = "whole lists, where none is kept";
    let full_lists = TARGET.nodes * full_list.value;
    rows.add(
        amount(Bytes, label, full_lists, "B", "nodes x whole list"),
        &[&full_list],
        None,
        LISTS_BY_REGION,
    );
    Ok(rows.finish())
}
