//! The event queue: events in the order of their moments, those of one moment in the order in which they were scheduled.

use std::collections::BTreeMap;

/// A queue of events, and the simulated clock.
pub struct EventQueue<E> {
    now: u64,
    scheduled: u64,
    events: BTreeMap<(u64, u64), E>,
}

impl<E> EventQueue<E> {
    /// An empty queue at the moment 0.
    pub fn new() -> EventQueue<E> {
        EventQueue { now: 0, scheduled: 0, events: BTreeMap::new() }
    }

    /// The simulated time, microseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Schedules an event. One for a moment that has passed comes next, and sets the clock back.
    pub fn schedule(&mut self, at: u64, event: E) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    /// Moves the clock to the next event, where there is one up to a moment.
    pub fn next_until(&mut self, end: u64) -> Option<E> {
        let entry = self.events.first_entry().filter(|entry| entry.key().0 <= end)?;
        self.now = entry.key().0;
        Some(entry.remove())
    }

    /// Moves the clock past events that are left out.
    pub fn advance_to(&mut self, now: u64) {
        self.now = now;
    }
}
