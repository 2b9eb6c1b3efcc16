//! Two events that cross, on real sockets. No sleep stands for an order: a emulated server holds a byte, a line of the list, a
//! close or an answer back until the other event has been seen, or the node is stopped while both happen.

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
use crate::{no_origin, pair, quiet};

/// A cache server whose machine takes no connections yet: they stay half open until it does.
pub struct Shut {
    listener: TcpListener,
    pub address: SocketAddr,
    plugs: usize,
}

impl Shut {
    pub fn new() -> Shut {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        rustix::net::listen(&listener, 0).unwrap();
        // Its queue is full once one more does not come up.
        let mut held = Vec::new();
        while let Ok(plug) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
            held.push(plug);
            assert!(held.len() < 16, "the queue takes any number");
        }
        Shut { listener, address, plugs: held.len() }
    }

    /// Takes connections from now on, and returns the node's first one.
    pub fn accept(self) -> TcpStream {
        (0..self.plugs).for_each(|_| drop(self.listener.accept().unwrap()));
        // What waits outside tries again by itself.
        self.listener.set_nonblocking(true).unwrap();
        let end = Instant::now() + LONG;
        let stream = loop {
            match self.listener.accept() {
                Ok((stream, _)) => break stream,
                Err(e) => assert!(Instant::now() < end, "no connection of the node: {e}"),
            }
            std::thread::sleep(Duration::from_millis(1));
        };
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream
    }

    /// Takes connections from now on, and returns what the node's first one brings until its end.
    fn brings(self) -> Vec<u8> {
        let mut stream = self.accept();
        let mut brought = Vec::new();
        stream.read_to_end(&mut brought).expect("the end of the node's connection");
        brought
    }
}

/// Discovery whose every call the test answers by hand.
struct Agent {
    address: SocketAddr,
    calls: Receiver<(String, TcpStream)>,
}

impl Agent {
    fn new() -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tell, calls) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut input = BufReader::new(stream.try_clone().unwrap());
                let call = read_http(&mut input).unwrap_or_default();
                let _ = tell.send((call.first().cloned().unwrap_or_default(), stream));
            }
        });
        Agent { address, calls }
    }

    /// The next call, answered with the head of a watch and these lines.
    fn answer(&self, lines: &[String]) -> TcpStream {
        let (_, mut stream) = self.calls.recv_timeout(LONG).expect("a call to discovery");
        stream.write_all(&watch_head()).unwrap();
        for line in lines {
            stream.write_all(&chunk(line)).unwrap();
        }
        stream
    }
}

fn two(first: SocketAddr, second: SocketAddr, status: &str) -> Vec<String> {
    vec![
        entry("s-1", first, "std", status),
        entry("s-2", second, "std", "active"),
        entry("o-1", first, "origin", "active"),
    ]
}

/// Settings under which discovery that failed is asked again after half a minute at the earliest.
fn patient() -> String {
    settings().replace(r#""askWithinUs":1000000"#, r#""askWithinUs":1000000000"#)
}

/// Settings under which a connection may come up late.
pub fn slow_to_open() -> String {
    settings().replace(r#""connectTimeoutUs":2000000"#, r#""connectTimeoutUs":15000000"#)
}

/// Whichever way a client goes.
fn leaves(client: Client, reset: bool) {
    if reset {
        set_socket_linger(&client.out, Some(Duration::ZERO)).unwrap();
    }
    drop(client);
}

/// Asks until `first` says nothing for 60 reads in a row, each of a key of its own: it is known to leave. From then on
/// it must say nothing more.
fn left(node: &Node, first: &str) {
    let mut client = node.client();
    let mut ask = |key: u32| client.ask(&get(&format!("{key:x}"), &key.to_string())).unwrap();
    let (mut key, mut in_a_row) = (0, 0);
    while in_a_row < 60 {
        key += 1;
        in_a_row = if ask(key) == first { 0 } else { in_a_row + 1 };
        assert!(key < 100_000, "its leaving never took effect");
    }
    let late = (0..200).filter(|n| ask(key + 1 + n) == first).count();
    assert_eq!(late, 0, "it got something new after its leaving was known");
}

/// Says a name, whatever it is asked.
fn says(name: &'static str) -> EmulatedServer {
    cache(move |_| Act::Say(hit(name)))
}
