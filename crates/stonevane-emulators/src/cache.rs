//! A cache server: it stores, misses, turns cold on restart, warms, queues, falls over when pushed, drops
//! repeats of a key, drains, and limits connections.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use stonevane_audit::{Effect, Event, HistoryRecord, TimeInterval};
use stonevane_codec::resp;
use stonevane_server_model::value::{digest, padded};
use stonevane_server_model::work::{Cores, Window, drawn, work_capacity};

use crate::record::{Mono, Recorder};
use crate::server::{Due, Fault, Place, Ports, Speaker, lock};

/// A cache server's figures. Times in microseconds.
#[derive(Debug, Clone)]
pub struct CacheSpec {
    /// Its name, the same at every node.
    pub name: String,
    /// Its zone and its cell.
    pub zone: String,
    /// Its cell.
    pub cell: u16,
    /// Its machine kind.
    pub kind: String,
    /// Requests that it works on at once.
    pub cores: usize,
    /// Mean work of a read that it holds; a miss takes a tenth.
    pub work_us: u64,
    /// Its coefficient of variation.
    pub work_cv: f64,
    /// The round trip to each node that is not beside it.
    pub far_us: BTreeMap<String, u64>,
    /// The longest wait in its queue.
    pub queue_us: u64,
    /// Part of its capacity that it starts with, and how long it takes to warm.
    pub cold_share: f64,
    /// How long it takes to warm.
    pub warm_us: u64,
    /// It falls over when sent more than this multiple of what it can do for so long.
    pub fall_multiple: f64,
    /// For how long it must be pushed.
    pub fall_us: u64,
    /// Keys that it can hold.
    pub objects: usize,
    /// Connections that it takes, for all nodes together.
    pub connections: usize,
    /// It closes a connection that stands idle for so long.
    pub idle_us: u64,
    /// It drops a repeat of an idempotency key for so long.
    pub dedup_us: u64,
    /// Length of its values, in bytes.
    pub value_len: usize,
}

impl Default for CacheSpec {
    fn default() -> Self {
        CacheSpec {
            name: "s-1".into(),
            zone: "a".into(),
            cell: 0,
            kind: "std".into(),
            cores: 8,
            work_us: 4_000,
            work_cv: 0.0,
            far_us: BTreeMap::new(),
            queue_us: 500_000,
            cold_share: 0.35,
            warm_us: 7_500_000,
            fall_multiple: 3.0,
            fall_us: 2_000_000,
            objects: 10_000,
            connections: 1_000,
            idle_us: 15_000_000,
            dedup_us: 200_000,
            value_len: 64,
        }
    }
}

/// A copy: its version, when it was last used, and the value where a node filled it, until a time.
struct Copy {
    version: u64,
    used: u64,
    filled: Option<(Bytes, u64)>,
}

/// What it holds, oldest use first.
#[derive(Default)]
struct Store {
    held: HashMap<String, Copy>,
    order: BTreeMap<u64, String>,
    clock: u64,
    /// Versions below which nothing is to be held, each until a time.
    voided: HashMap<String, (u64, u64)>,
}

impl Store {
    /// The version, and the value where a node filled it.
    fn get(&mut self, key: &str, now: u64) -> Option<(u64, Option<Bytes>)> {
        if self.held.get(key)?.filled.as_ref().is_some_and(|(_, until)| *until <= now) {
            self.void(key);
            return None;
        }
        let copy = self.held.get_mut(key)?;
        self.clock += 1;
        self.order.remove(&copy.used);
        copy.used = self.clock;
        self.order.insert(self.clock, key.into());
        Some((copy.version, copy.filled.as_ref().map(|(value, _)| value.clone())))
    }

    /// Holds what a node brings, unless something newer is held or was told of.
    fn fill(&mut self, key: &str, version: u64, value: Bytes, (now, until): (u64, u64), most: usize) -> bool {
        let voided = self.voided.get(key).is_some_and(|(mark, until)| version < *mark && now < *until);
        let newer = self.held.get(key).is_some_and(|copy| copy.version > version);
        if voided || newer {
            return false;
        }
        self.put(key, version, most);
        if let Some(copy) = self.held.get_mut(key) {
            copy.filled = Some((value, until));
        }
        true
    }

    /// Nothing older than a version is held from now on.
    fn void_below(&mut self, key: &str, version: u64, (now, until): (u64, u64)) {
        if self.held.get(key).is_some_and(|copy| copy.version < version) {
            self.void(key);
        }
        let mark = self.voided.entry(key.into()).or_default();
        *mark = (mark.0.max(version), mark.1.max(until));
        if self.voided.len() > 65_536 {
            self.voided.retain(|_, (_, until)| *until > now);
        }
    }

    fn put(&mut self, key: &str, version: u64, most: usize) {
        self.void(key);
        self.clock += 1;
        self.held.insert(key.into(), Copy { version, used: self.clock, filled: None });
        self.order.insert(self.clock, key.into());
        while self.held.len() > most {
            let Some((_, oldest)) = self.order.pop_first() else { break };
            self.held.remove(&oldest);
        }
    }

    fn void(&mut self, key: &str) {
        if let Some(copy) = self.held.remove(key) {
            self.order.remove(&copy.used);
        }
    }
}

struct State {
    store: Store,
    cores: Cores,
    window: Window,
    /// When its process started, cold; `None` for long ago.
    started: Option<u64>,
    draining: bool,
    fallen: bool,
    number: u64,
    /// Requests that missed here, and may be filled: the newest few thousand.
    missed: HashMap<String, String>,
    missed_order: VecDeque<String>,
    seen: HashMap<String, (u64, u64)>,
    /// Answers on their way: request, value, version. Those that never arrive are forgotten in time.
    values: BTreeMap<u64, (String, String, u64)>,
}

/// What it has counted.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Attempts that came.
    pub attempts: u64,
    /// Reads that it held.
    pub hits: u64,
    /// Reads that it lacked.
    pub misses: u64,
    /// Turned away.
    pub busy: u64,
    /// Times that it fell over.
    pub falls: u64,
}

/// A cache server.
pub struct Cache {
    /// Its figures.
    pub spec: CacheSpec,
    state: Mutex<State>,
    counts: Mutex<Counts>,
    open: Arc<AtomicUsize>,
    recorder: Recorder,
    ports: Mutex<Option<Ports>>,
}

impl Cache {
    /// Starts one, warm, with a door for each node.
    ///
    /// # Errors
    /// Where no port is free.
    pub async fn start(
        spec: CacheSpec,
        nodes: &[(String, SocketAddr)],
        mono: &Mono,
        recorder: Recorder,
    ) -> std::io::Result<Arc<Cache>> {
        let cache = Arc::new(Cache {
            state: Mutex::new(State::new(&spec, None)),
            counts: Mutex::default(),
            open: Arc::default(),
            ports: Mutex::default(),
            recorder,
            spec,
        });
        cache.tell_start(Mono::at(), 0);
        let speaker = cache.clone();
        let speak = move |node: &str| {
            let open = speaker.open.fetch_add(1, Ordering::Relaxed);
            let place = Place(speaker.open.clone());
            let room = open < speaker.spec.connections;
            room.then(|| Conn { cache: speaker.clone(), node: node.into(), _place: place })
        };
        let ports = Ports::open(nodes, mono, speak).await?;
        *lock(&cache.ports) = Some(ports);
        Ok(cache)
    }

    fn tell_start(&self, t: TimeInterval, warm_us: u64) {
        self.recorder.line(HistoryRecord {
            time: t,
            recorder: self.spec.name.clone(),
            event: Event::Start,
            zone: self.spec.zone.clone(),
            cell: self.spec.cell.into(),
            capacity_us_per_s: self.capacity(),
            cold_share: self.spec.cold_share,
            warm_us,
            started_at: if warm_us == 0 { 0 } else { t.earliest },
            ..HistoryRecord::default()
        });
    }

    fn capacity(&self) -> f64 {
        self.spec.cores as f64 * 1e6
    }

    /// The address that a node knows it by.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        lock(&self.ports).as_ref().and_then(|ports| ports.address(node))
    }

    /// What it has counted.
    pub fn counts(&self) -> Counts {
        *lock(&self.counts)
    }

    /// Changes what is wrong, for one node or for all.
    pub fn fault(&self, node: Option<&str>, fault: Fault) {
        if fault == Fault::Dead && node.is_none() {
            self.line(Event::Down);
        }
        if let Some(ports) = &*lock(&self.ports) {
            ports.set(node, fault);
        }
    }

    /// Its process starts again, cold; the moment in microseconds of the monotonic clock.
    pub fn restart(&self) -> u64 {
        let t = Mono::at();
        *lock(&self.state) = State::new(&self.spec, Some(t.earliest));
        self.tell_start(t, self.spec.warm_us);
        if let Some(ports) = &*lock(&self.ports) {
            ports.set(None, Fault::None);
        }
        t.earliest
    }

    /// What is wrong at a node's door.
    pub fn wrong(&self, node: &str) -> Option<Fault> {
        lock(&self.ports).as_ref().and_then(|ports| ports.wrong(node))
    }

    /// It ends what it has and wants nothing new.
    pub fn drain(&self, on: bool) {
        lock(&self.state).draining = on;
    }

    /// The origin has answered a request: the value is stored if it missed here.
    pub fn fill(&self, request: &str, key: &str, version: u64) -> bool {
        let mut state = lock(&self.state);
        let missed = state.missed.remove(request).is_some_and(|missed| missed == key);
        if missed {
            state.store.put(key, version, self.spec.objects);
        }
        missed
    }

    /// The key has changed at the origin.
    pub fn void(&self, key: &str) {
        lock(&self.state).store.void(key);
    }

    /// What an origin in another process tells of copies: `LAB.FILL KEY REQUEST VERSION`, `LAB.VOID KEY`; and what
    /// nodes tell where a store of record is in the origin's place: `OBJ.FILL KEY VERSION MS VALUE`, `OBJ.VOID KEY
    /// VERSION MS`.
    fn copied(&self, words: &[Bytes], now: u64) -> Option<bool> {
        let text = |at: usize| words.get(at).and_then(|w| std::str::from_utf8(w).ok());
        let number = |at: usize| text(at).and_then(|w| w.parse::<u64>().ok());
        match (text(0)?, text(1)) {
            ("OBJ.VOID", Some(key)) => {
                let told = number(2).zip(number(3));
                if let Some((version, ms)) = told {
                    lock(&self.state).store.void_below(key, version, (now, now.saturating_add(ms * 1_000)));
                }
                Some(told.is_some())
            }
            ("OBJ.FILL", Some(key)) => {
                let told = number(2).zip(number(3)).zip(words.get(4));
                if let Some(((version, ms), value)) = told {
                    let until = (now, now.saturating_add(ms * 1_000));
                    lock(&self.state).store.fill(key, version, value.clone(), until, self.spec.objects);
                }
                Some(told.is_some())
            }
            ("LAB.VOID", Some(key)) => {
                self.void(key);
                Some(true)
            }
            ("LAB.FILL", Some(key)) => {
                let filled = text(2).zip(text(3).and_then(|v| v.parse().ok()));
                if let Some((request, version)) = filled {
                    self.fill(request, key, version);
                }
                Some(filled.is_some())
            }
            ("LAB.FILL" | "LAB.VOID", None) => Some(false),
            _ => None,
        }
    }

    /// Holds a key from the beginning.
    pub fn hold(&self, key: &str, version: u64) {
        lock(&self.state).store.put(key, version, self.spec.objects);
    }

    fn line(&self, event: Event) {
        let who = self.spec.name.clone();
        self.recorder.line(HistoryRecord {
            time: Mono::at(),
            recorder: who,
            event,
            ..HistoryRecord::default()
        });
    }

    /// Does a request's work; what is said, and when.
    fn work(&self, node: &str, asked: &Asked, first: TimeInterval, t: TimeInterval) -> Due {
        let now = t.latest;
        let spec = &self.spec;
        let mut state = lock(&self.state);
        let mut counts = lock(&self.counts);
        state.number += 1;
        counts.attempts += 1;
        let number = state.number;
        let (started, warm_us) = state.started.map_or((0, 0), |at| (at, spec.warm_us));
        let share = work_capacity(1e6, spec.cold_share, started, warm_us, now, 1).max(0.01);
        let repeat = state.seen.get(&asked.token).filter(|(until, _)| *until > now).map(|(_, v)| *v);
        let held = if asked.write { None } else { state.store.get(&asked.key, now) };
        let version = match (asked.write, repeat) {
            (true, Some(version)) => Some(version),
            (true, None) => Some(number),
            (false, _) => held.as_ref().map(|(version, _)| *version),
        };
        let whole = drawn(spec.work_us, spec.work_cv, &asked.request);
        let work_us = if version.is_some() { whole } else { whole / 10 };
        let slow = (work_us as f64 / share) as u64;
        let mut effect = match (asked.write, version, repeat) {
            (true, _, Some(_)) => Effect::Deduplicated,
            (_, Some(_), _) => Effect::Ran,
            (_, None, _) => Effect::Miss,
        };
        // What would be done in the window, pushed over when it is too much for too long.
        let window = state.window.add(now, work_us, spec.fall_us);
        let most = work_capacity(
            self.capacity(),
            spec.cold_share,
            started,
            warm_us,
            now.saturating_sub(spec.fall_us).max(started),
            spec.fall_us,
        );
        let cold = warm_us > 0 && now < started + warm_us;
        if cold && window as f64 > spec.fall_multiple * most && !state.fallen {
            state.fallen = true;
            counts.falls += 1;
            tracing::warn!(server = spec.name, "fell over");
            let (who, event, words) = (spec.name.clone(), Event::Fault, "fell over".to_owned());
            self.recorder.line(HistoryRecord {
                time: t,
                recorder: who,
                event,
                state: words,
                ..HistoryRecord::default()
            });
        }
        let done = match state.draining || state.fallen {
            true => None,
            false => state.cores.take(now, slow, spec.queue_us),
        };
        if done.is_none() {
            effect = Effect::Busy;
        }
        match effect {
            Effect::Busy => counts.busy += 1,
            Effect::Miss => {
                counts.misses += 1;
                if state.missed.insert(asked.request.clone(), asked.key.clone()).is_none() {
                    state.missed_order.push_back(asked.request.clone());
                }
                if state.missed_order.len() > 4096 {
                    let oldest = state.missed_order.pop_front().unwrap_or_default();
                    state.missed.remove(&oldest);
                }
            }
            Effect::Ran if asked.write => {
                state.seen.insert(asked.token.clone(), (now + spec.dedup_us, number));
                state.seen.retain(|_, (until, _)| *until > now);
                state.store.void(&asked.key);
            }
            Effect::Ran => counts.hits += 1,
            Effect::Deduplicated | Effect::NotReceived => {}
        }
        self.recorder.line(HistoryRecord {
            time: t,
            recorder: spec.name.clone(),
            event: Event::Attempt,
            request: asked.request.clone(),
            node: node.into(),
            class: asked.class.clone(),
            key: asked.key.clone(),
            idempotency_key: asked.token.clone(),
            digest: asked.digest.clone(),
            effect: Some(effect),
            first_byte: (first != t).then_some(first),
            number,
            work_us,
            ..HistoryRecord::default()
        });
        let mark =
            state.store.voided.get(&asked.key).filter(|(_, until)| now < *until).map(|(mark, _)| *mark);
        let value = version.filter(|_| matches!(effect, Effect::Ran | Effect::Deduplicated)).map(|version| {
            let filled = held.as_ref().and_then(|(_, value)| value.as_ref());
            let value = match filled {
                // What is unique of a value stands first, up to a space.
                Some(value) => {
                    String::from_utf8_lossy(value).split(' ').next().unwrap_or_default().to_owned()
                }
                None => format!("{}.{version}.{}.{}.{number}", asked.key, asked.request, spec.name),
            };
            state.values.insert(number, (asked.request.clone(), value.clone(), version));
            value
        });
        let bytes = match (effect, value) {
            (Effect::Busy, _) => Bytes::from_static(b"-BUSY\r\n"),
            (_, None) => {
                state.values.insert(number, (asked.request.clone(), String::new(), 0));
                let mut out = BytesMut::from(&b"*3\r\n$-1\r\n"[..]);
                match mark {
                    // What it lacks was voided by a node: a fetch must bring this version at the least.
                    Some(mark) => resp::put_bulk(&mut out, format!("miss:{mark}").as_bytes()),
                    None => out.extend_from_slice(b"$-1\r\n"),
                }
                out.extend_from_slice(b"$-1\r\n");
                out.freeze()
            }
            (_, Some(value)) => {
                let value = padded(&value, spec.value_len);
                let mut out = BytesMut::from(&b"*3\r\n"[..]);
                resp::put_bulk(&mut out, value.as_bytes());
                out.extend_from_slice(b"$-1\r\n$-1\r\n");
                out.freeze()
            }
        };
        while state.values.len() > 50_000 {
            state.values.pop_first();
        }
        let far = spec.far_us.get(node).copied().unwrap_or(0);
        Due { at: done.unwrap_or(now) + far, bytes, number, close: false }
    }

    /// What answers an attempt is written, or will never be.
    fn says(&self, event: Event, number: u64) {
        let Some((request, value, version)) = lock(&self.state).values.remove(&number) else { return };
        let t = Mono::at();
        let base = HistoryRecord {
            time: t,
            recorder: self.spec.name.clone(),
            event,
            request,
            number,
            ..HistoryRecord::default()
        };
        let said = event == Event::Reply;
        self.recorder.line(if said { HistoryRecord { value, version, ..base } } else { base });
    }
}

impl State {
    fn new(spec: &CacheSpec, started: Option<u64>) -> State {
        State {
            store: Store::default(),
            cores: Cores::new(spec.cores),
            window: Window::default(),
            started,
            draining: false,
            fallen: false,
            // Numbers of another life stay apart.
            number: started.unwrap_or(0),
            missed: HashMap::new(),
            missed_order: VecDeque::new(),
            seen: HashMap::new(),
            values: BTreeMap::new(),
        }
    }
}

/// A request as nodes and clients write it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Asked {
    /// The key.
    pub key: String,
    /// The request's id.
    pub request: String,
    /// The class.
    pub class: String,
    /// The idempotency key, empty for none.
    pub token: String,
    /// Whether it writes.
    pub write: bool,
    /// How long the sender waits, in milliseconds.
    pub wait_ms: u64,
    /// A digest of what it writes.
    pub digest: String,
}

/// Reads the words of a command; `None` where it is none of the protocol's.
pub fn asked(words: &[Bytes]) -> Option<Asked> {
    let text = |at: usize| words.get(at).and_then(|w| std::str::from_utf8(w).ok());
    let write = match (text(0)?, words.len()) {
        ("OBJ.GET", 4) => false,
        ("OBJ.SET", 5) => true,
        _ => return None,
    };
    let mut asked = Asked { key: text(1)?.into(), request: text(2)?.into(), write, ..Asked::default() };
    facts(text(3)?, &mut asked);
    asked.digest = words.get(4).map(|value| digest(value)).unwrap_or_default();
    Some(asked)
}

/// Reads a list of names and values.
pub fn facts(text: &str, asked: &mut Asked) {
    for (name, value) in text.split(',').filter_map(|fact| fact.split_once('=')) {
        match name {
            "c" => asked.class = value.into(),
            "k" => asked.token = value.into(),
            "d" => asked.wait_ms = value.parse().unwrap_or(0),
            _ => {}
        }
    }
}

struct Conn {
    cache: Arc<Cache>,
    node: String,
    _place: Place,
}

impl Speaker for Conn {
    fn take(
        &mut self,
        buffer: &mut BytesMut,
        first: TimeInterval,
        last: TimeInterval,
    ) -> Result<Option<Due>, ()> {
        let Some(words) = resp::take_command(buffer).map_err(|_| ())? else { return Ok(None) };
        if let Some(asked) = asked(&words) {
            return Ok(Some(self.cache.work(&self.node, &asked, first, last)));
        }
        if let Some(done) = self.cache.copied(&words, last.latest) {
            let bytes = Bytes::from_static(if done { b"+OK\r\n" } else { b"-ERR copy\r\n" });
            return Ok(Some(Due { at: last.latest, bytes, number: 0, close: false }));
        }
        let word = words.first().map(|w| w.to_ascii_uppercase()).unwrap_or_default();
        let bytes: &'static [u8] = match word.as_slice() {
            b"PING" => b"+PONG\r\n",
            b"CLIENT" | b"SELECT" => b"+OK\r\n",
            b"INFO" => b"-NOPERM\r\n",
            b"OBJ.GET" | b"OBJ.SET" => b"-SYNTAX\r\n",
            _ => b"-ERR unknown command\r\n",
        };
        Ok(Some(Due { at: last.latest, bytes: Bytes::from_static(bytes), number: 0, close: false }))
    }

    fn says(&mut self, due: &Due) -> Option<Bytes> {
        self.cache.says(Event::Reply, due.number);
        None
    }

    fn unsaid(&mut self, due: &Due) -> Option<Bytes> {
        self.over(due);
        None
    }

    fn over(&mut self, due: &Due) {
        self.cache.says(Event::AttemptEnded, due.number);
    }

    fn idle(&self) -> Duration {
        Duration::from_micros(self.cache.spec.idle_us)
    }
}
