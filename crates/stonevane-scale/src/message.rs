//! The messages between the coordinator and a worker: one JSON object a line, on the worker's standard input and
//! output. The end of its input ends a worker.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::convergence::Reached;
use crate::figures::Sample;
use crate::plan::Plan;

/// From the coordinator to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Opens the sockets of the worker's nodes; answered with [`Report::Bound`].
    Bind {
        /// The whole run.
        plan: Plan,
        /// Which worker this is.
        worker: u32,
    },
    /// Starts the nodes.
    Start {
        /// The address of every node of the fleet, in the order of their numbers.
        peers: Vec<SocketAddr>,
        /// Where discovery is.
        discovery: SocketAddr,
    },
    /// Takes a sample; answered with [`Report::Sample`].
    Sample,
    /// Kills a node: its worker ends it and answers with [`Report::Killed`]; all others watch for its death.
    Kill {
        /// Its number.
        number: u32,
    },
}

/// From a worker to the coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// The sockets of its nodes are open.
    Bound {
        /// Their addresses, in the order of the nodes' numbers.
        addresses: Vec<SocketAddr>,
    },
    /// The progress of its nodes, each time that has changed.
    Progress(Progress),
    /// The sample that was asked for.
    Sample(Sample),
    /// The node is dead: its sockets are closed.
    Killed {
        /// Since when.
        at: Micros,
    },
    /// The worker cannot go on.
    Failed {
        /// Why.
        why: String,
    },
}

/// The progress of the nodes of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// Nodes to which all others are live, and that have the endpoint list.
    pub complete: Reached,
    /// Nodes at rest: with no updates to disseminate, and in full health.
    pub rested: Reached,
    /// Nodes to which the node that was killed is dead.
    pub informed: Reached,
}
