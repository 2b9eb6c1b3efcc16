//! Rows that recompute the operators' estimates from the target and the measurements.

use super::figures::{Measurements, MissingMetric};
use super::row::{Component, Mechanism, Quantity, Row, Rows, Situation, amount};
use super::target::{Budget, TARGET};
use crate::roles::Role;

const ESTIMATE_HOLDS: Mechanism = Mechanism::Today("their reckoning holds");

/// Computes the rows of the operators' estimates.
///
/// # Errors
/// If a metric was not measured.
pub fn rows(measurements: &Measurements) -> Result<Vec<Row>, MissingMetric> {
    use Quantity::{Bytes, Messages, State};
    let full_list = measurements.at(Role::ServerList, "whole_bytes", TARGET.servers)?;
    let mut rows = Rows::new(Component::Estimates);
    let purges = TARGET.purges * TARGET.purge_bytes;
    let label = "purges at every node: 4.6 KB/s";
    let budget = Some(Budget::OPERATORS.bytes);
    rows.add(amount(Bytes, label, purges, "B/s", "290 x 16 B"), &[], budget, ESTIMATE_HOLDS);
    let deliveries = TARGET.changes() * TARGET.nodes / Budget::OPERATORS.machines;
    let label = "deliveries of changes at each control machine: 403 a second";
    let formula = "58,000 / 86,400 x 18,000 / 30";
    rows.add(amount(Messages, label, deliveries, "1/s", formula), &[], None, ESTIMATE_HOLDS);
    let pairs = TARGET.nodes * TARGET.servers;
    let label = "pairs of nodes and servers";
    rows.add(amount(State, label, pairs, "pairs", "18,000 x 4,200"), &[], None, ESTIMATE_HOLDS);
    let label = "a server's entry in the list: some 150 B";
    let entry = full_list.value / TARGET.servers;
    rows.add(amount(Bytes, label, entry, "B", "whole list / servers"), &[&full_list], None, ESTIMATE_HOLDS);
    let label = "the whole list: 630 KB";
    rows.add(amount(Bytes, label, full_list.value, "B", "whole list"), &[&full_list], None, ESTIMATE_HOLDS);
    rows.set_situation(Situation::ZoneLost);
    let label = "whole lists at a zone's return: 200 MB";
    let returned = TARGET.zone_nodes() * full_list.value;
    rows.add(
        amount(Bytes, label, returned, "B", "nodes of a zone x whole list"),
        &[&full_list],
        None,
        ESTIMATE_HOLDS,
    );
    rows.set_situation(Situation::BusiestSecond);
    let label = "requests of a node: 778 a second";
    let requests = TARGET.node_requests();
    rows.add(amount(Messages, label, requests, "1/s", "14 million / 18,000"), &[], None, ESTIMATE_HOLDS);
    let label = "bits of a node: 5.6 Gbit/s";
    let bits = TARGET.bits / TARGET.nodes;
    rows.add(amount(Bytes, label, bits, "bit/s", "100 Tbit/s / 18,000"), &[], None, ESTIMATE_HOLDS);
    let label = "an answer: 0.9 MB";
    let response = TARGET.response_bytes();
    rows.add(amount(Bytes, label, response, "B", "100 Tbit/s / 8 / 14 million"), &[], None, ESTIMATE_HOLDS);
    Ok(rows.finish())
}
