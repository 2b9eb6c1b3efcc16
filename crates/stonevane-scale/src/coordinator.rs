//! The run of one fleet: starts the workers and the discovery emulator, measures each phase, and ends the
//! processes.

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

/// Interval at which memory and signals are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Capacity of the event queue; the threads that read the workers' reports block while it is full.
const EVENT_QUEUE_LENGTH: usize = 1_024;
/// Limit on the time that workers take to open their sockets, to answer with a sample and to kill a node.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
const MICROS_PER_SECOND: f64 = 1e6;

/// Resources and limits of a run.
#[derive(Debug, Clone)]
pub struct Environment {
    /// Program of a worker, and its arguments: it must call [`crate::worker::run`].
    pub worker: (PathBuf, Vec<String>),
    /// Limit on the resident memory of all processes of the run together, in bytes.
    pub memory_limit_bytes: u64,
    /// Limit on the file descriptors of a process.
    pub max_descriptors: u64,
    /// Memory costs from which the memory of a fleet is estimated; the estimate is checked against the limit
    /// before the fleet starts.
    pub costs: MemoryCosts,
    /// Set by SIGINT and SIGTERM; interrupts the run.
    pub interrupt: Interrupt,
}

/// An error that ends a run without figures.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The fleet cannot be laid out.
    #[error("{0}")]
    Layout(LayoutError),
    /// The fleet would exceed the limits of this machine; nothing was started.
    #[error("{0}")]
    LimitExceeded(LimitError),
    /// The run exceeded its memory limit and was ended.
    #[error("{0}")]
    MemoryLimitExceeded(LimitError),
    /// A worker has failed or its process has ended.
    #[error("the worker with process number {process} has ended ({how})")]
    WorkerEnded {
        /// Process id of the worker.
        process: u32,
        /// Error reported by the worker, or exit status of its process.
        how: String,
    },
    /// A worker has sent a malformed or an unexpected report.
    #[error("the worker with process number {process} can't be understood: {what}")]
    WorkerMalformed {
        /// Process id of the worker.
        process: u32,
        /// What is wrong with the report.
        what: String,
    },
    /// Workers have not answered within the time limit.
    #[error("the workers are too slow: {what}")]
    WorkerTimeout {
        /// State of the workers at the timeout.
        what: &'static str,
    },
    /// The process received SIGINT or SIGTERM.
    #[error("interrupted")]
    Interrupted,
    /// A process, pipe, socket or thread failed.
    #[error("the fleet can't be run: {0}")]
    Io(#[from] io::Error),
}

impl RunError {
    /// Whether the input is invalid. In that case no process was started.
    pub fn is_invalid_input(&self) -> bool {
        matches!(self, RunError::Layout(_) | RunError::LimitExceeded(_))
    }
}

/// Checks that a fleet can be run here, without starting anything.
///
/// # Errors
/// The fleet cannot be laid out or would exceed the limits.
pub fn check(plan: &Plan, environment: &Environment) -> Result<Layout, RunError> {
    let layout = plan.layout().map_err(RunError::Layout)?;
    limits::check(&layout, &environment.costs, environment.memory_limit_bytes, environment.max_descriptors)
        .map_err(RunError::LimitExceeded)?;
    Ok(layout)
}

/// Runs the fleet of a plan, and passes one line of text per step to `report`. No worker process is left when
/// this returns.
///
/// A figure of a phase that did not finish within [`Plan::phase`] is `None`. The caller compares the figures
/// with the budget and sets [`Figures::within_budget`].
///
/// # Errors
/// The run ended without figures; see [`RunError`].
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
    let (last_check, peak_memory_bytes) = (Instant::now(), 0);
    let mut fleet =
        Fleet { plan, layout, environment, processes, events, progress, last_check, peak_memory_bytes };
    let mut figures = Figures {
        nodes: layout.nodes(),
        regions: layout.regions(),
        domain: layout.largest_domain(),
        workers: layout.workers(),
        seed: plan.seed,
        ..Figures::default()
    };
    fleet.measure(&discovery, &mut figures, report)?;
    report(format!("peak memory of all processes: {} MiB", fleet.peak_memory_bytes / limits::MIB));
    Ok(figures)
}

/// A running fleet.
struct Fleet<'a> {
    plan: &'a Plan,
    layout: Layout,
    environment: &'a Environment,
    processes: Processes,
    events: Receiver<Event>,
    progress: Vec<Progress>,
    /// Time of the last check of signals and memory.
    last_check: Instant,
    /// Maximum over all checks of the resident memory of all processes together, in bytes.
    peak_memory_bytes: u64,
}

fn seconds(from: Micros, to: Micros) -> f64 {
    to.saturating_sub(from) as f64 / MICROS_PER_SECOND
}

fn step_line(event: &str, after_s: Option<f64>) -> String {
    match after_s {
        Some(after_s) => format!("{event} after {after_s:.2} s"),
        None => format!("{event}: not within the time limit of the phase"),
    }
}

impl Fleet<'_> {
    /// Runs the phases and writes their results into `figures`.
    fn measure(
        &mut self,
        discovery: &DiscoveryService,
        figures: &mut Figures,
        report: &mut dyn FnMut(String),
    ) -> Result<(), RunError> {
        let peers = self.bind()?;
        let started_at = MonotonicClock::now();
        self.processes.send_all(&Command::Start { peers, discovery: discovery.address() })?;

        figures.converged_s = self.until_all(|progress| progress.complete)?.map(|at| seconds(started_at, at));
        report(step_line("all know of all", figures.converged_s));
        if figures.converged_s.is_some() {
            figures.rested_s = self.until_all(|progress| progress.rested)?.map(|at| seconds(started_at, at));
            report(step_line("all are at rest", figures.rested_s));
        }
        if figures.rested_s.is_some() {
            self.sample_window(figures)?;
            let number = self.plan.victim();
            report(format!("killing node {number}"));
            figures.death_known_s = self.kill(number)?;
            report(step_line("its death is known to all", figures.death_known_s));
        }
        let samples = self.sample()?;
        figures.false_deaths = samples.iter().map(|sample| sample.false_deaths).sum();
        figures.stalls = samples.iter().map(|sample| sample.stalls).sum();
        Ok(())
    }

    /// Has all workers open their sockets, and returns the addresses of all nodes, ordered by number.
    fn bind(&mut self) -> Result<Vec<SocketAddr>, RunError> {
        for worker in 0..self.layout.workers() {
            self.processes.send(worker as usize, &Command::Bind { plan: self.plan.clone(), worker })?;
        }
        let bound = self.answers("not all have opened their sockets", |report| match report {
            Report::Bound { addresses } => Ok(addresses),
            other => Err(other),
        })?;
        Ok(bound.into_iter().flatten().collect())
    }

    fn sample(&mut self) -> Result<Vec<Sample>, RunError> {
        self.processes.send_all(&Command::Sample)?;
        self.answers("not all have sent a sample", |report| match report {
            Report::Sample(sample) => Ok(sample),
            other => Err(other),
        })
    }

    /// Measures the rates over [`Plan::window`], with the fleet at rest, and the memory at the end of the
    /// window.
    fn sample_window(&mut self, figures: &mut Figures) -> Result<(), RunError> {
        let start = self.sample()?;
        let deadline = Instant::now() + self.plan.window;
        while let Some(event) = self.next_event(deadline)? {
            self.handle(event)?;
        }
        let end = self.sample()?;
        let rates = rates(&start, &end, self.plan.nodes);
        figures.udp_bytes_s = Some(rates.udp_bytes);
        figures.tcp_bytes_s = Some(rates.tcp_bytes);
        figures.datagrams_s = Some(rates.datagrams);
        figures.cpu_us_s = Some(rates.cpu_us);
        figures.memory_bytes = Some(self.processes.resident_bytes() / u64::from(self.plan.nodes));
        Ok(())
    }

    /// Kills a node, and returns the seconds until all others of its domain have declared it dead; `None` if
    /// the phase times out.
    fn kill(&mut self, number: u32) -> Result<Option<f64>, RunError> {
        self.processes.send_all(&Command::Kill { number })?;
        let owner = self.layout.worker_of(number) as usize;
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let killed_at = loop {
            match self.next_event(deadline)? {
                Some(Event::Report(worker, Report::Killed { at })) if worker == owner => break at,
                Some(event) => self.handle(event)?,
                None => return Err(RunError::WorkerTimeout { what: "the node has not been killed" }),
            }
        };
        let survivors = (0..self.layout.workers()).map(|worker| self.layout.survivors(worker, number));
        let known_at = self.until(Convergence::new(survivors.collect()), |progress| progress.informed)?;
        Ok(known_at.map(|at| seconds(killed_at, at)))
    }

    /// Waits until all nodes have reached a state, and returns the time at which the last one did; `None` if
    /// the phase times out.
    fn until_all(&mut self, select: fn(&Progress) -> Reached) -> Result<Option<Micros>, RunError> {
        let nodes = (0..self.layout.workers()).map(|worker| self.layout.worker_nodes(worker).len() as u32);
        self.until(Convergence::new(nodes.collect()), select)
    }

    fn until(
        &mut self,
        mut convergence: Convergence,
        select: fn(&Progress) -> Reached,
    ) -> Result<Option<Micros>, RunError> {
        let deadline = Instant::now() + self.plan.phase;
        loop {
            for (worker, progress) in self.progress.iter().enumerate() {
                convergence.observe(worker, select(progress));
            }
            if let Some(at) = convergence.at() {
                return Ok(Some(at));
            }
            let Some(event) = self.next_event(deadline)? else { return Ok(None) };
            self.handle(event)?;
        }
    }

    /// Waits for one answer from each worker, and returns the answers in the order of the workers. `missing`
    /// is the text of the timeout error; `select` returns a report that is not the answer as an error.
    fn answers<T>(
        &mut self,
        missing: &'static str,
        select: impl Fn(Report) -> Result<T, Report>,
    ) -> Result<Vec<T>, RunError> {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let mut answers: Vec<Option<T>> = self.progress.iter().map(|_| None).collect();
        while answers.iter().any(Option::is_none) {
            match self.next_event(deadline)? {
                Some(Event::Report(worker, report)) => match select(report) {
                    Ok(answer) => answers[worker] = Some(answer),
                    Err(other) => self.handle(Event::Report(worker, other))?,
                },
                Some(event) => self.handle(event)?,
                None => return Err(RunError::WorkerTimeout { what: missing }),
            }
        }
        Ok(answers.into_iter().flatten().collect())
    }

    /// Returns the next event; `None` once the deadline has passed. Checks signals and memory at
    /// [`CHECK_INTERVAL`], also while events arrive without a pause.
    fn next_event(&mut self, deadline: Instant) -> Result<Option<Event>, RunError> {
        loop {
            if self.last_check.elapsed() >= CHECK_INTERVAL {
                self.check_limits()?;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(None);
            }
            match self.events.recv_timeout(remaining.min(CHECK_INTERVAL)) {
                Ok(event) => return Ok(Some(event)),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(RunError::WorkerTimeout { what: "all have closed their output" });
                }
            }
        }
    }

    fn check_limits(&mut self) -> Result<(), RunError> {
        self.last_check = Instant::now();
        if self.environment.interrupt.is_set() {
            return Err(RunError::Interrupted);
        }
        let used = self.processes.resident_bytes() + host::resident_bytes(std::process::id());
        self.peak_memory_bytes = self.peak_memory_bytes.max(used);
        limits::check_used(used, self.environment.memory_limit_bytes).map_err(RunError::MemoryLimitExceeded)
    }

    /// Handles an event that is not the awaited answer: stores progress and turns any other event into an
    /// error.
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
                let how = self.processes.wait(worker).map_or("unknown".into(), |status| status.to_string());
                Err(RunError::WorkerEnded { process, how })
            }
        }
    }
}
