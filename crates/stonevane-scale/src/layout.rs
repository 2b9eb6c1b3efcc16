//! Which node numbers a worker, a region and a membership domain have: contiguous blocks of nearly equal length.

use std::ops::Range;

/// Members of one membership domain: a datagram names them by 16 bits.
pub const MAX_MEMBERS: u32 = u16::MAX as u32;
/// Worker processes.
pub const MAX_WORKERS: u32 = 200;
/// Nodes for each worker where the number of workers is not given.
const NODES_PER_WORKER: u32 = 64;

/// Why a fleet cannot be laid out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LayoutError {
    /// There is no node.
    #[error("--nodes is 0; at least 2 are needed")]
    NoNodes,
    /// There is no region.
    #[error("--regions is 0; at least 1 is needed")]
    NoRegions,
    /// Some regions would have no node.
    #[error("{regions} regions and {nodes} nodes: some regions would have no node")]
    EmptyRegions {
        /// Regions asked for.
        regions: u32,
        /// Nodes to fill them.
        nodes: u32,
    },
    /// There is no worker, or there are too many.
    #[error("--workers is {workers}; 1 to {most} are possible here")]
    Workers {
        /// Workers asked for.
        workers: u32,
        /// The most that there may be: no more than nodes.
        most: u32,
    },
    /// A membership domain has more members than a datagram can name.
    #[error("{members} nodes in one membership domain; at most {MAX_MEMBERS} can be named")]
    Members {
        /// Members of the largest domain.
        members: u32,
    },
    /// Nobody is left to notice the death of a node in a domain of its own.
    #[error("a membership domain has a single node: nobody could notice a death; 2 are needed")]
    Alone,
}

/// Where each node of a fleet belongs. Nodes have the numbers from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Layout {
    nodes: u32,
    regions: u32,
    workers: u32,
    domain_per_region: bool,
}

/// The numbers in one of several blocks.
fn block(nodes: u32, blocks: u32, index: u32) -> Range<u32> {
    let start = |index: u32| (u64::from(index) * u64::from(nodes) / u64::from(blocks)) as u32;
    start(index)..start(index + 1)
}

/// The block that has a number: the inverse of [`block`].
fn block_of(nodes: u32, blocks: u32, number: u32) -> u32 {
    (((u64::from(number) + 1) * u64::from(blocks) - 1) / u64::from(nodes)) as u32
}

/// How many workers a fleet has where nobody says: some dozens of nodes each, no more than processors.
pub fn default_workers(nodes: u32, processors: usize) -> u32 {
    let processors = u32::try_from(processors).unwrap_or(MAX_WORKERS).clamp(1, MAX_WORKERS);
    nodes.div_ceil(NODES_PER_WORKER).clamp(1, processors)
}

impl Layout {
    /// Lays a fleet out. `domain_per_region`: the nodes of a region know of one another only; else all know of all.
    ///
    /// # Errors
    /// It cannot be laid out.
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
        let most = nodes.min(MAX_WORKERS);
        if !(1..=most).contains(&workers) {
            return Err(LayoutError::Workers { workers, most });
        }
        let layout = Layout { nodes, regions, workers, domain_per_region };
        let members = layout.largest_domain();
        if members > MAX_MEMBERS {
            return Err(LayoutError::Members { members });
        }
        let smallest = if domain_per_region { nodes / regions } else { nodes };
        if smallest < 2 {
            return Err(LayoutError::Alone);
        }
        Ok(layout)
    }

    /// How many nodes there are.
    pub fn nodes(&self) -> u32 {
        self.nodes
    }

    /// How many regions there are.
    pub fn regions(&self) -> u32 {
        self.regions
    }

    /// How many workers there are.
    pub fn workers(&self) -> u32 {
        self.workers
    }

    /// Whether each region is a membership domain of its own.
    pub fn domain_per_region(&self) -> bool {
        self.domain_per_region
    }

    /// The nodes of a worker.
    pub fn worker_nodes(&self, worker: u32) -> Range<u32> {
        block(self.nodes, self.workers, worker)
    }

    /// The worker of a node.
    pub fn worker_of(&self, number: u32) -> u32 {
        block_of(self.nodes, self.workers, number)
    }

    /// The nodes of a region.
    pub fn region_nodes(&self, region: u32) -> Range<u32> {
        block(self.nodes, self.regions, region)
    }

    /// The region of a node.
    pub fn region_of(&self, number: u32) -> u32 {
        block_of(self.nodes, self.regions, number)
    }

    /// The nodes that a node knows of by membership, itself among them.
    pub fn domain_of(&self, number: u32) -> Range<u32> {
        if self.domain_per_region { self.region_nodes(self.region_of(number)) } else { 0..self.nodes }
    }

    /// Members of the largest domain.
    pub fn largest_domain(&self) -> u32 {
        if self.domain_per_region { self.nodes.div_ceil(self.regions) } else { self.nodes }
    }

    /// Nodes of the worker that has the most.
    pub fn largest_worker(&self) -> u32 {
        self.nodes.div_ceil(self.workers)
    }

    /// How many nodes of a worker are to learn of the death of a node: those of its domain, without itself.
    pub fn witnesses(&self, worker: u32, victim: u32) -> u32 {
        let (nodes, domain) = (self.worker_nodes(worker), self.domain_of(victim));
        let shared = nodes.start.max(domain.start)..nodes.end.min(domain.end);
        let count = shared.end.saturating_sub(shared.start);
        count - u32::from(shared.contains(&victim))
    }
}
