//! Long values are passed on in pieces: the same bytes whatever the cuts, in the order of their commands, within a
//! bounded buffer, and broken so that a client can tell.
#![allow(missing_docs)]

mod common;

use std::collections::HashSet;
use std::time::Duration;

use common::{START, core, get};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use stonevane_core::{ConnId, Core, Input, Output, Outputs};

/// Reads that were served before a test begins.
const BEFORE: u64 = 40;

/// A core between one client and its servers. The client takes what is written to it when it is told to.
struct World {
    core: Core,
    now: u64,
    client: ConnId,
    /// What the client has been written, and what is being written.
    seen: Vec<u8>,
    writing: Option<usize>,
    closed: HashSet<ConnId>,
    /// Connections that have been written a request, with its key.
    asked: Vec<(ConnId, String)>,
    /// The client takes nothing by itself.
    slow: bool,
}

impl World {
    fn new() -> World {
        let mut core = core(false, 256, Duration::ZERO);
        let client = core.next_connection_id();
        let mut it = World {
            core,
            now: START,
            client,
            seen: Vec::new(),
            writing: None,
            closed: HashSet::new(),
            asked: Vec::new(),
            slow: false,
        };
        it.feed(Input::Accepted(client));
        // Until the module knows that the cache answers.
        for _ in 0..BEFORE {
            let conn = it.ask(&["k"])[0];
            it.now += 1_000;
            it.brings(conn, common::HIT, &mut std::iter::empty());
        }
        it.seen.clear();
        it
    }

    fn feed(&mut self, input: Input<'_>) {
        let mut out = Outputs::new();
        self.core.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Open(id, _) => self.feed(Input::Opened(id)),
                Output::WriteRequest { id, bytes, .. } => {
                    let text = String::from_utf8_lossy(&bytes).into_owned();
                    let key = text.split("\r\n").nth(4).unwrap_or_default().to_owned();
                    self.feed(Input::Flushed(id));
                    self.asked.push((id, key));
                }
                Output::Write(id, bytes) if id == self.client => {
                    assert!(self.writing.is_none());
                    self.seen.extend_from_slice(&bytes);
                    self.writing = Some(bytes.len());
                    if !self.slow {
                        self.flush();
                    }
                }
                Output::Close(id) => drop(self.closed.insert(id)),
                _ => {}
            }
        }
    }

    fn flush(&mut self) -> bool {
        let written = self.writing.take().is_some();
        if written {
            self.feed(Input::Flushed(self.client));
        }
        written
    }

    /// A server's connection brings bytes, as far as they are read; what is left is not read.
    fn brings<'a>(
        &mut self,
        id: ConnId,
        mut bytes: &'a [u8],
        pieces: &mut impl Iterator<Item = usize>,
    ) -> &'a [u8] {
        while !bytes.is_empty() {
            let room = self.core.read_budget(id).min(pieces.next().unwrap_or(1 << 16)).min(bytes.len());
            if room == 0 {
                break;
            }
            let (piece, rest) = bytes.split_at(room);
            bytes = rest;
            self.feed(Input::Bytes(id, piece));
        }
        bytes
    }

    /// Asks for some keys at once; the connections that carry them, in the order of the keys.
    fn ask(&mut self, keys: &[&str]) -> Vec<ConnId> {
        let all: Vec<u8> =
            keys.iter().flat_map(|key| get(key, &format!("{key}-{}", self.now)).to_vec()).collect();
        self.asked.clear();
        self.feed(Input::Bytes(self.client, &all));
        keys.iter().map(|key| self.asked.iter().find(|(_, asked)| asked == key).unwrap().0).collect()
    }
}

fn value(length: usize) -> Vec<u8> {
    (0..length).map(|at| b"0123456789abcdef\r\n$*"[at * 7 % 20]).collect()
}

fn answer(value: &[u8]) -> Vec<u8> {
    let head = format!("*3\r\n${}\r\n", value.len());
    [head.as_bytes(), value, b"\r\n$3\r\nhit\r\n$-1\r\n"].concat()
}

fn told(value: &[u8]) -> Vec<u8> {
    [format!("${}\r\n", value.len()).as_bytes(), value, b"\r\n"].concat()
}

#[test]
fn whatever_the_cuts_and_whatever_the_lengths_clients_get_the_same() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config { cases: 200, ..Config::default() }, rng);
    let lengths = prop_oneof![0usize..100, 65_500..65_600usize, 65_536..400_000usize];
    let cuts = prop::collection::vec(prop_oneof![1usize..5, 1..9_000usize], 1..40);
    let all = (prop::collection::vec(lengths, 1..4), cuts, any::<bool>());
    let held = |(lengths, cuts, slow): (Vec<usize>, Vec<usize>, bool)| {
        let mut it = World::new();
        it.slow = slow;
        let keys: Vec<_> = (0..lengths.len()).map(|at| format!("k{at}")).collect();
        let keys: Vec<_> = keys.iter().map(String::as_str).collect();
        let conns = it.ask(&keys);
        let values: Vec<_> = lengths.iter().map(|length| value(*length)).collect();
        let answers: Vec<_> = values.iter().map(|value| answer(value)).collect();
        let mut left: Vec<&[u8]> = answers.iter().map(Vec::as_slice).collect();
        let mut cuts = cuts.iter().copied().cycle();
        for _ in 0..100_000 {
            // The last first: what comes out of turn waits, and is not read beyond its buffer.
            for at in (0..left.len()).rev() {
                left[at] = it.brings(conns[at], left[at], &mut cuts.by_ref().take(3));
            }
            let written = it.flush();
            if !written && left.iter().all(|left| left.is_empty()) {
                break;
            }
        }
        let expected: Vec<u8> = values.iter().flat_map(|value| told(value)).collect();
        prop_assert_eq!(it.seen.len(), expected.len());
        prop_assert!(it.seen == expected, "other bytes");
        it.now += 3_000_000;
        it.feed(Input::Wake);
        let count = it.core.count();
        prop_assert_eq!((count.unanswered, count.claimed_ids, count.memory, count.attempts), (0, 0, 0, 0));
        let served: u64 = it.core.counts().map(|(_, counts)| counts.served).sum();
        prop_assert_eq!(served, BEFORE + lengths.len() as u64);
        Ok(())
    };
    runner.run(&all, held).unwrap();
}

#[test]
fn the_first_bytes_go_on_before_the_last_have_come_and_a_slow_reader_holds_a_bounded_buffer() {
    let mut it = World::new();
    it.slow = true;
    let long = value(4 << 20);
    let conn = it.ask(&["aa"])[0];
    let whole = answer(&long);
    let mut rest = it.brings(conn, &whole[..20_000], &mut std::iter::empty());
    assert!(rest.is_empty() && it.seen.len() > 4_000, "{} bytes were passed on", it.seen.len());
    rest = it.brings(conn, &whole[20_000..], &mut std::iter::empty());
    assert!(
        whole.len() - rest.len() < 300_000,
        "{} bytes were read for a client that takes none",
        whole.len() - rest.len()
    );
    assert!(it.core.count().memory <= 300_000, "{:?}", it.core.count());
    // It is read on as the client takes it. Its deadline has no say any more.
    while !rest.is_empty() {
        it.now += 100_000;
        it.feed(Input::Wake);
        it.flush();
        rest = it.brings(conn, rest, &mut std::iter::empty());
    }
    while it.flush() {}
    assert!(it.now > START + 2_000_000 && it.seen == told(&long));
    // One that takes nothing for good goes, and so does what it had read for it.
    let conn = it.ask(&["bb"])[0];
    it.brings(conn, &whole, &mut std::iter::empty());
    it.now += 5_000_000;
    it.feed(Input::Wake);
    it.now += 10_000; // What came while it stood still would have gone first.
    it.feed(Input::Wake);
    assert!(it.closed.contains(&it.client) && it.closed.contains(&conn));
    assert_eq!((it.core.count().clients, it.core.count().unanswered, it.core.count().memory), (0, 0, 0));
}

#[test]
fn a_value_that_breaks_off_ends_its_client_once_a_part_was_seen_and_is_an_error_before() {
    let long = answer(&value(300_000));
    // Behind another answer that is still owed: nothing of it was seen.
    let mut it = World::new();
    let conns = it.ask(&["aa", "bb"]);
    it.brings(conns[1], &long[..50_000], &mut std::iter::empty());
    it.feed(Input::Closed(conns[1]));
    assert!(!it.closed.contains(&it.client));
    it.brings(conns[0], common::HIT, &mut std::iter::empty());
    assert_eq!(String::from_utf8_lossy(&it.seen), "$5\r\nvalue\r\n-ERR failed\r\n");
    // At the front: the end of its connection tells.
    let conn = it.ask(&["cc"])[0];
    it.brings(conn, &long[..50_000], &mut std::iter::empty());
    it.feed(Input::Closed(conn));
    assert!(it.closed.contains(&it.client));
    let counts: Vec<_> = it.core.counts().map(|(_, counts)| *counts).collect();
    assert_eq!(
        (counts[0].accepted, counts[0].served, counts[0].failed, counts[0].disconnected),
        (BEFORE + 3, BEFORE + 1, 2, 0)
    );
    assert_eq!(it.core.count().memory, 0);
}

#[test]
fn a_server_that_stalls_in_the_middle_is_given_up_and_one_that_is_not_read_is_not() {
    let long = answer(&value(300_000));
    let mut it = World::new();
    let conn = it.ask(&["aa"])[0];
    it.brings(conn, &long[..50_000], &mut std::iter::empty());
    it.now += 3_900_000;
    it.feed(Input::Wake);
    assert!(!it.closed.contains(&conn), "it may go on for that long");
    it.now += 200_000;
    it.feed(Input::Wake);
    it.now += 10_000;
    it.feed(Input::Wake);
    assert!(it.closed.contains(&conn) && it.closed.contains(&it.client));
}
