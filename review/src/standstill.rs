//! Case 3: spoilt answers that never end hold the whole node up, and requests of other clients are lost.

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::*;

/// `limits.memory_mb` of the node: the most that the pages name, so that memory is not what the case is about.
const MEMORY_MB: usize = 192;
/// One of so many answers of the cache servers is spoilt.
const SPOILT_ONE_IN: usize = 40;
/// Clients, each of which asks once a second.
const CLIENTS: u64 = 40;
const LOAD: Duration = Duration::from_secs(20);
/// Give-up times of the two classes, in milliseconds.
const LOOKUP_MS: u64 = 1500;
const EDIT_MS: u64 = 300;
/// An answer later than this behind its request's time is lost.
const LOST_AFTER_MS: u64 = 500;
/// The slack of all time limits on sockets.
const SLACK_MS: u64 = 50;

struct Outcome {
    id: String,
    deadline_ms: u64,
    took_ms: u64,
    answer: Answer,
}

impl Outcome {
    fn is_lost(&self) -> bool {
        self.took_ms > self.deadline_ms + LOST_AFTER_MS + SLACK_MS
            || matches!(self.answer, Answer::Ended | Answer::Reset | Answer::Silence | Answer::Cut { .. })
    }
}

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::new();
    let origin = start_origin(|_, stream| write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    let mut entries = vec![Entry::active("origin", origin, "origin")];
    let answers = Arc::new(AtomicUsize::new(0));
    for name in ["c1", "c2", "c3", "c4"] {
        let (answers, record) = (answers.clone(), record.clone());
        let cache = start_cache(move |command, stream| {
            let number = answers.fetch_add(1, Ordering::SeqCst) + 1;
            thread::sleep(Duration::from_millis(10));
            if !trouble() || number % SPOILT_ONE_IN != 0 {
                return stream.write_all(&served(b"good"));
            }
            record.line(name, format!("spoilt answer to {}", command.word(2)));
            let (bytes, ended) = give_spoilt(stream);
            record.line(name, format!("spoilt answer to {}: {bytes} bytes until {ended}", command.word(2)));
            Err(std::io::ErrorKind::ConnectionReset.into())
        });
        entries.push(Entry::active(name, cache, "std"));
    }
    let discovery = Discovery::start(1, entries.clone(), record);
    let config = NodeConfig {
        name: "n0",
        me: 0,
        memory_mb: MEMORY_MB,
        sockets: 512,
        known: list_json(1, true, &entries),
        settings: settings_with_edits(1, 150, EDIT_MS, 200),
        arguments: String::new(),
    };
    let mut node = match Node::start(&config, discovery.address, &folder.0, record) {
        Ok(node) => node,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    thread::sleep(Duration::from_secs(3));
    let address = node.address;
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let started = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let outcomes = outcomes.clone();
            thread::spawn(move || ask(number, address, started, &outcomes))
        })
        .collect();
    let mut peak = 0;
    while started.elapsed() < LOAD {
        peak = peak.max(node.memory());
        thread::sleep(Duration::from_millis(10));
    }
    for client in clients {
        let _ = client.join();
    }
    if let Some(end) = node.ended() {
        return Verdict::Broken(format!("the node ended by itself: {end}"));
    }
    let outcomes = outcomes.lock().unwrap();
    for Outcome { id, deadline_ms, took_ms, answer } in outcomes.iter() {
        record.line("client", format!("{id} d={deadline_ms}: {} after {took_ms} ms", answer.text()));
    }
    let lost = outcomes.iter().filter(|outcome| outcome.is_lost()).count();
    let slowest = outcomes.iter().map(|outcome| outcome.took_ms.saturating_sub(outcome.deadline_ms)).max();
    let spoilt = if trouble() { answers.load(Ordering::SeqCst) / SPOILT_ONE_IN } else { 0 };
    let seen = format!(
        "{lost} of {} requests lost, the latest answer {} ms behind its time; {spoilt} of {} answers spoilt; \
         peak memory {} KB",
        outcomes.len(),
        slowest.unwrap_or(0),
        answers.load(Ordering::SeqCst),
        peak / 1024
    );
    if lost > 0 { Verdict::Broken(seen) } else { Verdict::Held(seen) }
}

/// Gives an answer that does not end: arrays whose lengths don't fit, with one long element after the other.
fn give_spoilt(stream: &mut std::net::TcpStream) -> (usize, String) {
    let mut element = format!("${}\r\n", 1 << 20).into_bytes();
    element.resize(element.len() + (1 << 20), b'x');
    element.extend_from_slice(b"\r\n");
    let mut bytes = 0;
    if let Err(error) = stream.write_all(b"*16\r\n*16\r\n*16\r\n") {
        return (bytes, error.to_string());
    }
    loop {
        match stream.write(&element[bytes % element.len()..]) {
            Ok(count) => bytes += count,
            Err(error) => return (bytes, error.to_string()),
        }
    }
}

/// Asks once a second, every fifth time with an edit.
fn ask(number: u64, node: std::net::SocketAddr, started: Instant, outcomes: &Mutex<Vec<Outcome>>) {
    let mut round = 0;
    loop {
        let due = Duration::from_millis(round * 1000 + number * 1000 / CLIENTS);
        if due + Duration::from_secs(2) > LOAD {
            return;
        }
        thread::sleep(due.saturating_sub(started.elapsed()));
        round += 1;
        let id = format!("{number}-{round}");
        let is_edit = (number + round) % 5 == 0;
        let deadline_ms = if is_edit { EDIT_MS } else { LOOKUP_MS };
        let key = format!("key{id}");
        let bytes = match is_edit {
            true => set(&key, &id, "edit", EDIT_MS, &id, b"v"),
            false => get(&key, &id, "lookup", LOOKUP_MS),
        };
        let Ok(mut client) = Client::connect(node) else { continue };
        if client.send(&bytes).is_err() {
            continue;
        }
        // The request's time counts from its last byte.
        let sent = Instant::now();
        let answer = client.answer(Duration::from_secs(8));
        let took_ms = sent.elapsed().as_millis() as u64;
        outcomes.lock().unwrap().push(Outcome { id, deadline_ms, took_ms, answer });
    }
}
