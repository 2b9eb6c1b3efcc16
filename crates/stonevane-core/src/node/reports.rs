//! Reports: counters, log lines, and the trace of single requests.

use std::fmt::Arguments;

use stonevane_policy::{Condition, ListUpdate, RequestId, ServerEntry};

use super::Core;
use crate::faults::Faults;
use crate::io::{LogLine, Output};
use crate::metrics::{ClassCounts, Metrics, Report};
use crate::reply::ConnId;
use crate::subset::EndpointSubset;
use crate::trace::{CloseReason, Trace};

/// Counters and the trace.
pub(super) struct Reporter {
    pub metrics: Metrics,
    pub trace: Trace,
    /// Index of each class of the settings in the counters. Classes of earlier settings keep their counters.
    pub class_slots: Vec<usize>,
}

impl Reporter {
    pub fn new(classes: &[String]) -> Reporter {
        let mut metrics = Metrics::default();
        let class_slots = metrics.register_classes(classes).unwrap_or_default();
        Reporter { metrics, trace: Trace::default(), class_slots }
    }

    /// Sets the classes of the current settings. The counters of earlier classes stay.
    pub fn set_classes(&mut self, classes: &[String]) {
        self.class_slots = self.metrics.register_classes(classes).unwrap_or_default();
    }

    pub fn count_decision(&mut self, reason: &'static str) {
        *self.metrics.decisions.entry(reason).or_default() += 1;
    }
}

/// Resources that a core holds, for leak checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ResourceCounts {
    /// Number of client connections.
    pub clients: usize,
    /// Number of server connections, including idle ones.
    pub server_connections: usize,
    /// Number of idle server connections.
    pub idle_server_connections: usize,
    /// Number of requests whose client waits for an answer.
    pub unanswered: usize,
    /// Number of request entries: requests without an answer and requests with attempts in flight.
    pub request_entries: usize,
    /// Number of attempts in flight.
    pub attempts: usize,
    /// Number of client-chosen ids of pending requests.
    pub pending_client_ids: usize,
    /// Reserved memory, in bytes.
    pub memory: usize,
    /// Received bytes that are buffered on connections until they are decoded.
    pub buffered: usize,
    /// Number of timers, including stale ones that are not pruned yet.
    pub timers: usize,
}

impl<F: Faults> Core<F> {
    /// Counts the resources that the core holds.
    pub fn resource_counts(&self) -> ResourceCounts {
        let connections = &self.connections;
        ResourceCounts {
            clients: connections.clients.len(),
            server_connections: connections.pool.len(),
            idle_server_connections: connections.pool.idle_count(),
            unanswered: self.requests.unanswered,
            request_entries: self.requests.len(),
            attempts: self.attempts.len(),
            pending_client_ids: connections.clients.pending_ids.len(),
            memory: connections.memory.reserved(),
            buffered: connections.buffered_bytes(),
            timers: self.timers.len(),
        }
    }

    /// Returns the report for the management address.
    pub fn report(&self) -> Report<'_> {
        let metrics = &self.reporter.metrics;
        let by_class = |count: fn(&ClassCounts) -> u64| {
            metrics.classes().map(|(name, counts)| (name, count(counts))).collect()
        };
        Report {
            served: by_class(|counts| counts.served),
            refused: by_class(|counts| counts.rejected),
            failed: by_class(|counts| counts.failed),
            attempts: metrics.attempts,
            in_flight: self.requests.unanswered,
            cache_servers_known: self.endpoints.cache_count(),
            cache_servers_excluded: self.policy.policy.excluded_or_ejected_count(),
            reloads_ok: metrics.reloads_ok,
            reloads_failed: metrics.reloads_failed,
            decisions: &metrics.decisions,
            closes: &metrics.closes,
            regions: self.endpoints.subset().map(EndpointSubset::metrics),
        }
    }

    /// Returns the counters of each request class with the class's name.
    pub fn class_counters(&self) -> impl Iterator<Item = (&str, &ClassCounts)> {
        self.reporter.metrics.classes()
    }

    pub(super) fn log(&mut self, line: String) {
        self.out.push_back(Output::Log(LogLine::Info(line)));
    }

    /// Logs the version, kind and entry counts of an applied list.
    pub(super) fn log_list(&mut self, kind: ListUpdate, entries: &[ServerEntry]) {
        let count = |condition| entries.iter().filter(|entry| entry.condition == condition).count();
        let warm_up = self.deployment.settings.slow_start_duration;
        let is_warming_up =
            |entry: &&ServerEntry| entry.started != 0 && self.now < entry.started.saturating_add(warm_up);
        let in_slow_start = entries.iter().filter(is_warming_up).count();
        self.log(format!(
            "list: version {} ({kind:?}), {} lines: {} ready, {} draining, {} gone, {in_slow_start} in slow start; {} \
             servers known",
            self.discovery.list_version.unwrap_or(0),
            entries.len(),
            count(Condition::Ready),
            count(Condition::Draining),
            count(Condition::Gone),
            self.endpoints.len(),
        ));
    }

    /// Enables or disables the trace of single requests and connections.
    pub fn trace_requests(&mut self, on: bool) {
        self.reporter.trace.switch(on);
    }

    pub(super) fn trace(&mut self, text: Arguments<'_>) {
        if let Some(line) = self.reporter.trace.line(text) {
            self.log(line);
        }
    }

    /// Traces a step of a request. The line names both ids of the request: the one that the client chose and
    /// the core's own.
    pub(super) fn trace_request(&mut self, request: RequestId, text: Arguments<'_>) {
        if !self.reporter.trace.is_on() {
            return;
        }
        let Some(entry) = self.requests.get(request) else { return };
        let id = String::from_utf8_lossy(&entry.command.id).into_owned();
        self.trace(format_args!("request {id} ({request}) {text}"));
    }

    /// Counts and traces the reason of a decision.
    pub(super) fn explain(&mut self, request: RequestId, reason: &'static str) {
        self.reporter.count_decision(reason);
        self.trace_request(request, format_args!("{reason}"));
    }

    /// Counts and traces the reason for closing a connection.
    pub(super) fn note_close(&mut self, id: ConnId, reason: CloseReason) {
        *self.reporter.metrics.closes.entry(reason.name()).or_default() += 1;
        self.trace(format_args!("connection {id} closed: {}", reason.name()));
    }
}
