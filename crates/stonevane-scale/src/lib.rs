//! Fleets of load-generating stub nodes, which show what a node costs as its fleet grows. The command line calls them
//! *hollow* nodes.
//!
//! A stub node is the daemon without clients and cache servers: the real core (`stonevane-core`) with the daemon's
//! own calls to discovery over TCP, and the real membership machine (`stonevane-membership`) with its datagrams over UDP,
//! all on loopback. Many of them run in one worker process; a coordinator starts the workers, waits until the fleet
//! has converged, samples its cost, kills one node and waits until all others have declared it dead.
//!
//! | module | job | I/O |
//! | --- | --- | --- |
//! | [`plan`] | what is run, and every number drawn from its seed | none |
//! | [`layout`] | which numbers a worker, a region and a membership domain have | none |
//! | [`limits`] | whether memory and descriptors suffice | none |
//! | [`convergence`] | from the workers' reports: whether all nodes have reached a state, and when | none |
//! | [`figures`] | from samples to what a node costs in a second | none |
//! | [`budget`] | whether that is within the budget | none |
//! | [`stub_node`] | one node as a state machine | none |
//! | [`message`] | the messages between the coordinator and a worker | none |
//! | [`host`] | memory, descriptors and processors of this machine; signals | files of `/proc`, signals |
//! | `stub_driver` | one node on its sockets | sockets |
//! | `clock` | the clock of a worker | clock |
//! | [`worker`] | the event loop of many nodes in one process | sockets, pipes |
//! | `discovery_service` | discovery for all nodes | sockets, a thread |
//! | `processes` | the workers' processes and their pipes | processes, pipes |
//! | [`coordinator`] | the run of one fleet | by the two above |

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

/// Microseconds of the monotonic clock that all processes of a machine share.
pub type Micros = u64;
