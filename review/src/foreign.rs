//! Case 1: clients are served with the values of other requests, where cache servers give some answers twice and
//! some spoilt.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::*;

/// `limits.memory_mb` of the node: the most that the pages name, so that memory is not what the case is about.
const MEMORY_MB: usize = 192;
/// One of so many answers of the cache servers is spoilt and does not end.
const SPOILT_ONE_IN: usize = 40;
/// One of so many good answers comes a second time, some milliseconds late.
const TWICE_ONE_IN: usize = 4;
/// Bounds of how late a second answer is, in milliseconds.
const LATE_MS: (u64, u64) = (2, 12);
/// A second answer that is held up for longer, by a busy machine, does not come.
const LATE_MOST: Duration = Duration::from_micros(13_000);
/// Clients, each of which asks once a second.
const CLIENTS: u64 = 200;
const LOAD: Duration = Duration::from_secs(100);
/// The load ends early behind so many foreign values.
const ENOUGH: usize = 8;
const LOOKUP_MS: u64 = 1500;

struct Foreign {
    id: String,
    value: String,
}

#[derive(Default)]
struct Seen {
    asked: usize,
    served: usize,
    foreign: Vec<Foreign>,
}

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::new();
    // Every cache server has every key, so the origin is not asked.
    let origin = start_origin(|_, stream| write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    let mut entries = vec![Entry::active("origin", origin, "origin")];
    let counts = Arc::new(Counts::default());
    for name in ["c1", "c2", "c3", "c4"] {
        entries.push(Entry::active(name, start(name, counts.clone(), record.clone()), "std"));
    }
    let discovery = Discovery::start(1, entries.clone(), record);
    let config = NodeConfig {
        name: "n0",
        me: 0,
        memory_mb: MEMORY_MB,
        sockets: 1024,
        known: list_json(1, true, &entries),
        settings: settings(1),
        arguments: String::new(),
    };
    let mut node = match Node::start(&config, discovery.address, &folder.0, record) {
        Ok(node) => node,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    thread::sleep(Duration::from_secs(2));
    let (address, started, seen) = (node.address, Instant::now(), Arc::new(Mutex::new(Seen::default())));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (seen, record) = (seen.clone(), record.clone());
            thread::spawn(move || ask(number, address, started, &seen, &record))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    if let Some(end) = node.ended() {
        return Verdict::Broken(format!("the node ended by itself: {end}"));
    }
    let seen = seen.lock().unwrap();
    let text = format!(
        "{} of {} requests are served with the value of another request ({} served, {} asked); of {} answers {} \
         came twice and {} spoilt",
        seen.foreign.len(),
        seen.asked,
        seen.served,
        seen.asked,
        counts.answers.load(Ordering::SeqCst),
        counts.twice.load(Ordering::SeqCst),
        counts.spoilt.load(Ordering::SeqCst)
    );
    for Foreign { id, value } in &seen.foreign {
        record.line("foreign", format!("{id} was served with the value made for {value}"));
    }
    if seen.foreign.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) }
}

#[derive(Default)]
struct Counts {
    connections: AtomicUsize,
    answers: AtomicUsize,
    twice: AtomicUsize,
    spoilt: AtomicUsize,
}

/// Starts a cache server. The value that it makes for a request is the request's id.
fn start(name: &'static str, counts: Arc<Counts>, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a cache server");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (counts, record) = (counts.clone(), record.clone());
            thread::spawn(move || serve(name, stream, &counts, &record));
        }
    });
    address
}

fn serve(
    name: &'static str,
    stream: TcpStream,
    counts: &Arc<Counts>,
    record: &Record,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let connection = counts.connections.fetch_add(1, Ordering::SeqCst);
    let who = format!("{name} #{connection}");
    let mut input = BufReader::new(stream.try_clone()?);
    // Held while a second answer is written and while a command is taken, with the number of commands taken.
    let taken = Arc::new(Mutex::new(0));
    let mut output = stream;
    loop {
        let Some(words) = read_command(&mut input)? else { return Ok(()) };
        let id = CacheCommand { words }.word(2);
        let mine = {
            let mut taken = taken.lock().unwrap();
            *taken += 1;
            *taken
        };
        record.line(&who, format!("has the whole command of {id}"));
        thread::sleep(Duration::from_millis(2));
        let number = counts.answers.fetch_add(1, Ordering::SeqCst) + 1;
        if trouble() && number % SPOILT_ONE_IN == 0 {
            counts.spoilt.fetch_add(1, Ordering::SeqCst);
            record.line(&who, format!("spoilt answer to {id}"));
            return give_spoilt(&mut output);
        }
        let answer = served(id.as_bytes());
        record.line(&who, format!("answers {id}"));
        output.write_all(&answer)?;
        let answered = Instant::now();
        if trouble() && number % TWICE_ONE_IN == 0 {
            let late = LATE_MS.0 + number as u64 % (LATE_MS.1 - LATE_MS.0 + 1);
            let (taken, counts, record, who) = (taken.clone(), counts.clone(), record.clone(), who.clone());
            let mut output = output.try_clone()?;
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(late));
                let taken = taken.lock().unwrap();
                // Only where nothing else waits on the connection.
                if *taken == mine && !has_input(&output) && answered.elapsed() < LATE_MOST {
                    counts.twice.fetch_add(1, Ordering::SeqCst);
                    record.line(&who, format!("answers {id} a second time; nothing waits"));
                    let _ = output.write_all(&answer);
                }
            });
        }
    }
}

/// Gives an answer that does not end: arrays whose lengths don't fit, with one long element after the other.
fn give_spoilt(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut element = format!("${}\r\n", 1 << 20).into_bytes();
    element.resize(element.len() + (1 << 20), b'x');
    element.extend_from_slice(b"\r\n");
    stream.write_all(b"*16\r\n*16\r\n*16\r\n")?;
    loop {
        stream.write_all(&element)?;
    }
}

/// Asks once a second, each time on a new connection, until the load ends.
fn ask(number: u64, node: SocketAddr, started: Instant, seen: &Mutex<Seen>, record: &Record) {
    for round in 0.. {
        let due = Duration::from_millis(round * 1000 + number * 1000 / CLIENTS);
        if due > LOAD || seen.lock().unwrap().foreign.len() >= ENOUGH {
            return;
        }
        thread::sleep(due.saturating_sub(started.elapsed()));
        let id = format!("{number}-{round}");
        let Ok(mut client) = Client::connect(node) else { continue };
        if client.send(&get(&format!("key{id}"), &id, "lookup", LOOKUP_MS)).is_err() {
            continue;
        }
        let answer = client.answer(Duration::from_secs(4));
        let mut seen = seen.lock().unwrap();
        seen.asked += 1;
        if let Answer::Value(value) = &answer {
            seen.served += 1;
            if value != id.as_bytes() {
                let value = String::from_utf8_lossy(value).into_owned();
                record.line("client", format!("{id}: value {value}"));
                seen.foreign.push(Foreign { id, value });
            }
        }
    }
}
