//! The steps of a scenario and what they do.

use std::time::Duration;

use stonevane_emulators::Fault;
use stonevane_emulators::discovery::DiscoveryFault;
use stonevane_emulators::postgres::PgFault;

use super::node_name;

/// Nodes by name, or by a word for some of them: `nodes`, `first-half`, `second-half`, `every-3` and the like.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NodeSelector(pub Vec<String>);

impl NodeSelector {
    /// The numbers of the selected nodes among so many; names of servers select none.
    pub fn numbers(&self, nodes: usize) -> Vec<usize> {
        let mut numbers: Vec<usize> = self.0.iter().flat_map(|word| select(word, nodes)).collect();
        numbers.sort_unstable();
        numbers.dedup();
        numbers
    }

    /// The names of the selected nodes among so many.
    pub fn names(&self, nodes: usize) -> Vec<String> {
        self.numbers(nodes).into_iter().map(node_name).collect()
    }

    /// Whether a word selects some nodes.
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

/// What is done to nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NodeAction {
    /// They are killed, and restart with the list of their start.
    Kill,
    /// They get SIGTERM, and restart once they have ended.
    Terminate,
    /// Their processes are paused.
    Pause,
    /// They get this share of their time, in slices of a tenth of a second.
    Slow(f64),
}

/// Something that is done at a time.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// When, from the start of the load.
    pub at: Duration,
    /// For how long; zero: to the end.
    pub duration: Duration,
    /// What.
    pub action: Action,
    /// The words of the scenario, for the history and the chart.
    pub label: String,
}

/// What a step does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A server has a fault.
    ServerFault {
        /// Its name.
        server: String,
        /// The fault.
        fault: Fault,
        /// The node that sees it; `None` for all nodes.
        node: Option<String>,
    },
    /// A cache server drains, and is gone at the step's end.
    Drain(String),
    /// A cache server drains and is gone at the step's end, while a cold one takes its place.
    Replace {
        /// The name of the old one.
        server: String,
        /// The name of the new one.
        successor: String,
    },
    /// The origin stops all work.
    OriginStop,
    /// The store of record has a fault.
    StoreFault(PgFault),
    /// Something is done to nodes.
    Nodes {
        /// To which.
        nodes: NodeSelector,
        /// What.
        action: NodeAction,
        /// Each begins this long after the one before.
        stagger: Duration,
    },
    /// What some send does not reach others: datagrams between nodes; between nodes and servers or discovery the whole
    /// connection, or what is answered.
    Cut {
        /// From whom.
        from: Vec<String>,
        /// To whom.
        to: Vec<String>,
    },
    /// Nodes receive forged datagrams.
    Forge {
        /// Which nodes.
        nodes: NodeSelector,
        /// Datagrams per second for each.
        per_s: u64,
    },
    /// A node starts with an old list of peers, and gets the present one at the step's end.
    OldPeers {
        /// The node.
        node: usize,
        /// The number of nodes, the last ones, that the list lacks.
        missing: usize,
        /// Nodes that it has at an address where nobody is.
        moved: NodeSelector,
    },
    /// Discovery has a fault.
    DiscoveryFault(DiscoveryFault),
    /// Discovery learns of changes after this delay.
    DiscoveryDelay(Duration),
    /// The clock of discovery's reports steps, by milliseconds.
    DiscoveryClock(i64),
    /// Datagrams between nodes are lost, duplicated and delayed.
    Network {
        /// From whom; nobody named: from all.
        from: NodeSelector,
        /// To whom; nobody named: to all.
        to: NodeSelector,
        /// The share that is lost.
        loss: f64,
        /// The share that is duplicated.
        duplicate: f64,
        /// The shortest delay.
        min_delay: Duration,
        /// The longest delay.
        max_delay: Duration,
    },
    /// Nodes and servers of different groups can't reach each other.
    Partition(Vec<Vec<String>>),
    /// Idle connections are opened to a node.
    Flood {
        /// The node.
        node: usize,
        /// How many.
        count: usize,
    },
}
