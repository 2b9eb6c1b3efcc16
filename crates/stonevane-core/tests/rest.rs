//! Tests of the resting time: after a reply no request is written to that server connection for the resting
//! time, even if the connection limit allows no other connection. Guards against a request that is written
//! too early, and against a request that fails or gets a wrong answer while it waits for a resting
//! connection.
#![allow(missing_docs)]

mod common;

use std::collections::HashMap;
use std::time::Duration;

use common::{HIT, START, core_with, get};
use stonevane_core::{ConnId, Core, Input, Output, Outputs};

/// Resting time of a server connection after a reply, in microseconds.
const REST_US: u64 = 15_000;

/// A core whose servers accept connections at once.
struct Harness {
    core: Core,
    now: u64,
    requests_sent: u64,
    clients: Vec<ConnId>,
    opened: usize,
    served: usize,
    /// Time of the last reply on each server connection.
    last_reply_at: HashMap<ConnId, u64>,
    /// Server connections with a written request and no reply.
    awaiting_reply: Vec<ConnId>,
}

impl Harness {
    fn new(clients: usize, idle_timeout: u64) -> Harness {
        let core = core_with(false, 64, Duration::from_micros(REST_US), |d| d.idle_timeout = idle_timeout);
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
                    let has_rested = self.last_reply_at.get(&id).is_none_or(|at| at + REST_US <= self.now);
                    assert!(has_rested, "a request was written on a resting connection");
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

    /// Sends one request from each of the first `clients` clients.
    fn send_requests(&mut self, clients: usize) {
        for id in self.clients.clone().into_iter().take(clients) {
            self.requests_sent += 1;
            let id_text = format!("{:06}", self.requests_sent);
            self.feed(Input::Bytes(id, &get(&id_text, &id_text)));
        }
    }

    fn reply_to_all(&mut self) {
        for id in std::mem::take(&mut self.awaiting_reply) {
            self.last_reply_at.insert(id, self.now);
            self.feed(Input::Bytes(id, HIT));
        }
    }

    /// Returns a core with as many server connections as the limit allows, all of them resting, and the time
    /// at which the first of these connections may be used again.
    fn with_full_table(clients: usize, idle_timeout: u64) -> (Harness, u64) {
        let mut harness = Harness::new(clients, idle_timeout);
        // Enough replies for the policy to raise the cache's limit on concurrent requests.
        for _ in 0..40 {
            harness.send_requests(1);
            harness.reply_to_all();
            harness.now += REST_US;
        }
        let started_at = harness.now;
        while harness.core.resource_counts().idle_server_connections < 30 {
            harness.send_requests(clients);
            harness.reply_to_all();
            harness.now += 4_000;
        }
        assert!(
            harness.core.resource_counts().idle_server_connections == 30
                && harness.now < started_at + REST_US
        );
        harness.now = started_at + REST_US - 2_000;
        (harness, started_at + REST_US)
    }
}

#[test]
fn at_the_connection_limit_requests_wait_for_the_first_rested_connection_and_none_is_opened() {
    let (mut harness, rested_at) = Harness::with_full_table(10, 10_000_000);
    let (opened, served) = (harness.opened, harness.served);
    harness.send_requests(10);
    assert_eq!((harness.opened, harness.awaiting_reply.len()), (opened, 0));
    while harness.awaiting_reply.len() < 10 {
        harness.now = harness.core.next_timeout().unwrap();
        harness.feed(Input::Wake);
    }
    assert!(harness.now <= rested_at);
    harness.reply_to_all();
    assert_eq!((harness.opened, harness.served), (opened, served + 10));
}

#[test]
fn unsolicited_bytes_on_a_resting_connection_are_no_reply_to_the_waiting_request() {
    let (mut harness, _) = Harness::with_full_table(10, 10_000_000);
    let (opened, served) = (harness.opened, harness.served);
    harness.send_requests(10);
    // Sends a duplicate of the reply on every server connection, since a request may be waiting for any of
    // them.
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
fn requests_do_not_wait_for_connections_whose_idle_time_ends_before_they_have_rested() {
    // If the server closes the connection while a request is being written to it, the request ends as a
    // reset: the server may have executed it.
    let (mut harness, _) = Harness::with_full_table(10, 2 * REST_US);
    let (opened, served) = (harness.opened, harness.served);
    harness.send_requests(10);
    assert_eq!((harness.opened, harness.awaiting_reply.len()), (opened + 10, 10));
    harness.reply_to_all();
    assert_eq!(harness.served, served + 10);
}

/// Guards against a connection that counts as rested by the clock alone: while a turn lasts, input is unknown
/// (`review/7`).
#[test]
fn connections_whose_rest_ended_after_the_last_poll_are_checked_and_used_last() {
    let rest = Duration::from_micros(REST_US);
    let mut core = core_with(false, 64, rest, |_| {});
    let client = core.next_connection_id();
    let mut outputs = Outputs::new();
    core.handle(START, Input::Accepted(client), &mut outputs);
    // Sends a request at a time and returns the server connection, and whether its socket is checked.
    let send = |core: &mut Core, now: u64, id: &str| {
        let mut outputs = Outputs::new();
        core.handle(now, Input::Bytes(client, &get(id, id)), &mut outputs);
        while let Some(output) = outputs.pop_front() {
            match output {
                Output::Open(id, _) => core.handle(now, Input::Opened(id), &mut outputs),
                Output::WriteRequest { id, check_socket, .. } => {
                    core.handle(now, Input::Flushed(id), &mut outputs);
                    return (id, check_socket);
                }
                _ => {}
            }
        }
        panic!("no request was written");
    };
    let reply = |core: &mut Core, now: u64, conn: ConnId| {
        let mut outputs = Outputs::new();
        core.handle(now, Input::Bytes(conn, HIT), &mut outputs);
        core.handle(now, Input::Flushed(client), &mut outputs);
    };
    let (older, is_checked) = send(&mut core, START, "a");
    assert!(is_checked, "a new connection is checked");
    reply(&mut core, START, older);
    let (newer, _) = send(&mut core, START + 1_000, "b");
    reply(&mut core, START + 1_000, newer);
    assert_ne!(older, newer);
    // Both have rested by the clock, the older one by the last poll too.
    core.on_poll(START + REST_US);
    let now = START + REST_US + 50_000;
    assert_eq!(send(&mut core, now, "c"), (older, false));
    reply(&mut core, now, older);
    assert_eq!(send(&mut core, now, "d"), (newer, true));
}
