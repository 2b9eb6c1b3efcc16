//! Runs stub nodes over real sockets. Guards against an auditor that misses a fault, reports it under another
//! rule, or reports findings for a correct node.
#![allow(missing_docs)]

use stonevane_audit::Rule;
use stonevane_lab::{NodeFault, NodeKind, Options, Outcome, Scenario, run};

const CALM: &str = "name = \"calm\"\n[load]\nper_s = 80\nfor_ms = 1200\nimpatient = 0.05\nmoves = 0.1\nedits = 0.2\n\
    [fleet]\nwarm_keys = 1\n";
const DRAIN: &str = "name = \"drain\"\n[load]\nper_s = 80\nfor_ms = 3000\nedits = 0\n[fleet]\nlate_ms = 50\n\
    [[fault]]\ndo = \"drain\"\nto = \"cache-1\"\nat_ms = 300\nfor_ms = 2600\n";
const TERM: &str = "name = \"term\"\n[load]\nper_s = 200\nfor_ms = 1500\nedits = 0\n[fleet]\nnodes = 1\n\
    [fleet.cache]\nwork_ms = 60\ncores = 64\n[[fault]]\ndo = \"node-term\"\nto = \"n0\"\nat_ms = 700\nfor_ms = 100\n";
/// Scenario in which one cache restarts cold. The cache then has a capacity of about 1.8 s of work in 2 s, so
/// 5.5 s of work in 2 s break the rule. The cache serves only misses, each of which is 10 ms of work.
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
fn assert_detected(text: &str, fault: NodeFault, nodes: Option<usize>, rule: Rule, code: &str) {
    let report = play(text, fault, nodes).report;
    assert!(!report.findings.is_empty(), "{fault:?} was not detected: {report}");
    for finding in &report.findings {
        assert_eq!((finding.rule, finding.code), (rule, code), "{fault:?}: {finding}");
        assert!(!finding.evidence.is_empty(), "{finding}");
    }
}

#[track_caller]
fn assert_no_findings(text: &str, fault: NodeFault, nodes: Option<usize>) {
    let outcome = play(text, fault, nodes);
    assert!(outcome.report.holds(), "{}: {}", outcome.scenario, outcome.report);
    assert!(outcome.report.requests > 20);
}

#[test]
fn a_correct_node_has_no_findings_in_any_scenario() {
    assert_no_findings(CALM, NodeFault::None, None);
    assert_no_findings(DRAIN, NodeFault::None, None);
    assert_no_findings(TERM, NodeFault::None, None);
    assert_no_findings(COLD, NodeFault::None, None);
}

#[test]
fn a_second_answer_is_detected() {
    assert_detected(CALM, NodeFault::AnswersTwice, None, Rule::FinalAnswer, "twice");
}

#[test]
fn a_late_answer_is_detected() {
    let text = CALM.replace("impatient = 0.05", "impatient = 0\ndeadline_ms = 400");
    assert_detected(&text, NodeFault::AnswersLate, None, Rule::FinalAnswer, "late");
}

#[test]
fn the_value_of_another_request_is_detected() {
    assert_detected(CALM, NodeFault::OtherValue, None, Rule::FinalAnswer, "value");
}

#[test]
fn a_stale_value_is_detected() {
    assert_detected(CALM, NodeFault::StaleValue, None, Rule::FinalAnswer, "value");
}

#[test]
fn requests_dropped_at_sigterm_are_detected() {
    assert_detected(TERM, NodeFault::LosesAtTerm, None, Rule::FinalAnswer, "lost");
}

#[test]
fn a_resent_non_idempotent_write_is_detected() {
    assert_detected(CALM, NodeFault::ResendsUnsafe, None, Rule::DuplicateEffects, "unsafe-again");
}

#[test]
fn sending_to_a_drained_server_is_detected() {
    assert_detected(DRAIN, NodeFault::IgnoresDrains, None, Rule::Draining, "drained");
}

#[test]
fn overload_of_a_cold_cache_by_one_node_is_detected() {
    assert_detected(COLD, NodeFault::Floods, Some(1), Rule::SlowStart, "cold-server");
}

#[test]
fn overload_of_a_cold_cache_is_detected_when_only_two_nodes_together_exceed_it() {
    let half = COLD.replace("per_s = 20", "per_s = 10");
    assert_no_findings(&half, NodeFault::FloodsTogether, Some(1));
    assert_detected(COLD, NodeFault::FloodsTogether, Some(2), Rule::SlowStart, "cold-server");
}

#[test]
fn attempts_that_differ_from_the_request_are_detected() {
    let reads = CALM.replace("edits = 0.2", "edits = 0").replace("moves = 0.1", "moves = 0");
    assert_detected(&reads, NodeFault::MixesKeys, Some(1), Rule::AttemptIntegrity, "wrong-key");
    assert_detected(CALM, NodeFault::SendsUnrequested, None, Rule::AttemptIntegrity, "unasked");
    assert_detected(CALM, NodeFault::OtherClass, None, Rule::AttemptIntegrity, "wrong-class");
    assert_detected(CALM, NodeFault::OtherBody, None, Rule::AttemptIntegrity, "wrong-body");
}

#[test]
fn excess_attempts_are_detected() {
    assert_detected(CALM, NodeFault::ExceedsAttemptLimit, None, Rule::Limits, "too-many");
}
