//! What a cache hit costs the core, counted: nothing of it is for the store of record.
#![allow(missing_docs)]

use std::net::SocketAddr;

use spardeal::settings::Deployment;
use spardeal::{Class, Settings, Tenant};
use stonevane_config::operator;
use stonevane_core::{ConnId, Core, Endpoint, Input, Listing, Output, Outputs, Setup};

const START: u64 = 1_790_000_000_000_000;
const HITS: u64 = 500;

fn core(store: bool) -> Core {
    let names = |name: &str| vec![name.to_owned()];
    let class = Class { aim: 1_000_000, deadline: 2_000_000, ..Class::default() };
    let settings = Settings {
        classes: vec![class],
        tenants: vec![Tenant { quota_per_s: 1e6 }],
        origin_kind: Some(1),
        max_attempts: 3,
        tick: 1_000,
        ..Settings::default()
    };
    let deployment = Deployment {
        settings,
        classes: names("read"),
        tenants: names("all"),
        zones: names("a"),
        kinds: vec!["cache".into(), "origin".into()],
        connect_timeout: 100_000,
        idle_close: 10_000_000,
        max_open: 1_024,
        load_names: Vec::new(),
    };
    let endpoint = |name: &str, port: u16| Endpoint {
        name: name.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)).to_string(),
        zone: "a".into(),
        kind: name.into(),
        group: 0,
        status: "active".into(),
        weight: 1.0,
        since_ms: 0,
    };
    let setup = Setup {
        deployment,
        seed: 1,
        sockets: 256,
        memory_mb: 64,
        known: Listing {
            index: 1,
            snapshot: true,
            endpoints: vec![endpoint("cache", 1), endpoint("origin", 2)],
        },
        discovery: SocketAddr::from(([127, 0, 0, 1], 3)),
        clients: operator::Clients::default(),
        servers: operator::Servers { rest: std::time::Duration::ZERO },
        store,
        copies: store,
    };
    Core::new(START, setup)
}

/// Plays reads of one client that a cache answers; the allocations of the core during them, the first ones apart,
/// and how many calls it made that are no stream.
fn hits(store: bool) -> (u64, u64) {
    let (mut core, mut now, mut out) = (core(store), START, Outputs::with_capacity(64));
    let (mut counted, mut calls, mut served) = (0, 0, 0);
    let client = core.next_id();
    core.handle(now, Input::Accepted(client), &mut out);
    for at in 0..HITS + 100 {
        let ask = format!(
            "*4\r\n$7\r\nOBJ.GET\r\n$4\r\n{:04}\r\n$4\r\n{at:04}\r\n$18\r\nc=read,t=all,d=900\r\n",
            at % 50
        );
        now += 500;
        let mut next: Option<(ConnId, &[u8])> = Some((client, ask.as_bytes()));
        let mut told = Vec::with_capacity(16);
        loop {
            let input = match next.take() {
                Some((id, bytes)) => Input::Bytes(id, bytes),
                None if told.is_empty() => break,
                None => told.remove(0),
            };
            let cost = allocation_counter::measure(|| core.handle(now, input, &mut out));
            counted += if at < 100 { 0 } else { cost.count_total };
            while let Some(output) = out.pop_front() {
                match output {
                    Output::Open(id, _) => told.push(Input::Opened(id)),
                    Output::Ask(id, _) => {
                        told.push(Input::Flushed(id));
                        next = Some((id, b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$0\r\n\r\n"));
                    }
                    Output::Write(id, bytes) if id == client => {
                        assert_eq!(&bytes[..], b"$5\r\nvalue\r\n");
                        served += 1;
                        told.push(Input::Flushed(id));
                    }
                    Output::Call(..) => calls += 1,
                    _ => {}
                }
            }
            if let Some((id, _)) = next
                && !told.is_empty()
            {
                // First that the request is written, then its answer.
                core.handle(now, told.remove(0), &mut out);
                assert!(core.reads(id) > 0);
            }
        }
    }
    assert_eq!(served, HITS + 100);
    (counted, calls)
}

#[test]
fn a_hit_pays_nothing_for_the_store() {
    let ((without, _), (with, calls)) = (hits(false), hits(true));
    println!("allocations of a hit: {} without a store, {} with one", per(without), per(with));
    assert_eq!((with, calls), (without, 0));
    // What one costs is bounded here, so that a new one is seen.
    assert!(per(without) <= 30.0, "{}", per(without));
}

fn per(counted: u64) -> f64 {
    counted as f64 / HITS as f64
}
