//! Server connections rest after a reply, even where the limit allows no other connection.
#![allow(missing_docs)]

mod common;

use std::collections::HashMap;
use std::time::Duration;

use common::{HIT, START, core_with, get};
use stonevane_core::{ConnId, Core, Input, Output, Outputs};

const REST: u64 = 15_000;

/// A core at its limit of connections, whose servers accept connections at once.
struct Harness {
    core: Core,
    now: u64,
    requests_sent: u64,
    clients: Vec<ConnId>,
    opened: usize,
    served: usize,
    /// When each server connection had its last reply.
    last_reply_at: HashMap<ConnId, u64>,
    /// Server connections whose request is written.
    awaiting_reply: Vec<ConnId>,
}

impl Harness {
    fn new(clients: usize, idle_close: u64) -> Harness {
        let core = core_with(false, 64, Duration::from_micros(REST), |d| d.idle_close = idle_close);
        let (last_reply_at, awaiting_reply) = (HashMap::new(), Vec::new());
        let mut harness = Harness {
            core,
            now: START,
            requests_sent: 0,
            clients: Vec::new(),
            opened: 0,
            served: 0,
            last_reply_at,
            awaiting_reply,
        };
        for _ in 0..clients {
            let id = harness.core.next_connection_id();
            harness.clients.push(id);
            harness.feed(Input::Accepted(id));
        }
        harness
    }

    fn feed(&mut self, input: Input<'_>) {
        let mut out = Outputs::new();
        self.core.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Open(id, _) => {
                    self.opened += 1;
                    self.feed(Input::Opened(id));
                }
                Output::WriteRequest { id, .. } => {
                    let rested = self.last_reply_at.get(&id).is_none_or(|at| at + REST <= self.now);
                    assert!(rested, "written to before it has rested");
                    self.feed(Input::Flushed(id));
                    self.awaiting_reply.push(id);
                }
                Output::Write(id, bytes) => {
                    assert_eq!(&bytes[..], b"$5\r\nvalue\r\n");
                    self.served += 1;
                    self.feed(Input::Flushed(id));
                }
                _ => {}
            }
        }
    }

    /// Each of so many clients sends one request.
    fn send_requests(&mut self, clients: usize) {
        for id in self.clients.clone().into_iter().take(clients) {
            self.requests_sent += 1;
            let word = format!("{:06}", self.requests_sent);
            self.feed(Input::Bytes(id, &get(&word, &word)));
        }
    }

    fn reply_to_all(&mut self) {
        for id in std::mem::take(&mut self.awaiting_reply) {
            self.last_reply_at.insert(id, self.now);
            self.feed(Input::Bytes(id, HIT));
        }
    }

    /// A core whose server connections all rest, as many as the limit allows; and when the first of them has rested.
    fn with_full_table(clients: usize, idle_close: u64) -> (Harness, u64) {
        let mut harness = Harness::new(clients, idle_close);
        // Until the decision module trusts the cache.
        for _ in 0..40 {
            harness.send_requests(1);
            harness.reply_to_all();
            harness.now += REST;
        }
        let begun = harness.now;
        while harness.core.count().idle_server_connections < 30 {
            harness.send_requests(clients);
            harness.reply_to_all();
            harness.now += 4_000;
        }
        assert!(harness.core.count().idle_server_connections == 30 && harness.now < begun + REST);
        harness.now = begun + REST - 2_000;
        (harness, begun + REST)
    }
}

#[test]
fn at_the_limit_requests_wait_for_the_first_rested_connection_and_none_is_opened() {
    let (mut harness, rested) = Harness::with_full_table(10, 10_000_000);
    let (opened, served) = (harness.opened, harness.served);
    harness.send_requests(10);
    assert_eq!((harness.opened, harness.awaiting_reply.len()), (opened, 0));
    while harness.awaiting_reply.len() < 10 {
        harness.now = harness.core.next_timeout().unwrap();
        harness.feed(Input::Wake);
    }
    assert!(harness.now <= rested);
    harness.reply_to_all();
    assert_eq!((harness.opened, harness.served), (opened, served + 10));
}

#[test]
fn bytes_that_arrive_while_a_request_waits_for_the_rest_are_no_reply_to_it() {
    let (mut harness, _) = Harness::with_full_table(10, 10_000_000);
    let (opened, served) = (harness.opened, harness.served);
    harness.send_requests(10);
    // A duplicate of the reply, on every connection that may have been chosen.
    let all: Vec<_> = harness.last_reply_at.keys().copied().collect();
    for id in all {
        harness.feed(Input::Bytes(id, HIT));
    }
    assert_eq!((harness.served, harness.awaiting_reply.len()), (served, 10));
    assert!(harness.opened >= opened + 10);
    harness.reply_to_all();
    assert_eq!(harness.served, served + 10);
}

#[test]
fn a_connection_that_its_server_closes_before_it_has_rested_is_not_waited_for() {
    // A request written to it would end as a reset, which may have run.
    let (mut harness, _) = Harness::with_full_table(10, 2 * REST);
    let (opened, served) = (harness.opened, harness.served);
    harness.send_requests(10);
    assert_eq!((harness.opened, harness.awaiting_reply.len()), (opened + 10, 10));
    harness.reply_to_all();
    assert_eq!(harness.served, served + 10);
}
