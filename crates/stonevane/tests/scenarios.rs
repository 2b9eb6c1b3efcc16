//! Runs every scenario of the lab with the real node. This is a separate test binary, so that no other test
//! runs at the same time and disturbs its timing.
#![allow(missing_docs)]

use std::sync::{Mutex, PoisonError};

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

/// Tests run one after the other, so that their scenarios do not disturb each other's timing.
static TURN: Mutex<()> = Mutex::new(());
/// Prefix of the scenarios in which many nodes start at once.
const COLD_START: &str = "cold-";

#[test]
fn every_scenario_holds_with_the_real_node() {
    check_scenarios(|name| !name.starts_with(COLD_START));
}

#[test]
fn every_cold_start_scenario_holds_with_the_real_node() {
    check_scenarios(|name| name.starts_with(COLD_START));
}

/// Checks the selected scenarios. They wait most of the time, so two run at once per core (at most 6). The
/// audit rules must hold under any machine load. A scenario's expectations can depend on the machine's speed: a
/// scenario that misses an expectation runs again alone, and must then meet all of them.
fn check_scenarios(is_selected: impl Fn(&str) -> bool) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let listed = text(&stonevane(&["lab", "list"]).stdout);
    let names = listed.lines().filter_map(|line| line.split_whitespace().next());
    let names: Vec<_> = names.filter(|name| is_selected(name)).map(str::to_owned).collect();
    assert!(!names.is_empty());
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
