//! Endpoint list, failed calls to discovery, and exclusions by operators.

use super::Policy;
use crate::action::Action;
use crate::ids::{Micros, ServerId};
use crate::log_message::LogMessage;
use crate::server_entry::{ListUpdate, ServerEntry};
use crate::timers::Timer;

impl Policy {
    /// Applies a full list or a change of it.
    pub(super) fn on_server_list(&mut self, kind: ListUpdate, entries: Vec<ServerEntry>) {
        if kind != ListUpdate::Cached {
            self.discovery_backoff.reset();
        }
        let full_list = kind != ListUpdate::Delta;
        self.servers.apply_entries(full_list, entries, &self.settings, self.now);
    }

    /// Handles a silence of discovery that exceeded its limit. The loss of an established subscription does
    /// not indicate that discovery is overloaded, so the backoff starts again from its first step.
    pub(super) fn on_discovery_timed_out(
        &mut self,
        silent_for: Micros,
        was_established: bool,
        actions: &mut Vec<Action>,
    ) {
        if was_established {
            self.discovery_backoff.reset();
        }
        self.on_discovery_failed(silent_for, actions);
    }

    /// Schedules the next call to discovery after a backoff. `silent_for` is the time in microseconds since
    /// discovery's last message.
    pub(super) fn on_discovery_failed(&mut self, silent_for: Micros, actions: &mut Vec<Action>) {
        let staleness_limit = self.settings.list_staleness_limit;
        let delay = self.discovery_backoff.next_delay(silent_for, staleness_limit, &mut self.random);
        self.set_timer(delay, Timer::PollDiscovery);
        actions.push(LogMessage::DiscoveryFailed.into());
    }

    /// Excludes a server on behalf of an operator, or reinstates it.
    pub(super) fn on_exclude(&mut self, server: ServerId, excluded: bool, actions: &mut Vec<Action>) {
        let changed = self.servers.set_excluded(server, excluded, &self.settings, self.now);
        if changed && excluded {
            actions.push(Action::CloseIdle(server));
        }
    }
}
