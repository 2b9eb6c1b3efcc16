//! A node that returns with its last list acknowledges an edit while a cache server that joined meanwhile keeps
//! the older value, which another node then serves.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::*;

const KEYS: usize = 150;
const PATIENCE: Duration = Duration::from_secs(3);
/// Time for which the restarted node is down.
const DOWN: Duration = Duration::from_secs(7);

struct Copy {
    version: u64,
    value: Vec<u8>,
    until: Instant,
}

/// What a cache server keeps: copies, and the versions below which it keeps nothing.
#[derive(Default)]
struct Kept {
    copies: HashMap<String, Copy>,
    voids: HashMap<String, (u64, Instant)>,
}

/// A cache server with the two commands of `fills = true`.
struct Cache {
    name: &'static str,
    kept: Mutex<Kept>,
    record: Record,
}

impl Cache {
    fn start(name: &'static str, record: &Record) -> (Arc<Cache>, SocketAddr) {
        let cache = Arc::new(Cache { name, kept: Mutex::default(), record: record.clone() });
        let served = cache.clone();
        (cache, start_cache(move |command, stream| served.answer(command, stream)))
    }

    fn holds(&self, key: &str) -> bool {
        let now = Instant::now();
        self.kept.lock().unwrap().copies.get(key).is_some_and(|copy| copy.until > now)
    }

    fn answer(&self, command: &CacheCommand, stream: &mut TcpStream) -> std::io::Result<()> {
        let mut kept = self.kept.lock().unwrap();
        let now = Instant::now();
        let (verb, key) = (command.word(0), command.word(1));
        let number = |position| command.word(position).parse::<u64>().unwrap_or(0);
        let until = now + Duration::from_millis(number(3));
        let said = |what: String| self.record.line(self.name, what);
        match verb.as_str() {
            "OBJ.GET" => {
                if let Some(copy) = kept.copies.get(&key).filter(|copy| copy.until > now) {
                    said(format!("{key} for {}: hit, version {}", command.word(2), copy.version));
                    return stream.write_all(&served(&copy.value));
                }
                said(format!("{key} for {}: miss", command.word(2)));
                match kept.voids.get(&key).filter(|(_, until)| *until > now) {
                    Some((version, _)) => {
                        let word = format!("miss:{version}");
                        write!(stream, "*3\r\n$-1\r\n${}\r\n{word}\r\n$-1\r\n", word.len())
                    }
                    None => stream.write_all(MISS),
                }
            }
            "OBJ.FILL" => {
                let version = number(2);
                let voided =
                    kept.voids.get(&key).is_some_and(|(below, until)| *until > now && version < *below);
                let newer = kept.copies.get(&key).is_some_and(|copy| copy.version > version);
                said(format!("fill {key}, version {version}"));
                if !voided && !newer {
                    kept.copies.insert(key, Copy { version, value: command.words[4].clone(), until });
                }
                stream.write_all(b"+OK\r\n")
            }
            "OBJ.VOID" => {
                let version = number(2);
                said(format!("void {key} below version {version}"));
                if kept.copies.get(&key).is_some_and(|copy| copy.version < version) {
                    kept.copies.remove(&key);
                }
                kept.voids.insert(key, (version, until));
                stream.write_all(b"+OK\r\n")
            }
            _ => stream.write_all(b"-ERR\r\n"),
        }
    }
}

pub fn play(record: &Record) -> Verdict {
    match run(record) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::CouldNotRun(error),
    }
}

fn run(record: &Record) -> Result<Verdict, String> {
    let folder = Folder::new();
    let (_, first) = Cache::start("c1", record);
    let (_, second) = Cache::start("c2", record);
    let (joined, third) = Cache::start("c3", record);
    let mut entries = vec![
        Entry::active("c1", first, "std"),
        Entry::active("c2", second, "std"),
        // Nobody listens at the origin's address: the store is in its place.
        Entry::active("origin", free_address(), "origin"),
    ];
    let before = list_json(41, true, &entries);
    let discovery = Discovery::start(41, entries.clone(), record);
    let operator = folder.0.join("operator.toml");
    let store = folder.0.join("zones.db");
    let text = format!(
        "version = 1\n[store]\nsqlite = \"{}\"\nfills = true\nedit_visibility = \"placement\"\n",
        store.display()
    );
    std::fs::write(&operator, text).map_err(|error| error.to_string())?;
    let config = |name, me, known: &str| NodeConfig {
        name,
        me,
        memory_mb: 64,
        sockets: 256,
        known: known.to_owned(),
        settings: settings(3),
        arguments: format!("--operator {}", operator.display()),
    };
    let start =
        |name, me, known: &str| Node::start(&config(name, me, known), discovery.address, &folder.0, record);
    let stays = start("n0", 0, &before)?;
    let _other = start("n1", 1, &before)?;
    let restarted = start("n2", 2, &before)?;
    thread::sleep(Duration::from_secs(3));

    let mut client = Client::connect(stays.address).map_err(|error| error.to_string())?;
    let keys: Vec<String> = (0..KEYS).map(|number| format!("area-{number}")).collect();
    for key in &keys {
        let id = format!("old-{key}");
        let _ = client.send(&set(key, &id, "edit", 1200, &id, b"old"));
        record.line("client", format!("edit to \"old\" of {key} at n0: {}", client.answer(PATIENCE).text()));
    }

    // The last list of the node that dies: without the disruption it dies when it knows the new cache server.
    let arrival = Entry { since_ms: unix_ms(), ..Entry::active("c3", third, "std") };
    let known =
        if trouble() { before } else { list_json(42, true, &[&entries[..], &[arrival.clone()]].concat()) };
    restarted.signal(SIGKILL);
    drop(restarted);
    let died = Instant::now();
    entries.push(arrival.clone());
    discovery.change(arrival);

    // While the node is down, the areas are read at a node that knows the new cache server.
    thread::sleep(Duration::from_millis(500));
    for key in &keys {
        let _ = client.send(&get(key, &format!("first-{key}"), "lookup", 1500));
        record.line("client", format!("read of {key} at n0: {}", client.answer(PATIENCE).text()));
        thread::sleep(Duration::from_millis(40));
    }
    thread::sleep(DOWN.saturating_sub(died.elapsed()));
    let kept: Vec<String> = keys.into_iter().filter(|key| joined.holds(key)).collect();
    record.line("c3", format!("keeps copies of {} areas", kept.len()));
    if kept.is_empty() {
        return Err("the new cache server was sent no copy".into());
    }
    let restarted = start("n2", 2, &known)?;
    let mut editor = Client::connect(restarted.address).map_err(|error| error.to_string())?;
    let (mut receipts, mut stale) = (0, 0);
    for key in &kept {
        let id = format!("new-{key}");
        let _ = editor.send(&set(key, &id, "edit", 1200, &id, b"new"));
        let receipt = editor.answer(PATIENCE);
        record.line("client", format!("edit to \"new\" of {key} at n2: {}", receipt.text()));
        if !matches!(receipt, Answer::Value(_)) {
            continue;
        }
        receipts += 1;
        let _ = client.send(&get(key, &format!("last-{key}"), "lookup", 1500));
        let read = client.answer(PATIENCE);
        record.line("client", format!("read of {key} at n0, asked behind the receipt: {}", read.text()));
        stale += usize::from(read == Answer::Value(b"old".to_vec()));
    }
    if receipts == 0 {
        return Err("no edit got a receipt".into());
    }
    let seen =
        format!("{stale} of {receipts} areas are served as they were before an edit that has its receipt");
    Ok(if stale > 0 { Verdict::Broken(seen) } else { Verdict::Held(seen) })
}
