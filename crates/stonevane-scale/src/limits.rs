//! Limits on memory and file descriptors, checked before a fleet starts and, for memory, while it runs.

use crate::layout::Layout;

/// One mebibyte, in bytes.
pub const MIB: u64 = 1 << 20;
/// The default and maximum memory limit of a run is the machine's memory divided by this.
const MEMORY_DIVISOR: u64 = 2;
/// File descriptors of a process besides those of its nodes: standard streams, the event loop, a listener.
const PROCESS_DESCRIPTORS: u64 = 64;
/// File descriptors per node in its worker: its UDP socket and its connection to discovery.
const WORKER_DESCRIPTORS_PER_NODE: u64 = 2;
/// File descriptors per node in the coordinator, which runs the discovery emulator: the accepted connection.
const COORDINATOR_DESCRIPTORS_PER_NODE: u64 = 1;
/// File descriptors per worker in the coordinator: the pipes to its input and from its output.
const PIPES_PER_WORKER: u64 = 2;

/// Resources of this machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Host {
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Limit on the file descriptors of a process.
    pub descriptors: u64,
    /// Number of processors that this process may use.
    pub processors: usize,
}

/// Estimated memory needs of the parts of a run, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryCosts {
    /// A process without nodes.
    pub process_bytes: u64,
    /// A node without its member table, including its connection to discovery.
    pub node_bytes: u64,
    /// An entry of the member table of a node: one per member of its domain.
    pub member_bytes: u64,
}

impl Default for MemoryCosts {
    fn default() -> Self {
        MemoryCosts { process_bytes: 16 * MIB, node_bytes: 80 << 10, member_bytes: 288 }
    }
}

impl MemoryCosts {
    /// Estimated memory of a fleet, all processes together, in bytes.
    pub fn estimate(&self, layout: &Layout) -> u64 {
        let processes = u64::from(layout.workers()) + 1;
        let per_node = self.node_bytes + self.member_bytes * u64::from(layout.largest_domain());
        processes * self.process_bytes + u64::from(layout.nodes()) * per_node
    }
}

/// A limit that a run exceeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LimitError {
    /// The requested memory limit exceeds the maximum.
    #[error("--memory-mb is {}; at most {} is accepted, half of this machine's memory", mib(*requested), max / MIB)]
    AboveHalf {
        /// Requested limit, in bytes.
        requested: u64,
        /// Maximum, in bytes.
        max: u64,
    },
    /// The fleet is estimated to need more memory than the limit.
    #[error("{nodes} hollow nodes need about {} MiB of memory; the limit is {} MiB", mib(*needed), limit / MIB)]
    MemoryNeeded {
        /// Number of stub nodes in the fleet.
        nodes: u32,
        /// Estimated need, in bytes.
        needed: u64,
        /// Memory limit of the run, in bytes.
        limit: u64,
    },
    /// A process would need more file descriptors than the limit.
    #[error("{nodes} hollow nodes: {process} needs {needed} descriptors; the limit is {limit}")]
    DescriptorsNeeded {
        /// Number of stub nodes in the fleet.
        nodes: u32,
        /// Role of the process: a worker or the coordinator.
        process: &'static str,
        /// File descriptors that the process needs.
        needed: u64,
        /// Limit on the file descriptors of a process.
        limit: u64,
    },
    /// The processes of the run use more memory than the limit.
    #[error("the run has taken {} MiB of memory; the limit is {} MiB: it was ended", mib(*used), limit / MIB)]
    MemoryUsed {
        /// Resident memory of all processes of the run, in bytes.
        used: u64,
        /// Memory limit of the run, in bytes.
        limit: u64,
    },
}

/// Converts bytes to mebibytes, rounded up.
fn mib(bytes: u64) -> u64 {
    bytes.div_ceil(MIB)
}

/// Memory limit of a run, in bytes: the requested one, by default half of the machine's memory.
///
/// # Errors
/// [`LimitError::AboveHalf`] if more than half of the machine's memory is requested.
pub fn memory_limit(host: &Host, requested: Option<u64>) -> Result<u64, LimitError> {
    let max = host.memory_bytes / MEMORY_DIVISOR;
    match requested {
        Some(requested) if requested > max => Err(LimitError::AboveHalf { requested, max }),
        Some(requested) => Ok(requested),
        None => Ok(max),
    }
}

/// Checks, before a fleet starts, that it stays within a memory limit in bytes and a limit on the file
/// descriptors of each process.
///
/// # Errors
/// The first limit that the fleet would exceed.
pub fn check(layout: &Layout, costs: &MemoryCosts, limit: u64, descriptors: u64) -> Result<(), LimitError> {
    let nodes = layout.nodes();
    let needed = costs.estimate(layout);
    if needed > limit {
        return Err(LimitError::MemoryNeeded { nodes, needed, limit });
    }
    let worker = PROCESS_DESCRIPTORS + WORKER_DESCRIPTORS_PER_NODE * u64::from(layout.largest_worker());
    let pipes = PIPES_PER_WORKER * u64::from(layout.workers());
    let coordinator = PROCESS_DESCRIPTORS + pipes + COORDINATOR_DESCRIPTORS_PER_NODE * u64::from(nodes);
    for (process, needed) in [("a worker", worker), ("the coordinator", coordinator)] {
        if needed > descriptors {
            return Err(LimitError::DescriptorsNeeded { nodes, process, needed, limit: descriptors });
        }
    }
    Ok(())
}

/// Checks the memory that a run uses, in bytes, against its limit.
///
/// # Errors
/// [`LimitError::MemoryUsed`] if it uses more than the limit.
pub fn check_used(used: u64, limit: u64) -> Result<(), LimitError> {
    if used > limit { Err(LimitError::MemoryUsed { used, limit }) } else { Ok(()) }
}
