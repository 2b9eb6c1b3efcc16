//! A node of a fleet: a daemon process, or a stub node in its place.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use stonevane_audit::{Event, HistoryRecord, TimeInterval};
use stonevane_emulators::{MonotonicClock, Recorder};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::faulty_member::FaultyMember;
use crate::stub::{NodeFault, StubNode};

/// Number of lines from the end of a log that an error quotes.
const LOG_TAIL_LINES: usize = 5;
/// Time limit for the answer to a PING.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// A build of the daemon with its operator file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Operator file passed with `--operator`; `None` to start without one.
    pub operator: Option<PathBuf>,
}

impl From<PathBuf> for Program {
    fn from(path: PathBuf) -> Program {
        Program { path, operator: None }
    }
}

/// Implementation of a node: the daemon, or a stub.
#[derive(Debug, Clone)]
pub enum NodeKind {
    /// A daemon process.
    Process(Program),
    /// A stub node, either correct or with a fault.
    Stub(NodeFault),
    /// A stub node that serves correctly, with a faulty member of the fleet beside it.
    FaultyMember(FaultyMember),
}

/// A node and its current incarnation.
pub struct Node {
    kind: NodeKind,
    stub: StubNode,
    folder: PathBuf,
    running: Option<Running>,
    /// Time of the last check of the incarnation, in microseconds.
    last_seen: u64,
    recorder: Recorder,
}

/// A running incarnation.
enum Running {
    Process(Child),
    /// A stub node, which ends once the channel holds `true`.
    Stub(watch::Sender<bool>),
}

impl Drop for Running {
    fn drop(&mut self) {
        // An interrupted lab must not leave processes running.
        if let Running::Process(child) = self {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// End of an incarnation.
pub struct Ended {
    /// Interval in which the incarnation ended.
    pub time: TimeInterval,
    /// Exit status; `None` for a stub node.
    pub status: Option<ExitStatus>,
}

/// Error for a node that did not become ready in time.
#[derive(Debug, thiserror::Error)]
#[error("node {node} did not become ready within 10 s; its log ends: {log}")]
pub struct NotReady {
    node: String,
    /// Last lines of the node's log.
    log: String,
}

/// Whether a pause is recorded in the history. A slowed process is paused many times, and only the slowdown
/// is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseRecord {
    /// The pause is recorded.
    Recorded,
    /// The pause is one of many short ones and is not recorded.
    Silent,
}

impl Node {
    /// Creates a node that has not started yet. Its configuration and log are kept in `folder`.
    pub fn new(kind: NodeKind, stub: StubNode, folder: &Path, recorder: Recorder) -> Node {
        Node { kind, stub, folder: folder.into(), running: None, last_seen: 0, recorder }
    }

    fn record(&self, time: TimeInterval, state: &str) {
        tracing::info!(node = self.stub.name, state, pid = self.pid(), "node state changed");
        self.recorder.record(HistoryRecord {
            time,
            recorder: "lab".into(),
            event: Event::Node,
            node: self.stub.name.clone(),
            state: state.into(),
            ..HistoryRecord::default()
        });
    }

    /// Records a state reached at some time between `earliest` (in microseconds) and now.
    fn record_since(&self, earliest: u64, state: &str) {
        self.record(TimeInterval { earliest, latest: MonotonicClock::now() }, state);
    }

    /// Starts a new incarnation with a configuration. The previous one may still hold its address.
    ///
    /// # Errors
    /// If a file can't be written or the process can't be spawned.
    pub fn start(&mut self, config: &str) -> io::Result<()> {
        let begun = MonotonicClock::now();
        let running = match &self.kind {
            NodeKind::Process(program) => Running::Process(self.spawn(program, config)?),
            NodeKind::Stub(fault) => {
                let (terminate, terminated) = watch::channel(false);
                tokio::spawn(self.stub.clone().run(*fault, terminated));
                Running::Stub(terminate)
            }
            NodeKind::FaultyMember(member) => {
                let (terminate, terminated) = watch::channel(false);
                tokio::spawn(self.stub.clone().run(NodeFault::None, terminated.clone()));
                tokio::spawn(member.clone().run(terminated));
                Running::Stub(terminate)
            }
        };
        self.running = Some(running);
        self.last_seen = begun;
        self.record_since(begun, "starting");
        Ok(())
    }

    fn spawn(&self, program: &Program, config: &str) -> io::Result<Child> {
        let config_path = self.write_config(config)?;
        let log = std::fs::File::options().create(true).append(true).open(self.log_path())?;
        let mut command = Command::new(&program.path);
        if let Some(operator) = &program.operator {
            command.arg("--operator").arg(operator);
        }
        // The process ends with the lab, so that none is left behind if the lab is killed.
        command.arg("--ends-with").arg(std::process::id().to_string());
        command
            .env("ROUTER_CONFIG", &config_path)
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
    }

    /// Writes the configuration file. Returns its path.
    fn write_config(&self, config: &str) -> io::Result<PathBuf> {
        let path = self.folder.join(format!("{}.json", self.stub.name));
        std::fs::write(&path, config)?;
        Ok(path)
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.stub.name))
    }

    /// Records that the node became ready within this interval.
    pub fn record_ready(&self, time: TimeInterval) {
        self.record(time, "ready");
    }

    /// Returns the error for a node that did not become ready, with the end of its log.
    pub fn not_ready(&self) -> NotReady {
        let text = std::fs::read_to_string(self.log_path()).unwrap_or_default();
        let lines: Vec<_> = text.lines().collect();
        let log = lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n");
        NotReady { node: self.stub.name.clone(), log }
    }

    /// Returns the id of the node's process; `None` for a stub node or if no process runs.
    pub fn pid(&self) -> Option<u32> {
        match &self.running {
            Some(Running::Process(child)) => Some(child.id()),
            _ => None,
        }
    }

    /// Kills the process, waits for its end and records it.
    pub fn kill(&mut self) {
        let begun = MonotonicClock::now();
        if let Some(Running::Process(child)) = &mut self.running {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.running = None;
        self.record_since(begun, "killed");
    }

    fn signal(&self, signal: Signal) {
        let pid = self.pid().and_then(|pid| i32::try_from(pid).ok()).and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self, record: PauseRecord) {
        let begun = MonotonicClock::now();
        self.signal(Signal::STOP);
        if record == PauseRecord::Recorded {
            self.record_since(begun, "paused");
        }
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self, record: PauseRecord) {
        let begun = MonotonicClock::now();
        self.signal(Signal::CONT);
        if record == PauseRecord::Recorded {
            self.record_since(begun, "resumed");
        }
    }

    /// Records the end of one pause while another step still pauses the process.
    pub fn record_resumed(&self) {
        self.record(MonotonicClock::moment(), "resumed");
    }

    /// Records the beginning or the end of a slowdown.
    pub fn record_slowed(&self, slowed: bool) {
        self.record(MonotonicClock::moment(), if slowed { "slowed" } else { "steady" });
    }

    /// Writes a new configuration and sends SIGHUP, on which the node reloads it.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn reload(&self, config: &str) -> io::Result<()> {
        self.write_config(config)?;
        self.signal(Signal::HUP);
        self.record(MonotonicClock::moment(), "reloaded");
        Ok(())
    }

    /// Signals the node to terminate; does nothing if it does not run.
    pub fn terminate(&self) {
        let begun = MonotonicClock::now();
        match &self.running {
            Some(Running::Process(_)) => self.signal(Signal::TERM),
            Some(Running::Stub(terminate)) => drop(terminate.send(true)),
            None => return,
        }
        self.record_since(begun, "term");
    }

    /// Returns the end of the incarnation if it has ended since the last call. A stub node counts as ended as
    /// soon as it is signalled.
    pub fn poll_end(&mut self) -> Option<Ended> {
        let now = MonotonicClock::now();
        let status = match &mut self.running {
            Some(Running::Process(child)) => child.try_wait().ok().flatten().map(Some),
            Some(Running::Stub(terminate)) => (*terminate.borrow()).then_some(None),
            None => None,
        };
        let earliest = std::mem::replace(&mut self.last_seen, now);
        status.map(|status| Ended { time: TimeInterval { earliest, latest: now }, status })
    }

    /// Records that the incarnation has ended; `crashed` marks a failure.
    pub fn record_end(&mut self, time: TimeInterval, crashed: bool) {
        self.running = None;
        if crashed {
            self.record(time, "crashed");
        }
        self.record(time, "exited");
    }
}

/// Sends a PING. Returns whether the node answers that it is ready.
///
/// # Errors
/// If the node does not accept the connection or the PING can't be sent.
pub async fn ping(address: SocketAddr) -> io::Result<bool> {
    const PONG: &[u8; 7] = b"+PONG\r\n";
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
    let mut answer = [0; PONG.len()];
    let read = tokio::time::timeout(PING_TIMEOUT, stream.read_exact(&mut answer)).await;
    Ok(matches!(read, Ok(Ok(_))) && answer == *PONG)
}
