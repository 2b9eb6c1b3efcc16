//! The node is killed for memory while the origin's long values come behind interim answers.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::*;

/// `limits.memory_mb` of the node.
const MEMORY_MB: usize = 32;
/// Length of a long value, in bytes.
const LONG: usize = 2_400_000;
/// Bytes that the origin writes at once, and its pause after them: a long value takes about 0.5 s.
const PIECE: usize = 64 * 1024;
const PAUSE: Duration = Duration::from_millis(12);
/// Clients that ask for long values, each for one after the other.
const CLIENTS: usize = 40;
/// Time for which long values are asked for.
const LOAD: Duration = Duration::from_secs(12);

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::new();
    let value: Arc<Vec<u8>> = Arc::new((0..LONG).map(|at| b'a' + (at % 23) as u8).collect());
    let given = value.clone();
    let (open, most_open) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (now_open, most) = (open.clone(), most_open.clone());
    let origin_record = record.clone();
    let origin = start_origin(move |call, stream| {
        if !call.key.starts_with("long") {
            return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
        let at_once = now_open.fetch_add(1, Ordering::SeqCst) + 1;
        most.fetch_max(at_once, Ordering::SeqCst);
        origin_record.line("origin", format!("{} {} begins, {at_once} open", call.method, call.id));
        let written = give_long(&given, stream);
        now_open.fetch_sub(1, Ordering::SeqCst);
        origin_record.line("origin", format!("{} given: {written:?}", call.id));
        written
    });
    let mut entries = vec![Entry::active("origin", origin, "origin")];
    for name in ["c1", "c2", "c3"] {
        entries.push(Entry::active(name, start_cache(|_, stream| stream.write_all(MISS)), "std"));
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
    let mut node = match Node::start(&config, discovery.address, &folder.0, record) {
        Ok(node) => node,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    // The start-up limit ends, and the node learns that the origin is quick.
    thread::sleep(Duration::from_secs(3));
    if let Err(error) = warm_up(&node) {
        return Verdict::CouldNotRun(error);
    }
    let at_rest = node.memory();
    record.line("platform", format!("at rest the node holds {} KB", at_rest / 1024));

    let address = node.address;
    let stop = Stop::default();
    let counts = Arc::new(Mutex::new(BTreeMap::<&'static str, usize>::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, counts, record, value) = (stop.clone(), counts.clone(), record.clone(), value.clone());
            thread::spawn(move || ask_for_long_values(number, address, &stop, &counts, &record, &value))
        })
        .collect();
    let started = Instant::now();
    let mut peak = 0;
    let mut killed = None;
    while started.elapsed() < LOAD {
        let memory = node.memory();
        peak = peak.max(memory);
        if let Some(end) = node.ended() {
            killed = Some(format!("the node ended by itself: {end}"));
            break;
        }
        if memory > MEMORY_MB << 20 {
            let kb = memory / 1024;
            record.line("platform", format!("the node holds {kb} KB, over {MEMORY_MB} MB: it is killed"));
            node.signal(SIGKILL);
            killed = Some(format!(
                "killed for memory after {} ms of load: {kb} KB held, limit {} KB",
                started.elapsed().as_millis(),
                MEMORY_MB * 1024
            ));
            break;
        }
        thread::sleep(Duration::from_millis(2));
    }
    stop.set();
    for client in clients {
        let _ = client.join();
    }
    let counts = format!("{:?}", counts.lock().unwrap());
    record.line("clients", format!("long values: {counts}"));
    let most = most_open.load(Ordering::SeqCst);
    let seen = format!("peak {} KB, {most} long values open at the origin at most, {counts}", peak / 1024);
    match killed {
        Some(killed) => Verdict::Broken(format!("{killed}; {seen}")),
        None => Verdict::Held(seen),
    }
}

/// Gives a long value, with an interim answer ahead of it in the disruption.
fn give_long(value: &[u8], stream: &mut std::net::TcpStream) -> std::io::Result<()> {
    if trouble() {
        write!(stream, "HTTP/1.1 103 Early Hints\r\n\r\n")?;
    }
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", value.len())?;
    for piece in value.chunks(PIECE) {
        stream.write_all(piece)?;
        thread::sleep(PAUSE);
    }
    Ok(())
}

fn warm_up(node: &Node) -> Result<(), String> {
    let mut client = Client::connect(node.address).map_err(|error| error.to_string())?;
    let mut served = 0;
    for number in 0..400 {
        let id = format!("w{number}");
        client
            .send(&get(&format!("small{number}"), &id, "lookup", 1500))
            .map_err(|error| error.to_string())?;
        served += usize::from(matches!(client.answer(Duration::from_secs(2)), Answer::Value(_)));
        thread::sleep(Duration::from_millis(5));
    }
    if served < 300 { Err(format!("only {served} of 400 small values are served")) } else { Ok(()) }
}

fn ask_for_long_values(
    number: usize,
    node: std::net::SocketAddr,
    stop: &Stop,
    counts: &Mutex<BTreeMap<&'static str, usize>>,
    record: &Record,
    value: &[u8],
) {
    for round in 0.. {
        if stop.is_set() {
            return;
        }
        let id = format!("l{number}-{round}");
        let answer = match Client::connect(node) {
            Ok(mut client) => {
                let _ = client.send(&get(&format!("long{number}-{round}"), &id, "lookup", 1500));
                client.answer(Duration::from_secs(3))
            }
            Err(_) => Answer::Ended,
        };
        let kind = match &answer {
            Answer::Value(came) if came == value => "served",
            Answer::Value(_) => "another value",
            Answer::Cut { .. } => "cut off",
            Answer::Line(line) if line.starts_with("-BUSY") => "refused",
            Answer::Line(_) => "failed",
            Answer::Ended | Answer::Reset => "connection ended",
            Answer::Silence => "no answer",
        };
        *counts.lock().unwrap().entry(kind).or_default() += 1;
        if kind != "refused" {
            record.line("client", format!("{id}: {}", answer.text()));
        }
        thread::sleep(Duration::from_millis(100));
    }
}
