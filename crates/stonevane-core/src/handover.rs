//! Handover between two processes of one node: how they divide the capacity that they may use together.
//!
//! There are no files and no clock here: statuses of the processes go in, this process's grant comes out. A process with
//! a newer one beside it never takes more than it has announced, and the newest takes what the others leave. So the sum
//! stays within the node's capacity however late each hears of the other, as long as a process announces an increase
//! before it uses it, and a decrease afterwards.

use stonevane_policy::Micros;

/// This part of the node's capacity is left to a process that is just starting.
const SPARE_DIVISOR: usize = 16;
/// A process with a newer one beside it keeps at least this part of the node's capacity until it drains.
const SERVING_DIVISOR: usize = 2;

/// The stage of a process's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessStage {
    /// It accepts no clients yet.
    Starting,
    /// It accepts clients.
    Serving,
    /// It is shutting down.
    Draining,
}

/// Connections and memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Capacity {
    /// How many connections.
    pub connections: usize,
    /// Memory, in bytes.
    pub memory: usize,
}

impl Capacity {
    fn zip_with(self, other: Capacity, combine: impl Fn(usize, usize) -> usize) -> Capacity {
        Capacity {
            connections: combine(self.connections, other.connections),
            memory: combine(self.memory, other.memory),
        }
    }

    fn divided_by(self, divisor: usize) -> Capacity {
        Capacity { connections: self.connections / divisor, memory: self.memory / divisor }
    }

    fn plus(self, other: Capacity) -> Capacity {
        self.zip_with(other, usize::saturating_add)
    }

    fn minus(self, other: Capacity) -> Capacity {
        self.zip_with(other, usize::saturating_sub)
    }

    fn at_least(self, other: Capacity) -> Capacity {
        self.zip_with(other, usize::max)
    }

    fn at_most(self, other: Capacity) -> Capacity {
        self.zip_with(other, usize::min)
    }
}

/// What a process announces of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessStatus {
    /// When it started, and its process number: the newest process is the last in this order.
    pub started: (Micros, u32),
    /// Its stage.
    pub stage: ProcessStage,
    /// What it may use.
    pub capacity: Capacity,
    /// Its requests in flight: limits of the origin and of cold servers are divided in proportion to them.
    pub in_flight: usize,
}

impl ProcessStatus {
    /// Encodes it as a line; processes of different versions share this form.
    pub fn line(&self) -> String {
        let stage = match self.stage {
            ProcessStage::Starting => "starting",
            ProcessStage::Serving => "serving",
            ProcessStage::Draining => "draining",
        };
        format!("1 {stage} {} {} {}\n", self.capacity.connections, self.capacity.memory, self.in_flight)
    }

    /// Decodes such a line; `None` for any other.
    pub fn read(started: (Micros, u32), line: &str) -> Option<ProcessStatus> {
        let words: Vec<_> = line.strip_suffix('\n')?.split(' ').collect();
        let ["1", stage, connections, memory, in_flight] = words[..] else { return None };
        let stage = match stage {
            "starting" => ProcessStage::Starting,
            "serving" => ProcessStage::Serving,
            "draining" => ProcessStage::Draining,
            _ => return None,
        };
        let capacity = Capacity { connections: connections.parse().ok()?, memory: memory.parse().ok()? };
        Some(ProcessStatus { started, stage, capacity, in_flight: in_flight.parse().ok()? })
    }

    /// Its weight in the division of limits; one without requests has some too.
    fn weight(&self) -> f64 {
        self.in_flight as f64 + 1.0
    }
}

/// What this process may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityGrant {
    /// Its capacity.
    pub capacity: Capacity,
    /// Its share of the node's quota of the origin and of cold servers.
    pub share: f64,
    /// A newer process accepts clients.
    pub replaced: bool,
    /// Another process accepts clients from the same listener.
    pub listener_shared: bool,
}

/// Divides the node's capacity. `own`: this process, as it announced itself last; `used`: what it uses now.
pub fn divide(
    node_capacity: Capacity,
    own: &ProcessStatus,
    used: Capacity,
    others: &[ProcessStatus],
) -> CapacityGrant {
    let others_weight: f64 = others.iter().map(ProcessStatus::weight).sum();
    let is_newer = |other: &ProcessStatus| other.started > own.started;
    let is_serving = |other: &ProcessStatus| other.stage == ProcessStage::Serving;
    let capacity = if others.iter().any(is_newer) {
        capacity_beside_newer(node_capacity, own, used)
    } else {
        capacity_of_newest(node_capacity, others)
    };
    CapacityGrant {
        capacity,
        share: own.weight() / (own.weight() + others_weight),
        replaced: others.iter().any(|other| is_newer(other) && is_serving(other)),
        listener_shared: others.iter().any(is_serving),
    }
}

fn capacity_beside_newer(node_capacity: Capacity, own: &ProcessStatus, used: Capacity) -> Capacity {
    let needed = match own.stage {
        ProcessStage::Draining => used.plus(node_capacity.divided_by(SPARE_DIVISOR)),
        ProcessStage::Starting | ProcessStage::Serving => {
            used.at_least(node_capacity.divided_by(SERVING_DIVISOR))
        }
    };
    needed.at_most(own.capacity)
}

/// What the others leave; alone, all but what a starting process can begin with.
fn capacity_of_newest(node_capacity: Capacity, others: &[ProcessStatus]) -> Capacity {
    let spare = node_capacity.divided_by(SPARE_DIVISOR);
    let announced = others.iter().fold(Capacity::default(), |sum, other| sum.plus(other.capacity));
    let left = node_capacity.minus(announced);
    left.at_least(spare).at_most(node_capacity.minus(spare))
}

#[cfg(test)]
mod tests;
