//! Load on one node.

use super::figures::{Measurements, MissingMetric, Value};
use super::row::{Component, Mechanism, Quantity, Row, Rows, Situation, amount};
use super::target::{Budget, TARGET};
use crate::roles::Role;

/// Maximum rate at which a member sends gossip, in bytes per second: datagrams of 256 bytes to six other
/// members, four times a second.
const GOSSIP_CAP_BYTES_PER_S: f64 = 6.0 * 4.0 * 256.0;
/// Response length, in bytes, at which the cost of forwarding is looked up: the measured length nearest to
/// the target's mean response length.
const MEASURED_RESPONSE_BYTES: f64 = 900_000.0;
/// Bytes of one address in the setting `peers`, including quotes and comma.
const PEER_BYTES: f64 = 22.0;
/// Extra datagrams of a probe that fails directly and succeeds indirectly: one retry, and for each of three
/// other members a request, its probe, the acknowledgement and the reply.
const INDIRECT_PROBE_DATAGRAMS: f64 = 13.0;
/// Membership updates caused by a restart: left, then alive again. A death or a start causes one update.
const UPDATES_PER_RESTART: f64 = 2.0;

const FLAT: Mechanism = Mechanism::Today("flat membership; the daemon refuses more than 4,096 peers");
const BY_REGION: Mechanism = Mechanism::Missing("membership by region");
const LIST_AND_WATCH: Mechanism = Mechanism::Today("whole list, then a watch on changes");
const SUBSET: Mechanism = Mechanism::Today("a subset of servers by region, where `[regions]` is set");
const CHANGE_DELIVERY: Mechanism = Mechanism::Missing("changes alone; today the whole file at SIGHUP");
const PURGE_DELIVERY: Mechanism = Mechanism::Missing("nothing tells purges");
const REQUEST_PATH: Mechanism = Mechanism::Today("the request path, no control");

/// Measured values that the formulas of a node use, at the target.
struct Measured {
    member_table_bytes: Value,
    steady_bytes: Value,
    steady_datagrams: Value,
    steady_us: Value,
    restart_bytes: Value,
    restart_us: Value,
    start_bytes: Value,
    start_datagrams: Value,
    start_us: Value,
    start_quiet_s: Value,
    death_known_s: Value,
    server_table_bytes: Value,
    full_list_bytes: Value,
    full_list_read_us: Value,
    full_list_apply_us: Value,
    change_bytes: Value,
    change_us: Value,
    watch_bytes_per_s: Value,
    placement_ns: Value,
    region_placement_ns: Value,
    outcome_ns: Value,
    settings_bytes: Value,
    settings_read_us: Value,
    settings_apply_us: Value,
    request_us: Value,
    connections_unlimited: Value,
    connections_opened: Value,
    region_connections: Value,
}

impl Measured {
    fn from_measurements(measurements: &Measurements) -> Result<Measured, MissingMetric> {
        let members = |metric| measurements.at(Role::Membership, metric, TARGET.nodes);
        let every_member = |metric| measurements.at_measured(Role::Membership, metric, TARGET.nodes);
        let list = |metric| measurements.at(Role::ServerList, metric, TARGET.servers);
        let state = |metric| measurements.at(Role::NodeState, metric, TARGET.servers);
        let settings = |metric| measurements.at(Role::Reload, metric, TARGET.tenants);
        let connections = |metric| measurements.at(Role::ServerConnections, metric, TARGET.nodes);
        Ok(Measured {
            member_table_bytes: members("memory")?,
            steady_bytes: members("steady_bytes")?,
            steady_datagrams: members("steady_datagrams")?,
            steady_us: every_member("steady_cpu")?,
            restart_bytes: members("restart_bytes")?,
            restart_us: every_member("restart_cpu")?,
            start_bytes: members("start_bytes")?,
            start_datagrams: members("start_datagrams")?,
            start_us: every_member("start_cpu")?,
            start_quiet_s: members("start_quiet")?,
            death_known_s: measurements.at_logarithm(Role::Membership, "death_all", TARGET.nodes)?,
            server_table_bytes: state("memory")?,
            full_list_bytes: list("whole_bytes")?,
            full_list_read_us: list("whole_read_cpu")?,
            full_list_apply_us: list("whole_take_cpu")?,
            change_bytes: list("change_bytes")?,
            change_us: list("change_cpu")?,
            watch_bytes_per_s: list("watch_bytes")?,
            placement_ns: state("placement")?,
            region_placement_ns: measurements.at(Role::NodeState, "placement", TARGET.region_servers)?,
            outcome_ns: state("outcome")?,
            settings_bytes: settings("text_bytes")?,
            settings_read_us: settings("read_cpu")?,
            settings_apply_us: settings("take_cpu")?,
            request_us: measurements.at(Role::Passage, "request_cpu", MEASURED_RESPONSE_BYTES)?,
            connections_unlimited: connections("node_wanted")?,
            connections_opened: connections("node_opened")?,
            region_connections: connections("node_region")?,
        })
    }

    /// Membership traffic of a node on an ordinary day, in bytes per second.
    fn membership_bytes_per_s(&self) -> f64 {
        self.steady_bytes.value + TARGET.node_restarts() * self.restart_bytes.value
    }

    /// Processor time that membership takes on an ordinary day, in microseconds per second.
    fn membership_us_per_s(&self) -> f64 {
        self.steady_us.value + TARGET.node_restarts() * self.restart_us.value
    }

    /// Changes of the server list per second: a restarted server is leaving, then absent, then active again.
    fn list_changes() -> f64 {
        3.0 * TARGET.server_restarts()
    }

    fn list_bytes_per_s(&self) -> f64 {
        self.watch_bytes_per_s.value + Self::list_changes() * self.change_bytes.value
    }

    fn list_us_per_s(&self) -> f64 {
        Self::list_changes() * self.change_us.value
    }

    fn reload_bytes_per_s(&self) -> f64 {
        TARGET.changes() * self.settings_bytes.value
    }

    fn reload_us_per_s(&self) -> f64 {
        TARGET.changes() * (self.settings_read_us.value + self.settings_apply_us.value)
    }
}

/// Computes the rows of a node.
///
/// # Errors
/// If a metric was not measured.
pub fn rows(measurements: &Measurements) -> Result<Vec<Row>, MissingMetric> {
    let measured = Measured::from_measurements(measurements)?;
    let mut rows = Rows::new(Component::Node);
    ordinary_state(&mut rows, &measured);
    ordinary_bytes(&mut rows, &measured);
    ordinary_processor(&mut rows, &measured);
    busiest(&mut rows, &measured);
    zone_lost(&mut rows, &measured);
    region_starts(&mut rows, &measured);
    regions_cut(&mut rows, &measured);
    all_restarted(&mut rows, &measured);
    Ok(rows.finish())
}

fn ordinary_state(rows: &mut Rows, m: &Measured) {
    use Quantity::{Memory, Messages, State};
    let (memory, sockets) = (Some(Budget::OPERATORS.memory), Some(Budget::OPERATORS.sockets));
    let records = amount(State, "records of members", TARGET.nodes, "records", "nodes");
    rows.add(records, &[], None, FLAT);
    let servers = amount(State, "cache servers known", TARGET.servers, "servers", "servers");
    rows.add(servers, &[], None, LIST_AND_WATCH);
    let label = "connections to cache servers that would be held";
    let unlimited = amount(
        State,
        label,
        m.connections_unlimited.value,
        "connections",
        "778 requests/s over 4,200 servers",
    );
    rows.add(unlimited, &[&m.connections_unlimited], sockets, SUBSET);
    let label = "connections with the 150 servers of its region";
    let region =
        amount(State, label, m.region_connections.value, "connections", "778 requests/s over 150 servers");
    rows.add(region, &[&m.region_connections], sockets, SUBSET);
    let label = "tables of members and of servers";
    let held = m.member_table_bytes.value + m.server_table_bytes.value;
    let tables = amount(Memory, label, held, "B", "members' table + servers' table");
    rows.add(tables, &[&m.member_table_bytes, &m.server_table_bytes], memory, FLAT);
    let label = "datagrams of membership sent";
    let sent = m.steady_datagrams.value;
    rows.add(amount(Messages, label, sent, "1/s", "steady datagrams"), &[&m.steady_datagrams], None, FLAT);
    let label = "connections opened to cache servers";
    let opened = amount(Messages, label, m.connections_opened.value, "1/s", "at 1,024 sockets");
    rows.add(opened, &[&m.connections_opened], None, SUBSET);
}

fn ordinary_bytes(rows: &mut Rows, m: &Measured) {
    use Quantity::Bytes;
    let bytes = Some(Budget::OPERATORS.bytes);
    let formula = "steady + node restarts/s x bytes of one restart";
    let membership = amount(Bytes, "membership sent", m.membership_bytes_per_s(), "B/s", formula);
    rows.add(membership, &[&m.steady_bytes, &m.restart_bytes], bytes, FLAT);
    let formula = "watch's beat + 3 x server restarts/s x bytes of a change";
    let list = amount(Bytes, "list of servers", m.list_bytes_per_s(), "B/s", formula);
    rows.add(list, &[&m.watch_bytes_per_s, &m.change_bytes], bytes, LIST_AND_WATCH);
    let purges = TARGET.purges * TARGET.purge_bytes;
    rows.add(amount(Bytes, "purges", purges, "B/s", "purges/s x 16 B"), &[], bytes, PURGE_DELIVERY);
    let formula = "changes/s x whole text of 1,000 tenants (assumed)";
    let reloads = amount(Bytes, "configuration as the whole text", m.reload_bytes_per_s(), "B/s", formula);
    rows.add(reloads, &[&m.settings_bytes], bytes, CHANGE_DELIVERY);
    let with_peers = TARGET.changes() * (m.settings_bytes.value + TARGET.nodes * PEER_BYTES);
    let formula = "changes/s x (whole text + nodes x 22 B of `peers`)";
    let reloads =
        amount(Bytes, "configuration as the whole text, with `peers` in it", with_peers, "B/s", formula);
    rows.add(reloads, &[&m.settings_bytes], bytes, CHANGE_DELIVERY);
    let changes = TARGET.changes() * TARGET.change_bytes;
    let label = "configuration if only the change travels";
    rows.add(amount(Bytes, label, changes, "B/s", "changes/s x 1,024 B"), &[], bytes, CHANGE_DELIVERY);
    let all = m.membership_bytes_per_s() + m.list_bytes_per_s() + purges + changes;
    let formula = "membership + list + purges + changes alone";
    let sum = amount(Bytes, "control in all, changes alone", all, "B/s", formula);
    let sources = [&m.steady_bytes, &m.restart_bytes, &m.watch_bytes_per_s, &m.change_bytes];
    rows.add(sum, &sources, bytes, PURGE_DELIVERY);
}

fn ordinary_processor(rows: &mut Rows, m: &Measured) {
    use Quantity::Processor;
    let cpu = Some(Budget::OPERATORS.cpu);
    let formula = "steady + node restarts/s x time of one restart";
    let membership = amount(Processor, "membership", m.membership_us_per_s(), "us/s", formula);
    rows.add(membership, &[&m.steady_us, &m.restart_us], cpu, FLAT);
    let formula = "3 x server restarts/s x time of a change";
    rows.add(
        amount(Processor, "list of servers", m.list_us_per_s(), "us/s", formula),
        &[&m.change_us],
        cpu,
        LIST_AND_WATCH,
    );
    let formula = "changes/s x (read + take in, 1,000 tenants assumed)";
    let reloads = amount(Processor, "configuration as the whole text", m.reload_us_per_s(), "us/s", formula);
    rows.add(reloads, &[&m.settings_read_us, &m.settings_apply_us], cpu, CHANGE_DELIVERY);
    let all = m.membership_us_per_s() + m.list_us_per_s() + m.reload_us_per_s();
    let sum =
        amount(Processor, "control in all, without purges", all, "us/s", "membership + list + whole text");
    let sources = [&m.steady_us, &m.restart_us, &m.change_us, &m.settings_read_us, &m.settings_apply_us];
    rows.add(sum, &sources, cpu, CHANGE_DELIVERY);
    let placement_us = TARGET.node_requests() * (m.placement_ns.value + m.outcome_ns.value) / 1e3;
    let label = "placement over all servers (request path, against the budget of control)";
    let formula = "requests/s x (placement + outcome)";
    let sources = [&m.placement_ns, &m.outcome_ns];
    rows.add(amount(Processor, label, placement_us, "us/s", formula), &sources, cpu, SUBSET);
    let placement_us = TARGET.node_requests() * (m.region_placement_ns.value + m.outcome_ns.value) / 1e3;
    let label = "placement over the 150 servers of its region";
    let sources = [&m.region_placement_ns, &m.outcome_ns];
    rows.add(amount(Processor, label, placement_us, "us/s", formula), &sources, cpu, SUBSET);
}

fn busiest(rows: &mut Rows, m: &Measured) {
    use Quantity::{Bytes, Messages, Processor};
    rows.set_situation(Situation::BusiestSecond);
    let requests = TARGET.node_requests();
    rows.add(amount(Messages, "requests", requests, "1/s", "14 million / nodes"), &[], None, REQUEST_PATH);
    let response_bytes = TARGET.bits / 8.0 / TARGET.nodes;
    rows.add(
        amount(Bytes, "answers", response_bytes, "B/s", "100 Tbit/s / 8 / nodes"),
        &[],
        None,
        REQUEST_PATH,
    );
    let forwarding_us = requests * m.request_us.value;
    let label = "requests passed through the core, 0.9 MB each";
    let forwarding = amount(Processor, label, forwarding_us, "us/s", "requests/s x time of one");
    rows.add(forwarding, &[&m.request_us], None, REQUEST_PATH);
    let site = TARGET.nodes / TARGET.sites;
    let burst = m.steady_bytes.value
        + (site * m.restart_bytes.value / UPDATES_PER_RESTART).min(GOSSIP_CAP_BYTES_PER_S);
    let label = "membership while the 14 nodes of a site are gone";
    let formula = "steady + min(14 x half of a restart, the protocol's cap of 6,144 B/s)";
    let budget = Some(Budget::OPERATORS.bytes);
    rows.add(
        amount(Bytes, label, burst, "B/s", formula),
        &[&m.steady_bytes, &m.restart_bytes],
        budget,
        BY_REGION,
    );
    let label = "membership at the protocol's cap";
    let capped = amount(Processor, label, m.start_us.value, "us/s", "as in the first minute of a start");
    rows.add(capped, &[&m.start_us], Some(Budget::OPERATORS.cpu), BY_REGION);
}

fn zone_lost(rows: &mut Rows, m: &Measured) {
    use Quantity::{Bytes, Messages, Processor, Time};
    rows.set_situation(Situation::ZoneLost);
    let bytes = Some(Budget::OPERATORS.bytes);
    let update_bytes = TARGET.zone_nodes() * m.restart_bytes.value;
    let label = "news of its 316 nodes, there and back, in all";
    let formula = "nodes of a zone x bytes of one restart";
    rows.add(amount(Bytes, label, update_bytes, "B", formula), &[&m.restart_bytes], None, BY_REGION);
    let capped = m.steady_bytes.value + GOSSIP_CAP_BYTES_PER_S;
    let label = "membership while that is passed on";
    let formula = "steady + the protocol's cap of 6,144 B/s";
    rows.add(amount(Bytes, label, capped, "B/s", formula), &[&m.steady_bytes], bytes, BY_REGION);
    let label = "for how long, at the least";
    let time = update_bytes / GOSSIP_CAP_BYTES_PER_S;
    rows.add(
        amount(Time, label, time, "s", "news / the protocol's cap"),
        &[&m.restart_bytes],
        None,
        BY_REGION,
    );
    let label = "until all know of a death";
    let formula = "grows with the logarithm of the nodes";
    rows.add(amount(Time, label, m.death_known_s.value, "s", formula), &[&m.death_known_s], None, FLAT);
    let changes = 2.0 * TARGET.zone_servers();
    let label = "changes of the list, there and back";
    rows.add(amount(Messages, label, changes, "changes", "2 x servers of a zone"), &[], None, LIST_AND_WATCH);
    let label = "the same, bytes";
    let delivered = amount(Bytes, label, changes * m.change_bytes.value, "B", "changes x bytes of one");
    rows.add(delivered, &[&m.change_bytes], None, LIST_AND_WATCH);
    let applying = changes * m.change_us.value;
    let delivered = amount(Processor, "the same, time", applying, "us", "changes x time of one");
    rows.add(delivered, &[&m.change_us], None, LIST_AND_WATCH);
}

fn region_starts(rows: &mut Rows, m: &Measured) {
    use Quantity::{Bytes, Processor, Time};
    rows.set_situation(Situation::RegionStarts);
    let update_bytes = TARGET.region_nodes * m.restart_bytes.value / UPDATES_PER_RESTART;
    let label = "at every other node: news of them";
    let formula = "643 x half of a restart";
    rows.add(amount(Bytes, label, update_bytes, "B", formula), &[&m.restart_bytes], None, BY_REGION);
    let label = "at the nodes that start: membership";
    let started = amount(Bytes, label, m.start_bytes.value, "B/s", "first minute of a start, at the least");
    rows.add(started, &[&m.start_bytes], Some(Budget::OPERATORS.bytes), BY_REGION);
    let label = "for how long";
    let duration = amount(Time, label, m.start_quiet_s.value, "s", "until their news has been passed on");
    rows.add(duration, &[&m.start_quiet_s], None, BY_REGION);
    let label = "at the nodes that start: whole list";
    rows.add(
        amount(Bytes, label, m.full_list_bytes.value, "B", "whole list"),
        &[&m.full_list_bytes],
        None,
        LIST_AND_WATCH,
    );
    let time = m.full_list_read_us.value + m.full_list_apply_us.value;
    let label = "at the nodes that start: taking the whole list in, against a second's budget";
    let applied = amount(Processor, label, time, "us", "read + take in");
    rows.add(applied, &[&m.full_list_read_us, &m.full_list_apply_us], Some(Budget::OPERATORS.cpu), SUBSET);
}

fn regions_cut(rows: &mut Rows, m: &Measured) {
    use Quantity::{Bytes, Messages};
    rows.set_situation(Situation::RegionsCut);
    let failing = TARGET.region_nodes / TARGET.nodes;
    let datagrams = m.steady_datagrams.value + failing * INDIRECT_PROBE_DATAGRAMS;
    let label = "in these regions: datagrams of membership";
    let formula = "steady + 643/18,000 x 13 of a probe through others";
    rows.add(amount(Messages, label, datagrams, "1/s", formula), &[&m.steady_datagrams], None, FLAT);
    let bytes = datagrams * m.steady_bytes.value / m.steady_datagrams.value;
    let label = "the same, bytes";
    let formula = "datagrams x mean length";
    let sources = [&m.steady_bytes, &m.steady_datagrams];
    rows.add(amount(Bytes, label, bytes, "B/s", formula), &sources, Some(Budget::OPERATORS.bytes), FLAT);
    let purges = TARGET.cut_s * TARGET.purges * TARGET.purge_bytes;
    let label = "purges to be made up, where they come from the other region";
    rows.add(amount(Bytes, label, purges, "B", "600 s x purges/s x 16 B"), &[], None, PURGE_DELIVERY);
    let changes = TARGET.cut_s * TARGET.changes() * TARGET.change_bytes;
    let label = "configuration to be made up, changes alone";
    rows.add(amount(Bytes, label, changes, "B", "600 s x changes/s x 1,024 B"), &[], None, CHANGE_DELIVERY);
}

fn all_restarted(rows: &mut Rows, m: &Measured) {
    use Quantity::{Bytes, Messages, Processor, Time};
    rows.set_situation(Situation::AllRestarted);
    let bytes = Some(Budget::OPERATORS.bytes);
    let started = amount(Bytes, "membership", m.start_bytes.value, "B/s", "first minute, at the least");
    rows.add(started, &[&m.start_bytes], bytes, BY_REGION);
    let datagrams = m.start_datagrams.value;
    let started = amount(Messages, "membership", datagrams, "1/s", "first minute, at the least");
    rows.add(started, &[&m.start_datagrams], None, BY_REGION);
    let started = amount(Processor, "membership", m.start_us.value, "us/s", "first minute");
    rows.add(started, &[&m.start_us], Some(Budget::OPERATORS.cpu), BY_REGION);
    let duration =
        amount(Time, "for how long", m.start_quiet_s.value, "s", "until the news has been passed on");
    rows.add(duration, &[&m.start_quiet_s], None, BY_REGION);
    rows.add(
        amount(Bytes, "whole list", m.full_list_bytes.value, "B", "whole list"),
        &[&m.full_list_bytes],
        None,
        LIST_AND_WATCH,
    );
    let settings =
        amount(Bytes, "whole text of settings", m.settings_bytes.value, "B", "1,000 tenants assumed");
    rows.add(settings, &[&m.settings_bytes], None, Mechanism::Today("the platform's file"));
}
