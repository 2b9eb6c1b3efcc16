//! From samples of the workers to what a node costs in a second.

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::limits::MIB;

const MICROS_PER_SECOND: f64 = 1e6;

/// Sums over the nodes of a worker since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Sample {
    /// When it was taken.
    pub at: Micros,
    /// Processor time of the process, kernel and user, microseconds.
    pub cpu: Micros,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes of those, without headers of IP and UDP.
    pub udp_bytes: u64,
    /// Bytes of calls to discovery, in both directions, without headers of IP and TCP.
    pub tcp_bytes: u64,
    /// Wake-ups of the membership machine that were late by more than half of its period.
    pub stalls: u64,
    /// Times that a node took a living one for dead.
    pub false_deaths: u64,
}

/// What one node costs, on the average over the fleet and a window of time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Rates {
    /// Datagrams a second, each counted at its sender.
    pub datagrams: f64,
    /// Bytes of those a second.
    pub udp_bytes: f64,
    /// Bytes a second of calls to discovery.
    pub tcp_bytes: f64,
    /// Microseconds of processor time a second.
    pub cpu: f64,
}

/// What a node costs between two samples of each worker, taken in the same order of workers.
pub fn rates(begun: &[Sample], ended: &[Sample], nodes: u32) -> Rates {
    let mut rates = Rates::default();
    for (begun, ended) in begun.iter().zip(ended) {
        let seconds = ended.at.saturating_sub(begun.at).max(1) as f64 / MICROS_PER_SECOND;
        let each =
            |begun: u64, ended: u64| ended.saturating_sub(begun) as f64 / seconds / f64::from(nodes.max(1));
        rates.datagrams += each(begun.datagrams, ended.datagrams);
        rates.udp_bytes += each(begun.udp_bytes, ended.udp_bytes);
        rates.tcp_bytes += each(begun.tcp_bytes, ended.tcp_bytes);
        rates.cpu += each(begun.cpu, ended.cpu);
    }
    rates
}

/// The figures of one size: a line of the output.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Figures {
    /// Stub nodes.
    pub nodes: u32,
    /// Regions.
    pub regions: u32,
    /// Members that a node knows of, at most: all nodes, or those of its region.
    pub domain: u32,
    /// Worker processes.
    pub workers: u32,
    /// The seed.
    pub seed: u64,
    /// Seconds from the start of the nodes until all knew of all and had the endpoint list.
    pub converged_s: Option<f64>,
    /// Seconds until all were at rest, without updates and in full health: the window of the rates begins then.
    pub rested_s: Option<f64>,
    /// Bytes of datagrams a node and second.
    pub udp_bytes_s: Option<f64>,
    /// Bytes of calls to discovery a node and second.
    pub tcp_bytes_s: Option<f64>,
    /// Datagrams a node and second.
    pub datagrams_s: Option<f64>,
    /// Microseconds of processor time a node and second.
    pub cpu_us_s: Option<f64>,
    /// Resident memory of the workers a node, bytes.
    pub memory_bytes: Option<u64>,
    /// Seconds from a node's death until it was dead to all others of its domain.
    pub death_known_s: Option<f64>,
    /// Times that a node took a living one for dead, in the whole run.
    pub false_deaths: u64,
    /// Wake-ups that came late by more than half of the period, in the whole run: the machine was too busy.
    pub stalls: u64,
    /// Whether all is within the budget.
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
