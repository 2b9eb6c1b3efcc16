//! Case 9: a node that returns with its last list gives receipts for edits while a cache server that joined meanwhile
//! keeps the older areas, which another node serves.

#[path = "../stand-ins-2/common.rs"]
mod common;

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const AREAS: usize = 120;
/// The node is down for so long, of the 1.2 to 7.9 s of the pages.
const DOWN: Duration = Duration::from_secs(6);
/// From the last edit to the reads that count: "a change counts as told at the latest 6 s after discovery had it".
const UNTIL_TOLD: Duration = Duration::from_secs(8);
/// How long caches keep a copy: longer than the case.
const COPY_MS: u64 = 60_000;

/// What a cache server keeps: copies by key with their versions, and the versions below which it keeps nothing.
#[derive(Default)]
struct Kept {
    copies: HashMap<String, (u64, Vec<u8>)>,
    voids: HashMap<String, u64>,
}

/// A cache server that takes fills and voids from nodes (docs/operators/store.md).
fn start_copies(name: &'static str, record: &Record) -> (SocketAddr, Arc<Mutex<Kept>>) {
    let kept: Arc<Mutex<Kept>> = Arc::default();
    let (listener, address): (TcpListener, SocketAddr) = listen();
    let (served, record) = (kept.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (kept, record) = (served.clone(), record.clone());
            thread::spawn(move || {
                let mut input = Input::new(stream);
                while let Ok(Some(words)) = input.command() {
                    if answer(name, &kept, &record, &words, &mut input.stream).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, kept)
}

fn answer(name: &str, kept: &Mutex<Kept>, record: &Record, words: &[Vec<u8>], stream: &mut TcpStream) -> std::io::Result<()> {
    let text = |at: usize| words.get(at).map(|word| String::from_utf8_lossy(word).into_owned()).unwrap_or_default();
    let version = text(2).parse().unwrap_or(0);
    let (verb, key) = (text(0), text(1));
    let mut kept = kept.lock().unwrap();
    match verb.as_str() {
        "OBJ.GET" => match (kept.copies.get(&key), kept.voids.get(&key)) {
            (Some((version, value)), _) => {
                record.line(format!("{name}: {key} for {}: hit, version {version}", text(2)));
                stream.write_all(&cache_answer(Some(value), "hit"))
            }
            (None, Some(version)) => stream.write_all(&cache_answer(None, &format!("miss:{version}"))),
            (None, None) => stream.write_all(&cache_answer(None, "miss")),
        },
        "OBJ.FILL" => {
            record.line(format!("{name}: fill {key}, version {version}"));
            let is_voided = kept.voids.get(&key).is_some_and(|below| version < *below);
            if !is_voided && kept.copies.get(&key).is_none_or(|copy| copy.0 <= version) {
                let value = words.get(4).cloned().unwrap_or_default();
                kept.copies.insert(key, (version, value));
            }
            stream.write_all(b"+OK\r\n")
        }
        "OBJ.VOID" => {
            record.line(format!("{name}: void {key} below version {version}"));
            if kept.copies.get(&key).is_some_and(|copy| copy.0 < version) {
                kept.copies.remove(&key);
            }
            kept.voids.insert(key, version);
            stream.write_all(b"+OK\r\n")
        }
        "PING" => stream.write_all(b"+PONG\r\n"),
        "CLIENT" | "SELECT" => stream.write_all(b"+OK\r\n"),
        _ => stream.write_all(b"-ERR unknown command\r\n"),
    }
}

/// Sends a command on a kept connection and waits for its answer.
fn ask(case: &Case, client: &mut Input, what: &str, bytes: &[u8]) -> Answer {
    let sent = client.stream.write_all(bytes);
    let answer = if sent.is_ok() { client.answer() } else { Answer::Closed { partial: 0 } };
    let told = match &answer {
        Answer::Served(value) => format!("served {:?}", String::from_utf8_lossy(value)),
        other => other.name(),
    };
    case.record.line(format!("{what}: {told}"));
    answer
}

fn main() {
    let mut case = Case::from_args();
    let (first, _) = start_copies("s-1", &case.record);
    let (second, _) = start_copies("s-2", &case.record);
    let (third, joined) = start_copies("s-3", &case.record);
    // Nobody listens at the origin's address: the store of record is in its place.
    let servers = vec![Endpoint::cache("s-1", first), Endpoint::cache("s-2", second), Endpoint::origin(free_address())];
    let discovery = Discovery::start(servers.clone());
    let operator = case.folder.join("operator.toml");
    let text = format!(
        "version = 1\n[store]\nsqlite = \"{}\"\nfills = true\nedit_visibility = \"placement\"\ncopy_ms = {COPY_MS}\n",
        case.folder.join("zones.db").display()
    );
    if std::fs::write(&operator, text).is_err() {
        case.cannot_run("the operator file cannot be written");
    }
    case.run = format!("{} --operator {}", case.run, operator.display());
    let mut classes = usual_classes();
    classes[1] = Class { deadline_ms: 1200, goal_ms: 600, ..std::mem::replace(&mut classes[1], Class { name: "", effect: "", goal_ms: 0, deadline_ms: 0, window_ms: 0 }) };
    let config = |me: usize, known| Config {
        discovery: discovery.address,
        settings: settings(2, me, &classes, "ask"),
        known,
        sockets: 256,
        memory_mb: 64,
        mgmt: None,
    };
    let stays = Node::start(&case, "n0", &config(0, &servers));
    let mut returns = Node::start(&case, "n1", &config(1, &servers));
    thread::sleep(Duration::from_secs(4));
    let patience = Duration::from_secs(3);
    let Some(mut reader) = connect(stays.address, patience) else { case.cannot_run("n0 takes no connection") };
    let areas: Vec<String> = (0..AREAS).map(|number| format!("{number:016x}")).collect();
    for area in &areas {
        let id = format!("a{}", &area[1..]);
        let edit = set(area, &id, &format!("c=zone-edit,t=acme,d=1200,k={id}"), b"old");
        ask(&case, &mut reader, &format!("edit of {area} at n0"), &edit);
    }
    // A cache server joins while the other node is down. Without the disruption that node's last list has it.
    let arrival = Endpoint { since_ms: unix_ms(), ..Endpoint::cache("s-3", third) };
    let last_list = if case.trouble { servers.clone() } else { [&servers[..], &[arrival.clone()]].concat() };
    returns.signal("KILL");
    let _ = returns.child.wait();
    let died = Instant::now();
    case.record.line("n1 is killed, s-3 joins");
    discovery.change(arrival);
    thread::sleep(Duration::from_millis(500));
    for area in &areas {
        let read = get(area, &format!("b{}", &area[1..]), "c=zone-lookup,t=acme,d=1500");
        ask(&case, &mut reader, &format!("read of {area} at n0"), &read);
        thread::sleep(Duration::from_millis(35));
    }
    thread::sleep(DOWN.saturating_sub(died.elapsed()));
    let kept: Vec<String> = areas.into_iter().filter(|area| joined.lock().unwrap().copies.contains_key(area)).collect();
    case.record.line(format!("s-3 keeps {} areas", kept.len()));
    let returns = Node::start(&case, "n1", &config(1, &last_list));
    let Some(mut editor) = connect(returns.address, patience) else { case.cannot_run("n1 takes no connection") };
    let mut edited = Vec::new();
    for area in &kept {
        let id = format!("c{}", &area[1..]);
        let edit = set(area, &id, &format!("c=zone-edit,t=acme,d=1200,k={id}"), b"new");
        if !matches!(ask(&case, &mut editor, &format!("edit of {area} at n1"), &edit), Answer::Served(_)) {
            continue;
        }
        let read = get(area, &format!("d{}", &area[1..]), "c=zone-lookup,t=acme,d=1500");
        let at_once = ask(&case, &mut reader, &format!("read of {area} at n0, behind the receipt"), &read);
        edited.push((area, at_once));
    }
    let receipts = edited.len();
    let stale_at_once = edited.iter().filter(|(_, read)| *read == Answer::Served(b"old".to_vec())).count();
    // By then every node has been told of s-3, whatever arrived.
    thread::sleep(UNTIL_TOLD);
    let mut breaks = Vec::new();
    for (area, _) in &edited {
        let read = get(area, &format!("e{}", &area[1..]), "c=zone-lookup,t=acme,d=1500");
        if ask(&case, &mut reader, &format!("read of {area} at n0, much later"), &read) == Answer::Served(b"old".to_vec()) {
            breaks.push(format!("{area} was served as it was before an edit whose receipt is {} s old", UNTIL_TOLD.as_secs()));
        }
    }
    case.record.say(format!("{stale_at_once} of {receipts} areas were stale in the first read behind the receipt"));
    case.record.say(format!("s-3 kept {} areas, {receipts} edits had a receipt", kept.len()));
    if receipts == 0 {
        case.cannot_run("no edit had a receipt");
    }
    case.finish(&breaks);
}
