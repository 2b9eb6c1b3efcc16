//! Races between two events on real sockets. No sleep fixes their order: an emulated server delays a byte, a
//! message of the server list, a close or a response until the other event has been observed, or the node
//! process is stopped while both happen.

mod discovery;
mod full_table;
mod leaving_clients;
mod shutdown;

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rustix::net::sockopt::set_socket_linger;

use crate::harness::*;
use crate::{cache_and_origin, failing_origin, quiet_discovery};

/// A cache server whose listen queue is full, so that connections to it stay half open until
/// [`Self::accept`].
pub struct FullListenQueue {
    listener: TcpListener,
    pub address: SocketAddr,
    /// Connections of the test that fill the queue.
    queued: usize,
}

impl FullListenQueue {
    pub fn new() -> FullListenQueue {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        rustix::net::listen(&listener, 0).unwrap();
        // The queue is full when a new connection is not established in time.
        let mut held = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
            held.push(stream);
            assert!(held.len() < 16, "the listen queue has no limit");
        }
        FullListenQueue { listener, address, queued: held.len() }
    }

    /// Accepts connections from now on, and returns the node's first one.
    pub fn accept(self) -> TcpStream {
        (0..self.queued).for_each(|_| drop(self.listener.accept().unwrap()));
        // The kernel retries a connection that found the queue full.
        self.listener.set_nonblocking(true).unwrap();
        let end = Instant::now() + TEST_TIMEOUT;
        let stream = loop {
            match self.listener.accept() {
                Ok((stream, _)) => break stream,
                Err(e) => assert!(Instant::now() < end, "no connection of the node: {e}"),
            }
            std::thread::sleep(Duration::from_millis(1));
        };
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream
    }

    /// Accepts connections from now on, and returns all bytes of the node's first one.
    fn received_bytes(self) -> Vec<u8> {
        let mut stream = self.accept();
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).expect("the end of the node's connection");
        bytes
    }
}

/// A discovery service whose calls the test itself answers.
struct ManualDiscovery {
    address: SocketAddr,
    /// Request line and connection of each call.
    calls: Receiver<(String, TcpStream)>,
}

impl ManualDiscovery {
    fn new() -> ManualDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, calls) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut input = BufReader::new(stream.try_clone().unwrap());
                let call = read_http(&mut input).unwrap_or_default();
                let _ = sender.send((call.first().cloned().unwrap_or_default(), stream));
            }
        });
        ManualDiscovery { address, calls }
    }

    /// Answers the next call with the response head of a watch and these messages, and keeps it open.
    fn open_watch(&self, messages: &[String]) -> TcpStream {
        let (_, mut stream) = self.calls.recv_timeout(TEST_TIMEOUT).expect("a call to discovery");
        stream.write_all(&watch_head()).unwrap();
        for message in messages {
            stream.write_all(&chunk(message)).unwrap();
        }
        stream
    }
}

/// Entries of two cache servers, the first with this status, and of a placeholder origin, which a test
/// replaces if it needs one.
fn two_cache_entries(first: SocketAddr, second: SocketAddr, status: &str) -> Vec<String> {
    vec![
        entry("s-1", first, "std", status),
        entry("s-2", second, "std", "active"),
        entry("o-1", first, "origin", "active"),
    ]
}

/// Settings whose poll interval is so long that a retry after a fraction of it would come after half a minute
/// at the earliest.
fn long_poll_interval() -> String {
    settings().replace(r#""askWithinUs":1000000"#, r#""askWithinUs":1000000000"#)
}

/// Settings under which a connection may take up to 15 s to open.
pub fn long_connect_timeout() -> String {
    settings().replace(r#""connectTimeoutUs":2000000"#, r#""connectTimeoutUs":15000000"#)
}

/// Closes a client connection, by a reset if `reset` is set.
fn disconnect(client: Client, reset: bool) {
    if reset {
        set_socket_linger(&client.out, Some(Duration::ZERO)).unwrap();
    }
    drop(client);
}

/// Reads one key after another until the server `first` has answered none of 60 in a row, so its drain has
/// taken effect. Then checks that it answers none of 200 further reads.
fn assert_drained(node: &Node, first: &str) {
    let mut client = node.client();
    let mut read = |key: u32| client.request(&get(&format!("{key:x}"), &key.to_string())).unwrap();
    let (mut key, mut in_a_row) = (0, 0);
    while in_a_row < 60 {
        key += 1;
        in_a_row = if read(key) == first { 0 } else { in_a_row + 1 };
        assert!(key < 100_000, "the drain never took effect");
    }
    let late = (0..200).filter(|n| read(key + 1 + n) == first).count();
    assert_eq!(late, 0, "requests reached it after the drain took effect");
}

/// Starts a cache server that answers each command with a hit whose value is this name.
fn named_cache(name: &'static str) -> EmulatedServer {
    cache(move |_| Action::Respond(hit(name)))
}
