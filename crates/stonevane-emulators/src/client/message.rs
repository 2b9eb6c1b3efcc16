//! The message of one attempt.

use bytes::Bytes;
use stonevane_audit::{Event, HistoryRecord, TimeInterval};
use stonevane_codec::resp;
use stonevane_server_model::value::{digest, padded};

use super::{LoadClass, Planned, Tenant};
use crate::record::MonotonicClock;

/// The message of one attempt, which may be sent twice.
pub(super) struct Message<'a> {
    pub(super) id: &'a str,
    pub(super) planned: &'a Planned,
    class: &'a LoadClass,
    tenant: &'a str,
    key: String,
    /// The idempotency key, empty for none.
    token: String,
    /// What a write writes: unique, so that two that are mixed up are seen.
    value: Vec<u8>,
    deadline_ms: u64,
    /// Whether it is an attempt after the first.
    retry: bool,
    /// Until when the client waits, in microseconds; 0 before it is sent.
    pub(super) until_us: u64,
    /// Whether it is sent once more on a new connection.
    pub(super) resent: bool,
}

impl<'a> Message<'a> {
    pub(super) fn new(
        id: &'a str,
        planned: &'a Planned,
        class: &'a LoadClass,
        tenant: Option<&'a Tenant>,
        deadline_ms: u64,
        retry: bool,
    ) -> Message<'a> {
        Message {
            id,
            planned,
            class,
            tenant: tenant.map_or("", |tenant| &tenant.name),
            key: format!("{:016x}", planned.key),
            token: if class.idempotent { format!("{:016x}", planned.token) } else { String::new() },
            value: padded(id, class.value_len).into_bytes(),
            deadline_ms,
            retry,
            until_us: 0,
            resent: false,
        }
    }

    /// What is left of its deadline, in milliseconds.
    pub(super) fn left_ms(&self) -> u64 {
        match self.resent {
            true => self.until_us.saturating_sub(MonotonicClock::now()) / 1_000,
            false => self.deadline_ms,
        }
    }

    /// The bytes on the wire.
    pub(super) fn command(&self, left_ms: u64) -> Bytes {
        let facts = self.facts(left_ms);
        let (key, id, facts) = (self.key.as_bytes(), self.id.as_bytes(), facts.as_bytes());
        match self.class.write {
            true => resp::command(&[b"OBJ.SET", key, id, facts, &self.value]),
            false => resp::command(&[b"OBJ.GET", key, id, facts]),
        }
    }

    fn facts(&self, left_ms: u64) -> String {
        let mut facts = vec![format!("c={}", self.class.name), format!("d={left_ms}")];
        if !self.tenant.is_empty() {
            facts.push(format!("t={}", self.tenant));
        }
        if !self.token.is_empty() {
            facts.push(format!("k={}", self.token));
        }
        if self.retry {
            facts.push("r=1".into());
        }
        facts.join(",")
    }

    /// A history line of this request at a node.
    pub(super) fn line(&self, node: &str, t: TimeInterval) -> HistoryRecord {
        HistoryRecord {
            time: t,
            recorder: "client".into(),
            request: self.id.into(),
            node: node.into(),
            ..HistoryRecord::default()
        }
    }

    /// The history line of its sending.
    pub(super) fn ask_line(&self, node: &str, t: TimeInterval, reused: bool) -> HistoryRecord {
        HistoryRecord {
            event: Event::Request,
            class: self.class.name.clone(),
            tenant: self.tenant.into(),
            key: self.key.clone(),
            idempotency_key: self.token.clone(),
            digest: if self.class.write { digest(&self.value) } else { String::new() },
            deadline: self.until_us,
            resent: self.resent,
            reused_connection: reused,
            retry: self.retry,
            ..self.line(node, t)
        }
    }
}
