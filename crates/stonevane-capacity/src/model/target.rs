//! The operators' planned fleet, and the budget of its control traffic and control work.

/// Seconds in a day.
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Size and load of the planned fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Target {
    /// Number of nodes.
    pub nodes: f64,
    /// Number of cache servers.
    pub servers: f64,
    /// Number of regions.
    pub regions: f64,
    /// Number of zones, over all regions.
    pub zones: f64,
    /// Number of sites, over all regions.
    pub sites: f64,
    /// Nodes in each region.
    pub region_nodes: f64,
    /// Cache servers in each region.
    pub region_servers: f64,
    /// Requests per second at the peak, over all nodes.
    pub requests: f64,
    /// Bits per second of responses at the peak, over all nodes.
    pub bits: f64,
    /// Purges per second.
    pub purges: f64,
    /// Bytes of one purge message, which holds a hash.
    pub purge_bytes: f64,
    /// Configuration changes per day.
    pub changes_a_day: f64,
    /// Bytes of one configuration change.
    pub change_bytes: f64,
    /// Number of tenants in the settings: assumed by this model, not specified by the operators.
    pub tenants: f64,
    /// Machines that fail, are restarted or are replaced per day.
    pub restarts_a_day: f64,
    /// Duration of a partition between two regions, in seconds.
    pub cut_s: f64,
}

/// Planned fleet as the operators specified it, except for the assumed number of tenants.
pub const TARGET: Target = Target {
    nodes: 18_000.0,
    servers: 4_200.0,
    regions: 28.0,
    zones: 57.0,
    sites: 1_300.0,
    region_nodes: 643.0,
    region_servers: 150.0,
    requests: 14e6,
    bits: 100e12,
    purges: 290.0,
    purge_bytes: 16.0,
    changes_a_day: 58_000.0,
    change_bytes: 1_024.0,
    tenants: 1_000.0,
    restarts_a_day: 37.0 + 2_800.0,
    cut_s: 600.0,
};

impl Target {
    /// Requests per second of one node at the peak.
    pub fn node_requests(&self) -> f64 {
        self.requests / self.nodes
    }

    /// Mean bytes of one response.
    pub fn response_bytes(&self) -> f64 {
        self.bits / 8.0 / self.requests
    }

    /// Configuration changes per second.
    pub fn changes(&self) -> f64 {
        self.changes_a_day / SECONDS_PER_DAY
    }

    /// Node restarts per second, assuming that nodes and cache servers are equally likely to restart.
    pub fn node_restarts(&self) -> f64 {
        self.restarts_a_day / SECONDS_PER_DAY * self.nodes / (self.nodes + self.servers)
    }

    /// Cache server restarts per second.
    pub fn server_restarts(&self) -> f64 {
        self.restarts_a_day / SECONDS_PER_DAY * self.servers / (self.nodes + self.servers)
    }

    /// Mean number of nodes in a zone.
    pub fn zone_nodes(&self) -> f64 {
        self.nodes / self.zones
    }

    /// Mean number of cache servers in a zone.
    pub fn zone_servers(&self) -> f64 {
        self.servers / self.zones
    }
}

/// Limits of control traffic and control work on each node, and the number of control machines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Processor time for control work per node, in microseconds per second: 1.7 % of a core.
    pub cpu: f64,
    /// Memory for control work per node, in bytes.
    pub memory: f64,
    /// Control traffic per node, in bytes per second.
    pub bytes: f64,
    /// Open sockets per node.
    pub sockets: f64,
    /// Number of control machines.
    pub machines: f64,
}

impl Budget {
    /// Budget as the operators specified it; `sockets` is the daemon's limit.
    pub const OPERATORS: Budget =
        Budget { cpu: 17_000.0, memory: 64e6, bytes: 3_000.0, sockets: 1_024.0, machines: 30.0 };
}
