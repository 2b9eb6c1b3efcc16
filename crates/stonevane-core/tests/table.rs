//! The origin's connection table, which all nodes share. Guards against nodes whose idle connections fill the
//! table, so that the origin rejects requests of the other nodes.
#![allow(missing_docs)]

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use common::{START, core, get};
use oorandom::Rand64;
use stonevane_core::{ConnId, Core, Input, Output, Outputs};

/// Number of connections that the origin accepts.
const ORIGIN_CONNECTIONS: usize = 92;
const ORIGIN_LATENCY_US: u64 = 48_000;
const MISSES_PER_S: f64 = 500.0;
const DURATION_US: u64 = 6_000_000;

const MISS: &[u8] = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$0\r\n\r\n";
const VALUE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue";
const FULL: &[u8] =
    b"HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request(usize),
    Reply(usize, ConnId),
    Wake(usize),
}

/// Nodes in front of one origin, which rejects requests on connections beyond its limit.
struct Harness {
    nodes: Vec<Core>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// Whether the origin accepted each connection, by node and connection.
    origin_connections: HashMap<(usize, ConnId), bool>,
    now: u64,
    requests_sent: Vec<u64>,
    served: Vec<u64>,
    origin_calls: u64,
    opened: u64,
    rejected: u64,
}

impl Harness {
    fn run(count: usize) -> Harness {
        let mut harness = Harness {
            nodes: (0..count).map(|_| core(false, 512, Duration::ZERO)).collect(),
            events: BinaryHeap::new(),
            origin_connections: HashMap::new(),
            now: START,
            requests_sent: vec![0; count],
            served: vec![0; count],
            origin_calls: 0,
            opened: 0,
            rejected: 0,
        };
        let (mut rng, mut at) = (Rand64::new(7), START);
        loop {
            at += (-(1.0 - rng.rand_float()).ln() / MISSES_PER_S * 1e6) as u64;
            if at >= START + DURATION_US {
                break;
            }
            harness.events.push(Reverse((at, Event::Request(rng.rand_range(0..count as u64) as usize))));
        }
        while let Some(Reverse((at, event))) = harness.events.pop() {
            // Only periodic timers are left after the last reply.
            if at > START + DURATION_US + 2_500_000 {
                break;
            }
            harness.now = at;
            match event {
                Event::Request(node) => {
                    harness.requests_sent[node] += 1;
                    let key = format!("{:08x}", (node as u64) << 16 | harness.requests_sent[node]);
                    let client = harness.nodes[node].next_connection_id();
                    harness.feed(node, Input::Accepted(client));
                    harness.feed(node, Input::Bytes(client, &get(&key, &key)));
                }
                Event::Reply(node, conn) if harness.origin_connections.contains_key(&(node, conn)) => {
                    harness.feed(node, Input::Bytes(conn, VALUE));
                }
                Event::Reply(..) => {}
                Event::Wake(node) => harness.feed(node, Input::Wake),
            }
        }
        harness
    }

    fn feed(&mut self, node: usize, input: Input<'_>) {
        let mut out = Outputs::new();
        self.nodes[node].handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Open(id, address) => {
                    if address.port() == 2 {
                        let accepted = self.origin_connections.values().filter(|accepted| **accepted).count();
                        self.origin_connections.insert((node, id), accepted < ORIGIN_CONNECTIONS);
                        self.opened += 1;
                    }
                    self.feed(node, Input::Opened(id));
                }
                Output::WriteRequest { id, .. } => {
                    self.feed(node, Input::Flushed(id));
                    match self.origin_connections.get(&(node, id)) {
                        None => self.feed(node, Input::Bytes(id, MISS)),
                        Some(true) => {
                            self.origin_calls += 1;
                            self.events.push(Reverse((self.now + ORIGIN_LATENCY_US, Event::Reply(node, id))));
                        }
                        Some(false) => {
                            (self.origin_calls, self.rejected) = (self.origin_calls + 1, self.rejected + 1);
                            self.origin_connections.remove(&(node, id));
                            self.feed(node, Input::Bytes(id, FULL));
                        }
                    }
                }
                Output::Close(id) => drop(self.origin_connections.remove(&(node, id))),
                Output::Write(id, bytes) => {
                    self.served[node] += u64::from(bytes.starts_with(b"$5\r\n"));
                    self.feed(node, Input::Flushed(id));
                    self.feed(node, Input::Closed(id));
                }
                _ => {}
            }
        }
        if let Some(next) = self.nodes[node].next_timeout() {
            self.events.push(Reverse((next.max(self.now + 1), Event::Wake(node))));
        }
    }
}

#[test]
fn a_connection_table_that_all_nodes_share_has_capacity_for_each() {
    for count in [1, 4, 100] {
        let harness = Harness::run(count);
        let rejected_share = harness.rejected as f64 / harness.origin_calls as f64;
        let lowest_share = harness
            .requests_sent
            .iter()
            .zip(&harness.served)
            .map(|(requests_sent, served)| *served as f64 / *requests_sent as f64);
        let lowest_share = lowest_share.fold(1.0, f64::min);
        println!(
            "{count} nodes: {} calls, {} opened, {rejected_share:.3} rejected, lowest served share of a node \
             {lowest_share:.2}",
            harness.origin_calls, harness.opened
        );
        assert!(rejected_share < 0.10, "{count} nodes: {rejected_share:.3} of the calls rejected");
        assert!(lowest_share > 0.8, "{count} nodes: the lowest served share of a node is {lowest_share:.2}");
        // Few nodes keep their connections, because new ones would cost the origin work.
        assert!(
            count > 4 || harness.opened < harness.origin_calls / 10,
            "{count} nodes: {} opened",
            harness.opened
        );
        assert!(harness.nodes.iter().all(|node| node.resource_counts().attempts == 0));
    }
}
