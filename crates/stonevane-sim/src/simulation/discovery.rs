//! Handles nodes' calls to discovery, and delivers server lists and watch events.

use stonevane_audit::{Event as RecordedEvent, HistoryRecord};
use stonevane_core::{DiscoveryRequest, EndpointList, Input};

use super::event::{DiscoveryCall, Event};
use super::node::Watch;
use super::recorder::record;
use super::{EPOCH_US, Simulation, node};
use crate::discovery::{CallOutcome, Entry};

/// Delay between a new watch event and the stale one that follows it, microseconds.
const STALE_EVENT_DELAY_US: u64 = 50_000;

impl Simulation<'_> {
    /// Applies a server's change at discovery and notifies the nodes that watch.
    pub(super) fn discovery_update(&mut self, server: String, status: &'static str, started_at: Option<u64>) {
        self.discovery.change(&server, status, started_at);
        let entry = self.discovery.entries.iter().find(|entry| entry.name == server);
        let started_at = entry.map_or(0, |entry| entry.started_at);
        let status = status.into();
        let change = record("discovery", RecordedEvent::Change);
        self.record(HistoryRecord { server, status, started_at, ..change });
        for node in 0..self.nodes.len() {
            self.notify_watch(node);
        }
    }

    /// Sends a node with an open watch the entries that changed after the list version that it has.
    fn notify_watch(&mut self, node: usize) {
        let Some(watch) = self.nodes[node].watch else { return };
        if self.discovery.is_down || watch.version >= self.discovery.version {
            return;
        }
        let entries = self.discovery.changed_after(watch.version);
        let list = self.discovery.list_after(watch.version, EPOCH_US);
        let at = self.now() + self.draw_delay();
        let watcher = &mut self.nodes[node];
        watcher.watch = Some(Watch { version: list.version, ..watch });
        let at = at.max(watcher.last_watch_delivery);
        watcher.last_watch_delivery = at;
        let call = DiscoveryCall { node, incarnation: watcher.incarnation, epoch: watch.epoch };
        self.record_notified(node, &entries);
        self.schedule(at, Event::DiscoveryAnswer(call.clone(), Some(list)));
        if self.discovery.sends_stale_events {
            let stale = self.stale_list(watch.version);
            self.schedule(at + STALE_EVENT_DELAY_US, Event::DiscoveryAnswer(call, Some(stale)));
        }
    }

    /// Returns a stale server list: all entries as active, with a list version below `version`.
    fn stale_list(&self, version: u64) -> EndpointList {
        let mut list = self.discovery.list_after(0, EPOCH_US);
        list.version = version.saturating_sub(1);
        list.snapshot = false;
        for endpoint in &mut list.endpoints {
            endpoint.status = "active".into();
        }
        list
    }

    fn record_notified(&mut self, node: usize, entries: &[Entry]) {
        for entry in entries {
            self.record(HistoryRecord {
                node: node::name(node),
                server: entry.name.clone(),
                status: entry.status.into(),
                started_at: entry.started_at,
                ..record("discovery", RecordedEvent::Notified)
            });
        }
    }

    /// Queues a call that has reached discovery. The call is done at once if discovery is down or calls take
    /// no time.
    pub(super) fn discovery_call_arrived(&mut self, call: DiscoveryCall, request: DiscoveryRequest) {
        let caller = &mut self.nodes[call.node];
        if !caller.runs(call.incarnation) {
            return;
        }
        self.totals.discovery_calls += 1;
        // A node's first call takes no time, because the fleet counts as started long before the run.
        let is_first = !std::mem::replace(&mut caller.has_called_discovery, true);
        let work_us = self.plan.discovery_call_us.filter(|_| !is_first && !self.discovery.is_down);
        let Some(work_us) = work_us else { return self.discovery_call_done(call, request) };
        match self.discovery.take_call(self.queue.now(), work_us) {
            CallOutcome::Answered { at } => self.schedule(at, Event::DiscoveryCallDone(call, request)),
            CallOutcome::Failed { at } => self.schedule(at, Event::DiscoveryAnswer(call, None)),
        }
    }

    /// Answers a call that discovery has worked on.
    pub(super) fn discovery_call_done(&mut self, call: DiscoveryCall, request: DiscoveryRequest) {
        if !self.nodes[call.node].runs(call.incarnation) {
            return;
        }
        if self.discovery.is_down {
            let delay = self.draw_delay();
            return self.schedule_in(delay, Event::DiscoveryAnswer(call, None));
        }
        self.totals.discovery_answers += 1;
        if let DiscoveryRequest::Watch { after } = request {
            // Version 0 gives a complete list, for a node that has none.
            let watch = Watch { epoch: call.epoch, version: after.unwrap_or(0) };
            self.nodes[call.node].watch = Some(watch);
            return self.notify_watch(call.node);
        }
        let entries = self.discovery.changed_after(0);
        let list = self.discovery.list_after(0, EPOCH_US);
        self.record_notified(call.node, &entries);
        let delay = self.draw_delay();
        self.schedule_in(delay, Event::DiscoveryAnswer(call, Some(list)));
    }

    /// Delivers a list or a watch event to a node, or the failure of its call.
    pub(super) fn discovery_answer(&mut self, call: DiscoveryCall, list: Option<EndpointList>) {
        let node = &mut self.nodes[call.node];
        if !node.runs(call.incarnation) {
            return;
        }
        if node.is_stopped() {
            return node.deferred.push(Event::DiscoveryAnswer(call, list));
        }
        let input = match list {
            Some(list) => Input::List(call.epoch, list),
            None => Input::ListFailed(call.epoch),
        };
        self.feed(call.node, input);
    }
}
