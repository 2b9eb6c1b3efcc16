//! Runs a scenario once: starts the fleet, plays load and steps, and evaluates the history.

use std::fs::File;
use std::io::{self, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use stonevane_audit::{Event, HistoryError, HistoryRecord, Report, Rules, audit};
use stonevane_emulators::client::{Clients, Planned, plan};
use stonevane_emulators::{MonotonicClock, Recorder};
use stonevane_server_model::value::digest;
use tokio::task::JoinSet;

use crate::fleet::{Fleet, rules};
use crate::node::NodeKind;
use crate::scenario::{Expectation, Scenario};
use crate::summary::{Summary, summarise};

/// Number of protocol periods after convergence, at the end of a run, in which the lab still reads the nodes'
/// views of the members.
const MEMBERSHIP_TAIL_PERIODS: u64 = 8;
/// Time between scheduling the load and its first request, in microseconds.
const LOAD_START_DELAY_US: u64 = 20_000;
/// Interval at which nodes are checked for having ended.
const NODE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Node checks between two lines of progress.
const CHECKS_PER_PROGRESS_LINE: u64 = 50;
/// Time limit for tasks of the runtime to end.
const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the buffer for reading a history, in bytes.
const READ_BUFFER_BYTES: usize = 1 << 20;

/// Options of a scenario run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Overrides the scenario's seed.
    pub seed: Option<u64>,
    /// Overrides the scenario's number of nodes.
    pub nodes: Option<usize>,
    /// Factor applied to the scenario's request rate; 1 if `None`.
    pub load: Option<f64>,
    /// Whether the short form of the scenario is played, see [`Scenario::shortened`].
    pub short: bool,
    /// Implementation of the nodes.
    pub kind: NodeKind,
    /// Whether membership is disabled even if the scenario enables it, as in a control run.
    pub without_fleet: bool,
    /// Whether nodes that start together don't limit their first attempts, as in a control run.
    pub without_ramp: bool,
    /// File to which the history is written. If `None`, the history is a temporary file, deleted after the
    /// audit.
    pub history: Option<PathBuf>,
    /// Whether progress is printed to standard error.
    pub progress: bool,
}

impl Options {
    /// Returns options that run a scenario unchanged.
    pub fn of(kind: NodeKind) -> Options {
        Options {
            seed: None,
            nodes: None,
            load: None,
            short: false,
            kind,
            without_fleet: false,
            without_ramp: false,
            history: None,
            progress: false,
        }
    }

    /// Returns the scenario with these options applied.
    fn apply(&self, scenario: &Scenario) -> Scenario {
        let mut scenario = if self.short { scenario.shortened() } else { scenario.clone() };
        if let Some(nodes) = self.nodes {
            scenario.nodes = nodes;
        }
        scenario.load.requests_per_s *= self.load.unwrap_or(1.0);
        scenario.startup_limit &= !self.without_ramp;
        if self.without_fleet {
            scenario.membership = None;
        }
        if let Some(spec) = &scenario.membership {
            // The load lasts until the nodes' views of the members have had time to converge after the last
            // step, plus a few more protocol periods in which the views are read.
            let end = scenario.steps.iter().map(|step| step.at + step.duration).max().unwrap_or_default();
            let bounds = spec.bounds_for(scenario.nodes + spec.absent_members);
            let periods = bounds.convergence + MEMBERSHIP_TAIL_PERIODS;
            let needed = end + spec.period * periods as u32;
            scenario.load.duration_ms = scenario.load.duration_ms.max(needed.as_millis() as u64);
        }
        scenario
    }
}

/// Result of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Digest of the planned load; equal for equal seeds.
    pub load: String,
    /// Figures computed from the history.
    pub summary: Summary,
    /// The auditor's verdict.
    pub report: Report,
    /// Expectations of the scenario, each with the measured figure.
    pub expects: Vec<CheckedExpectation>,
    /// Whether the auditor's rules and all expectations hold.
    pub holds: bool,
}

/// An expectation with the measured figure.
#[derive(Debug, Clone, Serialize)]
pub struct CheckedExpectation {
    /// The expectation as written, such as `served >= 0.9`.
    pub line: String,
    /// The measured figure; `None` if there was nothing to measure.
    pub found: Option<f64>,
    /// Whether the figure was measured and meets the expectation.
    pub holds: bool,
}

impl CheckedExpectation {
    fn new(expectation: &Expectation, summary: &Summary, report: &Report) -> CheckedExpectation {
        let found = summary.figure(&expectation.figure, report);
        let holds = found.is_some_and(|found| expectation.holds(found));
        CheckedExpectation { line: expectation.to_string(), found, holds }
    }
}

/// Error that ends a run without an outcome.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A process, a port or a file is not available, or a node did not become ready.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The history is malformed or can't be read.
    #[error("history file: {0}")]
    History(HistoryError),
    /// The run was interrupted by SIGINT or SIGTERM.
    #[error("interrupted")]
    Interrupted,
}

/// Returns the first record of a history, which holds the audit rules.
fn first_record(rules: Rules) -> HistoryRecord {
    HistoryRecord {
        time: MonotonicClock::moment(),
        recorder: "lab".into(),
        event: Event::Begin,
        rules: Some(Box::new(rules)),
        ..HistoryRecord::default()
    }
}

/// Runs a scenario once, on a fleet started for this run.
///
/// # Errors
/// [`RunError`] if the run does not complete.
pub fn run(scenario: &Scenario, options: &Options) -> Result<Outcome, RunError> {
    let scenario = options.apply(scenario);
    let seed = options.seed.unwrap_or(scenario.seed);
    let path = options.history.clone().unwrap_or_else(temporary_history);
    tracing::info!(scenario = scenario.name, seed, nodes = scenario.nodes, history = %path.display(), "scenario run started");
    let planned = plan(&scenario.load, scenario.nodes, seed);
    let load = digest(format!("{planned:?}").as_bytes());
    let evaluated = play_and_record(&path, &scenario, options, seed, planned).and_then(|store_queries| {
        let (report, summary) = evaluate(&path)?;
        Ok((report, Summary { store_queries, ..summary }))
    });
    if options.history.is_none() {
        let _ = std::fs::remove_file(&path);
    }
    let (report, summary) = evaluated?;
    tracing::info!(
        scenario = scenario.name,
        seed,
        broken = report.finding_count,
        events = report.events,
        "history audited"
    );
    let check = |expectation| CheckedExpectation::new(expectation, &summary, &report);
    let expects: Vec<_> = scenario.expects.iter().map(check).collect();
    let holds = report.holds() && report.fault_count == 0 && expects.iter().all(|checked| checked.holds);
    Ok(Outcome { scenario: scenario.name, seed, load, summary, report, expects, holds })
}

fn temporary_history() -> PathBuf {
    let name = crate::lab_ip().to_string().replace('.', "-");
    std::env::temp_dir().join(format!("stonevane-history-{}-{name}.jsonl", std::process::id()))
}

/// Plays a scenario and writes its history. Returns the number of reads of the store of record, if it is an
/// emulator.
fn play_and_record(
    path: &Path,
    scenario: &Scenario,
    options: &Options,
    seed: u64,
    planned: Vec<Planned>,
) -> Result<Option<u64>, RunError> {
    let (recorder, writer) = Recorder::to(File::create(path)?);
    recorder.record(first_record(rules(scenario)));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let played = runtime.block_on(async {
        tokio::select! {
            played = play(scenario, options, seed, planned, &recorder) => played,
            () = interrupted() => Err(RunError::Interrupted),
        }
    });
    // End all processes and close all sockets before the history is read.
    runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
    drop(recorder);
    let written = writer.finish();
    let store_queries = played?;
    written?;
    Ok(store_queries)
}

fn evaluate(path: &Path) -> Result<(Report, Summary), RunError> {
    let open = || File::open(path).map(|file| BufReader::with_capacity(READ_BUFFER_BYTES, file));
    let report = audit(open()?).map_err(RunError::History)?;
    Ok((report, summarise(open()?).map_err(RunError::History)?))
}

/// Waits for SIGINT or SIGTERM.
pub async fn interrupted() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut interrupt), Ok(mut terminate)) =
        (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
    else {
        return std::future::pending().await;
    };
    tokio::select! { _ = interrupt.recv() => {}, _ = terminate.recv() => {} }
}

async fn play(
    scenario: &Scenario,
    options: &Options,
    seed: u64,
    planned: Vec<Planned>,
    recorder: &Recorder,
) -> Result<Option<u64>, RunError> {
    let clock = MonotonicClock::default();
    let heartbeat = tokio::spawn(clock.clone().run_heartbeat());
    let fleet = Fleet::start(scenario, &options.kind, seed, &clock, recorder).await?;
    let clients = Clients::new(&fleet.targets, scenario.load.clone(), seed, &clock, recorder.clone());
    let start = MonotonicClock::now() + LOAD_START_DELAY_US;
    fleet.record_fault_event("load");
    let mut steps = spawn_steps(scenario, &fleet, &clients, start);
    let views = tokio::spawn(fleet.clone().watch_views());
    let progress = options.progress.then_some(scenario.load.duration_ms);
    let watch = tokio::spawn(watch_nodes(fleet.clone(), clients.clone(), start, progress));
    clients.run_planned(planned, start).await;
    fleet.record_fault_event("load ended");
    // Don't wait for steps without an end: they are aborted below.
    let endless = scenario.steps.iter().any(|step| step.duration.is_zero());
    if !endless {
        while steps.join_next().await.is_some() {}
    }
    steps.shutdown().await;
    watch.abort();
    views.abort();
    recorder.record(HistoryRecord {
        time: MonotonicClock::moment(),
        recorder: "lab".into(),
        event: Event::End,
        ..HistoryRecord::default()
    });
    let store_queries = fleet.store.as_ref().map(|store| store.counts().reads);
    fleet.end().await;
    heartbeat.abort();
    Ok(store_queries)
}

/// Spawns a task for each step, which begins at the step's time after `start` (in microseconds).
fn spawn_steps(scenario: &Scenario, fleet: &Arc<Fleet>, clients: &Arc<Clients>, start: u64) -> JoinSet<()> {
    let mut steps = JoinSet::new();
    for step in scenario.steps.clone() {
        let (fleet, clients) = (fleet.clone(), clients.clone());
        steps.spawn(async move {
            let at = start + step.at.as_micros() as u64;
            tokio::time::sleep(Duration::from_micros(at.saturating_sub(MonotonicClock::now()))).await;
            fleet.play_step(&step, &clients).await;
        });
    }
    steps
}

/// Records nodes that end by themselves. If `progress` is the duration of the load in milliseconds, prints
/// progress.
async fn watch_nodes(fleet: Arc<Fleet>, clients: Arc<Clients>, start: u64, progress: Option<u64>) {
    for check in 1.. {
        tokio::time::sleep(NODE_CHECK_INTERVAL).await;
        fleet.check_nodes();
        let Some(load_ms) = progress.filter(|_| check % CHECKS_PER_PROGRESS_LINE == 0) else { continue };
        let now_s = (MonotonicClock::now().saturating_sub(start) / 1_000) as f64 / 1e3;
        let load_s = load_ms as f64 / 1e3;
        let _ = writeln!(io::stderr(), "  {now_s:.0} of {load_s:.0} s, {} asked", clients.attempts_sent());
    }
}
