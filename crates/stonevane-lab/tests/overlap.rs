//! Steps that overlap, on the same node and on others: each node does what its own steps say, and correct ones are
//! accused of nothing.
#![allow(missing_docs)]

use std::io::BufReader;
use std::path::PathBuf;

use stonevane_audit::{Event, HistoryRecord, history};
use stonevane_lab::{NodeFault, NodeKind, Options, Outcome, Scenario, run};

const HEAD: &str = "name = \"overlap\"\n[load]\nper_s = 150\nfor_ms = 2500\nedits = 0.1\n[fleet]\nnodes = 4\nwarm_keys = 1\n";

fn step(what: &str, to: &str, at_ms: u64, for_ms: u64) -> String {
    format!("[[fault]]\ndo = \"{what}\"\nto = \"{to}\"\nat_ms = {at_ms}\nfor_ms = {for_ms}\n")
}

struct Kept(PathBuf);

impl Drop for Kept {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Plays steps on a fleet of four; the outcome, and its history.
fn play(name: &str, steps: &[String], kind: NodeKind) -> (Outcome, Vec<HistoryRecord>) {
    let path = std::env::temp_dir().join(format!("stonevane-overlap-{}-{name}.jsonl", std::process::id()));
    let kept = Kept(path);
    let scenario = Scenario::parse(&format!("{HEAD}{}", steps.concat())).unwrap();
    let options = Options { history: Some(kept.0.clone()), ..Options::of(kind) };
    let outcome = run(&scenario, &options).unwrap();
    let mut lines = Vec::new();
    history::read(BufReader::new(std::fs::File::open(&kept.0).unwrap()), |_, line| lines.push(line)).unwrap();
    (outcome, lines)
}

/// What became of a node, in order.
fn states(lines: &[HistoryRecord], node: &str) -> Vec<String> {
    let of = lines.iter().filter(|l| l.event == Event::Node && l.node == node);
    of.map(|l| l.state.clone()).collect()
}

#[track_caller]
fn correct(outcome: &Outcome) {
    assert!(outcome.report.holds() && outcome.report.faulty == 0, "{}", outcome.report);
    assert!(outcome.report.requests > 300, "{}", outcome.report);
}

const END: [&str; 2] = ["term", "exited"];

#[test]
fn two_nodes_killed_together_come_back_and_no_other_is_touched() {
    let steps = [
        step("node-kill", "n1", 500, 400),
        step("node-kill", "n2", 500, 400),
        step("node-kill", "n2", 950, 300),
    ];
    let (outcome, lines) = play("two", &steps, NodeKind::Stub(NodeFault::None));
    correct(&outcome);
    let life = |kills: usize| {
        let mut states = vec!["starting", "ready"];
        states.extend(["killed", "starting", "ready"].repeat(kills));
        states.extend(END);
        states
    };
    assert_eq!(states(&lines, "n0"), life(0));
    assert_eq!(states(&lines, "n1"), life(1));
    assert_eq!(states(&lines, "n2"), life(2));
    assert_eq!(states(&lines, "n3"), life(0));
}

#[test]
fn a_term_that_crosses_a_kill_of_the_same_node_brings_it_back_once() {
    let steps = [
        step("node-term", "n1", 500, 300),
        step("node-kill", "n1", 505, 700),
        step("node-kill", "n3", 600, 100),
    ];
    let (outcome, lines) = play("cross", &steps, NodeKind::Stub(NodeFault::None));
    correct(&outcome);
    let own = states(&lines, "n1");
    assert_eq!(own.iter().filter(|s| *s == "starting").count(), 2, "{own:?}");
    assert_eq!(own[own.len() - 3..], ["ready", "term", "exited"], "{own:?}");
}

#[test]
fn a_cache_killed_within_a_partition_that_heals_while_it_is_dead_comes_back_at_its_own_time() {
    let parted = "[[fault]]\ndo = \"partition\"\none = [\"n0\", \"n1\"]\nother = [\"cache-1\"]\nat_ms = 300\nfor_ms = 500\n";
    let steps = [parted.to_owned(), step("kill", "cache-1", 500, 1_000), step("kill", "cache-1", 600, 300)];
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
    assert_eq!(lines.iter().filter(between).count(), 0, "nothing comes to the dead");
}

#[test]
fn a_program_that_crashes_at_its_start_is_a_failure_with_its_log_and_soon() {
    let begun = std::time::Instant::now();
    let scenario = Scenario::parse(HEAD).unwrap();
    let kind = NodeKind::Process(PathBuf::from("/bin/false").into());
    let options = Options::of(kind);
    let error = run(&scenario, &options).unwrap_err().to_string();
    assert!(error.contains("n0 did not become ready"), "{error}");
    assert!(begun.elapsed().as_secs() < 5, "it is not waited for when it has ended");
}
