//! Races between two events, in both orders: a server drains, is excluded or times out, or a client
//! disconnects, while a request waits or is being written. Guards against requests sent to servers that no
//! longer accept requests, requests sent for disconnected clients, a second answer to one request, and
//! entries that are left behind.
#![allow(missing_docs)]

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::{CoreHarness, HIT, START, core, get};
use stonevane_core::{ConnId, Core, Endpoint, EndpointList, Input, Output, Outputs};

/// A core and its recorded outputs.
struct Harness {
    core: Core,
    now: u64,
    /// Whether server connections open at once.
    opens_at_once: bool,
    /// Whether writes to servers complete at once.
    flushes_at_once: bool,
    /// Address of each server connection.
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

impl CoreHarness for Harness {
    fn core(&self) -> &Core {
        &self.core
    }

    fn now_mut(&mut self) -> &mut u64 {
        &mut self.now
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

    fn client(&mut self) -> ConnId {
        let id = self.core.next_connection_id();
        self.feed(Input::Accepted(id));
        id
    }

    fn send_request(&mut self, client: ConnId, id: &str) {
        self.feed(Input::Bytes(client, &get(&format!("key{id}"), id)));
    }

    /// Connects a client and sends a request.
    fn connect_and_request(&mut self, id: &str) -> ConnId {
        let client = self.client();
        self.send_request(client, id);
        client
    }

    /// Drains the only cache and lists another one. Returns the address of the new one.
    fn drain_cache(&mut self) -> SocketAddr {
        let endpoints = vec![server("cache", 1, "leaving", 0), server("other", 7, "active", 0)];
        self.feed(Input::List(0, EndpointList { version: 2, snapshot: false, endpoints }));
        SocketAddr::from(([127, 0, 0, 1], 7))
    }

    fn attempt_ports(&self) -> Vec<u16> {
        self.attempts.iter().map(|id| self.address_of[id].port()).collect()
    }

    /// Asserts that no entry of any request is left.
    fn assert_nothing_left(&self) {
        let count = self.core.resource_counts();
        assert_eq!(
            (count.unanswered, count.request_entries, count.attempts, count.pending_client_ids),
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
            // A request that was sent before the drain stays at its server. A later request goes to the other
            // cache.
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
    assert!(harness.closed.contains(&conn), "the write was not cancelled");
    assert_eq!(
        harness.attempt_ports(),
        [1, 7],
        "a withdrawn request has not run and goes to the other cache"
    );
    // The other order: the request is completely written before the drain starts.
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
        // A process pause, in which a list and a client's bytes arrive. The client's bytes are read first.
        harness.now += 600_000;
        harness.send_request(client, "1");
        assert_eq!(harness.attempt_ports(), [0; 0], "a request was sent before the other inputs");
        if drains {
            harness.drain_cache();
        }
        harness.advance(20_000);
        assert_eq!(harness.attempt_ports(), [if drains { 7 } else { 1 }]);
    }
    // A process pause shorter than the drain grace, during which no other timer is due. Long latency
    // objectives leave few timers.
    let long = |deployment: &mut stonevane_policy::settings::Deployment| {
        deployment.settings.classes[0].latency_objective = 60_000_000;
    };
    let mut harness = Harness::of(common::core_with(false, 256, Duration::from_millis(15), long));
    harness.advance(10_000_000);
    harness.now += 400_000;
    harness.connect_and_request("1");
    assert_eq!(harness.attempts.len(), 0, "a pause shorter than the drain grace was not detected");
    harness.advance(20_000);
    assert_eq!(harness.attempts.len(), 1);
    // The same race with a short drain grace.
    let short = |deployment: &mut stonevane_policy::settings::Deployment| {
        deployment.settings.classes[0].latency_objective = 60_000_000;
        deployment.settings.drain_grace = 250_000;
    };
    let mut harness = Harness::of(common::core_with(false, 256, Duration::from_millis(15), short));
    harness.advance(10_000_000);
    harness.now += 250_000;
    harness.connect_and_request("1");
    assert_eq!(harness.attempts.len(), 0, "a pause as long as a short drain grace was not detected");
}

#[test]
fn a_connection_to_a_draining_server_is_closed_after_its_reply() {
    let mut harness = Harness::new();
    harness.connect_and_request("1");
    let conn = harness.attempts[0];
    harness.drain_cache();
    harness.feed(Input::Bytes(conn, HIT));
    assert_eq!(harness.answers.len(), 1, "the request in flight was not served");
    assert!(harness.closed.contains(&conn));
    assert_eq!(harness.core.resource_counts().idle_server_connections, 0);
}

#[test]
fn a_full_list_older_than_a_drain_does_not_undo_it() {
    let full_list = |version, status: &str, since| EndpointList {
        version,
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
    let leaves = EndpointList { version: 41, ..full_list(41, "leaving", 0) };
    harness.feed(Input::List(0, leaves));
    harness.feed(Input::List(0, full_list(40, "active", 0)));
    assert!(!ports(&mut harness).contains(&1), "an older list undid the drain");
    // A list of a newer version does undo the drain, and so does an entry of a new server process.
    let newer = vec![server("cache", 1, "active", 0)];
    harness.feed(Input::List(0, EndpointList { version: 42, snapshot: false, endpoints: newer }));
    assert!(ports(&mut harness).contains(&1));
    let mut harness = Harness::new();
    harness.feed(Input::List(0, full_list(41, "leaving", 0)));
    harness.feed(Input::List(0, full_list(1, "active", START / 1_000 - 3_600_000)));
    assert!(ports(&mut harness).contains(&1), "a new server process is not used");
}

#[test]
fn a_waiting_request_of_a_disconnected_client_is_never_sent() {
    // The client disconnects while the server connection for its request opens.
    let mut harness = Harness::new();
    harness.opens_at_once = false;
    let client = harness.connect_and_request("1");
    let conn = *harness.address_of.keys().next().unwrap();
    harness.feed(Input::Closed(client));
    harness.feed(Input::Opened(conn));
    assert_eq!(harness.attempts.len(), 0);
    harness.assert_nothing_left();
    // The client disconnects while its request is being written.
    let mut harness = Harness::new();
    harness.flushes_at_once = false;
    let client = harness.connect_and_request("1");
    let conn = harness.attempts[0];
    harness.feed(Input::Closed(client));
    assert!(harness.closed.contains(&conn), "the write was not cancelled");
    harness.assert_nothing_left();
    // The client disconnects while the core catches up after a process pause. A request that waits for a
    // resting connection is in the same state.
    let mut harness = Harness::new();
    harness.advance(1_000_000);
    let client = harness.client();
    harness.now += 600_000;
    harness.send_request(client, "1");
    harness.feed(Input::Closed(client));
    harness.advance(50_000);
    assert_eq!(harness.attempts.len(), 0);
    harness.assert_nothing_left();
    // The client disconnects while its request waits behind a full pipeline.
    let mut harness = Harness::new();
    let client = harness.client();
    let commands: Vec<u8> =
        (0..40).flat_map(|number| get(&format!("key{number}"), &number.to_string()).to_vec()).collect();
    let mut rest = &commands[..];
    loop {
        let budget = harness.core.read_budget(client).min(rest.len());
        if budget == 0 {
            break;
        }
        harness.feed(Input::Bytes(client, &rest[..budget]));
        rest = &rest[budget..];
    }
    let attempts_before = harness.attempts.len();
    assert!(attempts_before < 40);
    harness.feed(Input::Closed(client));
    for conn in harness.attempts.clone() {
        harness.feed(Input::Bytes(conn, HIT));
    }
    harness.advance(1_000_000);
    assert_eq!(harness.attempts.len(), attempts_before);
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
        // Advances to just before the deadline of the request, so that all three events happen within 1 us.
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
        let answers: Vec<_> = harness.answers.iter().filter(|(answered, _)| *answered == client).collect();
        assert_eq!(answers.len(), 1, "{order:?}: {answers:?}");
        let counts = harness
            .core
            .class_counters()
            .map(|(_, c)| c.served + c.rejected + c.failed + c.disconnected)
            .sum::<u64>();
        assert_eq!(counts, 1, "{order:?}");
        harness.assert_nothing_left();
    }
}

/// Returns a core at its connection limit, in which a second request of the first client waits for a resting
/// connection, and the clients.
fn with_resting_connection() -> (Harness, Vec<ConnId>) {
    let mut harness = Harness::of(core(false, 32, Duration::from_millis(15)));
    // Enough replies for the policy to raise the server's limit on concurrent requests.
    let first_client = harness.client();
    for number in 0..60 {
        harness.send_request(first_client, &format!("known{number}"));
        harness.feed(Input::Bytes(harness.attempts[number], HIT));
        harness.advance(16_000);
    }
    harness.attempts.clear();
    let mut clients = Vec::new();
    // Connects clients until the limit allows no further connection.
    while harness.core.resource_counts().server_connections + harness.core.resource_counts().clients < 15 {
        let id_text = clients.len().to_string();
        clients.push(harness.connect_and_request(&id_text));
        assert_eq!(harness.attempts.len(), clients.len(), "{id_text}");
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
        "the request was sent or got a new connection"
    );
    (harness, clients)
}

#[test]
fn a_request_that_waits_for_a_resting_connection_is_sent_elsewhere_or_not_at_all() {
    let (mut harness, _) = with_resting_connection();
    harness.advance(5_000);
    assert_eq!(harness.attempt_ports(), [1], "without another event it is sent on the resting connection");
    let (mut harness, _) = with_resting_connection();
    harness.drain_cache();
    harness.advance(5_000);
    assert_eq!(harness.attempt_ports(), [7], "its server drains");
    let (mut harness, _) = with_resting_connection();
    harness.feed(Input::Exclude("cache".into(), true));
    harness.advance(5_000);
    assert_eq!(harness.attempt_ports(), [0; 0], "its server is excluded, and there is no other");
    let (mut harness, clients) = with_resting_connection();
    harness.feed(Input::Closed(clients[0]));
    harness.advance(50_000);
    assert_eq!(harness.attempt_ports(), [0; 0], "its client disconnects");
    harness.assert_nothing_left();
}
