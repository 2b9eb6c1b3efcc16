//! Runs every scenario of the lab with the real node. This is a separate test binary, so that no other test
//! runs at the same time and disturbs its timing.
#![allow(missing_docs)]

use std::sync::Mutex;

mod common;

use common::{node, run, stonevane, text};

/// Runs a scenario, in its short form if it is a long one. An error states whether a rule was broken, and
/// describes the failure.
fn check_scenario(name: &str) -> Result<(), (bool, String)> {
    let long = ["busy-", "store-", "cold-"].iter().any(|kind| name.starts_with(kind));
    let more: &[&str] = if long { &["--short"] } else { &[] };
    let (code, json, printed) = run(name, more);
    if code == Some(0) {
        return Ok(());
    }
    let parts = [&json["expects"], &json["report"]["findings"], &json["summary"]["classes"]];
    Err((json["report"]["broken"] != 0, format!("{name}: exit {code:?}, {parts:?}\n{printed}")))
}

/// Scenarios wait most of the time, so two run at once per core (at most 6). The audit rules must hold under
/// any machine load. A scenario's expectations can depend on the machine's speed: a scenario that misses an
/// expectation runs again alone, and must then meet all of them.
#[test]
fn every_scenario_holds_with_the_real_node() {
    let listed = text(&stonevane(&["lab", "list"]).stdout);
    let names: Vec<_> =
        listed.lines().filter_map(|l| l.split_whitespace().next()).map(str::to_owned).collect();
    let remaining = Mutex::new(names);
    let (missed, failed) = (Mutex::new(Vec::new()), Mutex::new(Vec::new()));
    node();
    let concurrent = std::thread::available_parallelism().map_or(2, |cores| (2 * cores.get()).min(6));
    std::thread::scope(|scope| {
        for _ in 0..concurrent {
            scope.spawn(|| {
                loop {
                    let Some(name) = remaining.lock().unwrap().pop() else { return };
                    match check_scenario(&name) {
                        Ok(()) => {}
                        Err((true, printed)) => failed.lock().unwrap().push(printed),
                        Err((false, _)) => missed.lock().unwrap().push(name),
                    }
                }
            });
        }
    });
    let mut failed = failed.into_inner().unwrap();
    let missed = missed.into_inner().unwrap();
    failed.extend(missed.iter().filter_map(|name| check_scenario(name).err()).map(|(_, printed)| printed));
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
