//! Case 9: clients that send several commands at once to a node whose descriptors a crowd fills.

#[path = "../stand-ins-2/common.rs"]
mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Commands that a client sends at once.
const BATCH: usize = 8;
/// Connections of the crowd in a burst, which say nothing.
const CROWD: usize = 150;
const PLAY: Duration = Duration::from_secs(20);

fn main() {
    let case = Case::from_args();
    let record = case.record.clone();
    let cache = |name: &'static str| {
        let record = record.clone();
        let address = start_cache(move |request, stream| {
            record.line(format!("{name} runs {}", request.id));
            thread::sleep(Duration::from_millis(20));
            let answer = cache_answer(Some(format!("value of {}", request.key).as_bytes()), "hit");
            if stream.write_all(&answer).is_ok() { Then::Continue } else { Then::Close }
        });
        Endpoint::cache(name, address)
    };
    let mut servers = vec![cache("s-1"), cache("s-2"), cache("s-3")];
    servers.push(Endpoint::origin(start_origin(|request, stream| {
        let _ = stream.write_all(&origin_answer(format!("value of {}", request.key).as_bytes()));
        Then::Continue
    })));
    let discovery = Discovery::start(servers.clone());
    let config = Config {
        discovery: discovery.address,
        settings: settings(1, 0, &usual_classes(), "ask"),
        known: &servers,
        sockets: 256,
        memory_mb: 64,
        mgmt: None,
    };
    let node = Node::start(&case, "n1", &config);
    thread::sleep(Duration::from_secs(1));

    // The crowd: a burst of silent connections each 250 ms; each stays for 200 ms.
    let done = Arc::new(AtomicBool::new(false));
    if case.trouble {
        let (done, address, record) = (done.clone(), node.address, record.clone());
        thread::spawn(move || {
            while !done.load(Ordering::Relaxed) {
                let burst: Vec<_> = (0..CROWD).filter_map(|_| TcpStream::connect(address).ok()).collect();
                record.line(format!("the crowd has connected {} times", burst.len()));
                thread::sleep(Duration::from_millis(200));
                drop(burst);
                thread::sleep(Duration::from_millis(50));
            }
        });
    }
    let breaks = Arc::new(Mutex::new(Vec::new()));
    let counts = Arc::new(Mutex::new((0, 0, 0)));
    let start = Instant::now();
    let clients: Vec<_> = (0..4u64).map(|client| {
        let (record, address, breaks, counts) = (record.clone(), node.address, breaks.clone(), counts.clone());
        thread::spawn(move || {
            let mut batch = 0u64;
            while start.elapsed() < PLAY {
                batch += 1;
                thread::sleep(Duration::from_millis(7 + client));
                let Some(mut input) = connect(address, Duration::from_secs(3)) else { continue };
                let ids: Vec<String> = (0..BATCH as u64).map(|at| format!("{client:04x}{batch:08x}{at:04x}")).collect();
                let bytes: Vec<u8> = ids.iter().enumerate()
                    .flat_map(|(at, id)| get(&format!("{:016x}", 1 + at), id, "c=zone-lookup,t=acme,d=1500")).collect();
                // One write of less than 1 KiB: the commands arrive together.
                if input.stream.write_all(&bytes).is_err() {
                    continue;
                }
                let answers: Vec<Answer> = ids.iter().map(|_| input.answer()).collect();
                let whole = answers.iter().filter(|answer| !matches!(answer, Answer::Closed { .. } | Answer::Nothing)).count();
                let mut counts = counts.lock().unwrap();
                counts.0 += 1;
                if whole == BATCH {
                    counts.1 += 1;
                    continue;
                }
                let told = format!(
                    "client {client} sent {} to {} at once ({} bytes); {whole} answered, the first: {}; then: {}",
                    ids[0], ids[BATCH - 1], bytes.len(), answers[0].name(), answers[whole].name()
                );
                record.line(&told);
                if whole == 0 {
                    // A new connection may be shut unread in a crowd.
                    counts.2 += 1;
                } else {
                    breaks.lock().unwrap().push(told);
                }
            }
        })
    }).collect();
    for client in clients {
        let _ = client.join();
    }
    done.store(true, Ordering::Relaxed);
    let (batches, whole, unread) = *counts.lock().unwrap();
    record.say(format!("{batches} batches of {BATCH}: {whole} answered whole, {unread} connections shut with no answer"));
    let breaks = breaks.lock().unwrap().clone();
    if batches < 100 {
        case.cannot_run("too few batches");
    }
    case.finish(&breaks);
}
