//! Outlier detection: a server whose failures outnumber its answers by a few is ejected for a while.
//!
//! Inputs: the outcomes of attempts at one server, the longest latency objective (microseconds). An ejected
//! server is still chosen where nothing better is left; the first attempt after its ejection time is a trial:
//! an answer admits it again, a failure ejects it for twice as long.

use crate::ids::Micros;

/// Failure count from which a server is ejected: each failure adds one, each answer takes one off.
const EJECTION_FAILURE_COUNT: u32 = 3;
/// A server with a lower failure count is taken for sound when a connection breaks or a response is
/// malformed.
const ISOLATED_FAILURES: u32 = 2;
/// The first ejection time, as a multiple of the longest latency objective.
const MIN_EJECTION_OBJECTIVES: u64 = 1;
/// The longest ejection time, as a multiple of the longest latency objective.
const MAX_EJECTION_OBJECTIVES: u64 = 8;

/// What outlier detection knows of one server.
#[derive(Default)]
pub struct OutlierRecord {
    failure_count: u32,
    /// Whether the last failure was one to connect.
    connect_failed: bool,
    ejection: Option<Ejection>,
}

#[derive(Clone, Copy)]
struct Ejection {
    until: Micros,
    duration: Micros,
}

/// An ejected server has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Readmission {
    /// It had refused connections before: its process is a new one.
    pub restarted: bool,
}

impl OutlierRecord {
    /// Counts a failure, and returns whether the server is ejected for it.
    pub fn record_failure(&mut self, now: Micros, longest_objective: Micros) -> bool {
        self.failure_count += 1;
        let ejected = match self.ejection {
            Some(ejection) => now >= ejection.until,
            None => self.failure_count >= EJECTION_FAILURE_COUNT,
        };
        if ejected {
            let previous = self.ejection.map_or(0, |ejection| ejection.duration);
            let duration = (previous * 2).clamp(
                longest_objective * MIN_EJECTION_OBJECTIVES,
                longest_objective * MAX_EJECTION_OBJECTIVES,
            );
            self.ejection = Some(Ejection { until: now + duration, duration });
        }
        ejected
    }

    /// Notes whether the latest failure was one to connect: a process that is gone accepts no connections,
    /// while connections to a sound one break for many reasons.
    pub fn note_connect_failed(&mut self, connect_failed: bool) {
        self.connect_failed = connect_failed;
    }

    /// Counts an answer; it admits an ejected server again.
    pub fn record_answer(&mut self) -> Option<Readmission> {
        self.failure_count = self.failure_count.saturating_sub(1);
        self.ejection.take()?;
        Some(Readmission { restarted: std::mem::take(&mut self.connect_failed) })
    }

    /// Forgets failures of a process that has been replaced.
    pub fn clear_failures(&mut self) {
        self.failure_count = 0;
        self.ejection = None;
    }

    /// Whether the server is ejected, or on trial after it.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether other servers are to be preferred: during the ejection, and while a trial is in flight.
    pub fn ranks_last(&self, now: Micros, in_flight: u32) -> bool {
        self.ejection.is_some_and(|ejection| now < ejection.until || in_flight > 0)
    }

    /// Whether its failures are too few to say much of the server.
    pub fn failures_are_isolated(&self) -> bool {
        self.failure_count < ISOLATED_FAILURES && self.ejection.is_none()
    }
}
