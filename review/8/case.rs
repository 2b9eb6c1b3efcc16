//! Case 8: answers of cache servers whose stated length does not fit, for values that are passed on as they come.

#[path = "../stand-ins-2/common.rs"]
mod common;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use common::*;

/// Length of the values, within the 4 MiB of the pages.
const VALUE: usize = 200_000;
/// How much less a spoilt answer says.
const MISSING: usize = 20_000;
/// One answer in so many is spoilt.
const SPOILT: u64 = 10;
const REQUESTS: u64 = 300;

/// The value of a key: lines that name it.
fn value_of(key: &str) -> Vec<u8> {
    format!("{key}\n").into_bytes().into_iter().cycle().take(VALUE).collect()
}

fn main() {
    let case = Case::from_args();
    let (record, trouble) = (case.record.clone(), case.trouble);
    let answers = Arc::new(AtomicU64::new(0));
    let cache = |name: &'static str| {
        let (record, answers) = (record.clone(), answers.clone());
        let address = start_cache(move |request, stream| {
            let value = value_of(&request.key);
            let mut answer = cache_answer(Some(&value), "hit");
            let number = answers.fetch_add(1, Ordering::Relaxed);
            let spoilt = trouble && number % SPOILT == SPOILT - 1;
            if spoilt {
                // The stated length does not fit: everything else is as it should be.
                let (stated, other) = (format!("${VALUE}\r\n"), format!("${}\r\n", VALUE - MISSING));
                answer.splice(4..4 + stated.len(), other.into_bytes());
            }
            let what = if spoilt { "answers, spoilt: states less than it sends" } else { "answers" };
            record.line(format!("{name} ran {} of {}, {what}", request.id, request.key));
            if stream.write_all(&answer).is_ok() { Then::Continue } else { Then::Close }
        });
        Endpoint::cache(name, address)
    };
    let mut servers = vec![cache("s-1"), cache("s-2"), cache("s-3")];
    servers.push(Endpoint::origin(start_origin(|request, stream| {
        let _ = stream.write_all(&origin_answer(&value_of(&request.key)));
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
    let mut breaks = Vec::new();
    let (mut served, mut other) = (0, 0);
    let mut client = None;
    for number in 0..REQUESTS {
        let (key, id) = (format!("{:016x}", 0x7f3a_9c21_0000_0000u64 + number % 40), format!("{number:016x}"));
        let patience = Duration::from_secs(6);
        let Some(mut input) = client.take().or_else(|| connect(node.address, patience)) else {
            case.cannot_run("the node takes no connection");
        };
        let sent = input.stream.write_all(&get(&key, &id, "c=zone-lookup,t=acme,d=1500"));
        record.line(format!("client sends {id} of {key}{}", if sent.is_ok() { "" } else { ", in vain" }));
        let answer = input.answer();
        record.line(format!("client is told of {id}: {}", answer.name()));
        match &answer {
            Answer::Served(value) if *value == value_of(&key) => served += 1,
            Answer::Served(value) => {
                breaks.push(format!("{id} was served whole with {} bytes, its value has {VALUE}", value.len()));
            }
            _ => other += 1,
        }
        if !matches!(answer, Answer::Closed { .. } | Answer::Nothing) {
            client = Some(input);
        }
    }
    record.say(format!("{REQUESTS} requests: {served} served, {other} with another end"));
    if served < REQUESTS / 2 {
        case.cannot_run("fewer than half of the requests were served");
    }
    case.finish(&breaks);
}
