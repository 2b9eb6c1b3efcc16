//! Stub nodes over real sockets: each faulty one is caught at what it does and at nothing else, the correct one is not
//! accused through the same faults.
#![allow(missing_docs)]

use stonevane_audit::Rule;
use stonevane_lab::{NodeFault, NodeKind, Options, Outcome, Scenario, run};

const CALM: &str = "name = \"calm\"\n[load]\nper_s = 80\nfor_ms = 1200\nimpatient = 0.05\nmoves = 0.1\nedits = 0.2\n\
    [fleet]\nwarm_keys = 1\n";
const DRAIN: &str = "name = \"drain\"\n[load]\nper_s = 80\nfor_ms = 3000\nedits = 0\n[fleet]\nlate_ms = 50\n\
    [[fault]]\ndo = \"drain\"\nto = \"cache-1\"\nat_ms = 300\nfor_ms = 2600\n";
const TERM: &str = "name = \"term\"\n[load]\nper_s = 200\nfor_ms = 1500\nedits = 0\n[fleet]\nnodes = 1\n\
    [fleet.cache]\nwork_ms = 60\ncores = 64\n[[fault]]\ndo = \"node-term\"\nto = \"n0\"\nat_ms = 700\nfor_ms = 100\n";
/// One cache restarts, cold; it can do about 1.8 s of work in 2 s, so that 5.5 s are too much. A miss, which is
/// all that it does, is 10 ms of work.
const COLD: &str = "name = \"cold\"\n[load]\nper_s = 20\nfor_ms = 3600\nedits = 0\nretries = 0\nkeys = 5000\nzipf = 0\n[fleet]\nlate_ms = 20\n\
    warm_keys = 1\nmax_attempts = 0\n[fleet.cache]\nwork_ms = 100\ncores = 2\ncold_share = 0.35\nwarm_ms = 7500\n\
    [fleet.origin]\nslots = 200\n\
    [[fault]]\ndo = \"kill\"\nto = \"cache-0\"\nat_ms = 200\nfor_ms = 200\n";

fn play(text: &str, fault: NodeFault, nodes: Option<usize>) -> Outcome {
    let scenario = Scenario::parse(text).unwrap();
    let options = Options { nodes, ..Options::of(NodeKind::Stub(fault)) };
    run(&scenario, &options).unwrap()
}

#[track_caller]
fn caught(text: &str, fault: NodeFault, nodes: Option<usize>, rule: Rule, code: &str) {
    let report = play(text, fault, nodes).report;
    assert!(!report.findings.is_empty(), "{fault:?} was not caught: {report}");
    for finding in &report.findings {
        assert_eq!((finding.rule, finding.code), (rule, code), "{fault:?}: {finding}");
        assert!(!finding.evidence.is_empty(), "{finding}");
    }
}

#[track_caller]
fn correct(text: &str, fault: NodeFault, nodes: Option<usize>) {
    let outcome = play(text, fault, nodes);
    assert!(outcome.report.holds(), "{}: {}", outcome.scenario, outcome.report);
    assert!(outcome.report.requests > 20);
}

#[test]
fn a_correct_stub_node_is_not_accused_through_the_same_faults() {
    correct(CALM, NodeFault::None, None);
    correct(DRAIN, NodeFault::None, None);
    correct(TERM, NodeFault::None, None);
    correct(COLD, NodeFault::None, None);
}

#[test]
fn one_that_answers_twice_is_caught() {
    caught(CALM, NodeFault::AnswersTwice, None, Rule::FinalAnswer, "twice");
}

#[test]
fn one_that_answers_late_is_caught() {
    let text = CALM.replace("impatient = 0.05", "impatient = 0\ndeadline_ms = 400");
    caught(&text, NodeFault::AnswersLate, None, Rule::FinalAnswer, "late");
}

#[test]
fn one_that_gives_the_value_of_another_request_is_caught() {
    caught(CALM, NodeFault::OtherValue, None, Rule::FinalAnswer, "value");
}

#[test]
fn one_that_keeps_values_and_gives_old_ones_is_caught() {
    caught(CALM, NodeFault::StaleValue, None, Rule::FinalAnswer, "value");
}

#[test]
fn one_that_drops_what_it_holds_at_sigterm_is_caught() {
    caught(TERM, NodeFault::LosesAtTerm, None, Rule::FinalAnswer, "lost");
}

#[test]
fn one_that_sends_an_unsafe_write_again_is_caught() {
    caught(CALM, NodeFault::ResendsUnsafe, None, Rule::DuplicateEffects, "unsafe-again");
}

#[test]
fn one_that_sends_to_a_server_past_its_drain_is_caught() {
    caught(DRAIN, NodeFault::IgnoresDrains, None, Rule::Draining, "drained");
}

#[test]
fn one_that_floods_a_cold_cache_alone_is_caught() {
    caught(COLD, NodeFault::Floods, Some(1), Rule::SlowStart, "cold-server");
}

#[test]
fn two_that_flood_a_cold_cache_only_together_are_caught_and_one_of_them_is_not() {
    let half = COLD.replace("per_s = 20", "per_s = 10");
    correct(&half, NodeFault::FloodsTogether, Some(1));
    caught(COLD, NodeFault::FloodsTogether, Some(2), Rule::SlowStart, "cold-server");
}

#[test]
fn one_that_sends_something_else_than_it_was_asked_is_caught() {
    let reads = CALM.replace("edits = 0.2", "edits = 0").replace("moves = 0.1", "moves = 0");
    caught(&reads, NodeFault::MixesKeys, Some(1), Rule::AttemptIntegrity, "wrong-key");
    caught(CALM, NodeFault::Invents, None, Rule::AttemptIntegrity, "unasked");
    caught(CALM, NodeFault::OtherClass, None, Rule::AttemptIntegrity, "wrong-class");
    caught(CALM, NodeFault::OtherBody, None, Rule::AttemptIntegrity, "wrong-body");
}

#[test]
fn one_that_asks_too_often_is_caught() {
    caught(CALM, NodeFault::AsksTooOften, None, Rule::Limits, "too-many");
}
