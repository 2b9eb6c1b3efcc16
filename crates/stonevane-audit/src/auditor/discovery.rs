//! Changes that discovery has registered, and the notifications that each node has received.

use std::collections::{HashMap, VecDeque};

use super::evidence::NumberedRecord;

/// Maximum number of announcements of an active server that are kept per server.
const MAX_ACTIVE_ANNOUNCEMENTS: usize = 8;

/// Announcements of a server's status, either registered by discovery or received by one node.
#[derive(Default)]
struct Announcements {
    /// First announcement that the server drains or is gone since it was last announced as active.
    down: Option<NumberedRecord>,
    start: Option<AnnouncedStart>,
    /// Earliest possible moments of the announcements that the server is active, the newest last, in
    /// microseconds.
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

/// Announcements that discovery has registered, and those that each node has received.
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

    /// Adds a notification that a node has received.
    pub fn notified(&mut self, record: NumberedRecord) {
        let key = (record.node.clone(), record.server_name().to_owned());
        self.notifications.entry(key).or_default().add(record);
    }

    /// Removes the notifications that a node has received, since they are lost when its process ends.
    pub fn forget_node(&mut self, node: &str) {
        self.notifications.retain(|(name, _), _| name != node);
    }

    fn known_to(&self, node: &str, server: &str) -> Option<&Announcements> {
        self.notifications.get(&(node.to_owned(), server.to_owned()))
    }

    /// Returns whether a node had been notified by the moment `by` that a server started at `started_at` or
    /// later.
    pub fn start_known_to(&self, node: &str, server: &str, started_at: u64, by: u64) -> bool {
        let start = self.known_to(node, server).and_then(|known| known.start);
        start.is_some_and(|start| start.started_at >= started_at && start.announced_at <= by)
    }

    /// Returns the notification to a node that a server drains or is gone; `None` if the node received none
    /// since the server was last announced to it as active.
    pub fn drain_known_to(&self, node: &str, server: &str) -> Option<NumberedRecord> {
        self.known_to(node, server)?.down.clone()
    }

    /// Returns discovery's record that a server drains or is gone; `None` if there is none since the server
    /// was last active.
    pub fn drain_of(&self, server: &str) -> Option<NumberedRecord> {
        self.updates.get(server)?.down.clone()
    }

    /// Returns whether a node may have received, between `from` and `until`, a notification that a server is
    /// active.
    pub fn may_be_notified_active(&self, node: &str, server: &str, from: u64, until: u64) -> bool {
        self.known_to(node, server).is_some_and(|known| active_within(known, from, until))
    }

    /// Returns whether discovery may have registered, between `from` and `until`, that a server is active.
    pub fn may_be_active(&self, server: &str, from: u64, until: u64) -> bool {
        self.updates.get(server).is_some_and(|known| active_within(known, from, until))
    }
}

fn active_within(known: &Announcements, from: u64, until: u64) -> bool {
    known.active_at.iter().any(|active_at| (from..=until).contains(active_at))
}
