//! Replay protection: each datagram of a member is accepted once, and datagrams of ended instances are
//! rejected.

use std::collections::VecDeque;

use crate::record::Instance;

/// Maximum number of ended instances that are remembered per member.
const MAX_ENDED_INSTANCES: usize = 8;
/// Number of sequence numbers that a window covers: the bits of a `u128`.
const WINDOW_SEQUENCES: u64 = 128;

/// Decision on a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Acceptance {
    /// Accepted: the datagram has the highest sequence number of the sender's instance so far.
    Newest,
    /// Accepted: a datagram with a higher sequence number arrived earlier.
    OutOfOrder,
    /// Rejected: the sequence number was accepted before, or is too low for the replay window.
    Duplicate,
    /// Rejected: the sender's instance has ended.
    EndedInstance,
}

/// Replay window over the sequence numbers of one instance.
#[derive(Debug, Clone, Copy)]
struct Window {
    nonce: u32,
    highest: u64,
    /// Bit i: sequence number `highest - i` was accepted.
    accepted: u128,
}

impl Window {
    fn new(nonce: u32) -> Window {
        Window { nonce, highest: 0, accepted: 0 }
    }

    fn accept(&mut self, sequence: u64) -> Acceptance {
        if sequence > self.highest || self.accepted == 0 {
            self.advance(sequence);
            return Acceptance::Newest;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW_SEQUENCES {
            return Acceptance::Duplicate;
        }
        let bit = 1u128 << behind;
        if self.accepted & bit != 0 {
            return Acceptance::Duplicate;
        }
        self.accepted |= bit;
        Acceptance::OutOfOrder
    }

    fn advance(&mut self, sequence: u64) {
        let by = sequence.saturating_sub(self.highest);
        let still_covered = if by < WINDOW_SEQUENCES { self.accepted << by } else { 0 };
        self.accepted = still_covered | 1;
        self.highest = sequence;
    }
}

/// Replay protection for the datagrams of one member.
#[derive(Debug, Clone, Default)]
pub(super) struct ReplayGuard {
    window: Option<Window>,
    /// Nonces of ended instances, the latest first.
    ended: VecDeque<u32>,
}

impl ReplayGuard {
    /// Decides whether a datagram of `instance` is accepted. `known` is the sender's instance in the member
    /// table: if `instance` is remembered as ended, its datagrams are accepted only if it is the known one or
    /// later.
    pub fn accept(&mut self, instance: Instance, sequence: u64, known: Option<Instance>) -> Acceptance {
        if self.has_ended(instance, known) {
            return Acceptance::EndedInstance;
        }
        self.window_of(instance.nonce).accept(sequence)
    }

    fn has_ended(&self, instance: Instance, known: Option<Instance>) -> bool {
        let not_current = known.is_none_or(|known| known.nonce != instance.nonce && instance <= known);
        self.ended.contains(&instance.nonce) && not_current
    }

    /// Returns the window of an instance; a new one if the current window belongs to another instance.
    fn window_of(&mut self, nonce: u32) -> &mut Window {
        let previous = self.window.take();
        let current = match previous {
            Some(window) if window.nonce == nonce => window,
            Some(ended) => {
                self.remember_ended(ended.nonce);
                Window::new(nonce)
            }
            None => Window::new(nonce),
        };
        self.window.insert(current)
    }

    fn remember_ended(&mut self, nonce: u32) {
        self.ended.truncate(MAX_ENDED_INSTANCES - 1);
        self.ended.push_front(nonce);
    }
}
