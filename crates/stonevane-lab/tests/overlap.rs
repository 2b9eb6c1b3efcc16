//! Runs scenarios with overlapping steps. Guards against steps that affect other nodes, restart a node twice
//! or too early, or cause audit findings for correct nodes.
#![allow(missing_docs)]

use std::io::BufReader;
use std::path::PathBuf;

use stonevane_audit::{Event, HistoryRecord, history};
use stonevane_lab::{NodeFault, NodeKind, Options, Outcome, Scenario, run};

const HEAD: &str = "name = \"overlap\"\n[load]\nper_s = 150\nfor_ms = 2500\nedits = 0.1\n[fleet]\nnodes = 4\nwarm_keys = 1\n";

fn step(what: &str, to: &str, at_ms: u64, for_ms: u64) -> String {
    format!("[[fault]]\ndo = \"{what}\"\nto = \"{to}\"\nat_ms = {at_ms}\nfor_ms = {for_ms}\n")
}

/// A history file, deleted on drop.
struct HistoryFile(PathBuf);

impl Drop for HistoryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Plays steps on a fleet of four nodes. Returns the outcome and the history.
fn play(name: &str, steps: &[String], kind: NodeKind) -> (Outcome, Vec<HistoryRecord>) {
    let path = std::env::temp_dir().join(format!("stonevane-overlap-{}-{name}.jsonl", std::process::id()));
    let file = HistoryFile(path);
    let scenario = Scenario::parse(&format!("{HEAD}{}", steps.concat())).unwrap();
    let options = Options { history: Some(file.0.clone()), ..Options::of(kind) };
    let outcome = run(&scenario, &options).unwrap();
    let mut lines = Vec::new();
    history::read(BufReader::new(std::fs::File::open(&file.0).unwrap()), |_, line| lines.push(line)).unwrap();
    (outcome, lines)
}

/// Returns the recorded states of a node, in order.
fn states(lines: &[HistoryRecord], node: &str) -> Vec<String> {
    let of = lines.iter().filter(|l| l.event == Event::Node && l.node == node);
    of.map(|l| l.state.clone()).collect()
}

#[track_caller]
fn assert_no_findings(outcome: &Outcome) {
    assert!(outcome.report.holds() && outcome.report.fault_count == 0, "{}", outcome.report);
    assert!(outcome.report.requests > 300, "{}", outcome.report);
}

const END: [&str; 2] = ["term", "exited"];

/// Guards against a kill that affects another node or is lost when several act at the same time.
#[test]
fn nodes_killed_together_restart_and_others_are_unaffected() {
    let steps = [
        step("node-kill", "n1", 500, 400),
        step("node-kill", "n2", 500, 400),
        step("node-kill", "n2", 950, 300),
    ];
    let (outcome, lines) = play("two", &steps, NodeKind::Stub(NodeFault::None));
    assert_no_findings(&outcome);
    let expected = |kills: usize| {
        let mut states = vec!["starting", "ready"];
        states.extend(["killed", "starting", "ready"].repeat(kills));
        states.extend(END);
        states
    };
    assert_eq!(states(&lines, "n0"), expected(0));
    assert_eq!(states(&lines, "n1"), expected(1));
    assert_eq!(states(&lines, "n2"), expected(2));
    assert_eq!(states(&lines, "n3"), expected(0));
}

/// Guards against a double start: a termination and a kill of one node overlap, and both restart it at their
/// end.
#[test]
fn overlapping_termination_and_kill_of_a_node_restart_it_once() {
    let steps = [
        step("node-term", "n1", 500, 300),
        step("node-kill", "n1", 505, 700),
        step("node-kill", "n3", 600, 100),
    ];
    let (outcome, lines) = play("cross", &steps, NodeKind::Stub(NodeFault::None));
    assert_no_findings(&outcome);
    let own = states(&lines, "n1");
    assert_eq!(own.iter().filter(|s| *s == "starting").count(), 2, "{own:?}");
    assert_eq!(own[own.len() - 3..], ["ready", "term", "exited"], "{own:?}");
}

/// Guards against a cache that restarts when a partition heals, or when the shorter of two overlapping kills
/// ends.
#[test]
fn a_cache_killed_during_a_partition_restarts_when_the_longer_kill_ends() {
    let partition = "[[fault]]\ndo = \"partition\"\none = [\"n0\", \"n1\"]\nother = [\"cache-1\"]\nat_ms = 300\nfor_ms = 500\n";
    let steps =
        [partition.to_owned(), step("kill", "cache-1", 500, 1_000), step("kill", "cache-1", 600, 300)];
    let (outcome, lines) = play("healed", &steps, NodeKind::Stub(NodeFault::None));
    assert!(outcome.report.holds(), "{}", outcome.report);
    let of = |event| {
        lines.iter().filter(move |l| l.event == event && l.recorder == "cache-1").map(|l| l.time.earliest)
    };
    let (down, up) = (of(Event::Down).collect::<Vec<_>>(), of(Event::Start).collect::<Vec<_>>());
    assert_eq!((down.len(), up.len()), (1, 2), "one death, and one start after the first");
    assert!(up[1] - down[0] > 900_000, "not when the partition healed nor when the shorter kill ended");
    let between = |l: &&HistoryRecord| {
        l.event == Event::Attempt
            && l.recorder == "cache-1"
            && l.time.earliest > down[0]
            && l.time.latest < up[1]
    };
    assert_eq!(lines.iter().filter(between).count(), 0, "no attempt reaches a dead cache");
}

/// Guards against a run that waits 10 s for a process that has already exited, or hides which node failed.
#[test]
fn a_process_that_exits_at_startup_fails_the_run_without_waiting_for_the_timeout() {
    let begun = std::time::Instant::now();
    let scenario = Scenario::parse(HEAD).unwrap();
    let kind = NodeKind::Process(PathBuf::from("/bin/false").into());
    let options = Options::of(kind);
    let error = run(&scenario, &options).unwrap_err().to_string();
    assert!(error.contains("n0 did not become ready"), "{error}");
    assert!(begun.elapsed().as_secs() < 5, "the run does not wait for a process that has ended");
}
