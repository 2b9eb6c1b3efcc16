//! Histories that break a rule are found to break just that; histories at the very edge of each bound are not.
#![allow(missing_docs)]

mod attempts;
mod builder;
mod draining;
mod duplicate_effects;
mod emulators;
mod final_answer;
mod reading;
mod slow_start;
mod values;

use builder::MUTANT;
use stonevane_audit::Auditor;

#[test]
fn a_judgement_that_is_left_out_is_missed_by_these_tests() {
    let tests: [fn(); 15] = [
        final_answer::an_answer_twice_late_or_never_is_a_finding,
        final_answer::answers_within_each_bound_and_clients_that_left_are_no_findings,
        final_answer::a_close_that_crosses_a_request_is_no_finding_and_one_after_reading_it_is,
        values::a_foreign_made_up_or_stale_value_is_a_finding,
        final_answer::an_attempt_after_the_final_answer_is_a_finding,
        values::only_committed_versions_are_served_and_an_edit_is_committed_once,
        duplicate_effects::a_request_that_is_not_idempotent_runs_once,
        duplicate_effects::a_request_with_a_key_is_repeated_within_its_window_and_scope,
        draining::an_attempt_after_the_grace_of_a_drain_is_a_finding,
        slow_start::a_cold_server_overloaded_by_nodes_that_know_of_its_start_is_a_finding,
        slow_start::an_origin_overloaded_through_misses_at_cold_servers_is_found,
        final_answer::requests_to_a_process_that_ended_or_is_not_ready_are_excused,
        attempts::an_attempt_that_differs_from_its_request_is_a_finding,
        attempts::an_attempt_after_a_resend_or_seen_before_its_request_was_noted_is_no_finding,
        attempts::too_many_attempts_hedging_and_a_late_shutdown_are_findings,
    ];
    for without in Auditor::JUDGEMENTS {
        MUTANT.set((Some(without), false));
        for test in tests {
            test();
        }
        assert!(MUTANT.replace((None, false)).1, "no test misses the judgement `{without}`");
    }
}
