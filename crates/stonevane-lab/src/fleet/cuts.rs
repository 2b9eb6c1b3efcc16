//! Cuts and partitions between nodes, servers and discovery, and network conditions between nodes.

use std::time::Duration;

use stonevane_audit::{Event, HistoryRecord};
use stonevane_emulators::peers::NetworkConditions;
use stonevane_emulators::{Fault, MonotonicClock};

use super::Fleet;
use crate::scenario::{DISCOVERY, NodeSelector, node_name};

/// Largest share of lost datagrams under mild conditions, in which membership must not declare a live member
/// dead.
const MAX_MILD_LOSS: f64 = 0.1;
/// Divisor of the protocol period that gives the longest delay under mild conditions.
const MILD_DELAY_DIVISOR: u32 = 20;

/// An active server fault that one node observes.
struct ServerFault {
    server: String,
    number: u64,
}

/// An active cut in one direction.
pub(super) struct Cut {
    faults: Vec<ServerFault>,
    /// Identifier of the network conditions that drop datagrams between nodes; `None` if no datagrams are
    /// cut.
    conditions: Option<u64>,
    from: Vec<usize>,
    to: Vec<usize>,
    /// Names of nodes that are cut off from discovery.
    without_discovery: Vec<String>,
}

/// An active partition.
pub(super) struct Partition {
    faults: Vec<ServerFault>,
    cuts: Vec<Cut>,
}

fn node_names(numbers: &[usize]) -> Vec<String> {
    numbers.iter().map(|number| node_name(*number)).collect()
}

impl Fleet {
    /// Cuts the traffic from the nodes and servers in `from` to those in `to`, in this direction only.
    pub(super) fn begin_cut(&self, from: &[String], to: &[String]) -> Cut {
        let nodes = |names: &[String]| NodeSelector(names.to_vec()).numbers(self.targets.len());
        let (from_nodes, to_nodes) = (nodes(from), nodes(to));
        let mut faults = Vec::new();
        // If requests of a node don't reach a server, the server does nothing. If answers of the server don't
        // reach the node, the server does the work and the node receives an incomplete answer.
        self.cut_servers(&mut faults, &from_nodes, to, Fault::Silent);
        self.cut_servers(&mut faults, &to_nodes, from, Fault::Stall);
        let conditions = (!from_nodes.is_empty() && !to_nodes.is_empty()).then(|| {
            let (from, to) = (node_names(&from_nodes), node_names(&to_nodes));
            self.peers.apply(NetworkConditions { from, to, loss: 1.0, ..NetworkConditions::default() })
        });
        self.record_cut(&from_nodes, &to_nodes, "cut");
        // A cut in either direction keeps a node from getting answers from discovery.
        let cut_from_discovery = |nodes: &[usize], others: &[String]| {
            let cut = others.iter().any(|name| name == DISCOVERY);
            if cut { node_names(nodes) } else { Vec::new() }
        };
        let without_discovery =
            [cut_from_discovery(&from_nodes, to), cut_from_discovery(&to_nodes, from)].concat();
        for node in &without_discovery {
            self.discovery.set_cut(node, true);
        }
        Cut { faults, conditions, from: from_nodes, to: to_nodes, without_discovery }
    }

    /// Injects a fault between the nodes and the servers among `names`.
    fn cut_servers(&self, faults: &mut Vec<ServerFault>, nodes: &[usize], names: &[String], fault: Fault) {
        let is_server = |name: &&String| self.cache(name).is_some() || **name == self.origin.spec.name;
        for node in nodes {
            for server in names.iter().filter(is_server) {
                let number = self.begin_fault(server, Some(&node_name(*node)), fault);
                faults.push(ServerFault { server: server.clone(), number });
            }
        }
    }

    pub(super) fn end_cut(&self, cut: &Cut) {
        self.end_faults(&cut.faults);
        if let Some(number) = cut.conditions {
            self.peers.lift(number);
        }
        for node in &cut.without_discovery {
            self.discovery.set_cut(node, false);
        }
        self.record_cut(&cut.from, &cut.to, "passes");
    }

    fn end_faults(&self, faults: &[ServerFault]) {
        for fault in faults {
            self.end_fault(&fault.server, fault.number);
        }
    }

    /// Records for each pair of nodes that datagrams are cut or pass again.
    pub(super) fn record_cut(&self, from: &[usize], to: &[usize], state: &str) {
        for (from, to) in from.iter().flat_map(|from| to.iter().map(move |to| (*from, *to))) {
            if from != to {
                self.recorder.record(HistoryRecord {
                    time: MonotonicClock::moment(),
                    recorder: "lab".into(),
                    event: Event::Partition,
                    node: node_name(from),
                    server: node_name(to),
                    state: state.to_owned(),
                    ..HistoryRecord::default()
                });
            }
        }
    }

    /// Cuts nodes and servers of different groups off from each other in both directions.
    pub(super) fn begin_partition(&self, groups: &[Vec<String>]) -> Partition {
        let mut faults = Vec::new();
        for (node, server) in self.separated(groups) {
            let number = self.begin_fault(&server, Some(&node), Fault::Silent);
            faults.push(ServerFault { server, number });
        }
        let is_node = |name: &&String| self.targets.iter().any(|(node, _)| node == *name);
        let nodes: Vec<Vec<String>> =
            groups.iter().map(|group| group.iter().filter(is_node).cloned().collect()).collect();
        let mut cuts = Vec::new();
        for (index, from) in nodes.iter().enumerate() {
            let others = nodes.iter().enumerate().filter(|(other, _)| *other != index);
            cuts.extend(others.map(|(_, to)| self.begin_cut(from, to)));
        }
        Partition { faults, cuts }
    }

    pub(super) fn end_partition(&self, partition: &Partition) {
        for cut in &partition.cuts {
            self.end_cut(cut);
        }
        self.end_faults(&partition.faults);
    }

    /// Returns the pairs of a node and a server of different groups, each once.
    fn separated(&self, groups: &[Vec<String>]) -> Vec<(String, String)> {
        let group = |name: &str| groups.iter().position(|group| group.iter().any(|other| other == name));
        let servers = || self.caches.iter().map(|cache| &cache.spec.name).chain([&self.origin.spec.name]);
        let pairs = self.targets.iter().flat_map(|(node, _)| servers().map(move |server| (node, server)));
        let separated = pairs.filter(|(node, server)| match (group(node), group(server)) {
            (Some(one), Some(other)) => one != other,
            _ => false,
        });
        separated.map(|(node, server)| (node.clone(), server.clone())).collect()
    }

    /// Applies network conditions between nodes for a duration.
    pub(super) async fn play_conditions(&self, conditions: NetworkConditions, duration: Duration) {
        let period = self.membership.as_ref().map_or(conditions.max_delay, |spec| spec.period);
        let mild = conditions.loss <= MAX_MILD_LOSS && conditions.max_delay <= period / MILD_DELAY_DIVISOR;
        let number = self.peers.apply(conditions);
        self.record(Event::NetworkConditions, if mild { "mild" } else { "severe" });
        tokio::time::sleep(duration).await;
        self.peers.lift(number);
        self.record(Event::NetworkConditions, if mild { "mild-ends" } else { "severe-ends" });
    }
}
