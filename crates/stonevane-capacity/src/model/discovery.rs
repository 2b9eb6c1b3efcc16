//! What the discovery service bears. Its processor and memory are its own software's and were not measured.

use super::figures::{Figures, MissingFigure, Value};
use super::row::{Mechanism, Party, Quantity, Row, Rows, Situation, amount};
use super::target::TARGET;
use crate::roles::Role;

const WATCHES: Mechanism = Mechanism::Today("one watch of each node");
const CHANGES: Mechanism = Mechanism::Missing("changes told once a region and on from there");
const WHOLE: Mechanism = Mechanism::Missing("lists by region, or from a neighbour");

/// Bytes of a change told to every node.
fn told(changes: f64, change: &Value) -> f64 {
    changes * TARGET.nodes * change.value
}

/// The rows of the discovery service.
///
/// # Errors
/// Where a figure was not measured.
#[expect(clippy::too_many_lines, reason = "one table: a few lines for each row of the page")]
pub fn rows(figures: &Figures) -> Result<Vec<Row>, MissingFigure> {
    use Quantity::{Bytes, Messages, State};
    let list = |metric| figures.at(Role::ServerList, metric, TARGET.servers);
    let calls = |metric, nodes| figures.at(Role::Discovery, metric, nodes);
    let (whole, change, beat) = (list("whole_bytes")?, list("change_bytes")?, list("watch_bytes")?);
    let start = calls("start_busiest", TARGET.nodes)?;
    let lost = calls("lost_busiest", TARGET.nodes)?;
    let lost_region = calls("lost_busiest", TARGET.region_nodes)?;
    let mut rows = Rows::of(Party::Discovery);

    rows.add(amount(State, "watches open", TARGET.nodes, "watches", "nodes"), &[], None, WATCHES);
    let beats = TARGET.nodes / 2.0;
    rows.add(amount(Messages, "empty lines", beats, "1/s", "nodes / 2 s"), &[], None, WATCHES);
    let what = "empty lines";
    let quiet = amount(Bytes, what, TARGET.nodes * beat.value, "B/s", "nodes x beat of a watch");
    rows.add(quiet, &[&beat], None, WATCHES);
    let changes = 3.0 * TARGET.server_restarts();
    let formula = "3 x server restarts/s x nodes";
    let lines = amount(Messages, "lines told", changes * TARGET.nodes, "1/s", formula);
    rows.add(lines, &[], None, WATCHES);
    let formula = "lines x bytes of a change";
    let lines = amount(Bytes, "lines told", told(changes, &change), "B/s", formula);
    rows.add(lines, &[&change], None, WATCHES);

    rows.during(Situation::BusiestSecond);
    let site = TARGET.servers / TARGET.sites;
    let what = "lines when the servers of a site are gone";
    let formula = "servers / sites x nodes";
    rows.add(amount(Messages, what, site * TARGET.nodes, "1/s", formula), &[], None, CHANGES);
    let formula = "lines x bytes of a change";
    rows.add(amount(Bytes, what, told(site, &change), "B/s", formula), &[&change], None, CHANGES);

    rows.during(Situation::ZoneLost);
    let gone = TARGET.zone_servers();
    let what = "lines when its servers are gone, and again when they are back";
    let formula = "servers of a zone x nodes";
    rows.add(amount(Messages, what, gone * TARGET.nodes, "lines", formula), &[], None, CHANGES);
    let formula = "lines x bytes of a change";
    rows.add(amount(Bytes, what, told(gone, &change), "B", formula), &[&change], None, CHANGES);
    let what = "whole lists when its nodes are back with none kept";
    let back = TARGET.zone_nodes() * whole.value;
    rows.add(amount(Bytes, what, back, "B", "nodes of a zone x whole list"), &[&whole], None, WHOLE);

    rows.during(Situation::RegionStarts);
    let calls = TARGET.region_nodes;
    rows.add(amount(Messages, "calls at once", calls, "calls", "643"), &[&start], None, WATCHES);
    let what = "whole lists, where none is kept";
    rows.add(amount(Bytes, what, calls * whole.value, "B", "643 x whole list"), &[&whole], None, WHOLE);

    rows.during(Situation::RegionsCut);
    let what = "calls in the busiest second after all watches of a region are lost";
    let formula = "calls are spread by each node's own draw";
    rows.add(amount(Messages, what, lost_region.value, "1/s", formula), &[&lost_region], None, WATCHES);
    let missed = TARGET.cut * changes * change.value * TARGET.region_nodes;
    let what = "changes told after it";
    let formula = "600 s x 3 x server restarts/s x 643 x bytes of a change";
    rows.add(amount(Bytes, what, missed, "B", formula), &[&change], None, WATCHES);

    rows.during(Situation::AllRestarted);
    let what = "calls in the busiest second of a start at once";
    rows.add(amount(Messages, what, start.value, "1/s", "nodes"), &[&start], None, WHOLE);
    let what = "calls in the busiest second after all watches are lost";
    let formula = "calls are spread by each node's own draw";
    rows.add(amount(Messages, what, lost.value, "1/s", formula), &[&lost], None, WATCHES);
    let what = "whole lists, where none is kept";
    let all = TARGET.nodes * whole.value;
    rows.add(amount(Bytes, what, all, "B", "nodes x whole list"), &[&whole], None, WHOLE);
    Ok(rows.done())
}
