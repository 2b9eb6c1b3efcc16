//! Clients: a load that is drawn ahead from a seed (popularity by Zipf, classes, tenants, keyed edits), and
//! sent on kept connections with deadlines and retries, as the deployment's clients do.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use oorandom::Rand64;
use stonevane_audit::{Event, HistoryRecord, Outcome, TimeInterval};
use stonevane_codec::resp::{self, Value};
use stonevane_server_model::value::{digest, padded};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::record::{Mono, Recorder};
use crate::server::lock;

/// How long past its time an answer is still waited for, to tell a late one from none.
const LATE: u64 = 300_000;
/// The front goes on giving connections to a node that ends for so long.
const NOTICED: u64 = 300_000;
/// A connection that has not come up by then never does.
const CONNECT: Duration = Duration::from_millis(1_000);
/// A client lets a connection go that has stood idle for so long.
const IDLE: u64 = 10_000_000;

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadClass {
    /// Its name.
    pub name: String,
    /// Its part of the requests.
    pub share: f64,
    /// The client's whole wait, milliseconds.
    pub deadline_ms: u64,
    /// Whether it writes.
    pub write: bool,
    /// Whether it carries an idempotency key.
    pub keyed: bool,
    /// Whether its clients may repeat it after a failure.
    pub repeats: bool,
    /// Length of what it writes, bytes.
    pub value_len: usize,
}

/// A load.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Requests a second, arriving at random.
    pub per_s: f64,
    /// For so long, in milliseconds.
    pub for_ms: u64,
    /// Crowds: from when, for how long (milliseconds), and the multiple of the rate that comes meanwhile.
    pub crowds: Vec<(u64, u64, f64)>,
    /// Keys, and how uneven their popularity is: the n-th has weight 1 / (n + offset) ^ zipf.
    pub keys: usize,
    /// How uneven their popularity is.
    pub zipf: f64,
    /// How flat its head is.
    pub offset: f64,
    /// Its classes.
    pub classes: Vec<LoadClass>,
    /// Tenants and their parts.
    pub tenants: Vec<(String, f64)>,
    /// Tries beyond the first, at most.
    pub retries: u32,
    /// Part of the clients that come back when they are told, and no sooner.
    pub honour: f64,
    /// The wait of the others before a retry, milliseconds.
    pub backoff_ms: u64,
    /// Part of the clients that leave halfway.
    pub impatient: f64,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            per_s: 100.0,
            for_ms: 3_000,
            crowds: Vec::new(),
            keys: 500,
            zipf: 0.9,
            offset: 10.0,
            classes: Vec::new(),
            tenants: Vec::new(),
            retries: 1,
            honour: 1.0,
            backoff_ms: 20,
            impatient: 0.0,
        }
    }
}

/// One request that will be sent, whatever becomes of those before it.
#[derive(Debug, Clone, PartialEq)]
pub struct Planned {
    /// Microseconds from the start.
    pub at_us: u64,
    /// Places in the load's lists.
    pub class: usize,
    /// The tenant's place.
    pub tenant: usize,
    /// Its key, as it stands on the wire.
    pub key: u64,
    /// The node that it is dealt to.
    pub node: usize,
    /// Its idempotency key.
    pub token: u64,
    /// Whether its client leaves halfway.
    pub impatient: bool,
    /// Whether its client comes back when it is told.
    pub honours: bool,
}

/// The key of a rank: the same for all loads.
pub fn key(rank: usize) -> u64 {
    // An odd factor: no two ranks meet.
    (rank as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Draws a load. The same seed gives the same requests.
pub fn plan(load: &Load, nodes: usize, seed: u64) -> Vec<Planned> {
    let mut rng = Rand64::new(u128::from(seed) ^ 0x10ad);
    let mut sums = Vec::with_capacity(load.keys);
    let mut sum = 0.0;
    for rank in 0..load.keys.max(1) {
        sum += (rank as f64 + 1.0 + load.offset).powf(-load.zipf);
        sums.push(sum);
    }
    let pick = |shares: &mut dyn Iterator<Item = f64>, drawn: f64| {
        let shares: Vec<f64> = shares.collect();
        let mut left = drawn * shares.iter().sum::<f64>();
        let found = shares.iter().position(|share| {
            left -= share;
            left < 0.0
        });
        found.unwrap_or(shares.len().saturating_sub(1))
    };
    let (mut planned, mut at) = (Vec::new(), 0.0);
    let end = load.for_ms as f64 * 1e3;
    if load.per_s <= 0.0 {
        return planned;
    }
    // Drawn at the highest rate, and thinned to that of each moment.
    let times = |at: f64| {
        let within = |c: &&(u64, u64, f64)| (c.0 as f64..(c.0 + c.1) as f64).contains(&(at / 1e3));
        load.crowds.iter().find(within).map_or(1.0, |c| c.2)
    };
    let most = load.crowds.iter().map(|c| c.2).fold(1.0, f64::max);
    loop {
        at += -(1.0 - rng.rand_float()).ln() / (load.per_s * most) * 1e6;
        if at >= end {
            break;
        }
        if most > 1.0 && rng.rand_float() * most >= times(at) {
            continue;
        }
        let drawn = rng.rand_float() * sum;
        let rank = sums.partition_point(|s| *s < drawn).min(sums.len() - 1);
        planned.push(Planned {
            at_us: at as u64,
            class: pick(&mut load.classes.iter().map(|c| c.share), rng.rand_float()),
            tenant: pick(&mut load.tenants.iter().map(|t| t.1), rng.rand_float()),
            key: key(rank),
            node: rng.rand_range(0..nodes.max(1) as u64) as usize,
            token: rng.rand_u64(),
            impatient: rng.rand_float() < load.impatient,
            honours: rng.rand_float() < load.honour,
        });
    }
    planned
}

struct Conn {
    stream: TcpStream,
    input: BytesMut,
    /// The last request that it answered.
    last: String,
    idle_since: u64,
}

/// A node, as clients see it.
struct Target {
    name: String,
    address: SocketAddr,
    idle: Mutex<Vec<Conn>>,
    /// No connections are made to it before this.
    shunned: AtomicU64,
    /// It ends: since when.
    ending: AtomicU64,
}

/// The clients of a fleet.
pub struct Clients {
    targets: Vec<Target>,
    load: Load,
    seed: u64,
    mono: Mono,
    recorder: Recorder,
    asked: AtomicU64,
    over: AtomicBool,
}

/// How a try ended, for its client.
enum Tried {
    Answered(Outcome, u64),
    /// No connection came about: nothing was sent.
    Unreachable,
    /// The node ended the connection with no answer.
    Lost,
    Left,
    Silent,
}

impl Clients {
    /// Clients of these nodes.
    pub fn new(
        nodes: &[(String, SocketAddr)],
        load: Load,
        seed: u64,
        mono: &Mono,
        recorder: Recorder,
    ) -> Arc<Self> {
        let target = |(name, address): &(String, SocketAddr)| Target {
            name: name.clone(),
            address: *address,
            idle: Mutex::default(),
            shunned: AtomicU64::new(0),
            ending: AtomicU64::new(u64::MAX),
        };
        Arc::new(Clients {
            targets: nodes.iter().map(target).collect(),
            load,
            seed,
            mono: mono.clone(),
            recorder,
            asked: AtomicU64::new(0),
            over: AtomicBool::new(false),
        })
    }

    /// The front learns that a node ends, or is back.
    pub fn ending(&self, node: usize, ends: bool) {
        let at = if ends { Mono::now() } else { u64::MAX };
        self.targets[node].ending.store(at, Ordering::Relaxed);
        if !ends {
            self.targets[node].shunned.store(0, Ordering::Relaxed);
        }
    }

    /// Requests asked so far.
    pub fn asked(&self) -> u64 {
        self.asked.load(Ordering::Relaxed)
    }

    /// Sends what was planned, each at its time from `start` on, and waits until all is answered or given up.
    pub async fn play(self: &Arc<Self>, planned: Vec<Planned>, start: u64) {
        let mut tasks = tokio::task::JoinSet::new();
        for (number, planned) in planned.into_iter().enumerate() {
            let wait = (start + planned.at_us).saturating_sub(Mono::now());
            if wait > 0 {
                tokio::time::sleep(Duration::from_micros(wait)).await;
            }
            if self.over.load(Ordering::Relaxed) {
                break;
            }
            let own = self.clone();
            tasks.spawn(async move { own.request(number, &planned).await });
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
        self.look_at_idle().await;
    }

    /// Sends as fast as answers come, on so many connections, until a moment.
    pub async fn hammer(self: &Arc<Self>, planned: &[Planned], connections: usize, until: u64) {
        let next = Arc::new(AtomicU64::new(0));
        let mut tasks = tokio::task::JoinSet::new();
        let planned: Arc<[Planned]> = planned.into();
        for _ in 0..connections {
            let (own, next, planned) = (self.clone(), next.clone(), planned.clone());
            tasks.spawn(async move {
                while Mono::now() < until && !planned.is_empty() {
                    let number = next.fetch_add(1, Ordering::Relaxed) as usize;
                    own.request(number, &planned[number % planned.len()]).await;
                }
            });
        }
        while tasks.join_next().await.is_some() {}
    }

    /// No more requests are begun.
    pub fn stop(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    async fn request(&self, number: usize, planned: &Planned) {
        let class = &self.load.classes[planned.class];
        let begun = Mono::now();
        let whole = class.deadline_ms * 1_000;
        let mut tries = 0;
        let mut node = planned.node;
        loop {
            let id = format!("{:x}-{number:x}-{tries}", self.seed);
            let left = (begun + whole).saturating_sub(Mono::now()) / 1_000;
            if left < 5 {
                return;
            }
            let tried = self.attempt(&id, planned, class, left, tries > 0, node).await;
            let wait = match tried {
                Tried::Answered(Outcome::Served, _) | Tried::Left | Tried::Silent => return,
                Tried::Answered(Outcome::Rejected, advice) if advice > 0 && planned.honours => advice,
                Tried::Answered(Outcome::Rejected, _) => self.load.backoff_ms,
                Tried::Answered(Outcome::Failed, _) | Tried::Lost if !class.repeats => return,
                Tried::Answered(Outcome::Failed, _) | Tried::Lost => self.load.backoff_ms,
                Tried::Unreachable => {
                    // The front notices, and deals the connection to another node.
                    node = (node + 1) % self.targets.len();
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            tries += 1;
            if tries > self.load.retries {
                return;
            }
            tokio::time::sleep(Duration::from_millis(wait)).await;
        }
    }

    /// The node for a new connection: the one dealt, or the next that is not known to be away.
    fn deal(&self, node: usize) -> usize {
        let now = Mono::now();
        let open = |node: &usize| {
            let target = &self.targets[*node];
            let ending = target.ending.load(Ordering::Relaxed);
            target.shunned.load(Ordering::Relaxed) <= now && now.saturating_sub(ending) < NOTICED
        };
        let order = (0..self.targets.len()).map(|by| (node + by) % self.targets.len());
        order.clone().find(open).unwrap_or(node)
    }

    async fn connect(&self, node: usize) -> Option<Conn> {
        let target = &self.targets[node];
        let connect = tokio::time::timeout(CONNECT, TcpStream::connect(target.address)).await;
        let Ok(Ok(stream)) = connect else {
            tracing::debug!(node = target.name, "no connection came up");
            target.shunned.store(Mono::now() + 500_000, Ordering::Relaxed);
            return None;
        };
        let _ = stream.set_nodelay(true);
        Some(Conn { stream, input: BytesMut::new(), last: String::new(), idle_since: 0 })
    }

    /// A kept connection that the node has not ended, as far as can be seen.
    fn kept(&self, node: usize) -> Option<Conn> {
        loop {
            let mut conn = lock(&self.targets[node].idle).pop()?;
            let target = &self.targets[node];
            match conn.stream.try_read_buf(&mut conn.input) {
                Err(e)
                    if e.kind() == std::io::ErrorKind::WouldBlock && Mono::now() < conn.idle_since + IDLE =>
                {
                    return Some(conn);
                }
                Ok(count) if count > 0 => self.stray(target, &conn),
                _ => {}
            }
        }
    }

    fn stray(&self, target: &Target, conn: &Conn) {
        let (t, who, event) = (self.mono.seen(), "client".to_owned(), Event::UnsolicitedResponse);
        let (node, request) = (target.name.clone(), conn.last.clone());
        self.recorder.line(HistoryRecord {
            time: t,
            recorder: who,
            event,
            node,
            request,
            ..HistoryRecord::default()
        });
    }

    async fn look_at_idle(&self) {
        tokio::time::sleep(Duration::from_millis(20)).await;
        for node in 0..self.targets.len() {
            while self.kept(node).is_some() {}
        }
    }

    async fn attempt(
        &self,
        id: &str,
        planned: &Planned,
        class: &LoadClass,
        wait_ms: u64,
        retry: bool,
        node: usize,
    ) -> Tried {
        let key = format!("{:016x}", planned.key);
        let tenant = self.load.tenants.get(planned.tenant).map_or("", |t| t.0.as_str());
        let token = if class.keyed { format!("{:016x}", planned.token) } else { String::new() };
        let mut again = false;
        let mut until: u64 = 0;
        loop {
            let mut at = if again { self.deal(node) } else { node };
            let conn = match self.kept(at) {
                Some(conn) if !again => conn,
                _ => {
                    at = self.deal(node);
                    match self.connect(at).await {
                        Some(conn) => conn,
                        None if again => return Tried::Lost,
                        None => return Tried::Unreachable,
                    }
                }
            };
            let kept = !conn.last.is_empty();
            let left = if again { until.saturating_sub(Mono::now()) / 1_000 } else { wait_ms };
            let mut facts = format!("c={},d={left}", class.name);
            if !tenant.is_empty() {
                facts.push_str(&format!(",t={tenant}"));
            }
            if !token.is_empty() {
                facts.push_str(&format!(",k={token}"));
            }
            if retry {
                facts.push_str(",r=1");
            }
            // Each edit writes something of its own, so that two that are mixed up are seen.
            let value = padded(id, class.value_len).into_bytes();
            let bytes = match class.write {
                true => resp::command(&[b"OBJ.SET", key.as_bytes(), id.as_bytes(), facts.as_bytes(), &value]),
                false => resp::command(&[b"OBJ.GET", key.as_bytes(), id.as_bytes(), facts.as_bytes()]),
            };
            let token = (token.as_str(), if class.write { digest(&value) } else { String::new() });
            match self.exchange(conn, at, &bytes, id, left, &mut until, again, retry, planned, &token).await {
                // The node closed it between requests, and that crossed this one: once more on a new one.
                Tried::Lost if kept && !again => again = true,
                tried => return tried,
            }
        }
    }

    #[allow(clippy::too_many_arguments, reason = "the facts of one request, used once")]
    async fn exchange(
        &self,
        mut conn: Conn,
        node: usize,
        bytes: &Bytes,
        id: &str,
        left_ms: u64,
        until: &mut u64,
        again: bool,
        retry: bool,
        planned: &Planned,
        (token, digest): &(&str, String),
    ) -> Tried {
        let class = &self.load.classes[planned.class];
        let target = &self.targets[node];
        let base = || HistoryRecord {
            recorder: "client".into(),
            request: id.into(),
            node: target.name.clone(),
            ..HistoryRecord::default()
        };
        let kept = !conn.last.is_empty();
        let begun = Mono::now();
        if conn.stream.write_all(bytes).await.is_err() {
            // Its last byte was not written.
            return Tried::Lost;
        }
        let ended = Mono::now();
        if !again {
            *until = ended + left_ms * 1_000;
            self.asked.fetch_add(1, Ordering::Relaxed);
        }
        self.recorder.line(HistoryRecord {
            time: TimeInterval { earliest: begun, latest: ended },
            event: Event::Request,
            class: class.name.clone(),
            tenant: self.load.tenants.get(planned.tenant).map(|t| t.0.clone()).unwrap_or_default(),
            key: format!("{:016x}", planned.key),
            idempotency_key: (*token).into(),
            digest: digest.clone(),
            deadline: *until,
            resent: again,
            reused_connection: kept,
            retry,
            ..base()
        });
        let patience = match planned.impatient {
            true => left_ms * 500,
            false => (*until + LATE).saturating_sub(ended),
        };
        let value = tokio::time::timeout(Duration::from_micros(patience), read(&mut conn)).await;
        let t = self.mono.seen();
        let t = TimeInterval { earliest: t.earliest.max(begun), latest: t.latest };
        match value {
            Ok(Some(value)) => {
                let (outcome, text, advice_ms) = meaning(value);
                self.recorder.line(HistoryRecord {
                    time: t,
                    event: Event::Answer,
                    outcome: Some(outcome),
                    value: text,
                    retry_after_ms: advice_ms,
                    ..base()
                });
                conn.last = id.into();
                conn.idle_since = Mono::now();
                if conn.input.is_empty() {
                    lock(&target.idle).push(conn);
                } else {
                    self.stray(target, &conn);
                }
                Tried::Answered(outcome, advice_ms)
            }
            Ok(None) => {
                self.recorder.line(HistoryRecord {
                    time: t,
                    event: Event::Closed,
                    reused_connection: kept,
                    ..base()
                });
                Tried::Lost
            }
            Err(_) if planned.impatient => {
                self.recorder.line(HistoryRecord { time: Mono::at(), event: Event::ClientLeft, ..base() });
                Tried::Left
            }
            Err(_) => Tried::Silent,
        }
    }
}

async fn read(conn: &mut Conn) -> Option<Value> {
    loop {
        match resp::take_value(&mut conn.input, 16 * 1024 * 1024) {
            Ok(Some(value)) => return Some(value),
            Ok(None) => {}
            Err(_) => return Some(Value::Error(Bytes::from_static(b"malformed"))),
        }
        conn.input.reserve(4096);
        if !matches!(conn.stream.read_buf(&mut conn.input).await, Ok(count) if count > 0) {
            return None;
        }
    }
}

/// What an answer means to a client: its outcome, the part of its value that is unique, and the advice.
fn meaning(value: Value) -> (Outcome, String, u64) {
    let text = |bytes: &[u8]| {
        let end = bytes.iter().position(|b| *b == b' ').unwrap_or(bytes.len()).min(200);
        String::from_utf8_lossy(&bytes[..end]).into_owned()
    };
    match value {
        Value::Bulk(Some(value)) => (Outcome::Served, text(&value), 0),
        Value::Array(items) => match items.into_iter().next() {
            Some(Value::Bulk(Some(value))) => (Outcome::Served, text(&value), 0),
            _ => (Outcome::Failed, String::new(), 0),
        },
        Value::Error(line) if line.starts_with(b"BUSY") => {
            let advice = text(line.get(5..).unwrap_or(b""));
            (Outcome::Rejected, String::new(), advice.parse().unwrap_or(0))
        }
        _ => (Outcome::Failed, String::new(), 0),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn load() -> Load {
        let class = |name: &str, share, write| LoadClass {
            name: name.into(),
            share,
            deadline_ms: 500,
            write,
            keyed: write,
            repeats: true,
            value_len: 8,
        };
        let classes = vec![class("read", 0.9, false), class("edit", 0.1, true)];
        Load {
            per_s: 2_000.0,
            classes,
            tenants: vec![("a".into(), 0.75), ("b".into(), 0.25)],
            ..Load::default()
        }
    }

    #[test]
    fn the_same_seed_draws_the_same_load_and_another_seed_another() {
        assert_eq!(plan(&load(), 4, 7), plan(&load(), 4, 7));
        assert_ne!(plan(&load(), 4, 7), plan(&load(), 4, 8));
    }

    #[test]
    fn a_load_has_its_rate_its_shares_and_a_popular_head() {
        let planned = plan(&load(), 4, 7);
        let part = |of: &dyn Fn(&Planned) -> bool| {
            planned.iter().filter(|p| of(p)).count() as f64 / planned.len() as f64
        };
        assert!((5_500..6_500).contains(&planned.len()), "{} of about 6000", planned.len());
        assert!((0.07..0.13).contains(&part(&|p| p.class == 1)));
        assert!((0.70..0.80).contains(&part(&|p| p.tenant == 0)));
        let (first, last) = (part(&|p| p.key == key(0)), part(&|p| p.key == key(499)));
        assert!(first > 5.0 * last, "{first} against {last}");
        assert!(planned.windows(2).all(|p| p[0].at_us <= p[1].at_us));
        assert!(plan(&Load { per_s: 0.0, ..load() }, 4, 7).is_empty());
        // A crowd of twice the rate for a third of the time.
        let crowded = plan(&Load { crowds: vec![(1_000, 1_000, 2.0)], ..load() }, 4, 7);
        let within = crowded.iter().filter(|p| (1_000_000..2_000_000).contains(&p.at_us)).count();
        assert!((3_600..4_400).contains(&within), "{within} of about 4000");
        assert!((7_400..8_600).contains(&crowded.len()), "{} of about 8000", crowded.len());
    }
}
