//! A fleet whose watches of discovery break at once.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use stonevane_policy::*;

use crate::common::*;

/// Discovery as one service that answers calls in turn, those too that nobody waits for any more, and rejects
/// only behind a long queue: each of six nodes or more gets one call answered in [`Discovery::ALL`].
struct Discovery {
    takes: Micros,
    free_at: Micros,
}

impl Discovery {
    const ALL: Micros = 8 * SECOND;
    const TIMEOUT: Micros = 3 * SECOND;

    /// When a call has its turn; `None` where it is rejected.
    fn call(&mut self, now: Micros) -> Option<Micros> {
        if self.free_at > now + 4 * Self::TIMEOUT {
            return None;
        }
        self.free_at = self.free_at.max(now) + self.takes;
        Some(self.free_at)
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer,
    Rejected,
    /// A call of this number is not answered in time.
    Unanswered(usize),
    Answered(usize),
}

/// When each of so many nodes has a list again, all of whose watches break at once, and how many calls they
/// make. A call that is not answered in time keeps its turn until another one has not been answered either.
fn lists_again(count: u64) -> (Vec<Micros>, usize) {
    let config = Settings { poll_discovery: true, nodes: count as u32, ..settings() };
    let mut discovery = Discovery { takes: Discovery::ALL / count.max(6), free_at: 0 };
    let mut nodes: Vec<Policy> = (0..count).map(|seed| Policy::new(config.clone(), seed + 1)).collect();
    let mut lists = vec![Micros::MAX; nodes.len()];
    let mut calls = vec![0; nodes.len()];
    let mut waits_from = calls.clone();
    let mut due = BinaryHeap::new();
    let notify = |policy: &mut Policy, now, kind| {
        let mut out = Vec::new();
        policy.handle(now, Event::ServerList { kind, servers: vec![server(1), origin()] }, &mut out);
        out
    };
    let begin = 60 * SECOND;
    for (id, policy) in nodes.iter_mut().enumerate() {
        for action in notify(policy, begin, ListUpdate::Full) {
            // The watch of the start is established already.
            if let Action::Timer { after, .. } = action {
                due.push(Reverse((begin + after, id, Due::Timer)));
            }
        }
        due.push(Reverse((begin + SECOND, id, Due::Rejected)));
    }
    while let Some(Reverse((now, id, what))) = due.pop() {
        if now > begin + 60 * SECOND || lists[id] != Micros::MAX {
            continue;
        }
        let mut out = Vec::new();
        match what {
            Due::Timer => nodes[id].handle(now, Event::Timer(0), &mut out),
            Due::Rejected => out = notify(&mut nodes[id], now, ListUpdate::Failed),
            Due::Unanswered(call) => {
                waits_from[id] = call;
                let silent = ListUpdate::TimedOut { silent_for: Discovery::TIMEOUT, was_established: false };
                out = notify(&mut nodes[id], now, silent);
            }
            Due::Answered(call) if call >= waits_from[id] => lists[id] = now - begin - SECOND,
            Due::Answered(_) => {}
        }
        for action in out {
            match action {
                Action::Timer { after, .. } => due.push(Reverse((now + after, id, Due::Timer))),
                Action::Subscribe(true) => {
                    calls[id] += 1;
                    let Some(turn) = discovery.call(now) else {
                        due.push(Reverse((now, id, Due::Rejected)));
                        continue;
                    };
                    due.push(Reverse((turn, id, Due::Answered(calls[id]))));
                    let given_up = now + Discovery::TIMEOUT;
                    if given_up < turn {
                        due.push(Reverse((given_up, id, Due::Unanswered(calls[id]))));
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
fn watches_that_break_all_at_once_are_all_restored_soon() {
    for count in [1, 6, 30, 100, 300] {
        let (lists, calls) = lists_again(count);
        let at = |part: f64| lists[(((count - 1) as f64) * part) as usize] as f64 / 1e6;
        println!(
            "{count} nodes: lists again after {:.1} s, {:.1} s, {:.1} s, with {calls} calls",
            at(0.5),
            at(0.9),
            at(1.0)
        );
        assert!(at(0.9) <= 12.0, "{count} nodes: nine in ten have a list again after {} s", at(0.9));
        assert!(calls as u64 <= count * 3 / 2, "{count} nodes: {calls} calls");
    }
}
