//! Requests in flight and those settled a moment ago.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use super::RETENTION_US;
use super::evidence::NumberedRecord;
use crate::rules::{ClassRule, Rules};

/// What is known of a request.
#[derive(Default)]
pub(super) struct Request {
    /// Each time that a client sent it.
    pub sends: Vec<NumberedRecord>,
    pub answer: Option<NumberedRecord>,
    pub client_left: Option<NumberedRecord>,
    pub closed: Option<NumberedRecord>,
    pub attempts: Vec<NumberedRecord>,
    /// Replies to attempts and ends of attempts without one.
    pub replies: Vec<NumberedRecord>,
    /// It missed at a cold server.
    pub cold_miss: bool,
    /// Codes that it was accused of; each is reported once.
    pub reported: Vec<&'static str>,
}

impl Request {
    pub fn class(&self, rules: &Rules) -> ClassRule {
        let known = self.sends.first().or(self.attempts.first());
        rules.class(known.map_or("", |record| record.class.as_str()))
    }

    /// All records of it.
    pub fn records(&self) -> Vec<NumberedRecord> {
        let series = [&self.sends[..], &self.attempts, &self.replies];
        let mut records: Vec<NumberedRecord> = series.into_iter().flatten().cloned().collect();
        records.extend(self.answer.iter().chain(&self.client_left).chain(&self.closed).cloned());
        records
    }
}

/// All requests, and when each is due to be settled.
#[derive(Default)]
pub(super) struct Requests {
    by_id: HashMap<String, Request>,
    due: BinaryHeap<Reverse<(u64, String)>>,
    /// The most that were tracked at once.
    pub peak: usize,
}

impl Requests {
    /// The request that a record speaks of, tracked from now on.
    pub fn track(&mut self, record: &NumberedRecord) -> &mut Request {
        let id = &record.request;
        if !self.by_id.contains_key(id) {
            // Until its client's deadline is known.
            self.due.push(Reverse((record.time.latest + 2 * RETENTION_US, id.clone())));
            self.by_id.insert(id.clone(), Request::default());
            self.peak = self.peak.max(self.by_id.len());
        }
        self.by_id.entry(id.clone()).or_default()
    }

    pub fn get(&self, id: &str) -> Option<&Request> {
        self.by_id.get(id)
    }

    pub fn get_mut(&mut self, id: &str) -> Option<&mut Request> {
        self.by_id.get_mut(id)
    }

    pub fn remove(&mut self, id: &str) -> Option<Request> {
        self.by_id.remove(id)
    }

    /// Has a request settled at a time; one may be due several times.
    pub fn settle_at(&mut self, due: u64, id: &str) {
        self.due.push(Reverse((due, id.to_owned())));
    }

    /// The next one that is due by a time, and when it was.
    pub fn pop_due(&mut self, now: u64) -> Option<(u64, String)> {
        let is_due = self.due.peek().is_some_and(|Reverse((due, _))| *due <= now);
        if is_due { self.due.pop().map(|Reverse(entry)| entry) } else { None }
    }
}
