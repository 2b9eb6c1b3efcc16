//! The message of one attempt, and its history lines.

use bytes::Bytes;
use stonevane_audit::{Event, HistoryRecord, TimeInterval};
use stonevane_codec::resp;
use stonevane_server_model::value::{digest, padded};

use super::{LoadClass, Planned, Tenant};
use crate::record::MonotonicClock;

/// The message of one attempt. It may be sent twice: again on a new connection if a reused one was closed.
pub(super) struct Message<'a> {
    pub(super) id: &'a str,
    pub(super) planned: &'a Planned,
    class: &'a LoadClass,
    tenant: &'a str,
    key: String,
    /// The idempotency key; empty if there is none.
    token: String,
    /// Value of a write. Each value is unique, so that the audit detects writes whose values were mixed up.
    value: Vec<u8>,
    /// Remaining time to the deadline when the message is created, in milliseconds.
    timeout_ms: u64,
    /// Whether this is an attempt after the first.
    retry: bool,
    /// Deadline of the client, in microseconds of the monotonic clock; 0 before the message is sent.
    pub(super) deadline_us: u64,
    /// Whether the message is sent for the second time, on a new connection.
    pub(super) resent: bool,
}

impl<'a> Message<'a> {
    pub(super) fn new(
        id: &'a str,
        planned: &'a Planned,
        class: &'a LoadClass,
        tenant: Option<&'a Tenant>,
        timeout_ms: u64,
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
            timeout_ms,
            retry,
            deadline_us: 0,
            resent: false,
        }
    }

    /// Returns the remaining time to the deadline, in milliseconds.
    pub(super) fn remaining_ms(&self) -> u64 {
        match self.resent {
            true => self.deadline_us.saturating_sub(MonotonicClock::now()) / 1_000,
            false => self.timeout_ms,
        }
    }

    /// Returns the command on the wire.
    pub(super) fn command(&self, remaining_ms: u64) -> Bytes {
        let facts = self.facts(remaining_ms);
        let (key, id, facts) = (self.key.as_bytes(), self.id.as_bytes(), facts.as_bytes());
        match self.class.write {
            true => resp::encode_command(&[b"OBJ.SET", key, id, facts, &self.value]),
            false => resp::encode_command(&[b"OBJ.GET", key, id, facts]),
        }
    }

    fn facts(&self, remaining_ms: u64) -> String {
        let mut facts = vec![format!("c={}", self.class.name), format!("d={remaining_ms}")];
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

    /// Returns the common fields of this request's history lines at a node.
    pub(super) fn history_line(&self, node: &str, interval: TimeInterval) -> HistoryRecord {
        HistoryRecord {
            time: interval,
            recorder: "client".into(),
            request: self.id.into(),
            node: node.into(),
            ..HistoryRecord::default()
        }
    }

    /// Returns the history line that records the sending of the message.
    pub(super) fn request_line(&self, node: &str, interval: TimeInterval, reused: bool) -> HistoryRecord {
        HistoryRecord {
            event: Event::Request,
            class: self.class.name.clone(),
            tenant: self.tenant.into(),
            key: self.key.clone(),
            idempotency_key: self.token.clone(),
            digest: if self.class.write { digest(&self.value) } else { String::new() },
            deadline: self.deadline_us,
            resent: self.resent,
            reused_connection: reused,
            retry: self.retry,
            ..self.history_line(node, interval)
        }
    }
}
