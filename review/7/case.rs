//! Case 7: a node that is held up for less than 0.1 s, and second copies of good answers: reads are served with the
//! values of other requests.

#[path = "../stand-ins-2/common.rs"]
mod common;

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const CLIENTS: usize = 40;
const PLAY: Duration = Duration::from_secs(30);
/// A second copy comes "some milliseconds late", and none that would be later than this.
const COPY_AFTER: Duration = Duration::from_millis(5);
const COPY_BEFORE: Duration = Duration::from_millis(12);
/// How long the node is held up in a round, of the 0.15 s of the pages.
const HELD_UP: Duration = Duration::from_millis(50);
/// Two reads of each client in a round: 320 requests a second at most.
const ROUND: Duration = Duration::from_millis(250);

fn main() {
    let case = Case::from_args();
    let (record, trouble) = (case.record.clone(), case.trouble);
    let cache = |name: &'static str| {
        let record = record.clone();
        Endpoint::cache(name, start_cache(move |request, stream| {
            let answer = cache_answer(Some(format!("value for {}", request.id).as_bytes()), "hit");
            record.line(format!("{name} answers {} on connection {}", request.id, request.connection));
            let mut sent = stream.write_all(&answer);
            // The first read of a round brings a second copy, if nothing else waits on the connection.
            if trouble && request.id.starts_with('a') {
                let answered_at = Instant::now();
                thread::sleep(COPY_AFTER);
                if answered_at.elapsed() < COPY_BEFORE && !has_input(stream) {
                    sent = stream.write_all(&answer);
                    record.line(format!("{name} answers {} on connection {} once more", request.id, request.connection));
                }
            }
            if sent.is_ok() { Then::Continue } else { Then::Close }
        }))
    };
    let mut servers = vec![cache("s-1"), cache("s-2"), cache("s-3")];
    servers.push(Endpoint::origin(start_origin(|_, stream| {
        let _ = stream.write_all(&origin_answer(b"value"));
        Then::Continue
    })));
    let discovery = Discovery::start(servers.clone());
    let config = Config {
        discovery: discovery.address,
        settings: settings(1, 0, &usual_classes(), "ask"),
        known: &servers,
        sockets: 512,
        memory_mb: 96,
        mgmt: None,
    };
    let node = Node::start(&case, "n1", &config);
    thread::sleep(Duration::from_secs(1));
    let patience = Duration::from_secs(3);
    let mut clients: Vec<Input> = (0..CLIENTS).filter_map(|_| connect(node.address, patience)).collect();
    if clients.len() < CLIENTS {
        case.cannot_run("the node takes no connection");
    }
    let start = Instant::now();
    let mut breaks = Vec::new();
    let (mut rounds, mut served, mut other) = (0u64, 0u64, 0u64);
    while start.elapsed() < PLAY {
        let next_round = Instant::now() + ROUND;
        rounds += 1;
        for phase in ["a", "b"] {
            let ids: Vec<String> = (0..CLIENTS).map(|client| format!("{phase}{rounds:07x}{client:08x}")).collect();
            for (at, (client, id)) in clients.iter_mut().zip(&ids).enumerate() {
                let key = format!("{:016x}", 1 + at as u64 + rounds % 7 * 100);
                let _ = client.stream.write_all(&get(&key, id, "c=zone-lookup,t=acme,d=1500"));
            }
            if phase == "b" && trouble {
                signal_at_once(node.pid(), SIGSTOP);
                record.line("the node is held up");
                thread::sleep(HELD_UP);
                signal_at_once(node.pid(), SIGCONT);
                record.line("the node goes on");
            }
            for (client, id) in clients.iter_mut().zip(&ids) {
                let answer = client.answer();
                match &answer {
                    Answer::Served(value) if *value == format!("value for {id}").into_bytes() => served += 1,
                    Answer::Served(value) => {
                        let told = format!("{id} was served with the {}", String::from_utf8_lossy(value));
                        record.line(&told);
                        breaks.push(told);
                    }
                    Answer::Closed { .. } | Answer::Nothing => {
                        other += 1;
                        let Some(new) = connect(node.address, patience) else { case.cannot_run("the node takes no connection") };
                        *client = new;
                    }
                    _ => other += 1,
                }
            }
        }
        thread::sleep(next_round.saturating_duration_since(Instant::now()));
    }
    record.say(format!("{rounds} rounds: {served} reads served with their values, {other} with another end"));
    if served < 1_000 {
        case.cannot_run("too few reads were served");
    }
    case.finish(&breaks);
}
