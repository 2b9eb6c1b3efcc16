//! Looks figures up by the names that expectations use.

use stonevane_audit::Report;

use super::{ClassFigures, INTERVAL_US, Interval, ServerFigures, Summary};

/// Length of the startup phase, in microseconds. `served_first` and `served_after` measure it separately
/// because caches, nodes and connections are new then.
const STARTUP_US: u64 = 4_000_000;
/// Length of the window of `served_worst_10s`, in intervals.
const WORST_WINDOW_INTERVALS: usize = 40;
/// Name of the origin in a history.
const ORIGIN: &str = "origin";

impl Summary {
    /// Returns a figure by the name that expectations use; `None` if the name is unknown or nothing was
    /// measured.
    pub fn figure(&self, name: &str, report: &Report) -> Option<f64> {
        let startup = ((STARTUP_US / INTERVAL_US) as usize).min(self.steps.len());
        Some(match name {
            "asked" => self.sum(|class| class.asked),
            "served" => self.per_request(self.sum(|class| class.served))?,
            "served_first" => served_share(&self.steps[..startup])?,
            "served_after" => served_share(&self.steps[startup..])?,
            "served_worst_10s" => self.worst_served_share()?,
            "refused" => self.per_request(self.sum(|class| class.refused))?,
            "failed" => self.per_request(self.sum(|class| class.failed))?,
            "unanswered" => {
                let answered = self.sum(|class| class.served + class.refused + class.failed);
                self.per_request(self.sum(|class| class.asked) - answered)?
            }
            "excused" => report.excused as f64,
            "served_reads" => self.served_of_class("zone-lookup")?,
            "served_edits" => self.served_of_class("zone-edit")?,
            "p50_ms" => self.slowest_class(|class| class.p50_ms),
            "p99_ms" => self.slowest_class(|class| class.p99_ms),
            "attempts" => self.attempts as f64,
            "attempts_per_request" => self.per_request(self.attempts as f64)?,
            "origin_fetches" => self.servers.get(ORIGIN).map_or(0.0, |origin| origin.attempts as f64),
            "store_queries" => self.store_queries? as f64,
            "origin_peak" => self.origin().map(|origin| origin.peak).fold(0.0, f64::max),
            "origin_falls" => self.origin().map(|origin| origin.falls).sum::<u64>() as f64,
            "cache_falls" => self.caches().map(|cache| cache.falls).sum::<u64>() as f64,
            "list_turned_away" => self.list_calls.rejected as f64,
            "list_turned_away_again" => self.list_calls.rejected_again as f64,
            "cache_peak" => self.caches().map(|cache| cache.peak).fold(0.0, f64::max),
            "cold_peak" => self.caches().map(|cache| cache.cold_peak).fold(0.0, f64::max),
            "edits_run_twice" => report.duplicate_effects as f64,
            "recovery_ms" => self.recovery_ms?,
            _ => return None,
        })
    }

    fn sum(&self, count: impl Fn(&ClassFigures) -> u64) -> f64 {
        self.classes.values().map(count).sum::<u64>() as f64
    }

    /// Divides a count by the number of requests; `None` without requests.
    fn per_request(&self, count: f64) -> Option<f64> {
        let asked = self.sum(|class| class.asked);
        (asked > 0.0).then_some(count / asked)
    }

    fn served_of_class(&self, name: &str) -> Option<f64> {
        let class = self.classes.get(name)?;
        (class.asked > 0).then_some(class.served as f64 / class.asked as f64)
    }

    fn slowest_class(&self, time: impl Fn(&ClassFigures) -> f64) -> f64 {
        self.classes.values().map(time).fold(0.0, f64::max)
    }

    fn worst_served_share(&self) -> Option<f64> {
        let window = WORST_WINDOW_INTERVALS.min(self.steps.len().max(1));
        self.steps.windows(window).filter_map(served_share).min_by(f64::total_cmp)
    }

    fn origin(&self) -> impl Iterator<Item = &ServerFigures> {
        self.servers.iter().filter(|(name, _)| *name == ORIGIN).map(|(_, origin)| origin)
    }

    fn caches(&self) -> impl Iterator<Item = &ServerFigures> {
        self.servers.iter().filter(|(name, _)| *name != ORIGIN).map(|(_, cache)| cache)
    }
}

/// Returns the share of the intervals' requests that was served; `None` without requests.
fn served_share(intervals: &[Interval]) -> Option<f64> {
    let asked: u64 = intervals.iter().map(|interval| interval.asked).sum();
    let served: u64 = intervals.iter().map(|interval| interval.served).sum();
    (asked > 0).then(|| served as f64 / asked as f64)
}
