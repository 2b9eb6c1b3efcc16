//! Case 9: a planned restart while clients slowly read long values.

#[path = "../stand-ins-2/common.rs"]
mod common;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// 4 MiB, the longest value of the pages.
const VALUE: usize = 4 * 1024 * 1024;
const CLIENTS: u64 = 4;
/// Reads that a client sends at once.
const BATCH: usize = 4;
/// A client reads so much, then rests: some 1.6 MB a second without a pause, 10 s for all its values.
const PIECE: usize = 80_000;
const REST: Duration = Duration::from_millis(50);
/// Time from the first byte of every value to SIGTERM.
const UNTIL_TERM: Duration = Duration::from_millis(300);
/// SIGKILL "comes no sooner than the longest deadline (3 s at most) and 0.7 s more after SIGTERM".
const KILL_AFTER: Duration = Duration::from_secs(15);

fn main() {
    let case = Case::from_args();
    let record = case.record.clone();
    let value = Arc::new(vec![b'z'; VALUE]);
    // What the caches ran, by request.
    let ran: Arc<Mutex<HashMap<String, &'static str>>> = Arc::default();
    let cache = |name: &'static str| {
        let (record, value, ran) = (record.clone(), value.clone(), ran.clone());
        let address = start_cache(move |request, stream| {
            ran.lock().unwrap().insert(request.id.clone(), name);
            record.line(format!("{name} ran {} and answers {VALUE} bytes", request.id));
            // The answer is given as fast as the node takes it.
            let given = stream.write_all(&cache_answer(Some(&value), "hit"));
            record.line(format!("{name} gave the answer of {} {}", request.id, if given.is_ok() { "whole" } else { "in part: the node ended the connection" }));
            if given.is_ok() { Then::Continue } else { Then::Close }
        });
        Endpoint::cache(name, address)
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
        sockets: 256,
        memory_mb: 64,
        mgmt: None,
    };
    let mut node = Node::start(&case, "n1", &config);
    thread::sleep(Duration::from_secs(2));
    let breaks = Arc::new(Mutex::new(Vec::new()));
    let begun = Arc::new(Mutex::new(0u64));
    let clients: Vec<_> = (0..CLIENTS).map(|client| {
        let (record, address, breaks, begun, ran) = (record.clone(), node.address, breaks.clone(), begun.clone(), ran.clone());
        thread::spawn(move || {
            // One after the other, so that a node that has just started refuses none.
            thread::sleep(Duration::from_millis(100 * client));
            let ids: Vec<String> = (0..BATCH).map(|at| format!("{client:012x}{at:04x}")).collect();
            let Some(mut input) = connect(address, Duration::from_secs(3)) else { return 0 };
            let facts = "c=zone-lookup,t=acme,d=1500";
            let commands: Vec<u8> = ids.iter().enumerate()
                .flat_map(|(at, id)| get(&format!("{:016x}", 0x51 + 16 * client + at as u64), id, facts)).collect();
            if input.stream.write_all(&commands).is_err() {
                return 0;
            }
            record.line(format!("client {client} sends {} to {} at once", ids[0], ids[BATCH - 1]));
            let (mut piece, mut input_bytes) = (vec![0; PIECE], Vec::new());
            let (start, mut total, mut answered, mut refused) = (Instant::now(), 0, 0, 0);
            while answered + refused < BATCH {
                match input.stream.read(&mut piece) {
                    Ok(count) if count > 0 => {
                        if total == 0 {
                            *begun.lock().unwrap() += 1;
                        }
                        total += count;
                        input_bytes.extend_from_slice(&piece[..count]);
                    }
                    _ => break,
                }
                loop {
                    let Some(end) = input_bytes.windows(2).take(64).position(|pair| pair == b"\r\n") else { break };
                    if input_bytes[0] != b'$' {
                        refused += 1;
                        input_bytes.drain(..end + 2);
                    } else if input_bytes.len() >= end + 2 + VALUE + 2 {
                        answered += 1;
                        record.line(format!("client {client} has answer {} whole, {VALUE} bytes", answered + refused));
                        input_bytes.drain(..end + 2 + VALUE + 2);
                    } else {
                        break;
                    }
                }
                thread::sleep(REST);
            }
            record.line(format!("client {client} has read {total} bytes in {:?}: {answered} served, {refused} refused or failed", start.elapsed()));
            for id in &ids[answered + refused..] {
                let place = ran.lock().unwrap().get(id).copied();
                if let Some(place) = place {
                    breaks.lock().unwrap().push(format!("{id}, sent before SIGTERM and run by {place}, has no whole answer"));
                }
            }
            answered
        })
    }).collect();
    let deadline = Instant::now() + Duration::from_secs(3);
    while *begun.lock().unwrap() < CLIENTS {
        if Instant::now() > deadline {
            case.cannot_run("not every value has begun");
        }
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(UNTIL_TERM);
    if case.trouble {
        record.line("SIGTERM");
        node.signal("TERM");
        let term = Instant::now();
        while term.elapsed() < KILL_AFTER {
            if let Some(status) = node.ended() {
                record.say(format!("the node ended by itself {:.2} s after SIGTERM ({status})", term.elapsed().as_secs_f64()));
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
    let whole = clients.into_iter().filter_map(|client| client.join().ok()).sum::<usize>();
    record.say(format!("{} values, {whole} read whole", CLIENTS as usize * BATCH));
    let breaks = breaks.lock().unwrap().clone();
    if whole < CLIENTS as usize {
        case.cannot_run("too few values were served");
    }
    case.finish(&breaks);
}
