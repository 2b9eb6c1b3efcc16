//! Life cycle of a request: arrival, choice of the next attempt, final answer.

use super::Policy;
use crate::action::{Action, Reason};
use crate::admission::AdmissionDecision;
use crate::attempt::{AttemptId, CallKind};
use crate::balancing::PendingRead;
use crate::event::Request;
use crate::ids::{RequestId, ServerId};
use crate::origin_limits::backoff;
use crate::pending_request::PendingRequest;
use crate::settings::Idempotency;
use crate::slow_start::SlowStartRead;
use crate::startup;
use crate::timers::Timer;

/// Number of ticks before its deadline at which a request ends, so that the answer is in time if the node
/// calls the policy late.
const DEADLINE_MARGIN_TICKS: u64 = 2;

impl Policy {
    /// Handles the arrival of a request: admits or rejects it, then makes its first attempt.
    pub(super) fn on_request(&mut self, request: &Request, actions: &mut Vec<Action>) {
        let mut pending = self.pending_request(request);
        self.retry_budget.record_request();
        let recency = self.key_history.record(request.key, self.now);
        pending.popular = recency.popular;
        pending.unseen_for = self.now.saturating_sub(recency.unseen_since.max(self.startup.started_at()));
        let (deadline, useful_until) = (pending.deadline, pending.useful_until());
        let rejection = self.rejection_on_arrival(&mut pending, request.tenant);
        self.requests.insert(request.id, pending);
        if let Some(reason) = rejection {
            self.finish(request.id, reason, actions);
            return;
        }
        self.admission.count_admitted();
        self.timers.set(deadline, Timer::Deadline(request.id));
        self.timers.set(useful_until, Timer::Deadline(request.id));
        self.next_attempt(request.id, actions);
    }

    fn pending_request(&self, request: &Request) -> PendingRequest {
        let margin = DEADLINE_MARGIN_TICKS * self.settings.tick;
        let class = self.settings.classes.get(request.class).copied().unwrap_or_default();
        PendingRequest {
            class,
            max_attempts: self.settings.max_attempts,
            key: request.key,
            write: request.write,
            deadline: self.now + request.time_left.saturating_sub(margin),
            objective_at: (self.now + class.latency_objective).saturating_sub(margin),
            ..PendingRequest::default()
        }
    }

    /// Returns the reason for which a new request is rejected, if there is one.
    fn rejection_on_arrival(&mut self, pending: &mut PendingRequest, tenant: usize) -> Option<Reason> {
        match self.admission.admit(tenant, self.now, self.objectives.longest, &self.settings) {
            AdmissionDecision::OverQuota => return Some(Reason::OverQuota),
            AdmissionDecision::Admitted { charged_tenant } => pending.charged_tenant = charged_tenant,
        }
        if self.now >= pending.deadline {
            return Some(Reason::DeadlineExceeded);
        }
        self.shutting_down.then_some(Reason::ShuttingDown)
    }

    /// Chooses and makes the next attempt of a request.
    pub(super) fn next_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        if self.now >= pending.useful_until() {
            return self.finish(id, Reason::DeadlineExceeded, actions);
        }
        if pending.attempts_exhausted(&self.settings) {
            return self.finish(id, Reason::AttemptsExhausted, actions);
        }
        if pending.write || pending.missed {
            return self.call_origin(id, actions);
        }
        if !self.startup_allows_attempt() {
            return self.reject_at_startup(id, actions);
        }
        let sent =
            self.choose_server(id).is_some_and(|server| self.send(id, server, CallKind::CacheRead, actions));
        if !sent {
            self.finish(id, Reason::NoServer, actions);
        }
    }

    fn reject_at_startup(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let random_unit = self.random.unit();
        if let Some(pending) = self.requests.get_mut(&id) {
            let time_left = pending.useful_until().saturating_sub(self.now);
            pending.min_retry_after = startup::retry_after(time_left, random_unit);
        }
        self.finish(id, Reason::StartupLimit, actions);
    }

    /// Returns the cache server for the next attempt of a request.
    pub(super) fn choose_server(&self, id: RequestId) -> Option<ServerId> {
        let pending = self.requests.get(&id)?;
        let slow_start = SlowStartRead {
            request: id,
            // A request without a key may go to any server, so its own number determines the order.
            key: if pending.key == 0 { id } else { pending.key },
            popular: pending.popular,
            unseen_for: pending.unseen_for,
        };
        let time_left = pending.useful_until().saturating_sub(self.now);
        self.balancing().choose(&PendingRead { request: id, slow_start, tried: &pending.tried, time_left })
    }

    /// Handles the deadline of a request, or the end of its latency objective if a late answer earns nothing.
    /// In the latter case an attempt at a cache server only takes capacity from requests that can still be in
    /// time, so the request ends. A call to the origin continues, because its response fills the cache.
    pub(super) fn on_deadline(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        let calls_origin = |number| {
            let attempt = self.attempts.get(&AttemptId { request: id, number });
            attempt.is_some_and(|attempt| attempt.kind != CallKind::CacheRead)
        };
        if self.now >= pending.deadline || !(0..pending.attempts).any(calls_origin) {
            self.finish(id, Reason::DeadlineExceeded, actions);
        }
    }

    /// Gives a request its final answer: a rejection if a retry by the client is safe, else a failure. Every
    /// final answer of the policy is given here.
    pub(super) fn finish(&mut self, id: RequestId, reason: Reason, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        actions.push(Action::Explain { request: id, reason });
        if let Some(tenant) = pending.charged_tenant {
            self.admission.refund(tenant);
        }
        let retry_is_safe =
            pending.class.idempotency == Idempotency::Idempotent || pending.may_have_run.is_empty();
        if retry_is_safe {
            let unavailable_for = match pending.missed || pending.write {
                true => self.origin_limits.unavailable_for(self.now),
                false => 0,
            };
            // Apart from the minimum that the start-up limit sets, the hint is no longer than the backoff of
            // a blocked call, otherwise clients retry too late and displace other requests. It does not end
            // before an unavailable origin may be called again.
            let delay = backoff(pending.class.latency_objective, &mut self.random);
            let retry_after = unavailable_for + delay.max(pending.min_retry_after);
            let retry_after = retry_after.min(self.settings.max_retry_after);
            actions.push(Action::Reject { request: id, retry_after });
        } else {
            actions.push(Action::Fail(id));
        }
        self.cancel_attempts(id, actions);
        self.requests.remove(&id);
    }

    /// Cancels the attempts of a request that has its answer: they would only delay other requests.
    pub(super) fn cancel_attempts(&self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        if pending.in_flight == 0 || !self.settings.may_cancel {
            return;
        }
        let numbers = 0..pending.attempts;
        let in_flight =
            numbers.filter(|&number| self.attempts.contains_key(&AttemptId { request: id, number }));
        actions.extend(in_flight.map(|attempt| Action::Cancel { request: id, attempt }));
    }
}
