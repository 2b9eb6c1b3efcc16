//! Guards against nodes that start at the same time and together overload the cache servers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use stonevane_policy::*;

use crate::common::*;

const BEGIN: Micros = 60 * SECOND;
const CACHE_SERVERS: u32 = 12;
/// Cores of a cache server.
const CORES: usize = 5;
/// Time that a core takes for a request.
const SERVICE_TIME: Micros = 110 * MS;
/// Reads that arrive all at once when the fleet starts.
const WAITING_READS: u64 = 2_400;
/// Interval between the reads that arrive after the waiting reads.
const READ_INTERVAL: Micros = 2_381;
/// Number of reads in total: the waiting reads and those that arrive later.
const READS: u64 = 2_820;

/// A scheduled event of a node: a response of a server, or a timer if the server is 0.
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
            // Requests are not hedged or retried here, so every attempt has number 0.
            server => Event::Outcome(outcome(self.request, 0, server, AttemptStatus::Served)),
        }
    }
}

struct Simulation {
    nodes: Vec<Policy>,
    /// Time at which each core of each server is free.
    cores: Vec<[Micros; CORES]>,
    due: BinaryHeap<Reverse<Due>>,
    sent_at_once: usize,
    longest_queue_time: Micros,
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
            longest_queue_time: 0,
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
        self.longest_queue_time = self.longest_queue_time.max(core.saturating_sub(now));
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

/// Starts `count` nodes at the same time with 2,400 waiting reads. Returns the reads sent before any is
/// answered, the longest time in the queue of a server, and the reads sent in the first second.
fn start_together(count: u64, startup_attempts_per_server: f64) -> (usize, Micros, usize) {
    let mut simulation = Simulation::new(count, startup_attempts_per_server);
    for id in 1..=READS {
        let now = BEGIN + id.saturating_sub(WAITING_READS) * READ_INTERVAL;
        simulation.run_until(now);
        simulation.handle(now, (id * 7 % count) as usize, Event::Request(read(id, id * 1_000_003)));
    }
    (simulation.sent_at_once, simulation.longest_queue_time, simulation.sent_in_first_second)
}

#[test]
fn nodes_that_start_together_share_one_startup_limit() {
    for count in [1, 4, 64, 300] {
        let (at_once, longest, sent) = start_together(count, 8.0);
        let (unlimited, unlimited_longest, _) = start_together(count, 0.0);
        println!(
            "{count} nodes: {at_once} sent at once, {sent} in the first second, {longest} us longest queue"
        );
        println!(
            "    without the limit: {unlimited} sent at once, {unlimited_longest} us longest queue time"
        );
        // The limit is 8 at each of 12 servers, plus at most one per node from random rounding.
        assert!(at_once as u64 <= 96 + count, "{count} nodes: {at_once} sent at once");
        assert!(longest < 400 * MS, "{count} nodes: {longest} us in a queue");
        // The capacity of the servers is 545 reads per second. A single node knows all attempts in flight at
        // each server.
        assert!(sent >= 250, "{count} nodes: {sent} sent in the first second");
        if count >= 64 {
            assert!(
                unlimited > 600 && unlimited_longest > SECOND,
                "no overload without the limit: {unlimited}, {unlimited_longest} us"
            );
        }
    }
}
