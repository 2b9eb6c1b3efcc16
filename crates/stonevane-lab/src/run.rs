//! One run of a scenario, from its first process to its verdict.

use std::fmt;
use std::fs::File;
use std::io::{self, BufReader, Write};
use std::path::PathBuf;
use std::time::Duration;

use serde::Serialize;
use stonevane_audit::{Event, HistoryError, HistoryRecord, Report, Rules, audit};
use stonevane_emulators::client::{Clients, plan};
use stonevane_emulators::{MonotonicClock, Recorder};
use stonevane_server_model::value::digest;

use crate::fleet::{Fleet, rules};
use crate::nodes::Kind;
use crate::scenario::{Expect, Scenario};
use crate::summary::{Summary, summarise};

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
    /// What stands in the nodes' places.
    pub kind: Kind,
    /// Whether nodes know nothing of one another, whatever the scenario says: the control.
    pub without_fleet: bool,
    /// Whether nodes that start together don't hold back: the control.
    pub without_ramp: bool,
    /// Where the history is kept; else it goes when the verdict is there.
    pub history: Option<PathBuf>,
    /// Whether progress goes to standard error.
    pub progress: bool,
}

impl Options {
    /// A run of a scenario as it stands.
    pub fn of(kind: Kind) -> Options {
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
    pub expects: Vec<Expected>,
    /// Whether the rules and all expectations hold.
    pub holds: bool,
}

/// An expectation and what was found.
#[derive(Debug, Clone, Serialize)]
pub struct Expected {
    /// Its line.
    pub line: String,
    /// The figure that was found; `None` where there was nothing to measure.
    pub found: Option<f64>,
    /// Whether it holds.
    pub holds: bool,
}

/// Why a run has no outcome.
#[derive(Debug)]
pub enum RunError {
    /// A process, a port or a file can't be had.
    Io(io::Error),
    /// The history can't be read.
    History(HistoryError),
    /// It was interrupted.
    Interrupted,
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Io(e) => write!(f, "{e}"),
            RunError::History(e) => write!(f, "the history {e}"),
            RunError::Interrupted => write!(f, "interrupted"),
        }
    }
}

impl std::error::Error for RunError {}

impl From<io::Error> for RunError {
    fn from(e: io::Error) -> Self {
        RunError::Io(e)
    }
}

/// The first line of a history.
pub fn begin(rules: Rules) -> HistoryRecord {
    let (t, who, event) = (MonotonicClock::moment(), "lab".into(), Event::Begin);
    HistoryRecord { time: t, recorder: who, event, rules: Some(Box::new(rules)), ..HistoryRecord::default() }
}

/// Runs a scenario once, on processes of its own.
///
/// # Errors
/// [`RunError`] where it can't be run to its end.
pub fn run(scenario: &Scenario, options: &Options) -> Result<Outcome, RunError> {
    let mut scenario = if options.short { scenario.shortened() } else { scenario.clone() };
    if let Some(nodes) = options.nodes {
        scenario.nodes = nodes;
    }
    scenario.load.per_s *= options.load.unwrap_or(1.0);
    scenario.ramp &= !options.without_ramp;
    if options.without_fleet {
        scenario.membership = None;
    }
    if let Some(spec) = &scenario.membership {
        // Views have their time to be right once all has ended, and are looked at for a while then.
        let last = scenario.steps.iter().map(|step| step.at + step.lasts).max().unwrap_or_default();
        let periods = spec.bounds(scenario.nodes + spec.strangers)[3] + 8;
        let needed = last + spec.period * periods as u32;
        scenario.load.for_ms = scenario.load.for_ms.max(needed.as_millis() as u64);
    }
    let seed = options.seed.unwrap_or(scenario.seed);
    let kept = options.history.clone();
    let path = kept.clone().unwrap_or_else(|| {
        let name = crate::lab_ip().to_string().replace('.', "-");
        std::env::temp_dir().join(format!("stonevane-history-{}-{name}.jsonl", std::process::id()))
    });
    tracing::info!(scenario = scenario.name, seed, nodes = scenario.nodes, history = %path.display(), "run");
    let out = File::create(&path)?;
    let (recorder, writer) = Recorder::to(out);
    recorder.line(begin(rules(&scenario)));
    let planned = plan(&scenario.load, scenario.nodes, seed);
    let load = digest(format!("{planned:?}").as_bytes());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let played = runtime.block_on(async {
        tokio::select! {
            played = play(&scenario, options, seed, planned, &recorder) => played,
            () = interrupted() => Err(RunError::Interrupted),
        }
    });
    // All processes are ended and all sockets closed before anything is read.
    runtime.shutdown_timeout(Duration::from_secs(2));
    drop(recorder);
    let written = writer.finish();
    let read = || -> Result<(Report, Summary), RunError> {
        let open = || File::open(&path).map(|file| BufReader::with_capacity(1 << 20, file));
        let report = audit(open()?).map_err(RunError::History)?;
        Ok((report, summarise(open()?).map_err(RunError::History)?))
    };
    let done = played.and_then(|queries| {
        written.map_err(RunError::Io)?;
        let (report, summary) = read()?;
        Ok((report, Summary { store_queries: queries, ..summary }))
    });
    if kept.is_none() {
        let _ = std::fs::remove_file(&path);
    }
    let (report, summary) = done?;
    tracing::info!(scenario = scenario.name, seed, broken = report.broken, events = report.events, "judged");
    let expects: Vec<_> = scenario.expects.iter().map(|expect| expected(expect, &summary, &report)).collect();
    let holds = report.holds() && report.faulty == 0 && expects.iter().all(|expect| expect.holds);
    Ok(Outcome { scenario: scenario.name, seed, load, summary, report, expects, holds })
}

fn expected(expect: &Expect, summary: &Summary, report: &Report) -> Expected {
    let found = summary.figure(&expect.figure, report);
    Expected { line: expect.to_string(), found, holds: found.is_some_and(|found| expect.holds(found)) }
}

/// Waits for an interrupt or SIGTERM.
pub async fn interrupted() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut int), Ok(mut term)) = (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
    else {
        return std::future::pending().await;
    };
    tokio::select! { _ = int.recv() => {}, _ = term.recv() => {} }
}

async fn play(
    scenario: &Scenario,
    options: &Options,
    seed: u64,
    planned: Vec<stonevane_emulators::client::Planned>,
    recorder: &Recorder,
) -> Result<Option<u64>, RunError> {
    let mono = MonotonicClock::default();
    let beat = tokio::spawn(mono.clone().run_heartbeat());
    let fleet = Fleet::start(scenario, &options.kind, seed, &mono, recorder).await?;
    let clients = Clients::new(&fleet.targets, scenario.load.clone(), seed, &mono, recorder.clone());
    let start = MonotonicClock::now() + 20_000;
    fleet.note("load");
    let mut steps = tokio::task::JoinSet::new();
    for step in scenario.steps.clone() {
        let (fleet, clients) = (fleet.clone(), clients.clone());
        steps.spawn(async move {
            let at = start + step.at.as_micros() as u64;
            tokio::time::sleep(Duration::from_micros(at.saturating_sub(MonotonicClock::now()))).await;
            fleet.step(&step, &clients).await;
        });
    }
    let views = tokio::spawn(fleet.clone().watch_views());
    let (watched, asked, progress) = (fleet.clone(), clients.clone(), options.progress);
    let whole = scenario.load.for_ms;
    let watch = tokio::spawn(async move {
        for turn in 1.. {
            tokio::time::sleep(Duration::from_millis(20)).await;
            watched.look();
            if progress && turn % 50 == 0 {
                let now = MonotonicClock::now().saturating_sub(start) / 1_000;
                let _ = writeln!(
                    io::stderr(),
                    "  {:.0} of {:.0} s, {} asked",
                    now as f64 / 1e3,
                    whole as f64 / 1e3,
                    asked.asked()
                );
            }
        }
    });
    clients.play(planned, start).await;
    fleet.note("load ended");
    // Steps that go on to the end go on no longer.
    let endless = scenario.steps.iter().any(|step| step.lasts.is_zero());
    if !endless {
        while steps.join_next().await.is_some() {}
    }
    steps.shutdown().await;
    watch.abort();
    views.abort();
    let t = MonotonicClock::moment();
    recorder.line(HistoryRecord {
        time: t,
        recorder: "lab".into(),
        event: Event::End,
        ..HistoryRecord::default()
    });
    let queries = fleet.store.as_ref().map(|store| store.counts().reads);
    fleet.end().await;
    beat.abort();
    Ok(queries)
}
