//! Clients: a load that is drawn ahead from a seed, and sent on persistent connections with deadlines and retries, as
//! the deployment's clients do.

mod connection;
mod load;
mod message;
mod plan;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use stonevane_audit::{Event, HistoryRecord, Outcome, TimeInterval};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use self::connection::{Answer, Connection};
use self::message::Message;
use crate::record::{MonotonicClock, Recorder};
use crate::server::lock;

pub use self::load::{Crowd, Load, LoadClass, Tenant};
pub use self::plan::{Planned, key, plan};

/// How long past its deadline an answer is still waited for, to tell a late one from none, in microseconds.
const LATE_US: u64 = 300_000;
/// For this long new connections still go to a node that terminates, in microseconds.
const NOTICE_US: u64 = 300_000;
/// After a failed connect no connections are made to a node for this long, in microseconds.
const CONNECT_BACKOFF_US: u64 = 500_000;
/// The time limit for connecting to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// An idle connection is not used again after this, in microseconds.
const IDLE_US: u64 = 10_000_000;
/// A request isn't sent with less than this left, in milliseconds.
const MIN_DEADLINE_MS: u64 = 5;
/// The pause before another node is tried.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(20);
/// How long stray bytes are waited for at the end.
const STRAY_WAIT: Duration = Duration::from_millis(20);

/// A node, as clients see it.
struct Target {
    name: String,
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    /// No connections are made to it before this moment.
    avoided_until: AtomicU64,
    /// Since when it terminates; `u64::MAX` for a node that doesn't.
    terminating_since: AtomicU64,
}

/// The clients of a cluster.
pub struct Clients {
    targets: Vec<Target>,
    load: Load,
    seed: u64,
    clock: MonotonicClock,
    recorder: Recorder,
    asked: AtomicU64,
}

/// How one attempt ended for its client.
enum AttemptOutcome {
    Answered(Answer),
    /// No connection came up: nothing was sent.
    Unreachable,
    /// The node ended the connection without an answer.
    Lost,
    /// The client gave up early.
    Abandoned,
    /// No answer came in time.
    TimedOut,
}

impl Clients {
    /// Clients of these nodes.
    pub fn new(
        nodes: &[(String, SocketAddr)],
        load: Load,
        seed: u64,
        clock: &MonotonicClock,
        recorder: Recorder,
    ) -> Arc<Self> {
        let target = |(name, address): &(String, SocketAddr)| Target {
            name: name.clone(),
            address: *address,
            idle: Mutex::default(),
            avoided_until: AtomicU64::new(0),
            terminating_since: AtomicU64::new(u64::MAX),
        };
        Arc::new(Clients {
            targets: nodes.iter().map(target).collect(),
            load,
            seed,
            clock: clock.clone(),
            recorder,
            asked: AtomicU64::new(0),
        })
    }

    /// The load balancer in front learns that a node terminates, or is back.
    pub fn set_terminating(&self, node: usize, terminating: bool) {
        let target = &self.targets[node];
        let since = if terminating { MonotonicClock::now() } else { u64::MAX };
        target.terminating_since.store(since, Ordering::Relaxed);
        if !terminating {
            target.avoided_until.store(0, Ordering::Relaxed);
        }
    }

    /// Requests sent so far.
    pub fn asked(&self) -> u64 {
        self.asked.load(Ordering::Relaxed)
    }

    /// Sends what was planned, each at its time from `start` on, and waits until all is answered or given up.
    pub async fn play(self: &Arc<Self>, planned: Vec<Planned>, start: u64) {
        let mut tasks = JoinSet::new();
        for (number, planned) in planned.into_iter().enumerate() {
            let wait_us = (start + planned.at_us).saturating_sub(MonotonicClock::now());
            if wait_us > 0 {
                tokio::time::sleep(Duration::from_micros(wait_us)).await;
            }
            let clients = self.clone();
            tasks.spawn(async move { clients.request(number, &planned).await });
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
        self.check_idle_connections().await;
    }

    /// Sends as fast as answers arrive, on a number of connections, until a moment.
    pub async fn hammer(self: &Arc<Self>, planned: &[Planned], connections: usize, until: u64) {
        let next = Arc::new(AtomicU64::new(0));
        let mut tasks = JoinSet::new();
        let planned: Arc<[Planned]> = planned.into();
        for _ in 0..connections {
            let (clients, next, planned) = (self.clone(), next.clone(), planned.clone());
            tasks.spawn(async move {
                while MonotonicClock::now() < until && !planned.is_empty() {
                    let number = next.fetch_add(1, Ordering::Relaxed) as usize;
                    clients.request(number, &planned[number % planned.len()]).await;
                }
            });
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Sends a request and its retries.
    async fn request(&self, number: usize, planned: &Planned) {
        let class = &self.load.classes[planned.class];
        let deadline = MonotonicClock::now() + class.deadline_ms * 1_000;
        let mut retries = 0;
        let mut node = planned.node;
        loop {
            let id = format!("{:x}-{number:x}-{retries}", self.seed);
            let left_ms = deadline.saturating_sub(MonotonicClock::now()) / 1_000;
            if left_ms < MIN_DEADLINE_MS {
                return;
            }
            let tenant = self.load.tenants.get(planned.tenant);
            let message = Message::new(&id, planned, class, tenant, left_ms, retries > 0);
            let outcome = self.attempt(message, node).await;
            if matches!(outcome, AttemptOutcome::Unreachable) {
                // The load balancer in front gives the connection to another node.
                node = (node + 1) % self.targets.len();
                tokio::time::sleep(UNREACHABLE_PAUSE).await;
                continue;
            }
            let Some(delay_ms) = self.retry_delay_ms(&outcome, planned, class) else { return };
            retries += 1;
            if retries > self.load.retries {
                return;
            }
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// The wait before a retry; `None` where the outcome is final.
    fn retry_delay_ms(&self, outcome: &AttemptOutcome, planned: &Planned, class: &LoadClass) -> Option<u64> {
        let retryable = match outcome {
            AttemptOutcome::Answered(answer) => match answer.outcome {
                Outcome::Rejected if answer.retry_after_ms > 0 && planned.honours => {
                    return Some(answer.retry_after_ms);
                }
                Outcome::Rejected => true,
                Outcome::Failed => class.retries_failures,
                Outcome::Served => false,
            },
            AttemptOutcome::Lost => class.retries_failures,
            AttemptOutcome::Unreachable | AttemptOutcome::Abandoned | AttemptOutcome::TimedOut => false,
        };
        retryable.then_some(self.load.backoff_ms)
    }

    /// The node for a new connection: the one that was drawn, or the next that is not known to be away.
    fn reachable_node(&self, node: usize) -> usize {
        let now = MonotonicClock::now();
        let reachable = |node: &usize| {
            let target = &self.targets[*node];
            let terminating_since = target.terminating_since.load(Ordering::Relaxed);
            target.avoided_until.load(Ordering::Relaxed) <= now
                && now.saturating_sub(terminating_since) < NOTICE_US
        };
        let mut order = (0..self.targets.len()).map(|offset| (node + offset) % self.targets.len());
        order.find(reachable).unwrap_or(node)
    }

    async fn connect(&self, node: usize) -> Option<Connection> {
        let target = &self.targets[node];
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await;
        let Ok(Ok(stream)) = connect else {
            tracing::debug!(node = target.name, "no connection came up");
            let until = MonotonicClock::now() + CONNECT_BACKOFF_US;
            target.avoided_until.store(until, Ordering::Relaxed);
            return None;
        };
        let _ = stream.set_nodelay(true);
        Some(Connection::new(stream))
    }

    /// An idle connection that the node has not ended, as far as can be seen.
    fn idle_connection(&self, node: usize) -> Option<Connection> {
        let target = &self.targets[node];
        loop {
            let mut connection = lock(&target.idle).pop()?;
            match connection.stream.try_read_buf(&mut connection.input) {
                Err(error)
                    if error.kind() == std::io::ErrorKind::WouldBlock
                        && MonotonicClock::now() < connection.idle_since + IDLE_US =>
                {
                    return Some(connection);
                }
                Ok(count) if count > 0 => self.record_stray(target, &connection),
                _ => {}
            }
        }
    }

    async fn check_idle_connections(&self) {
        tokio::time::sleep(STRAY_WAIT).await;
        for node in 0..self.targets.len() {
            while self.idle_connection(node).is_some() {}
        }
    }

    /// Sends a message to a node; once more on a new connection where an idle one was closed under it.
    async fn attempt(&self, mut message: Message<'_>, node: usize) -> AttemptOutcome {
        loop {
            let mut at = if message.resent { self.reachable_node(node) } else { node };
            let connection = match self.idle_connection(at) {
                Some(connection) if !message.resent => connection,
                // Another idle connection may be closed as well.
                _ => {
                    at = self.reachable_node(node);
                    match self.connect(at).await {
                        Some(connection) => connection,
                        None if message.resent => return AttemptOutcome::Lost,
                        None => return AttemptOutcome::Unreachable,
                    }
                }
            };
            let reused = connection.is_reused();
            match self.exchange(connection, &self.targets[at], &mut message).await {
                AttemptOutcome::Lost if reused && !message.resent => message.resent = true,
                outcome => return outcome,
            }
        }
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        target: &Target,
        message: &mut Message<'_>,
    ) -> AttemptOutcome {
        let left_ms = message.left_ms();
        let command = message.command(left_ms);
        let begun = MonotonicClock::now();
        if connection.stream.write_all(&command).await.is_err() {
            // Its last byte was not written: it was not asked.
            return AttemptOutcome::Lost;
        }
        let ended = MonotonicClock::now();
        if !message.resent {
            message.until_us = ended + left_ms * 1_000;
            self.asked.fetch_add(1, Ordering::Relaxed);
        }
        let reused = connection.is_reused();
        self.recorder.line(message.ask_line(
            &target.name,
            TimeInterval { earliest: begun, latest: ended },
            reused,
        ));
        let timeout_us = match message.planned.impatient {
            true => left_ms * 1_000 / 2,
            false => (message.until_us + LATE_US).saturating_sub(ended),
        };
        let read = tokio::time::timeout(Duration::from_micros(timeout_us), connection.read_value()).await;
        let arrival = self.clock.arrival();
        let t = TimeInterval { earliest: arrival.earliest.max(begun), latest: arrival.latest };
        let line = message.line(&target.name, t);
        match read {
            Ok(Some(value)) => {
                let answer = Answer::from(value);
                self.recorder.line(answer.line(line));
                self.put_back(connection, target, message.id);
                AttemptOutcome::Answered(answer)
            }
            Ok(None) => {
                self.recorder.line(HistoryRecord { event: Event::Closed, reused_connection: reused, ..line });
                AttemptOutcome::Lost
            }
            Err(_) if message.planned.impatient => {
                self.recorder.line(HistoryRecord {
                    time: MonotonicClock::moment(),
                    event: Event::ClientLeft,
                    ..line
                });
                AttemptOutcome::Abandoned
            }
            Err(_) => AttemptOutcome::TimedOut,
        }
    }

    /// Keeps a connection for later requests, unless more than the answer came on it.
    fn put_back(&self, mut connection: Connection, target: &Target, request: &str) {
        request.clone_into(&mut connection.last_request);
        connection.idle_since = MonotonicClock::now();
        if connection.input.is_empty() {
            lock(&target.idle).push(connection);
        } else {
            self.record_stray(target, &connection);
        }
    }

    fn record_stray(&self, target: &Target, connection: &Connection) {
        let (t, who, event) = (self.clock.arrival(), "client".to_owned(), Event::UnsolicitedResponse);
        let (node, request) = (target.name.clone(), connection.last_request.clone());
        self.recorder.line(HistoryRecord {
            time: t,
            recorder: who,
            event,
            node,
            request,
            ..HistoryRecord::default()
        });
    }
}
