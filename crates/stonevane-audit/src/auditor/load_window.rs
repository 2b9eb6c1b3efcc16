//! Sums of the work that a server received within a sliding window.

use std::collections::VecDeque;

use super::evidence::NumberedRecord;

/// Arrival of an attempt at a server.
pub(super) struct Arrival {
    pub record: NumberedRecord,
    /// Whether the attempt's work counts towards the share that attributes an overload to nodes.
    pub attributable: bool,
}

/// Sums of work over a window that ends with the newest arrival, in microseconds.
#[derive(Clone, Copy)]
pub(super) struct WindowLoad {
    /// Earliest possible moment of the first arrival in the window.
    pub from: u64,
    pub work_us: u64,
    pub attributable_us: u64,
}

/// Arrivals within the window, in the order of their earliest possible moments.
#[derive(Default)]
pub(super) struct LoadWindow {
    arrivals: VecDeque<Arrival>,
}

impl LoadWindow {
    /// Adds an arrival, and removes the arrivals that may have come more than `window_us` before it.
    pub fn add(&mut self, arrival: Arrival, window_us: u64) {
        let time = arrival.record.time;
        let is_old = |old: &Arrival| old.record.time.earliest + window_us < time.latest;
        while self.arrivals.front().is_some_and(is_old) {
            self.arrivals.pop_front();
        }
        let position = self.arrivals.partition_point(|other| other.record.time.earliest <= time.earliest);
        self.arrivals.insert(position, arrival);
    }

    /// Returns the load of each window that ends with the newest arrival, the shortest window first.
    pub fn loads(&self) -> impl Iterator<Item = WindowLoad> {
        let empty = WindowLoad { from: 0, work_us: 0, attributable_us: 0 };
        self.arrivals.iter().rev().scan(empty, |load, arrival| {
            load.from = arrival.record.time.earliest;
            load.work_us += arrival.record.work_us;
            load.attributable_us += if arrival.attributable { arrival.record.work_us } else { 0 };
            Some(*load)
        })
    }

    /// Returns the records of all arrivals.
    pub fn records(&self) -> impl Iterator<Item = &NumberedRecord> {
        self.arrivals.iter().map(|arrival| &arrival.record)
    }

    /// Returns the records of the attributable arrivals.
    pub fn attributable(&self) -> Vec<NumberedRecord> {
        let attributable = self.arrivals.iter().filter(|arrival| arrival.attributable);
        attributable.map(|arrival| arrival.record.clone()).collect()
    }

    pub fn clear(&mut self) {
        self.arrivals.clear();
    }
}
