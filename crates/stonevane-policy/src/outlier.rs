//! Outlier detection: ejects a server whose failures outnumber its responses by [`EJECTION_FAILURE_COUNT`],
//! for a limited time.
//!
//! Inputs: the outcomes of attempts at one server, the longest latency objective (microseconds). An ejected
//! server is still chosen if no better one is left. The first attempt after the ejection time is a trial: a
//! response readmits the server, a failure ejects it again for twice the time, up to a maximum.

use crate::ids::Micros;

/// Failure count from which a server is ejected. Each failure adds one, each response subtracts one.
const EJECTION_FAILURE_COUNT: u32 = 3;
/// Failure count below which the server stays eligible for a retry of a request that ended there with a
/// broken connection or a malformed response.
const ISOLATED_FAILURE_LIMIT: u32 = 2;
/// Shortest ejection time, as a multiple of the longest latency objective.
const MIN_EJECTION_OBJECTIVES: u64 = 1;
/// Longest ejection time, as a multiple of the longest latency objective.
const MAX_EJECTION_OBJECTIVES: u64 = 8;

/// Outlier state of one server.
#[derive(Default)]
pub struct OutlierRecord {
    failure_count: u32,
    /// Whether the last failure was a failure to connect.
    connect_failed: bool,
    ejection: Option<Ejection>,
}

#[derive(Clone, Copy)]
struct Ejection {
    until: Micros,
    duration: Micros,
}

/// Result of the response that readmits an ejected server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Readmission {
    /// Whether the server had refused connections before, so that its process is a new one.
    pub restarted: bool,
}

impl OutlierRecord {
    /// Counts a failure and returns whether it ejects the server.
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

    /// Records whether the latest failure was a failure to connect. A stopped process accepts no connections,
    /// whereas connections to a running one break for many reasons.
    pub fn set_connect_failed(&mut self, connect_failed: bool) {
        self.connect_failed = connect_failed;
    }

    /// Counts a response, which readmits an ejected server.
    pub fn record_response(&mut self) -> Option<Readmission> {
        self.failure_count = self.failure_count.saturating_sub(1);
        self.ejection.take()?;
        Some(Readmission { restarted: std::mem::take(&mut self.connect_failed) })
    }

    /// Clears the failure count and the ejection after the server's process has been replaced.
    pub fn clear_failures(&mut self) {
        self.failure_count = 0;
        self.ejection = None;
    }

    /// Returns whether the server is ejected, or on trial after an ejection.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns whether balancing must prefer other servers: during the ejection, and afterwards while a trial
    /// is in flight.
    pub fn ranks_last(&self, now: Micros, in_flight: u32) -> bool {
        self.ejection.is_some_and(|ejection| now < ejection.until || in_flight > 0)
    }

    /// Returns whether the server has so few failures that a request may be retried there after a broken
    /// connection or a malformed response.
    pub fn failures_are_isolated(&self) -> bool {
        self.failure_count < ISOLATED_FAILURE_LIMIT && self.ejection.is_none()
    }
}
