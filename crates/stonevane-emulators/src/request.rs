//! Requests as nodes and clients write them, and what caches and the origin do alike with them.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use stonevane_audit::{Effect, Event, HistoryRecord};
use stonevane_server_model::value::digest;

use crate::server::Arrival;

/// Answers that a server remembers until they are written; the oldest of those that never are give way.
const MAX_PENDING_ANSWERS: usize = 50_000;

/// A read or a write of a key.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Request {
    /// The key.
    pub key: String,
    /// The request's id.
    pub id: String,
    /// The class.
    pub class: String,
    /// The idempotency key, empty for none.
    pub token: String,
    /// Whether it is a write.
    pub write: bool,
    /// How long the sender waits, in milliseconds.
    pub deadline_ms: u64,
    /// A digest of the written value.
    pub digest: String,
}

impl Request {
    /// Reads the words of a command, `OBJ.GET KEY ID FACTS` or `OBJ.SET KEY ID FACTS VALUE`; `None` for others.
    pub fn from_command(words: &[Bytes]) -> Option<Request> {
        let write = match (word(words, 0)?, words.len()) {
            ("OBJ.GET", 4) => false,
            ("OBJ.SET", 5) => true,
            _ => return None,
        };
        let (key, id) = (word(words, 1)?.into(), word(words, 2)?.into());
        let mut request = Request { key, id, write, ..Request::default() };
        request.read_facts(word(words, 3)?);
        request.digest = words.get(4).map(|value| digest(value)).unwrap_or_default();
        Some(request)
    }

    /// Reads the facts of a request, a list like `c=CLASS,k=TOKEN,d=DEADLINE_MS`.
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

    /// The history line of an attempt of this request at a server.
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

    /// The unique part of the value that a server answers with.
    pub(crate) fn value(&self, version: u64, server: &str, number: u64) -> String {
        format!("{}.{version}.{}.{server}.{number}", self.key, self.id)
    }
}

/// What a server did with an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) number: u64,
    pub(crate) effect: Effect,
    pub(crate) work_us: u64,
}

/// A word of a command, where it is text.
pub(crate) fn word(words: &[Bytes], index: usize) -> Option<&str> {
    words.get(index).and_then(|word| std::str::from_utf8(word).ok())
}

/// The idempotency keys of recent writes, each with the version that its write made.
#[derive(Default)]
pub(crate) struct IdempotencyKeys {
    writes: HashMap<String, RecentWrite>,
}

struct RecentWrite {
    expires_us: u64,
    version: u64,
}

impl IdempotencyKeys {
    /// The version of an earlier write with this key.
    pub(crate) fn version(&self, key: &str, now: u64) -> Option<u64> {
        self.writes.get(key).filter(|write| write.expires_us > now).map(|write| write.version)
    }

    /// Remembers a write's key for a time.
    pub(crate) fn remember(&mut self, key: &str, version: u64, now: u64, for_us: u64) {
        self.writes.insert(key.to_owned(), RecentWrite { expires_us: now + for_us, version });
        self.writes.retain(|_, write| write.expires_us > now);
    }
}

/// Answers by their attempts' numbers, until they are written or can't be any more.
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
