//! Processes that all start at one moment before cache servers of limited capacity.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use stonevane_policy::*;

use crate::common::*;

const BEGIN: Micros = 60 * SECOND;
const CACHE_SERVERS: u32 = 12;
/// Cores of a cache server, and the time that one takes for a request.
const CORES: usize = 5;
const SERVICE_TIME: Micros = 110 * MS;
/// Reads that wait for the fleet to start; the others come at this interval.
const WAITING_READS: u64 = 2_400;
const READ_INTERVAL: Micros = 2_381;
const READS: u64 = 2_820;

/// An event that is due at a node: the answer of a server, or a timer where the server is 0.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Micros,
    node: usize,
    request: RequestId,
    server: ServerId,
}

impl Due {
    fn event(self) -> Event {
        match self.server {
            0 => Event::Timer(0),
            // The attempt's number does not matter where nothing is hedged.
            server => Event::Outcome(outcome(self.request, 0, server, AttemptStatus::Served)),
        }
    }
}

struct Simulation {
    nodes: Vec<Policy>,
    /// When each core of each server is free.
    cores: Vec<[Micros; CORES]>,
    due: BinaryHeap<Reverse<Due>>,
    sent_at_once: usize,
    longest_wait: Micros,
    sent_in_first_second: usize,
}

impl Simulation {
    fn new(count: u64, startup_attempts_per_server: f64) -> Simulation {
        let settings = Settings {
            nodes: count as u32,
            tenants: vec![Tenant { quota_per_s: 840.0 }],
            startup_attempts_per_server,
            may_duplicate: false,
            ..settings()
        };
        let mut nodes: Vec<_> = (0..count).map(|seed| Policy::new(settings.clone(), seed + 1)).collect();
        for policy in &mut nodes {
            let servers = (1..=CACHE_SERVERS).map(server).chain([origin()]).collect();
            let list = Event::ServerList { kind: ListUpdate::Cached, servers };
            policy.handle(BEGIN, list, &mut Vec::new());
        }
        Simulation {
            nodes,
            cores: vec![[BEGIN; CORES]; CACHE_SERVERS as usize + 1],
            due: BinaryHeap::new(),
            sent_at_once: 0,
            longest_wait: 0,
            sent_in_first_second: 0,
        }
    }

    fn handle(&mut self, now: Micros, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, server, .. } if server <= CACHE_SERVERS => {
                    self.send(now, node, request, server);
                }
                Action::Timer { after, .. } => {
                    self.due.push(Reverse(Due { at: now + after.max(1), node, request: 0, server: 0 }));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, now: Micros, node: usize, request: RequestId, server: ServerId) {
        self.sent_at_once += usize::from(now == BEGIN);
        self.sent_in_first_second += usize::from(now < BEGIN + SECOND);
        let core = self.cores[server as usize].iter_mut().min().unwrap();
        self.longest_wait = self.longest_wait.max(core.saturating_sub(now));
        *core = (*core).max(now) + SERVICE_TIME;
        self.due.push(Reverse(Due { at: *core, node, request, server }));
    }

    fn run_until(&mut self, now: Micros) {
        while let Some(Reverse(due)) = self.due.peek().copied().filter(|Reverse(due)| due.at <= now) {
            self.due.pop();
            self.handle(due.at, due.node, due.event());
        }
    }
}

/// What so many processes that start at one moment have in flight of 2,400 reads that come at once, before
/// any is answered; how long the longest waited at a server, and how many were sent in the first second.
fn start_together(count: u64, startup_attempts_per_server: f64) -> (usize, Micros, usize) {
    let mut simulation = Simulation::new(count, startup_attempts_per_server);
    for id in 1..=READS {
        let now = BEGIN + id.saturating_sub(WAITING_READS) * READ_INTERVAL;
        simulation.run_until(now);
        simulation.handle(now, (id * 7 % count) as usize, Event::Request(read(id, id * 1_000_003)));
    }
    (simulation.sent_at_once, simulation.longest_wait, simulation.sent_in_first_second)
}

#[test]
fn processes_that_start_together_send_no_more_at_once_however_many_they_are() {
    for count in [1, 4, 64, 300] {
        let (first, longest, sent) = start_together(count, 8.0);
        let (unheld, waited, _) = start_together(count, 0.0);
        println!(
            "{count} lives: {first} out at once, {longest} us at most in a queue, {sent} sent in a second"
        );
        println!("    not held back: {unheld}, {waited}");
        // 8 at each of 12, and one at most that chance gives each process.
        assert!(first as u64 <= 96 + count, "{count} lives: {first} at once");
        assert!(longest < 400 * MS, "{count} lives: {longest} us in a queue");
        // The capacity is 545 a second; a single process knows by itself what it has at each.
        assert!(sent >= 250, "{count} lives: {sent} sent in the first second");
        if count >= 64 {
            assert!(
                unheld > 600 && waited > SECOND,
                "without it there is nothing to show: {unheld}, {waited}"
            );
        }
    }
}
