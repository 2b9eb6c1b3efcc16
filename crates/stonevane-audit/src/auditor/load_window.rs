//! Work that came to a server within a sliding window.

use std::collections::VecDeque;

use super::evidence::NumberedRecord;

/// Work that came to a server.
pub(super) struct Arrival {
    pub record: NumberedRecord,
    /// It counts towards the share that makes an overload a node's fault.
    pub attributable: bool,
}

/// Sums over a window that ends with the newest arrival.
#[derive(Clone, Copy)]
pub(super) struct WindowLoad {
    /// The earliest moment of the window's first arrival.
    pub from: u64,
    pub work_us: u64,
    pub attributable_us: u64,
}

/// Arrivals within the window, by their earliest moments.
#[derive(Default)]
pub(super) struct LoadWindow {
    arrivals: VecDeque<Arrival>,
}

impl LoadWindow {
    /// Adds an arrival and forgets those that certainly came more than a window before it.
    pub fn add(&mut self, arrival: Arrival, window_us: u64) {
        let time = arrival.record.time;
        let is_old = |old: &Arrival| old.record.time.earliest + window_us < time.latest;
        while self.arrivals.front().is_some_and(is_old) {
            self.arrivals.pop_front();
        }
        let position = self.arrivals.partition_point(|other| other.record.time.earliest <= time.earliest);
        self.arrivals.insert(position, arrival);
    }

    /// The load of each window that ends with the newest arrival, the shortest first.
    pub fn loads(&self) -> impl Iterator<Item = WindowLoad> {
        let empty = WindowLoad { from: 0, work_us: 0, attributable_us: 0 };
        self.arrivals.iter().rev().scan(empty, |load, arrival| {
            load.from = arrival.record.time.earliest;
            load.work_us += arrival.record.work_us;
            load.attributable_us += if arrival.attributable { arrival.record.work_us } else { 0 };
            Some(*load)
        })
    }

    /// Records of the arrivals.
    pub fn records(&self) -> impl Iterator<Item = &NumberedRecord> {
        self.arrivals.iter().map(|arrival| &arrival.record)
    }

    /// Records of the arrivals that count towards the blame.
    pub fn attributable(&self) -> Vec<NumberedRecord> {
        let attributable = self.arrivals.iter().filter(|arrival| arrival.attributable);
        attributable.map(|arrival| arrival.record.clone()).collect()
    }

    pub fn clear(&mut self) {
        self.arrivals.clear();
    }
}
