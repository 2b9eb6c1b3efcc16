//! Each rule of the auditor: a history that violates it yields exactly that finding, and a history at the
//! edge of a bound yields none.
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

use builder::MUTATION;
use stonevane_audit::Auditor;

/// Mutation test of the tests: with one check disabled, at least one test must see other findings than it
/// expects.
#[test]
fn disabling_any_check_of_the_auditor_fails_a_test() {
    let tests: [fn(); 15] = [
        final_answer::a_repeated_late_or_missing_answer_is_a_finding,
        final_answer::answers_within_each_bound_and_clients_that_left_are_no_findings,
        final_answer::a_close_that_crosses_a_request_is_no_finding_and_one_after_reading_it_is,
        values::a_foreign_unknown_or_stale_value_is_a_finding,
        final_answer::an_attempt_after_the_final_answer_is_a_finding,
        values::an_uncommitted_value_and_an_edit_committed_twice_are_findings,
        duplicate_effects::a_repeat_of_a_request_that_is_not_idempotent_is_a_finding,
        duplicate_effects::a_repeat_with_a_key_outside_its_window_or_scope_is_a_finding,
        draining::an_attempt_at_a_draining_server_after_the_grace_period_is_a_finding,
        slow_start::a_cold_server_overloaded_by_nodes_that_know_of_its_start_is_a_finding,
        slow_start::assert_origin_overload_is_found,
        final_answer::requests_to_a_process_that_ended_or_is_not_ready_are_excused,
        attempts::an_attempt_that_differs_from_its_request_is_a_finding,
        attempts::an_attempt_after_a_resend_or_received_before_its_request_was_recorded_is_no_finding,
        attempts::too_many_attempts_hedging_and_a_late_shutdown_are_findings,
    ];
    for disabled_check in Auditor::CHECKS {
        MUTATION.set((Some(disabled_check), false));
        for test in tests {
            test();
        }
        assert!(MUTATION.replace((None, false)).1, "no test fails without the check `{disabled_check}`");
    }
}
