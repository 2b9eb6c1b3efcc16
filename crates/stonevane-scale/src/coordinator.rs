//! The run of one fleet: starts the workers and discovery, waits for one event after the other, and ends them.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use stonevane_emulators::MonotonicClock;

use crate::Micros;
use crate::convergence::{Convergence, Reached};
use crate::figures::{Figures, Sample, rates};
use crate::host::{self, Interrupt};
use crate::layout::{Layout, LayoutError};
use crate::limits::{self, LimitError, MemoryCosts};
use crate::message::{Order, Progress, Report};
use crate::plan::Plan;
use crate::processes::{Event, Processes};
use crate::registry::Registry;

/// How often memory and signals are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Events of workers that may wait; their readers wait beyond that.
const EVENTS: usize = 1_024;
/// How long workers may take to open their sockets, and to answer with a sample.
const ANSWER: Duration = Duration::from_secs(60);

/// What a run needs of its surroundings.
#[derive(Debug, Clone)]
pub struct Environment {
    /// The program of a worker, and its arguments: it is to call [`crate::worker::run`].
    pub worker: (PathBuf, Vec<String>),
    /// Memory that all processes of the run may take together, bytes.
    pub memory_limit: u64,
    /// Descriptors that a process may have.
    pub descriptors: u64,
    /// What a fleet is held to need before it starts.
    pub costs: MemoryCosts,
    /// Ends the run before its time.
    pub interrupt: Interrupt,
}

/// Why a run gave no figures.
#[derive(Debug)]
pub enum RunError {
    /// Such a fleet can't be.
    Layout(LayoutError),
    /// It has no room on this machine; nothing was started.
    NoRoom(LimitError),
    /// It took more than it may; it was ended.
    TookTooMuch(LimitError),
    /// A worker has ended.
    WorkerEnded {
        /// Its process.
        process: u32,
        /// How it ended.
        how: String,
    },
    /// A worker has said something that it was not asked for.
    WorkerGarbled {
        /// Its process.
        process: u32,
        /// What is wrong with it.
        what: String,
    },
    /// Workers have not done in time what they do at once.
    WorkerSilent {
        /// What was waited for.
        what: &'static str,
    },
    /// SIGINT or SIGTERM.
    Interrupted,
    /// A process, pipe, socket or thread could not be had.
    Io(io::Error),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Layout(e) => write!(f, "{e}"),
            RunError::NoRoom(e) | RunError::TookTooMuch(e) => write!(f, "{e}"),
            RunError::WorkerEnded { process, how } => {
                write!(f, "the worker with process number {process} has ended ({how})")
            }
            RunError::WorkerGarbled { process, what } => {
                write!(f, "the worker with process number {process} can't be understood: {what}")
            }
            RunError::WorkerSilent { what } => write!(f, "the workers are too slow: {what}"),
            RunError::Interrupted => write!(f, "interrupted"),
            RunError::Io(e) => write!(f, "the fleet can't be run: {e}"),
        }
    }
}

impl std::error::Error for RunError {}

impl RunError {
    /// Whether it is the input that can't be used: nothing was started.
    pub fn is_input(&self) -> bool {
        matches!(self, RunError::Layout(_) | RunError::NoRoom(_))
    }
}

impl From<io::Error> for RunError {
    fn from(e: io::Error) -> Self {
        RunError::Io(e)
    }
}

/// Checks that a fleet can be run here, without starting anything.
///
/// # Errors
/// Why it can't.
pub fn check(plan: &Plan, environment: &Environment) -> Result<Layout, RunError> {
    let layout = plan.layout().map_err(RunError::Layout)?;
    limits::check(&layout, &environment.costs, environment.memory_limit, environment.descriptors)
        .map_err(RunError::NoRoom)?;
    Ok(layout)
}

/// Runs the fleet of a plan to its end, and tells each step; no process is left when this returns.
///
/// The figures have no value for what was not reached in the time that the plan gives to each phase; the budget's
/// verdict is not in them yet.
///
/// # Errors
/// Why there are no figures.
pub fn run(
    plan: &Plan,
    environment: &Environment,
    tell: &mut dyn FnMut(String),
) -> Result<Figures, RunError> {
    let layout = check(plan, environment)?;
    let registry = Registry::start(plan)?;
    let (send, events) = mpsc::sync_channel(EVENTS);
    let (program, arguments) = &environment.worker;
    let processes = Processes::start(layout.workers(), program, arguments, &send)?;
    for worker in 0..layout.workers() {
        let nodes = layout.worker_nodes(worker);
        let process = processes.id(worker as usize);
        tell(format!("worker process {process}: nodes {} to {}", nodes.start, nodes.end - 1));
    }
    let progress = vec![Progress::default(); layout.workers() as usize];
    let (looked, peak) = (Instant::now(), 0);
    let mut fleet = Fleet { plan, layout, environment, processes, events, progress, looked, peak };
    let mut figures = Figures {
        nodes: layout.nodes(),
        regions: layout.regions(),
        domain: layout.largest_domain(),
        workers: layout.workers(),
        seed: plan.seed,
        ..Figures::default()
    };
    fleet.measure(&registry, &mut figures, tell)?;
    tell(format!("all processes had {} MiB of memory at the most", fleet.peak / limits::MIB));
    Ok(figures)
}

/// A fleet that runs.
struct Fleet<'a> {
    plan: &'a Plan,
    layout: Layout,
    environment: &'a Environment,
    processes: Processes,
    events: Receiver<Event>,
    progress: Vec<Progress>,
    /// When signals and memory were last looked at.
    looked: Instant,
    /// The most resident memory that all processes had together at any look, bytes.
    peak: u64,
}

fn seconds(from: Micros, to: Micros) -> f64 {
    to.saturating_sub(from) as f64 / 1e6
}

fn reached(what: &str, after: Option<f64>) -> String {
    match after {
        Some(after) => format!("{what} after {after:.2} s"),
        None => format!("{what}: not in the time given"),
    }
}

impl Fleet<'_> {
    /// The phases of the run; the figures keep what was reached.
    fn measure(
        &mut self,
        registry: &Registry,
        figures: &mut Figures,
        tell: &mut dyn FnMut(String),
    ) -> Result<(), RunError> {
        let peers = self.bind()?;
        let begun = MonotonicClock::now();
        self.processes.tell_all(&Order::Start { peers, discovery: registry.address() })?;

        figures.converged_s = self.until_all(|progress| progress.complete)?.map(|at| seconds(begun, at));
        tell(reached("all know of all", figures.converged_s));
        if figures.converged_s.is_some() {
            figures.rested_s = self.until_all(|progress| progress.rested)?.map(|at| seconds(begun, at));
            tell(reached("all are at rest", figures.rested_s));
        }
        if figures.rested_s.is_some() {
            self.sample_window(figures)?;
            let number = self.plan.victim();
            tell(format!("node {number} is killed"));
            figures.death_known_s = self.kill(number)?;
            tell(reached("all hold it dead", figures.death_known_s));
        }
        let ended = self.sample()?;
        figures.false_deaths = ended.iter().map(|sample| sample.false_deaths).sum();
        figures.stalls = ended.iter().map(|sample| sample.stalls).sum();
        Ok(())
    }

    /// Has all workers open their sockets; the addresses of all nodes.
    fn bind(&mut self) -> Result<Vec<SocketAddr>, RunError> {
        for worker in 0..self.layout.workers() {
            self.processes.tell(worker as usize, &Order::Bind { plan: self.plan.clone(), worker })?;
        }
        let bound = self.answers("their sockets are not open yet", |report| match report {
            Report::Bound { addresses } => Ok(addresses),
            other => Err(other),
        })?;
        Ok(bound.into_iter().flatten().collect())
    }

    fn sample(&mut self) -> Result<Vec<Sample>, RunError> {
        self.processes.tell_all(&Order::Sample)?;
        self.answers("a sample is not there yet", |report| match report {
            Report::Sample(sample) => Ok(sample),
            other => Err(other),
        })
    }

    /// The rates and the memory of a window of time at rest.
    fn sample_window(&mut self, figures: &mut Figures) -> Result<(), RunError> {
        let begun = self.sample()?;
        let ends = Instant::now() + self.plan.window;
        while let Some(event) = self.event(ends)? {
            self.take(event)?;
        }
        let ended = self.sample()?;
        let rates = rates(&begun, &ended, self.plan.nodes);
        figures.udp_bytes_s = Some(rates.udp_bytes);
        figures.tcp_bytes_s = Some(rates.tcp_bytes);
        figures.datagrams_s = Some(rates.datagrams);
        figures.cpu_us_s = Some(rates.cpu);
        figures.memory_bytes = Some(self.processes.resident() / u64::from(self.plan.nodes));
        Ok(())
    }

    /// Kills a node; the seconds until all others of its domain hold it dead, if they do in time.
    fn kill(&mut self, number: u32) -> Result<Option<f64>, RunError> {
        self.processes.tell_all(&Order::Kill { number })?;
        let owner = self.layout.worker_of(number) as usize;
        let ends = Instant::now() + ANSWER;
        let killed = loop {
            match self.event(ends)? {
                Some(Event::Said(worker, Report::Killed { at })) if worker == owner => break at,
                Some(event) => self.take(event)?,
                None => return Err(RunError::WorkerSilent { what: "a node is not killed yet" }),
            }
        };
        let witnesses = (0..self.layout.workers()).map(|worker| self.layout.witnesses(worker, number));
        let known = self.until(Convergence::new(witnesses.collect()), |progress| progress.informed)?;
        Ok(known.map(|at| seconds(killed, at)))
    }

    /// Waits until all nodes have come so far; when the last one did, if they do in the time of a phase.
    fn until_all(&mut self, of: fn(&Progress) -> Reached) -> Result<Option<Micros>, RunError> {
        let nodes = (0..self.layout.workers()).map(|worker| self.layout.worker_nodes(worker).len() as u32);
        self.until(Convergence::new(nodes.collect()), of)
    }

    fn until(
        &mut self,
        mut convergence: Convergence,
        of: fn(&Progress) -> Reached,
    ) -> Result<Option<Micros>, RunError> {
        let ends = Instant::now() + self.plan.phase;
        loop {
            for (worker, progress) in self.progress.iter().enumerate() {
                convergence.observe(worker, of(progress));
            }
            if let Some(at) = convergence.at() {
                return Ok(Some(at));
            }
            let Some(event) = self.event(ends)? else { return Ok(None) };
            self.take(event)?;
        }
    }

    /// Waits for one answer of each worker, in their order.
    fn answers<T>(
        &mut self,
        what: &'static str,
        of: impl Fn(Report) -> Result<T, Report>,
    ) -> Result<Vec<T>, RunError> {
        let ends = Instant::now() + ANSWER;
        let mut answers: Vec<Option<T>> = self.progress.iter().map(|_| None).collect();
        while answers.iter().any(Option::is_none) {
            match self.event(ends)? {
                Some(Event::Said(worker, report)) => match of(report) {
                    Ok(answer) => answers[worker] = Some(answer),
                    Err(other) => self.take(Event::Said(worker, other))?,
                },
                Some(event) => self.take(event)?,
                None => return Err(RunError::WorkerSilent { what }),
            }
        }
        Ok(answers.into_iter().flatten().collect())
    }

    /// The next event before a time; looks at signals and memory meanwhile, however many events there are.
    fn event(&mut self, ends: Instant) -> Result<Option<Event>, RunError> {
        loop {
            if self.looked.elapsed() >= LOOK_EVERY {
                self.look()?;
            }
            let left = ends.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(None);
            }
            match self.events.recv_timeout(left.min(LOOK_EVERY)) {
                Ok(event) => return Ok(Some(event)),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(RunError::WorkerSilent { what: "all have ended" });
                }
            }
        }
    }

    fn look(&mut self) -> Result<(), RunError> {
        self.looked = Instant::now();
        if self.environment.interrupt.came() {
            return Err(RunError::Interrupted);
        }
        let used = self.processes.resident() + host::resident(std::process::id());
        self.peak = self.peak.max(used);
        limits::check_used(used, self.environment.memory_limit).map_err(RunError::TookTooMuch)
    }

    /// Takes an event that nobody waits for.
    fn take(&mut self, event: Event) -> Result<(), RunError> {
        match event {
            Event::Said(worker, Report::Progress(progress)) => {
                self.progress[worker] = progress;
                Ok(())
            }
            Event::Said(worker, Report::Failed { why }) => {
                Err(RunError::WorkerEnded { process: self.processes.id(worker), how: why })
            }
            Event::Said(worker, other) => {
                let what = format!("not asked for: {other:?}");
                Err(RunError::WorkerGarbled { process: self.processes.id(worker), what })
            }
            Event::Garbled(worker, what) => {
                Err(RunError::WorkerGarbled { process: self.processes.id(worker), what })
            }
            Event::Ended(worker) => {
                let process = self.processes.id(worker);
                let how = self.processes.ended(worker).map_or("unknown".into(), |status| status.to_string());
                Err(RunError::WorkerEnded { process, how })
            }
        }
    }
}
