//! Configuration of a core at its start.

use std::net::SocketAddr;

use stonevane_config::operator;
use stonevane_policy::Idempotency;
use stonevane_policy::settings::Deployment;

use crate::list::EndpointList;

/// Factor by which [`crate::Mutant::LongWindow`] lengthens idempotency windows.
const MUTANT_WINDOW_FACTOR: u64 = 100;

/// The configuration of a core.
#[derive(Debug)]
pub struct CoreConfig {
    /// The platform's settings.
    pub deployment: Deployment,
    /// Seed of the policy's random numbers.
    pub seed: u64,
    /// Sockets that the process may have open, for all purposes together.
    pub max_sockets: usize,
    /// Memory that the process may use, for all purposes together, in megabytes.
    pub memory_mb: usize,
    /// The endpoint list that the previous process of this node stored; empty if there is none.
    pub cached_list: EndpointList,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Time limits on client connections.
    pub clients: operator::Clients,
    /// Settings for connections to servers.
    pub servers: operator::Servers,
    /// Whether a store of record replaces the origin. The driver makes the calls to the store.
    pub has_store: bool,
    /// Whether the driver notifies caches of writes. The core then sends the driver the addresses of the
    /// caches.
    pub notifies_caches: bool,
    /// Sockets reserved for purposes other than clients, servers and discovery.
    pub other_sockets: usize,
    /// Whether a replacement process may run beside this one under the same limits.
    pub can_be_replaced: bool,
    /// Names of the cache servers that operators have excluded.
    pub excluded: Vec<String>,
    /// Regions, if the node only uses the cache servers of its own region; `None`: it uses all cache servers.
    pub regions: Option<operator::Regions>,
}

/// Injects the fault [`crate::Mutant::LongWindow`].
pub(super) fn lengthen_idempotency_windows(deployment: &mut Deployment) {
    for class in &mut deployment.settings.classes {
        if let Idempotency::WithKey { window, .. } = &mut class.idempotency {
            *window *= MUTANT_WINDOW_FACTOR;
        }
    }
}
