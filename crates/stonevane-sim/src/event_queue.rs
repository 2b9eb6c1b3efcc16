//! The event queue: events ordered by their time; events of the same time in the order in which they were
//! scheduled.

use std::collections::BTreeMap;

/// A queue of events, and the simulated clock in microseconds.
pub struct EventQueue<E> {
    now: u64,
    scheduled: u64,
    events: BTreeMap<(u64, u64), E>,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue with the clock at 0.
    pub fn new() -> EventQueue<E> {
        EventQueue { now: 0, scheduled: 0, events: BTreeMap::new() }
    }

    /// Returns the simulated time, microseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Schedules an event. An event before the current time comes next, and sets the clock back to its time.
    pub fn schedule(&mut self, at: u64, event: E) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    /// Removes the next event at or before `end` and moves the clock to it; `None` if there is none.
    pub fn next_until(&mut self, end: u64) -> Option<E> {
        let entry = self.events.first_entry().filter(|entry| entry.key().0 <= end)?;
        self.now = entry.key().0;
        Some(entry.remove())
    }

    /// Moves the clock to `now`; events before it stay queued.
    pub fn advance_to(&mut self, now: u64) {
        self.now = now;
    }
}
