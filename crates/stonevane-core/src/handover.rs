//! Two processes of one node side by side, while one replaces the other: who may hold how much of what both together
//! may hold. No files, no clock: what each has said of itself goes in, what this one may take comes out.
//!
//! One that has a newer one beside it never takes more than it said; the newest takes what the others leave. So the sum
//! holds however late each hears of the other, as long as one that takes more says so first, and one that takes less
//! says so afterwards.

use stonevane_policy::Micros;

/// Of the whole, a part as large as one by this is left for a process that is just starting.
const SPARE: usize = 16;

/// How far a process has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessStage {
    /// It takes no clients yet.
    Starting,
    /// It takes clients.
    Serving,
    /// It ends.
    Draining,
}

/// Places for connections, and memory in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Capacity {
    /// Places for connections.
    pub connections: usize,
    /// Memory, in bytes.
    pub memory: usize,
}

impl Capacity {
    fn each(self, other: Capacity, of: impl Fn(usize, usize) -> usize) -> Capacity {
        Capacity {
            connections: of(self.connections, other.connections),
            memory: of(self.memory, other.memory),
        }
    }

    fn part(self, by: usize) -> Capacity {
        Capacity { connections: self.connections / by, memory: self.memory / by }
    }
}

/// What a process says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessStatus {
    /// When it started, and its number: the newest is the last in this order.
    pub started: (Micros, u32),
    /// How far it has come.
    pub stage: ProcessStage,
    /// What it may take.
    pub capacity: Capacity,
    /// Requests that it has open: the gate and cold servers' budgets are divided by them.
    pub in_flight: usize,
}

impl ProcessStatus {
    /// The line that tells it.
    pub fn line(&self) -> String {
        let stage = match self.stage {
            ProcessStage::Starting => "starting",
            ProcessStage::Serving => "serving",
            ProcessStage::Draining => "draining",
        };
        format!("1 {stage} {} {} {}\n", self.capacity.connections, self.capacity.memory, self.in_flight)
    }

    /// Reads such a line; `None` for any other.
    pub fn read(since: (Micros, u32), line: &str) -> Option<ProcessStatus> {
        let words: Vec<_> = line.strip_suffix('\n')?.split(' ').collect();
        let ["1", stage, places, memory, open] = words[..] else { return None };
        let stage = match stage {
            "starting" => ProcessStage::Starting,
            "serving" => ProcessStage::Serving,
            "draining" => ProcessStage::Draining,
            _ => return None,
        };
        let room = Capacity { connections: places.parse().ok()?, memory: memory.parse().ok()? };
        Some(ProcessStatus { started: since, stage, capacity: room, in_flight: open.parse().ok()? })
    }
}

/// What this process may do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityGrant {
    /// What it may take.
    pub capacity: Capacity,
    /// Its part of the node's share of the origin and of cold servers.
    pub share: f64,
    /// A newer process takes clients.
    pub replaced: bool,
    /// Another process takes clients from the same queue.
    pub listener_shared: bool,
}

/// Divides the whole. `own`: this process, with what it said last; `held`: what it holds now.
pub fn divide(
    whole: Capacity,
    own: &ProcessStatus,
    held: Capacity,
    others: &[ProcessStatus],
) -> CapacityGrant {
    let weight = |of: &ProcessStatus| of.in_flight as f64 + 1.0;
    let all: f64 = others.iter().map(weight).sum();
    let newer = || others.iter().filter(|other| other.started > own.started);
    let spare = whole.part(SPARE);
    let room = if newer().next().is_some() {
        let least = match own.stage {
            ProcessStage::Draining => held.each(spare, usize::saturating_add),
            _ => held.each(whole.part(2), usize::max),
        };
        least.each(own.capacity, usize::min)
    } else {
        let said = others
            .iter()
            .fold(Capacity::default(), |sum, other| sum.each(other.capacity, usize::saturating_add));
        let left = whole.each(said, usize::saturating_sub);
        // Alone, it leaves what one that starts beside it can begin with.
        let most = whole.each(spare, usize::saturating_sub);
        left.each(spare, usize::max).each(most, usize::min)
    };
    CapacityGrant {
        capacity: room,
        share: weight(own) / (weight(own) + all),
        replaced: newer().any(|other| other.stage == ProcessStage::Serving),
        listener_shared: others.iter().any(|other| other.stage == ProcessStage::Serving),
    }
}

#[cfg(test)]
mod tests;
