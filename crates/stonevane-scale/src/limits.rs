//! Whether memory and descriptors of a machine suffice for a fleet, before it starts and while it runs.

use crate::layout::Layout;

/// One mebibyte.
pub const MIB: u64 = 1 << 20;
/// A run may have at most the machine's memory divided by this.
const MEMORY_DIVISOR: u64 = 2;
/// Descriptors of a process beside those of its nodes: standard streams, the event loop, a listener.
const OTHER_DESCRIPTORS: u64 = 64;
/// Descriptors of a node in its worker: its UDP socket, and its connection to discovery.
const WORKER_DESCRIPTORS: u64 = 2;
/// Descriptors of a node in the coordinator, which serves discovery: the other end of its connection.
const COORDINATOR_DESCRIPTORS: u64 = 1;
/// Pipes of a worker in the coordinator.
const PIPES: u64 = 2;

/// What this machine has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Host {
    /// Memory, bytes.
    pub memory: u64,
    /// Descriptors that a process may have.
    pub descriptors: u64,
    /// Processors.
    pub processors: usize,
}

/// What the parts of a run need in memory, bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryCosts {
    /// A process with no node.
    pub process: u64,
    /// A node that knows nobody, with its end of discovery.
    pub node: u64,
    /// What a node holds of each member of its domain.
    pub member: u64,
}

impl Default for MemoryCosts {
    fn default() -> Self {
        MemoryCosts { process: 16 * MIB, node: 80 << 10, member: 288 }
    }
}

impl MemoryCosts {
    /// What a fleet needs, all processes together.
    pub fn of(&self, layout: &Layout) -> u64 {
        let processes = u64::from(layout.workers()) + 1;
        let node = self.node + self.member * u64::from(layout.largest_domain());
        processes * self.process + u64::from(layout.nodes()) * node
    }
}

/// Which limit a run exceeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LimitError {
    /// More memory is requested for than a run may have.
    #[error("--memory-mb is {}; half of this machine's memory is {}", mib(*requested), most / MIB)]
    AboveHalf {
        /// Asked for, bytes.
        requested: u64,
        /// What it may have, bytes.
        most: u64,
    },
    /// It would need more memory than it may have.
    #[error("{nodes} hollow nodes need about {} MiB of memory; the limit is {} MiB", mib(*needed), limit / MIB)]
    MemoryNeeded {
        /// Stub nodes.
        nodes: u32,
        /// Estimated need, bytes.
        needed: u64,
        /// What it may have, bytes.
        limit: u64,
    },
    /// A process would need more descriptors than it may have.
    #[error("{nodes} hollow nodes: {process} needs {needed} descriptors; the limit is {limit}")]
    DescriptorsNeeded {
        /// Stub nodes.
        nodes: u32,
        /// Which process.
        process: &'static str,
        /// Descriptors that it needs.
        needed: u64,
        /// Descriptors that it may have.
        limit: u64,
    },
    /// Its processes have taken more memory than they may.
    #[error("the run has taken {} MiB of memory; the limit is {} MiB: it was ended", mib(*used), limit / MIB)]
    MemoryUsed {
        /// Resident memory of all its processes, bytes.
        used: u64,
        /// What they may have, bytes.
        limit: u64,
    },
}

/// Bytes as mebibytes, rounded up.
fn mib(bytes: u64) -> u64 {
    bytes.div_ceil(MIB)
}

/// The memory that a run may have: half of the machine's, or less where less is requested for.
///
/// # Errors
/// More is requested for.
pub fn memory_limit(host: &Host, requested: Option<u64>) -> Result<u64, LimitError> {
    let most = host.memory / MEMORY_DIVISOR;
    match requested {
        Some(requested) if requested > most => Err(LimitError::AboveHalf { requested, most }),
        Some(requested) => Ok(requested),
        None => Ok(most),
    }
}

/// Checks before the start that the machine suffices for a fleet.
///
/// # Errors
/// The limit that would be exceeded.
pub fn check(layout: &Layout, costs: &MemoryCosts, limit: u64, descriptors: u64) -> Result<(), LimitError> {
    let nodes = layout.nodes();
    let needed = costs.of(layout);
    if needed > limit {
        return Err(LimitError::MemoryNeeded { nodes, needed, limit });
    }
    let worker = OTHER_DESCRIPTORS + WORKER_DESCRIPTORS * u64::from(layout.largest_worker());
    let pipes = PIPES * u64::from(layout.workers());
    let coordinator = OTHER_DESCRIPTORS + pipes + COORDINATOR_DESCRIPTORS * u64::from(nodes);
    for (process, needed) in [("a worker", worker), ("the coordinator", coordinator)] {
        if needed > descriptors {
            return Err(LimitError::DescriptorsNeeded { nodes, process, needed, limit: descriptors });
        }
    }
    Ok(())
}

/// Checks while it runs what its processes have taken.
///
/// # Errors
/// They have taken more than the limit.
pub fn check_used(used: u64, limit: u64) -> Result<(), LimitError> {
    if used > limit { Err(LimitError::MemoryUsed { used, limit }) } else { Ok(()) }
}
