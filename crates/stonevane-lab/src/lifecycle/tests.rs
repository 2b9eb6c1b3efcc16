use proptest::prelude::*;

use super::*;

/// Guards against late reports of a killed incarnation: a node is killed while it starts, then reports ready
/// and ended.
#[test]
fn reports_of_an_incarnation_killed_while_starting_are_ignored() {
    let mut states = NodeStates::new(3);
    let first = states.start(1).unwrap();
    assert!(states.mark_ready(1, first));
    assert_eq!(states.kill(1), Some(first));
    assert!(states.release(1));
    let second = states.start(1).unwrap();
    assert_eq!(states.kill(1), Some(second), "while it starts");
    assert!(!states.mark_ready(1, second) && !states.mark_ended(1, second));
    assert!(states.release(1) && states.start(1).is_some());
    assert_eq!(states.get(0).0, State::Dead, "other nodes are unaffected");
}

/// Guards against a node that starts too early: a termination and a kill overlap, and only one of them has
/// ended.
#[test]
fn overlapping_termination_and_kill_hold_the_node_until_both_end() {
    let mut states = NodeStates::new(1);
    let incarnation = states.start(0).unwrap();
    states.mark_ready(0, incarnation);
    assert_eq!(states.terminate(0), Some(incarnation));
    assert_eq!(states.kill(0), Some(incarnation), "an ending node can be killed");
    assert_eq!(states.terminate(0), None, "there is no process to signal");
    assert!(!states.mark_ended(0, incarnation));
    assert!(!states.release(0) && states.start(0).is_none());
    assert!(!states.release(0) && states.release(0) && states.start(0).is_some());
}

/// Guards against a node that restarts while a step still holds it, because its process ended before the
/// step.
#[test]
fn a_held_node_stays_dead_until_the_step_ends() {
    let mut states = NodeStates::new(1);
    let incarnation = states.start(0).unwrap();
    states.mark_ready(0, incarnation);
    assert_eq!(states.terminate(0), Some(incarnation));
    assert!(states.mark_ended(0, incarnation) && !states.mark_ended(0, incarnation), "once");
    assert!(states.start(0).is_none() && states.release(0) && states.start(0).is_some());
    // A node that ends by itself with no step holding it stays dead.
    let incarnation = states.get(0).1;
    assert!(states.mark_ended(0, incarnation));
    assert_eq!(states.kill(0), None, "there is no process to kill");
    assert!(states.release(0), "the end of a hold restarts it");
}

/// Guards against a pause that ends with the first of two overlapping steps, or that carries over to the next
/// incarnation after a kill.
#[test]
fn a_pause_lasts_until_all_its_steps_end_and_not_beyond_its_incarnation() {
    let mut states = NodeStates::new(1);
    assert_eq!(states.pause(0), None, "there is no process");
    let incarnation = states.start(0).unwrap();
    let paused = |was_running| Some(Paused { incarnation, was_running });
    states.mark_ready(0, incarnation);
    assert_eq!((states.pause(0), states.pause(0)), (paused(true), paused(false)));
    assert!(
        !states.resume(0, incarnation)
            && states.is_paused(0)
            && states.resume(0, incarnation)
            && !states.is_paused(0)
    );
    states.pause(0);
    assert_eq!(states.kill(0), Some(incarnation), "a paused node can be killed");
    assert!(states.release(0) && !states.is_paused(0));
    let next = states.start(0).unwrap();
    assert!(
        !states.is_paused(0) && !states.resume(0, incarnation),
        "the end of the old pause does not affect the new incarnation"
    );
    assert!(states.is(0, next, State::Starting));
}

/// A step: the node, whether it kills the node (or terminates it), the time of its beginning and its
/// duration.
type Step = (usize, bool, u64, u64);

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a state that disagrees with the process: random kills and terminations overlap, and
    /// incarnations become ready, end after a signal or end by themselves at random times.
    #[test]
    fn states_match_the_processes_and_only_endless_steps_leave_nodes_down(
        steps in proptest::collection::vec((0usize..4, any::<bool>(), 0u64..50, 1u64..30), 0..12),
        endless in 0usize..3,
        chances in proptest::collection::vec(0u8..8, 100),
    ) {
        let mut states = NodeStates::new(4);
        let steps: Vec<Step> = steps;
        let mut processes: [Option<Incarnation>; 4] = [None; 4];
        for (node, process) in processes.iter_mut().enumerate() {
            *process = states.start(node);
            prop_assert!(states.mark_ready(node, process.unwrap_or(0)));
        }
        let mut signalled = [0; 4];
        let end_of = |at: usize, step: &Step| if at < endless { u64::MAX } else { step.2 + step.3 };
        for now in 0..100u64 {
            for (at, step) in steps.iter().enumerate() {
                let (node, kills, begun, _) = *step;
                if end_of(at, step) == now {
                    // A termination step ends only after the process has ended.
                    if let (State::Ending, incarnation) = states.get(node) {
                        prop_assert!(states.mark_ended(node, incarnation));
                        processes[node] = None;
                    }
                    if states.release(node) {
                        processes[node] = states.start(node);
                        prop_assert!(processes[node].is_some());
                    }
                }
                if begun == now && kills {
                    prop_assert_eq!(states.kill(node), processes[node].take());
                } else if begun == now
                    && let Some(incarnation) = states.terminate(node)
                {
                    prop_assert_eq!(processes[node], Some(incarnation));
                    signalled[node] = incarnation;
                }
            }
            // One process becomes ready or ends.
            let (node, chance) = (now as usize % 4, chances[now as usize]);
            match processes[node] {
                Some(incarnation) if signalled[node] == incarnation && chance > 3 => {
                    prop_assert!(states.mark_ended(node, incarnation));
                    processes[node] = None;
                }
                Some(incarnation) if chance > 2 => {
                    states.mark_ready(node, incarnation);
                }
                _ => {}
            }
            for (node, process) in processes.iter().enumerate() {
                let (state, incarnation) = states.get(node);
                prop_assert_eq!(state != State::Dead, process.is_some(), "node {} at {}", node, now);
                prop_assert!(process.is_none_or(|own| own == incarnation));
            }
        }
        for node in 0..4 {
            let held = steps.iter().enumerate().any(|(at, s)| s.0 == node && end_of(at, s) == u64::MAX);
            // The incarnation that an endless termination signalled may not have ended yet.
            prop_assert_eq!(matches!(states.get(node).0, State::Dead | State::Ending), held, "node {}", node);
        }
    }
}
