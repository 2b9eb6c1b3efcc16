//! The work of a server: cores that are busy until a moment, a queue, and the window in which it is pushed
//! over.

use std::collections::VecDeque;

pub use stonevane_audit::work_capacity;

/// The work of one request: log-normal with this mean and coefficient of variation, drawn from the request's name
/// alone, so that the same request is the same work wherever it goes. Without variation, the mean.
pub fn drawn(mean_us: u64, cv: f64, request: &str) -> u64 {
    if cv <= 0.0 {
        return mean_us;
    }
    let mut rng = oorandom::Rand64::new(u128::from(xxhash_rust::xxh3::xxh3_64(request.as_bytes())));
    // Box and Muller's normal deviate.
    let (one, other) = (1.0 - rng.rand_float(), rng.rand_float());
    let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * other).cos();
    let variance = (1.0 + cv * cv).ln();
    (mean_us as f64 * (normal * variance.sqrt() - variance / 2.0).exp()) as u64
}

/// Cores, and until when each is busy.
pub struct Cores {
    free_at: Vec<u64>,
}

impl Cores {
    /// So many idle cores.
    pub fn new(count: usize) -> Self {
        Cores { free_at: vec![0; count.max(1)] }
    }

    /// When work that comes now would be done, on the core that is free first; `None` where it would wait for
    /// longer than a limit. Cancelled work goes on.
    pub fn take(&mut self, now: u64, work_us: u64, longest_wait_us: u64) -> Option<u64> {
        let core = self.free_at.iter_mut().min()?;
        let begin = (*core).max(now);
        if begin - now > longest_wait_us {
            return None;
        }
        *core = begin + work_us;
        Some(*core)
    }

    /// Nothing is done before this moment.
    pub fn stop_until(&mut self, until: u64) {
        self.free_at.iter_mut().for_each(|core| *core = (*core).max(until));
    }
}

/// What came within a window that slides.
#[derive(Default)]
pub struct Window {
    came: VecDeque<(u64, u64)>,
    sum: u64,
    /// The most that a window has held.
    pub peak: u64,
}

impl Window {
    /// Adds work, and returns all of the window that ends now.
    pub fn add(&mut self, now: u64, work_us: u64, window_us: u64) -> u64 {
        self.came.push_back((now, work_us));
        self.sum += work_us;
        while let Some((_, work)) = self.came.front().copied().filter(|(at, _)| at + window_us < now) {
            self.sum -= work;
            self.came.pop_front();
        }
        self.peak = self.peak.max(self.sum);
        self.sum
    }

    /// Forgets all but the peak.
    pub fn clear(&mut self) {
        self.came.clear();
        self.sum = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn work_queues_on_the_core_that_is_free_first_and_is_turned_away_past_the_limit() {
        let mut cores = Cores::new(2);
        assert_eq!(cores.take(0, 10, 5), Some(10));
        assert_eq!(cores.take(0, 4, 5), Some(4));
        assert_eq!(cores.take(0, 10, 5), Some(14), "waits 4");
        assert_eq!(cores.take(0, 1, 5), None, "would wait 10");
        cores.stop_until(100);
        assert_eq!(cores.take(50, 1, 60), Some(101));
    }

    #[test]
    fn drawn_work_has_its_mean_and_its_variation_and_is_the_same_for_the_same_request() {
        let drawn: Vec<f64> = (0..20_000).map(|i| drawn(100_000, 0.5, &format!("r{i}")) as f64).collect();
        let mean = drawn.iter().sum::<f64>() / drawn.len() as f64;
        let cv = (drawn.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / drawn.len() as f64).sqrt() / mean;
        assert!((97_000.0..103_000.0).contains(&mean) && (0.45..0.55).contains(&cv), "{mean} {cv}");
        assert_eq!(super::drawn(100, 0.5, "a"), super::drawn(100, 0.5, "a"));
        assert_eq!(super::drawn(100, 0.0, "a"), 100);
    }

    #[test]
    fn a_window_holds_what_came_within_it_and_remembers_its_peak() {
        let mut window = Window::default();
        assert_eq!([window.add(0, 3, 10), window.add(10, 4, 10), window.add(11, 5, 10)], [3, 7, 9]);
        window.clear();
        assert_eq!((window.add(12, 1, 10), window.peak), (1, 9));
    }

    #[test]
    fn a_cold_server_is_able_to_do_its_share_at_first_and_all_when_warm() {
        let at = |from| work_capacity(1e6, 0.5, 0, 1_000, from, 1);
        assert!(
            (at(0) - 0.5).abs() < 0.01 && (at(500) - 0.75).abs() < 0.01 && (at(2_000) - 1.0).abs() < 1e-9
        );
    }
}
