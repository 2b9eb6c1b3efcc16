//! Node numbers of each worker, region and membership domain: contiguous blocks whose lengths differ by at
//! most one.

use std::ops::Range;

/// Limit on the members of one membership domain: a datagram identifies a member by 16 bits.
pub const MAX_MEMBERS: u32 = u16::MAX as u32;
/// Limit on the worker processes of a fleet.
pub const MAX_WORKERS: u32 = 200;
/// Nodes per worker if the number of workers is not given.
const NODES_PER_WORKER: u32 = 64;

/// An error in the size or the division of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LayoutError {
    /// The fleet has no node.
    #[error("--nodes is 0; at least 2 are needed")]
    NoNodes,
    /// The fleet has no region.
    #[error("--regions is 0; at least 1 is needed")]
    NoRegions,
    /// Some regions would have no node.
    #[error("{regions} regions and {nodes} nodes: some regions would have no node")]
    EmptyRegions {
        /// Requested number of regions.
        regions: u32,
        /// Requested number of nodes.
        nodes: u32,
    },
    /// The number of workers is out of range.
    #[error("--workers is {workers}; accepted are 1 to {max}")]
    WorkerCount {
        /// Requested number of worker processes.
        workers: u32,
        /// Maximum: the smaller of the number of nodes and [`MAX_WORKERS`].
        max: u32,
    },
    /// A membership domain has more members than a datagram can identify.
    #[error("{members} nodes in one membership domain; at most {MAX_MEMBERS} can be named")]
    TooManyMembers {
        /// Number of members of the largest domain.
        members: u32,
    },
    /// A membership domain has a single node, so that no other node could detect its death.
    #[error("a membership domain has a single node; at least 2 are needed to detect a death")]
    SingleMember,
}

/// Assignment of the nodes of a fleet to workers, regions and membership domains. Nodes are numbered from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Layout {
    nodes: u32,
    regions: u32,
    workers: u32,
    domain_per_region: bool,
}

/// Returns the numbers in the block `index` of `blocks`.
fn block(nodes: u32, blocks: u32, index: u32) -> Range<u32> {
    let start = |index: u32| (u64::from(index) * u64::from(nodes) / u64::from(blocks)) as u32;
    start(index)..start(index + 1)
}

/// Returns the index of the block that contains a number: the inverse of [`block`].
fn block_of(nodes: u32, blocks: u32, number: u32) -> u32 {
    (((u64::from(number) + 1) * u64::from(blocks) - 1) / u64::from(nodes)) as u32
}

/// Default number of workers of a fleet: one per `NODES_PER_WORKER` nodes, at most one per processor.
pub fn default_workers(nodes: u32, processors: usize) -> u32 {
    let processors = u32::try_from(processors).unwrap_or(MAX_WORKERS).clamp(1, MAX_WORKERS);
    nodes.div_ceil(NODES_PER_WORKER).clamp(1, processors)
}

impl Layout {
    /// Lays out a fleet. With `domain_per_region` each region is a membership domain of its own; otherwise
    /// all nodes are members of one domain.
    ///
    /// # Errors
    /// A number is out of range, or a region or domain would have too few or too many nodes.
    pub fn new(
        nodes: u32,
        regions: u32,
        workers: u32,
        domain_per_region: bool,
    ) -> Result<Layout, LayoutError> {
        if nodes == 0 {
            return Err(LayoutError::NoNodes);
        }
        if regions == 0 {
            return Err(LayoutError::NoRegions);
        }
        if regions > nodes {
            return Err(LayoutError::EmptyRegions { regions, nodes });
        }
        let max = nodes.min(MAX_WORKERS);
        if !(1..=max).contains(&workers) {
            return Err(LayoutError::WorkerCount { workers, max });
        }
        let layout = Layout { nodes, regions, workers, domain_per_region };
        let members = layout.largest_domain();
        if members > MAX_MEMBERS {
            return Err(LayoutError::TooManyMembers { members });
        }
        let smallest_domain = if domain_per_region { nodes / regions } else { nodes };
        if smallest_domain < 2 {
            return Err(LayoutError::SingleMember);
        }
        Ok(layout)
    }

    /// Number of nodes in the fleet.
    pub fn nodes(&self) -> u32 {
        self.nodes
    }

    /// Number of regions; at least 1, at most one per node.
    pub fn regions(&self) -> u32 {
        self.regions
    }

    /// Number of worker processes; at least 1, at most [`MAX_WORKERS`].
    pub fn workers(&self) -> u32 {
        self.workers
    }

    /// Whether each region is its own membership domain.
    pub fn domain_per_region(&self) -> bool {
        self.domain_per_region
    }

    /// Numbers of the nodes that a worker runs.
    pub fn worker_nodes(&self, worker: u32) -> Range<u32> {
        block(self.nodes, self.workers, worker)
    }

    /// Index of the worker that runs a node.
    pub fn worker_of(&self, number: u32) -> u32 {
        block_of(self.nodes, self.workers, number)
    }

    /// Numbers of the nodes of a region.
    pub fn region_nodes(&self, region: u32) -> Range<u32> {
        block(self.nodes, self.regions, region)
    }

    /// Index of the region of a node.
    pub fn region_of(&self, number: u32) -> u32 {
        block_of(self.nodes, self.regions, number)
    }

    /// Numbers of the members of the domain of a node, including the node.
    pub fn domain_of(&self, number: u32) -> Range<u32> {
        if self.domain_per_region { self.region_nodes(self.region_of(number)) } else { 0..self.nodes }
    }

    /// Number of members of the largest domain.
    pub fn largest_domain(&self) -> u32 {
        if self.domain_per_region { self.nodes.div_ceil(self.regions) } else { self.nodes }
    }

    /// Number of nodes that the worker with the most nodes runs.
    pub fn largest_worker(&self) -> u32 {
        self.nodes.div_ceil(self.workers)
    }

    /// Number of nodes of a worker that must detect the death of `victim`: those in its domain, without
    /// `victim`.
    pub fn survivors(&self, worker: u32, victim: u32) -> u32 {
        let (nodes, domain) = (self.worker_nodes(worker), self.domain_of(victim));
        let shared = nodes.start.max(domain.start)..nodes.end.min(domain.end);
        let count = shared.end.saturating_sub(shared.start);
        count - u32::from(shared.contains(&victim))
    }
}
