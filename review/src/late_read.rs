//! Long edits wait unread for memory while the origin hangs, and their time counts anew from when they are read.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::*;

const MEMORY_MB: usize = 32;
const CLIENTS: usize = 120;
/// Edits of each client, one after the other.
const ROUNDS: usize = 12;
const LONG: usize = 60_000;
const EDIT_MS: u64 = 1200;
/// An answer later than this behind its request's time is lost; all time limits have 50 ms of slack.
const LOST_AFTER_MS: u64 = 500 + 50;
/// Time after the begin of the load for which the origin answers nothing.
const STOPPED: Duration = Duration::from_secs(8);

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::new();
    let stopped_until = Arc::new(Mutex::new(None::<Instant>));
    let stopped = stopped_until.clone();
    let origin = start_origin(move |_, stream| {
        let until = *stopped.lock().unwrap();
        if let Some(until) = until {
            thread::sleep(until.saturating_duration_since(Instant::now()));
        }
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    });
    let mut entries = vec![Entry::active("origin", origin, "origin")];
    for name in ["c1", "c2"] {
        entries.push(Entry::active(name, start_cache(|_, stream| stream.write_all(&served(b"good"))), "std"));
    }
    let discovery = Discovery::start(1, entries.clone(), record);
    let config = NodeConfig {
        name: "n0",
        me: 0,
        memory_mb: MEMORY_MB,
        sockets: 512,
        known: list_json(1, true, &entries),
        settings: settings(1),
        arguments: String::new(),
    };
    let node = match Node::start(&config, discovery.address, &folder.0, record) {
        Ok(node) => node,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    thread::sleep(Duration::from_secs(2));
    if trouble() {
        *stopped_until.lock().unwrap() = Some(Instant::now() + STOPPED);
    }
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let address = node.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let outcomes = outcomes.clone();
            thread::spawn(move || {
                for round in 0..ROUNDS {
                    let id = format!("e{number}-{round}");
                    let Ok(mut client) = Client::connect(address) else { continue };
                    let edit = set(&format!("key{id}"), &id, "edit", EDIT_MS, &id, &vec![b'v'; LONG]);
                    if client.send(&edit).is_err() {
                        continue;
                    }
                    // The request's time counts from its last byte.
                    let sent = Instant::now();
                    let answer = client.answer(Duration::from_secs(8)).text();
                    let took = sent.elapsed().as_millis() as u64;
                    outcomes.lock().unwrap().push((id, took, answer));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let outcomes = outcomes.lock().unwrap();
    let mut kinds = BTreeMap::<&str, usize>::new();
    for (id, took, answer) in outcomes.iter() {
        record.line("client", format!("{id} d={EDIT_MS}: {answer} after {took} ms"));
        *kinds.entry(answer.split(' ').next().unwrap_or("")).or_default() += 1;
    }
    let lost = outcomes.iter().filter(|(_, took, _)| *took > EDIT_MS + LOST_AFTER_MS).count();
    let slowest = outcomes.iter().map(|(_, took, _)| *took).max().unwrap_or(0);
    let seen = format!(
        "{lost} of {} edits are answered more than {LOST_AFTER_MS} ms behind their {EDIT_MS} ms, the slowest after \
         {slowest} ms; {kinds:?}",
        outcomes.len()
    );
    if lost > 0 { Verdict::Broken(seen) } else { Verdict::Held(seen) }
}
