//! Closes of client connections while the operating system has not sent every answer. Guards against an answer
//! that is cut off because its connection is closed (drain, eviction, idle limit, error, exit) before the client
//! has received it (`review/10`).
#![allow(missing_docs)]

mod common;

use std::collections::HashSet;
use std::time::Duration;

use common::{CoreHarness, HIT, START, config_with, get};
use stonevane_config::operator::Clients;
use stonevane_core::{ConnId, Core, CoreConfig, Input, Output, Outputs};

const IDLE_LIMIT: Duration = Duration::from_secs(3);

/// A core whose clients receive their answers when a test says so.
struct Harness {
    core: Core,
    now: u64,
    /// Clients that have not received everything that was written to them.
    receiving: HashSet<ConnId>,
    clients: Vec<ConnId>,
    /// Client connections that were closed or half-closed.
    closed: Vec<ConnId>,
    /// Server connections with a written request.
    attempts: Vec<ConnId>,
    has_ended: bool,
}

impl CoreHarness for Harness {
    fn core(&self) -> &Core {
        &self.core
    }

    fn now_mut(&mut self) -> &mut u64 {
        &mut self.now
    }

    fn feed(&mut self, input: Input<'_>) {
        let mut outputs = Outputs::new();
        self.core.handle(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Open(id, _) => self.feed(Input::Opened(id)),
                Output::WriteRequest { id, .. } => {
                    self.feed(Input::Flushed(id));
                    self.attempts.push(id);
                }
                Output::Write(id, _) => self.feed(Input::Flushed(id)),
                Output::WriteAndClose(id, _) if self.receiving.contains(&id) => self.feed(Input::Flushed(id)),
                Output::WriteAndClose(id, _) => {
                    self.closed.push(id);
                    self.feed(Input::WriteClosed(id));
                }
                Output::CloseIfIdle(id) if !self.core.is_closing(id) => {}
                Output::CloseIfIdle(id) | Output::CloseWrite(id) if self.receiving.contains(&id) => {
                    self.feed(Input::Unsent(id));
                }
                Output::CloseIfIdle(id) | Output::CloseWrite(id) => {
                    self.closed.push(id);
                    self.feed(Input::Closed(id));
                }
                Output::Close(id) if self.clients.contains(&id) => self.closed.push(id),
                Output::Done => self.has_ended = true,
                _ => {}
            }
        }
    }
}

impl Harness {
    fn new(sockets: usize) -> Harness {
        let config = config_with(false, sockets, Duration::ZERO, |_| {});
        let config = CoreConfig { clients: Clients { idle: IDLE_LIMIT, ..config.clients }, ..config };
        Harness {
            core: Core::new(START, config),
            now: START,
            receiving: HashSet::new(),
            clients: Vec::new(),
            closed: Vec::new(),
            attempts: Vec::new(),
            has_ended: false,
        }
    }

    /// Connects a client, sends a request and answers it.
    fn served_client(&mut self, id: &str) -> ConnId {
        let client = self.core.next_connection_id();
        self.clients.push(client);
        self.feed(Input::Accepted(client));
        self.serve(client, id);
        client
    }

    fn serve(&mut self, client: ConnId, id: &str) {
        self.feed(Input::Bytes(client, &get(id, id)));
        let conn = self.attempts.pop().expect("the request is sent");
        self.feed(Input::Bytes(conn, HIT));
    }
}

#[test]
fn a_drain_closes_a_connection_and_ends_only_after_its_answer_is_sent() {
    let mut harness = Harness::new(64);
    let (slow, fast) = (harness.served_client("a"), harness.served_client("b"));
    harness.receiving.insert(slow);
    harness.feed(Input::Terminate);
    harness.advance(1_000_000);
    assert_eq!(harness.closed, [fast]);
    // The connection that stays open is served.
    harness.feed(Input::Bytes(slow, &get("c", "c")));
    let conn = harness.attempts.pop().unwrap();
    harness.feed(Input::Bytes(conn, HIT));
    // The longest deadline is 2 s; the process does not end while an answer is on its way.
    harness.advance(3_000_000);
    assert!(!harness.has_ended && harness.closed == [fast]);
    harness.receiving.remove(&slow);
    harness.advance(50_000);
    assert_eq!((harness.has_ended, harness.closed), (true, vec![fast, slow]));
}

#[test]
fn a_client_that_never_reads_ends_the_drain_no_later_than_ten_seconds_behind_its_time() {
    let mut harness = Harness::new(64);
    let client = harness.served_client("a");
    harness.receiving.insert(client);
    harness.feed(Input::Terminate);
    harness.advance(2_600_000);
    assert!(!harness.has_ended);
    harness.advance(10_000_000);
    assert_eq!((harness.has_ended, harness.closed), (true, vec![client]));
}

#[test]
fn the_idle_limit_waits_until_the_answer_is_sent() {
    let mut harness = Harness::new(64);
    let client = harness.served_client("a");
    harness.receiving.insert(client);
    harness.advance(2 * IDLE_LIMIT.as_micros() as u64);
    assert!(harness.closed.is_empty());
    harness.receiving.remove(&client);
    harness.advance(50_000);
    assert_eq!(harness.closed, [client]);
}

#[test]
fn an_eviction_takes_a_client_that_has_received_its_answer() {
    let mut harness = Harness::new(64);
    let slow = harness.served_client("a");
    harness.receiving.insert(slow);
    let others: Vec<ConnId> = (0..)
        .map_while(|number| {
            harness.core.accepts().then(|| {
                harness.advance(1_000);
                harness.served_client(&format!("b{number}"))
            })
        })
        .take(60)
        .collect();
    harness.advance(200_000);
    assert!(!harness.closed.is_empty(), "a full table evicts");
    assert!(!harness.closed.contains(&slow), "evicted while it still receives");
    assert!(harness.closed.iter().all(|closed| others.contains(closed)));
}

#[test]
fn an_error_at_the_end_of_the_input_closes_only_after_earlier_answers_are_sent() {
    let mut harness = Harness::new(64);
    let client = harness.served_client("a");
    harness.receiving.insert(client);
    harness.feed(Input::Bytes(client, b"no command\r\n"));
    harness.advance(500_000);
    assert!(harness.closed.is_empty());
    harness.receiving.remove(&client);
    harness.advance(50_000);
    assert_eq!(harness.closed, [client]);
}
