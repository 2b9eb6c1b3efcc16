//! Cost of a cache hit in the core. Guards against allocations and calls for the store of record that a hit
//! does not need, and against timers of finished requests that wake the process.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{HIT, START, core, get};
use stonevane_core::{ConnId, Input, Output, Outputs};

const HITS: u64 = 500;

/// Cost of one client's reads that a cache serves.
struct Cost {
    /// Allocations of the core, without those of the first 100 reads.
    allocations: u64,
    /// Calls to the store of record.
    store_calls: u64,
    /// Wake-ups within 2 s after the last read.
    wakes: u64,
}

fn cost_of_hits(store: bool) -> Cost {
    let (mut core, mut now, mut out) = (core(store, 256, Duration::ZERO), START, Outputs::with_capacity(64));
    let (mut allocations, mut store_calls, mut served) = (0, 0, 0);
    let client = core.next_connection_id();
    core.handle(now, Input::Accepted(client), &mut out);
    for number in 0..HITS + 100 {
        let request = get(&format!("{:04}", number % 50), &format!("{number:04}"));
        now += 500;
        let mut next: Option<(ConnId, &[u8])> = Some((client, &request));
        let mut follow_ups = Vec::with_capacity(16);
        loop {
            let input = match next.take() {
                Some((id, bytes)) => Input::Bytes(id, bytes),
                None if follow_ups.is_empty() => break,
                None => follow_ups.remove(0),
            };
            let cost = allocation_counter::measure(|| core.handle(now, input, &mut out));
            allocations += if number < 100 { 0 } else { cost.count_total };
            while let Some(output) = out.pop_front() {
                match output {
                    Output::Open(id, _) => follow_ups.push(Input::Opened(id)),
                    Output::WriteRequest { id, .. } => {
                        follow_ups.push(Input::Flushed(id));
                        next = Some((id, HIT));
                    }
                    Output::Write(id, bytes) if id == client => {
                        assert_eq!(&bytes[..], b"$5\r\nvalue\r\n");
                        served += 1;
                        follow_ups.push(Input::Flushed(id));
                    }
                    Output::CallStore(..) => store_calls += 1,
                    _ => {}
                }
            }
            if let Some((id, _)) = next
                && !follow_ups.is_empty()
            {
                // The request is written before its reply arrives.
                core.handle(now, follow_ups.remove(0), &mut out);
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
    Cost { allocations, store_calls, wakes }
}

#[test]
fn a_cache_hit_makes_no_store_calls_and_no_allocations_for_the_store() {
    let (without, with) = (cost_of_hits(false), cost_of_hits(true));
    let allocations_per_hit = without.allocations as f64 / HITS as f64;
    println!(
        "allocations per hit: {allocations_per_hit}; for {HITS} hits with a store: {}",
        with.allocations
    );
    assert_eq!((with.allocations, with.store_calls), (without.allocations, 0));
    // Fails if a hit makes one more allocation.
    assert!(allocations_per_hit <= 21.0, "{allocations_per_hit} allocations per hit");
}

#[test]
fn a_finished_request_causes_no_wake_ups() {
    let wakes = cost_of_hits(false).wakes;
    assert!(wakes < HITS / 10, "{wakes} wake-ups");
}
