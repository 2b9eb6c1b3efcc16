//! Server faults, draining servers and their successors.

use std::time::Duration;

use stonevane_emulators::{Fault, lock};

use super::Fleet;
use crate::active_faults::ActiveFaults;

/// Time for which a draining server still serves after discovery announces the drain: nodes may send requests
/// to the server during their grace period.
const DRAIN_GRACE: Duration = Duration::from_millis(700);

impl Fleet {
    /// Injects a server fault and returns the fault's number. Discovery reports a dead process after the
    /// discovery delay.
    pub(super) fn begin_fault(&self, server: &str, node: Option<&str>, fault: Fault) -> u64 {
        let mut faults = lock(&self.faults);
        let was_alive = !faults.is_dead(server);
        let number = faults.begin(server, node, fault);
        if was_alive && faults.is_dead(server) {
            self.set_server_fault(server, None, Fault::Dead);
            self.discovery.change(server, "left", None, self.discovery_delay());
        }
        self.apply_faults(server, &faults);
        number
    }

    /// Removes a server fault. A process that restarts is in slow start.
    pub(super) fn end_fault(&self, server: &str, number: u64) {
        let mut faults = lock(&self.faults);
        let was_dead = faults.is_dead(server);
        faults.end(number);
        if was_dead && !faults.is_dead(server) {
            let started_at = self.cache(server).map(|cache| cache.restart());
            self.discovery.change(server, "active", started_at, self.discovery_delay());
        }
        self.apply_faults(server, &faults);
    }

    /// Keeps a successor down until [`Fleet::start_successor`].
    pub(super) fn put_on_standby(&self, name: &str) {
        let mut faults = lock(&self.faults);
        let number = faults.begin(name, None, Fault::Dead);
        self.apply_faults(name, &faults);
        lock(&self.standby).insert(name.to_owned(), number);
    }

    /// Starts a successor. Returns `false` if it has already started.
    pub(super) fn start_successor(&self, name: &str) -> bool {
        let Some(number) = lock(&self.standby).remove(name) else { return false };
        self.end_fault(name, number);
        true
    }

    /// Applies the faults in force to a server's listeners, one for each node.
    fn apply_faults(&self, server: &str, faults: &ActiveFaults) {
        for (node, _) in &self.targets {
            self.set_server_fault(server, Some(node), faults.seen_by(server, node));
        }
    }

    fn set_server_fault(&self, server: &str, node: Option<&str>, fault: Fault) {
        match self.cache(server) {
            Some(cache) => cache.set_fault(node, fault),
            None => self.origin.set_fault(node, fault),
        }
    }

    /// Drains a cache server, which is dead after `duration`.
    pub(super) async fn drain(&self, name: &str, duration: Duration) {
        self.discovery.change(name, "leaving", None, self.discovery_delay());
        let grace = (self.discovery_delay() + DRAIN_GRACE).min(duration);
        tokio::time::sleep(grace).await;
        if let Some(cache) = self.cache(name) {
            cache.set_draining(true);
        }
        tokio::time::sleep(duration.saturating_sub(grace)).await;
        self.begin_fault(name, None, Fault::Dead);
    }
}
