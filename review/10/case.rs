//! Case 10: a planned restart, and clients that send their next command while they still read an answer.

#[path = "../stand-ins-2/common.rs"]
mod common;

use std::io::{Read, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const VALUE: usize = 1024 * 1024;
const CLIENTS: u64 = 8;
/// A client reads so much, then rests: some 500 kB a second without a pause, 2 s for the value.
const PIECE: usize = 25_000;
const REST: Duration = Duration::from_millis(50);
/// From the first byte of every value to SIGTERM.
const UNTIL_TERM: Duration = Duration::from_millis(200);
/// From a client's first command to its second.
const SECOND_COMMAND: Duration = Duration::from_millis(1_600);
/// The platform's SIGKILL "comes no sooner than the longest deadline (3 s at most) and 0.7 s more after SIGTERM".
const KILL_AFTER: Duration = Duration::from_millis(2_200);

fn main() {
    let case = Case::from_args();
    let record = case.record.clone();
    let value = Arc::new(vec![b'z'; VALUE]);
    let cache = |name: &'static str| {
        let (record, value) = (record.clone(), value.clone());
        let address = start_cache(move |request, stream| {
            record.line(format!("{name} ran {}", request.id));
            let value: &[u8] = if request.key.starts_with("10") { &value } else { b"a short value" };
            if stream.write_all(&cache_answer(Some(value), "hit")).is_ok() { Then::Continue } else { Then::Close }
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
        let (record, address, breaks, begun) = (record.clone(), node.address, breaks.clone(), begun.clone());
        thread::spawn(move || {
            // One after the other, so that a node that has just started refuses none.
            thread::sleep(Duration::from_millis(30 * client));
            let ids = [format!("{client:012x}0000"), format!("{client:012x}0001")];
            let facts = "c=zone-lookup,t=acme,d=1500";
            let Some(mut input) = connect(address, Duration::from_secs(3)) else { return false };
            if input.stream.write_all(&get(&format!("10{client:014x}"), &ids[0], facts)).is_err() {
                return false;
            }
            record.line(format!("client {client} sends {}", ids[0]));
            let whole = format!("${VALUE}\r\n").len() + VALUE + 2;
            let (mut piece, mut received, mut has_sent) = (vec![0; PIECE], 0, false);
            let start = Instant::now();
            let end = loop {
                match input.stream.read(&mut piece) {
                    Ok(0) => break "the end of the stream".to_owned(),
                    Ok(count) => {
                        if received == 0 {
                            *begun.lock().unwrap() += 1;
                            if piece[0] != b'$' {
                                break format!("{}", String::from_utf8_lossy(&piece[..count]).trim());
                            }
                        }
                        received += count;
                    }
                    Err(error) => break error.to_string(),
                }
                if received > whole {
                    break "the second answer".to_owned();
                }
                if !has_sent && start.elapsed() >= SECOND_COMMAND && received < whole {
                    // The stream has not ended yet: the connection is open as far as the client can see.
                    let sent = input.stream.write_all(&get(&format!("20{client:014x}"), &ids[1], facts));
                    has_sent = true;
                    record.line(format!("client {client} sends {} behind {received} bytes: {sent:?}", ids[1]));
                }
                thread::sleep(REST);
            };
            record.line(format!("client {client} has {received} bytes, {whole} for the value, after {:?}, then {end}", start.elapsed()));
            if received > 0 && received < whole {
                breaks.lock().unwrap().push(format!("{} was cut off after {received} of {whole} bytes: {end}", ids[0]));
            }
            received >= whole
        })
    }).collect();
    let deadline = Instant::now() + Duration::from_secs(3);
    while *begun.lock().unwrap() < CLIENTS {
        if Instant::now() > deadline {
            case.cannot_run("not every client was answered");
        }
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(UNTIL_TERM);
    if case.trouble {
        record.line("SIGTERM");
        node.signal("TERM");
        let term = Instant::now();
        loop {
            if let Some(status) = node.ended() {
                record.say(format!("the node ended by itself {:.2} s after SIGTERM ({status})", term.elapsed().as_secs_f64()));
                break;
            }
            if term.elapsed() > KILL_AFTER {
                record.say("SIGKILL");
                node.signal("KILL");
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
    let whole = clients.into_iter().filter_map(|client| client.join().ok()).filter(|whole| *whole).count();
    record.say(format!("{CLIENTS} values, {whole} read whole"));
    let breaks = breaks.lock().unwrap().clone();
    if !case.trouble && whole < CLIENTS as usize / 2 {
        case.cannot_run("too few values were served");
    }
    case.finish(&breaks);
}
