//! Figures of a run, from its history.

use std::collections::{BTreeMap, HashMap};
use std::io::BufRead;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use stonevane_audit::history;
use stonevane_audit::{Effect, Event, HistoryError, HistoryRecord, Outcome, Report, Rules};
use stonevane_server_model::work::{Window, work_capacity};

/// The width of a step of the chart, microseconds.
pub const STEP_US: u64 = 250_000;
/// The first moments are measured apart: caches, nodes and connections are new then.
const FIRST_US: u64 = 4_000_000;
/// The marks of a class's times.
const MARKS: u32 = 50;
/// The window whose worst part counts, in steps.
const WORST_STEPS: usize = 40;
/// Service has recovered when this part of what is asked is served again.
const RECOVERED: f64 = 0.95;

/// What became of one class's requests; times in milliseconds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Class {
    /// Asked.
    pub asked: u64,
    /// Answered with a value.
    pub served: u64,
    /// Turned away.
    pub refused: u64,
    /// Without a promise.
    pub failed: u64,
    /// Times of what was served.
    pub p50_ms: f64,
    /// The 99th part of a hundred.
    pub p99_ms: f64,
    /// The 999th part of a thousand.
    pub p999_ms: f64,
    /// The time that 0, 2, 4 ... 100 of a hundred served requests took at the most.
    pub marks_ms: Vec<f64>,
    /// Times in microseconds.
    #[serde(skip)]
    times: Times,
}

/// A histogram of times up to two minutes, in microseconds, to three digits.
#[derive(Debug, Clone)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        Times(histogram())
    }
}

/// An empty histogram of the bounds that all of the lab's have.
pub fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library takes; the other one grows by itself.
    Histogram::new_with_bounds(1, 120_000_000, 3).unwrap_or_else(|_| {
        let mut wide = Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"));
        wide.auto(true);
        wide
    })
}

/// What a server was sent, against its limit.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Server {
    /// Attempts.
    pub attempts: u64,
    /// Turned away.
    pub busy: u64,
    /// Misses.
    pub misses: u64,
    /// The most work in a second, as a part of what it can do warm.
    pub peak: f64,
    /// While it was cold: the most work in a window of the rule, as a part of what the rule allows.
    pub cold_peak: f64,
    /// Times that it fell over or stopped.
    pub falls: u64,
}

/// One step of the chart.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Requests asked in it.
    pub asked: u64,
    /// Of these, how many were served.
    pub served: u64,
    /// Of these, how many were refused.
    pub refused: u64,
    /// Of these, how many failed.
    pub failed: u64,
    /// Work sent to the origin, as a part of what it can do.
    pub origin: f64,
    /// Work sent to the coldest server, as a part of what the rule allows.
    pub coldest: f64,
}

/// All figures of a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Summary {
    /// By class.
    pub classes: BTreeMap<String, Class>,
    /// By server.
    pub servers: BTreeMap<String, Server>,
    /// Steps of a quarter of a second.
    pub steps: Vec<Step>,
    /// Faults, in seconds from the start of the load.
    pub faults: Vec<(f64, String)>,
    /// From the end of the last fault until service was back, milliseconds; `None` where it never was.
    pub recovery_ms: Option<f64>,
    /// Attempts at all servers.
    pub attempts: u64,
    /// Calls to discovery, those of them that it turned away, and those of these whose node's call before was turned away as
    /// well.
    #[serde(default)]
    pub list_calls: [u64; 3],
    /// Reads that came to the store of record, where it is a stand-in.
    #[serde(default)]
    pub store_queries: Option<u64>,
}

struct Load {
    /// Start, cold share, time to warm, capacity.
    started: u64,
    share: f64,
    warm: u64,
    capacity: f64,
    second: Window,
    window: Window,
}

#[derive(Default)]
struct Reading {
    summary: Summary,
    rules: Rules,
    start: Option<u64>,
    open: HashMap<String, (String, u64, usize)>,
    loads: HashMap<String, Load>,
    /// By node: whether discovery turned its last call away.
    turned_away: HashMap<String, bool>,
}

/// Figures of a history.
///
/// # Errors
/// [`HistoryError`] as for [`stonevane_audit::audit`].
pub fn summarise(text: impl BufRead) -> Result<Summary, HistoryError> {
    let mut reading = Reading::default();
    history::read(text, |_, line| reading.line(&line))?;
    Ok(reading.finish())
}

impl Reading {
    fn step(&mut self, at: u64) -> usize {
        let start = self.start.unwrap_or(at);
        let step = (at.saturating_sub(start) / STEP_US).min(100_000) as usize;
        if self.summary.steps.len() <= step {
            self.summary.steps.resize(step + 1, Step::default());
        }
        step
    }

    fn line(&mut self, line: &HistoryRecord) {
        match line.event {
            Event::Begin => self.rules = line.rules.as_deref().cloned().unwrap_or_default(),
            Event::Request if !line.resent => {
                let step = self.step(line.time.latest);
                self.summary.steps[step].asked += 1;
                self.summary.classes.entry(line.class.clone()).or_default().asked += 1;
                self.open.insert(line.request.clone(), (line.class.clone(), line.time.latest, step));
            }
            Event::Answer => {
                let Some((class, asked, step)) = self.open.remove(&line.request) else { return };
                let class = self.summary.classes.entry(class).or_default();
                let step = &mut self.summary.steps[step];
                match line.outcome {
                    Some(Outcome::Served) => {
                        class.served += 1;
                        class.times.0.saturating_record(line.time.latest.saturating_sub(asked));
                        step.served += 1;
                    }
                    Some(Outcome::Rejected) => {
                        class.refused += 1;
                        step.refused += 1;
                    }
                    _ => {
                        class.failed += 1;
                        step.failed += 1;
                    }
                }
            }
            Event::Start => {
                let load = Load {
                    started: line.time.earliest,
                    share: line.cold_share,
                    warm: line.warm_us,
                    capacity: line.capacity_us_per_s,
                    second: Window::default(),
                    window: Window::default(),
                };
                self.loads.insert(line.server_name().into(), load);
            }
            Event::Attempt => self.attempt(line),
            Event::Call => {
                let turned = line.state == "turned-away";
                let before = self.turned_away.insert(line.node.clone(), turned).unwrap_or(false);
                let calls = &mut self.summary.list_calls;
                calls[0] += 1;
                calls[1] += u64::from(turned);
                calls[2] += u64::from(turned && before);
            }
            Event::Fault => {
                if line.state == "load" {
                    self.start = Some(line.time.latest);
                }
                let fell = matches!(line.state.as_str(), "fell over" | "stopped");
                if fell {
                    self.summary.servers.entry(line.recorder.clone()).or_default().falls += 1;
                }
                let at = line.time.latest.saturating_sub(self.start.unwrap_or(line.time.latest)) as f64 / 1e6;
                let words =
                    if fell { format!("{} {}", line.recorder, line.state) } else { line.state.clone() };
                if self.summary.faults.len() < 1_000 {
                    self.summary.faults.push((at, words));
                }
            }
            _ => {}
        }
    }

    fn attempt(&mut self, line: &HistoryRecord) {
        let at = line.time.latest;
        let step = self.step(at);
        self.summary.attempts += 1;
        let server = self.summary.servers.entry(line.server_name().into()).or_default();
        server.attempts += 1;
        server.busy += u64::from(line.effect == Some(Effect::Busy));
        server.misses += u64::from(line.effect == Some(Effect::Miss));
        if line.origin {
            let capacity = self.rules.origin.capacity_us_per_s;
            let load = self.loads.entry(line.server_name().into()).or_insert_with(|| Load {
                started: 0,
                share: 1.0,
                warm: 0,
                capacity,
                second: Window::default(),
                window: Window::default(),
            });
            let window = self.rules.origin.overload_window_us;
            let part = load.window.add(at, line.work_us, window) as f64 / (capacity / 1e6 * window as f64);
            server.peak = server.peak.max(part);
            self.summary.steps[step].origin += line.work_us as f64 / (capacity / 1e6 * STEP_US as f64);
            return;
        }
        let Some(load) = self.loads.get_mut(line.server_name()) else { return };
        let second = load.second.add(at, line.work_us, 1_000_000) as f64 / load.capacity;
        server.peak = server.peak.max(second);
        if load.warm > 0 && at < load.started + load.warm {
            let window = self.rules.overload_window_us;
            let sum = load.window.add(at, line.work_us, window) as f64;
            let from = at.saturating_sub(window).max(load.started);
            let most = work_capacity(load.capacity, load.share, load.started, load.warm, from, window);
            let part = sum / (most * self.rules.overload_multiple);
            server.cold_peak = server.cold_peak.max(part);
            let step = &mut self.summary.steps[step];
            step.coldest = step.coldest.max(part);
        }
    }

    fn finish(mut self) -> Summary {
        for class in self.summary.classes.values_mut() {
            let part = |part: f64| match class.times.0.len() {
                0 => 0.0,
                _ => class.times.0.value_at_quantile(part) as f64 / 1e3,
            };
            (class.p50_ms, class.p99_ms, class.p999_ms) = (part(0.5), part(0.99), part(0.999));
            let marks = (0..=MARKS).map(|mark| part(f64::from(mark) / f64::from(MARKS)));
            class.marks_ms = marks.collect();
        }
        let last = self.summary.faults.iter().filter(|(_, words)| !words.starts_with("load"));
        let last = last.map(|(at, _)| *at).fold(0.0, f64::max);
        let from = (last * 1e6) as u64 / STEP_US;
        let steps = self.summary.steps.iter().enumerate().skip(from as usize);
        let back = steps.clone().find(|(_, s)| s.asked > 0 && s.served as f64 >= RECOVERED * s.asked as f64);
        self.summary.recovery_ms =
            back.map(|(step, _)| (step as f64 * STEP_US as f64 / 1e3 - last * 1e3).max(0.0));
        self.summary
    }
}

impl Summary {
    /// A figure by the name that expectations use; `None` where there was nothing to measure.
    pub fn figure(&self, name: &str, report: &Report) -> Option<f64> {
        let sum = |of: &dyn Fn(&Class) -> u64| self.classes.values().map(of).sum::<u64>() as f64;
        let asked = sum(&|c| c.asked);
        let part = |count: f64| (asked > 0.0).then_some(count / asked);
        let served = |name: &str| {
            let class = self.classes.get(name)?;
            (class.asked > 0).then_some(class.served as f64 / class.asked as f64)
        };
        let first = ((FIRST_US / STEP_US) as usize).min(self.steps.len());
        let ratio = |steps: &[Step]| {
            let asked: u64 = steps.iter().map(|s| s.asked).sum();
            let served: u64 = steps.iter().map(|s| s.served).sum();
            (asked > 0).then(|| served as f64 / asked as f64)
        };
        let worst = |of: &dyn Fn(&Class) -> f64| self.classes.values().map(of).fold(0.0, f64::max);
        let origin = |s: &&String| s.as_str() == "origin";
        let servers = |own: bool, of: &dyn Fn(&Server) -> f64| {
            let all = self.servers.iter().filter(|(name, _)| origin(name) == own);
            all.map(|(_, server)| of(server)).fold(0.0, f64::max)
        };
        let falls = |own: bool| {
            let all = self.servers.iter().filter(|(name, _)| origin(name) == own);
            all.map(|(_, server)| server.falls).sum::<u64>() as f64
        };
        Some(match name {
            "asked" => asked,
            "served" => part(sum(&|c| c.served))?,
            "served_first" => ratio(&self.steps[..first])?,
            "served_after" => ratio(&self.steps[first..])?,
            "served_worst_10s" => {
                let worst = self.steps.windows(WORST_STEPS.min(self.steps.len().max(1))).filter_map(ratio);
                worst.min_by(f64::total_cmp)?
            }
            "refused" => part(sum(&|c| c.refused))?,
            "failed" => part(sum(&|c| c.failed))?,
            "unanswered" => part(asked - sum(&|c| c.served + c.refused + c.failed))?,
            "excused" => report.excused as f64,
            "served_reads" => served("zone-lookup")?,
            "served_edits" => served("zone-edit")?,
            "p50_ms" => worst(&|c| c.p50_ms),
            "p99_ms" => worst(&|c| c.p99_ms),
            "attempts" => self.attempts as f64,
            "attempts_per_request" => part(self.attempts as f64)?,
            "origin_fetches" => self.servers.get("origin").map_or(0.0, |s| s.attempts as f64),
            "store_queries" => self.store_queries? as f64,
            "origin_peak" => servers(true, &|s| s.peak),
            "origin_falls" => falls(true),
            "cache_falls" => falls(false),
            "list_turned_away" => self.list_calls[1] as f64,
            "list_turned_away_again" => self.list_calls[2] as f64,
            "cache_peak" => servers(false, &|s| s.peak),
            "cold_peak" => servers(false, &|s| s.cold_peak),
            "edits_run_twice" => report.duplicate_effects as f64,
            "recovery_ms" => self.recovery_ms?,
            _ => return None,
        })
    }
}
