//! What discovery has announced, and which node was notified of it when.

use std::collections::{HashMap, VecDeque};

use super::evidence::NumberedRecord;

/// Announcements that a server is active which are remembered, at most.
const MAX_ACTIVE_ANNOUNCEMENTS: usize = 8;

/// What was announced of a server.
#[derive(Default)]
struct Announcements {
    /// That it drains or is gone: the first time since it was last active.
    down: Option<NumberedRecord>,
    start: Option<AnnouncedStart>,
    /// When it was announced as active, at the earliest, the newest last.
    active_at: VecDeque<u64>,
}

/// A server's newest start.
#[derive(Clone, Copy)]
struct AnnouncedStart {
    started_at: u64,
    /// When it was certainly known.
    known_at: u64,
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
            self.start = Some(AnnouncedStart { started_at: record.started_at, known_at: record.time.latest });
        }
    }
}

/// What discovery knows, and what each node was notified of.
#[derive(Default)]
pub(super) struct DiscoveryState {
    updates: HashMap<String, Announcements>,
    /// By node and server.
    notifications: HashMap<(String, String), Announcements>,
}

impl DiscoveryState {
    /// Discovery knows of a change.
    pub fn updated(&mut self, record: NumberedRecord) {
        self.updates.entry(record.server_name().into()).or_default().add(record);
    }

    /// A node was notified of a change.
    pub fn notified(&mut self, record: NumberedRecord) {
        let key = (record.node.clone(), record.server_name().to_owned());
        self.notifications.entry(key).or_default().add(record);
    }

    /// A node's process ended: what it was notified of is lost with it.
    pub fn forget_node(&mut self, node: &str) {
        self.notifications.retain(|(name, _), _| name != node);
    }

    fn known_to(&self, node: &str, server: &str) -> Option<&Announcements> {
        self.notifications.get(&(node.to_owned(), server.to_owned()))
    }

    /// Whether a node was notified by a time of a start, or of a later one.
    pub fn start_known_to(&self, node: &str, server: &str, started_at: u64, by: u64) -> bool {
        let start = self.known_to(node, server).and_then(|known| known.start);
        start.is_some_and(|start| start.started_at >= started_at && start.known_at <= by)
    }

    /// The notification by which a node knows that a server drains or is gone.
    pub fn drain_known_to(&self, node: &str, server: &str) -> Option<NumberedRecord> {
        self.known_to(node, server)?.down.clone()
    }

    /// Discovery's own knowledge that a server drains or is gone.
    pub fn drain_of(&self, server: &str) -> Option<NumberedRecord> {
        self.updates.get(server)?.down.clone()
    }

    /// Whether a node may have been notified within some time that a server is active.
    pub fn may_be_notified_active(&self, node: &str, server: &str, from: u64, until: u64) -> bool {
        self.known_to(node, server).is_some_and(|known| active_within(known, from, until))
    }

    /// Whether discovery may have known within some time that a server is active.
    pub fn may_be_active(&self, server: &str, from: u64, until: u64) -> bool {
        self.updates.get(server).is_some_and(|known| active_within(known, from, until))
    }
}

fn active_within(known: &Announcements, from: u64, until: u64) -> bool {
    known.active_at.iter().any(|active_at| (from..=until).contains(active_at))
}
