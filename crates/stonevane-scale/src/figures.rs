//! Cost per node and second, from samples of the workers, and the figures of a run.

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::limits::MIB;

const MICROS_PER_SECOND: f64 = 1e6;

/// Counters of a worker, summed over its nodes since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Sample {
    /// Time of the sample.
    pub at: Micros,
    /// Processor time of the process, user and system.
    pub cpu: Micros,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes of the datagrams sent, without IP and UDP headers.
    pub udp_bytes: u64,
    /// Bytes exchanged with discovery, in both directions, without IP and TCP headers.
    pub tcp_bytes: u64,
    /// Wake-ups of the membership state machines that were late by more than half of the protocol period.
    pub stalls: u64,
    /// Number of times a node declared a live node dead.
    pub false_deaths: u64,
}

/// Cost of one node, averaged over the fleet and a time window.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Rates {
    /// Datagrams per second, counted at the sender.
    pub datagrams: f64,
    /// Bytes of datagrams per second, without IP and UDP headers, counted at the sender.
    pub udp_bytes: f64,
    /// Bytes per second exchanged with discovery, in both directions, without IP and TCP headers.
    pub tcp_bytes: f64,
    /// Microseconds of processor time per second.
    pub cpu_us: f64,
}

/// Computes the cost per node between two samples of each worker. `start` and `end` list the workers in the
/// same order; `nodes` is the size of the fleet.
pub fn rates(start: &[Sample], end: &[Sample], nodes: u32) -> Rates {
    let mut rates = Rates::default();
    for (start, end) in start.iter().zip(end) {
        let seconds = end.at.saturating_sub(start.at).max(1) as f64 / MICROS_PER_SECOND;
        let per_node_second =
            |start: u64, end: u64| end.saturating_sub(start) as f64 / seconds / f64::from(nodes.max(1));
        rates.datagrams += per_node_second(start.datagrams, end.datagrams);
        rates.udp_bytes += per_node_second(start.udp_bytes, end.udp_bytes);
        rates.tcp_bytes += per_node_second(start.tcp_bytes, end.tcp_bytes);
        rates.cpu_us += per_node_second(start.cpu, end.cpu);
    }
    rates
}

/// Figures of the run of one fleet: one line of the output. A figure is `None` if its phase timed out or was
/// not reached.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Figures {
    /// Number of stub nodes.
    pub nodes: u32,
    /// Number of regions.
    pub regions: u32,
    /// Members of the largest membership domain: all nodes, or those of a region.
    pub domain: u32,
    /// Number of worker processes.
    pub workers: u32,
    /// Seed of every random choice.
    pub seed: u64,
    /// Seconds from the start of the nodes until all had the endpoint list and saw all others of their domain
    /// as live.
    pub converged_s: Option<f64>,
    /// Seconds from the start of the nodes until all were at rest, with no updates to disseminate and fully
    /// healthy. The rates are measured from then on.
    pub rested_s: Option<f64>,
    /// Bytes of datagrams per node and second.
    pub udp_bytes_s: Option<f64>,
    /// Bytes exchanged with discovery per node and second.
    pub tcp_bytes_s: Option<f64>,
    /// Datagrams per node and second.
    pub datagrams_s: Option<f64>,
    /// Microseconds of processor time per node and second.
    pub cpu_us_s: Option<f64>,
    /// Resident memory of the workers per node, in bytes.
    pub memory_bytes: Option<u64>,
    /// Seconds from the kill of a node until all others of its domain had declared it dead.
    pub death_known_s: Option<f64>,
    /// Number of times a node declared a live node dead, in the whole run.
    pub false_deaths: u64,
    /// Wake-ups of the membership state machines that were late by more than half of the protocol period, in
    /// the whole run: a sign that the machine was overloaded.
    pub stalls: u64,
    /// Whether all figures are within the budget.
    pub within_budget: bool,
}

impl std::fmt::Display for Figures {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let figure = |value: Option<f64>, digits: usize| match value {
            Some(value) => format!("{value:.digits$}"),
            None => "-".to_owned(),
        };
        let memory = self.memory_bytes.map(|bytes| bytes as f64 / MIB as f64);
        write!(f, "nodes={} regions={} domain={} ", self.nodes, self.regions, self.domain)?;
        write!(f, "workers={} seed={} ", self.workers, self.seed)?;
        write!(f, "converged_s={} ", figure(self.converged_s, 2))?;
        write!(f, "rested_s={} ", figure(self.rested_s, 2))?;
        write!(f, "udp_bytes_s={} ", figure(self.udp_bytes_s, 1))?;
        write!(f, "tcp_bytes_s={} ", figure(self.tcp_bytes_s, 1))?;
        write!(f, "datagrams_s={} ", figure(self.datagrams_s, 2))?;
        write!(f, "cpu_us_s={} ", figure(self.cpu_us_s, 0))?;
        write!(f, "memory_mb={} ", figure(memory, 3))?;
        write!(f, "death_known_s={} ", figure(self.death_known_s, 2))?;
        write!(f, "false_deaths={} stalls={} ", self.false_deaths, self.stalls)?;
        write!(f, "budget={}", if self.within_budget { "kept" } else { "over" })
    }
}
