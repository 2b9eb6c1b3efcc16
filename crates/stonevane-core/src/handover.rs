//! Handover between two processes of one node: divides the node's capacity between them.
//!
//! The module uses no files and no clock: [`divide`] takes the statuses of all processes and returns this
//! process's grant. A process beside a newer one never takes more than it has announced, and the newest takes
//! what the others leave. The sum stays within the node's capacity even if a status arrives late, as long as
//! a process announces an increase before it uses it, and a decrease after it has released the capacity.

use stonevane_policy::Micros;

/// The node's capacity divided by this is reserved for a process that is just starting.
const SPARE_DIVISOR: usize = 16;
/// A process beside a newer one keeps at least the node's capacity divided by this until it drains.
const SERVING_DIVISOR: usize = 2;

/// Lifecycle stage of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessStage {
    /// The process does not accept clients yet.
    Starting,
    /// The process accepts clients.
    Serving,
    /// The process is shutting down.
    Draining,
}

/// Capacity of a node or a process: connections and memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Capacity {
    /// Number of connections to clients and servers together.
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

/// Status that a process announces to the node's other processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessStatus {
    /// Start time, in Unix microseconds, and process id. The newest process is the greatest in this order.
    pub started: (Micros, u32),
    /// Whether the process is starting, serving or draining.
    pub stage: ProcessStage,
    /// The capacity that the process may use.
    pub capacity: Capacity,
    /// Requests in flight. The origin limits and the limits of servers in slow start are divided between the
    /// processes in proportion to their requests in flight.
    pub in_flight: usize,
}

impl ProcessStatus {
    /// Encodes the status as a line. Processes of different versions exchange it, so the format is stable.
    pub fn encode(&self) -> String {
        let stage = match self.stage {
            ProcessStage::Starting => "starting",
            ProcessStage::Serving => "serving",
            ProcessStage::Draining => "draining",
        };
        format!("1 {stage} {} {} {}\n", self.capacity.connections, self.capacity.memory, self.in_flight)
    }

    /// Decodes a line of [`ProcessStatus::encode`]; `None` if it has another format.
    pub fn decode(started: (Micros, u32), line: &str) -> Option<ProcessStatus> {
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

    /// Weight of the process in the division of the origin limits and of the limits of servers in slow start;
    /// positive even without requests.
    fn weight(&self) -> f64 {
        self.in_flight as f64 + 1.0
    }
}

/// The part of the node's limits that this process may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityGrant {
    /// Number of connections and bytes of memory that this process may use.
    pub capacity: Capacity,
    /// Share of the node's quota at the origin and at servers in slow start, from 0 to 1.
    pub share: f64,
    /// Whether a newer process accepts clients.
    pub replaced: bool,
    /// Whether another process accepts clients from the same listener.
    pub listener_shared: bool,
}

/// Returns this process's part of the node's capacity. `own` is the status that this process announced last,
/// `used` the capacity that it uses now.
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

/// Returns the capacity that the other processes leave, but at least the spare for a starting process, and at
/// most the node's capacity without that spare.
fn capacity_of_newest(node_capacity: Capacity, others: &[ProcessStatus]) -> Capacity {
    let spare = node_capacity.divided_by(SPARE_DIVISOR);
    let announced = others.iter().fold(Capacity::default(), |sum, other| sum.plus(other.capacity));
    let left = node_capacity.minus(announced);
    left.at_least(spare).at_most(node_capacity.minus(spare))
}

#[cfg(test)]
mod tests;
