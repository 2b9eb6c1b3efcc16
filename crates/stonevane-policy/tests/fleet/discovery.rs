//! Guards against a fleet that overloads discovery after all its watches break at the same time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use stonevane_policy::*;

use crate::common::*;

/// Discovery as a single queue. It also answers calls whose caller has timed out, and rejects calls only if
/// the queue is long. With six or more nodes, it takes [`Discovery::TIME_FOR_ALL_NODES`] to answer one call
/// from every node.
struct Discovery {
    /// Service time of a call.
    service_time: Micros,
    /// Time at which the queue is empty.
    free_at: Micros,
}

impl Discovery {
    const TIME_FOR_ALL_NODES: Micros = 8 * SECOND;
    const TIMEOUT: Micros = 3 * SECOND;

    /// Returns the time at which a call is answered; `None` if it is rejected.
    fn call(&mut self, now: Micros) -> Option<Micros> {
        if self.free_at > now + 4 * Self::TIMEOUT {
            return None;
        }
        self.free_at = self.free_at.max(now) + self.service_time;
        Some(self.free_at)
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum DueEvent {
    Timer,
    Rejected,
    /// The call with this number timed out at its node.
    TimedOut(usize),
    Answered(usize),
}

/// Breaks the watches of `count` nodes at the same time. Returns the sorted times after which nodes have a
/// list again, and the number of calls that all nodes make. A call that has timed out stays in the queue of
/// discovery, and its answer counts until a later call of the same node has timed out too.
fn restore_lists(count: u64) -> (Vec<Micros>, usize) {
    let settings = Settings { poll_discovery: true, nodes: count as u32, ..settings() };
    let mut discovery = Discovery { service_time: Discovery::TIME_FOR_ALL_NODES / count.max(6), free_at: 0 };
    let mut nodes: Vec<Policy> = (0..count).map(|seed| Policy::new(settings.clone(), seed + 1)).collect();
    let mut lists = vec![Micros::MAX; nodes.len()];
    let mut calls = vec![0; nodes.len()];
    let mut first_valid_call = calls.clone();
    let mut events = BinaryHeap::new();
    let notify = |policy: &mut Policy, now, kind| {
        let mut out = Vec::new();
        policy.handle(now, Event::ServerList { kind, servers: vec![server(1), origin()] }, &mut out);
        out
    };
    let begin = 60 * SECOND;
    for (id, policy) in nodes.iter_mut().enumerate() {
        for action in notify(policy, begin, ListUpdate::Full) {
            // Only timers are kept: the first watch of the node is already established.
            if let Action::Timer { after, .. } = action {
                events.push(Reverse((begin + after, id, DueEvent::Timer)));
            }
        }
        events.push(Reverse((begin + SECOND, id, DueEvent::Rejected)));
    }
    while let Some(Reverse((now, id, event))) = events.pop() {
        if now > begin + 60 * SECOND || lists[id] != Micros::MAX {
            continue;
        }
        let mut out = Vec::new();
        match event {
            DueEvent::Timer => nodes[id].handle(now, Event::Timer(0), &mut out),
            DueEvent::Rejected => out = notify(&mut nodes[id], now, ListUpdate::Failed),
            DueEvent::TimedOut(call) => {
                first_valid_call[id] = call;
                let timed_out =
                    ListUpdate::TimedOut { silent_for: Discovery::TIMEOUT, was_established: false };
                out = notify(&mut nodes[id], now, timed_out);
            }
            DueEvent::Answered(call) if call >= first_valid_call[id] => lists[id] = now - begin - SECOND,
            DueEvent::Answered(_) => {}
        }
        for action in out {
            match action {
                Action::Timer { after, .. } => events.push(Reverse((now + after, id, DueEvent::Timer))),
                Action::Subscribe(true) => {
                    calls[id] += 1;
                    let Some(answered_at) = discovery.call(now) else {
                        events.push(Reverse((now, id, DueEvent::Rejected)));
                        continue;
                    };
                    events.push(Reverse((answered_at, id, DueEvent::Answered(calls[id]))));
                    let times_out_at = now + Discovery::TIMEOUT;
                    if times_out_at < answered_at {
                        events.push(Reverse((times_out_at, id, DueEvent::TimedOut(calls[id]))));
                    }
                }
                _ => {}
            }
        }
    }
    lists.sort_unstable();
    (lists, calls.iter().sum())
}

#[test]
fn watches_that_break_at_the_same_time_are_restored_soon() {
    for count in [1, 6, 30, 100, 300] {
        let (lists, calls) = restore_lists(count);
        let restored_at = |quantile: f64| lists[(((count - 1) as f64) * quantile) as usize] as f64 / 1e6;
        println!(
            "{count} nodes: lists restored after {:.1} s (50%), {:.1} s (90%), {:.1} s (100%), {calls} calls",
            restored_at(0.5),
            restored_at(0.9),
            restored_at(1.0)
        );
        assert!(
            restored_at(0.9) <= 12.0,
            "{count} nodes: 90% have a list again after {} s",
            restored_at(0.9)
        );
        assert!(calls as u64 <= count * 3 / 2, "{count} nodes: {calls} calls");
    }
}
