//! Memory that clients' commands take. Guards against commands, of any form, of which a node holds more bytes
//! than it has reserved, and against limits that reject a legal command.
#![allow(missing_docs)]

mod common;

use std::collections::HashMap;
use std::time::Duration;

use common::{CoreHarness, HIT, START, config_with};
use stonevane_codec::resp;
use stonevane_core::{ConnId, Core, CoreConfig, Input, Output, Outputs};

/// Bytes that each connection may buffer without a reservation.
const UNRESERVED_BYTES: usize = 4096;
/// Length of the longest legal value, in bytes.
const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Number of misbehaving clients.
const BAD_CLIENTS: usize = 100;

/// A core between clients and servers that answer each request at once.
struct Harness {
    core: Core,
    now: u64,
    /// Bytes written to each client.
    written: HashMap<ConnId, Vec<u8>>,
    /// Clients to whose connections the core writes nothing more.
    half_closed: Vec<ConnId>,
    clients: usize,
    /// Requests that servers have received.
    requests: usize,
    /// The request that a server received last.
    last_request: String,
}

/// A client's connection, with the bytes that the core has not read yet.
struct Client {
    id: ConnId,
    unread: Vec<u8>,
}

impl CoreHarness for Harness {
    fn core(&self) -> &Core {
        &self.core
    }

    fn now_mut(&mut self) -> &mut u64 {
        &mut self.now
    }

    /// Feeds an input, performs the outputs and checks the bytes that the core holds.
    fn feed(&mut self, input: Input<'_>) {
        let mut out = Outputs::new();
        self.core.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Open(id, _) => self.feed(Input::Opened(id)),
                Output::WriteRequest { id, bytes, .. } => {
                    self.requests += 1;
                    self.last_request = String::from_utf8_lossy(&bytes).into_owned();
                    self.feed(Input::Flushed(id));
                    let is_write = bytes.starts_with(b"PUT");
                    let reply: &[u8] =
                        if is_write { b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade" } else { HIT };
                    assert!(self.core.read_budget(id) >= reply.len());
                    self.feed(Input::Bytes(id, reply));
                }
                Output::Write(id, bytes) | Output::WriteAndClose(id, bytes) => {
                    self.written.entry(id).or_default().extend_from_slice(&bytes);
                    self.feed(Input::Flushed(id));
                }
                Output::CloseWrite(id) => self.half_closed.push(id),
                _ => {}
            }
        }
        let count = self.core.resource_counts();
        assert!(
            count.buffered <= count.memory + self.clients * UNRESERVED_BYTES,
            "{} bytes are buffered, {} reserved",
            count.buffered,
            count.memory
        );
    }
}

impl Harness {
    fn new(memory_mb: usize) -> Harness {
        let config = config_with(false, 512, Duration::ZERO, |_| {});
        let core = Core::new(START, CoreConfig { memory_mb, ..config });
        let (written, half_closed) = (HashMap::new(), Vec::new());
        let mut harness = Harness {
            core,
            now: START,
            written,
            half_closed,
            clients: 0,
            requests: 0,
            last_request: String::new(),
        };
        // Enough replies for the policy to raise the servers' limits on concurrent requests.
        for number in 0..40 {
            let mut client = harness.connect(common::get("k", &format!("warm{number}")).to_vec());
            harness.now += 1_000;
            harness.read(&mut client, usize::MAX);
            harness.feed(Input::Closed(client.id));
            harness.clients -= 1;
        }
        harness.requests = 0;
        harness
    }

    fn connect(&mut self, unread: Vec<u8>) -> Client {
        let id = self.core.next_connection_id();
        self.clients += 1;
        self.feed(Input::Accepted(id));
        Client { id, unread }
    }

    /// Feeds a client's bytes in one read, at most `max_bytes`. Returns whether the core has read any.
    fn read(&mut self, client: &mut Client, max_bytes: usize) -> bool {
        let budget = self.core.read_budget(client.id).min(max_bytes).min(client.unread.len());
        let piece: Vec<u8> = client.unread.drain(..budget).collect();
        if budget > 0 {
            self.feed(Input::Bytes(client.id, &piece));
        }
        budget > 0
    }

    /// Reads all clients in turn, at most `max_bytes` of each, until the core reads no more of any.
    fn read_in_turn(&mut self, clients: &mut [Client], max_bytes: usize) {
        loop {
            let progress = clients.iter_mut().filter_map(|client| self.read(client, max_bytes).then_some(()));
            if progress.count() == 0 {
                return;
            }
        }
    }

    fn answer(&self, client: &Client) -> String {
        let bytes = self.written.get(&client.id).cloned().unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// An edit whose arguments have the greatest legal lengths.
fn longest_command(id: char) -> Vec<u8> {
    let longest = |first: char| first.to_string().repeat(512);
    let mut parameters = "c=read,t=all,d=900,k=".to_owned();
    parameters.push_str(&"t".repeat(512 - parameters.len()));
    let value = vec![b'v'; MAX_VALUE_BYTES];
    let (key, id) = (longest('k'), longest(id));
    let arguments: [&[u8]; 5] = [b"OBJ.SET", key.as_bytes(), id.as_bytes(), parameters.as_bytes(), &value];
    resp::encode_command(&arguments).to_vec()
}

/// A command of 16 arguments of 64 KiB, without the last one.
fn many_long_arguments() -> Vec<u8> {
    let mut bytes = b"*16\r\n$7\r\nOBJ.SET\r\n".to_vec();
    let argument = vec![b'x'; MAX_VALUE_BYTES];
    for _ in 2..16 {
        bytes.extend_from_slice(format!("${MAX_VALUE_BYTES}\r\n").as_bytes());
        bytes.extend_from_slice(&argument);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// Guards against a node that is killed for memory by commands of many long arguments (`review/2`).
#[test]
fn commands_of_many_long_arguments_are_rejected_before_they_exceed_their_reservation() {
    for (memory_mb, clients, max_bytes) in
        [(32, BAD_CLIENTS, 1 << 16), (64, BAD_CLIENTS, 1 << 16), (192, BAD_CLIENTS, 4_000), (32, 2, 1)]
    {
        let mut harness = Harness::new(memory_mb);
        let mut bad: Vec<_> = (0..clients).map(|_| harness.connect(many_long_arguments())).collect();
        harness.read_in_turn(&mut bad, max_bytes);
        for client in &bad {
            assert_eq!(harness.answer(client), "-ERR protocol error: value or command too long\r\n");
            assert!(harness.half_closed.contains(&client.id), "its connection is ended");
            assert!(client.unread.len() > 12 * MAX_VALUE_BYTES, "the rest is not read");
        }
        assert_eq!(harness.core.resource_counts().memory, 0);
        assert_eq!(harness.requests, 0);
    }
}

#[test]
fn an_honest_client_is_served_beside_a_hundred_bad_ones() {
    for memory_mb in [32, 64] {
        let mut harness = Harness::new(memory_mb);
        let mut clients: Vec<_> = (0..BAD_CLIENTS).map(|_| harness.connect(many_long_arguments())).collect();
        clients.push(harness.connect(longest_command('i')));
        harness.read_in_turn(&mut clients, 1 << 16);
        assert_eq!(harness.answer(&clients[BAD_CLIENTS]), "$4\r\nmade\r\n", "{memory_mb} MB");
        assert_eq!(harness.requests, 1);
    }
}

#[test]
fn the_longest_legal_command_is_served_in_reads_of_any_size_and_behind_another() {
    for max_bytes in [1, 7, 4095, 4096, 1 << 16] {
        let mut harness = Harness::new(32);
        let mut client = harness.connect([longest_command('i'), longest_command('j')].concat());
        while harness.read(&mut client, max_bytes) {}
        assert_eq!(harness.answer(&client), "$4\r\nmade\r\n$4\r\nmade\r\n", "in reads of {max_bytes} bytes");
        assert!(client.unread.is_empty() && !harness.half_closed.contains(&client.id));
        harness.feed(Input::Closed(client.id));
        assert_eq!(harness.core.resource_counts().memory, 0);
    }
}

/// Guards against a command whose time counts anew once its memory is free, so that its answer comes long after
/// its client's time (`late-read` of the review).
#[test]
fn the_wait_for_the_memory_of_a_long_command_counts_toward_its_time() {
    for (wait, expected) in [(500_000, "$4\r\nmade\r\n"), (1_000_000, "-BUSY\r\n")] {
        let mut harness = Harness::new(32);
        // Commands without their last byte hold all the memory.
        let mut holding = Vec::new();
        let mut client = loop {
            let mut unread = longest_command('h');
            unread.pop();
            let mut client = harness.connect(unread);
            while harness.read(&mut client, usize::MAX) {}
            if !client.unread.is_empty() {
                break client;
            }
            holding.push(client);
        };
        client.unread.push(b'\n');
        harness.advance(wait);
        for held in &holding {
            harness.feed(Input::Closed(held.id));
        }
        harness.clients -= holding.len();
        while harness.read(&mut client, usize::MAX) {}
        assert_eq!(harness.answer(&client), expected, "after a wait of {wait} us");
        assert!(expected.starts_with('-') || harness.last_request.contains("d=400"), "900 ms less the wait");
    }
}
