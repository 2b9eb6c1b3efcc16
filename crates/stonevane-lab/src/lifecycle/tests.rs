use proptest::prelude::*;

use super::*;

#[test]
fn a_second_kill_of_a_node_that_starts_takes_its_new_life_and_its_late_word_counts_for_nothing() {
    let mut states = NodeStates::new(3);
    let first = states.start(1).unwrap();
    assert!(states.mark_ready(1, first));
    assert_eq!(states.kill(1), Some(first));
    assert!(states.release(1));
    let second = states.start(1).unwrap();
    assert_eq!(states.kill(1), Some(second), "while it starts");
    assert!(!states.mark_ready(1, second) && !states.mark_ended(1, second));
    assert!(states.release(1) && states.start(1).is_some());
    assert_eq!(states.get(0).0, State::Dead, "its neighbours are not touched");
}

#[test]
fn a_term_that_crosses_a_kill_holds_the_node_down_until_both_have_ended() {
    let mut states = NodeStates::new(1);
    let life = states.start(0).unwrap();
    states.mark_ready(0, life);
    assert_eq!(states.terminate(0), Some(life));
    assert_eq!(states.kill(0), Some(life), "a kill takes one that is ending");
    assert_eq!(states.terminate(0), None, "nobody is there to be asked");
    assert!(!states.mark_ended(0, life));
    assert!(!states.release(0) && states.start(0).is_none());
    assert!(!states.release(0) && states.release(0) && states.start(0).is_some());
}

#[test]
fn a_node_that_dies_by_itself_in_the_middle_of_a_step_stays_dead_until_the_step_ends() {
    let mut states = NodeStates::new(1);
    let life = states.start(0).unwrap();
    states.mark_ready(0, life);
    assert_eq!(states.terminate(0), Some(life));
    assert!(states.mark_ended(0, life) && !states.mark_ended(0, life), "once");
    assert!(states.start(0).is_none() && states.release(0) && states.start(0).is_some());
    // By itself, with no step: nothing brings it back.
    let life = states.get(0).1;
    assert!(states.mark_ended(0, life));
    assert_eq!(states.kill(0), None, "nobody is there to be killed");
    assert!(states.release(0), "the end of a step that holds it does");
}

#[test]
fn a_node_that_two_steps_stop_goes_on_after_both_and_a_new_life_is_not_stopped() {
    let mut states = NodeStates::new(1);
    assert_eq!(states.pause(0), None, "nobody is there");
    let life = states.start(0).unwrap();
    let paused = |was_running| Some(Paused { incarnation: life, was_running });
    states.mark_ready(0, life);
    assert_eq!((states.pause(0), states.pause(0)), (paused(true), paused(false)));
    assert!(!states.resume(0, life) && states.is_paused(0) && states.resume(0, life) && !states.is_paused(0));
    states.pause(0);
    assert_eq!(states.kill(0), Some(life), "a kill takes one that is stopped");
    assert!(states.release(0) && !states.is_paused(0));
    let next = states.start(0).unwrap();
    assert!(!states.is_paused(0) && !states.resume(0, life), "the end of the pause is not the new life's");
    assert!(states.is(0, next, State::Starting));
}

/// What a step does to a node: whether it kills or terms, and the moments of its begin and end.
type Step = (usize, bool, u64, u64);

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Random steps overlap; lives become ready, end when asked or die by themselves at random moments.
    #[test]
    fn each_node_is_in_one_state_and_what_is_up_at_the_end_is_what_the_steps_say(
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
        let mut asked = [0; 4];
        let lasts = |at: usize, step: &Step| if at < endless { u64::MAX } else { step.2 + step.3 };
        for now in 0..100u64 {
            for (at, step) in steps.iter().enumerate() {
                let (node, kills, begun, _) = *step;
                if lasts(at, step) == now {
                    // A term's own wait is over before it lets go.
                    if let (State::Ending, life) = states.get(node) {
                        prop_assert!(states.mark_ended(node, life));
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
                    && let Some(life) = states.terminate(node)
                {
                    prop_assert_eq!(processes[node], Some(life));
                    asked[node] = life;
                }
            }
            // One process does something.
            let (node, chance) = (now as usize % 4, chances[now as usize]);
            match processes[node] {
                Some(life) if asked[node] == life && chance > 3 => {
                    prop_assert!(states.mark_ended(node, life));
                    processes[node] = None;
                }
                Some(life) if chance > 2 => {
                    states.mark_ready(node, life);
                }
                _ => {}
            }
            for (node, process) in processes.iter().enumerate() {
                let (state, life) = states.get(node);
                prop_assert_eq!(state != State::Dead, process.is_some(), "node {} at {}", node, now);
                prop_assert!(process.is_none_or(|own| own == life));
            }
        }
        for node in 0..4 {
            let held = steps.iter().enumerate().any(|(at, s)| s.0 == node && lasts(at, s) == u64::MAX);
            // An endless term's life may not have ended yet.
            prop_assert_eq!(matches!(states.get(node).0, State::Dead | State::Ending), held, "node {}", node);
        }
    }
}
