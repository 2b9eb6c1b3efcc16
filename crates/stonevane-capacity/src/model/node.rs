//! What a node bears.

use super::figures::{Figures, MissingFigure, Value};
use super::row::{Mechanism, Party, Quantity, Row, Rows, Situation, amount};
use super::target::{Budget, TARGET};
use crate::roles::Role;

/// Datagrams of news that a member sends at the most: to six others four times a second, each of 256 bytes.
const GOSSIP_CAP: f64 = 6.0 * 4.0 * 256.0;
/// Length of an answer at which passage was measured, the nearest to the target's mean.
const ANSWER_MEASURED: f64 = 900_000.0;
/// Bytes of one address in `peers`, with its quotes and comma.
const PEER_BYTES: f64 = 22.0;
/// Datagrams that a probe costs that fails directly and succeeds through others: once more itself, and three others
/// asked, each with a probe, its answer and the word back.
const INDIRECT_DATAGRAMS: f64 = 13.0;
/// A restart is two pieces of news (gone, there again); a death or a start is one.
const NEWS_OF_RESTART: f64 = 2.0;

const FLAT: Mechanism = Mechanism::Today("flat membership; the daemon refuses more than 4,096 peers");
const FLAT_OVER: Mechanism = Mechanism::Missing("membership by region");
const WHOLE_LIST: Mechanism = Mechanism::Today("whole list, then a watch on changes");
const SUBSET: Mechanism = Mechanism::Today("a subset of servers by region, where `[regions]` is set");
const RELOAD: Mechanism = Mechanism::Missing("changes alone; today the whole file at SIGHUP");
const PURGES: Mechanism = Mechanism::Missing("nothing tells purges");
const REQUESTS: Mechanism = Mechanism::Today("the request path, no control");

/// Measured figures of a node at the target.
struct Measured {
    table: Value,
    steady_bytes: Value,
    steady_datagrams: Value,
    steady_cpu: Value,
    restart_bytes: Value,
    restart_cpu: Value,
    start_bytes: Value,
    start_datagrams: Value,
    start_cpu: Value,
    start_quiet: Value,
    death_all: Value,
    servers: Value,
    whole: Value,
    whole_read: Value,
    whole_take: Value,
    change_bytes: Value,
    change_cpu: Value,
    beat: Value,
    placement: Value,
    placement_region: Value,
    outcome: Value,
    text: Value,
    text_read: Value,
    text_take: Value,
    passage: Value,
    wanted: Value,
    opened: Value,
    region: Value,
}

impl Measured {
    fn of(figures: &Figures) -> Result<Measured, MissingFigure> {
        let members = |metric| figures.at(Role::Membership, metric, TARGET.nodes);
        let every_member = |metric| figures.at_measured(Role::Membership, metric, TARGET.nodes);
        let list = |metric| figures.at(Role::ServerList, metric, TARGET.servers);
        let state = |metric| figures.at(Role::NodeState, metric, TARGET.servers);
        let text = |metric| figures.at(Role::Reload, metric, TARGET.tenants);
        let connections = |metric| figures.at(Role::ServerConnections, metric, TARGET.nodes);
        Ok(Measured {
            table: members("memory")?,
            steady_bytes: members("steady_bytes")?,
            steady_datagrams: members("steady_datagrams")?,
            steady_cpu: every_member("steady_cpu")?,
            restart_bytes: members("restart_bytes")?,
            restart_cpu: every_member("restart_cpu")?,
            start_bytes: members("start_bytes")?,
            start_datagrams: members("start_datagrams")?,
            start_cpu: every_member("start_cpu")?,
            start_quiet: members("start_quiet")?,
            death_all: figures.at_logarithm(Role::Membership, "death_all", TARGET.nodes)?,
            servers: state("memory")?,
            whole: list("whole_bytes")?,
            whole_read: list("whole_read_cpu")?,
            whole_take: list("whole_take_cpu")?,
            change_bytes: list("change_bytes")?,
            change_cpu: list("change_cpu")?,
            beat: list("watch_bytes")?,
            placement: state("placement")?,
            placement_region: figures.at(Role::NodeState, "placement", TARGET.region_servers)?,
            outcome: state("outcome")?,
            text: text("text_bytes")?,
            text_read: text("read_cpu")?,
            text_take: text("take_cpu")?,
            passage: figures.at(Role::Passage, "request_cpu", ANSWER_MEASURED)?,
            wanted: connections("node_wanted")?,
            opened: connections("node_opened")?,
            region: connections("node_region")?,
        })
    }

    /// Bytes a second of membership on an ordinary day.
    fn membership_bytes(&self) -> f64 {
        self.steady_bytes.value + TARGET.node_restarts() * self.restart_bytes.value
    }

    /// Microseconds a second of membership on an ordinary day.
    fn membership_cpu(&self) -> f64 {
        self.steady_cpu.value + TARGET.node_restarts() * self.restart_cpu.value
    }

    /// Changes of the list in a second: a server leaves, is gone and is there again.
    fn list_changes() -> f64 {
        3.0 * TARGET.server_restarts()
    }

    fn list_bytes(&self) -> f64 {
        self.beat.value + Self::list_changes() * self.change_bytes.value
    }

    fn list_cpu(&self) -> f64 {
        Self::list_changes() * self.change_cpu.value
    }

    fn reload_bytes(&self) -> f64 {
        TARGET.changes() * self.text.value
    }

    fn reload_cpu(&self) -> f64 {
        TARGET.changes() * (self.text_read.value + self.text_take.value)
    }
}

/// The rows of a node.
///
/// # Errors
/// Where a figure was not measured.
pub fn rows(figures: &Figures) -> Result<Vec<Row>, MissingFigure> {
    let measured = Measured::of(figures)?;
    let mut rows = Rows::of(Party::Node);
    ordinary_state(&mut rows, &measured);
    ordinary_bytes(&mut rows, &measured);
    ordinary_processor(&mut rows, &measured);
    busiest(&mut rows, &measured);
    zone_lost(&mut rows, &measured);
    region_starts(&mut rows, &measured);
    regions_cut(&mut rows, &measured);
    all_restarted(&mut rows, &measured);
    Ok(rows.done())
}

fn ordinary_state(rows: &mut Rows, m: &Measured) {
    use Quantity::{Memory, Messages, State};
    let (memory, sockets) = (Some(Budget::OPERATORS.memory), Some(Budget::OPERATORS.sockets));
    let records = amount(State, "records of members", TARGET.nodes, "records", "nodes");
    rows.add(records, &[], None, FLAT);
    let servers = amount(State, "cache servers known", TARGET.servers, "servers", "servers");
    rows.add(servers, &[], None, WHOLE_LIST);
    let what = "connections to cache servers that would be held";
    let wanted = amount(State, what, m.wanted.value, "connections", "778 requests/s over 4,200 servers");
    rows.add(wanted, &[&m.wanted], sockets, SUBSET);
    let what = "connections with the 150 servers of its region";
    let region = amount(State, what, m.region.value, "connections", "778 requests/s over 150 servers");
    rows.add(region, &[&m.region], sockets, SUBSET);
    let what = "tables of members and of servers";
    let held = m.table.value + m.servers.value;
    let tables = amount(Memory, what, held, "B", "members' table + servers' table");
    rows.add(tables, &[&m.table, &m.servers], memory, FLAT);
    let what = "datagrams of membership sent";
    let sent = m.steady_datagrams.value;
    rows.add(amount(Messages, what, sent, "1/s", "steady datagrams"), &[&m.steady_datagrams], None, FLAT);
    let what = "connections opened to cache servers";
    let opened = amount(Messages, what, m.opened.value, "1/s", "at 1,024 sockets");
    rows.add(opened, &[&m.opened], None, SUBSET);
}

fn ordinary_bytes(rows: &mut Rows, m: &Measured) {
    use Quantity::Bytes;
    let bytes = Some(Budget::OPERATORS.bytes);
    let formula = "steady + node restarts/s x bytes of one restart";
    let membership = amount(Bytes, "membership sent", m.membership_bytes(), "B/s", formula);
    rows.add(membership, &[&m.steady_bytes, &m.restart_bytes], bytes, FLAT);
    let formula = "watch's beat + 3 x server restarts/s x bytes of a change";
    let list = amount(Bytes, "list of servers", m.list_bytes(), "B/s", formula);
    rows.add(list, &[&m.beat, &m.change_bytes], bytes, WHOLE_LIST);
    let purges = TARGET.purges * TARGET.purge_bytes;
    rows.add(amount(Bytes, "purges", purges, "B/s", "purges/s x 16 B"), &[], bytes, PURGES);
    let formula = "changes/s x whole text of 1,000 tenants (assumed)";
    let reloads = amount(Bytes, "configuration as the whole text", m.reload_bytes(), "B/s", formula);
    rows.add(reloads, &[&m.text], bytes, RELOAD);
    let with_peers = TARGET.changes() * (m.text.value + TARGET.nodes * PEER_BYTES);
    let formula = "changes/s x (whole text + nodes x 22 B of `peers`)";
    let reloads =
        amount(Bytes, "configuration as the whole text, with `peers` in it", with_peers, "B/s", formula);
    rows.add(reloads, &[&m.text], bytes, RELOAD);
    let changes = TARGET.changes() * TARGET.change_bytes;
    let what = "configuration if only the change travels";
    rows.add(amount(Bytes, what, changes, "B/s", "changes/s x 1,024 B"), &[], bytes, RELOAD);
    let all = m.membership_bytes() + m.list_bytes() + purges + changes;
    let formula = "membership + list + purges + changes alone";
    let sum = amount(Bytes, "control in all, changes alone", all, "B/s", formula);
    let sources = [&m.steady_bytes, &m.restart_bytes, &m.beat, &m.change_bytes];
    rows.add(sum, &sources, bytes, PURGES);
}

fn ordinary_processor(rows: &mut Rows, m: &Measured) {
    use Quantity::Processor;
    let cpu = Some(Budget::OPERATORS.cpu);
    let formula = "steady + node restarts/s x time of one restart";
    let membership = amount(Processor, "membership", m.membership_cpu(), "us/s", formula);
    rows.add(membership, &[&m.steady_cpu, &m.restart_cpu], cpu, FLAT);
    let formula = "3 x server restarts/s x time of a change";
    rows.add(
        amount(Processor, "list of servers", m.list_cpu(), "us/s", formula),
        &[&m.change_cpu],
        cpu,
        WHOLE_LIST,
    );
    let formula = "changes/s x (read + take in, 1,000 tenants assumed)";
    let reloads = amount(Processor, "configuration as the whole text", m.reload_cpu(), "us/s", formula);
    rows.add(reloads, &[&m.text_read, &m.text_take], cpu, RELOAD);
    let all = m.membership_cpu() + m.list_cpu() + m.reload_cpu();
    let sum =
        amount(Processor, "control in all, without purges", all, "us/s", "membership + list + whole text");
    let sources = [&m.steady_cpu, &m.restart_cpu, &m.change_cpu, &m.text_read, &m.text_take];
    rows.add(sum, &sources, cpu, RELOAD);
    let placing = TARGET.node_requests() * (m.placement.value + m.outcome.value) / 1e3;
    let what = "placement over all servers (request path, against the budget of control)";
    let formula = "requests/s x (placement + outcome)";
    let sources = [&m.placement, &m.outcome];
    rows.add(amount(Processor, what, placing, "us/s", formula), &sources, cpu, SUBSET);
    let placing = TARGET.node_requests() * (m.placement_region.value + m.outcome.value) / 1e3;
    let what = "placement over the 150 servers of its region";
    let sources = [&m.placement_region, &m.outcome];
    rows.add(amount(Processor, what, placing, "us/s", formula), &sources, cpu, SUBSET);
}

fn busiest(rows: &mut Rows, m: &Measured) {
    use Quantity::{Bytes, Messages, Processor};
    rows.during(Situation::BusiestSecond);
    let requests = TARGET.node_requests();
    rows.add(amount(Messages, "requests", requests, "1/s", "14 million / nodes"), &[], None, REQUESTS);
    let answers = TARGET.bits / 8.0 / TARGET.nodes;
    rows.add(amount(Bytes, "answers", answers, "B/s", "100 Tbit/s / 8 / nodes"), &[], None, REQUESTS);
    let passing = requests * m.passage.value;
    let what = "requests passed through the core, 0.9 MB each";
    let passage = amount(Processor, what, passing, "us/s", "requests/s x time of one");
    rows.add(passage, &[&m.passage], None, REQUESTS);
    let site = TARGET.nodes / TARGET.sites;
    let burst = m.steady_bytes.value + (site * m.restart_bytes.value / NEWS_OF_RESTART).min(GOSSIP_CAP);
    let what = "membership while the 14 nodes of a site are gone";
    let formula = "steady + min(14 x half of a restart, the protocol's cap of 6,144 B/s)";
    let budget = Some(Budget::OPERATORS.bytes);
    rows.add(
        amount(Bytes, what, burst, "B/s", formula),
        &[&m.steady_bytes, &m.restart_bytes],
        budget,
        FLAT_OVER,
    );
    let what = "membership at the protocol's cap";
    let capped = amount(Processor, what, m.start_cpu.value, "us/s", "as in the first minute of a start");
    rows.add(capped, &[&m.start_cpu], Some(Budget::OPERATORS.cpu), FLAT_OVER);
}

fn zone_lost(rows: &mut Rows, m: &Measured) {
    use Quantity::{Bytes, Messages, Processor, Time};
    rows.during(Situation::ZoneLost);
    let bytes = Some(Budget::OPERATORS.bytes);
    let news = TARGET.zone_nodes() * m.restart_bytes.value;
    let what = "news of its 316 nodes, there and back, in all";
    let formula = "nodes of a zone x bytes of one restart";
    rows.add(amount(Bytes, what, news, "B", formula), &[&m.restart_bytes], None, FLAT_OVER);
    let capped = m.steady_bytes.value + GOSSIP_CAP;
    let what = "membership while that is passed on";
    let formula = "steady + the protocol's cap of 6,144 B/s";
    rows.add(amount(Bytes, what, capped, "B/s", formula), &[&m.steady_bytes], bytes, FLAT_OVER);
    let what = "for how long, at the least";
    let time = news / GOSSIP_CAP;
    rows.add(
        amount(Time, what, time, "s", "news / the protocol's cap"),
        &[&m.restart_bytes],
        None,
        FLAT_OVER,
    );
    let what = "until all know of a death";
    let formula = "grows with the logarithm of the nodes";
    rows.add(amount(Time, what, m.death_all.value, "s", formula), &[&m.death_all], None, FLAT);
    let changes = 2.0 * TARGET.zone_servers();
    let what = "changes of the list, there and back";
    rows.add(amount(Messages, what, changes, "changes", "2 x servers of a zone"), &[], None, WHOLE_LIST);
    let what = "the same, bytes";
    let told = amount(Bytes, what, changes * m.change_bytes.value, "B", "changes x bytes of one");
    rows.add(told, &[&m.change_bytes], None, WHOLE_LIST);
    let taking = changes * m.change_cpu.value;
    let told = amount(Processor, "the same, time", taking, "us", "changes x time of one");
    rows.add(told, &[&m.change_cpu], None, WHOLE_LIST);
}

fn region_starts(rows: &mut Rows, m: &Measured) {
    use Quantity::{Bytes, Processor, Time};
    rows.during(Situation::RegionStarts);
    let news = TARGET.region_nodes * m.restart_bytes.value / NEWS_OF_RESTART;
    let what = "at every other node: news of them";
    let formula = "643 x half of a restart";
    rows.add(amount(Bytes, what, news, "B", formula), &[&m.restart_bytes], None, FLAT_OVER);
    let what = "at the nodes that start: membership";
    let started = amount(Bytes, what, m.start_bytes.value, "B/s", "first minute of a start, at the least");
    rows.add(started, &[&m.start_bytes], Some(Budget::OPERATORS.bytes), FLAT_OVER);
    let what = "for how long";
    let lasts = amount(Time, what, m.start_quiet.value, "s", "until their news has been passed on");
    rows.add(lasts, &[&m.start_quiet], None, FLAT_OVER);
    let what = "at the nodes that start: whole list";
    rows.add(amount(Bytes, what, m.whole.value, "B", "whole list"), &[&m.whole], None, WHOLE_LIST);
    let time = m.whole_read.value + m.whole_take.value;
    let what = "at the nodes that start: taking the whole list in, against a second's budget";
    let taken = amount(Processor, what, time, "us", "read + take in");
    rows.add(taken, &[&m.whole_read, &m.whole_take], Some(Budget::OPERATORS.cpu), SUBSET);
}

fn regions_cut(rows: &mut Rows, m: &Measured) {
    use Quantity::{Bytes, Messages};
    rows.during(Situation::RegionsCut);
    let failing = TARGET.region_nodes / TARGET.nodes;
    let datagrams = m.steady_datagrams.value + failing * INDIRECT_DATAGRAMS;
    let what = "in these regions: datagrams of membership";
    let formula = "steady + 643/18,000 x 13 of a probe through others";
    rows.add(amount(Messages, what, datagrams, "1/s", formula), &[&m.steady_datagrams], None, FLAT);
    let bytes = datagrams * m.steady_bytes.value / m.steady_datagrams.value;
    let what = "the same, bytes";
    let formula = "datagrams x mean length";
    let sources = [&m.steady_bytes, &m.steady_datagrams];
    rows.add(amount(Bytes, what, bytes, "B/s", formula), &sources, Some(Budget::OPERATORS.bytes), FLAT);
    let purges = TARGET.cut * TARGET.purges * TARGET.purge_bytes;
    let what = "purges to be made up, where they come from the other region";
    rows.add(amount(Bytes, what, purges, "B", "600 s x purges/s x 16 B"), &[], None, PURGES);
    let changes = TARGET.cut * TARGET.changes() * TARGET.change_bytes;
    let what = "configuration to be made up, changes alone";
    rows.add(amount(Bytes, what, changes, "B", "600 s x changes/s x 1,024 B"), &[], None, RELOAD);
}

fn all_restarted(rows: &mut Rows, m: &Measured) {
    use Quantity::{Bytes, Messages, Processor, Time};
    rows.during(Situation::AllRestarted);
    let bytes = Some(Budget::OPERATORS.bytes);
    let started = amount(Bytes, "membership", m.start_bytes.value, "B/s", "first minute, at the least");
    rows.add(started, &[&m.start_bytes], bytes, FLAT_OVER);
    let datagrams = m.start_datagrams.value;
    let started = amount(Messages, "membership", datagrams, "1/s", "first minute, at the least");
    rows.add(started, &[&m.start_datagrams], None, FLAT_OVER);
    let started = amount(Processor, "membership", m.start_cpu.value, "us/s", "first minute");
    rows.add(started, &[&m.start_cpu], Some(Budget::OPERATORS.cpu), FLAT_OVER);
    let lasts = amount(Time, "for how long", m.start_quiet.value, "s", "until the news has been passed on");
    rows.add(lasts, &[&m.start_quiet], None, FLAT_OVER);
    rows.add(amount(Bytes, "whole list", m.whole.value, "B", "whole list"), &[&m.whole], None, WHOLE_LIST);
    let text = amount(Bytes, "whole text of settings", m.text.value, "B", "1,000 tenants assumed");
    rows.add(text, &[&m.text], None, Mechanism::Today("the platform's file"));
}
