//! A node of a fleet: a real process, or a stub that breaks a rule.

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

/// Lines of a log that an error shows.
const LOG_LINES: usize = 5;
/// The time limit for the answer to a PING.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// A build of the daemon, and how it is started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Program {
    /// Its path.
    pub path: PathBuf,
    /// Its operator file.
    pub operator: Option<PathBuf>,
}

impl From<PathBuf> for Program {
    fn from(path: PathBuf) -> Program {
        Program { path, operator: None }
    }
}

/// What serves in a node's place.
#[derive(Debug, Clone)]
pub enum NodeKind {
    /// A build of the daemon.
    Process(Program),
    /// A stub node, which is correct or breaks a rule.
    Stub(NodeFault),
    /// A correct stub node that is a faulty member of the fleet.
    FaultyMember(FaultyMember),
}

/// A node and its present incarnation.
pub struct Node {
    kind: NodeKind,
    stub: StubNode,
    folder: PathBuf,
    running: Option<Running>,
    /// When it was last seen to run, in microseconds.
    last_seen: u64,
    recorder: Recorder,
}

/// A running incarnation.
enum Running {
    Process(Child),
    /// A stub, which ends once this is `true`.
    Stub(watch::Sender<bool>),
}

impl Drop for Running {
    fn drop(&mut self) {
        // A lab that is interrupted ends every process that it started.
        if let Running::Process(child) = self {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// How an incarnation has ended.
pub struct Ended {
    /// Between which moments.
    pub time: TimeInterval,
    /// The status of a process.
    pub status: Option<ExitStatus>,
}

/// A node that did not become ready.
#[derive(Debug, thiserror::Error)]
#[error("node {node} did not become ready within 10 s; its log ends: {log}")]
pub struct NotReady {
    node: String,
    /// The last lines of its log.
    log: String,
}

/// Whether a pause is recorded: a slowed process is paused many times, and only its slowness is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseRecord {
    /// It is recorded.
    Recorded,
    /// It is one of many short pauses.
    Silent,
}

impl Node {
    /// A node that has not started yet.
    pub fn new(kind: NodeKind, stub: StubNode, folder: &Path, recorder: Recorder) -> Node {
        Node { kind, stub, folder: folder.into(), running: None, last_seen: 0, recorder }
    }

    fn record(&self, time: TimeInterval, state: &str) {
        tracing::info!(node = self.stub.name, state, pid = self.pid(), "node");
        self.recorder.line(HistoryRecord {
            time,
            recorder: "lab".into(),
            event: Event::Node,
            node: self.stub.name.clone(),
            state: state.into(),
            ..HistoryRecord::default()
        });
    }

    /// Records a state that began at a moment and has just been reached.
    fn record_since(&self, earliest: u64, state: &str) {
        self.record(TimeInterval { earliest, latest: MonotonicClock::now() }, state);
    }

    /// Starts it, on the address that its previous incarnation may still hold.
    ///
    /// # Errors
    /// Where a file or the process can't be had.
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
        // Against processes that are left behind when the lab itself is killed.
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

    /// Writes its configuration; returns the path.
    fn write_config(&self, config: &str) -> io::Result<PathBuf> {
        let path = self.folder.join(format!("{}.json", self.stub.name));
        std::fs::write(&path, config)?;
        Ok(path)
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.stub.name))
    }

    /// Records that it became ready between two moments.
    pub fn record_ready(&self, time: TimeInterval) {
        self.record(time, "ready");
    }

    /// The error for a node that did not become ready.
    pub fn not_ready(&self) -> NotReady {
        let text = std::fs::read_to_string(self.log_path()).unwrap_or_default();
        let lines: Vec<_> = text.lines().collect();
        let log = lines[lines.len().saturating_sub(LOG_LINES)..].join("\n");
        NotReady { node: self.stub.name.clone(), log }
    }

    /// The id of its process, where it runs as one.
    pub fn pid(&self) -> Option<u32> {
        match &self.running {
            Some(Running::Process(child)) => Some(child.id()),
            _ => None,
        }
    }

    /// Kills it.
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

    /// Pauses its process.
    pub fn pause(&self, record: PauseRecord) {
        let begun = MonotonicClock::now();
        self.signal(Signal::STOP);
        if record == PauseRecord::Recorded {
            self.record_since(begun, "paused");
        }
    }

    /// Resumes its process.
    pub fn resume(&self, record: PauseRecord) {
        let begun = MonotonicClock::now();
        self.signal(Signal::CONT);
        if record == PauseRecord::Recorded {
            self.record_since(begun, "resumed");
        }
    }

    /// Records that one of several steps that pause it has ended.
    pub fn record_resumed(&self) {
        self.record(MonotonicClock::moment(), "resumed");
    }

    /// Records that it is slowed, or no longer is.
    pub fn record_slowed(&self, slowed: bool) {
        self.record(MonotonicClock::moment(), if slowed { "slowed" } else { "steady" });
    }

    /// Writes its configuration anew and has it reload that.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn reload(&self, config: &str) -> io::Result<()> {
        self.write_config(config)?;
        self.signal(Signal::HUP);
        self.record(MonotonicClock::moment(), "reloaded");
        Ok(())
    }

    /// Tells it to terminate.
    pub fn terminate(&self) {
        let begun = MonotonicClock::now();
        match &self.running {
            Some(Running::Process(_)) => self.signal(Signal::TERM),
            Some(Running::Stub(terminate)) => drop(terminate.send(true)),
            None => return,
        }
        self.record_since(begun, "term");
    }

    /// Whether it has ended since this was last asked. A stub ends at once.
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

    /// Records that it has ended; `crashed` where that was a failure.
    pub fn record_end(&mut self, time: TimeInterval, crashed: bool) {
        self.running = None;
        if crashed {
            self.record(time, "crashed");
        }
        self.record(time, "exited");
    }
}

/// Whether a node answers that it is ready.
pub async fn ping(address: SocketAddr) -> io::Result<bool> {
    const PONG: &[u8; 7] = b"+PONG\r\n";
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
    let mut answer = [0; PONG.len()];
    let read = tokio::time::timeout(PING_TIMEOUT, stream.read_exact(&mut answer)).await;
    Ok(matches!(read, Ok(Ok(_))) && answer == *PONG)
}
