//! What a core is configured with at its start.

use std::net::SocketAddr;

use stonevane_config::operator;
use stonevane_policy::Idempotency;
use stonevane_policy::settings::Deployment;

use crate::list::EndpointList;

/// Factor of the idempotency window under a mutant.
const MUTANT_WINDOW_FACTOR: u64 = 100;

/// The configuration of a core.
#[derive(Debug)]
pub struct CoreConfig {
    /// The platform's settings.
    pub deployment: Deployment,
    /// Seed of its random numbers.
    pub seed: u64,
    /// Sockets that the process may open in all.
    pub max_sockets: usize,
    /// Memory that the process may use in all, in megabytes.
    pub memory_mb: usize,
    /// The endpoint list as the last process of this node had it.
    pub cached_list: EndpointList,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Time limits on client connections.
    pub clients: operator::Clients,
    /// Connections to servers.
    pub servers: operator::Servers,
    /// Whether a store of record, which the driver calls, replaces the origin.
    pub has_store: bool,
    /// Whether the driver notifies caches of writes, for which it needs their addresses.
    pub notifies_caches: bool,
    /// Sockets for purposes other than clients, servers and discovery.
    pub other_sockets: usize,
    /// Whether another process may run beside this one, under the same limits, to replace it.
    pub can_be_replaced: bool,
    /// Names of the cache servers that operators have excluded.
    pub excluded: Vec<String>,
    /// The regions, where the node uses the cache servers of its own; `None`: it uses all.
    pub regions: Option<operator::Regions>,
}

/// The fault of [`crate::Mutant::LongWindow`].
pub(super) fn lengthen_idempotency_windows(deployment: &mut Deployment) {
    for class in &mut deployment.settings.classes {
        if let Idempotency::WithKey { window, .. } = &mut class.idempotency {
            *window *= MUTANT_WINDOW_FACTOR;
        }
    }
}
