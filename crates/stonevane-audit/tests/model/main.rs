//! The streaming auditor against a slow and obvious one, on thousands of small random histories.
#![allow(missing_docs)]

mod generator;
mod model;

use std::collections::BTreeSet;

use generator::{About, draws, history, rules};
use model::{Found, Model};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use stonevane_audit::*;

fn compare(about: About, cases: u32) -> BTreeSet<String> {
    let config = ProptestConfig { cases, failure_persistence: None, ..ProptestConfig::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let seen = std::cell::RefCell::new(BTreeSet::new());
    let rules = rules();
    let ran = runner.run(&draws(about), |draws| {
        let lines = history(draws);
        let mut auditor = Auditor::new(rules.clone());
        lines.iter().enumerate().for_each(|(at, line)| auditor.handle_record(at + 2, line.clone()));
        let report = auditor.finish();
        let fast: Found = report.findings.iter().map(|f| (f.code.to_owned(), f.request.clone())).collect();
        let slow = Model { rules: &rules, lines: &lines }.found();
        seen.borrow_mut().extend(slow.iter().map(|(code, _)| code.clone()));
        let text: Vec<_> = lines.iter().map(stonevane_audit::HistoryRecord::to_json_line).collect();
        prop_assert_eq!(fast, slow, "\n{}", text.concat());
        Ok(())
    });
    if let Err(e) = ran {
        panic!("{e}");
    }
    seen.into_inner()
}

#[test]
fn the_auditor_says_what_the_slow_model_says() {
    let mut seen = compare(About::Everything, 3_000);
    seen.extend(compare(About::Load, 400));
    seen.extend(compare(About::Values, 3_000));
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
    assert!(missing.is_empty(), "never drawn, so never compared: {missing:?}");
}
