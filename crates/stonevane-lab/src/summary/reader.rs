//! Accumulates the records of a history into a [`Summary`].

use std::collections::HashMap;

use stonevane_audit::{Effect, Event, HistoryRecord, Outcome, Rules};
use stonevane_server_model::work::{WorkWindow, work_capacity};

use super::{INTERVAL_US, Interval, Summary};

/// Distance between the reported percentiles of a class, in percent.
const PERCENTILE_STEP: u32 = 2;
/// Service counts as recovered in the first interval in which this share of the requests is served.
const RECOVERED_SHARE: f64 = 0.95;
/// Largest index of an interval; later events count in this one.
const MAX_INTERVAL_INDEX: u64 = 100_000;
/// Maximum number of faults that the summary lists.
const MAX_FAULTS: usize = 1_000;
/// Length of the window of a cache's peak load, in microseconds.
const PEAK_WINDOW_US: u64 = 1_000_000;

/// A request that has not been answered yet.
struct OpenRequest {
    class: String,
    sent_at: u64,
    /// Index of the interval in which it was sent.
    interval: usize,
}

/// A server's capacity and recent load.
struct ServerLoad {
    started_at: u64,
    cold_share: f64,
    warm_us: u64,
    capacity_us_per_s: f64,
    last_second: WorkWindow,
    /// Work in the window of the overload rule.
    rule_window: WorkWindow,
}

impl ServerLoad {
    /// Returns a server that is warm from the start.
    fn warm(capacity_us_per_s: f64) -> ServerLoad {
        ServerLoad {
            started_at: 0,
            cold_share: 1.0,
            warm_us: 0,
            capacity_us_per_s,
            last_second: WorkWindow::default(),
            rule_window: WorkWindow::default(),
        }
    }

    /// Adds an attempt to the last second. Returns that second's work as a share of a second's capacity.
    fn add_to_second(&mut self, at: u64, work_us: u64) -> f64 {
        self.last_second.add(at, work_us, PEAK_WINDOW_US) as f64 / self.capacity_us_per_s
    }

    /// Adds an attempt to the window of the slow-start rule. Returns the window's work as a share of what the
    /// rule allows; `None` if the server is warm.
    fn add_to_cold_window(&mut self, at: u64, work_us: u64, rules: &Rules) -> Option<f64> {
        if self.warm_us == 0 || at >= self.started_at + self.warm_us {
            return None;
        }
        let window_us = rules.overload_window_us;
        let sum = self.rule_window.add(at, work_us, window_us) as f64;
        let from = at.saturating_sub(window_us).max(self.started_at);
        let (capacity, share) = (self.capacity_us_per_s, self.cold_share);
        let possible_us = work_capacity(capacity, share, self.started_at, self.warm_us, from, window_us);
        Some(sum / (possible_us * rules.overload_multiple))
    }
}

/// State of reading a history.
#[derive(Default)]
pub(super) struct Reader {
    summary: Summary,
    rules: Rules,
    load_started_at: Option<u64>,
    open_requests: HashMap<String, OpenRequest>,
    loads: HashMap<String, ServerLoad>,
    /// Whether discovery rejected the last call, by node.
    last_call_rejected: HashMap<String, bool>,
}

impl Reader {
    pub(super) fn read(&mut self, record: &HistoryRecord) {
        match record.event {
            Event::Begin => self.rules = record.rules.as_deref().cloned().unwrap_or_default(),
            Event::Request if !record.resent => self.request(record),
            Event::Answer => self.answer(record),
            Event::Start => {
                let load = ServerLoad {
                    started_at: record.time.earliest,
                    cold_share: record.cold_share,
                    warm_us: record.warm_us,
                    ..ServerLoad::warm(record.capacity_us_per_s)
                };
                self.loads.insert(record.server_name().into(), load);
            }
            Event::Attempt => self.attempt(record),
            Event::Call => self.call(record),
            Event::Fault => self.fault(record),
            _ => {}
        }
    }

    /// Returns the index of the interval that contains a time, and extends the list of intervals to it.
    fn interval(&mut self, at: u64) -> usize {
        let start = self.load_started_at.unwrap_or(at);
        let index = (at.saturating_sub(start) / INTERVAL_US).min(MAX_INTERVAL_INDEX) as usize;
        if self.summary.steps.len() <= index {
            self.summary.steps.resize(index + 1, Interval::default());
        }
        index
    }

    fn request(&mut self, record: &HistoryRecord) {
        let sent_at = record.time.latest;
        let interval = self.interval(sent_at);
        self.summary.steps[interval].asked += 1;
        self.summary.classes.entry(record.class.clone()).or_default().asked += 1;
        let request = OpenRequest { class: record.class.clone(), sent_at, interval };
        self.open_requests.insert(record.request.clone(), request);
    }

    fn answer(&mut self, record: &HistoryRecord) {
        let Some(request) = self.open_requests.remove(&record.request) else { return };
        let class = self.summary.classes.entry(request.class).or_default();
        let interval = &mut self.summary.steps[request.interval];
        match record.outcome {
            Some(Outcome::Served) => {
                class.served += 1;
                class.times.record(record.time.latest.saturating_sub(request.sent_at));
                interval.served += 1;
            }
            Some(Outcome::Rejected) => {
                class.refused += 1;
                interval.refused += 1;
            }
            _ => {
                class.failed += 1;
                interval.failed += 1;
            }
        }
    }

    fn attempt(&mut self, record: &HistoryRecord) {
        let at = record.time.latest;
        let index = self.interval(at);
        self.summary.attempts += 1;
        let server = self.summary.servers.entry(record.server_name().into()).or_default();
        server.attempts += 1;
        server.busy += u64::from(record.effect == Some(Effect::Busy));
        server.misses += u64::from(record.effect == Some(Effect::Miss));
        let interval = &mut self.summary.steps[index];
        if record.origin {
            let capacity = self.rules.origin.capacity_us_per_s;
            let warm = || ServerLoad::warm(capacity);
            let load = self.loads.entry(record.server_name().into()).or_insert_with(warm);
            let window_us = self.rules.origin.overload_window_us;
            let work_us = load.rule_window.add(at, record.work_us, window_us) as f64;
            server.peak = server.peak.max(work_us / (capacity / 1e6 * window_us as f64));
            interval.origin += record.work_us as f64 / (capacity / 1e6 * INTERVAL_US as f64);
            return;
        }
        let Some(load) = self.loads.get_mut(record.server_name()) else { return };
        server.peak = server.peak.max(load.add_to_second(at, record.work_us));
        if let Some(share) = load.add_to_cold_window(at, record.work_us, &self.rules) {
            server.cold_peak = server.cold_peak.max(share);
            interval.coldest = interval.coldest.max(share);
        }
    }

    /// Counts a call to discovery, and whether it was rejected.
    fn call(&mut self, record: &HistoryRecord) {
        let rejected = record.state == "turned-away";
        let before = self.last_call_rejected.insert(record.node.clone(), rejected).unwrap_or(false);
        let calls = &mut self.summary.list_calls;
        calls.calls += 1;
        calls.rejected += u64::from(rejected);
        calls.rejected_again += u64::from(rejected && before);
    }

    fn fault(&mut self, record: &HistoryRecord) {
        let now = record.time.latest;
        if record.state == "load" {
            self.load_started_at = Some(now);
        }
        let overloaded = matches!(record.state.as_str(), "fell over" | "stopped");
        let mut label = record.state.clone();
        if overloaded {
            self.summary.servers.entry(record.recorder.clone()).or_default().falls += 1;
            label = format!("{} {label}", record.recorder);
        }
        let at_s = now.saturating_sub(self.load_started_at.unwrap_or(now)) as f64 / 1e6;
        if self.summary.faults.len() < MAX_FAULTS {
            self.summary.faults.push((at_s, label));
        }
    }

    pub(super) fn finish(mut self) -> Summary {
        for class in self.summary.classes.values_mut() {
            class.p50_ms = class.times.quantile_ms(0.5);
            class.p99_ms = class.times.quantile_ms(0.99);
            class.p999_ms = class.times.quantile_ms(0.999);
            let steps = 100 / PERCENTILE_STEP;
            let quantiles = (0..=steps).map(|step| f64::from(step) / f64::from(steps));
            class.marks_ms = quantiles.map(|quantile| class.times.quantile_ms(quantile)).collect();
        }
        self.summary.recovery_ms = recovery_ms(&self.summary);
        self.summary
    }
}

/// Returns the time from the last recorded fault event until service had recovered, in milliseconds.
fn recovery_ms(summary: &Summary) -> Option<f64> {
    let faults = summary.faults.iter().filter(|(_, label)| !label.starts_with("load"));
    let last_fault_s = faults.map(|(at_s, _)| *at_s).fold(0.0, f64::max);
    let first = (last_fault_s * 1e6) as u64 / INTERVAL_US;
    let recovered = |interval: &Interval| {
        interval.asked > 0 && interval.served as f64 >= RECOVERED_SHARE * interval.asked as f64
    };
    let mut intervals = summary.steps.iter().enumerate().skip(first as usize);
    let (index, _) = intervals.find(|(_, interval)| recovered(interval))?;
    Some((index as f64 * INTERVAL_US as f64 / 1e3 - last_fault_s * 1e3).max(0.0))
}
