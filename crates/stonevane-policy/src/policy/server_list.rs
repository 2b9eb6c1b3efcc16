//! The endpoint list, discovery and operators' exclusions.

use super::Policy;
use crate::action::Action;
use crate::ids::{Micros, ServerId};
use crate::log_message::LogMessage;
use crate::server_entry::{ListUpdate, ServerEntry};
use crate::timers::Timer;

impl Policy {
    /// A list or a change of it has arrived.
    pub(super) fn on_server_list(&mut self, kind: ListUpdate, entries: Vec<ServerEntry>) {
        if kind != ListUpdate::Cached {
            self.discovery_backoff.reset();
        }
        let whole = kind != ListUpdate::Delta;
        self.servers.update(whole, entries, &self.settings, self.now);
    }

    /// Discovery has been silent for too long. A subscription that was established is no sign that discovery
    /// is overloaded: its backoff starts anew.
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

    /// A call to discovery has failed, behind a silence: it is made again after a backoff.
    pub(super) fn on_discovery_failed(&mut self, silent_for: Micros, actions: &mut Vec<Action>) {
        let staleness_limit = self.settings.list_staleness_limit;
        let delay = self.discovery_backoff.next_delay(silent_for, staleness_limit, &mut self.random);
        self.set_timer(delay, Timer::PollDiscovery);
        actions.push(LogMessage::DiscoveryFailed.into());
    }

    /// An operator excludes a server or reinstates it.
    pub(super) fn on_exclude(&mut self, server: ServerId, excluded: bool, actions: &mut Vec<Action>) {
        let changed = self.servers.set_excluded(server, excluded, &self.settings, self.now);
        if changed && excluded {
            actions.push(Action::CloseIdle(server));
        }
    }
}
