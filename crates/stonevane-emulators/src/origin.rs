//! The origin: one slow store of fixed capacity that queues, and stops when overrun.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use stonevane_audit::{Effect, Event, HistoryRecord, TimeInterval};
use stonevane_codec::{http, resp};
use stonevane_server_model::value::{digest, padded};
use stonevane_server_model::work::{Cores, Window, drawn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;

use crate::cache::{Asked, Cache, facts};
use crate::record::{Mono, Recorder};
use crate::server::{Due, Fault, Ports, Speaker, lock};

/// The origin's figures. Times in microseconds.
#[derive(Debug, Clone)]
pub struct OriginSpec {
    /// Its name.
    pub name: String,
    /// Its machine kind.
    pub kind: String,
    /// Requests that it works on at once, and the work of each.
    pub slots: usize,
    /// Work of a read.
    pub read_us: u64,
    /// Work of a write.
    pub write_us: u64,
    /// The coefficient of variation of both.
    pub work_cv: f64,
    /// The round trip to each node that is not beside it.
    pub far_us: BTreeMap<String, u64>,
    /// The longest wait in its queue.
    pub queue_us: u64,
    /// It stops when sent more than this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... for this long ...
    pub fall_us: u64,
    /// ... and for this long.
    pub stop_us: u64,
    /// It drops a repeat of an idempotency key for so long.
    pub dedup_us: u64,
    /// Length of its values, in bytes.
    pub value_len: usize,
}

impl Default for OriginSpec {
    fn default() -> Self {
        OriginSpec {
            name: "origin".into(),
            kind: "origin".into(),
            slots: 8,
            read_us: 60_000,
            write_us: 15_000,
            work_cv: 0.0,
            far_us: BTreeMap::new(),
            queue_us: 2_000_000,
            fall_multiple: 2.5,
            fall_us: 3_000_000,
            stop_us: 3_000_000,
            dedup_us: 200_000,
            value_len: 64,
        }
    }
}

struct State {
    cores: Cores,
    window: Window,
    versions: HashMap<String, u64>,
    newest: u64,
    seen: HashMap<String, (u64, u64)>,
    number: u64,
    /// Answers on their way; those that never arrive are forgotten in time.
    answers: BTreeMap<u64, Answer>,
    falls: u64,
    reads: u64,
    writes: u64,
    /// It does nothing until then: it turns nothing away either.
    stopped: u64,
}

impl State {
    fn stop_until(&mut self, until: u64) {
        self.stopped = self.stopped.max(until);
        self.cores.stop_until(until);
    }
}

/// What is to be said and done when an answer is due.
struct Answer {
    asked: Asked,
    value: String,
    version: u64,
    effect: Effect,
}

/// What it has counted.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Fetches.
    pub reads: u64,
    /// Writes, repeats that were dropped included.
    pub writes: u64,
    /// Times that it stopped.
    pub falls: u64,
    /// The most work in a window, as a multiple of what it can do in one.
    pub peak: f64,
}

/// The origin.
pub struct Origin {
    /// Its figures.
    pub spec: OriginSpec,
    state: Mutex<State>,
    caches: Mutex<Vec<Weak<Cache>>>,
    /// Caches in other processes.
    remote: Mutex<Vec<mpsc::Sender<Bytes>>>,
    recorder: Recorder,
    ports: Mutex<Option<Ports>>,
}

impl Origin {
    /// Starts one with a door for each node.
    ///
    /// # Errors
    /// Where no port is free.
    pub async fn start(
        spec: OriginSpec,
        nodes: &[(String, SocketAddr)],
        mono: &Mono,
        recorder: Recorder,
    ) -> std::io::Result<Arc<Origin>> {
        let state = State {
            cores: Cores::new(spec.slots),
            window: Window::default(),
            versions: HashMap::new(),
            newest: 0,
            seen: HashMap::new(),
            number: 0,
            answers: BTreeMap::new(),
            falls: 0,
            reads: 0,
            writes: 0,
            stopped: 0,
        };
        let (state, ports) = (Mutex::new(state), Mutex::default());
        let (caches, remote) = (Mutex::default(), Mutex::default());
        let origin = Arc::new(Origin { spec, state, caches, remote, recorder, ports });
        let speaker = origin.clone();
        let speak = move |node: &str| Some(Conn { origin: speaker.clone(), node: node.into() });
        let ports = Ports::open(nodes, mono, speak).await?;
        *lock(&origin.ports) = Some(ports);
        Ok(origin)
    }

    /// The caches whose copies follow it: filled where they missed, voided by edits.
    pub fn attach(&self, caches: &[Arc<Cache>]) {
        *lock(&self.caches) = caches.iter().map(Arc::downgrade).collect();
    }

    /// Caches in other processes: they are told of fills and edits by commands of their own.
    pub fn attach_remote(&self, caches: &[SocketAddr]) {
        let told = caches.iter().map(|address| {
            let (tell, mut take) = mpsc::channel::<Bytes>(1024);
            let address = *address;
            tokio::spawn(async move {
                let mut stream = None;
                while let Some(command) = take.recv().await {
                    if stream.is_none() {
                        stream = tokio::net::TcpStream::connect(address).await.ok();
                    }
                    // A cache that is away holds nothing when it is back.
                    let written = match &mut stream {
                        Some(stream) => tell_copy(stream, &command).await,
                        None => continue,
                    };
                    if written.is_err() {
                        stream = None;
                    }
                }
            });
            tell
        });
        *lock(&self.remote) = told.collect();
    }

    fn tell_remote(&self, words: &[&str]) {
        let words: Vec<&[u8]> = words.iter().map(|word| word.as_bytes()).collect();
        let command = resp::command(&words);
        for cache in lock(&self.remote).iter() {
            let _ = cache.try_send(command.clone());
        }
    }

    /// The address that a node knows it by.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        lock(&self.ports).as_ref().and_then(|ports| ports.address(node))
    }

    /// Work that it does a second, in microseconds of work.
    pub fn capacity(&self) -> f64 {
        self.spec.slots as f64 * 1e6
    }

    /// Changes what is wrong, for one node or for all.
    pub fn fault(&self, node: Option<&str>, fault: Fault) {
        if let Some(ports) = &*lock(&self.ports) {
            ports.set(node, fault);
        }
    }

    /// What is wrong at a node's door.
    pub fn wrong(&self, node: &str) -> Option<Fault> {
        lock(&self.ports).as_ref().and_then(|ports| ports.wrong(node))
    }

    /// It does nothing for so long.
    pub fn stop(&self, for_us: u64) {
        lock(&self.state).stop_until(Mono::now() + for_us);
    }

    /// What it has counted.
    pub fn counts(&self) -> Counts {
        let state = lock(&self.state);
        let able = self.capacity() / 1e6 * self.spec.fall_us as f64;
        let peak = state.window.peak as f64 / able;
        Counts { reads: state.reads, writes: state.writes, falls: state.falls, peak }
    }

    fn work(&self, node: &str, asked: Asked, first: TimeInterval, t: TimeInterval) -> Due {
        let now = t.latest;
        let mut state = lock(&self.state);
        state.number += 1;
        let number = state.number;
        let repeat = state.seen.get(&asked.token).filter(|(until, _)| *until > now).map(|(_, v)| *v);
        let repeat = repeat.filter(|_| asked.write && !asked.token.is_empty());
        let work_us = match (asked.write, repeat) {
            (false, _) => self.spec.read_us,
            (true, None) => self.spec.write_us,
            (true, Some(_)) => self.spec.write_us / 10,
        };
        let work_us = drawn(work_us, self.spec.work_cv, &asked.request);
        let window = state.window.add(now, work_us, self.spec.fall_us) as f64;
        if window > self.spec.fall_multiple * self.capacity() / 1e6 * self.spec.fall_us as f64 {
            state.stop_until(now + self.spec.stop_us);
            state.window.clear();
            state.falls += 1;
            tracing::warn!(server = self.spec.name, "stopped");
            let (who, event, words) = (self.spec.name.clone(), Event::Fault, "stopped".to_owned());
            self.recorder.line(HistoryRecord {
                time: t,
                recorder: who,
                event,
                state: words,
                ..HistoryRecord::default()
            });
        }
        let done = state.cores.take(now, work_us, self.spec.queue_us);
        let effect = match (done, repeat) {
            (None, _) => Effect::Busy,
            (_, Some(_)) => Effect::Deduplicated,
            _ => Effect::Ran,
        };
        match asked.write {
            true => state.writes += 1,
            false => state.reads += 1,
        }
        let mut version = 0;
        if effect == Effect::Ran && asked.write {
            // It takes effect when it is taken up: copies that are made from now on are new.
            state.newest += 1;
            version = state.newest;
            state.versions.insert(asked.key.clone(), version);
            if !asked.token.is_empty() {
                state.seen.insert(asked.token.clone(), (now + self.spec.dedup_us, version));
                state.seen.retain(|_, (until, _)| *until > now);
            }
            for cache in lock(&self.caches).iter().filter_map(Weak::upgrade) {
                cache.void(&asked.key);
            }
            self.tell_remote(&["LAB.VOID", &asked.key]);
        } else if let Some(first) = repeat {
            version = first;
        }
        self.recorder.line(HistoryRecord {
            time: t,
            recorder: self.spec.name.clone(),
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
            origin: true,
            ..HistoryRecord::default()
        });
        let value = format!("{}.{version}.{}.{}.{number}", asked.key, asked.request, self.spec.name);
        state.answers.insert(number, Answer { asked, value, version, effect });
        while state.answers.len() > 50_000 {
            state.answers.pop_first();
        }
        // The words are put together when they are due: a read shows the version of that moment.
        let far = self.spec.far_us.get(node).copied().unwrap_or(0);
        let at = done.unwrap_or(now.max(state.stopped)) + far;
        Due { at, bytes: Bytes::new(), number, close: false }
    }

    /// The bytes of an answer, and what it brings about.
    fn answer(&self, number: u64, told: bool) -> Bytes {
        let mut state = lock(&self.state);
        let Some(answer) = state.answers.remove(&number) else { return Bytes::new() };
        let Answer { asked, mut value, mut version, effect } = answer;
        if effect == Effect::Ran && !asked.write {
            version = state.versions.get(&asked.key).copied().unwrap_or(0);
            value = format!("{}.{version}.{}.{}.{number}", asked.key, asked.request, self.spec.name);
        }
        drop(state);
        let busy = effect == Effect::Busy;
        if told && !asked.write && !busy {
            let caches = lock(&self.caches);
            let mut filled = 0;
            for cache in caches.iter().filter_map(Weak::upgrade) {
                // At the first two that missed for this request.
                if filled < 2 && cache.fill(&asked.request, &asked.key, version) {
                    filled += 1;
                }
            }
        }
        if told && !asked.write && !busy {
            self.tell_remote(&["LAB.FILL", &asked.key, &asked.request, &version.to_string()]);
        }
        let (t, who, request) = (Mono::at(), self.spec.name.clone(), asked.request);
        let base = HistoryRecord {
            time: t,
            recorder: who,
            request,
            number,
            event: Event::AttemptEnded,
            ..HistoryRecord::default()
        };
        let said = if busy { String::new() } else { value.clone() };
        self.recorder.line(match told {
            true => HistoryRecord { event: Event::Reply, value: said, version, ..base },
            false => base,
        });
        if busy {
            return Bytes::from_static(
                b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
            );
        }
        let body = padded(&value, self.spec.value_len);
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into()
    }
}

async fn tell_copy(stream: &mut tokio::net::TcpStream, command: &[u8]) -> std::io::Result<()> {
    stream.write_all(command).await?;
    // One short line: it is read so that the next one's place in the stream is known.
    let mut answer = [0; 1];
    while stream.read_exact(&mut answer).await.is_ok() {
        if answer[0] == b'\n' {
            return Ok(());
        }
    }
    Err(std::io::ErrorKind::UnexpectedEof.into())
}

struct Conn {
    origin: Arc<Origin>,
    node: String,
}

impl Speaker for Conn {
    fn take(
        &mut self,
        buffer: &mut BytesMut,
        first: TimeInterval,
        last: TimeInterval,
    ) -> Result<Option<Due>, ()> {
        let Some(head) = http::request_head(buffer).map_err(|_| ())? else { return Ok(None) };
        let body = head.content_length.unwrap_or(0);
        if body > 16 * 1024 * 1024 {
            return Err(());
        }
        if buffer.len() < head.length + body {
            return Ok(None);
        }
        buffer.advance(head.length);
        let body = buffer.split_to(body);
        let say = |text: &'static str| {
            let bytes = Bytes::from_static(text.as_bytes());
            Ok(Some(Due { at: last.latest, bytes, number: 0, close: false }))
        };
        let write = match head.method.as_str() {
            "GET" if head.target == "/healthz" => return say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
            "GET" => false,
            "PUT" => true,
            _ => return say("HTTP/1.1 405 Method Not Allowed\r\nContent-Length: 0\r\n\r\n"),
        };
        let (Some(id), Some(list)) = (head.header("x-correlation-id"), head.header("x-facts")) else {
            return say("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
        };
        let key = head.target.trim_start_matches('/').to_owned();
        let mut asked = Asked { key, request: id.into(), write, ..Asked::default() };
        facts(list, &mut asked);
        if write {
            asked.digest = digest(&body);
        }
        Ok(Some(self.origin.work(&self.node, asked, first, last)))
    }

    fn says(&mut self, due: &Due) -> Option<Bytes> {
        (due.number > 0).then(|| self.origin.answer(due.number, true))
    }

    fn unsaid(&mut self, due: &Due) -> Option<Bytes> {
        (due.number > 0).then(|| self.origin.answer(due.number, false))
    }

    fn over(&mut self, due: &Due) {
        if due.number > 0 {
            self.origin.answer(due.number, false);
        }
    }

    fn idle(&self) -> Duration {
        Duration::from_secs(15)
    }
}
