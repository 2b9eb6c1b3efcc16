//! Memory and work that servers' replies take. Guards against replies, of any form, that hold more bytes than
//! are reserved for them, that are read without an end, or that are repeated although they have run; and
//! against limits that reject a sound reply.
#![allow(missing_docs)]

mod common;

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use common::{START, config_with, get};
use stonevane_codec::resp;
use stonevane_core::{ConnId, Core, CoreConfig, Input, Output, Outputs};
use stonevane_policy::{Idempotency, RequestClass};

/// Bytes that each connection may buffer without a reservation.
const UNRESERVED_BYTES: usize = 4096;
/// Largest read of the driver.
const MAX_READ_BYTES: usize = 64 * 1024;
const MISS: &[u8] = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";

/// An attempt at a server.
struct Attempt {
    conn: ConnId,
    is_http: bool,
}

/// A core between clients and servers whose replies the test sends.
struct Harness {
    core: Core,
    now: u64,
    written: HashMap<ConnId, Vec<u8>>,
    closed: Vec<ConnId>,
    attempts: Vec<Attempt>,
    clients: u64,
    /// Greatest number of buffered bytes that any input left.
    most_buffered: usize,
}

impl Harness {
    fn new(memory_mb: usize) -> Harness {
        let config = config_with(false, 512, Duration::ZERO, |deployment| {
            let read = deployment.settings.classes[0];
            let write = RequestClass { idempotency: Idempotency::NonIdempotent, ..read };
            deployment.settings.classes.push(write);
            deployment.classes.push("move".into());
        });
        let core = Core::new(START, CoreConfig { memory_mb, ..config });
        let mut harness = Harness {
            core,
            now: START,
            written: HashMap::new(),
            closed: Vec::new(),
            attempts: Vec::new(),
            clients: 0,
            most_buffered: 0,
        };
        // Enough replies for the policy to raise the servers' limits on concurrent requests.
        for _ in 0..200 {
            let (client, cache) = harness.request("read");
            harness.now += 1_000;
            harness.receive(cache, MISS, MAX_READ_BYTES);
            let origin = harness.attempts.pop().unwrap().conn;
            harness.receive(origin, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", MAX_READ_BYTES);
            assert_eq!(harness.answer(client), "$2\r\nok\r\n");
            harness.feed(Input::Closed(client));
        }
        harness.most_buffered = 0;
        harness
    }

    fn feed(&mut self, input: Input<'_>) {
        let mut out = Outputs::new();
        self.core.handle(self.now, input, &mut out);
        let count = self.core.resource_counts();
        let unreserved = (count.clients + count.server_connections) * UNRESERVED_BYTES;
        assert!(
            count.buffered <= count.memory + unreserved,
            "{} bytes are buffered, {} reserved",
            count.buffered,
            count.memory
        );
        self.most_buffered = self.most_buffered.max(count.buffered);
        for output in out {
            match output {
                Output::Open(id, _) => self.feed(Input::Opened(id)),
                Output::WriteRequest { id, bytes, .. } => {
                    self.feed(Input::Flushed(id));
                    self.attempts.push(Attempt { conn: id, is_http: !bytes.starts_with(b"*") });
                }
                Output::Write(id, bytes) | Output::WriteAndClose(id, bytes) => {
                    self.written.entry(id).or_default().extend_from_slice(&bytes);
                    self.feed(Input::Flushed(id));
                }
                Output::Close(id) => self.closed.push(id),
                _ => {}
            }
        }
    }

    /// Sends a request of a class on a new connection. Returns the client's and the server's connection.
    fn request(&mut self, class: &str) -> (ConnId, ConnId) {
        let client = self.core.next_connection_id();
        self.clients += 1;
        self.feed(Input::Accepted(client));
        let (key, id) = (format!("k{}", self.clients), format!("i{}", self.clients));
        let command: Bytes = if class == "read" {
            get(&key, &id)
        } else {
            let arguments = [&b"OBJ.SET"[..], key.as_bytes(), id.as_bytes(), b"c=move,t=all,d=900", b"v"];
            resp::encode_command(&arguments)
        };
        self.feed(Input::Bytes(client, &command));
        (client, self.attempts.pop().unwrap().conn)
    }

    /// Sends a read that misses at the cache. Returns the client's and the origin's connection.
    fn fetch(&mut self) -> (ConnId, ConnId) {
        let (client, cache) = self.request("read");
        self.receive(cache, MISS, MAX_READ_BYTES);
        let attempt = self.attempts.pop().unwrap();
        assert!(attempt.is_http);
        (client, attempt.conn)
    }

    /// Feeds bytes of a server as far as the core reads them, at most `max_bytes` at a time. Returns the
    /// number of bytes read.
    fn receive(&mut self, conn: ConnId, bytes: &[u8], max_bytes: usize) -> usize {
        let mut read = 0;
        while read < bytes.len() {
            let length = self.core.read_budget(conn).min(max_bytes).min(bytes.len() - read);
            if length == 0 {
                break;
            }
            self.feed(Input::Bytes(conn, &bytes[read..read + length]));
            read += length;
        }
        read
    }

    fn answer(&self, client: ConnId) -> String {
        let bytes = self.written.get(&client).cloned().unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// Arrays in arrays whose elements have 1 MiB each, without an end.
fn endless_arrays() -> Vec<u8> {
    let element = [&b"$1048576\r\n"[..], &vec![b'x'; 1 << 20], b"\r\n"].concat();
    [&b"*16\r\n*16\r\n*16\r\n"[..], &element.repeat(8)].concat()
}

/// A chunked response with the given value, in chunks of `chunk` bytes.
fn chunked(value: &[u8], chunk: usize) -> Vec<u8> {
    let mut out = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for content in value.chunks(chunk) {
        out.extend_from_slice(format!("{:x}\r\n", content.len()).as_bytes());
        out.extend_from_slice(content);
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"0\r\n\r\n");
    out
}

/// Guards against a node that does nothing else while one reply never ends (`review/3`).
#[test]
fn a_reply_that_never_ends_is_refused_at_its_first_deviating_byte_and_not_repeated_for_a_move() {
    let mut harness = Harness::new(32);
    let (client, origin) = harness.request("move");
    let read = harness.receive(origin, &endless_arrays(), MAX_READ_BYTES);
    assert!(read <= UNRESERVED_BYTES && harness.closed.contains(&origin), "{read} bytes are read");
    assert_eq!(harness.answer(client), "-ERR failed\r\n");
    assert!(harness.attempts.is_empty(), "a move that may have run is not repeated");
    let (_, cache) = harness.request("read");
    for piece in [1, 7, MAX_READ_BYTES] {
        let (_, other) = harness.request("read");
        let read = harness.receive(other, &endless_arrays(), piece);
        assert!(read <= UNRESERVED_BYTES && harness.closed.contains(&other), "{read} in reads of {piece}");
    }
    assert!(!harness.closed.contains(&cache), "other connections stay open");
    assert!(harness.most_buffered <= 2 * UNRESERVED_BYTES, "{} bytes are held", harness.most_buffered);
}

/// Guards against replies whose bytes exceed what is reserved for their kind.
#[test]
fn spoilt_replies_hold_no_more_than_their_reservation_and_end() {
    let long_line = [&b"-ERR "[..], &vec![b'x'; 1 << 20]].concat();
    let long_report = [&b"*3\r\n$1\r\nv\r\n$-1\r\n$1048576\r\n"[..], &vec![b'x'; 1 << 20]].concat();
    let long_tail =
        [&b"*3\r\n$70000\r\n"[..], &vec![b'x'; 70_000], b"\r\n$4000000\r\n", &vec![b'x'; 1 << 20]];
    let mut harness = Harness::new(32);
    for reply in [long_line, long_report, long_tail.concat()] {
        let (_, cache) = harness.request("read");
        let read = harness.receive(cache, &reply, MAX_READ_BYTES);
        assert!(harness.closed.contains(&cache) && read < 80_000 + MAX_READ_BYTES, "{read}");
    }
    let heads = b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(20_000);
    let head = [&b"HTTP/1.1 200 OK\r\n"[..], &b"X-Long: 0123456789\r\n".repeat(20_000)].concat();
    let failure =
        [&b"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n"[..], &b"1\r\nx\r\n".repeat(4_000_000)];
    for reply in [heads, head, failure.concat(), chunked(&vec![b'x'; 8 << 20], 40_000)] {
        let (_, origin) = harness.fetch();
        harness.receive(origin, &reply, MAX_READ_BYTES);
        assert!(harness.closed.contains(&origin));
    }
}

/// Guards against long values that are buffered against the reservation of a short one: behind an interim
/// response, and in chunks (`long-values` of the review).
#[test]
fn long_values_in_chunks_or_behind_an_interim_response_stay_within_the_budget() {
    for memory_mb in [32, 64] {
        let mut harness = Harness::new(memory_mb);
        let value = vec![b'v'; 2_400_000];
        let sized = format!(
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            value.len()
        );
        let behind_interim = [sized.as_bytes(), &value].concat();
        let in_chunks = chunked(&value, 1_000);
        let fetches: Vec<_> = (0..16).map(|_| harness.fetch()).collect();
        let mut read = vec![0; fetches.len()];
        // All values arrive at the same time.
        loop {
            let mut progress = 0;
            for (index, (_, origin)) in fetches.iter().enumerate() {
                let reply = if index % 2 == 0 { &behind_interim } else { &in_chunks };
                let end = reply.len().min(read[index] + MAX_READ_BYTES);
                let count = harness.receive(*origin, &reply[read[index]..end], MAX_READ_BYTES);
                read[index] += count;
                progress += count;
            }
            if progress == 0 {
                break;
            }
        }
        let answers: Vec<_> = fetches.iter().map(|(client, _)| harness.answer(*client)).collect();
        let served = |answer: &&String| answer.len() > value.len();
        assert_eq!(answers.iter().step_by(2).filter(served).count(), 8, "streamed values need little memory");
        assert!(answers.iter().skip(1).step_by(2).filter(served).count() >= 1, "{memory_mb} MB");
        assert!(answers.iter().all(|answer| served(&answer) || answer == "-ERR failed\r\n"));
        assert_eq!(harness.core.resource_counts().memory, 0);
    }
}

#[test]
fn a_sound_value_of_4_mib_is_served_whole_in_chunks_and_behind_interim_responses() {
    let value: Vec<u8> = (0..4 << 20).map(|index: usize| b'a' + (index % 23) as u8).collect();
    let expected = [format!("${}\r\n", value.len()).as_bytes(), &value, b"\r\n"].concat();
    let sized =
        [format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", value.len()).as_bytes(), &value].concat();
    let behind_interim = [&b"HTTP/1.1 100 Continue\r\n\r\n".repeat(8)[..], &sized].concat();
    for reply in [sized, behind_interim, chunked(&value, 1), chunked(&value, 1_000), chunked(&value, 4 << 20)]
    {
        let mut harness = Harness::new(64);
        let (client, origin) = harness.fetch();
        assert_eq!(harness.receive(origin, &reply, MAX_READ_BYTES), reply.len());
        assert!(harness.written.get(&client) == Some(&expected), "the client got other bytes");
        harness.feed(Input::Closed(client));
        assert_eq!(harness.core.resource_counts().memory, 0);
    }
}

#[test]
fn the_longest_buffered_reply_is_served_at_32_mb_in_reads_of_any_size() {
    let value = vec![b'v'; 64 * 1024];
    let head = format!("*3\r\n${}\r\n", value.len());
    let metadata =
        [&b"\r\n$2000\r\n"[..], &[b'm'; 2_000], b"\r\n$2000\r\n", &[b'r'; 2_000], b"\r\n"].concat();
    let cached = [head.as_bytes(), &value, &metadata].concat();
    let padding = format!("X-Padding: {}\r\n", "p".repeat(16_000));
    let head = format!("HTTP/1.1 200 OK\r\n{padding}Content-Length: {}\r\n\r\n", value.len());
    let fetched = [head.as_bytes(), &value].concat();
    let expected = [format!("${}\r\n", value.len()).as_bytes(), &value, b"\r\n"].concat();
    for piece in [1, 1_000, MAX_READ_BYTES] {
        let mut harness = Harness::new(32);
        let (client, cache) = harness.request("read");
        assert_eq!(harness.receive(cache, &cached, piece), cached.len());
        assert!(harness.written.get(&client) == Some(&expected), "from the cache in reads of {piece}");
        let (client, origin) = harness.fetch();
        assert_eq!(harness.receive(origin, &fetched, piece), fetched.len());
        assert!(harness.written.get(&client) == Some(&expected), "from the origin in reads of {piece}");
    }
}
