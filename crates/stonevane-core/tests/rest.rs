//! Connections to servers rest after an answer, also where the table has no place for another.
#![allow(missing_docs)]

mod common;

use std::collections::HashMap;
use std::time::Duration;

use common::{HIT, START, core_with, get};
use stonevane_core::{ConnId, Core, Input, Output, Outputs};

const REST: u64 = 15_000;

/// A core in a full table: its servers are up at once and answer at once.
struct World {
    core: Core,
    now: u64,
    asked: u64,
    clients: Vec<ConnId>,
    opened: usize,
    served: usize,
    /// When each connection to the server had its last answer.
    answered: HashMap<ConnId, u64>,
    /// Connections to the server whose request was written.
    written: Vec<ConnId>,
}

impl World {
    fn new(clients: usize, idle_close: u64) -> World {
        let core = core_with(false, 64, Duration::from_micros(REST), |d| d.idle_close = idle_close);
        let (answered, written) = (HashMap::new(), Vec::new());
        let mut it = World {
            core,
            now: START,
            asked: 0,
            clients: Vec::new(),
            opened: 0,
            served: 0,
            answered,
            written,
        };
        for _ in 0..clients {
            let id = it.core.next_connection_id();
            it.clients.push(id);
            it.feed(Input::Accepted(id));
        }
        it
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
                    let rested = self.answered.get(&id).is_none_or(|at| at + REST <= self.now);
                    assert!(rested, "written to before it has rested");
                    self.feed(Input::Flushed(id));
                    self.written.push(id);
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

    /// So many clients ask once.
    fn ask(&mut self, clients: usize) {
        for id in self.clients.clone().into_iter().take(clients) {
            self.asked += 1;
            let word = format!("{:06}", self.asked);
            self.feed(Input::Bytes(id, &get(&word, &word)));
        }
    }

    fn answer(&mut self) {
        for id in std::mem::take(&mut self.written) {
            self.answered.insert(id, self.now);
            self.feed(Input::Bytes(id, HIT));
        }
    }

    /// All places for connections to servers are taken by ones that rest; when the first of them have rested.
    fn full(clients: usize, idle_close: u64) -> (World, u64) {
        let mut it = World::new(clients, idle_close);
        // Until the module knows that the cache answers.
        for _ in 0..40 {
            it.ask(1);
            it.answer();
            it.now += REST;
        }
        let begun = it.now;
        while it.core.count().idle_server_connections < 30 {
            it.ask(clients);
            it.answer();
            it.now += 4_000;
        }
        assert!(it.core.count().idle_server_connections == 30 && it.now < begun + REST);
        it.now = begun + REST - 2_000;
        (it, begun + REST)
    }
}

#[test]
fn in_a_full_table_the_first_to_have_rested_is_waited_for_and_none_is_opened() {
    let (mut it, rested) = World::full(10, 10_000_000);
    let (opened, served) = (it.opened, it.served);
    it.ask(10);
    assert_eq!((it.opened, it.written.len()), (opened, 0));
    while it.written.len() < 10 {
        it.now = it.core.next_timeout().unwrap();
        it.feed(Input::Wake);
    }
    assert!(it.now <= rested);
    it.answer();
    assert_eq!((it.opened, it.served), (opened, served + 10));
}

#[test]
fn what_comes_while_a_request_waits_for_the_rest_is_no_answer_to_it() {
    let (mut it, _) = World::full(10, 10_000_000);
    let (opened, served) = (it.opened, it.served);
    it.ask(10);
    // A second copy of the answer, at every connection that may have been chosen.
    let all: Vec<_> = it.answered.keys().copied().collect();
    for id in all {
        it.feed(Input::Bytes(id, HIT));
    }
    assert_eq!((it.served, it.written.len()), (served, 10));
    assert!(it.opened >= opened + 10);
    it.answer();
    assert_eq!(it.served, served + 10);
}

#[test]
fn a_connection_that_its_server_ends_before_it_can_have_rested_is_not_waited_for() {
    // What is written to it would end as a reset, which may have run.
    let (mut it, _) = World::full(10, 2 * REST);
    let (opened, served) = (it.opened, it.served);
    it.ask(10);
    assert_eq!((it.opened, it.written.len()), (opened + 10, 10));
    it.answer();
    assert_eq!(it.served, served + 10);
}
