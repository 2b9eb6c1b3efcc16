//! Messages between the coordinator and a worker: one JSON object per line, on the worker's standard input
//! and output. A worker exits at the end of its input.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::convergence::Reached;
use crate::figures::Sample;
use crate::plan::Plan;

/// A command from the coordinator to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Opens the sockets of the worker's nodes; answered with [`Report::Bound`].
    Bind {
        /// Parameters of the run.
        plan: Plan,
        /// Index of this worker, from 0.
        worker: u32,
    },
    /// Starts the worker's nodes, each after its [`Plan::start_delay`]. Not answered; [`Report::Progress`]
    /// follows as the nodes converge.
    Start {
        /// UDP address of every node of the fleet, ordered by node number.
        peers: Vec<SocketAddr>,
        /// TCP address of the discovery emulator.
        discovery: SocketAddr,
    },
    /// Takes a sample; answered with [`Report::Sample`].
    Sample,
    /// Kills a node, sent to all workers. The worker that runs the node ends it and answers with
    /// [`Report::Killed`]; [`Progress::informed`] of each worker then counts the nodes that have declared the
    /// killed node dead.
    Kill {
        /// Number of the node in the fleet.
        number: u32,
    },
}

/// A report from a worker to the coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// The UDP sockets of the worker's nodes are open.
    Bound {
        /// Addresses of the sockets, ordered by node number.
        addresses: Vec<SocketAddr>,
    },
    /// The progress of the worker's nodes has changed.
    Progress(Progress),
    /// The answer to [`Command::Sample`].
    Sample(Sample),
    /// The answer to [`Command::Kill`] from the worker that ran the node: the node's sockets are closed.
    Killed {
        /// Time at which the node's sockets were closed; the time to detect its death counts from here.
        at: Micros,
    },
    /// The worker has failed and exits.
    Failed {
        /// Text of the error.
        why: String,
    },
}

/// Progress of the nodes of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// Nodes that have the endpoint list and see all other nodes of their domain as live.
    pub complete: Reached,
    /// Nodes at rest: no updates to disseminate, and a local health score of 0 (fully healthy).
    pub rested: Reached,
    /// Nodes that have declared the killed node dead.
    pub informed: Reached,
}
