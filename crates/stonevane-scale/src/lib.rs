//! Fleets of stub nodes, which measure the cost per node as the fleet grows. The command line calls them
//! *hollow* nodes.
//!
//! A stub node is the daemon without clients and cache servers: the real core (`stonevane-core`) with the
//! daemon's discovery client over TCP, and the real membership state machine (`stonevane-membership`) with
//! its datagrams over UDP, all on loopback. Each worker process runs many stub nodes. A coordinator starts
//! the workers, waits until the fleet has converged, samples its cost, kills one node and waits until all
//! others have declared it dead.
//!
//! | module | responsibility | I/O |
//! | --- | --- | --- |
//! | [`plan`] | parameters of a run, and every number drawn from its seed | none |
//! | [`layout`] | node numbers of each worker, region and membership domain | none |
//! | [`limits`] | checks of memory and file descriptors | none |
//! | [`convergence`] | whether and when all nodes have reached a state, from the workers' reports | none |
//! | [`figures`] | cost per node and second, from samples | none |
//! | [`budget`] | comparison of the cost with the budget | none |
//! | [`stub_node`] | one node as a state machine | none |
//! | [`message`] | the messages between the coordinator and a worker | none |
//! | [`host`] | memory, file descriptors and processors of this machine; signals | files of `/proc`, signals |
//! | `stub_driver` | one node on its sockets | sockets |
//! | `clock` | clock of a worker | clock |
//! | [`worker`] | event loop of many nodes in one process | sockets, pipes |
//! | `discovery_service` | discovery emulator for all nodes | sockets, a thread |
//! | `processes` | worker processes and their pipes | processes, pipes |
//! | [`coordinator`] | the run of one fleet | through `discovery_service` and `processes` |

pub mod budget;
mod clock;
pub mod convergence;
pub mod coordinator;
mod discovery_service;
pub mod figures;
pub mod host;
pub mod layout;
pub mod limits;
pub mod message;
pub mod plan;
mod processes;
mod stub_driver;
pub mod stub_node;
pub mod worker;

/// Time or duration in microseconds; times are read from the monotonic clock that all processes of a machine
/// share.
pub type Micros = u64;
