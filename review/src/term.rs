//! SIGTERM while a long value is being passed on: the node ends by itself and cuts the value off.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::*;

/// Length of the value, in bytes, and the time in which its cache server gives it.
const LONG: usize = 4 << 20;
const GIVEN_WITHIN: Duration = Duration::from_secs(4);
/// Time from SIGTERM to SIGKILL.
const KILL_AFTER: Duration = Duration::from_secs(10);

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::new();
    let origin = start_origin(|_, stream| write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    let cache_record = record.clone();
    let cache = start_cache(move |command, stream| {
        let value = vec![b'v'; LONG];
        write!(stream, "*3\r\n${LONG}\r\n")?;
        for piece in value.chunks(LONG / 64) {
            if let Err(error) = stream.write_all(piece) {
                cache_record.line("c1", format!("{} broken off: {error}", command.word(2)));
                return Err(error);
            }
            thread::sleep(GIVEN_WITHIN / 64);
        }
        stream.write_all(b"\r\n$-1\r\n$-1\r\n")?;
        cache_record.line("c1", format!("{} given whole", command.word(2)));
        Ok(())
    });
    let entries = vec![Entry::active("c1", cache, "std"), Entry::active("origin", origin, "origin")];
    let discovery = Discovery::start(1, entries.clone(), record);
    let config = NodeConfig {
        name: "n0",
        me: 0,
        memory_mb: 64,
        sockets: 256,
        known: list_json(1, true, &entries),
        settings: settings(1),
        arguments: String::new(),
    };
    let mut node = match Node::start(&config, discovery.address, &folder.0, record) {
        Ok(node) => node,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    thread::sleep(Duration::from_secs(2));
    let Ok(mut client) = Client::connect(node.address) else {
        return Verdict::CouldNotRun("the client can't connect".into());
    };
    if client.send(&get("long", "r1", "lookup", 1500)).is_err() {
        return Verdict::CouldNotRun("the client can't send".into());
    }
    let reader = thread::spawn(move || client.answer(Duration::from_secs(5)));
    thread::sleep(Duration::from_millis(500));
    if trouble() {
        node.signal(SIGTERM);
    }
    let told = Instant::now();
    let mut ended = None;
    while told.elapsed() < KILL_AFTER && !(reader.is_finished() && (ended.is_some() || !trouble())) {
        if ended.is_none() {
            ended = node.ended().map(|status| (status, told.elapsed().as_millis()));
        }
        thread::sleep(Duration::from_millis(5));
    }
    if trouble() && ended.is_none() {
        node.signal(SIGKILL);
    }
    let answer = reader.join().unwrap_or(Answer::Silence);
    let seen = format!("{}; the node ended: {ended:?} (ms behind SIGTERM)", answer.text());
    record.line("client", &seen);
    if matches!(answer, Answer::Value(_)) { Verdict::Held(seen) } else { Verdict::Broken(seen) }
}
