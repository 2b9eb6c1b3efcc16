//! Dissemination queue: membership updates waiting to be piggybacked on datagrams. Each update is transmitted
//! a bounded number of times; the least transmitted updates go first.

use std::collections::BTreeSet;

use crate::record::MemberId;

/// Queue of the members whose latest records are still to be disseminated.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    /// Transmissions so far and member of each queued update, in the order of transmission.
    queue: BTreeSet<(u32, MemberId)>,
    /// Transmissions so far of the update about each member; `None` if no update is queued.
    transmitted: Vec<Option<u32>>,
}

impl UpdateQueue {
    /// Creates an empty queue for a fleet of `members` members.
    pub fn new(members: MemberId) -> UpdateQueue {
        UpdateQueue { queue: BTreeSet::new(), transmitted: vec![None; usize::from(members)] }
    }

    /// Grows the queue to a fleet of `members` members; a smaller number changes nothing.
    pub fn grow(&mut self, members: MemberId) {
        let members = usize::from(members).max(self.transmitted.len());
        self.transmitted.resize(members, None);
    }

    /// Queues an update about a member in place of an older one, with no transmissions counted yet.
    pub fn push(&mut self, member: MemberId) {
        self.remove(member);
        self.insert(member, 0);
    }

    /// Returns whether no update is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the number of queued updates.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the members whose updates go into one datagram, at most `capacity`, and counts these updates
    /// as transmitted. An update leaves the queue after `limit` transmissions.
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
