//! Streaming of long values. Guards against wrong or reordered bytes at any piece sizes, a buffer that grows
//! with a slow reader, and a value that is cut off without a sign to the client.
#![allow(missing_docs)]

mod common;

use std::collections::HashSet;
use std::time::Duration;

use common::{START, core, get};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use stonevane_core::{ConnId, Core, Input, Output, Outputs};

/// Number of reads that are served before a test begins.
const REQUESTS_BEFORE: u64 = 40;

/// A core between one client and its servers.
struct Harness {
    core: Core,
    now: u64,
    client: ConnId,
    /// Bytes written to the client.
    written: Vec<u8>,
    /// Length of the write to the client that is in progress.
    writing: Option<usize>,
    closed: HashSet<ConnId>,
    /// Server connections with a written request, each with the key of that request.
    attempts: Vec<(ConnId, String)>,
    /// Whether writes to the client complete only on a call of `flush`.
    flushes_manually: bool,
}

impl Harness {
    fn new() -> Harness {
        let mut core = core(false, 256, Duration::ZERO);
        let client = core.next_connection_id();
        let mut harness = Harness {
            core,
            now: START,
            client,
            written: Vec::new(),
            writing: None,
            closed: HashSet::new(),
            attempts: Vec::new(),
            flushes_manually: false,
        };
        harness.feed(Input::Accepted(client));
        // Enough replies for the policy to raise the cache's limit on concurrent requests.
        for _ in 0..REQUESTS_BEFORE {
            let conn = harness.send_requests(&["k"])[0];
            harness.now += 1_000;
            harness.receive(conn, common::HIT, &mut std::iter::empty());
        }
        harness.written.clear();
        harness
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
                    self.attempts.push((id, key));
                }
                Output::Write(id, bytes) if id == self.client => {
                    assert!(self.writing.is_none());
                    self.written.extend_from_slice(&bytes);
                    self.writing = Some(bytes.len());
                    if !self.flushes_manually {
                        self.flush();
                    }
                }
                Output::Close(id) | Output::CloseWrite(id) => drop(self.closed.insert(id)),
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

    /// Feeds bytes from a server connection as far as the core reads them. Returns the rest.
    fn receive<'a>(
        &mut self,
        id: ConnId,
        mut bytes: &'a [u8],
        pieces: &mut impl Iterator<Item = usize>,
    ) -> &'a [u8] {
        while !bytes.is_empty() {
            let budget = self.core.read_budget(id).min(pieces.next().unwrap_or(1 << 16)).min(bytes.len());
            if budget == 0 {
                break;
            }
            let (piece, rest) = bytes.split_at(budget);
            bytes = rest;
            self.feed(Input::Bytes(id, piece));
        }
        bytes
    }

    /// Sends reads of the keys in one write. Returns the server connections of the reads, in the same order.
    fn send_requests(&mut self, keys: &[&str]) -> Vec<ConnId> {
        let all: Vec<u8> =
            keys.iter().flat_map(|key| get(key, &format!("{key}-{}", self.now)).to_vec()).collect();
        self.attempts.clear();
        self.feed(Input::Bytes(self.client, &all));
        keys.iter()
            .map(|key| self.attempts.iter().find(|(_, attempted)| attempted == key).unwrap().0)
            .collect()
    }
}

fn value(length: usize) -> Vec<u8> {
    (0..length).map(|index| b"0123456789abcdef\r\n$*"[index * 7 % 20]).collect()
}

fn answer(value: &[u8]) -> Vec<u8> {
    let head = format!("*3\r\n${}\r\n", value.len());
    [head.as_bytes(), value, b"\r\n$3\r\nhit\r\n$-1\r\n"].concat()
}

fn expected_answer(value: &[u8]) -> Vec<u8> {
    [format!("${}\r\n", value.len()).as_bytes(), value, b"\r\n"].concat()
}

#[test]
fn clients_get_the_same_bytes_for_any_piece_sizes_and_value_lengths() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config { cases: 200, ..Config::default() }, rng);
    let lengths = prop_oneof![0usize..100, 65_500..65_600usize, 65_536..400_000usize];
    let piece_sizes = prop::collection::vec(prop_oneof![1usize..5, 1..9_000usize], 1..40);
    let all = (prop::collection::vec(lengths, 1..4), piece_sizes, any::<bool>());
    let property = |(lengths, piece_sizes, flushes_manually): (Vec<usize>, Vec<usize>, bool)| {
        let mut harness = Harness::new();
        harness.flushes_manually = flushes_manually;
        let keys: Vec<_> = (0..lengths.len()).map(|index| format!("k{index}")).collect();
        let keys: Vec<_> = keys.iter().map(String::as_str).collect();
        let conns = harness.send_requests(&keys);
        let values: Vec<_> = lengths.iter().map(|length| value(*length)).collect();
        let answers: Vec<_> = values.iter().map(|value| answer(value)).collect();
        let mut left: Vec<&[u8]> = answers.iter().map(Vec::as_slice).collect();
        let mut piece_sizes = piece_sizes.iter().copied().cycle();
        for _ in 0..100_000 {
            // The last value arrives first: it waits for the values before it, and the core stops reading it
            // when its buffer is full.
            for index in (0..left.len()).rev() {
                left[index] = harness.receive(conns[index], left[index], &mut piece_sizes.by_ref().take(3));
            }
            let written = harness.flush();
            if !written && left.iter().all(|left| left.is_empty()) {
                break;
            }
        }
        let expected: Vec<u8> = values.iter().flat_map(|value| expected_answer(value)).collect();
        prop_assert_eq!(harness.written.len(), expected.len());
        prop_assert!(harness.written == expected, "the client got different bytes");
        harness.now += 3_000_000;
        harness.feed(Input::Wake);
        let count = harness.core.resource_counts();
        prop_assert_eq!(
            (count.unanswered, count.pending_client_ids, count.memory, count.attempts),
            (0, 0, 0, 0)
        );
        let served: u64 = harness.core.class_counters().map(|(_, counts)| counts.served).sum();
        prop_assert_eq!(served, REQUESTS_BEFORE + lengths.len() as u64);
        Ok(())
    };
    runner.run(&all, property).unwrap();
}

#[test]
fn the_first_bytes_are_forwarded_before_the_last_arrive_and_a_slow_reader_has_a_bounded_buffer() {
    let mut harness = Harness::new();
    harness.flushes_manually = true;
    let long = value(4 << 20);
    let conn = harness.send_requests(&["aa"])[0];
    let reply = answer(&long);
    let mut rest = harness.receive(conn, &reply[..20_000], &mut std::iter::empty());
    assert!(
        rest.is_empty() && harness.written.len() > 4_000,
        "only {} bytes were forwarded",
        harness.written.len()
    );
    rest = harness.receive(conn, &reply[20_000..], &mut std::iter::empty());
    assert!(
        reply.len() - rest.len() < 300_000,
        "{} bytes were read for a client that reads none",
        reply.len() - rest.len()
    );
    assert!(harness.core.resource_counts().memory <= 300_000, "{:?}", harness.core.resource_counts());
    // Reading continues as the client reads. The request's deadline no longer applies.
    while !rest.is_empty() {
        harness.now += 100_000;
        harness.feed(Input::Wake);
        harness.flush();
        rest = harness.receive(conn, rest, &mut std::iter::empty());
    }
    while harness.flush() {}
    assert!(harness.now > START + 2_000_000 && harness.written == expected_answer(&long));
    // The core closes the connection of a client that reads nothing, and the server connection of its
    // request.
    let conn = harness.send_requests(&["bb"])[0];
    harness.receive(conn, &reply, &mut std::iter::empty());
    harness.now += 5_000_000;
    harness.feed(Input::Wake);
    harness.now += 10_000; // The catch-up phase after the process pause ends.
    harness.feed(Input::Wake);
    assert!(harness.closed.contains(&harness.client) && harness.closed.contains(&conn));
    assert_eq!(
        (
            harness.core.resource_counts().clients,
            harness.core.resource_counts().unanswered,
            harness.core.resource_counts().memory
        ),
        (0, 0, 0)
    );
}

#[test]
fn a_value_that_breaks_off_is_an_error_before_a_part_is_written_and_closes_the_client_afterwards() {
    let long = answer(&value(300_000));
    // The cut-off value is behind another pending answer: the client has received none of its bytes.
    let mut harness = Harness::new();
    let conns = harness.send_requests(&["aa", "bb"]);
    harness.receive(conns[1], &long[..50_000], &mut std::iter::empty());
    harness.feed(Input::Closed(conns[1]));
    assert!(!harness.closed.contains(&harness.client));
    harness.receive(conns[0], common::HIT, &mut std::iter::empty());
    assert_eq!(String::from_utf8_lossy(&harness.written), "$5\r\nvalue\r\n-ERR failed\r\n");
    // The cut-off value is the first answer: the client has received a part of it, so the core closes the
    // client's connection.
    let conn = harness.send_requests(&["cc"])[0];
    harness.receive(conn, &long[..50_000], &mut std::iter::empty());
    harness.feed(Input::Closed(conn));
    assert!(harness.closed.contains(&harness.client));
    let counts: Vec<_> = harness.core.class_counters().map(|(_, counts)| *counts).collect();
    assert_eq!(
        (counts[0].accepted, counts[0].served, counts[0].failed, counts[0].disconnected),
        (REQUESTS_BEFORE + 3, REQUESTS_BEFORE + 1, 2, 0)
    );
    assert_eq!(harness.core.resource_counts().memory, 0);
}

#[test]
fn a_server_that_stalls_within_a_value_is_closed_after_the_stall_timeout() {
    let long = answer(&value(300_000));
    let mut harness = Harness::new();
    let conn = harness.send_requests(&["aa"])[0];
    harness.receive(conn, &long[..50_000], &mut std::iter::empty());
    harness.now += 3_900_000;
    harness.feed(Input::Wake);
    assert!(!harness.closed.contains(&conn), "closed before the stall timeout");
    harness.now += 200_000;
    harness.feed(Input::Wake);
    harness.now += 10_000;
    harness.feed(Input::Wake);
    assert!(harness.closed.contains(&conn) && harness.closed.contains(&harness.client));
}

/// Guards against a value that is served as a whole one though its stated length is too small (`review/8`).
#[test]
fn the_end_of_a_value_is_held_back_until_the_end_of_its_reply_has_arrived() {
    let long = value(200_000);
    let head_length = "*3\r\n$200000\r\n".len();
    let whole = answer(&long);
    let mut harness = Harness::new();
    let conn = harness.send_requests(&["aa"])[0];
    harness.receive(conn, &whole[..head_length + long.len()], &mut std::iter::empty());
    let last_byte = expected_answer(&long).len() - b"\r\n".len() - 1;
    assert_eq!(harness.written.len(), last_byte, "all but the last byte and the line end");
    harness.receive(conn, &whole[head_length + long.len()..], &mut std::iter::empty());
    assert!(harness.written == expected_answer(&long));
    harness.written.clear();
    // The reply states 180,000 bytes and brings 200,000, in reads of any size.
    let spoilt = [b"*3\r\n$180000\r\n", &long[..], b"\r\n$3\r\nhit\r\n$-1\r\n"].concat();
    for read_size in [1_000, 65_536] {
        let mut harness = Harness::new();
        let conn = harness.send_requests(&["aa"])[0];
        harness.receive(conn, &spoilt, &mut std::iter::repeat(read_size));
        let written = harness.written.len();
        assert!(written < "$180000\r\n".len() + 180_000, "{written} bytes in reads of {read_size}");
        assert!(harness.closed.contains(&harness.client) && harness.closed.contains(&conn));
    }
}

/// Guards against answers that are lost with a long value in front of them that breaks off (`review/9`).
#[test]
fn a_value_that_breaks_off_takes_no_answer_of_a_later_command_along() {
    let long = answer(&value(300_000));
    let mut harness = Harness::new();
    let conns = harness.send_requests(&["aa", "bb"]);
    harness.receive(conns[0], &long[..250_000], &mut std::iter::empty());
    harness.receive(conns[1], common::HIT, &mut std::iter::empty());
    assert!(harness.written.is_empty(), "a part of a value was written that can break off");
    harness.feed(Input::Closed(conns[0]));
    assert_eq!(String::from_utf8_lossy(&harness.written), "-ERR failed\r\n$5\r\nvalue\r\n");
    assert!(!harness.closed.contains(&harness.client));
    // A complete value is written before the later answer.
    harness.written.clear();
    let conns = harness.send_requests(&["cc", "dd"]);
    harness.receive(conns[1], common::HIT, &mut std::iter::empty());
    harness.receive(conns[0], &long, &mut std::iter::empty());
    let expected = [&expected_answer(&value(300_000))[..], b"$5\r\nvalue\r\n"].concat();
    assert!(harness.written == expected);
    // A value for which there is no memory fails alone.
    harness.written.clear();
    let conns = harness.send_requests(&["ee", "ff"]);
    harness.receive(conns[0], &answer(&value(5 << 20)), &mut std::iter::empty());
    harness.receive(conns[1], common::HIT, &mut std::iter::empty());
    assert_eq!(String::from_utf8_lossy(&harness.written), "-ERR failed\r\n$5\r\nvalue\r\n");
    assert_eq!(harness.core.resource_counts().memory, 0);
}

/// Guards against a request that runs while a value in front of it can still break off (`review/9`).
#[test]
fn a_command_behind_a_value_that_is_being_written_waits_for_its_end() {
    let long = answer(&value(300_000));
    let mut harness = Harness::new();
    let conn = harness.send_requests(&["aa"])[0];
    harness.receive(conn, &long[..50_000], &mut std::iter::empty());
    harness.attempts.clear();
    harness.feed(Input::Bytes(harness.client, &get("bb", "bb")));
    assert!(harness.attempts.is_empty() && harness.core.read_budget(harness.client) == 0);
    harness.receive(conn, &long[50_000..], &mut std::iter::empty());
    assert_eq!(harness.attempts.len(), 1, "the command runs once the value is complete");
    assert!(harness.core.read_budget(harness.client) > 0);
    // A command that came while a value was written that then broke off has not run.
    let conn = harness.attempts[0].0;
    harness.receive(conn, &long[..50_000], &mut std::iter::empty());
    harness.attempts.clear();
    harness.feed(Input::Bytes(harness.client, &get("cc", "cc")));
    harness.feed(Input::Closed(conn));
    assert!(harness.attempts.is_empty());
}
