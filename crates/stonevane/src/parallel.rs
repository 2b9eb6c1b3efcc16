//! Maps a function over a range of numbers on several threads.

use std::ops::RangeInclusive;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::available_parallelism;
use std::time::{Duration, Instant};

/// Interval at which the calling thread checks whether the workers have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the number of available cores.
pub fn default_threads() -> u64 {
    available_parallelism().map_or(1, |cores| cores.get() as u64)
}

/// The numbers still to be mapped, shared by the worker threads, and the results so far.
struct Work<R, F> {
    next: AtomicU64,
    last: u64,
    results: Mutex<Vec<(u64, R)>>,
    function: F,
}

impl<R: Send, F: Fn(u64) -> R + Sync> Work<R, F> {
    fn new(numbers: &RangeInclusive<u64>, function: F) -> Self {
        let next = AtomicU64::new(*numbers.start());
        Work { next, last: *numbers.end(), results: Mutex::default(), function }
    }

    /// Takes and maps numbers until none is left.
    fn run(&self) {
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            if number > self.last {
                return;
            }
            let result = (self.function)(number);
            if let Ok(mut results) = self.results.lock() {
                results.push((number, result));
            }
        }
    }

    fn done(&self) -> usize {
        self.results.lock().map_or(0, |results| results.len())
    }

    /// Returns the results in the order of their numbers.
    fn finish(self) -> Vec<(u64, R)> {
        let mut results = self.results.into_inner().unwrap_or_default();
        results.sort_by_key(|(number, _)| *number);
        results
    }
}

/// Maps each number with one thread per core; returns the results in the order of the numbers.
pub fn map<R: Send>(numbers: &RangeInclusive<u64>, function: impl Fn(u64) -> R + Sync) -> Vec<(u64, R)> {
    let work = Work::new(numbers, function);
    std::thread::scope(|scope| {
        for _ in 0..default_threads() {
            scope.spawn(|| work.run());
        }
    });
    work.finish()
}

/// Like [`map`], but with the given number of threads. Every `interval`, calls `progress` on the calling
/// thread with the number of results so far.
pub fn map_with_progress<R: Send>(
    numbers: &RangeInclusive<u64>,
    threads: u64,
    function: impl Fn(u64) -> R + Sync,
    interval: Duration,
    mut progress: impl FnMut(usize),
) -> Vec<(u64, R)> {
    let work = Work::new(numbers, function);
    std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads).map(|_| scope.spawn(|| work.run())).collect();
        let mut last = Instant::now();
        while handles.iter().any(|handle| !handle.is_finished()) {
            std::thread::sleep(POLL_INTERVAL);
            if last.elapsed() >= interval {
                last = Instant::now();
                progress(work.done());
            }
        }
    });
    work.finish()
}
