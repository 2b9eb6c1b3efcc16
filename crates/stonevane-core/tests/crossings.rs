//! Two events that cross, in both orders: a server that is told to leave, a client that leaves, and what waits meanwhile.
#![allow(missing_docs)]

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::{HIT, START, core, get};
use stonevane_core::{ConnId, Core, Endpoint, EndpointList, Input, Output, Outputs};

/// A core, and what it has had done.
struct World {
    core: Core,
    now: u64,
    /// Connections come up, and what is written to servers is with the machine at once.
    opens: bool,
    flushes: bool,
    /// Connections to servers, and where they lead.
    to: HashMap<ConnId, SocketAddr>,
    asked: Vec<ConnId>,
    closed: Vec<ConnId>,
    /// What clients were told.
    said: Vec<(ConnId, Bytes)>,
    calls: usize,
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

impl World {
    fn new() -> World {
        World::of(core(false, 256, Duration::from_millis(15)))
    }

    fn of(core: Core) -> World {
        let mut it = World {
            core,
            now: START,
            opens: true,
            flushes: true,
            to: HashMap::new(),
            asked: Vec::new(),
            closed: Vec::new(),
            said: Vec::new(),
            calls: 0,
        };
        it.feed(Input::Wake);
        it
    }

    fn feed(&mut self, input: Input<'_>) {
        let mut out = Outputs::new();
        self.core.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Open(id, address) => {
                    self.to.insert(id, address);
                    if self.opens {
                        self.feed(Input::Opened(id));
                    }
                }
                Output::WriteRequest { id, .. } => {
                    self.asked.push(id);
                    if self.flushes {
                        self.feed(Input::Flushed(id));
                    }
                }
                Output::Write(id, bytes) => {
                    self.said.push((id, bytes));
                    self.feed(Input::Flushed(id));
                }
                Output::Close(id) => self.closed.push(id),
                Output::Discovery(_) => self.calls += 1,
                _ => {}
            }
        }
    }

    /// Lets the time pass, and what is due be done.
    fn pass(&mut self, time: u64) {
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

    fn ask(&mut self, client: ConnId, id: &str) {
        self.feed(Input::Bytes(client, &get(&format!("key{id}"), id)));
    }

    /// A client whose request is on its way to a server, as far as the world lets it get.
    fn asks(&mut self, id: &str) -> ConnId {
        let client = self.client();
        self.ask(client, id);
        client
    }

    /// The one server is replaced by another: what discovery says, and the address of the other.
    fn leaving(&mut self) -> SocketAddr {
        let endpoints = vec![server("cache", 1, "leaving", 0), server("other", 7, "active", 0)];
        self.feed(Input::List(0, EndpointList { index: 2, snapshot: false, endpoints }));
        SocketAddr::from(([127, 0, 0, 1], 7))
    }

    fn asked_at(&self) -> Vec<u16> {
        self.asked.iter().map(|id| self.to[id].port()).collect()
    }

    /// Nothing is left behind.
    fn clean(&self) {
        let count = self.core.count();
        assert_eq!(
            (count.unanswered, count.request_entries, count.attempts, count.claimed_ids),
            (0, 0, 0, 0),
            "{count:?}"
        );
    }
}

#[test]
fn a_drain_told_while_a_connection_opens_sends_the_request_elsewhere() {
    for told_first in [true, false] {
        let mut it = World::new();
        it.opens = false;
        it.asks("1");
        let conn = *it.to.keys().next().unwrap();
        it.opens = true;
        if told_first {
            it.leaving();
            it.feed(Input::Opened(conn));
            assert_eq!(it.asked_at(), [7]);
        } else {
            // What is begun before the word is no fault; what comes after it goes elsewhere.
            it.feed(Input::Opened(conn));
            it.leaving();
            it.asks("2");
            assert_eq!(it.asked_at(), [1, 7]);
        }
    }
}

#[test]
fn a_drain_told_while_a_command_waits_in_a_writer_takes_it_back() {
    let mut it = World::new();
    it.flushes = false;
    it.asks("1");
    let waits = it.asked[0];
    it.flushes = true;
    it.leaving();
    assert!(it.closed.contains(&waits), "it is not written on");
    assert_eq!(it.asked_at(), [1, 7], "and has not run, so that it may go elsewhere");
    // The other order: all of it is with the machine.
    let mut it = World::new();
    it.asks("1");
    it.leaving();
    assert_eq!((it.asked_at(), it.closed.len()), (vec![1], 0));
}

#[test]
fn a_person_takes_a_server_out_while_a_command_waits_in_a_writer() {
    let mut it = World::new();
    it.flushes = false;
    it.asks("1");
    let waits = it.asked[0];
    it.feed(Input::Exclude("cache".into(), true));
    assert!(it.closed.contains(&waits));
}

#[test]
fn after_the_process_stood_still_what_came_meanwhile_is_heard_before_anything_is_sent() {
    for drains in [true, false] {
        let mut it = World::new();
        it.pass(1_000_000);
        let client = it.client();
        // It stands still; a list and a client's bytes come, and it reads the client's first.
        it.now += 600_000;
        it.ask(client, "1");
        assert_eq!(it.asked_at(), [0; 0], "nothing is sent yet");
        if drains {
            it.leaving();
        }
        it.pass(20_000);
        assert_eq!(it.asked_at(), [if drains { 7 } else { 1 }]);
    }
    // However short it was, where nothing else was due: with long aims little is.
    let long =
        |d: &mut stonevane_policy::settings::Deployment| d.settings.classes[0].latency_objective = 60_000_000;
    let mut it = World::of(common::core_with(false, 256, Duration::from_millis(15), long));
    it.pass(10_000_000);
    it.now += 400_000;
    it.asks("1");
    assert_eq!(it.asked.len(), 0, "a standstill of less than a grace is noticed");
    it.pass(20_000);
    assert_eq!(it.asked.len(), 1);
    // Whatever the grace is.
    let short = |d: &mut stonevane_policy::settings::Deployment| {
        d.settings.classes[0].latency_objective = 60_000_000;
        d.settings.drain_grace = 250_000;
    };
    let mut it = World::of(common::core_with(false, 256, Duration::from_millis(15), short));
    it.pass(10_000_000);
    it.now += 250_000;
    it.asks("1");
    assert_eq!(it.asked.len(), 0, "a standstill of a short grace is noticed");
}

#[test]
fn a_connection_that_ends_its_work_at_a_server_that_drains_is_not_kept() {
    let mut it = World::new();
    it.asks("1");
    let conn = it.asked[0];
    it.leaving();
    it.feed(Input::Bytes(conn, HIT));
    assert_eq!(it.said.len(), 1, "what it had under way is served");
    assert!(it.closed.contains(&conn));
    assert_eq!(it.core.count().idle_server_connections, 0);
}

#[test]
fn a_whole_list_that_is_older_than_a_drain_does_not_undo_it() {
    let whole = |index, status: &str, since| EndpointList {
        index,
        snapshot: true,
        endpoints: vec![
            server("cache", 1, status, since),
            server("other", 7, "active", 0),
            server("origin", 2, "active", 0),
        ],
    };
    let ports = |it: &mut World| {
        it.asked.clear();
        for n in 0..40 {
            let client = it.client();
            it.ask(client, &format!("x{n}"));
            it.feed(Input::Bytes(*it.asked.last().unwrap(), HIT));
            it.pass(16_000);
        }
        it.asked_at()
    };
    let mut it = World::new();
    let leaves = EndpointList { index: 41, ..whole(41, "leaving", 0) };
    it.feed(Input::List(0, leaves));
    it.feed(Input::List(0, whole(40, "active", 0)));
    assert!(!ports(&mut it).contains(&1), "its drain was announced");
    // Later news of the count in force does, and so does a new process.
    let news = vec![server("cache", 1, "active", 0)];
    it.feed(Input::List(0, EndpointList { index: 42, snapshot: false, endpoints: news }));
    assert!(ports(&mut it).contains(&1));
    let mut it = World::new();
    it.feed(Input::List(0, whole(41, "leaving", 0)));
    it.feed(Input::List(0, whole(1, "active", START / 1_000 - 3_600_000)));
    assert!(ports(&mut it).contains(&1), "it was started anew since");
}

#[test]
fn a_request_whose_client_leaves_while_it_waits_is_never_sent() {
    // While its connection opens.
    let mut it = World::new();
    it.opens = false;
    let client = it.asks("1");
    let conn = *it.to.keys().next().unwrap();
    it.feed(Input::Closed(client));
    it.feed(Input::Opened(conn));
    assert_eq!(it.asked.len(), 0);
    it.clean();
    // In a writer.
    let mut it = World::new();
    it.flushes = false;
    let client = it.asks("1");
    let waits = it.asked[0];
    it.feed(Input::Closed(client));
    assert!(it.closed.contains(&waits), "its last byte is not written any more");
    it.clean();
    // While all is held back since the process stood still; a connection that rests waits in the same state.
    let mut it = World::new();
    it.pass(1_000_000);
    let client = it.client();
    it.now += 600_000;
    it.ask(client, "1");
    it.feed(Input::Closed(client));
    it.pass(50_000);
    assert_eq!(it.asked.len(), 0);
    it.clean();
    // Behind a full pipeline.
    let mut it = World::new();
    let client = it.client();
    let words: Vec<u8> = (0..40).flat_map(|n| get(&format!("key{n}"), &n.to_string()).to_vec()).collect();
    let mut rest = &words[..];
    loop {
        let reads = it.core.read_budget(client).min(rest.len());
        if reads == 0 {
            break;
        }
        it.feed(Input::Bytes(client, &rest[..reads]));
        rest = &rest[reads..];
    }
    let begun = it.asked.len();
    assert!(begun < 40);
    it.feed(Input::Closed(client));
    for conn in it.asked.clone() {
        it.feed(Input::Bytes(conn, HIT));
    }
    it.pass(1_000_000);
    assert_eq!(it.asked.len(), begun);
    it.clean();
}

#[test]
fn a_time_out_an_answer_and_a_reset_of_one_attempt_are_one_final_answer() {
    #[derive(Clone, Copy, Debug)]
    enum What {
        TimeOut,
        Answer,
        Reset,
    }
    use What::{Answer, Reset, TimeOut};
    for order in [
        [TimeOut, Answer, Reset],
        [TimeOut, Reset, Answer],
        [Answer, TimeOut, Reset],
        [Answer, Reset, TimeOut],
        [Reset, TimeOut, Answer],
        [Reset, Answer, TimeOut],
    ] {
        let mut it = World::new();
        let client = it.asks("1");
        let conn = it.asked[0];
        // The last moment before its time is up, so that all three come in one turn.
        it.pass(899_999);
        for what in order {
            match what {
                TimeOut => {
                    it.now += 1;
                    it.feed(Input::Wake);
                }
                Answer => it.feed(Input::Bytes(conn, HIT)),
                Reset => it.feed(Input::Closed(conn)),
            }
        }
        it.pass(2_000_000);
        let said: Vec<_> = it.said.iter().filter(|(to, _)| *to == client).collect();
        assert_eq!(said.len(), 1, "{order:?}: {said:?}");
        let counts =
            it.core.counts().map(|(_, c)| c.served + c.rejected + c.failed + c.disconnected).sum::<u64>();
        assert_eq!(counts, 1, "{order:?}");
        it.clean();
    }
}

/// A full table, in which a second request of the first client waits for a connection that rests.
fn resting() -> (World, Vec<ConnId>) {
    let mut it = World::of(core(false, 32, Duration::from_millis(15)));
    // The server is known to be quick, so that many are sent to it at once.
    let known = it.client();
    for n in 0..60 {
        it.ask(known, &format!("known{n}"));
        it.feed(Input::Bytes(it.asked[n], HIT));
        it.pass(16_000);
    }
    it.asked.clear();
    let mut clients = Vec::new();
    // Until there is no place for another connection.
    while it.core.count().server_connections + it.core.count().clients < 15 {
        let place = clients.len().to_string();
        clients.push(it.asks(&place));
        assert_eq!(it.asked.len(), clients.len(), "{place}");
    }
    for conn in it.asked.clone() {
        it.feed(Input::Bytes(conn, HIT));
    }
    it.pass(13_000);
    it.asked.clear();
    let before = it.to.len();
    it.ask(clients[0], "again");
    assert_eq!((it.asked.len(), it.to.len()), (0, before), "it is neither sent nor given a new connection");
    (it, clients)
}

#[test]
fn what_waits_for_a_connection_that_rests_is_sent_elsewhere_or_not_at_all() {
    let (mut it, _) = resting();
    it.pass(5_000);
    assert_eq!(it.asked_at(), [1], "with nothing that crosses it is sent there");
    let (mut it, _) = resting();
    it.leaving();
    it.pass(5_000);
    assert_eq!(it.asked_at(), [7], "its server is told to leave");
    let (mut it, _) = resting();
    it.feed(Input::Exclude("cache".into(), true));
    it.pass(5_000);
    assert_eq!(it.asked_at(), [0; 0], "its server is taken out by hand, and there is no other");
    let (mut it, clients) = resting();
    it.feed(Input::Closed(clients[0]));
    it.pass(50_000);
    assert_eq!(it.asked_at(), [0; 0], "its client leaves");
    it.clean();
}
