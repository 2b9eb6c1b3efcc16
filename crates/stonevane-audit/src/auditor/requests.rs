//! Tracked requests: those in flight and those whose deadline has passed recently.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use super::REQUEST_RETENTION_US;
use super::evidence::NumberedRecord;
use crate::rules::{ClassRule, Rules};

/// Records of a request.
#[derive(Default)]
pub(super) struct Request {
    /// Sends by the client: the first one and any resends.
    pub sends: Vec<NumberedRecord>,
    pub answer: Option<NumberedRecord>,
    pub client_left: Option<NumberedRecord>,
    pub closed: Option<NumberedRecord>,
    pub attempts: Vec<NumberedRecord>,
    /// Replies to attempts, and ends of attempts without a reply.
    pub replies: Vec<NumberedRecord>,
    /// Whether an attempt of the request missed at a cold server.
    pub cold_miss: bool,
    /// Codes of the findings on the request; each code is reported once.
    pub reported: Vec<&'static str>,
}

impl Request {
    pub fn class(&self, rules: &Rules) -> ClassRule {
        let known = self.sends.first().or(self.attempts.first());
        rules.class(known.map_or("", |record| record.class.as_str()))
    }

    /// Returns all records of the request.
    pub fn records(&self) -> Vec<NumberedRecord> {
        let series = [&self.sends[..], &self.attempts, &self.replies];
        let mut records: Vec<NumberedRecord> = series.into_iter().flatten().cloned().collect();
        records.extend(self.answer.iter().chain(&self.client_left).chain(&self.closed).cloned());
        records
    }
}

/// All tracked requests, and the moments at which they are due to be settled.
#[derive(Default)]
pub(super) struct Requests {
    by_id: HashMap<String, Request>,
    due: BinaryHeap<Reverse<(u64, String)>>,
    /// Maximum number of requests that were tracked at once.
    pub peak: usize,
}

impl Requests {
    /// Returns the request that a record names, and tracks it from now on.
    pub fn track(&mut self, record: &NumberedRecord) -> &mut Request {
        let id = &record.request;
        if !self.by_id.contains_key(id) {
            // The due time is provisional; the record of the client's send sets the actual one.
            self.due.push(Reverse((record.time.latest + 2 * REQUEST_RETENTION_US, id.clone())));
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

    /// Schedules a request for settling; a request may be scheduled several times.
    pub fn settle_at(&mut self, due: u64, id: &str) {
        self.due.push(Reverse((due, id.to_owned())));
    }

    /// Removes and returns the next request that is due by `now`, with the time at which it was due.
    pub fn pop_due(&mut self, now: u64) -> Option<(u64, String)> {
        let is_due = self.due.peek().is_some_and(|Reverse((due, _))| *due <= now);
        if is_due { self.due.pop().map(|Reverse(entry)| entry) } else { None }
    }
}
