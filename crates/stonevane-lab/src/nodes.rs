//! The nodes of a fleet: real processes, or little ones of our own that break a rule.

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

use crate::crooked::{Crime, Little};
use crate::member::Member;

/// A build of the daemon, and how it is started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Program {
    /// Its path.
    pub path: PathBuf,
    /// The operator file that it is given.
    pub operator: Option<PathBuf>,
}

/// What stands in the nodes' places.
#[derive(Debug, Clone)]
pub enum Kind {
    /// A build of the daemon.
    Process(Program),
    /// A little node of our own, which is honest or breaks a rule on purpose.
    Little(Crime),
    /// An honest little node that is a crooked member of the fleet.
    Member(Member),
}

/// A node and its present life.
pub struct Node {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    kind: Kind,
    little: Little,
    folder: PathBuf,
    life: Option<Life>,
    /// When it was last seen to run.
    seen: u64,
    recorder: Recorder,
}

enum Life {
    Process(Child),
    Little(watch::Sender<bool>),
}

impl Drop for Life {
    fn drop(&mut self) {
        // A lab that is interrupted ends every process that it started.
        if let Life::Process(child) = self {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A node that did not become ready.
#[derive(Debug)]
pub struct NotReady {
    /// Which.
    pub node: String,
    /// The last lines of its log.
    pub log: String,
}

impl Node {
    /// A node that has not started yet.
    pub fn new(kind: Kind, little: Little, folder: &Path, recorder: Recorder) -> Node {
        let (name, listen) = (little.name.clone(), little.listen);
        Node { name, listen, kind, little, folder: folder.into(), life: None, seen: 0, recorder }
    }

    fn line(&self, t: TimeInterval, state: &str) {
        tracing::info!(node = self.name, state, pid = self.pid(), "node");
        self.recorder.line(HistoryRecord {
            time: t,
            recorder: "lab".into(),
            event: Event::Node,
            node: self.name.clone(),
            state: state.into(),
            ..HistoryRecord::default()
        });
    }

    /// Starts a process, or takes the place of one that may still hold its address.
    ///
    /// # Errors
    /// What kept it from starting.
    pub fn start(&mut self, config: &str) -> io::Result<()> {
        let begun = MonotonicClock::now();
        match &self.kind {
            Kind::Process(Program { path, operator }) => {
                let config_path = self.configure(config)?;
                let log = std::fs::File::options()
                    .create(true)
                    .append(true)
                    .open(self.folder.join(format!("{}.log", self.name)))?;
                let mut command = Command::new(path);
                if let Some(operator) = operator {
                    command.arg("--operator").arg(operator);
                }
                // Against processes that are left behind when the lab itself is killed.
                command.arg("--ends-with").arg(std::process::id().to_string());
                let child = command
                    .env("ROUTER_CONFIG", &config_path)
                    .env_remove("ROUTER_LISTEN")
                    .env_remove("ROUTER_DISCOVERY")
                    .stdin(Stdio::null())
                    .stdout(Stdio::null())
                    .stderr(log)
                    .spawn()?;
                self.life = Some(Life::Process(child));
            }
            Kind::Little(crime) => {
                let (end, ended) = watch::channel(false);
                tokio::spawn(self.little.clone().run(self.listen, *crime, ended));
                self.life = Some(Life::Little(end));
            }
            Kind::Member(member) => {
                let (end, ended) = watch::channel(false);
                tokio::spawn(self.little.clone().run(self.listen, Crime::Honest, ended.clone()));
                tokio::spawn(member.clone().run(ended));
                self.life = Some(Life::Little(end));
            }
        }
        self.seen = begun;
        self.line(TimeInterval { earliest: begun, latest: MonotonicClock::now() }, "starting");
        Ok(())
    }

    /// Notes that it was ready between two moments.
    pub fn is_ready(&self, t: TimeInterval) {
        self.line(t, "ready");
    }

    /// What is known of one that did not become ready.
    pub fn not_ready(&self) -> NotReady {
        NotReady { node: self.name.clone(), log: self.log_end() }
    }

    /// The last lines of its log.
    pub fn log_end(&self) -> String {
        let text =
            std::fs::read_to_string(self.folder.join(format!("{}.log", self.name))).unwrap_or_default();
        let lines: Vec<_> = text.lines().rev().take(5).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n")
    }

    /// Its process, where it is one that runs.
    pub fn pid(&self) -> Option<u32> {
        match &self.life {
            Some(Life::Process(child)) => Some(child.id()),
            _ => None,
        }
    }

    /// Kills it.
    pub fn kill(&mut self) {
        let begun = MonotonicClock::now();
        if let Some(Life::Process(child)) = &mut self.life {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.life = None;
        self.line(TimeInterval { earliest: begun, latest: MonotonicClock::now() }, "killed");
    }

    fn signal(&self, signal: Signal) {
        let pid = self.pid().and_then(|pid| i32::try_from(pid).ok()).and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Stops its process, or lets it go on. `told`: whether that is written down, or only one of many short stops.
    pub fn stop(&mut self, stopped: bool, told: bool) {
        let begun = MonotonicClock::now();
        self.signal(if stopped { Signal::STOP } else { Signal::CONT });
        if told {
            self.line(
                TimeInterval { earliest: begun, latest: MonotonicClock::now() },
                if stopped { "paused" } else { "resumed" },
            );
        }
    }

    /// Notes that one of several steps that have it stopped lets it go on.
    pub fn resumed(&self) {
        let now = MonotonicClock::now();
        self.line(TimeInterval { earliest: now, latest: now }, "resumed");
    }

    /// Notes that it is slowed, or no longer is.
    pub fn slowed(&self, slowed: bool) {
        let now = MonotonicClock::now();
        self.line(TimeInterval { earliest: now, latest: now }, if slowed { "slowed" } else { "steady" });
    }

    /// Writes its configuration; where it stands.
    fn configure(&self, config: &str) -> io::Result<PathBuf> {
        let path = self.folder.join(format!("{}.json", self.name));
        std::fs::write(&path, config)?;
        Ok(path)
    }

    /// Writes its configuration anew and has it read it.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn reload(&self, config: &str) -> io::Result<()> {
        self.configure(config)?;
        self.signal(Signal::HUP);
        let now = MonotonicClock::now();
        self.line(TimeInterval { earliest: now, latest: now }, "reloaded");
        Ok(())
    }

    /// Asks it to end.
    pub fn term(&mut self) {
        let begun = MonotonicClock::now();
        match &self.life {
            Some(Life::Process(_)) => self.signal(Signal::TERM),
            Some(Life::Little(end)) => drop(end.send(true)),
            None => return,
        }
        self.line(TimeInterval { earliest: begun, latest: MonotonicClock::now() }, "term");
    }

    /// Whether it has ended since it was looked at last: between which moments, and how. A little node ends at
    /// once.
    pub fn ended(&mut self) -> Option<(TimeInterval, Option<ExitStatus>)> {
        let now = MonotonicClock::now();
        let ended = match &mut self.life {
            Some(Life::Process(child)) => child.try_wait().ok().flatten().map(Some),
            Some(Life::Little(end)) => (*end.borrow()).then_some(None),
            None => None,
        };
        let begun = std::mem::replace(&mut self.seen, now);
        ended.map(|status| (TimeInterval { earliest: begun, latest: now }, status))
    }

    /// Notes that it has ended. A process that was asked to, once it was ready, and did not exit with 0 has
    /// crashed.
    pub fn note_end(&mut self, t: TimeInterval, status: Option<ExitStatus>, was_ready: bool) {
        self.life = None;
        if was_ready && status.is_some_and(|status| !status.success()) {
            self.line(t, "crashed");
        }
        self.line(t, "exited");
    }
}

/// Whether a node says that it is ready.
pub async fn ping(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
    let mut answer = [0; 7];
    let read = tokio::time::timeout(Duration::from_secs(1), stream.read_exact(&mut answer)).await;
    Ok(matches!(read, Ok(Ok(_))) && &answer == b"+PONG\r\n")
}

impl From<PathBuf> for Program {
    fn from(path: PathBuf) -> Program {
        Program { path, operator: None }
    }
}
