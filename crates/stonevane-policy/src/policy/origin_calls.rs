//! Calls to the origin: fetches after a miss, and writes.

use super::Policy;
use crate::action::{Action, Reason};
use crate::attempt::CallKind;
use crate::ids::RequestId;
use crate::origin_limits::backoff;
use crate::timers::Timer;

impl Policy {
    /// Calls the origin for a request, joins a call in flight, or backs off where the limits are reached.
    pub(super) fn call_origin(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        let available = !self.origin_limits.is_unavailable(self.now);
        let kind = if pending.write {
            CallKind::Write
        } else if available && self.shared_fetches.can_join(pending.key) {
            CallKind::JoinedFetch
        } else {
            CallKind::Fetch
        };
        let server = match self.settings.origin_kind {
            Some(_) => self.servers.origin(),
            // Servers that fetch for themselves take writes too.
            None => self.choose_server(id),
        };
        // Counted as limited: the origin may be listed again before the retry.
        let Some(server) = server else { return self.back_off(id, actions) };
        let allowed = kind == CallKind::JoinedFetch || available && self.acquire_origin_call(kind);
        if !allowed {
            return self.back_off(id, actions);
        }
        if !self.send(id, server, kind, actions) {
            self.finish(id, Reason::MayHaveRun, actions);
        }
    }

    /// Whether the origin's limits allow one more call.
    pub(super) fn acquire_origin_call(&mut self, kind: CallKind) -> bool {
        let share = self.origin_share();
        self.origin_limits.try_acquire(kind, self.now, share, self.latency.longest)
    }

    /// Retries a blocked call after a random backoff, while its answer can still earn something. Behind an
    /// unavailable origin none waits: the client is notified at once when to come back.
    pub(super) fn back_off(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let delay = backoff(pending.class.latency_objective, &mut self.random);
        let unavailable = self.origin_limits.is_unavailable(self.now);
        let reason = if unavailable { Reason::OriginUnavailable } else { Reason::OriginLimited };
        if unavailable || self.now + delay >= pending.useful_until() {
            if pending.in_flight == 0 {
                self.finish(id, reason, actions);
            }
            return;
        }
        actions.push(Action::Explain { request: id, reason });
        pending.backoff += 1;
        let timer = Timer::Retry { request: id, backoff: pending.backoff };
        self.set_timer(delay, timer);
    }
}
