//! Settings that change at run time.
//!
//! Clients may use the previous settings until the transition ends. Until then a changed class has the
//! stricter of its previous and its new rules, and a removed class keeps its rules.

use stonevane_policy::settings::Deployment;
use stonevane_policy::{Event, Micros, Settings};

use super::Core;
use crate::discovery_timeouts::DiscoveryTimeouts;
use crate::faults::Faults;
use crate::io::DiscoveryRequest;
use crate::subset::EndpointSubset;
use crate::timers::TimerKind;

/// Time for which clients may use the previous settings: 1.2 s (protocol) plus the slack of all time limits
/// on sockets.
const TRANSITION_DURATION: Micros = 1_250_000;

/// New settings that apply fully once the transition has ended.
struct PendingReload {
    complete_at: Micros,
    deployment: Box<Deployment>,
}

/// Changes to the settings at run time: a reload in transition, and the number of nodes.
#[derive(Default)]
pub(super) struct Reload {
    pending: Option<PendingReload>,
    /// Number of nodes that share the deployment's limits, according to gossip. The number in the settings
    /// applies if it is larger.
    node_count: u32,
}

impl<F: Faults> Core<F> {
    /// Applies new settings, combined with the previous ones until the transition ends. Settings that would
    /// exceed the number of request classes that can be counted are rejected.
    pub(super) fn begin_reload(&mut self, deployment: Box<Deployment>) {
        if self.reporter.metrics.register_classes(&deployment.classes).is_none() {
            self.log("reload: rejected, too many request classes since the process started".into());
            self.reporter.metrics.reloads_failed += 1;
            return;
        }
        self.reporter.metrics.reloads_ok += 1;
        let transitional = self.transitional_deployment(&deployment);
        let complete_at = self.now + TRANSITION_DURATION;
        self.reload.pending = Some(PendingReload { complete_at, deployment });
        self.timers.push(complete_at, TimerKind::ReloadComplete);
        self.apply_deployment(transitional);
    }

    /// Combines the new settings with the current ones.
    fn transitional_deployment(&self, new: &Deployment) -> Deployment {
        let mut transitional = new.clone();
        let settings = &self.deployment.settings;
        for (name, class) in self.deployment.classes.iter().zip(&settings.classes) {
            if let Some(position) = transitional.classes.iter().position(|other| other == name) {
                let combined = &mut transitional.settings.classes[position];
                *combined = combined.stricter(class);
                continue;
            }
            // A class that the pending settings already removed is not kept for another transition.
            let pending = self.reload.pending.as_ref();
            if pending.is_some_and(|pending| !pending.deployment.classes.contains(name)) {
                continue;
            }
            transitional.classes.push(name.clone());
            transitional.settings.classes.push(*class);
        }
        let max_attempts = new.settings.max_attempts.min(settings.max_attempts);
        transitional.settings.max_attempts = max_attempts;
        transitional
    }

    /// Completes the transition, unless newer settings have started another.
    pub(super) fn on_reload_complete(&mut self) {
        let now = self.now;
        if let Some(reload) = self.reload.pending.take_if(|pending| pending.complete_at <= now) {
            self.apply_deployment(*reload.deployment);
        }
    }

    fn apply_deployment(&mut self, mut deployment: Deployment) {
        let previous = &self.deployment;
        // These settings belong to the platform's build and only change with a new process.
        deployment.settings.poll_discovery = previous.settings.poll_discovery;
        deployment.settings.coalesce_fetches = previous.settings.coalesce_fetches;
        deployment.settings.startup_attempts_per_server = previous.settings.startup_attempts_per_server;
        let position = |name: &String| previous.tenants.iter().position(|other| other == name);
        let previous_positions = deployment.tenants.iter().map(position).collect();
        let indexes_changed = previous.zones != deployment.zones
            || previous.machine_types != deployment.machine_types
            || previous.settings.origin_kind != deployment.settings.origin_kind;
        let objectives = deployment.settings.classes.iter().map(|class| class.latency_objective);
        self.connections.set_stall_timeout(objectives.max().unwrap_or(0));
        self.connections.pool.set_idle_timeout(deployment.idle_timeout);
        self.reporter.set_classes(&deployment.classes);
        let timeouts_before = DiscoveryTimeouts::of(&self.deployment.settings);
        self.deployment = deployment;
        let settings = &self.deployment.settings;
        // The driver reopens the watch on pushed lists by itself, but with the timeouts of the first call.
        if !settings.poll_discovery && DiscoveryTimeouts::of(settings) != timeouts_before {
            self.call_discovery(DiscoveryRequest::WatchAgent);
        }
        self.notify_settings(previous_positions);
        if indexes_changed {
            self.reindex_servers();
        } else {
            self.refresh_subset();
        }
    }

    /// Passes the settings to the policy. `previous_positions` has the previous position of each tenant,
    /// `None` for a new one.
    pub(super) fn notify_settings(&mut self, previous_positions: Vec<Option<usize>>) {
        let settings = Box::new(self.current_settings());
        self.notify_policy(Event::Settings { settings, previous_positions });
    }

    /// The settings with the number of nodes from gossip and the weight of all cache servers, including those
    /// outside the subset.
    fn current_settings(&self) -> Settings {
        let total_cache_weight = self.endpoints.subset().map_or(0.0, EndpointSubset::cache_weight);
        Settings { total_cache_weight, ..self.settings_without_subset() }
    }

    /// The settings with the number of nodes from gossip, and with 0 as the weight of all cache servers.
    pub(super) fn settings_without_subset(&self) -> Settings {
        let mut settings = self.deployment.settings.clone();
        settings.nodes = settings.nodes.max(self.reload.node_count);
        settings.total_cache_weight = 0.0;
        settings
    }

    /// The previous position of each tenant, for [`Core::notify_settings`], if no tenant has changed.
    pub(super) fn unchanged_tenants(&self) -> Vec<Option<usize>> {
        (0..self.deployment.tenants.len()).map(Some).collect()
    }

    /// Applies a new number of nodes from gossip.
    pub(super) fn set_node_count(&mut self, node_count: u32) {
        let configured = self.deployment.settings.nodes;
        let previous = std::mem::replace(&mut self.reload.node_count, node_count);
        if previous.max(configured) != node_count.max(configured) {
            self.notify_settings(self.unchanged_tenants());
            self.refresh_subset();
        }
    }
}
