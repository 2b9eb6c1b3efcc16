//! Clients: a load that is drawn in advance from a seed, and sent over persistent connections with deadlines
//! and retries, as the deployment's clients do.

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

pub use self::load::{Load, LoadClass, LoadPeak, Tenant};
pub use self::plan::{Planned, key, plan};

/// Time past the deadline for which a client waits, to distinguish a late answer from none, in microseconds.
const LATE_ANSWER_GRACE_US: u64 = 300_000;
/// Time for which new connections still go to a terminating node, in microseconds.
const TERMINATION_NOTICE_US: u64 = 300_000;
/// Time after a failed connect for which no connections are made to the node, in microseconds.
const CONNECT_BACKOFF_US: u64 = 500_000;
/// Time limit for connecting to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle time after which a connection is not reused, in microseconds.
const MAX_IDLE_US: u64 = 10_000_000;
/// Remaining time to the deadline below which a request is not sent, in milliseconds.
const MIN_DEADLINE_MS: u64 = 5;
/// Pause before another node is tried when one is unreachable.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(20);
/// Time for which the clients wait for unsolicited bytes at the end of a load.
const UNSOLICITED_WAIT: Duration = Duration::from_millis(20);

/// A node to which clients connect, with the idle connections to it.
struct Target {
    name: String,
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    /// Time before which no connections are made to the node, in microseconds.
    avoided_until: AtomicU64,
    /// Time at which the node began to terminate, in microseconds; `u64::MAX` if it is not terminating.
    terminating_since: AtomicU64,
}

/// The clients of a cluster of nodes.
pub struct Clients {
    targets: Vec<Target>,
    load: Load,
    seed: u64,
    clock: MonotonicClock,
    recorder: Recorder,
    attempts_sent: AtomicU64,
}

/// Outcome of one attempt, as the client observes it.
enum AttemptOutcome {
    Answered(Answer),
    /// No connection was established, so nothing was sent.
    Unreachable,
    /// The connection ended without an answer.
    Lost,
    /// The client gave up before the deadline.
    Abandoned,
    /// No answer arrived in time.
    TimedOut,
}

impl Clients {
    /// Returns clients of these nodes; no connection is made yet.
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
            attempts_sent: AtomicU64::new(0),
        })
    }

    /// Notifies the load balancer in front of the nodes that a node terminates, or is available again.
    pub fn set_terminating(&self, node: usize, terminating: bool) {
        let target = &self.targets[node];
        let since = if terminating { MonotonicClock::now() } else { u64::MAX };
        target.terminating_since.store(since, Ordering::Relaxed);
        if !terminating {
            target.avoided_until.store(0, Ordering::Relaxed);
        }
    }

    /// Returns the number of attempts sent so far. A message that is sent again on a new connection counts
    /// once.
    pub fn attempts_sent(&self) -> u64 {
        self.attempts_sent.load(Ordering::Relaxed)
    }

    /// Sends the planned requests, each at its time after `start` (in microseconds of the monotonic clock),
    /// and waits until all are answered or given up.
    pub async fn run_planned(self: &Arc<Self>, planned: Vec<Planned>, start: u64) {
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

    /// Sends the planned requests in a loop on `connections` connections until the time `until` (in
    /// microseconds of the monotonic clock). Each connection sends its next request when its previous one has
    /// ended.
    pub async fn run_closed_loop(self: &Arc<Self>, planned: &[Planned], connections: usize, until: u64) {
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
            let remaining_ms = deadline.saturating_sub(MonotonicClock::now()) / 1_000;
            if remaining_ms < MIN_DEADLINE_MS {
                return;
            }
            let tenant = self.load.tenants.get(planned.tenant);
            let message = Message::new(&id, planned, class, tenant, remaining_ms, retries > 0);
            let outcome = self.attempt(message, node).await;
            if matches!(outcome, AttemptOutcome::Unreachable) {
                // The load balancer in front of the nodes passes the connection to another node.
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

    /// Returns the wait before a retry; `None` if the outcome is final.
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

    /// Returns the node for a new connection: the planned one, or the next one not known to be unreachable.
    fn reachable_node(&self, node: usize) -> usize {
        let now = MonotonicClock::now();
        let reachable = |node: &usize| {
            let target = &self.targets[*node];
            let terminating_since = target.terminating_since.load(Ordering::Relaxed);
            target.avoided_until.load(Ordering::Relaxed) <= now
                && now.saturating_sub(terminating_since) < TERMINATION_NOTICE_US
        };
        let mut order = (0..self.targets.len()).map(|offset| (node + offset) % self.targets.len());
        order.find(reachable).unwrap_or(node)
    }

    async fn connect(&self, node: usize) -> Option<Connection> {
        let target = &self.targets[node];
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await;
        let Ok(Ok(stream)) = connect else {
            tracing::debug!(node = target.name, "connection to node failed");
            let until = MonotonicClock::now() + CONNECT_BACKOFF_US;
            target.avoided_until.store(until, Ordering::Relaxed);
            return None;
        };
        let _ = stream.set_nodelay(true);
        Some(Connection::new(stream))
    }

    /// Returns an idle connection that is still open as far as the client can see. Closed and expired ones
    /// are dropped, as are those with unsolicited bytes.
    fn idle_connection(&self, node: usize) -> Option<Connection> {
        let target = &self.targets[node];
        loop {
            let mut connection = lock(&target.idle).pop()?;
            match connection.stream.try_read_buf(&mut connection.input) {
                Err(error)
                    if error.kind() == std::io::ErrorKind::WouldBlock
                        && MonotonicClock::now() < connection.idle_since + MAX_IDLE_US =>
                {
                    return Some(connection);
                }
                Ok(count) if count > 0 => self.record_unsolicited(target, &connection),
                _ => {}
            }
        }
    }

    async fn check_idle_connections(&self) {
        tokio::time::sleep(UNSOLICITED_WAIT).await;
        for node in 0..self.targets.len() {
            while self.idle_connection(node).is_some() {}
        }
    }

    /// Sends a message to a node, and sends it again on a new connection if a reused one was closed before
    /// the answer.
    async fn attempt(&self, mut message: Message<'_>, node: usize) -> AttemptOutcome {
        loop {
            let mut target_index = if message.resent { self.reachable_node(node) } else { node };
            let connection = match self.idle_connection(target_index) {
                Some(connection) if !message.resent => connection,
                // The node may have closed other idle connections as well, so a resent message needs a new
                // connection.
                _ => {
                    target_index = self.reachable_node(node);
                    match self.connect(target_index).await {
                        Some(connection) => connection,
                        None if message.resent => return AttemptOutcome::Lost,
                        None => return AttemptOutcome::Unreachable,
                    }
                }
            };
            let reused = connection.is_reused();
            match self.exchange(connection, &self.targets[target_index], &mut message).await {
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
        let remaining_ms = message.remaining_ms();
        let command = message.command(remaining_ms);
        let started_us = MonotonicClock::now();
        if connection.stream.write_all(&command).await.is_err() {
            // The last byte of the message was not written, so the node has not received the request.
            return AttemptOutcome::Lost;
        }
        let sent_us = MonotonicClock::now();
        if !message.resent {
            message.deadline_us = sent_us + remaining_ms * 1_000;
            self.attempts_sent.fetch_add(1, Ordering::Relaxed);
        }
        let reused = connection.is_reused();
        self.recorder.record(message.request_line(
            &target.name,
            TimeInterval { earliest: started_us, latest: sent_us },
            reused,
        ));
        let timeout_us = match message.planned.impatient {
            true => remaining_ms * 1_000 / 2,
            false => (message.deadline_us + LATE_ANSWER_GRACE_US).saturating_sub(sent_us),
        };
        let read = tokio::time::timeout(Duration::from_micros(timeout_us), connection.read_reply()).await;
        let arrival = self.clock.arrival();
        let interval = TimeInterval { earliest: arrival.earliest.max(started_us), latest: arrival.latest };
        let line = message.history_line(&target.name, interval);
        match read {
            Ok(Some(value)) => {
                let answer = Answer::from(value);
                self.recorder.record(answer.history_line(line));
                self.return_to_pool(connection, target, message.id);
                AttemptOutcome::Answered(answer)
            }
            Ok(None) => {
                self.recorder.record(HistoryRecord {
                    event: Event::Closed,
                    reused_connection: reused,
                    ..line
                });
                AttemptOutcome::Lost
            }
            Err(_) if message.planned.impatient => {
                self.recorder.record(HistoryRecord {
                    time: MonotonicClock::moment(),
                    event: Event::ClientLeft,
                    ..line
                });
                AttemptOutcome::Abandoned
            }
            Err(_) => AttemptOutcome::TimedOut,
        }
    }

    /// Keeps a connection for later requests, unless it has received bytes beyond the answer.
    fn return_to_pool(&self, mut connection: Connection, target: &Target, request: &str) {
        request.clone_into(&mut connection.last_request);
        connection.idle_since = MonotonicClock::now();
        if connection.input.is_empty() {
            lock(&target.idle).push(connection);
        } else {
            self.record_unsolicited(target, &connection);
        }
    }

    fn record_unsolicited(&self, target: &Target, connection: &Connection) {
        let (interval, recorder, event) =
            (self.clock.arrival(), "client".to_owned(), Event::UnsolicitedResponse);
        let (node, request) = (target.name.clone(), connection.last_request.clone());
        self.recorder.record(HistoryRecord {
            time: interval,
            recorder,
            event,
            node,
            request,
            ..HistoryRecord::default()
        });
    }
}
