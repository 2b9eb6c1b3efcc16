//! Load on one control machine if the control machines delivered to every node themselves. Nothing runs on
//! them yet, so processor time and memory were not measured.

use super::figures::{Measurements, MissingMetric};
use super::row::{Component, Mechanism, Quantity, Row, Rows, Situation, amount};
use super::target::{Budget, TARGET};
use crate::roles::Role;

const NO_SERVICE: Mechanism = Mechanism::Missing("nothing runs on control machines");
const ONE_COPY: Mechanism = Mechanism::Missing("one copy a region, told on by its nodes");

/// Computes the rows of a control machine.
///
/// # Errors
/// If a metric was not measured.
pub fn rows(measurements: &Measurements) -> Result<Vec<Row>, MissingMetric> {
    use Quantity::{Bytes, Messages, State};
    let settings = measurements.at(Role::Reload, "text_bytes", TARGET.tenants)?;
    let nodes = TARGET.nodes / Budget::OPERATORS.machines;
    let mut rows = Rows::new(Component::ControlMachine);

    rows.add(amount(State, "nodes that it tells", nodes, "nodes", "nodes / 30"), &[], None, NO_SERVICE);
    let changes = TARGET.changes() * nodes;
    let formula = "changes/s x nodes / 30";
    let label = "deliveries of configuration";
    rows.add(amount(Messages, label, changes, "1/s", formula), &[], None, NO_SERVICE);
    let label = "configuration, changes alone";
    let formula = "deliveries x 1,024 B";
    rows.add(amount(Bytes, label, changes * TARGET.change_bytes, "B/s", formula), &[], None, NO_SERVICE);
    let label = "configuration as the whole text";
    let formula = "deliveries x whole text of 1,000 tenants (assumed)";
    rows.add(amount(Bytes, label, changes * settings.value, "B/s", formula), &[&settings], None, NO_SERVICE);
    let purges = TARGET.purges * nodes;
    let label = "deliveries of purges, one by one";
    rows.add(amount(Messages, label, purges, "1/s", "purges/s x nodes / 30"), &[], None, ONE_COPY);
    let label = "purges";
    let formula = "deliveries x 16 B";
    rows.add(amount(Bytes, label, purges * TARGET.purge_bytes, "B/s", formula), &[], None, ONE_COPY);
    let regions = TARGET.regions / Budget::OPERATORS.machines;
    let label = "deliveries of purges with one copy a region";
    let formula = "purges/s x regions / 30";
    rows.add(amount(Messages, label, TARGET.purges * regions, "1/s", formula), &[], None, ONE_COPY);

    rows.set_situation(Situation::BusiestSecond);
    let label = "deliveries of purges and changes, each to each node";
    let formula = "(purges/s + changes/s) x nodes / 30";
    rows.add(amount(Messages, label, purges + changes, "1/s", formula), &[], None, ONE_COPY);

    rows.set_situation(Situation::ZoneLost);
    let returned = TARGET.zone_nodes() / Budget::OPERATORS.machines * settings.value;
    let label = "whole texts to its nodes when they are back";
    let formula = "nodes of a zone / 30 x whole text";
    rows.add(amount(Bytes, label, returned, "B", formula), &[&settings], None, NO_SERVICE);

    rows.set_situation(Situation::RegionStarts);
    let started = TARGET.region_nodes / Budget::OPERATORS.machines * settings.value;
    let label = "whole texts";
    rows.add(amount(Bytes, label, started, "B", "643 / 30 x whole text"), &[&settings], None, NO_SERVICE);

    rows.set_situation(Situation::RegionsCut);
    let retained =
        TARGET.cut_s * (TARGET.purges * TARGET.purge_bytes + TARGET.changes() * TARGET.change_bytes);
    let label = "purges and changes kept for those who miss them";
    let formula = "600 s x (purges/s x 16 B + changes/s x 1,024 B)";
    rows.add(amount(State, label, retained, "B", formula), &[], None, NO_SERVICE);

    rows.set_situation(Situation::AllRestarted);
    let label = "whole texts";
    let formula = "nodes / 30 x whole text";
    rows.add(amount(Bytes, label, nodes * settings.value, "B", formula), &[&settings], None, NO_SERVICE);
    Ok(rows.finish())
}
