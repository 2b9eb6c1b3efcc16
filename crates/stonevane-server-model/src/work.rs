//! Work of a server: its cores, its queue, and the window that decides whether it is overloaded.

use std::collections::VecDeque;

use oorandom::Rand64;
pub use stonevane_audit::work_capacity;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the work of one request, in microseconds: log-normal with the mean `mean_us` and the given
/// coefficient of variation. It depends on the request's id `request` alone, so that the same request is the
/// same work at every server. If the coefficient is 0 or less, the work is `mean_us`.
pub fn request_work_us(mean_us: u64, coefficient_of_variation: f64, request: &str) -> u64 {
    if coefficient_of_variation <= 0.0 {
        return mean_us;
    }
    let mut rng = Rand64::new(u128::from(xxh3_64(request.as_bytes())));
    let normal = standard_normal(&mut rng);
    let variance = (1.0 + coefficient_of_variation * coefficient_of_variation).ln();
    (mean_us as f64 * (normal * variance.sqrt() - variance / 2.0).exp()) as u64
}

/// Returns a standard normal deviate (Box-Muller transform).
fn standard_normal(rng: &mut Rand64) -> f64 {
    let (radius, angle) = (1.0 - rng.rand_float(), rng.rand_float());
    (-2.0 * radius.ln()).sqrt() * (std::f64::consts::TAU * angle).cos()
}

/// Cores of a server.
pub struct Cores {
    /// Time until which each core is busy, in microseconds.
    busy_until: Vec<u64>,
}

impl Cores {
    /// Creates `count` idle cores, at least one.
    pub fn new(count: usize) -> Self {
        Cores { busy_until: vec![0; count.max(1)] }
    }

    /// Queues work on the core that is free first, and returns the time at which it is done. Returns `None`
    /// if the work would wait for longer than `max_wait_us`. Accepted work continues even if its caller has
    /// cancelled.
    pub fn take(&mut self, now: u64, work_us: u64, max_wait_us: u64) -> Option<u64> {
        let core = self.busy_until.iter_mut().min()?;
        let begin = (*core).max(now);
        if begin - now > max_wait_us {
            return None;
        }
        *core = begin + work_us;
        Some(*core)
    }

    /// Stops all cores until the time `until`, in microseconds.
    pub fn stop_until(&mut self, until: u64) {
        for core in &mut self.busy_until {
            *core = (*core).max(until);
        }
    }
}

/// Amount of work that arrived at the time `at`.
struct Arrival {
    at: u64,
    work_us: u64,
}

/// Work that arrived within a sliding window.
#[derive(Default)]
pub struct WorkWindow {
    arrivals: VecDeque<Arrival>,
    sum_us: u64,
    /// Largest amount of work that the window has held, in microseconds.
    pub peak_us: u64,
}

impl WorkWindow {
    /// Adds `work_us` of work that arrives at `now`, and returns the work that has arrived within the last
    /// `window_us`. All times are in microseconds.
    pub fn add(&mut self, now: u64, work_us: u64, window_us: u64) -> u64 {
        self.arrivals.push_back(Arrival { at: now, work_us });
        self.sum_us += work_us;
        while let Some(oldest) = self.arrivals.pop_front_if(|arrival| arrival.at + window_us < now) {
            self.sum_us -= oldest.work_us;
        }
        self.peak_us = self.peak_us.max(self.sum_us);
        self.sum_us
    }

    /// Clears the window and keeps the peak.
    pub fn clear(&mut self) {
        self.arrivals.clear();
        self.sum_us = 0;
    }
}

#[cfg(test)]
mod tests;
