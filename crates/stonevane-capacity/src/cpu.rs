//! Processor time of the calling thread, sampled so that the clock itself costs little.

use rustix::time::{ClockId, clock_gettime};

/// Number of calls out of which [`CpuMeter`] times one.
const SAMPLING_INTERVAL: u64 = 16;

/// Processor time that the calling thread has used, in nanoseconds.
pub fn thread_nanos() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// Estimates the processor time of many short calls by timing every 16th one.
#[derive(Debug, Default, Clone, Copy)]
pub struct CpuMeter {
    calls: u64,
    timed_nanos: u64,
}

impl CpuMeter {
    /// Runs `call` and returns its result; reads the clock only for every 16th call.
    pub fn run<T>(&mut self, call: impl FnOnce() -> T) -> T {
        self.calls += 1;
        if !self.calls.is_multiple_of(SAMPLING_INTERVAL) {
            return call();
        }
        let started = thread_nanos();
        let result = call();
        self.timed_nanos += thread_nanos() - started;
        result
    }

    /// Estimated processor time of all calls, in microseconds: the timed calls scaled up to all calls.
    pub fn micros(&self) -> f64 {
        (self.timed_nanos * SAMPLING_INTERVAL) as f64 / 1e3
    }
}
