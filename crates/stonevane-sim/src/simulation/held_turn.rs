//! Turns in which a node is held up: it has learnt which connections have input, then time passes, and only then
//! does it handle that input. What arrives meanwhile is unknown to it, unless it looks at a socket itself.

use super::Simulation;
use super::event::Event;
use crate::stream::{Peer, StreamId};

/// Shortest and longest hold-up, microseconds: longer than the rest of a server connection and shorter than a
/// process pause.
const HOLD_UP_US: (u64, u64) = (15_000, 19_000);
/// Time between two hold-ups of a node, microseconds.
const BETWEEN_HOLD_UPS_US: u64 = 300_000;

/// A turn in which a node is held up.
#[derive(Debug, Clone, Copy)]
pub struct HeldTurn {
    /// The client's stream whose input the node handles in the turn.
    stream: StreamId,
    /// Time on the node's clock at which it learnt which connections have input.
    polled_at: u64,
    /// Whether the node goes on with the turn.
    is_continued: bool,
}

impl Simulation<'_> {
    /// Decides whether the turn in which a node handles a client's input is held up. If so, the turn continues
    /// later.
    pub(super) fn is_held_up(&mut self, node: usize, stream: StreamId) -> bool {
        let now = self.now();
        let is_client = self.streams.get(&stream).is_some_and(|stream| stream.peer == Peer::Client);
        let held = &mut self.nodes[node];
        let is_copy_on_its_way = held.is_held_up_in_turns && now < held.copies_arrive_until;
        if !is_client || !is_copy_on_its_way || now < held.no_hold_up_until {
            return false;
        }
        held.no_hold_up_until = now + BETWEEN_HOLD_UPS_US;
        held.held_turn = Some(HeldTurn { stream, polled_at: held.clock(now), is_continued: false });
        let incarnation = held.incarnation;
        let (shortest, longest) = HOLD_UP_US;
        let hold_up = self.rng.rand_range(shortest..longest);
        self.schedule_in(hold_up, Event::TurnContinues { node, incarnation });
        true
    }

    /// Goes on with a turn that was held up, then handles what has happened meanwhile.
    pub(super) fn continue_turn(&mut self, node: usize, incarnation: u64) {
        if !self.nodes[node].runs(incarnation) {
            return;
        }
        // A pause of the process has ended the turn.
        let Some(turn) = &mut self.nodes[node].held_turn else { return };
        turn.is_continued = true;
        let stream = turn.stream;
        let mut outputs = stonevane_core::Outputs::new();
        self.read(node, stream, &mut outputs);
        self.perform(node, outputs);
        self.nodes[node].held_turn = None;
        if self.nodes[node].runs(incarnation) {
            self.resume_node(node);
        }
    }

    /// Time on a node's clock at which it last learnt which connections have input.
    pub(super) fn polled_at(&self, node: usize) -> u64 {
        let held = &self.nodes[node];
        held.held_turn.map_or_else(|| held.clock(self.now()), |turn| turn.polled_at)
    }

    /// Whether a node goes on with a turn that was held up, so that it does not know what arrived meanwhile.
    pub(super) fn goes_by_last_poll(&self, node: usize) -> bool {
        self.nodes[node].held_turn.is_some_and(|turn| turn.is_continued)
    }
}
