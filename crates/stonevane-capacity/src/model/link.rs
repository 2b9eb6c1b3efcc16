//! Load on the link from one region to another, in that direction.

use super::figures::{Measurements, MissingMetric};
use super::row::{Component, Mechanism, Quantity, Row, Rows, Situation, amount};
use super::target::TARGET;
use crate::roles::Role;

/// Datagrams that a failed direct probe sends to an unreachable region: the probe and one retry.
const FAILED_PROBE_DATAGRAMS: f64 = 2.0;

const FLAT: Mechanism = Mechanism::Today("flat membership: peers are probed wherever they are");
const BY_REGION: Mechanism = Mechanism::Missing("membership by region");
const ONE_COPY: Mechanism = Mechanism::Missing("one copy a region, told on by its nodes");
const LISTS_BY_REGION: Mechanism = Mechanism::Missing("lists by region, or from a neighbour");

/// Computes the rows of a link.
///
/// # Errors
/// If a metric was not measured.
pub fn rows(measurements: &Measurements) -> Result<Vec<Row>, MissingMetric> {
    use Quantity::{Bytes, Messages, State};
    let members = |metric| measurements.at(Role::Membership, metric, TARGET.nodes);
    let (datagrams, steady) = (members("steady_datagrams")?, members("steady_bytes")?);
    let (start, restart) = (members("start_bytes")?, members("restart_bytes")?);
    let full_list = measurements.at(Role::ServerList, "whole_bytes", TARGET.servers)?;
    let across = TARGET.region_nodes * TARGET.region_nodes / TARGET.nodes;
    let purges = TARGET.purges * TARGET.purge_bytes;
    let changes = TARGET.changes() * TARGET.change_bytes;
    let mut rows = Rows::new(Component::Link);

    let label = "pairs of members that speak across it";
    let pairs = TARGET.region_nodes * TARGET.region_nodes;
    rows.add(amount(State, label, pairs, "pairs", "643 x 643"), &[], None, FLAT);
    let formula = "643 x 643/18,000 x steady datagrams";
    let sent = amount(Messages, "membership", across * datagrams.value, "1/s", formula);
    rows.add(sent, &[&datagrams], None, FLAT);
    let formula = "643 x 643/18,000 x (steady + node restarts/s x bytes of one restart)";
    let ordinary = across * (steady.value + TARGET.node_restarts() * restart.value);
    rows.add(amount(Bytes, "membership", ordinary, "B/s", formula), &[&steady, &restart], None, FLAT);
    let label = "purges of one region, told to each node of the other";
    let formula = "643 x purges/s x 16 B";
    rows.add(amount(Bytes, label, TARGET.region_nodes * purges, "B/s", formula), &[], None, ONE_COPY);
    let label = "the same, one copy";
    rows.add(amount(Bytes, label, purges, "B/s", "purges/s x 16 B"), &[], None, ONE_COPY);
    let label = "configuration, changes alone, told to each node";
    let formula = "643 x changes/s x 1,024 B";
    rows.add(amount(Bytes, label, TARGET.region_nodes * changes, "B/s", formula), &[], None, ONE_COPY);
    let label = "the same, one copy";
    rows.add(amount(Bytes, label, changes, "B/s", "changes/s x 1,024 B"), &[], None, ONE_COPY);

    rows.set_situation(Situation::BusiestSecond);
    let label = "purges and changes, told to each node";
    let formula = "643 x (purges/s x 16 B + changes/s x 1,024 B)";
    let per_second = TARGET.region_nodes * (purges + changes);
    rows.add(amount(Bytes, label, per_second, "B/s", formula), &[], None, ONE_COPY);

    rows.set_situation(Situation::ZoneLost);
    let update_bytes = across * TARGET.zone_nodes() * restart.value;
    let label = "news of its nodes, there and back, in all";
    let formula = "643 x 643/18,000 x nodes of a zone x bytes of one restart";
    rows.add(amount(Bytes, label, update_bytes, "B", formula), &[&restart], None, BY_REGION);

    rows.set_situation(Situation::RegionStarts);
    let label = "whole lists, where discovery is in the other region";
    let lists = TARGET.region_nodes * full_list.value;
    rows.add(amount(Bytes, label, lists, "B", "643 x whole list"), &[&full_list], None, LISTS_BY_REGION);

    rows.set_situation(Situation::RegionsCut);
    let label = "datagrams of membership lost on it";
    let formula = "643 x 643/18,000 x 2 for a probe";
    rows.add(amount(Messages, label, across * FAILED_PROBE_DATAGRAMS, "1/s", formula), &[], None, FLAT);
    let label = "made up after it, told to each node";
    let formula = "600 s x 643 x (purges/s x 16 B + changes/s x 1,024 B)";
    rows.add(amount(Bytes, label, TARGET.cut_s * per_second, "B", formula), &[], None, ONE_COPY);
    let label = "the same, one copy";
    let formula = "600 s x (purges/s x 16 B + changes/s x 1,024 B)";
    rows.add(amount(Bytes, label, TARGET.cut_s * (purges + changes), "B", formula), &[], None, ONE_COPY);

    rows.set_situation(Situation::AllRestarted);
    let label = "membership";
    let formula = "643 x 643/18,000 x first minute, at the least";
    rows.add(amount(Bytes, label, across * start.value, "B/s", formula), &[&start], None, BY_REGION);
    Ok(rows.finish())
}
