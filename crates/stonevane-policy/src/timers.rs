//! Timers of the policy. A single timer of the node, set for the earliest due time, serves all of them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::action::Action;
use crate::attempt::AttemptId;
use crate::ids::{Micros, RequestId};

/// Purpose of a timer. Timers due at the same time run in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Deadline of a request, or end of its latency objective.
    Deadline(RequestId),
    /// End of a request's backoff; `backoff` is the number of the backoff within the request.
    Retry { request: RequestId, backoff: u32 },
    /// An attempt is slow, nearly late or late, or its response may be lost.
    AttemptSlow(AttemptId),
    /// The next poll of discovery.
    PollDiscovery,
    /// The periodic review of the overload signal and the origin limits.
    Review,
}

/// Timers ordered by due time.
#[derive(Default)]
pub struct TimerQueue {
    queue: BinaryHeap<Reverse<(Micros, Timer)>>,
    /// Due time of the node's timer; `None` if it is not set.
    armed_at: Option<Micros>,
}

impl TimerQueue {
    /// Adds a timer that is due at time `at`.
    pub fn set(&mut self, at: Micros, timer: Timer) {
        self.queue.push(Reverse((at, timer)));
    }

    /// Records that a timer of the node has fired that was set for time `by` or earlier. A timer armed for a
    /// later time stays armed: the fired timer was an earlier one, and arming another after each of them
    /// would multiply timers.
    pub fn on_node_timer_fired(&mut self, by: Micros) {
        self.armed_at = self.armed_at.filter(|armed_at| *armed_at > by);
    }

    /// Removes and returns the next timer that is due. If none is due, arms the node's timer for the next
    /// one. Drops stale timers at the head of the queue.
    pub fn next_due(
        &mut self,
        now: Micros,
        actions: &mut Vec<Action>,
        is_stale: impl Fn(Timer) -> bool,
    ) -> Option<Timer> {
        while self.queue.peek().is_some_and(|Reverse((_, timer))| is_stale(*timer)) {
            self.queue.pop();
        }
        let &Reverse((at, timer)) = self.queue.peek()?;
        if at <= now {
            self.queue.pop();
            return Some(timer);
        }
        if self.armed_at.is_none_or(|armed_at| at < armed_at) {
            self.armed_at = Some(at);
            actions.push(Action::Timer { after: at - now, token: 0 });
        }
        None
    }
}
