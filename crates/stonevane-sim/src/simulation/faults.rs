//! Applies the plan's faults at their start and end.

use stonevane_audit::{Event as RecordedEvent, HistoryRecord};
use stonevane_core::Input;

use super::Simulation;
use super::event::{DiscoveryCall, Event};
use super::recorder::record;
use crate::plan::FaultKind;

/// Delay between a server's change and its registration in discovery, microseconds.
const DISCOVERY_LAG_US: u64 = 1_000_000;

/// Adds 1 to a count of faults in force if a fault begins, and subtracts 1 if it ends.
fn count(faults: &mut u32, begins: bool) {
    *faults = faults.saturating_add_signed(if begins { 1 } else { -1 });
}

impl Simulation<'_> {
    /// Applies the start or the end of a fault.
    pub(super) fn apply_fault(&mut self, number: usize, begins: bool) {
        let fault = self.plan.faults[number];
        // Histories and the operators' documentation name a fault by its `Debug` form.
        let state = format!("{:?} {}", fault.kind, if begins { "begins" } else { "ends" });
        self.record(HistoryRecord { state, ..record("lab", RecordedEvent::Fault) });
        match fault.kind {
            FaultKind::KillCache { cache } | FaultKind::ReplaceCache { cache } => {
                self.kill_cache(cache, begins);
            }
            FaultKind::SilentCache { cache } => {
                self.servers[cache].is_silent = begins;
                self.drop_unread(cache, begins);
            }
            FaultKind::VanishCache { cache } => {
                self.servers[cache].is_unreachable = begins;
                self.drop_unread(cache, begins);
            }
            FaultKind::DrainCache { cache } => self.drain_cache(cache, begins),
            FaultKind::TearCache { cache, every } => {
                self.servers[cache].truncate_every = begins.then_some(every);
            }
            FaultKind::NoisyCache { cache } => self.servers[cache].sends_extra_bytes = begins,
            FaultKind::GarbleCache { cache } => self.servers[cache].corrupts_answers = begins,
            FaultKind::KillNode { node } => self.kill_node(node, begins),
            FaultKind::TermNode { node } => self.terminate_node(node, begins),
            FaultKind::PauseNode { node } => self.pause_node(node, begins),
            FaultKind::StallOrigin => {
                let until = self.now() + fault.duration_us;
                if begins && let Some(origin) = self.servers.last_mut() {
                    origin.stall(until);
                }
            }
            FaultKind::TearOrigin { every } => {
                if let Some(origin) = self.servers.last_mut() {
                    origin.truncate_every = begins.then_some(every);
                }
            }
            FaultKind::NoDiscovery => self.discovery_outage(begins),
            FaultKind::OldNews => self.discovery.sends_stale_events = begins,
            FaultKind::Impatient => count(&mut self.impatience_faults, begins),
            FaultKind::Crowd { .. } => {
                count(&mut self.crowd_faults, begins);
                self.apply_crowd(begins, Event::CrowdArrival { fault: number });
            }
            FaultKind::LongCommands { .. } => {
                count(&mut self.long_command_faults, begins);
                self.apply_crowd(begins, Event::LongCommandArrival { fault: number });
            }
            FaultKind::EndlessCache { cache } => self.send_endless_answers(cache, begins),
            FaultKind::HoldUpNode { node } => self.nodes[node].is_held_up_in_turns = begins,
            FaultKind::EndlessOrigin => self.send_endless_answers(self.servers.len() - 1, begins),
        }
    }

    /// Handles the first arrival of misbehaving clients, or disconnects them.
    fn apply_crowd(&mut self, begins: bool, first_arrival: Event) {
        if begins {
            self.handle_event(first_arrival);
        } else {
            self.disconnect_crowd();
        }
    }

    fn send_endless_answers(&mut self, server: usize, begins: bool) {
        self.servers[server].sends_endless_answers = begins;
        self.drop_unread(server, begins);
    }

    /// Kills a cache when the fault begins, and restarts it cold when the fault ends.
    fn kill_cache(&mut self, cache: usize, begins: bool) {
        let server = self.servers[cache].name.clone();
        let is_up = self.servers[cache].is_up;
        if begins && is_up {
            self.record(record(&server, RecordedEvent::Down));
            self.servers[cache].is_up = false;
            self.close_connections(cache);
            let update = Event::DiscoveryUpdate { server, status: "left", started_at: None };
            self.schedule_in(DISCOVERY_LAG_US, update);
        } else if !begins && !is_up {
            let now = self.now();
            self.servers[cache].restart(now);
            self.record_server_start(cache);
            let update = Event::DiscoveryUpdate { server, status: "active", started_at: Some(now) };
            self.schedule_in(DISCOVERY_LAG_US, update);
        }
    }

    /// Closes a server's connections when a fault ends during which the server read nothing or ended no answer.
    /// Unread requests are lost.
    fn drop_unread(&mut self, server: usize, begins: bool) {
        if !begins {
            self.close_connections(server);
        }
    }

    fn drain_cache(&mut self, cache: usize, begins: bool) {
        let server = self.servers[cache].name.clone();
        let status = if begins { "leaving" } else { "active" };
        let update = Event::DiscoveryUpdate { server, status, started_at: None };
        self.schedule_in(DISCOVERY_LAG_US, update);
    }

    fn kill_node(&mut self, node: usize, begins: bool) {
        match (begins, self.nodes[node].core.is_some()) {
            (true, true) => self.stop_node(node, "killed"),
            (false, false) => self.start_node(node),
            _ => {}
        }
    }

    /// Sends a node SIGTERM when the fault begins. The node restarts after it has exited, regardless of the
    /// fault's end.
    fn terminate_node(&mut self, node: usize, begins: bool) {
        if begins && self.nodes[node].core.is_some() && !self.nodes[node].is_paused {
            self.record_node_state(node, "term");
            self.nodes[node].is_terminating = true;
            self.feed(node, Input::Terminate);
        }
    }

    /// Starts or ends an outage of discovery. Calls fail during it, and open watches break at its start.
    fn discovery_outage(&mut self, begins: bool) {
        count(&mut self.discovery_faults, begins);
        self.discovery.is_down = self.discovery_faults > 0;
        if !begins {
            return;
        }
        for node in 0..self.nodes.len() {
            let Some(watch) = self.nodes[node].watch.take() else { continue };
            let delay = self.draw_delay();
            let incarnation = self.nodes[node].incarnation;
            let call = DiscoveryCall { node, incarnation, epoch: watch.epoch };
            self.schedule_in(delay, Event::DiscoveryAnswer(call, None));
        }
    }
}
