//! A crowd fills the table of connections: of commands that a client sends together, the node answers the first
//! and drops the others.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::*;

/// Descriptors of the node.
const SOCKETS: usize = 256;
/// Clients that stop in the middle of a request and stay.
const CROWD: usize = 200;
/// Commands that a usual client sends at once.
const TOGETHER: usize = 4;
/// Usual clients, one after the other.
const BURSTS: usize = 30;
const LOOKUP_MS: u64 = 1500;

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::new();
    let origin = start_origin(|_, stream| {
        std::io::Write::write_all(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    });
    let mut entries = vec![Entry::active("origin", origin, "origin")];
    for name in ["c1", "c2", "c3"] {
        let record = record.clone();
        let cache = start_cache(move |command, stream| {
            record.line(name, format!("serves {}", command.word(2)));
            std::io::Write::write_all(stream, &served(b"good"))
        });
        entries.push(Entry::active(name, cache, "std"));
    }
    let discovery = Discovery::start(1, entries.clone(), record);
    let config = NodeConfig {
        name: "n0",
        me: 0,
        memory_mb: 64,
        sockets: SOCKETS,
        known: list_json(1, true, &entries),
        settings: settings(1),
        arguments: String::new(),
    };
    let node = match Node::start(&config, discovery.address, &folder.0, record) {
        Ok(node) => node,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    thread::sleep(Duration::from_secs(3));
    let stop = Stop::default();
    if trouble() {
        for number in 0..CROWD {
            let (stop, address) = (stop.clone(), node.address);
            thread::spawn(move || stay_in_the_middle(number, address, &stop));
        }
        record.line("crowd", format!("{CROWD} clients stop in the middle of a request and stay"));
        thread::sleep(Duration::from_secs(1));
    }
    let (mut lost, mut asked) = (0, 0);
    for burst in 0..BURSTS {
        let Ok(mut client) = Client::connect(node.address) else { continue };
        let mut bytes = Vec::new();
        for number in 0..TOGETHER {
            let id = format!("b{burst}-{number}");
            bytes.extend(get(&format!("key{id}"), &id, "lookup", LOOKUP_MS));
        }
        if client.send(&bytes).is_err() {
            continue;
        }
        let sent = Instant::now();
        let answers: Vec<Answer> =
            (0..TOGETHER).map(|_| client.answer(Duration::from_millis(LOOKUP_MS + 2_000))).collect();
        let took = sent.elapsed().as_millis();
        let text: Vec<String> = answers.iter().map(Answer::text).collect();
        record.line("client", format!("b{burst}: {} ({took} ms)", text.join(" | ")));
        asked += TOGETHER;
        // A connection that ends with nothing sent on it may have been shut unread, and counts for nothing. Behind
        // an answer, the orderly end shows that the node has read the commands: unread ones would make it a reset.
        if answers[0] != Answer::Ended && answers[0] != Answer::Silence {
            lost += answers.iter().filter(|answer| **answer == Answer::Ended).count();
        }
        thread::sleep(Duration::from_millis(50));
    }
    stop.set();
    let seen =
        format!("{lost} of {asked} requests have no final answer on a connection that the node has read");
    if lost > 0 { Verdict::Broken(seen) } else { Verdict::Held(seen) }
}

/// Sends half of a command and stays; once turned away, does the same again.
fn stay_in_the_middle(number: usize, node: SocketAddr, stop: &Stop) {
    let whole = get(&format!("half{number}"), &format!("h{number}"), "lookup", LOOKUP_MS);
    while !stop.is_set() {
        match Client::connect(node) {
            Ok(mut client) => {
                let _ = client.send(&whole[..whole.len() / 2]);
                client.answer(Duration::from_secs(5));
            }
            Err(_) => thread::sleep(Duration::from_millis(50)),
        }
    }
}
