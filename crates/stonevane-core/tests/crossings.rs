//! Two events that race, in both orders: a server drains or a client disconnects, while a request waits.
#![allow(missing_docs)]

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::{HIT, START, core, get};
use stonevane_core::{ConnId, Core, Endpoint, EndpointList, Input, Output, Outputs};

/// A core, and its outputs.
struct Harness {
    core: Core,
    now: u64,
    /// Whether connections open, and writes to servers complete, at once.
    opens_at_once: bool,
    flushes_at_once: bool,
    /// The address of each server connection.
    address_of: HashMap<ConnId, SocketAddr>,
    attempts: Vec<ConnId>,
    closed: Vec<ConnId>,
    /// Answers to clients.
    answers: Vec<(ConnId, Bytes)>,
    discovery_calls: usize,
}

fn server(name: &str, port: u16, status: &str, since_ms: u64) -> Endpoint {
    Endpoint {
        name: name.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)).to_string(),
        zone: "a".into(),
        kind: if name == "origin" { "origin" } else { "cache" }.into(),
        group: 0,
        status: status.into(),
        weight: 1.0,
        since_ms,
    }
}

impl Harness {
    fn new() -> Harness {
        Harness::of(core(false, 256, Duration::from_millis(15)))
    }

    fn of(core: Core) -> Harness {
        let mut harness = Harness {
            core,
            now: START,
            opens_at_once: true,
            flushes_at_once: true,
            address_of: HashMap::new(),
            attempts: Vec::new(),
            closed: Vec::new(),
            answers: Vec::new(),
            discovery_calls: 0,
        };
        harness.feed(Input::Wake);
        harness
    }

    fn feed(&mut self, input: Input<'_>) {
        let mut out = Outputs::new();
        self.core.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Open(id, address) => {
                    self.address_of.insert(id, address);
                    if self.opens_at_once {
                        self.feed(Input::Opened(id));
                    }
                }
                Output::WriteRequest { id, .. } => {
                    self.attempts.push(id);
                    if self.flushes_at_once {
                        self.feed(Input::Flushed(id));
                    }
                }
                Output::Write(id, bytes) => {
                    self.answers.push((id, bytes));
                    self.feed(Input::Flushed(id));
                }
                Output::Close(id) => self.closed.push(id),
                Output::Discovery(_) => self.discovery_calls += 1,
                _ => {}
            }
        }
    }

    /// Lets time pass: timers fire.
    fn advance(&mut self, time: u64) {
        let end = self.now + time;
        while let Some(at) = self.core.next_timeout().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.feed(Input::Wake);
        }
        self.now = end;
    }

    fn client(&mut self) -> ConnId {
        let id = self.core.next_connection_id();
        self.feed(Input::Accepted(id));
        id
    }

    fn send_request(&mut self, client: ConnId, id: &str) {
        self.feed(Input::Bytes(client, &get(&format!("key{id}"), id)));
    }

    /// Connects a client that sends a request.
    fn connect_and_request(&mut self, id: &str) -> ConnId {
        let client = self.client();
        self.send_request(client, id);
        client
    }

    /// The only cache drains, and another one is listed; returns the other one's address.
    fn drain_cache(&mut self) -> SocketAddr {
        let endpoints = vec![server("cache", 1, "leaving", 0), server("other", 7, "active", 0)];
        self.feed(Input::List(0, EndpointList { index: 2, snapshot: false, endpoints }));
        SocketAddr::from(([127, 0, 0, 1], 7))
    }

    fn attempt_ports(&self) -> Vec<u16> {
        self.attempts.iter().map(|id| self.address_of[id].port()).collect()
    }

    /// Asserts that no request has left anything behind.
    fn assert_nothing_left(&self) {
        let count = self.core.count();
        assert_eq!(
            (count.unanswered, count.request_entries, count.attempts, count.claimed_ids),
            (0, 0, 0, 0),
            "{count:?}"
        );
    }
}

#[test]
fn a_drain_while_a_connection_opens_sends_the_request_elsewhere() {
    for drain_first in [true, false] {
        let mut harness = Harness::new();
        harness.opens_at_once = false;
        harness.connect_and_request("1");
        let conn = *harness.address_of.keys().next().unwrap();
        harness.opens_at_once = true;
        if drain_first {
            harness.drain_cache();
            harness.feed(Input::Opened(conn));
            assert_eq!(harness.attempt_ports(), [7]);
        } else {
            // A request sent before the drain stays; one after it goes elsewhere.
            harness.feed(Input::Opened(conn));
            harness.drain_cache();
            harness.connect_and_request("2");
            assert_eq!(harness.attempt_ports(), [1, 7]);
        }
    }
}

#[test]
fn a_drain_while_a_request_is_being_written_withdraws_it() {
    let mut harness = Harness::new();
    harness.flushes_at_once = false;
    harness.connect_and_request("1");
    let conn = harness.attempts[0];
    harness.flushes_at_once = true;
    harness.drain_cache();
    assert!(harness.closed.contains(&conn), "it is not written on");
    assert_eq!(harness.attempt_ports(), [1, 7], "and has not run, so that it may go elsewhere");
    // The other order: the request is written completely.
    let mut harness = Harness::new();
    harness.connect_and_request("1");
    harness.drain_cache();
    assert_eq!((harness.attempt_ports(), harness.closed.len()), (vec![1], 0));
}

#[test]
fn excluding_a_server_withdraws_a_request_that_is_being_written() {
    let mut harness = Harness::new();
    harness.flushes_at_once = false;
    harness.connect_and_request("1");
    let conn = harness.attempts[0];
    harness.feed(Input::Exclude("cache".into(), true));
    assert!(harness.closed.contains(&conn));
}

#[test]
fn after_a_pause_inputs_are_handled_before_requests_are_sent() {
    for drains in [true, false] {
        let mut harness = Harness::new();
        harness.advance(1_000_000);
        let client = harness.client();
        // A pause: a list and a client's bytes arrive, and the client's are read first.
        harness.now += 600_000;
        harness.send_request(client, "1");
        assert_eq!(harness.attempt_ports(), [0; 0], "nothing is sent yet");
        if drains {
            harness.drain_cache();
        }
        harness.advance(20_000);
        assert_eq!(harness.attempt_ports(), [if drains { 7 } else { 1 }]);
    }
    // However short the pause, where no other timer is due: with long latency objectives there are few.
    let long = |deployment: &mut stonevane_policy::settings::Deployment| {
        deployment.settings.classes[0].latency_objective = 60_000_000;
    };
    let mut harness = Harness::of(common::core_with(false, 256, Duration::from_millis(15), long));
    harness.advance(10_000_000);
    harness.now += 400_000;
    harness.connect_and_request("1");
    assert_eq!(harness.attempts.len(), 0, "a standstill of less than a grace is noticed");
    harness.advance(20_000);
    assert_eq!(harness.attempts.len(), 1);
    // Whatever the drain grace.
    let short = |deployment: &mut stonevane_policy::settings::Deployment| {
        deployment.settings.classes[0].latency_objective = 60_000_000;
        deployment.settings.drain_grace = 250_000;
    };
    let mut harness = Harness::of(common::core_with(false, 256, Duration::from_millis(15), short));
    harness.advance(10_000_000);
    harness.now += 250_000;
    harness.connect_and_request("1");
    assert_eq!(harness.attempts.len(), 0, "a standstill of a short grace is noticed");
}

#[test]
fn a_connection_to_a_draining_server_is_closed_after_its_reply() {
    let mut harness = Harness::new();
    harness.connect_and_request("1");
    let conn = harness.attempts[0];
    harness.drain_cache();
    harness.feed(Input::Bytes(conn, HIT));
    assert_eq!(harness.answers.len(), 1, "what it had under way is served");
    assert!(harness.closed.contains(&conn));
    assert_eq!(harness.core.count().idle_server_connections, 0);
}

#[test]
fn a_full_list_older_than_a_drain_does_not_undo_it() {
    let whole = |index, status: &str, since| EndpointList {
        index,
        snapshot: true,
        endpoints: vec![
            server("cache", 1, status, since),
            server("other", 7, "active", 0),
            server("origin", 2, "active", 0),
        ],
    };
    let ports = |harness: &mut Harness| {
        harness.attempts.clear();
        for number in 0..40 {
            let client = harness.client();
            harness.send_request(client, &format!("x{number}"));
            harness.feed(Input::Bytes(*harness.attempts.last().unwrap(), HIT));
            harness.advance(16_000);
        }
        harness.attempt_ports()
    };
    let mut harness = Harness::new();
    let leaves = EndpointList { index: 41, ..whole(41, "leaving", 0) };
    harness.feed(Input::List(0, leaves));
    harness.feed(Input::List(0, whole(40, "active", 0)));
    assert!(!ports(&mut harness).contains(&1), "its drain was announced");
    // A newer version does, and so does a new process.
    let newer = vec![server("cache", 1, "active", 0)];
    harness.feed(Input::List(0, EndpointList { index: 42, snapshot: false, endpoints: newer }));
    assert!(ports(&mut harness).contains(&1));
    let mut harness = Harness::new();
    harness.feed(Input::List(0, whole(41, "leaving", 0)));
    harness.feed(Input::List(0, whole(1, "active", START / 1_000 - 3_600_000)));
    assert!(ports(&mut harness).contains(&1), "it was started anew since");
}

#[test]
fn a_waiting_request_of_a_disconnected_client_is_never_sent() {
    // While its connection opens.
    let mut harness = Harness::new();
    harness.opens_at_once = false;
    let client = harness.connect_and_request("1");
    let conn = *harness.address_of.keys().next().unwrap();
    harness.feed(Input::Closed(client));
    harness.feed(Input::Opened(conn));
    assert_eq!(harness.attempts.len(), 0);
    harness.assert_nothing_left();
    // While its request is being written.
    let mut harness = Harness::new();
    harness.flushes_at_once = false;
    let client = harness.connect_and_request("1");
    let conn = harness.attempts[0];
    harness.feed(Input::Closed(client));
    assert!(harness.closed.contains(&conn), "its last byte is not written any more");
    harness.assert_nothing_left();
    // While the core catches up after a pause; a resting connection waits in the same state.
    let mut harness = Harness::new();
    harness.advance(1_000_000);
    let client = harness.client();
    harness.now += 600_000;
    harness.send_request(client, "1");
    harness.feed(Input::Closed(client));
    harness.advance(50_000);
    assert_eq!(harness.attempts.len(), 0);
    harness.assert_nothing_left();
    // Behind a full pipeline.
    let mut harness = Harness::new();
    let client = harness.client();
    let words: Vec<u8> =
        (0..40).flat_map(|number| get(&format!("key{number}"), &number.to_string()).to_vec()).collect();
    let mut rest = &words[..];
    loop {
        let reads = harness.core.read_budget(client).min(rest.len());
        if reads == 0 {
            break;
        }
        harness.feed(Input::Bytes(client, &rest[..reads]));
        rest = &rest[reads..];
    }
    let begun = harness.attempts.len();
    assert!(begun < 40);
    harness.feed(Input::Closed(client));
    for conn in harness.attempts.clone() {
        harness.feed(Input::Bytes(conn, HIT));
    }
    harness.advance(1_000_000);
    assert_eq!(harness.attempts.len(), begun);
    harness.assert_nothing_left();
}

#[test]
fn a_timeout_a_reply_and_a_reset_of_one_attempt_give_one_final_answer() {
    #[derive(Clone, Copy, Debug)]
    enum AttemptEvent {
        Timeout,
        Reply,
        Reset,
    }
    use AttemptEvent::{Reply, Reset, Timeout};
    for order in [
        [Timeout, Reply, Reset],
        [Timeout, Reset, Reply],
        [Reply, Timeout, Reset],
        [Reply, Reset, Timeout],
        [Reset, Timeout, Reply],
        [Reset, Reply, Timeout],
    ] {
        let mut harness = Harness::new();
        let client = harness.connect_and_request("1");
        let conn = harness.attempts[0];
        // Just before its deadline, so that all three happen in one turn.
        harness.advance(899_999);
        for event in order {
            match event {
                Timeout => {
                    harness.now += 1;
                    harness.feed(Input::Wake);
                }
                Reply => harness.feed(Input::Bytes(conn, HIT)),
                Reset => harness.feed(Input::Closed(conn)),
            }
        }
        harness.advance(2_000_000);
        let answers: Vec<_> =
            harness.answers.iter().filter(|(address_of, _)| *address_of == client).collect();
        assert_eq!(answers.len(), 1, "{order:?}: {answers:?}");
        let counts = harness
            .core
            .counts()
            .map(|(_, c)| c.served + c.rejected + c.failed + c.disconnected)
            .sum::<u64>();
        assert_eq!(counts, 1, "{order:?}");
        harness.assert_nothing_left();
    }
}

/// A core at its limit of connections, where a second request of the first client waits for a resting connection.
fn with_resting_connection() -> (Harness, Vec<ConnId>) {
    let mut harness = Harness::of(core(false, 32, Duration::from_millis(15)));
    // Until the decision module trusts the server with many requests at once.
    let known = harness.client();
    for number in 0..60 {
        harness.send_request(known, &format!("known{number}"));
        harness.feed(Input::Bytes(harness.attempts[number], HIT));
        harness.advance(16_000);
    }
    harness.attempts.clear();
    let mut clients = Vec::new();
    // Until the limit allows no other connection.
    while harness.core.count().server_connections + harness.core.count().clients < 15 {
        let place = clients.len().to_string();
        clients.push(harness.connect_and_request(&place));
        assert_eq!(harness.attempts.len(), clients.len(), "{place}");
    }
    for conn in harness.attempts.clone() {
        harness.feed(Input::Bytes(conn, HIT));
    }
    harness.advance(13_000);
    harness.attempts.clear();
    let before = harness.address_of.len();
    harness.send_request(clients[0], "again");
    assert_eq!(
        (harness.attempts.len(), harness.address_of.len()),
        (0, before),
        "it is neither sent nor given a new connection"
    );
    (harness, clients)
}

#[test]
fn a_request_that_waits_for_a_resting_connection_is_sent_elsewhere_or_not_at_all() {
    let (mut harness, _) = with_resting_connection();
    harness.advance(5_000);
    assert_eq!(harness.attempt_ports(), [1], "with nothing that crosses it is sent there");
    let (mut harness, _) = with_resting_connection();
    harness.drain_cache();
    harness.advance(5_000);
    assert_eq!(harness.attempt_ports(), [7], "its server is told to leave");
    let (mut harness, _) = with_resting_connection();
    harness.feed(Input::Exclude("cache".into(), true));
    harness.advance(5_000);
    assert_eq!(harness.attempt_ports(), [0; 0], "its server is taken out by hand, and there is no other");
    let (mut harness, clients) = with_resting_connection();
    harness.feed(Input::Closed(clients[0]));
    harness.advance(50_000);
    assert_eq!(harness.attempt_ports(), [0; 0], "its client leaves");
    harness.assert_nothing_left();
}
