//! Models of caches and the origin: what they hold and how they handle requests. Time is an argument, and work is drawn
//! from a request's id alone.

pub mod protocol;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use protocol::ServerRequest;
use stonevane_audit::{Effect, work_capacity};
use stonevane_server_model::work::{Cores, drawn};

/// Cores of a cache and of the origin.
const CORES: usize = 4;
/// The mean work of a read at a cache, of a fetch and of an edit at the origin, microseconds.
const CACHE_READ_US: u64 = 8_000;
const ORIGIN_READ_US: u64 = 12_000;
const ORIGIN_WRITE_US: u64 = 12_000;
/// Its coefficient of variation.
const WORK_VARIATION: f64 = 0.3;
/// A miss costs one part in so many of a hit's work.
const MISS_WORK_DIVISOR: u64 = 10;
/// Work that would wait longer is rejected, microseconds.
const MAX_QUEUE_US: u64 = 400_000;
/// Share of its capacity that a cold server has.
pub const COLD_SHARE: f64 = 0.35;
/// Time until a cold server is warm, microseconds.
pub const WARM_UP_US: u64 = 4_000_000;
/// How long the origin drops a repeat of an idempotency key, microseconds.
pub const DEDUP_WINDOW_US: u64 = 200_000;
/// Idempotency keys that the origin remembers before it forgets those past their window.
const MAX_DEDUP_KEYS: usize = 1_024;
/// Requests whose misses a cache remembers, at most.
const MAX_MISSES: usize = 4_096;

/// How a server handles a request.
#[derive(Debug, Clone)]
pub struct Work {
    pub effect: Effect,
    pub version: u64,
    /// The attempt's number at this server.
    pub number: u64,
    /// Of a warm server's time, microseconds.
    pub cost_us: u64,
    pub answered_at: u64,
}

/// An edit that the origin has run.
struct DedupEntry {
    expires_at: u64,
    version: u64,
}

/// A server.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub is_origin: bool,
    /// Its process runs.
    pub is_up: bool,
    /// It reads and answers nothing.
    pub is_silent: bool,
    /// Its machine is unreachable.
    pub is_unreachable: bool,
    /// Of so many answers, one is torn.
    pub tear_every: Option<u64>,
    /// It sends bytes behind its answers.
    pub is_noisy: bool,
    /// It corrupts its answers.
    pub is_garbling: bool,
    pub incarnation: u64,
    /// When it started cold.
    pub started_at: Option<u64>,
    /// Versions of the keys that it holds.
    pub versions: BTreeMap<String, u64>,
    cores: Cores,
    dedup: BTreeMap<String, DedupEntry>,
    attempts: u64,
    answers: u64,
    /// Keys of requests that missed, to be filled by the origin's answers.
    misses: BTreeMap<String, String>,
    miss_order: VecDeque<String>,
}

impl Server {
    /// One that holds nothing.
    pub fn new(name: &str, address: SocketAddr, is_origin: bool) -> Server {
        Server {
            name: name.into(),
            address,
            is_origin,
            is_up: true,
            is_silent: false,
            is_unreachable: false,
            tear_every: None,
            is_noisy: false,
            is_garbling: false,
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

    /// Its process starts anew, cold and empty; the origin keeps what it holds.
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

    /// Microseconds of work a second that a warm server can do.
    pub fn capacity_us_per_s() -> f64 {
        CORES as f64 * 1e6
    }

    /// Whether it reads what comes.
    pub fn is_reading(&self) -> bool {
        self.is_up && !self.is_unreachable && !self.is_silent
    }

    /// Does no work before a moment.
    pub fn stall(&mut self, until: u64) {
        self.cores.stop_until(until);
    }

    /// A request has come on a connection without a slot.
    pub fn reject(&mut self, now: u64) -> Work {
        self.attempts += 1;
        Work { effect: Effect::Busy, version: 0, number: self.attempts, cost_us: 0, answered_at: now }
    }

    /// A complete request has come.
    pub fn handle(&mut self, now: u64, request: &ServerRequest) -> Work {
        self.attempts += 1;
        let number = self.attempts;
        let (mut effect, version) = self.effect_of(now, request, number);
        let full_work_us = drawn(self.mean_work_us(request), WORK_VARIATION, &request.id);
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

    /// Share of a warm server's speed.
    fn speed(&self, now: u64) -> f64 {
        let share = |started_at| work_capacity(1e6, COLD_SHARE, started_at, WARM_UP_US, now, 1).max(0.01);
        self.started_at.map_or(1.0, share)
    }

    /// What becomes of a request where there is capacity for it, and the version that it shows or makes.
    fn effect_of(&self, now: u64, request: &ServerRequest, number: u64) -> (Effect, u64) {
        if request.is_write {
            let known = self.dedup.get(&request.idempotency_key);
            let known = known.filter(|edit| edit.expires_at > now && !request.idempotency_key.is_empty());
            return known.map_or((Effect::Ran, number), |edit| (Effect::Deduplicated, edit.version));
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

    /// The origin has answered a request: a cache that missed its key for it holds it now.
    pub fn fill(&mut self, request: &str, key: &str, version: u64) {
        if self.misses.remove(request).is_some_and(|missed| missed == key) {
            self.versions.insert(key.to_owned(), version);
        }
    }

    /// Counts an answer; returns whether it is torn.
    pub fn tears_next_answer(&mut self) -> bool {
        self.answers += 1;
        self.tear_every.is_some_and(|every| self.answers.is_multiple_of(every))
    }
}
