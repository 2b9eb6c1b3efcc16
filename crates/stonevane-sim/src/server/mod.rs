//! Models of caches and the origin: the keys that they hold and how they handle requests. Time is an
//! argument, in simulated microseconds. The work of a request is drawn from its id alone.

pub mod protocol;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use protocol::ServerRequest;
use stonevane_audit::{Effect, work_capacity};
use stonevane_server_model::work::{Cores, request_work_us};

/// CPU cores of each cache and of the origin.
const CORES: usize = 4;
/// Mean work of a request in microseconds: a read at a cache, a read at the origin and an edit at the origin.
const CACHE_READ_US: u64 = 8_000;
const ORIGIN_READ_US: u64 = 12_000;
const ORIGIN_WRITE_US: u64 = 12_000;
/// Coefficient of variation of the work of a request.
const WORK_VARIATION: f64 = 0.3;
/// A miss costs a hit's work divided by this.
const MISS_WORK_DIVISOR: u64 = 10;
/// Longest wait for a core, microseconds; a request that would wait longer is rejected.
const MAX_QUEUE_US: u64 = 400_000;
/// Capacity of a server right after a cold start, as a share of its warmed-up capacity.
pub const COLD_SHARE: f64 = 0.35;
/// Time from a cold start until the server is warmed up, microseconds.
pub const WARM_UP_US: u64 = 4_000_000;
/// Time for which the origin deduplicates requests with the same idempotency key, microseconds.
pub const DEDUP_WINDOW_US: u64 = 200_000;
/// Number of idempotency keys that the origin remembers before it removes those older than
/// [`DEDUP_WINDOW_US`].
const MAX_DEDUP_KEYS: usize = 1_024;
/// Maximum number of missed requests that a cache remembers, to fill itself from the origin's answers.
const MAX_MISSES: usize = 4_096;

/// Result of handling a request at a server.
#[derive(Debug, Clone)]
pub struct Work {
    pub effect: Effect,
    pub version: u64,
    /// Number of the attempt, by which this server distinguishes its attempts.
    pub number: u64,
    /// CPU time that the request takes on a warmed-up server, microseconds.
    pub cost_us: u64,
    pub answered_at: u64,
}

/// An applied edit, kept to deduplicate later requests with the same idempotency key.
struct DedupEntry {
    expires_at: u64,
    version: u64,
}

/// State of a cache or of the origin.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub is_origin: bool,
    /// Whether the process runs.
    pub is_up: bool,
    /// Whether the process neither reads requests nor answers them.
    pub is_silent: bool,
    /// Whether the machine is unreachable.
    pub is_unreachable: bool,
    /// Number of answers after which one is truncated and its connection closed: 2 truncates each second
    /// answer; `None` truncates no answer.
    pub truncate_every: Option<u64>,
    /// Whether the server sends extra bytes after each answer.
    pub sends_extra_bytes: bool,
    /// Whether each answer is corrupted.
    pub corrupts_answers: bool,
    /// Whether no answer ends.
    pub sends_endless_answers: bool,
    pub incarnation: u64,
    /// Simulated time of the last cold start, microseconds; `None` if the server was warm from the beginning.
    pub started_at: Option<u64>,
    /// Version of each key that the server holds.
    pub versions: BTreeMap<String, u64>,
    cores: Cores,
    dedup: BTreeMap<String, DedupEntry>,
    attempts: u64,
    answers: u64,
    /// Keys of the requests that missed here, by request id; the origin's answers to these requests fill the
    /// cache.
    misses: BTreeMap<String, String>,
    /// Request ids in `misses`, oldest first.
    miss_order: VecDeque<String>,
}

impl Server {
    /// Creates a running server that holds no keys.
    pub fn new(name: &str, address: SocketAddr, is_origin: bool) -> Server {
        Server {
            name: name.into(),
            address,
            is_origin,
            is_up: true,
            is_silent: false,
            is_unreachable: false,
            truncate_every: None,
            sends_extra_bytes: false,
            corrupts_answers: false,
            sends_endless_answers: false,
            incarnation: 0,
            started_at: None,
            versions: BTreeMap::new(),
            cores: Cores::new(CORES),
            dedup: BTreeMap::new(),
            attempts: 0,
            answers: 0,
            misses: BTreeMap::new(),
            miss_order: VecDeque::new(),
        }
    }

    /// Restarts the process. A cache starts cold and empty; the origin keeps its data.
    pub fn restart(&mut self, now: u64) {
        self.is_up = true;
        self.incarnation += 1;
        self.cores = Cores::new(CORES);
        if !self.is_origin {
            self.versions.clear();
            self.dedup.clear();
            self.misses.clear();
            self.started_at = Some(now);
        }
    }

    /// Capacity of a warmed-up server, microseconds of work per second.
    pub fn capacity_us_per_s() -> f64 {
        CORES as f64 * 1e6
    }

    /// Whether the server reads requests.
    pub fn is_reading(&self) -> bool {
        self.is_up && !self.is_unreachable && !self.is_silent
    }

    /// Stops all work until the simulated time `until`, microseconds.
    pub fn stall(&mut self, until: u64) {
        self.cores.stop_until(until);
    }

    /// Rejects a request whose connection has no slot in the connection table.
    pub fn reject(&mut self, now: u64) -> Work {
        self.attempts += 1;
        Work { effect: Effect::Busy, version: 0, number: self.attempts, cost_us: 0, answered_at: now }
    }

    /// Handles a complete request: draws its work, occupies a core and applies its effect.
    pub fn handle(&mut self, now: u64, request: &ServerRequest) -> Work {
        self.attempts += 1;
        let number = self.attempts;
        let (mut effect, version) = self.effect_of(now, request, number);
        let full_work_us = request_work_us(self.mean_work_us(request), WORK_VARIATION, &request.id);
        let cost_us = if effect == Effect::Miss { full_work_us / MISS_WORK_DIVISOR } else { full_work_us };
        let took_us = (cost_us as f64 / self.speed(now)) as u64;
        let answered_at = self.cores.take(now, took_us, MAX_QUEUE_US).unwrap_or_else(|| {
            effect = Effect::Busy;
            now
        });
        match effect {
            Effect::Ran if request.is_write => self.apply_edit(now, request, version),
            Effect::Miss => self.note_miss(request),
            _ => {}
        }
        Work { effect, version, number, cost_us, answered_at }
    }

    fn mean_work_us(&self, request: &ServerRequest) -> u64 {
        match (self.is_origin, request.is_write) {
            (false, _) => CACHE_READ_US,
            (true, false) => ORIGIN_READ_US,
            (true, true) => ORIGIN_WRITE_US,
        }
    }

    /// Returns the server's speed at `now` as a share of its warmed-up speed.
    fn speed(&self, now: u64) -> f64 {
        let share = |started_at| work_capacity(1e6, COLD_SHARE, started_at, WARM_UP_US, now, 1).max(0.01);
        self.started_at.map_or(1.0, share)
    }

    /// Returns the effect that a request has if the server has capacity for it, and the version that the
    /// request reads or creates.
    fn effect_of(&self, now: u64, request: &ServerRequest, number: u64) -> (Effect, u64) {
        if request.is_write {
            let earlier = self.dedup.get(&request.idempotency_key);
            let earlier = earlier.filter(|edit| edit.expires_at > now && !request.idempotency_key.is_empty());
            return earlier.map_or((Effect::Ran, number), |edit| (Effect::Deduplicated, edit.version));
        }
        match self.versions.get(&request.key) {
            Some(version) => (Effect::Ran, *version),
            None if self.is_origin => (Effect::Ran, 0),
            None => (Effect::Miss, 0),
        }
    }

    fn apply_edit(&mut self, now: u64, request: &ServerRequest, version: u64) {
        if !request.idempotency_key.is_empty() {
            let entry = DedupEntry { expires_at: now + DEDUP_WINDOW_US, version };
            self.dedup.insert(request.idempotency_key.clone(), entry);
            if self.dedup.len() > MAX_DEDUP_KEYS {
                self.dedup.retain(|_, entry| entry.expires_at > now);
            }
        }
        self.versions.insert(request.key.clone(), version);
    }

    fn note_miss(&mut self, request: &ServerRequest) {
        if self.misses.insert(request.id.clone(), request.key.clone()).is_none() {
            self.miss_order.push_back(request.id.clone());
        }
        if self.miss_order.len() > MAX_MISSES
            && let Some(oldest) = self.miss_order.pop_front()
        {
            self.misses.remove(&oldest);
        }
    }

    /// Fills the cache from the origin's answer to a request, if the request missed `key` here.
    pub fn fill(&mut self, request: &str, key: &str, version: u64) {
        if self.misses.remove(request).is_some_and(|missed| missed == key) {
            self.versions.insert(key.to_owned(), version);
        }
    }

    /// Counts an answer and returns whether the server must truncate it.
    pub fn truncates_next_answer(&mut self) -> bool {
        self.answers += 1;
        self.truncate_every.is_some_and(|every| self.answers.is_multiple_of(every))
    }
}
