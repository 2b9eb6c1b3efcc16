//! The endpoint list, the servers that operators exclude, and the subset that is passed to the policy.

use std::net::SocketAddr;

use foldhash::{HashMap, HashMapExt, HashSet};
use stonevane_policy::settings::Deployment;
use stonevane_policy::{Condition, Event, ListUpdate, Micros, ServerEntry, ServerId};
use xxhash_rust::xxh3::xxh3_64;

use super::Core;
use super::config::CoreConfig;
use crate::faults::{Faults, Mutant};
use crate::io::Output;
use crate::list::{Endpoint, EndpointList};
use crate::servers::Protocol;
use crate::start_times::{self, FirstList};
use crate::subset::{EndpointSubset, ListedServer};
use crate::timers::TimerKind;

/// Index of a zone that the settings do not name.
const UNKNOWN_ZONE_INDEX: usize = u8::MAX as usize;
/// Index of a machine type that the settings do not name.
const UNKNOWN_KIND_INDEX: usize = u16::MAX as usize;
const MICROS_PER_MS: u64 = 1_000;

/// Derives a server's id from its name.
fn server_id(name: &str) -> ServerId {
    xxh3_64(name.as_bytes()) as ServerId
}

/// Address and protocol of requests to a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerTarget {
    pub server: ServerId,
    pub address: SocketAddr,
    pub protocol: Protocol,
}

/// Zone and machine type of a server, as indexes into the lists of the settings.
#[derive(Debug, Clone, Copy)]
struct Placement {
    zone: u8,
    kind: u16,
}

impl Placement {
    fn of(deployment: &Deployment, zone: &str, kind: &str) -> Placement {
        let position = |names: &[String], name: &str| names.iter().position(|listed| listed == name);
        Placement {
            zone: position(&deployment.zones, zone).unwrap_or(UNKNOWN_ZONE_INDEX) as u8,
            kind: position(&deployment.machine_types, kind).unwrap_or(UNKNOWN_KIND_INDEX) as u16,
        }
    }
}

/// A server of the endpoint list.
struct ListedEndpoint {
    name: Box<str>,
    zone_name: Box<str>,
    kind_name: Box<str>,
    /// Start time of the server's process in Unix milliseconds, by the clock of the list, which may differ
    /// from this process's clock.
    since_ms: u64,
    address: SocketAddr,
    protocol: Protocol,
    /// The server's entry in the list for the policy.
    entry: ServerEntry,
    /// Time of the server's last response; 0 before the first.
    last_response_at: Micros,
}

/// All listed servers, the exclusions, and the subset of servers in use.
pub(super) struct EndpointTable {
    servers: HashMap<ServerId, ListedEndpoint>,
    /// Names of the servers that operators have excluded.
    excluded: HashMap<ServerId, String>,
    /// The subset of servers that is passed to the policy; `None`: all servers.
    subset: Option<EndpointSubset>,
    origin_protocol: Protocol,
    /// Cache addresses last announced to the driver; `None` if the driver does not notify caches of writes.
    announced_caches: Option<Vec<SocketAddr>>,
}

impl EndpointTable {
    /// Creates an empty table. Takes the regions out of the configuration.
    pub fn new(config: &mut CoreConfig, now: Micros) -> EndpointTable {
        let node_index = config.deployment.settings.node_index;
        let regions = config.regions.take();
        EndpointTable {
            servers: HashMap::new(),
            excluded: HashMap::new(),
            subset: regions.map(|regions| EndpointSubset::new(regions, node_index, now)),
            origin_protocol: if config.has_store { Protocol::Store } else { Protocol::Origin },
            announced_caches: config.notifies_caches.then(Vec::new),
        }
    }

    pub fn len(&self) -> usize {
        self.servers.len()
    }

    pub fn cache_count(&self) -> usize {
        self.servers.values().filter(|server| server.protocol == Protocol::Cache).count()
    }

    /// Whether any server is in the given condition.
    pub fn has_condition(&self, condition: Condition) -> bool {
        self.servers.values().any(|server| server.entry.condition == condition)
    }

    pub fn target(&self, server: ServerId) -> Option<ServerTarget> {
        let listed = self.servers.get(&server)?;
        Some(ServerTarget { server, address: listed.address, protocol: listed.protocol })
    }

    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.get(&server).map(|listed| listed.address)
    }

    /// A server's name for the trace; a placeholder once it is no longer listed.
    pub fn name(&self, server: ServerId) -> &str {
        self.servers.get(&server).map_or("(forgotten)", |listed| &listed.name)
    }

    pub fn last_response_at(&self, server: ServerId) -> Option<Micros> {
        self.servers.get(&server).map(|listed| listed.last_response_at)
    }

    pub fn set_last_response_at(&mut self, server: ServerId, now: Micros) {
        if let Some(listed) = self.servers.get_mut(&server) {
            listed.last_response_at = now;
        }
    }

    pub fn origin_protocol(&self) -> Protocol {
        self.origin_protocol
    }

    /// The protocol that servers of a machine type use.
    fn protocol_of(&self, deployment: &Deployment, kind: u16) -> Protocol {
        let is_origin = deployment.settings.origin_kind == Some(kind);
        if is_origin { self.origin_protocol } else { Protocol::Cache }
    }

    /// Whether new requests may be sent to a server at the given address.
    pub fn accepts_requests(&self, server: ServerId, address: Option<SocketAddr>) -> bool {
        let Some(listed) = self.servers.get(&server) else { return false };
        listed.entry.condition == Condition::Ready
            && Some(listed.address) == address
            && !self.excluded.contains_key(&server)
    }

    /// The address at which connections to a server may be reused; `None` if they may not be reused.
    pub fn reusable_address(&self, server: ServerId) -> Option<SocketAddr> {
        let listed = self.servers.get(&server)?;
        let is_in_subset = self.subset.as_ref().is_none_or(|subset| subset.contains(server));
        (listed.entry.condition == Condition::Ready && is_in_subset).then_some(listed.address)
    }

    pub fn subset(&self) -> Option<&EndpointSubset> {
        self.subset.as_ref()
    }

    /// Returns the addresses of all caches if they have changed since the last announcement to the driver.
    /// Draining caches are included, because they may still answer requests in flight.
    fn take_changed_caches(&mut self) -> Option<Vec<SocketAddr>> {
        let announced = self.announced_caches.as_mut()?;
        let caches = self.servers.values().filter(|server| server.protocol == Protocol::Cache);
        let mut caches: Vec<_> = caches.map(|server| server.address).collect();
        caches.sort_unstable();
        if *announced == caches {
            return None;
        }
        announced.clone_from(&caches);
        Some(caches)
    }
}

/// Context for applying the entries of one list.
#[derive(Clone, Copy)]
struct ListContext {
    /// Whether this is a full list that is older than the current list.
    is_older: bool,
    /// Start times of the listed servers, if this is the first list of the process.
    first_list: Option<FirstList>,
}

impl<F: Faults> Core<F> {
    /// Applies a full list or a delta. A delta older than the current list is ignored.
    pub(super) fn apply_list(&mut self, list: &EndpointList, kind: ListUpdate) {
        let is_older = self.discovery.list_version.is_some_and(|version| list.version < version);
        if kind == ListUpdate::Delta && is_older && !self.faults.injects(Mutant::OldList) {
            return;
        }
        // Without a cached list the version stays unknown, so that the full list is fetched.
        let is_absent = kind == ListUpdate::Cached && list.endpoints.is_empty();
        self.discovery.list_version = (!is_absent).then_some(list.version);
        let is_first = self.endpoints.servers.is_empty();
        let context = ListContext {
            is_older: is_older && kind == ListUpdate::Full,
            first_list: is_first.then(|| self.read_first_list(list)),
        };
        let mut entries = Vec::with_capacity(list.endpoints.len());
        for endpoint in &list.endpoints {
            entries.extend(self.apply_endpoint(endpoint, context));
        }
        if kind != ListUpdate::Delta {
            self.remove_unlisted(&entries);
        }
        for entry in entries.iter().filter(|entry| entry.condition == Condition::Gone) {
            self.remove_server(entry.id);
        }
        if let Some(caches) = self.endpoints.take_changed_caches() {
            self.out.push_back(Output::CachesChanged(caches));
        }
        self.log_list(kind, &entries);
        self.notify_servers(kind, entries);
        self.withdraw_attempts_at_unavailable_servers();
    }

    /// Applies an entry of a list. Returns `None` for a server without a valid address, unless an earlier
    /// list had one.
    fn apply_endpoint(&mut self, endpoint: &Endpoint, context: ListContext) -> Option<ServerEntry> {
        let id = server_id(&endpoint.name);
        let current = self.endpoints.servers.get(&id);
        let address = endpoint.address.parse().ok().or_else(|| current.map(|server| server.address))?;
        let started = self.start_time(current, endpoint.since_ms, context.first_list);
        // An older list does not override the state of the same server process. A newer process of the server
        // does not inherit the drain of its predecessor.
        let retained = current.filter(|server| context.is_older && endpoint.since_ms <= server.since_ms);
        let is_draining = retained.is_some_and(|server| server.entry.condition == Condition::Draining);
        let condition =
            if is_draining { Condition::Draining } else { self.parse_condition(&endpoint.status) };
        // With a subset, an older list must not move a server back to its previous zone.
        let retained_zone = retained.filter(|_| self.endpoints.subset.is_some());
        let zone_name: Box<str> =
            retained_zone.map_or_else(|| endpoint.zone.as_str().into(), |server| server.zone_name.clone());
        let placement = Placement::of(&self.deployment, &zone_name, &endpoint.kind);
        let entry = ServerEntry {
            id,
            zone: placement.zone,
            cell: endpoint.group,
            kind: placement.kind,
            weight: endpoint.weight,
            started,
            condition,
            sharing_nodes: 0,
        };
        let listed = ListedEndpoint {
            name: endpoint.name.as_str().into(),
            zone_name,
            kind_name: endpoint.kind.as_str().into(),
            since_ms: endpoint.since_ms,
            address,
            protocol: self.endpoints.protocol_of(&self.deployment, placement.kind),
            entry: entry.clone(),
            last_response_at: current.map_or(0, |server| server.last_response_at),
        };
        let previous = self.endpoints.servers.insert(id, listed);
        let has_moved = previous.is_some_and(|previous| previous.address != address);
        if condition != Condition::Ready || has_moved {
            self.close_idle_connections(id);
        }
        Some(entry)
    }

    fn parse_condition(&self, status: &str) -> Condition {
        match status {
            "active" => Condition::Ready,
            _ if self.faults.injects(Mutant::ForgetDrain) => Condition::Ready,
            "left" => Condition::Gone,
            _ => Condition::Draining,
        }
    }

    fn read_first_list(&self, list: &EndpointList) -> FirstList {
        let starts = list.endpoints.iter().map(|endpoint| endpoint.since_ms).filter(|since| *since != 0);
        let starts: Vec<_> = starts.map(|since| since.saturating_mul(MICROS_PER_MS)).collect();
        let warm_up = self.deployment.settings.slow_start_duration;
        FirstList::new(self.now, warm_up, list.endpoints.len(), &starts)
    }

    /// Start time of a server's process by the clock of this process; 0: long ago. Further list entries of
    /// the same server process do not change it.
    fn start_time(
        &self,
        current: Option<&ListedEndpoint>,
        since_ms: u64,
        first_list: Option<FirstList>,
    ) -> Micros {
        if since_ms == 0 {
            return 0;
        }
        let start = since_ms.saturating_mul(MICROS_PER_MS);
        match (current, first_list) {
            (Some(current), _) if current.since_ms == since_ms => current.entry.started,
            (_, Some(first_list)) => first_list.start(self.now, start),
            (_, None) => start_times::of_new_process(self.now, start),
        }
    }

    fn remove_unlisted(&mut self, entries: &[ServerEntry]) {
        let listed: HashSet<_> = entries.iter().map(|entry| entry.id).collect();
        let unlisted = self.endpoints.servers.keys().filter(|id| !listed.contains(id));
        let mut unlisted: Vec<_> = unlisted.copied().collect();
        unlisted.sort_unstable();
        for id in unlisted {
            self.remove_server(id);
        }
    }

    fn remove_server(&mut self, id: ServerId) {
        self.endpoints.servers.remove(&id);
        self.connections.pool.forget_server(id);
        self.close_idle_connections(id);
    }

    /// Passes a list or a delta to the policy: with a subset the subset's entries, otherwise the given ones.
    fn notify_servers(&mut self, kind: ListUpdate, entries: Vec<ServerEntry>) {
        let servers = self.update_subset(kind).unwrap_or(entries);
        self.notify_policy(Event::ServerList { kind, servers });
    }

    /// Reselects the subset. Returns the entries for the policy, or `None` without a subset.
    fn update_subset(&mut self, kind: ListUpdate) -> Option<Vec<ServerEntry>> {
        let mut subset = self.endpoints.subset.take()?;
        let listed = self.endpoints.servers.iter().map(|(id, server)| ListedServer {
            entry: &server.entry,
            zone: &server.zone_name,
            is_cache: server.protocol == Protocol::Cache,
            excluded: self.endpoints.excluded.contains_key(id),
        });
        let listed: Vec<_> = listed.collect();
        let weight_before = subset.cache_weight();
        let update = subset.update(self.now, kind, &listed, &self.settings_without_subset());
        let weight_changed = subset.cache_weight() != weight_before;
        if let Some(at) = subset.poll_refresh_timer(self.now) {
            self.timers.push(at, TimerKind::SubsetRefresh);
        }
        self.endpoints.subset = Some(subset);
        if weight_changed {
            self.notify_settings(self.unchanged_tenants());
        }
        if let Some(line) = update.log_line {
            self.log(line);
        }
        // Requests in flight at the removed servers continue.
        for id in update.removed {
            self.close_idle_connections(id);
        }
        Some(update.entries)
    }

    /// Reselects the subset after a change of something other than the list.
    pub(super) fn refresh_subset(&mut self) {
        let entries = self.update_subset(ListUpdate::Delta);
        if let Some(servers) = entries.filter(|entries| !entries.is_empty()) {
            self.notify_policy(Event::ServerList { kind: ListUpdate::Delta, servers });
        }
    }

    /// Reassigns the indexes of zones and machine types after the settings have changed.
    pub(super) fn reindex_servers(&mut self) {
        let mut ids: Vec<_> = self.endpoints.servers.keys().copied().collect();
        ids.sort_unstable();
        let mut entries = Vec::with_capacity(ids.len());
        for id in ids {
            let Some(server) = self.endpoints.servers.get(&id) else { continue };
            let placement = Placement::of(&self.deployment, &server.zone_name, &server.kind_name);
            let protocol = self.endpoints.protocol_of(&self.deployment, placement.kind);
            let Some(server) = self.endpoints.servers.get_mut(&id) else { continue };
            server.entry.zone = placement.zone;
            server.entry.kind = placement.kind;
            server.protocol = protocol;
            entries.push(server.entry.clone());
        }
        self.notify_servers(ListUpdate::Delta, entries);
    }

    /// Returns whether a cache server of this name is listed, or a server of this name is excluded.
    pub fn has_cache_server(&self, name: &str) -> bool {
        let id = server_id(name);
        let listed = self.endpoints.servers.get(&id);
        listed.is_some_and(|server| server.protocol == Protocol::Cache)
            || self.endpoints.excluded.contains_key(&id)
    }

    /// Excludes or reinstates a cache server, as an operator requested.
    pub(super) fn set_excluded(&mut self, name: String, excluded: bool) {
        let server = server_id(&name);
        if excluded {
            self.endpoints.excluded.insert(server, name);
        } else {
            self.endpoints.excluded.remove(&server);
        }
        self.notify_policy(Event::Exclude { server, excluded });
        if let Some(subset) = self.endpoints.subset.as_mut().filter(|_| !excluded) {
            subset.on_reinstated(server, self.now);
        }
        self.refresh_subset();
        self.withdraw_attempts_at_unavailable_servers();
    }

    /// Returns the names of the cache servers that operators have excluded, in no particular order.
    pub fn excluded(&self) -> Vec<String> {
        self.endpoints.excluded.values().cloned().collect()
    }
}
