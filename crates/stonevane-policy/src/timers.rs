//! The timers of the policy. One timer of the node stands for all of them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::action::Action;
use crate::attempt::AttemptId;
use crate::ids::{Micros, RequestId};

/// What a timer is for. Timers due at the same time run in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The deadline of a request, or the end of its latency objective.
    Deadline(RequestId),
    /// The end of a request's backoff, by the backoff's number.
    Retry { request: RequestId, backoff: u32 },
    /// An attempt is slow, nearly late or lost.
    AttemptSlow(AttemptId),
    /// Discovery is to be polled.
    PollDiscovery,
    /// The periodic review of the overload signal.
    Review,
}

/// Timers in the order of their times.
#[derive(Default)]
pub struct TimerQueue {
    queue: BinaryHeap<Reverse<(Micros, Timer)>>,
    /// When the node's timer is due.
    armed: Option<Micros>,
}

impl TimerQueue {
    /// Sets a timer.
    pub fn set(&mut self, at: Micros, timer: Timer) {
        self.queue.push(Reverse((at, timer)));
    }

    /// The node's timer has fired that was set for a time up to `by`. Where another is armed for later, this
    /// one had been overtaken, and must not arm a further one: timers would grow in number.
    pub fn fired(&mut self, by: Micros) {
        self.armed = self.armed.filter(|armed| *armed > by);
    }

    /// Takes out the next timer that is due; where none is, arms the node's timer for the next. Stale timers
    /// at the head are dropped.
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
        if self.armed.is_none_or(|armed| at < armed) {
            self.armed = Some(at);
            actions.push(Action::Timer { after: at - now, token: 0 });
        }
        None
    }
}
