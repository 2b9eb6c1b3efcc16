//! Compares the streaming auditor with a slow, simple reference model on thousands of small random histories.
#![allow(missing_docs)]

mod generator;
mod model;

use std::collections::BTreeSet;

use generator::{Focus, draws, history, rules};
use model::{Findings, Model};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use stonevane_audit::*;

/// Runs the auditor and the model on `cases` random histories; returns the codes of all findings of the
/// model.
fn compare(focus: Focus, cases: u32) -> BTreeSet<String> {
    let config = ProptestConfig { cases, failure_persistence: None, ..ProptestConfig::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let seen = std::cell::RefCell::new(BTreeSet::new());
    let rules = rules();
    let ran = runner.run(&draws(focus), |draws| {
        let lines = history(draws);
        let mut auditor = Auditor::new(rules.clone());
        lines.iter().enumerate().for_each(|(at, line)| auditor.handle_record(at + 2, line.clone()));
        let report = auditor.finish();
        let actual: Findings =
            report.findings.iter().map(|f| (f.code.to_owned(), f.request.clone())).collect();
        let expected = Model { rules: &rules, lines: &lines }.findings();
        seen.borrow_mut().extend(expected.iter().map(|(code, _)| code.clone()));
        let text: Vec<_> = lines.iter().map(stonevane_audit::HistoryRecord::to_json_line).collect();
        prop_assert_eq!(actual, expected, "\n{}", text.concat());
        Ok(())
    });
    if let Err(e) = ran {
        panic!("{e}");
    }
    seen.into_inner()
}

#[test]
fn the_auditor_has_the_same_findings_as_the_reference_model() {
    let mut seen = compare(Focus::Everything, 3_000);
    seen.extend(compare(Focus::Load, 400));
    seen.extend(compare(Focus::Values, 3_000));
    let all = [
        "twice",
        "late",
        "value",
        "stale",
        "lost",
        "unanswered",
        "refused-after-run",
        "unsafe-again",
        "window",
        "group",
        "sent-after-answer",
        "drained",
        "cold-server",
        "origin",
        "unasked",
        "wrong-node",
        "too-early",
        "wrong-key",
        "wrong-class",
        "wrong-token",
        "wrong-body",
        "too-many",
        "second-copy",
    ];
    let missing: Vec<_> = all.into_iter().filter(|code| !seen.contains(*code)).collect();
    assert!(
        missing.is_empty(),
        "no random history yields these codes, so they were not compared: {missing:?}"
    );
}
