//! Requests as nodes and clients send them, and the bookkeeping that cache servers and the origin share.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use stonevane_audit::{Effect, Event, HistoryRecord};
use stonevane_server_model::value::digest;

use crate::server::Arrival;

/// Maximum number of pending answers. Some answers are never written, so the oldest are evicted above this
/// number.
const MAX_PENDING_ANSWERS: usize = 50_000;

/// A read or a write of a key.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Request {
    /// The requested key, as text.
    pub key: String,
    /// The request's id, unique for each attempt of a client.
    pub id: String,
    /// Name of the request's class.
    pub class: String,
    /// The idempotency key; empty if there is none.
    pub token: String,
    /// Whether the request is a write.
    pub write: bool,
    /// Time for which the sender waits for the answer, in milliseconds; 0 if the request states none.
    pub deadline_ms: u64,
    /// Digest of the written value; empty for a read.
    pub digest: String,
}

impl Request {
    /// Parses the command `OBJ.GET KEY ID FACTS` or `OBJ.SET KEY ID FACTS VALUE`; `None` for other commands.
    pub fn from_command(arguments: &[Bytes]) -> Option<Request> {
        let write = match (text_argument(arguments, 0)?, arguments.len()) {
            ("OBJ.GET", 4) => false,
            ("OBJ.SET", 5) => true,
            _ => return None,
        };
        let (key, id) = (text_argument(arguments, 1)?.into(), text_argument(arguments, 2)?.into());
        let mut request = Request { key, id, write, ..Request::default() };
        request.read_facts(text_argument(arguments, 3)?);
        request.digest = arguments.get(4).map(|value| digest(value)).unwrap_or_default();
        Some(request)
    }

    /// Parses the facts of a request, a list like `c=CLASS,k=TOKEN,d=DEADLINE_MS`; unknown names are ignored.
    pub fn read_facts(&mut self, facts: &str) {
        for (name, value) in facts.split(',').filter_map(|fact| fact.split_once('=')) {
            match name {
                "c" => self.class = value.into(),
                "k" => self.token = value.into(),
                "d" => self.deadline_ms = value.parse().unwrap_or(0),
                _ => {}
            }
        }
    }

    /// Returns the history line of an attempt of this request at a server.
    pub(crate) fn attempt_line(
        &self,
        server: &str,
        node: &str,
        arrival: Arrival,
        attempt: Attempt,
    ) -> HistoryRecord {
        HistoryRecord {
            time: arrival.last_byte,
            recorder: server.to_owned(),
            event: Event::Attempt,
            request: self.id.clone(),
            node: node.to_owned(),
            class: self.class.clone(),
            key: self.key.clone(),
            idempotency_key: self.token.clone(),
            digest: self.digest.clone(),
            effect: Some(attempt.effect),
            first_byte: (arrival.first_byte != arrival.last_byte).then_some(arrival.first_byte),
            number: attempt.number,
            work_us: attempt.work_us,
            ..HistoryRecord::default()
        }
    }

    /// Returns the unique part of the value with which a server answers.
    pub(crate) fn value(&self, version: u64, server: &str, number: u64) -> String {
        format!("{}.{version}.{}.{server}.{number}", self.key, self.id)
    }
}

/// An attempt as a server processed it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) number: u64,
    pub(crate) effect: Effect,
    pub(crate) work_us: u64,
}

/// Returns an argument of a command if it is valid UTF-8.
pub(crate) fn text_argument(arguments: &[Bytes], index: usize) -> Option<&str> {
    arguments.get(index).and_then(|argument| std::str::from_utf8(argument).ok())
}

/// The idempotency keys of recent writes, each with the version that the write created.
#[derive(Default)]
pub(crate) struct IdempotencyKeys {
    writes: HashMap<String, RecentWrite>,
}

struct RecentWrite {
    expires_us: u64,
    version: u64,
}

impl IdempotencyKeys {
    /// Returns the version of an earlier write with this key, until the key expires.
    pub(crate) fn version(&self, key: &str, now: u64) -> Option<u64> {
        self.writes.get(key).filter(|write| write.expires_us > now).map(|write| write.version)
    }

    /// Remembers a write's key for `for_us` microseconds.
    pub(crate) fn remember(&mut self, key: &str, version: u64, now: u64, for_us: u64) {
        self.writes.insert(key.to_owned(), RecentWrite { expires_us: now + for_us, version });
        self.writes.retain(|_, write| write.expires_us > now);
    }
}

/// Answers by attempt number, kept until the answer is written or can no longer be written.
pub(crate) struct PendingAnswers<A> {
    answers: BTreeMap<u64, A>,
}

impl<A> Default for PendingAnswers<A> {
    fn default() -> Self {
        PendingAnswers { answers: BTreeMap::new() }
    }
}

impl<A> PendingAnswers<A> {
    pub(crate) fn insert(&mut self, number: u64, answer: A) {
        self.answers.insert(number, answer);
        while self.answers.len() > MAX_PENDING_ANSWERS {
            self.answers.pop_first();
        }
    }

    pub(crate) fn remove(&mut self, number: u64) -> Option<A> {
        self.answers.remove(&number)
    }
}
