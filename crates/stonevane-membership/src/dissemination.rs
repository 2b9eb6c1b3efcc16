//! The dissemination queue: membership updates waiting to be piggybacked on datagrams. Each update is transmitted a
//! bounded number of times, those transmitted least going first.

use std::collections::BTreeSet;

use crate::record::MemberId;

/// Members whose latest record is still to be disseminated.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    /// How often each update was transmitted, and the member that it is about.
    queue: BTreeSet<(u32, MemberId)>,
    /// How often the update about each member was transmitted; `None`: no update is queued.
    transmitted: Vec<Option<u32>>,
}

impl UpdateQueue {
    /// An empty queue for a fleet of `members`.
    pub fn new(members: MemberId) -> UpdateQueue {
        UpdateQueue { queue: BTreeSet::new(), transmitted: vec![None; usize::from(members)] }
    }

    /// Grows to a fleet of `members`; a smaller number changes nothing.
    pub fn grow(&mut self, members: MemberId) {
        let members = usize::from(members).max(self.transmitted.len());
        self.transmitted.resize(members, None);
    }

    /// Queues an update about a member, in the place of an older one.
    pub fn push(&mut self, member: MemberId) {
        self.remove(member);
        self.insert(member, 0);
    }

    /// Whether no update is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// How many updates are queued.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// The updates for one datagram, at most `capacity`, counted as transmitted. An update leaves the queue once it was
    /// transmitted `limit` times.
    pub fn take(&mut self, capacity: usize, limit: u32) -> Vec<MemberId> {
        let next: Vec<(u32, MemberId)> = self.queue.iter().take(capacity).copied().collect();
        for (transmitted, member) in &next {
            self.remove(*member);
            if transmitted + 1 < limit {
                self.insert(*member, transmitted + 1);
            }
        }
        next.into_iter().map(|(_, member)| member).collect()
    }

    fn insert(&mut self, member: MemberId, transmitted: u32) {
        self.queue.insert((transmitted, member));
        self.transmitted[usize::from(member)] = Some(transmitted);
    }

    fn remove(&mut self, member: MemberId) {
        if let Some(transmitted) = self.transmitted[usize::from(member)].take() {
            self.queue.remove(&(transmitted, member));
        }
    }
}
