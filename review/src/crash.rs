//! Case 2: bad clients send commands of many long words, and the node is killed for memory.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::*;

/// `limits` of the node.
const MEMORY_MB: usize = 64;
const SOCKETS: usize = 256;
/// Bad clients, each of which does the same again once it has its error.
const BAD_CLIENTS: usize = 100;
/// Words of a bad client's command, and the length of each but the first. The last word never comes.
const WORDS: usize = 16;
const WORD: usize = 64 * 1024;
/// Usual clients, each of which reads one key after the other.
const USUAL_CLIENTS: usize = 4;
const LOAD: Duration = Duration::from_secs(8);

type Counts = Arc<Mutex<BTreeMap<String, usize>>>;

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::new();
    let origin = start_origin(|_, stream| write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    let mut entries = vec![Entry::active("origin", origin, "origin")];
    for name in ["c1", "c2", "c3"] {
        entries.push(Entry::active(name, start_cache(|_, stream| stream.write_all(&served(b"good"))), "std"));
    }
    let discovery = Discovery::start(1, entries.clone(), record);
    let config = NodeConfig {
        name: "n0",
        me: 0,
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        known: list_json(1, true, &entries),
        settings: settings(1),
        arguments: String::new(),
    };
    let mut node = match Node::start(&config, discovery.address, &folder.0, record) {
        Ok(node) => node,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    thread::sleep(Duration::from_secs(2));
    record.line("platform", format!("at rest the node holds {} KB", node.memory() / 1024));
    let (stop, counts, address) = (Stop::default(), Counts::default(), node.address);
    let mut clients = Vec::new();
    for number in 0..USUAL_CLIENTS {
        let (stop, counts) = (stop.clone(), counts.clone());
        clients.push(thread::spawn(move || read(number, address, &stop, &counts)));
    }
    for number in 0..if trouble() { BAD_CLIENTS } else { 0 } {
        let (stop, record) = (stop.clone(), record.clone());
        clients.push(thread::spawn(move || send_long_words(number, address, &stop, &record)));
    }
    let started = Instant::now();
    let (mut peak, mut crash) = (0, None);
    while started.elapsed() < LOAD && crash.is_none() {
        let memory = node.memory();
        peak = peak.max(memory);
        let at = started.elapsed().as_millis();
        if let Some(end) = node.ended() {
            crash = Some(format!("the node ended by itself after {at} ms: {end}"));
        } else if memory > MEMORY_MB << 20 {
            record.line("platform", format!("the node holds {} KB, over {MEMORY_MB} MB", memory / 1024));
            node.signal(SIGKILL);
            crash = Some(format!("killed for memory after {at} ms of load"));
        }
        thread::sleep(Duration::from_millis(2));
    }
    stop.set();
    for client in clients {
        let _ = client.join();
    }
    let counts = format!("{:?}", counts.lock().unwrap());
    record.line("usual", &counts);
    let seen = format!("peak {} KB, limit {} KB; usual clients: {counts}", peak / 1024, MEMORY_MB * 1024);
    match crash {
        Some(crash) => Verdict::Broken(format!("{crash}; {seen}")),
        None => Verdict::Held(seen),
    }
}

/// A usual client.
fn read(number: usize, node: SocketAddr, stop: &Stop, counts: &Counts) {
    let mut client = None;
    for round in 0.. {
        if stop.is_set() {
            return;
        }
        let mut open = match client.take().map_or_else(|| Client::connect(node), Ok) {
            Ok(open) => open,
            Err(_) => {
                *counts.lock().unwrap().entry("not connected".into()).or_default() += 1;
                thread::sleep(Duration::from_millis(50));
                continue;
            }
        };
        let id = format!("u{number}-{round}");
        let _ = open.send(&get(&format!("key{id}"), &id, "lookup", 1500));
        let answer = open.answer(Duration::from_secs(3));
        let text = if answer.text().starts_with("-BUSY") { "-BUSY".into() } else { answer.text() };
        *counts.lock().unwrap().entry(text).or_default() += 1;
        if matches!(answer, Answer::Value(_) | Answer::Line(_)) {
            client = Some(open);
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// A bad client: sends a command of many long words at full speed, reads what it is sent, and does the same
/// again.
fn send_long_words(number: usize, node: SocketAddr, stop: &Stop, record: &Record) {
    let word = vec![b'x'; WORD];
    for round in 0.. {
        if stop.is_set() {
            return;
        }
        let Ok(mut client) = Client::connect(node) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let mut sent = client.send(format!("*{WORDS}\r\n$7\r\nOBJ.SET\r\n").as_bytes());
        for _ in 2..WORDS {
            sent = sent.and_then(|()| client.send(format!("${WORD}\r\n").as_bytes()));
            sent = sent.and_then(|()| client.send(&word));
            sent = sent.and_then(|()| client.send(b"\r\n"));
        }
        let answer = client.answer(Duration::from_secs(4));
        let took = if sent.is_ok() { "its words are taken" } else { "its words are not taken" };
        record.line("bad client", format!("{number}-{round}: {took}; {}", answer.text()));
    }
}
