//! Changes that discovery has registered, and the notifications that each node has received.

use std::collections::{HashMap, VecDeque};

use super::evidence::NumberedRecord;

/// Maximum number of announcements of a server as active that are kept.
const MAX_ACTIVE_ANNOUNCEMENTS: usize = 8;

/// Announcements of a server.
#[derive(Default)]
struct Announcements {
    /// First announcement, since the server was last active, that it drains or is gone.
    down: Option<NumberedRecord>,
    start: Option<AnnouncedStart>,
    /// Earliest possible moments of its announcements as active, the newest last.
    active_at: VecDeque<u64>,
}

/// The newest announced start of a server.
#[derive(Clone, Copy)]
struct AnnouncedStart {
    started_at: u64,
    /// Latest possible moment of the announcement, in microseconds.
    announced_at: u64,
}

impl Announcements {
    fn add(&mut self, record: NumberedRecord) {
        if record.status != "active" {
            self.down.get_or_insert(record);
            return;
        }
        self.down = None;
        self.active_at.push_back(record.time.earliest);
        if self.active_at.len() > MAX_ACTIVE_ANNOUNCEMENTS {
            self.active_at.pop_front();
        }
        if self.start.is_none_or(|start| start.started_at < record.started_at) {
            self.start =
                Some(AnnouncedStart { started_at: record.started_at, announced_at: record.time.latest });
        }
    }
}

/// Announcements in discovery itself, and those that each node was notified of.
#[derive(Default)]
pub(super) struct DiscoveryState {
    /// Changes that discovery has registered, by server.
    updates: HashMap<String, Announcements>,
    /// Notifications by node and server.
    notifications: HashMap<(String, String), Announcements>,
}

impl DiscoveryState {
    /// Adds a change that discovery has registered.
    pub fn updated(&mut self, record: NumberedRecord) {
        self.updates.entry(record.server_name().into()).or_default().add(record);
    }

    /// Adds a notification of a node.
    pub fn notified(&mut self, record: NumberedRecord) {
        let key = (record.node.clone(), record.server_name().to_owned());
        self.notifications.entry(key).or_default().add(record);
    }

    /// Removes the notifications of a node whose process has ended, since they are lost with it.
    pub fn forget_node(&mut self, node: &str) {
        self.notifications.retain(|(name, _), _| name != node);
    }

    fn known_to(&self, node: &str, server: &str) -> Option<&Announcements> {
        self.notifications.get(&(node.to_owned(), server.to_owned()))
    }

    /// Returns whether a node was notified, by a moment, of this start of a server or a later one.
    pub fn start_known_to(&self, node: &str, server: &str, started_at: u64, by: u64) -> bool {
        let start = self.known_to(node, server).and_then(|known| known.start);
        start.is_some_and(|start| start.started_at >= started_at && start.announced_at <= by)
    }

    /// Returns the notification of a node that a server drains or is gone.
    pub fn drain_known_to(&self, node: &str, server: &str) -> Option<NumberedRecord> {
        self.known_to(node, server)?.down.clone()
    }

    /// Returns discovery's own record that a server drains or is gone.
    pub fn drain_of(&self, server: &str) -> Option<NumberedRecord> {
        self.updates.get(server)?.down.clone()
    }

    /// Returns whether a node may have been notified within a period that a server is active.
    pub fn may_be_notified_active(&self, node: &str, server: &str, from: u64, until: u64) -> bool {
        self.known_to(node, server).is_some_and(|known| active_within(known, from, until))
    }

    /// Returns whether discovery may have registered within a period that a server is active.
    pub fn may_be_active(&self, server: &str, from: u64, until: u64) -> bool {
        self.updates.get(server).is_some_and(|known| active_within(known, from, until))
    }
}

fn active_within(known: &Announcements, from: u64, until: u64) -> bool {
    known.active_at.iter().any(|active_at| (from..=until).contains(active_at))
}
