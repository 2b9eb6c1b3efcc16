//! Guards against settings whose numbers are out of range: they must be rejected or give finite limits and
//! timers.
#![allow(missing_docs)]

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use stonevane_policy::*;

/// Generates a settings text with numbers of any size, and whether it must be accepted.
fn settings_text() -> impl Strategy<Value = (String, bool)> {
    let number = || prop::sample::select(vec![0.0, 1.0, 1e3, 1e6, 8.64e10, 1e12, 1e30]);
    let count = || prop::sample::select(vec![0u32, 1, 4, 100, u32::MAX]);
    (count(), count(), prop::collection::vec(number(), 7)).prop_map(|(nodes, index, numbers)| {
        let [period, objective, deadline, quota, staleness, warm_up, window]: [f64; 7] =
            numbers.try_into().unwrap();
        let text = format!(
            r#"{{"balancers":{nodes},"me":{index},"discovery":"ask","periodUs":{period},"zones":["a"],
               "classes":[{{"name":"read","effect":"pure","goalTimeUs":{objective},"deadlineUs":{deadline}}}],
               "realms":[{{"name":"all","quotaPerS":{quota}}}],"specifics":{{"mode":"aside","originKind":1}},
               "guarantees":{{"askWithinUs":{staleness},"coldUs":{warm_up},"tipAfterUs":{window}}}}}"#
        );
        let times = [period, objective, deadline, staleness, warm_up, window];
        let required_set = objective > 0.0 && deadline > 0.0 && staleness > 0.0;
        let valid =
            required_set && nodes > index && quota <= 1e9 && times.iter().all(|time| *time <= 8.64e10);
        (text, valid)
    })
}

#[test]
fn settings_of_any_size_are_rejected_in_one_line_or_give_finite_limits() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let mut runner = TestRunner::new_with_rng(Config { cases: 500, ..Config::default() }, rng);
    let check = |(text, valid): (String, bool)| {
        let deployment = stonevane_policy::settings::read(text.as_bytes());
        prop_assert_eq!(deployment.is_ok(), valid, "{:?}", deployment.err());
        let settings = match deployment {
            Ok(deployment) => deployment.settings,
            Err(error) => {
                let line = error.to_string();
                prop_assert!(line.lines().count() == 1 && line.len() < 200, "{line}");
                return Ok(());
            }
        };
        let mut node = Node::just_started(settings, 3);
        for id in 1..=60 {
            node.list(ListUpdate::Failed, Vec::new());
            let mut actions = node.request(read(id, id));
            for attempt in 0..3 {
                let Some(server) = sent_to(&actions) else { break };
                actions = node.outcome(
                    id,
                    attempt,
                    server,
                    [AttemptStatus::Miss, AttemptStatus::Rejected][usize::from(attempt > 0)],
                );
            }
            node.advance(SECOND / 2);
        }
        let calls = node.actions.iter().filter(|action| **action == Action::Subscribe(true)).count();
        prop_assert!(calls <= 62, "{calls} failed calls to discovery in half a minute");
        let delays = node.actions.iter().filter_map(|action| match action {
            Action::Timer { after, .. } => Some(*after),
            _ => None,
        });
        prop_assert!(delays.clone().count() <= 10_000, "{} timers in half a minute", delays.clone().count());
        prop_assert!(delays.max().unwrap_or(0) <= 2 * 86_400 * SECOND);
        Ok(())
    };
    runner.run(&settings_text(), check).unwrap();
}
