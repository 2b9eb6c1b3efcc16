//! Handling of attempt outcomes: updates the state of the server or of the origin limits, then completes or
//! retries the request.

use super::{Policy, log};
use crate::action::{Action, Reason};
use crate::admission::REJECTED_ATTEMPT_SIGNAL;
use crate::attempt::{Attempt, AttemptId, CallKind};
use crate::log_message::LogMessage;
use crate::origin_limits::OutcomeContext;
use crate::outcome::{AttemptStatus, Outcome};
use crate::retry;

impl Policy {
    /// Handles the end of an attempt.
    pub(super) fn on_outcome(&mut self, outcome: &Outcome, actions: &mut Vec<Action>) {
        let id = AttemptId { request: outcome.request, number: outcome.attempt };
        let Some(attempt) = self.attempts.remove(&id) else { return };
        if outcome.status == AttemptStatus::Served {
            let from_cache = attempt.kind == CallKind::CacheRead;
            self.servers.record_response_time(attempt.server, attempt.sent_at, self.now, from_cache);
        }
        self.update_target_state(&attempt, outcome, actions);
        self.update_pending_request(&attempt, outcome);
        self.continue_request(&attempt, outcome, actions);
    }

    /// Updates the pending request of an attempt after its outcome.
    fn update_pending_request(&mut self, attempt: &Attempt, outcome: &Outcome) {
        // A single broken connection or malformed response says little about a working server. That server
        // still caches the key, whereas the next one in the key's order would have to fetch it.
        let is_isolated = matches!(outcome.status, AttemptStatus::Malformed | AttemptStatus::Reset)
            && self.servers.get(attempt.server).is_some_and(|server| server.outlier.failures_are_isolated());
        let Some(pending) = self.requests.get_mut(&outcome.request) else { return };
        pending.record_end(outcome.attempt, outcome.status.proves_not_run());
        let missed = outcome.status == AttemptStatus::Miss;
        pending.missed |= missed;
        if attempt.kind == CallKind::CacheRead && !missed && !is_isolated {
            pending.tried.push(attempt.server);
        }
    }

    /// Ends a request that has its answer. Retries any other request, unless attempts in flight may still
    /// answer it.
    fn continue_request(&mut self, attempt: &Attempt, outcome: &Outcome, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&outcome.request) else { return };
        if outcome.request_finished || outcome.status == AttemptStatus::Served {
            self.cancel_attempts(outcome.request, actions);
            self.requests.remove(&outcome.request);
            return;
        }
        if pending.in_flight > 0 && outcome.status != AttemptStatus::Miss {
            return; // The outcomes of the attempts in flight decide.
        }
        if attempt.kind != CallKind::CacheRead && outcome.status == AttemptStatus::Rejected {
            return self.back_off(outcome.request, actions);
        }
        if let Err(reason) = self.charge_retry(attempt, outcome) {
            return self.finish(outcome.request, reason, actions);
        }
        self.retry(outcome, actions);
    }

    /// Charges a retry to the retry budget if it may add work for the servers. Returns the reason if the
    /// retry is not allowed.
    fn charge_retry(&mut self, attempt: &Attempt, outcome: &Outcome) -> Result<(), Reason> {
        let Some(pending) = self.requests.get(&outcome.request) else { return Ok(()) };
        // If each attempt opens a connection, a rejected attempt has cost the server work as well.
        let is_costly = self.closes_idle_connections
            && attempt.kind == CallKind::CacheRead
            && outcome.status != AttemptStatus::Miss;
        if outcome.status.proves_not_run() && !is_costly {
            return Ok(());
        }
        if !retry::is_retryable(pending.class.idempotency, outcome.status) {
            return Err(Reason::MayHaveRun);
        }
        let cost = retry::retry_cost(outcome.status, attempt, self.now);
        if self.retry_budget.try_spend(cost) { Ok(()) } else { Err(Reason::RetryBudgetExhausted) }
    }

    fn retry(&mut self, outcome: &Outcome, actions: &mut Vec<Action>) {
        let id = outcome.request;
        let attempts = |policy: &Policy| policy.requests.get(&id).map_or(0, |pending| pending.attempts);
        let before = attempts(self);
        self.next_attempt(id, actions);
        if attempts(self) > before {
            actions.push(Action::Explain { request: id, reason: Reason::Retry(outcome.status) });
        }
    }

    /// Updates the state of the server from an outcome, and with it the overload signal or the origin limits.
    fn update_target_state(&mut self, attempt: &Attempt, outcome: &Outcome, actions: &mut Vec<Action>) {
        let Some(server) = self.servers.get_mut(attempt.server) else { return };
        server.in_flight = server.in_flight.saturating_sub(1);
        if server.in_flight == 0 && self.closes_idle_connections {
            actions.push(Action::CloseIdle(attempt.server));
        }
        if attempt.kind == CallKind::CacheRead {
            self.servers.end_cache_attempt();
            self.record_overload_signal(attempt, outcome.status);
            self.record_cache_outcome(attempt, outcome.status, actions);
        } else {
            self.record_origin_outcome(attempt, outcome, actions);
        }
    }

    /// Counts a timely attempt in the overload signal. A slow one was counted when it became slow, since
    /// waiting for its end would delay the reaction to overload.
    fn record_overload_signal(&mut self, attempt: &Attempt, status: AttemptStatus) {
        if attempt.is_timely(self.now) {
            let signal = if status == AttemptStatus::Rejected { REJECTED_ATTEMPT_SIGNAL } else { 0.0 };
            self.admission.record_overload(signal, 1.0);
        }
    }

    fn record_cache_outcome(&mut self, attempt: &Attempt, status: AttemptStatus, actions: &mut Vec<Action>) {
        let Some(server) = self.servers.get_mut(attempt.server) else { return };
        match status {
            // A server that fails every request at once has few attempts in flight and would attract more of
            // them.
            AttemptStatus::ConnectFailed
            | AttemptStatus::Reset
            | AttemptStatus::Error
            | AttemptStatus::Malformed => {
                server.outlier.set_connect_failed(status == AttemptStatus::ConnectFailed);
                self.record_failure(attempt.server, actions);
            }
            AttemptStatus::TimedOut => server.outlier.set_connect_failed(false),
            AttemptStatus::NotSent | AttemptStatus::Cancelled => {}
            AttemptStatus::Served | AttemptStatus::Miss | AttemptStatus::Rejected => {
                self.record_cache_response(attempt, status, actions);
            }
        }
    }

    fn record_cache_response(&mut self, attempt: &Attempt, status: AttemptStatus, actions: &mut Vec<Action>) {
        let Some(server) = self.servers.get_mut(attempt.server) else { return };
        let service_time = attempt.age(self.now) as f64 / (1.0 + server.requests_per_core());
        server.record_response(self.now, attempt.latency_objective);
        if let Some(readmission) = server.outlier.record_response() {
            // A server that refused connections and responds now is a new process, which the list may show
            // late.
            if readmission.restarted {
                server.presume_restarted(self.now);
            }
            actions.push(LogMessage::ServerReadmitted(attempt.server).into());
        }
        if attempt.is_timely(self.now) {
            self.startup.record_timely_response();
        }
        if status == AttemptStatus::Served {
            self.servers.record_service_time(service_time);
        }
    }

    fn record_origin_outcome(&mut self, attempt: &Attempt, outcome: &Outcome, actions: &mut Vec<Action>) {
        let id = AttemptId { request: outcome.request, number: outcome.attempt };
        self.in_flight_fetches.on_call_ended(id, attempt);
        if attempt.kind == CallKind::CoalescedFetch {
            return; // The call that it joined has an outcome of its own.
        }
        let context = OutcomeContext {
            now: self.now,
            share: self.origin_share(),
            longest_objective: self.objectives.longest,
            shortest_objective: self.objectives.shortest,
            nodes: self.settings.nodes,
        };
        let message = self.origin_limits.record_outcome(attempt, outcome, context, &mut self.random);
        log(message, actions);
    }
}
