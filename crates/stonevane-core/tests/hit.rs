//! What a cache hit costs the core, counted: nothing of it is for the store of record.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{HIT, START, core, get};
use stonevane_core::{ConnId, Input, Output, Outputs};

const HITS: u64 = 500;

/// What reads of one client cost that a cache answers.
struct Cost {
    /// Allocations of the core, the first reads' apart.
    allocations: u64,
    /// Calls that are no stream.
    calls: u64,
    /// Times that the core wants to be woken in the two seconds after them.
    wakes: u64,
}

fn hits(store: bool) -> Cost {
    let (mut core, mut now, mut out) = (core(store, 256, Duration::ZERO), START, Outputs::with_capacity(64));
    let (mut counted, mut calls, mut served) = (0, 0, 0);
    let client = core.next_connection_id();
    core.handle(now, Input::Accepted(client), &mut out);
    for at in 0..HITS + 100 {
        let ask = get(&format!("{:04}", at % 50), &format!("{at:04}"));
        now += 500;
        let mut next: Option<(ConnId, &[u8])> = Some((client, &ask));
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
                    Output::WriteRequest { id, .. } => {
                        told.push(Input::Flushed(id));
                        next = Some((id, HIT));
                    }
                    Output::Write(id, bytes) if id == client => {
                        assert_eq!(&bytes[..], b"$5\r\nvalue\r\n");
                        served += 1;
                        told.push(Input::Flushed(id));
                    }
                    Output::CallStore(..) => calls += 1,
                    _ => {}
                }
            }
            if let Some((id, _)) = next
                && !told.is_empty()
            {
                // First that the request is written, then its answer.
                core.handle(now, told.remove(0), &mut out);
                assert!(core.read_budget(id) > 0);
            }
        }
    }
    assert_eq!(served, HITS + 100);
    let (mut wakes, end) = (0, now + 2_000_000);
    while let Some(next) = core.next_timeout().filter(|next| *next < end) {
        core.handle(next, Input::Wake, &mut out);
        wakes += 1;
    }
    Cost { allocations: counted, calls, wakes }
}

#[test]
fn a_hit_pays_nothing_for_the_store() {
    let (without, with) = (hits(false), hits(true));
    let each = without.allocations as f64 / HITS as f64;
    println!("allocations of a hit: {each}, and for {HITS} of them {} with a store", with.allocations);
    assert_eq!((with.allocations, with.calls), (without.allocations, 0));
    // Bounded, so that a new one is seen.
    assert!(each <= 21.0, "{each}");
}

#[test]
fn a_request_that_is_over_wakes_nobody() {
    let wakes = hits(false).wakes;
    assert!(wakes < HITS / 10, "{wakes}");
}
