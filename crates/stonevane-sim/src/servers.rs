//! Caches and the origin: what they hold, do and say. Time is an argument, and nothing is drawn but from a request's
//! name.

use std::collections::{BTreeMap, VecDeque};

use bytes::{Buf, BytesMut};
use stonevane_audit::{Effect, work_capacity};
use stonevane_codec::resp;
use stonevane_server_model::value::digest;
use stonevane_server_model::work::{Cores, drawn};

/// Cores of a cache and of the origin.
const CORES: usize = 4;
/// The mean work of a read at a cache, of a fetch and of an edit at the origin, microseconds.
const WORK: (u64, u64, u64) = (8_000, 12_000, 12_000);
/// Its coefficient of variation.
const VARIES: f64 = 0.3;
/// Work that waits longer is turned away, microseconds.
const QUEUE: u64 = 400_000;
/// Part of its capacity that a cold server has, and the time until it is warm.
pub const COLD: (f64, u64) = (0.35, 4_000_000);
/// How long the origin drops a repeat, microseconds.
pub const KEYED: u64 = 200_000;
/// Requests whose misses a cache remembers.
const MISSED: usize = 4_096;

/// What a server was asked.
#[derive(Debug, Clone)]
pub struct Asked {
    pub write: bool,
    pub key: String,
    pub request: String,
    pub class: String,
    pub token: String,
    pub digest: String,
    /// Whether it came over HTTP.
    pub http: bool,
}

/// What becomes of it.
#[derive(Debug, Clone)]
pub struct Work {
    pub effect: Effect,
    pub version: u64,
    pub number: u64,
    pub work: u64,
    /// When it is answered.
    pub at: u64,
}

/// A server.
pub struct Server {
    pub name: String,
    pub address: std::net::SocketAddr,
    pub origin: bool,
    /// Its process runs.
    pub up: bool,
    /// It reads and says nothing.
    pub silent: bool,
    /// Its machine is gone.
    pub vanished: bool,
    /// Of so many answers, one is torn.
    pub tear: Option<u64>,
    pub noisy: bool,
    pub garbles: bool,
    /// Which start this is.
    pub life: u64,
    /// When it started cold.
    pub started: Option<u64>,
    cores: Cores,
    /// Versions of the keys that it holds.
    pub holds: BTreeMap<String, u64>,
    seen: BTreeMap<String, (u64, u64)>,
    number: u64,
    said: u64,
    missed: BTreeMap<String, String>,
    missed_order: VecDeque<String>,
}

impl Server {
    /// One that holds nothing.
    pub fn new(name: &str, address: std::net::SocketAddr, origin: bool) -> Server {
        Server {
            name: name.into(),
            address,
            origin,
            up: true,
            silent: false,
            vanished: false,
            tear: None,
            noisy: false,
            garbles: false,
            life: 0,
            started: None,
            cores: Cores::new(CORES),
            holds: BTreeMap::new(),
            seen: BTreeMap::new(),
            number: 0,
            said: 0,
            missed: BTreeMap::new(),
            missed_order: VecDeque::new(),
        }
    }

    /// Its process starts anew, cold and empty; the origin keeps what it holds.
    pub fn restart(&mut self, now: u64) {
        self.up = true;
        self.life += 1;
        self.cores = Cores::new(CORES);
        if !self.origin {
            self.holds.clear();
            self.seen.clear();
            self.missed.clear();
            self.started = Some(now);
        }
    }

    /// Microseconds of work a second that it can do when warm.
    pub fn capacity(&self) -> f64 {
        CORES as f64 * 1e6
    }

    /// Does nothing before a moment.
    pub fn stall(&mut self, until: u64) {
        self.cores.stop_until(until);
    }

    /// A request has come on a connection that there is no place for.
    pub fn turn_away(&mut self, now: u64) -> Work {
        self.number += 1;
        Work { effect: Effect::Busy, version: 0, number: self.number, work: 0, at: now }
    }

    /// A request has come, whole.
    pub fn work(&mut self, now: u64, asked: &Asked) -> Work {
        self.number += 1;
        let number = self.number;
        let mean = match (self.origin, asked.write) {
            (false, _) => WORK.0,
            (true, false) => WORK.1,
            (true, true) => WORK.2,
        };
        let known = self.seen.get(&asked.token).filter(|(until, _)| *until > now && !asked.token.is_empty());
        let (mut effect, version) = match (asked.write, self.origin, known.map(|known| known.1)) {
            (true, _, Some(version)) => (Effect::Deduplicated, version),
            (true, _, None) => (Effect::Ran, number),
            (false, true, _) => (Effect::Ran, self.holds.get(&asked.key).copied().unwrap_or(0)),
            (false, false, _) => match self.holds.get(&asked.key) {
                Some(version) => (Effect::Ran, *version),
                None => (Effect::Miss, 0),
            },
        };
        let whole = drawn(mean, VARIES, &asked.request);
        let work = if effect == Effect::Miss { whole / 10 } else { whole };
        let share = self.started.map_or(1.0, |at| work_capacity(1e6, COLD.0, at, COLD.1, now, 1).max(0.01));
        let at = self.cores.take(now, (work as f64 / share) as u64, QUEUE).unwrap_or_else(|| {
            effect = Effect::Busy;
            now
        });
        match effect {
            Effect::Ran if asked.write => {
                if !asked.token.is_empty() {
                    self.seen.insert(asked.token.clone(), (now + KEYED, version));
                    if self.seen.len() > 1_024 {
                        self.seen.retain(|_, (until, _)| *until > now);
                    }
                }
                self.holds.insert(asked.key.clone(), version);
            }
            Effect::Miss => {
                if self.missed.insert(asked.request.clone(), asked.key.clone()).is_none() {
                    self.missed_order.push_back(asked.request.clone());
                }
                if self.missed_order.len() > MISSED
                    && let Some(oldest) = self.missed_order.pop_front()
                {
                    self.missed.remove(&oldest);
                }
            }
            _ => {}
        }
        Work { effect, version, number, work, at }
    }

    /// The origin has answered a request: a cache that lacked its key for it holds it now.
    pub fn fill(&mut self, request: &str, key: &str, version: u64) {
        if self.missed.remove(request).is_some_and(|missed| missed == key) {
            self.holds.insert(key.to_owned(), version);
        }
    }

    /// Whether the next answer is torn.
    pub fn tears(&mut self) -> bool {
        self.said += 1;
        self.tear.is_some_and(|every| self.said.is_multiple_of(every))
    }
}

fn fact<'a>(facts: &'a str, name: &str) -> &'a str {
    let pairs = facts.split(',').filter_map(|fact| fact.split_once('='));
    pairs.into_iter().find(|(known, _)| *known == name).map_or("", |(_, value)| value)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Takes a whole request off the front of what came.
///
/// # Errors
/// Bytes that are none: the node sent what no server understands.
pub fn take(input: &mut BytesMut, origin: bool) -> Result<Option<Asked>, String> {
    if !origin {
        let Some(words) = resp::take_command(input).map_err(|e| e.0.to_owned())? else { return Ok(None) };
        let (write, least) = match words.first().map(std::convert::AsRef::as_ref) {
            Some(b"OBJ.GET") => (false, 4),
            Some(b"OBJ.SET") => (true, 5),
            _ => return Err(format!("a command that caches don't know: {words:?}")),
        };
        if words.len() != least {
            return Err(format!("{} words", words.len()));
        }
        let facts = text(&words[3]);
        return Ok(Some(Asked {
            write,
            key: text(&words[1]),
            request: text(&words[2]),
            class: fact(&facts, "c").into(),
            token: fact(&facts, "k").into(),
            digest: words.get(4).map_or(String::new(), |value| digest(value)),
            http: false,
        }));
    }
    let Some(end) = input.windows(4).position(|four| four == b"\r\n\r\n") else { return Ok(None) };
    let head = text(&input[..end]);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("");
    let (write, key) = match first.split(' ').collect::<Vec<_>>()[..] {
        ["GET", path, "HTTP/1.1"] => (false, path.trim_start_matches('/').to_owned()),
        ["PUT", path, "HTTP/1.1"] => (true, path.trim_start_matches('/').to_owned()),
        _ => return Err(format!("no request: {first}")),
    };
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
    let length: usize = header("content-length").parse().unwrap_or(0);
    if input.len() < end + 4 + length {
        return Ok(None);
    }
    input.advance(end + 4);
    let body = input.split_to(length);
    let facts = header("x-facts");
    Ok(Some(Asked {
        write,
        key,
        request: header("x-correlation-id"),
        class: fact(&facts, "c").into(),
        token: fact(&facts, "k").into(),
        digest: if write { digest(&body) } else { String::new() },
        http: true,
    }))
}

/// The bytes of an answer: `value` where there is one.
pub fn answer(asked: &Asked, effect: Effect, value: Option<&str>) -> Vec<u8> {
    match (asked.http, effect, value) {
        (true, Effect::Busy, _) => {
            b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".to_vec()
        }
        (true, _, value) => {
            let body = value.unwrap_or_default();
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
        }
        (false, Effect::Busy, _) => b"-BUSY\r\n".to_vec(),
        (false, _, None) => b"*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_vec(),
        (false, _, Some(value)) => {
            let mut out = BytesMut::from(&b"*3\r\n"[..]);
            resp::put_bulk(&mut out, value.as_bytes());
            out.extend_from_slice(b"$-1\r\n$-1\r\n");
            out.to_vec()
        }
    }
}
