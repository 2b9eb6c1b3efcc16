//! Sending of attempts and handling of slow ones: hedged requests, repeated attempts for lost responses, and
//! failures counted against the server.

use super::Policy;
use crate::action::{Action, Reason};
use crate::admission::SLOW_ATTEMPT_SIGNAL;
use crate::attempt::{Attempt, AttemptId, CallKind};
use crate::hedging;
use crate::ids::{Key, Micros, RequestId, ServerId};
use crate::log_message::LogMessage;
use crate::retry::{self, LOST_RESPONSE_MULTIPLE};
use crate::timers::Timer;

/// Fraction of the latency objective after which an attempt without a response is slow. After twice this
/// fraction it is nearly late.
const SLOW_ATTEMPT_FRACTION: f64 = 0.4;

impl Policy {
    /// Sends an attempt if the rules allow it, and returns whether it was sent. Every attempt of the policy
    /// is sent here.
    pub(super) fn send(
        &mut self,
        id: RequestId,
        server: ServerId,
        kind: CallKind,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !self.may_send(id, server) {
            return false;
        }
        let slow_start = self.slow_start();
        let spent = self.servers.get(server).map(|target| slow_start.spend_one(target));
        let (Some(pending), Some(target), Some(spent)) =
            (self.requests.get_mut(&id), self.servers.get_mut(server), spent)
        else {
            return false;
        };
        let attempt = AttemptId { request: id, number: pending.record_attempt(server, self.now) };
        target.record_attempt(spent);
        let key = pending.key;
        let latency_objective = pending.class.latency_objective;
        let slow_after = (latency_objective as f64 * SLOW_ATTEMPT_FRACTION) as Micros;
        let lost_after = (LOST_RESPONSE_MULTIPLE * target.response_time.value()) as Micros + 1;
        let timeout = if kind == CallKind::CacheRead { slow_after } else { lost_after.max(slow_after) };
        self.set_timer(timeout, Timer::AttemptSlow(attempt));
        self.count_sent(attempt, kind, key);
        let sent = Attempt { server, kind, key, sent_at: self.now, latency_objective, slow_after };
        self.attempts.insert(attempt, sent);
        actions.push(Action::Send { request: id, server, give_up_after: 0 });
        true
    }

    fn may_send(&self, id: RequestId, server: ServerId) -> bool {
        let (Some(pending), Some(target)) = (self.requests.get(&id), self.servers.get(server)) else {
            return false;
        };
        self.now < pending.deadline
            && !pending.attempts_exhausted(&self.settings)
            && target.is_available()
            && (pending.in_flight == 0 || self.settings.may_duplicate)
            && self.slow_start().has_budget(target)
            && retry::may_send(pending, target, &self.servers, &self.settings, self.now)
    }

    fn count_sent(&mut self, attempt: AttemptId, kind: CallKind, key: Key) {
        if kind == CallKind::CacheRead {
            self.servers.count_cache_attempt();
            return;
        }
        self.origin_limits.count_sent(kind);
        if kind == CallKind::Fetch && self.settings.coalesce_fetches {
            self.in_flight_fetches.register(key, attempt);
        }
    }

    /// Handles the timer of an attempt that is slow, nearly late or late, or whose response may be lost.
    pub(super) fn on_attempt_slow(&mut self, id: AttemptId, actions: &mut Vec<Action>) {
        let Some(&attempt) = self.attempts.get(&id) else { return };
        let lost = retry::response_is_lost(&attempt, self.servers.get(attempt.server), self.now);
        if lost {
            self.resend_lost(id.request, &attempt, actions);
        }
        if attempt.kind != CallKind::CacheRead {
            return;
        }
        let age = attempt.age(self.now);
        // Timers fire after 0.4, 0.8 and 1.2 latency objectives; the third one counts a failure.
        let next_timeout = attempt.slow_after + 1;
        let became_slow = age < next_timeout * 3 / 2;
        let late = age >= attempt.latency_objective;
        // An attempt adds `SLOW_ATTEMPT_SIGNAL`, half the signal of a rejected attempt, when it becomes slow
        // and again when it is nearly late, because a slow response is not yet a lost one.
        self.admission.record_overload(
            if late || lost { 0.0 } else { SLOW_ATTEMPT_SIGNAL },
            if became_slow { 1.0 } else { 0.0 },
        );
        if became_slow {
            self.hedge(id.request, attempt.server, actions);
        }
        if !late {
            return self.set_timer(next_timeout, Timer::AttemptSlow(id));
        }
        // A server that has responded since the attempt was sent gets no failure: a single slow request does
        // not indicate a faulty server.
        if self.servers.get(attempt.server).is_some_and(|server| server.last_response_at < attempt.sent_at) {
            self.record_failure(attempt.server, actions);
        }
    }

    /// Counts a failure against a server and logs the ejection that it causes.
    pub(super) fn record_failure(&mut self, id: ServerId, actions: &mut Vec<Action>) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if server.outlier.record_failure(self.now, self.objectives.longest) {
            actions.push(LogMessage::ServerEjected(id).into());
        }
    }

    /// Sends a request whose response is lost to the same server again, within the retry budget and the
    /// origin limits. Without this the request would wait until its deadline.
    fn resend_lost(&mut self, id: RequestId, lost: &Attempt, actions: &mut Vec<Action>) {
        let is_only_attempt = self.requests.get(&id).is_some_and(|pending| pending.in_flight == 1);
        let kind = retry::resend_kind(lost.kind);
        let allowed = is_only_attempt
            && self.retry_budget.allows_attempt()
            && (kind == CallKind::CacheRead || self.acquire_origin_call(kind));
        if allowed && self.send(id, lost.server, kind, actions) {
            self.retry_budget.spend_attempt();
            actions.push(Action::Explain { request: id, reason: Reason::ResponseLost });
        }
    }

    /// Sends a slow read to the next server as well, if the hedging rule allows it.
    fn hedge(&mut self, id: RequestId, slow_server: ServerId, actions: &mut Vec<Action>) {
        let has_enough_responses = self
            .servers
            .get(slow_server)
            .is_some_and(|server| hedging::has_enough_responses(server, self.now, self.objectives.longest));
        // While the start-up limit is reached, slowness results from the load of the start and not from a
        // slow server.
        let allowed = self.startup_allows_attempt() && !has_enough_responses;
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if !allowed || !hedging::may_hedge(pending, &self.retry_budget, &self.settings) {
            return;
        }
        pending.tried.push(slow_server);
        let next = self.choose_server(id);
        if next.is_some_and(|server| self.send(id, server, CallKind::CacheRead, actions)) {
            self.retry_budget.spend_attempt();
            actions.push(Action::Explain { request: id, reason: Reason::Hedged });
        }
    }
}
