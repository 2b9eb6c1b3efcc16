//! A worker: the event loop of many stub nodes in one process, controlled by commands of the coordinator.
//! Each node has its own UDP socket and its own connection to discovery, so that peers identify it by its
//! address, as they do a daemon.

use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::process::{Signal, getppid, set_parent_process_death_signal};
use rustix::time::{ClockId, clock_gettime};
use stonevane_node::datagrams::PeerTable;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use crate::Micros;
use crate::figures::Sample;
use crate::layout::Layout;
use crate::message::{Command, Progress, Report};
use crate::plan::{Plan, PlanError};
use crate::stub_driver::{Shared, StubDriver};
use crate::stub_node::Setup;

/// Interval at which progress is reported if it has changed.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
const MICROS_PER_SECOND: Micros = 1_000_000;
const NANOS_PER_MICRO: Micros = 1_000;

/// An error that ends a worker.
#[derive(Debug, thiserror::Error)]
pub enum WorkerError {
    /// A socket, a pipe or a task failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A command is malformed or out of order.
    #[error("invalid command: {0}")]
    Command(String),
    /// The plan, or a setting that it gives to the nodes, is invalid.
    #[error("invalid plan: {0}")]
    Plan(#[from] PlanError),
    /// The process that started this worker has ended.
    #[error("the process that started this worker has ended")]
    Orphaned,
}

/// Runs a worker on standard input and output until its input ends. With `parent`, a process id, the kernel
/// kills this process when the parent ends.
///
/// # Errors
/// The worker has failed. Unless it could not start, it has sent [`Report::Failed`] to the coordinator.
pub fn run(parent: Option<u32>) -> Result<(), WorkerError> {
    if let Some(parent) = parent {
        set_parent_death_signal(parent)?;
    }
    let (sender, commands) = mpsc::unbounded_channel();
    std::thread::Builder::new().name("commands".into()).spawn(move || {
        for line in io::stdin().lock().lines() {
            let Ok(line) = line else { return };
            if sender.send(line).is_err() {
                return;
            }
        }
    })?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let done = runtime.block_on(serve(commands));
    if let Err(e) = &done {
        let _ = send(&Report::Failed { why: e.to_string() });
    }
    done
}

/// Has the kernel kill this process when `parent` ends; fails if `parent` has ended already.
fn set_parent_death_signal(parent: u32) -> Result<(), WorkerError> {
    set_parent_process_death_signal(Some(Signal::KILL)).map_err(io::Error::from)?;
    let parent_alive = getppid().is_some_and(|pid| pid.as_raw_nonzero().get().unsigned_abs() == parent);
    if parent_alive { Ok(()) } else { Err(WorkerError::Orphaned) }
}

fn send(report: &Report) -> io::Result<()> {
    let mut line = serde_json::to_string(report)?;
    line.push('\n');
    let mut out = io::stdout().lock();
    out.write_all(line.as_bytes())?;
    out.flush()
}

/// Executes commands and reports progress until the commands end.
async fn serve(mut commands: mpsc::UnboundedReceiver<String>) -> Result<(), WorkerError> {
    let mut worker = Worker::default();
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            line = commands.recv() => {
                let Some(line) = line else { return Ok(()) };
                let command =
                    serde_json::from_str(&line).map_err(|e| WorkerError::Command(e.to_string()))?;
                worker.execute(command).await?;
            }
            _ = ticks.tick() => worker.report_progress()?,
        }
    }
}

/// A running node.
struct RunningNode {
    driver: Arc<StubDriver>,
    task: JoinHandle<()>,
}

/// State of a worker.
#[derive(Default)]
struct Worker {
    bound: Option<Bound>,
    shared: Option<Arc<Shared>>,
    /// Running nodes, by node number.
    nodes: HashMap<u32, RunningNode>,
    /// Progress that was reported last.
    reported: Progress,
}

/// Sockets of nodes that have not been started, in the order of `numbers`.
struct Bound {
    plan: Plan,
    layout: Layout,
    numbers: Range<u32>,
    sockets: Vec<UdpSocket>,
}

impl Worker {
    async fn execute(&mut self, command: Command) -> Result<(), WorkerError> {
        match command {
            Command::Bind { plan, worker } => self.bind(plan, worker).await,
            Command::Start { peers, discovery } => self.start(peers, discovery),
            Command::Sample => Ok(send(&Report::Sample(self.sample()?))?),
            Command::Kill { number } => self.kill(number).await,
        }
    }

    async fn bind(&mut self, plan: Plan, worker: u32) -> Result<(), WorkerError> {
        let layout = plan.layout().map_err(PlanError::Layout)?;
        let numbers = layout.worker_nodes(worker);
        let mut sockets = Vec::new();
        for _ in numbers.clone() {
            sockets.push(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        }
        let addresses = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        self.bound = Some(Bound { plan, layout, numbers, sockets });
        Ok(send(&Report::Bound { addresses })?)
    }

    fn start(&mut self, peers: Vec<SocketAddr>, discovery: SocketAddr) -> Result<(), WorkerError> {
        let bound = self
            .bound
            .take()
            .ok_or_else(|| WorkerError::Command("`start` without a preceding `bind`".into()))?;
        let Bound { plan, layout, numbers, sockets } = bound;
        let shared = Arc::new(Shared::new(PeerTable::new(peers)));
        let started_at = shared.clock.now();
        for (number, socket) in numbers.zip(sockets) {
            let setup = Setup {
                number,
                domain: layout.domain_of(number),
                membership: plan.membership,
                machine_seed: plan.machine_seed(number),
                core_seed: plan.core_seed(number),
                deployment: plan.deployment(number)?,
                discovery,
            };
            let start_at = started_at + plan.start_delay(number);
            let driver = StubDriver::new(start_at, setup, socket, shared.clone());
            let task = tokio::spawn(driver.clone().run(start_at));
            self.nodes.insert(number, RunningNode { driver, task });
        }
        self.shared = Some(shared);
        Ok(())
    }

    fn shared(&self) -> Result<&Arc<Shared>, WorkerError> {
        self.shared
            .as_ref()
            .ok_or_else(|| WorkerError::Command("no nodes have been started; `start` must come first".into()))
    }

    fn sample(&self) -> Result<Sample, WorkerError> {
        let shared = self.shared()?;
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let cpu = clock_gettime(ClockId::ProcessCPUTime);
        let mut sample = Sample {
            at: shared.clock.now(),
            cpu: cpu.tv_sec as Micros * MICROS_PER_SECOND + cpu.tv_nsec as Micros / NANOS_PER_MICRO,
            datagrams: load(&shared.totals.datagrams),
            udp_bytes: load(&shared.totals.udp_bytes),
            tcp_bytes: load(&shared.traffic.sent) + load(&shared.traffic.received),
            ..Sample::default()
        };
        for running in self.nodes.values() {
            let anomalies = running.driver.anomalies();
            sample.stalls += anomalies.stalls;
            sample.false_deaths += anomalies.false_deaths;
        }
        Ok(sample)
    }

    /// Ends the node if this worker runs it, and has the other nodes of the worker watch for its death.
    async fn kill(&mut self, number: u32) -> Result<(), WorkerError> {
        let shared = self.shared()?.clone();
        let killed = self.nodes.remove(&number);
        for running in self.nodes.values() {
            running.driver.watch_for(number);
        }
        let Some(RunningNode { driver, task }) = killed else { return Ok(()) };
        driver.stop();
        task.abort();
        let _ = task.await;
        // Drops the last reference to the socket, which closes it.
        drop(driver);
        Ok(send(&Report::Killed { at: shared.clock.now() })?)
    }

    fn report_progress(&mut self) -> io::Result<()> {
        let Some(shared) = &self.shared else { return Ok(()) };
        let progress = shared.progress();
        if progress != std::mem::replace(&mut self.reported, progress) {
            send(&Report::Progress(progress))?;
        }
        Ok(())
    }
}
