//! Fleets of *hollow* nodes, which show what a node costs as its fleet grows.
//!
//! A hollow node is the daemon without clients and cache servers: the real core (`stonevane-core`) with the daemon's
//! own calls to discovery over TCP, and the real membership machine (`stonevane-membership`) with its datagrams over UDP,
//! all on loopback. Many of them run in one worker process; a coordinator starts the workers, waits until the fleet
//! has converged, samples its cost, kills one node and waits until all others hold it dead.
//!
//! | module | job | I/O |
//! | --- | --- | --- |
//! | [`plan`] | what is run, and every number drawn from its seed | none |
//! | [`layout`] | which numbers a worker, a region and a membership domain have | none |
//! | [`limits`] | whether memory and descriptors suffice | none |
//! | [`convergence`] | from the workers' reports: whether all nodes have come so far, and when | none |
//! | [`figures`] | from samples to what a node costs in a second | none |
//! | [`budget`] | whether that is within the budget | none |
//! | [`hollow`] | one node as a machine | none |
//! | [`message`] | what the coordinator and a worker say to each other | none |
//! | [`host`] | memory, descriptors and processors of this machine; signals | files of `/proc`, signals |
//! | `node` | one node on its sockets | sockets |
//! | [`worker`] | the event loop of many nodes in one process | sockets, pipes |
//! | `registry` | discovery for all nodes | sockets, a thread |
//! | `processes` | the workers' processes and their pipes | processes, pipes |
//! | [`coordinator`] | the run of one fleet | by the two above |

pub mod budget;
pub mod convergence;
pub mod coordinator;
pub mod figures;
pub mod hollow;
pub mod host;
pub mod layout;
pub mod limits;
pub mod message;
mod node;
pub mod plan;
mod processes;
mod registry;
pub mod worker;

/// Microseconds of the monotonic clock that all processes of a machine share.
pub type Micros = u64;
