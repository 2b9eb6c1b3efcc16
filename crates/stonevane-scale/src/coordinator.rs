//! The run of one fleet: starts the workers and discovery, waits for one event after the other, and ends them.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use stonevane_emulators::MonotonicClock;

use crate::Micros;
use crate::convergence::{Convergence, Reached};
use crate::discovery_service::DiscoveryService;
use crate::figures::{Figures, Sample, rates};
use crate::host::{self, Interrupt};
use crate::layout::{Layout, LayoutError};
use crate::limits::{self, LimitError, MemoryCosts};
use crate::message::{Command, Progress, Report};
use crate::plan::Plan;
use crate::processes::{Event, Processes};

/// How often memory and signals are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Events of workers that may wait; their readers wait beyond that.
const EVENT_QUEUE_LENGTH: usize = 1_024;
/// How long workers may take to open their sockets, and to answer with a sample.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
const MICROS_PER_SECOND: f64 = 1e6;

/// What a run needs of its surroundings.
#[derive(Debug, Clone)]
pub struct Environment {
    /// The program of a worker, and its arguments: it is to call [`crate::worker::run`].
    pub worker: (PathBuf, Vec<String>),
    /// Memory that all processes of the run may take together, in bytes.
    pub memory_limit: u64,
    /// Descriptors that a process may have.
    pub descriptors: u64,
    /// The estimate of what a fleet needs, for the check before it starts.
    pub costs: MemoryCosts,
    /// Ends the run before its time.
    pub interrupt: Interrupt,
}

/// Why a run gave no figures.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// Such a fleet cannot be laid out.
    #[error("{0}")]
    Layout(LayoutError),
    /// It exceeds what this machine has; nothing was started.
    #[error("{0}")]
    NoRoom(LimitError),
    /// It took more than it may; it was ended.
    #[error("{0}")]
    TookTooMuch(LimitError),
    /// A worker has ended.
    #[error("the worker with process number {process} has ended ({how})")]
    WorkerEnded {
        /// Its process.
        process: u32,
        /// How it ended.
        how: String,
    },
    /// A worker has sent what it was not asked for.
    #[error("the worker with process number {process} can't be understood: {what}")]
    WorkerMalformed {
        /// Its process.
        process: u32,
        /// What is wrong with it.
        what: String,
    },
    /// Workers have not done in time what they do at once.
    #[error("the workers are too slow: {what}")]
    WorkerSilent {
        /// What was waited for.
        what: &'static str,
    },
    /// SIGINT or SIGTERM.
    #[error("interrupted")]
    Interrupted,
    /// A process, pipe, socket or thread failed.
    #[error("the fleet can't be run: {0}")]
    Io(#[from] io::Error),
}

impl RunError {
    /// Whether it is the input that can't be used: nothing was started.
    pub fn is_input(&self) -> bool {
        matches!(self, RunError::Layout(_) | RunError::NoRoom(_))
    }
}

/// Checks that a fleet can be run here, without starting anything.
///
/// # Errors
/// It cannot.
pub fn check(plan: &Plan, environment: &Environment) -> Result<Layout, RunError> {
    let layout = plan.layout().map_err(RunError::Layout)?;
    limits::check(&layout, &environment.costs, environment.memory_limit, environment.descriptors)
        .map_err(RunError::NoRoom)?;
    Ok(layout)
}

/// Runs the fleet of a plan to its end, and reports each step; no process is left when this returns.
///
/// The figures have no value for what was not reached in the time that the plan gives to each phase; the budget's
/// verdict is not in them yet.
///
/// # Errors
/// The run gave no figures.
pub fn run(
    plan: &Plan,
    environment: &Environment,
    report: &mut dyn FnMut(String),
) -> Result<Figures, RunError> {
    let layout = check(plan, environment)?;
    let discovery = DiscoveryService::start(plan)?;
    let (sender, events) = mpsc::sync_channel(EVENT_QUEUE_LENGTH);
    let (program, arguments) = &environment.worker;
    let processes = Processes::start(layout.workers(), program, arguments, &sender)?;
    for worker in 0..layout.workers() {
        let nodes = layout.worker_nodes(worker);
        let process = processes.id(worker as usize);
        report(format!("worker process {process}: nodes {} to {}", nodes.start, nodes.end - 1));
    }
    let progress = vec![Progress::default(); layout.workers() as usize];
    let (checked, peak) = (Instant::now(), 0);
    let mut fleet = Fleet { plan, layout, environment, processes, events, progress, checked, peak };
    let mut figures = Figures {
        nodes: layout.nodes(),
        regions: layout.regions(),
        domain: layout.largest_domain(),
        workers: layout.workers(),
        seed: plan.seed,
        ..Figures::default()
    };
    fleet.measure(&discovery, &mut figures, report)?;
    report(format!("all processes had {} MiB of memory at the most", fleet.peak / limits::MIB));
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
    /// When signals and memory were last checked.
    checked: Instant,
    /// The most resident memory that all processes had together at any check, in bytes.
    peak: u64,
}

fn seconds(from: Micros, to: Micros) -> f64 {
    to.saturating_sub(from) as f64 / MICROS_PER_SECOND
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
        discovery: &DiscoveryService,
        figures: &mut Figures,
        report: &mut dyn FnMut(String),
    ) -> Result<(), RunError> {
        let peers = self.bind()?;
        let begun = MonotonicClock::now();
        self.processes.send_all(&Command::Start { peers, discovery: discovery.address() })?;

        figures.converged_s = self.until_all(|progress| progress.complete)?.map(|at| seconds(begun, at));
        report(reached("all know of all", figures.converged_s));
        if figures.converged_s.is_some() {
            figures.rested_s = self.until_all(|progress| progress.rested)?.map(|at| seconds(begun, at));
            report(reached("all are at rest", figures.rested_s));
        }
        if figures.rested_s.is_some() {
            self.sample_window(figures)?;
            let number = self.plan.victim();
            report(format!("node {number} is killed"));
            figures.death_known_s = self.kill(number)?;
            report(reached("all hold it dead", figures.death_known_s));
        }
        let ended = self.sample()?;
        figures.false_deaths = ended.iter().map(|sample| sample.false_deaths).sum();
        figures.stalls = ended.iter().map(|sample| sample.stalls).sum();
        Ok(())
    }

    /// Has all workers open their sockets; the addresses of all nodes.
    fn bind(&mut self) -> Result<Vec<SocketAddr>, RunError> {
        for worker in 0..self.layout.workers() {
            self.processes.send(worker as usize, &Command::Bind { plan: self.plan.clone(), worker })?;
        }
        let bound = self.answers("their sockets are not open yet", |report| match report {
            Report::Bound { addresses } => Ok(addresses),
            other => Err(other),
        })?;
        Ok(bound.into_iter().flatten().collect())
    }

    fn sample(&mut self) -> Result<Vec<Sample>, RunError> {
        self.processes.send_all(&Command::Sample)?;
        self.answers("a sample is not there yet", |report| match report {
            Report::Sample(sample) => Ok(sample),
            other => Err(other),
        })
    }

    /// The rates and the memory of a window of time at rest.
    fn sample_window(&mut self, figures: &mut Figures) -> Result<(), RunError> {
        let begun = self.sample()?;
        let deadline = Instant::now() + self.plan.window;
        while let Some(event) = self.next_event(deadline)? {
            self.handle(event)?;
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
        self.processes.send_all(&Command::Kill { number })?;
        let owner = self.layout.worker_of(number) as usize;
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let killed = loop {
            match self.next_event(deadline)? {
                Some(Event::Report(worker, Report::Killed { at })) if worker == owner => break at,
                Some(event) => self.handle(event)?,
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
        let deadline = Instant::now() + self.plan.phase;
        loop {
            for (worker, progress) in self.progress.iter().enumerate() {
                convergence.observe(worker, of(progress));
            }
            if let Some(at) = convergence.at() {
                return Ok(Some(at));
            }
            let Some(event) = self.next_event(deadline)? else { return Ok(None) };
            self.handle(event)?;
        }
    }

    /// Waits for one answer of each worker, in their order.
    fn answers<T>(
        &mut self,
        what: &'static str,
        of: impl Fn(Report) -> Result<T, Report>,
    ) -> Result<Vec<T>, RunError> {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let mut answers: Vec<Option<T>> = self.progress.iter().map(|_| None).collect();
        while answers.iter().any(Option::is_none) {
            match self.next_event(deadline)? {
                Some(Event::Report(worker, report)) => match of(report) {
                    Ok(answer) => answers[worker] = Some(answer),
                    Err(other) => self.handle(Event::Report(worker, other))?,
                },
                Some(event) => self.handle(event)?,
                None => return Err(RunError::WorkerSilent { what }),
            }
        }
        Ok(answers.into_iter().flatten().collect())
    }

    /// The next event before a time; checks signals and memory meanwhile, however many events there are.
    fn next_event(&mut self, deadline: Instant) -> Result<Option<Event>, RunError> {
        loop {
            if self.checked.elapsed() >= CHECK_INTERVAL {
                self.check_limits()?;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(None);
            }
            match self.events.recv_timeout(left.min(CHECK_INTERVAL)) {
                Ok(event) => return Ok(Some(event)),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(RunError::WorkerSilent { what: "all have ended" });
                }
            }
        }
    }

    fn check_limits(&mut self) -> Result<(), RunError> {
        self.checked = Instant::now();
        if self.environment.interrupt.came() {
            return Err(RunError::Interrupted);
        }
        let used = self.processes.resident() + host::resident(std::process::id());
        self.peak = self.peak.max(used);
        limits::check_used(used, self.environment.memory_limit).map_err(RunError::TookTooMuch)
    }

    /// Handles an event that nobody waits for.
    fn handle(&mut self, event: Event) -> Result<(), RunError> {
        match event {
            Event::Report(worker, Report::Progress(progress)) => {
                self.progress[worker] = progress;
                Ok(())
            }
            Event::Report(worker, Report::Failed { why }) => {
                Err(RunError::WorkerEnded { process: self.processes.id(worker), how: why })
            }
            Event::Report(worker, other) => {
                let what = format!("not asked for: {other:?}");
                Err(RunError::WorkerMalformed { process: self.processes.id(worker), what })
            }
            Event::Malformed(worker, what) => {
                Err(RunError::WorkerMalformed { process: self.processes.id(worker), what })
            }
            Event::Ended(worker) => {
                let process = self.processes.id(worker);
                let how = self.processes.ended(worker).map_or("unknown".into(), |status| status.to_string());
                Err(RunError::WorkerEnded { process, how })
            }
        }
    }
}
