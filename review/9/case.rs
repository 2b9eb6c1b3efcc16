//! Case 9: requests that were sent at once with a read of a long value, whose cache server's connection breaks.

#[path = "../stand-ins-2/common.rs"]
mod common;

use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::*;

const LONG: usize = 1_000_000;
/// Batches; the connection breaks under the long value of every fourth one.
const BATCHES: u64 = 120;
const BREAK_EACH: u64 = 4;

fn main() {
    let case = Case::from_args();
    let (record, trouble) = (case.record.clone(), case.trouble);
    // What the servers ran, by request.
    let ran: Arc<Mutex<HashMap<String, &'static str>>> = Arc::default();
    let long_reads = Arc::new(AtomicU64::new(0));
    let cache = |name: &'static str| {
        let (record, ran, long_reads) = (record.clone(), ran.clone(), long_reads.clone());
        let address = start_cache(move |request, stream| {
            ran.lock().unwrap().insert(request.id.clone(), name);
            if !request.key.starts_with("10") {
                record.line(format!("{name} ran {}", request.id));
                let answer = cache_answer(Some(format!("value of {}", request.key).as_bytes()), "hit");
                return if stream.write_all(&answer).is_ok() { Then::Continue } else { Then::Close };
            }
            let answer = cache_answer(Some(&vec![b'z'; LONG]), "hit");
            let breaks = trouble && long_reads.fetch_add(1, Ordering::Relaxed) % BREAK_EACH == BREAK_EACH - 1;
            record.line(format!("{name} ran {}, {LONG} bytes{}", request.id, if breaks { ", and dies under it" } else { "" }));
            if !breaks {
                return if stream.write_all(&answer).is_ok() { Then::Continue } else { Then::Close };
            }
            let _ = stream.write_all(&answer[..LONG / 2]);
            thread::sleep(Duration::from_millis(150));
            Then::Close
        });
        Endpoint::cache(name, address)
    };
    let mut servers = vec![cache("s-1"), cache("s-2"), cache("s-3")];
    let (origin_record, origin_ran) = (record.clone(), ran.clone());
    servers.push(Endpoint::origin(start_origin(move |request, stream| {
        origin_record.line(format!("the origin ran {}", request.id));
        origin_ran.lock().unwrap().insert(request.id.clone(), "origin");
        let _ = stream.write_all(&origin_answer(format!("receipt of {}", request.id).as_bytes()));
        Then::Continue
    })));
    let discovery = Discovery::start(servers.clone());
    let mut classes = usual_classes();
    classes.push(Class { name: "redeem", effect: "side_effect", goal_ms: 300, deadline_ms: 600, window_ms: 0 });
    let config = Config {
        discovery: discovery.address,
        settings: settings(1, 0, &classes, "ask"),
        known: &servers,
        sockets: 256,
        memory_mb: 64,
        mgmt: None,
    };
    let node = Node::start(&case, "n1", &config);
    let mut breaks = Vec::new();
    let mut whole_batches = 0;
    for batch in 0..BATCHES {
        thread::sleep(Duration::from_millis(20));
        let Some(mut input) = connect(node.address, Duration::from_secs(6)) else {
            case.cannot_run("the node takes no connection");
        };
        // A long read, two short reads and a write that may not run twice, in one write.
        let ids: Vec<String> = (0..4u64).map(|at| format!("{batch:012x}{at:04x}")).collect();
        let lookup = "c=zone-lookup,t=acme,d=1500";
        let mut bytes = get(&format!("10{:014x}", batch % 20), &ids[0], lookup);
        bytes.extend(get(&format!("20{:014x}", batch % 20), &ids[1], lookup));
        bytes.extend(set(&format!("30{:014x}", batch % 20), &ids[2], "c=redeem,t=acme,d=600", b"one guest pass"));
        bytes.extend(get(&format!("21{:014x}", batch % 20), &ids[3], lookup));
        record.line(format!("client sends {} to {} at once", ids[0], ids[3]));
        if input.stream.write_all(&bytes).is_err() {
            continue;
        }
        let answers: Vec<Answer> = ids.iter().map(|_| input.answer()).collect();
        let told: Vec<String> = ids.iter().zip(&answers).map(|(id, answer)| format!("{id}: {}", answer.name())).collect();
        record.line(format!("client is told {}", told.join("; ")));
        if !answers.iter().any(|answer| matches!(answer, Answer::Closed { .. } | Answer::Nothing)) {
            whole_batches += 1;
            continue;
        }
        // The long value may break off where the client can tell. The others were not begun.
        for (id, answer) in ids.iter().zip(&answers).skip(1) {
            let place = ran.lock().unwrap().get(id).copied();
            if let (Answer::Closed { .. } | Answer::Nothing, Some(place)) = (answer, place) {
                breaks.push(format!("{id} was run by {place} and has no answer"));
            }
        }
    }
    record.say(format!("{BATCHES} batches, {whole_batches} answered whole"));
    if whole_batches < BATCHES / 3 {
        case.cannot_run("too few batches were answered whole");
    }
    case.finish(&breaks);
}
