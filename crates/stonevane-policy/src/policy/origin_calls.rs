//! Calls to the origin: fetches after a cache miss, and writes.

use super::Policy;
use crate::action::{Action, Reason};
use crate::attempt::CallKind;
use crate::ids::RequestId;
use crate::origin_limits::backoff;
use crate::timers::Timer;

impl Policy {
    /// Calls the origin for a request, joins a fetch in flight, or backs off if a limit is reached or the
    /// origin is unavailable.
    pub(super) fn call_origin(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        let available = !self.origin_limits.is_unavailable(self.now);
        let kind = if pending.write {
            CallKind::Write
        } else if available && self.in_flight_fetches.can_coalesce(pending.key) {
            CallKind::CoalescedFetch
        } else {
            CallKind::Fetch
        };
        let server = match self.settings.origin_kind {
            Some(_) => self.servers.origin(),
            // Without an origin in the list, cache servers fetch for themselves and also take writes.
            None => self.choose_server(id),
        };
        // A missing origin is reported as limited, because the list may contain it again before the retry.
        let Some(server) = server else { return self.back_off(id, actions) };
        let allowed = kind == CallKind::CoalescedFetch || available && self.acquire_origin_call(kind);
        if !allowed {
            return self.back_off(id, actions);
        }
        if !self.send(id, server, kind, actions) {
            self.finish(id, Reason::MayHaveRun, actions);
        }
    }

    /// Returns whether the origin limits allow one more call.
    pub(super) fn acquire_origin_call(&mut self, kind: CallKind) -> bool {
        let share = self.origin_share();
        self.origin_limits.try_acquire(kind, self.now, share, self.objectives.longest)
    }

    /// Retries a blocked call after a random backoff, if an answer at that time still earns something.
    /// Otherwise ends the request, unless an attempt is in flight. While the origin is unavailable no request
    /// waits: the client gets a Retry-After hint at once.
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
