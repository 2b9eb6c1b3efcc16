//! One run of a scenario, from its first process to its verdict.

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

/// Protocol periods at the end of a run in which views are still read.
const MEMBERSHIP_TAIL_PERIODS: u64 = 8;
/// The start of the load lies this far ahead, in microseconds.
const START_MARGIN_US: u64 = 20_000;
/// How often it is looked whether nodes have ended.
const WATCH_PERIOD: Duration = Duration::from_millis(20);
/// Progress is shown at each of these turns of the watch.
const PROGRESS_TURNS: u64 = 50;
/// How long tasks may take to end.
const RUNTIME_SHUTDOWN: Duration = Duration::from_secs(2);
/// The buffer for reading a history, in bytes.
const READ_BUFFER: usize = 1 << 20;

/// How to run a scenario.
#[derive(Debug, Clone)]
pub struct Options {
    /// Another seed than the scenario's.
    pub seed: Option<u64>,
    /// Another number of nodes.
    pub nodes: Option<usize>,
    /// A multiple of the scenario's rate.
    pub load: Option<f64>,
    /// Whether its short form is played.
    pub short: bool,
    /// What serves in the nodes' places.
    pub kind: NodeKind,
    /// Whether nodes know nothing of one another, whatever the scenario says: the control.
    pub without_fleet: bool,
    /// Whether nodes that start together don't limit their first attempts: the control.
    pub without_ramp: bool,
    /// Where the history is written; else it is deleted once the verdict is there.
    pub history: Option<PathBuf>,
    /// Whether progress goes to standard error.
    pub progress: bool,
}

impl Options {
    /// A run of a scenario as it stands.
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

    /// The scenario that is played.
    fn apply(&self, scenario: &Scenario) -> Scenario {
        let mut scenario = if self.short { scenario.shortened() } else { scenario.clone() };
        if let Some(nodes) = self.nodes {
            scenario.nodes = nodes;
        }
        scenario.load.per_s *= self.load.unwrap_or(1.0);
        scenario.startup_limit &= !self.without_ramp;
        if self.without_fleet {
            scenario.membership = None;
        }
        if let Some(spec) = &scenario.membership {
            // Views have their time to converge once all steps have ended, and are read for a while then.
            let end = scenario.steps.iter().map(|step| step.at + step.duration).max().unwrap_or_default();
            let bounds = spec.bounds_for(scenario.nodes + spec.absent_members);
            let periods = bounds.convergence + MEMBERSHIP_TAIL_PERIODS;
            let needed = end + spec.period * periods as u32;
            scenario.load.for_ms = scenario.load.for_ms.max(needed.as_millis() as u64);
        }
        scenario
    }
}

/// What a run showed.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// The scenario's name.
    pub scenario: String,
    /// Its seed.
    pub seed: u64,
    /// A digest of the load that was drawn: the same for the same seed.
    pub load: String,
    /// The figures.
    pub summary: Summary,
    /// The auditor's verdict.
    pub report: Report,
    /// What was expected, each with the figure that was found and whether it holds.
    pub expects: Vec<Checked>,
    /// Whether the rules and all expectations hold.
    pub holds: bool,
}

/// An expectation and what was found.
#[derive(Debug, Clone, Serialize)]
pub struct Checked {
    /// Its line.
    pub line: String,
    /// The figure that was found; `None` where there was nothing to measure.
    pub found: Option<f64>,
    /// Whether it holds.
    pub holds: bool,
}

impl Checked {
    fn new(expectation: &Expectation, summary: &Summary, report: &Report) -> Checked {
        let found = summary.figure(&expectation.figure, report);
        let holds = found.is_some_and(|found| expectation.holds(found));
        Checked { line: expectation.to_string(), found, holds }
    }
}

/// Why a run has no outcome.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A process, a port or a file can't be had.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The history can't be read.
    #[error("the history {0}")]
    History(HistoryError),
    /// It was interrupted.
    #[error("interrupted")]
    Interrupted,
}

/// The first line of a history.
fn first_record(rules: Rules) -> HistoryRecord {
    HistoryRecord {
        time: MonotonicClock::moment(),
        recorder: "lab".into(),
        event: Event::Begin,
        rules: Some(Box::new(rules)),
        ..HistoryRecord::default()
    }
}

/// Runs a scenario once, on processes of its own.
///
/// # Errors
/// [`RunError`] where it can't be run to its end.
pub fn run(scenario: &Scenario, options: &Options) -> Result<Outcome, RunError> {
    let scenario = options.apply(scenario);
    let seed = options.seed.unwrap_or(scenario.seed);
    let path = options.history.clone().unwrap_or_else(temporary_history);
    tracing::info!(scenario = scenario.name, seed, nodes = scenario.nodes, history = %path.display(), "run");
    let planned = plan(&scenario.load, scenario.nodes, seed);
    let load = digest(format!("{planned:?}").as_bytes());
    let judged = play_into(&path, &scenario, options, seed, planned).and_then(|store_queries| {
        let (report, summary) = judge(&path)?;
        Ok((report, Summary { store_queries, ..summary }))
    });
    if options.history.is_none() {
        let _ = std::fs::remove_file(&path);
    }
    let (report, summary) = judged?;
    tracing::info!(scenario = scenario.name, seed, broken = report.broken, events = report.events, "judged");
    let check = |expectation| Checked::new(expectation, &summary, &report);
    let expects: Vec<_> = scenario.expects.iter().map(check).collect();
    let holds = report.holds() && report.faulty == 0 && expects.iter().all(|checked| checked.holds);
    Ok(Outcome { scenario: scenario.name, seed, load, summary, report, expects, holds })
}

fn temporary_history() -> PathBuf {
    let name = crate::lab_ip().to_string().replace('.', "-");
    std::env::temp_dir().join(format!("stonevane-history-{}-{name}.jsonl", std::process::id()))
}

/// Plays a scenario and writes its history; returns the queries of the store of record, where there is one.
fn play_into(
    path: &Path,
    scenario: &Scenario,
    options: &Options,
    seed: u64,
    planned: Vec<Planned>,
) -> Result<Option<u64>, RunError> {
    let (recorder, writer) = Recorder::to(File::create(path)?);
    recorder.line(first_record(rules(scenario)));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let played = runtime.block_on(async {
        tokio::select! {
            played = play(scenario, options, seed, planned, &recorder) => played,
            () = interrupted() => Err(RunError::Interrupted),
        }
    });
    // All processes are ended and all sockets closed before anything is read.
    runtime.shutdown_timeout(RUNTIME_SHUTDOWN);
    drop(recorder);
    let written = writer.finish();
    let store_queries = played?;
    written?;
    Ok(store_queries)
}

fn judge(path: &Path) -> Result<(Report, Summary), RunError> {
    let open = || File::open(path).map(|file| BufReader::with_capacity(READ_BUFFER, file));
    let report = audit(open()?).map_err(RunError::History)?;
    Ok((report, summarise(open()?).map_err(RunError::History)?))
}

/// Waits for an interrupt or SIGTERM.
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
    let start = MonotonicClock::now() + START_MARGIN_US;
    fleet.note("load");
    let mut steps = spawn_steps(scenario, &fleet, &clients, start);
    let views = tokio::spawn(fleet.clone().watch_views());
    let progress = options.progress.then_some(scenario.load.for_ms);
    let watch = tokio::spawn(watch_nodes(fleet.clone(), clients.clone(), start, progress));
    clients.play(planned, start).await;
    fleet.note("load ended");
    // Steps without an end are cut off.
    let endless = scenario.steps.iter().any(|step| step.duration.is_zero());
    if !endless {
        while steps.join_next().await.is_some() {}
    }
    steps.shutdown().await;
    watch.abort();
    views.abort();
    recorder.line(HistoryRecord {
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

/// Spawns each step at its time.
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

/// Records nodes that end by themselves, and shows progress through a load of so many milliseconds.
async fn watch_nodes(fleet: Arc<Fleet>, clients: Arc<Clients>, start: u64, progress: Option<u64>) {
    for turn in 1.. {
        tokio::time::sleep(WATCH_PERIOD).await;
        fleet.check_nodes();
        let Some(load_ms) = progress.filter(|_| turn % PROGRESS_TURNS == 0) else { continue };
        let now_s = (MonotonicClock::now().saturating_sub(start) / 1_000) as f64 / 1e3;
        let load_s = load_ms as f64 / 1e3;
        let _ = writeln!(io::stderr(), "  {now_s:.0} of {load_s:.0} s, {} asked", clients.asked());
    }
}
