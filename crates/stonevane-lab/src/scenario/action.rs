//! Steps of a scenario and their actions.

use std::time::Duration;

use stonevane_emulators::Fault;
use stonevane_emulators::discovery::DiscoveryFault;
use stonevane_emulators::postgres::PgFault;

use super::node_name;

/// Selects nodes by name or by a word: `nodes` (all), `first-half`, `second-half`, or `every-N` such as
/// `every-3` (every Nth node, starting with the first).
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NodeSelector(pub Vec<String>);

impl NodeSelector {
    /// Returns the numbers of the selected nodes in a fleet of `nodes` nodes, ascending. Names of servers
    /// select none.
    pub fn numbers(&self, nodes: usize) -> Vec<usize> {
        let mut numbers: Vec<usize> = self.0.iter().flat_map(|word| select(word, nodes)).collect();
        numbers.sort_unstable();
        numbers.dedup();
        numbers
    }

    /// Returns the names of the selected nodes in a fleet of `nodes` nodes.
    pub fn names(&self, nodes: usize) -> Vec<String> {
        self.numbers(nodes).into_iter().map(node_name).collect()
    }

    /// Returns whether a word is a selector other than a node's name.
    pub(super) fn is_word(word: &str) -> bool {
        let every =
            |word: &str| word.strip_prefix("every-").is_some_and(|n| n.parse::<usize>().is_ok_and(|n| n > 0));
        matches!(word, "nodes" | "first-half" | "second-half") || every(word)
    }
}

fn select(word: &str, nodes: usize) -> Vec<usize> {
    match word {
        "nodes" => (0..nodes).collect(),
        "first-half" => (0..nodes / 2).collect(),
        "second-half" => (nodes / 2..nodes).collect(),
        _ => match word.strip_prefix("every-").and_then(|every| every.parse().ok()) {
            Some(every) => (0..nodes).step_by(std::cmp::max(every, 1)).collect(),
            None => (0..nodes).filter(|number| node_name(*number) == word).collect(),
        },
    }
}

/// Action on a node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NodeAction {
    /// Kills the node, which restarts with its initial server list.
    Kill,
    /// Sends SIGTERM. The node restarts once it has ended.
    Terminate,
    /// Pauses the process.
    Pause,
    /// Limits the process to this share of the time, in periods of 100 ms.
    Slow(f64),
}

/// An action at a time of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Time from the start of the load.
    pub at: Duration,
    /// Duration; zero if the step lasts to the end of the load.
    pub duration: Duration,
    /// Action of the step.
    pub action: Action,
    /// Label of the step in the history and the chart: the scenario's words for the action and its targets.
    pub label: String,
}

/// Action of a step.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A server has a fault.
    ServerFault {
        /// Name of the server.
        server: String,
        /// Fault to inject.
        fault: Fault,
        /// Node that observes the fault; `None` for all nodes.
        node: Option<String>,
    },
    /// A cache server drains, and is dead at the end of the step.
    Drain(String),
    /// A cache server drains and is dead at the end of the step, while a cold one replaces it.
    Replace {
        /// Name of the server that drains.
        server: String,
        /// Name of the server that replaces it.
        successor: String,
    },
    /// The origin stops all work.
    OriginStop,
    /// The store of record has a fault.
    StoreFault(PgFault),
    /// An action on nodes.
    Nodes {
        /// Nodes that are affected.
        nodes: NodeSelector,
        /// Action on each node.
        action: NodeAction,
        /// Delay of each node's action after the previous node's.
        stagger: Duration,
    },
    /// Traffic from some endpoints doesn't reach others. Between nodes, datagrams are dropped. Between a node
    /// and a server or discovery, either requests get no answer at all, or answers break off.
    Cut {
        /// Names of the senders: nodes, servers or discovery.
        from: Vec<String>,
        /// Names of the receivers: nodes, servers or discovery.
        to: Vec<String>,
    },
    /// Nodes receive forged datagrams.
    Forge {
        /// Nodes that receive the forged datagrams.
        nodes: NodeSelector,
        /// Datagrams per second to each node.
        per_s: u64,
    },
    /// A node restarts with an outdated list of peers, and reloads the current one at the end of the step.
    OldPeers {
        /// Number of the node.
        node: usize,
        /// Number of nodes, counted from the last, that the list lacks.
        missing: usize,
        /// Nodes for which the list has an unused address.
        moved: NodeSelector,
    },
    /// Discovery has a fault.
    DiscoveryFault(DiscoveryFault),
    /// Discovery reports changes after this delay.
    DiscoveryDelay(Duration),
    /// The clock of discovery's reports steps by this many milliseconds; negative steps go back.
    DiscoveryClock(i64),
    /// Datagrams between nodes are lost, duplicated and delayed.
    Network {
        /// Senders; empty for all nodes.
        from: NodeSelector,
        /// Receivers; empty for all nodes.
        to: NodeSelector,
        /// Share of datagrams that is lost.
        loss: f64,
        /// Share of datagrams that is duplicated.
        duplicate: f64,
        /// Shortest delay of a datagram.
        min_delay: Duration,
        /// Longest delay of a datagram; if it exceeds `min_delay`, datagrams may overtake each other.
        max_delay: Duration,
    },
    /// Nodes and servers of different groups can't reach each other.
    Partition(Vec<Vec<String>>),
    /// Idle connections are opened to a node.
    Flood {
        /// Number of the node.
        node: usize,
        /// Number of connections.
        count: usize,
    },
}
