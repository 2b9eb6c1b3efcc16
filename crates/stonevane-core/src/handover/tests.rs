//! Division of a node's capacity between its processes.

use super::*;

use proptest::prelude::*;

const WHOLE: Capacity = Capacity { connections: 320, memory: 16_000 };

#[derive(Debug, Clone)]
enum Step {
    Start,
    End(usize),
    Drain(usize),
    /// A process takes or gives back so much of what it may.
    Hold(usize, usize),
    /// A process looks at what the others have said.
    Look(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => Just(Step::Start),
        1 => (0..3usize).prop_map(Step::End),
        1 => (0..3usize).prop_map(Step::Drain),
        4 => (0..3usize, 0..=100usize).prop_map(|(who, part)| Step::Hold(who, part)),
        8 => (0..3usize).prop_map(Step::Look),
    ]
}

struct Process {
    said: ProcessStatus,
    may: Capacity,
    held: Capacity,
}

proptest! {
    #[test]
    fn processes_together_never_hold_more_than_the_whole(steps in prop::collection::vec(step(), 1..200)) {
        let mut live: Vec<Process> = Vec::new();
        let mut started = 0;
        for step in steps {
            let count = live.len().max(1);
            match step {
                // As the daemon: it looks at the others before it holds anything.
                Step::Start if live.len() < 2 => {
                    started += 1;
                    let stage = ProcessStage::Serving;
                    let mut said = ProcessStatus { started: (started, 0), stage, capacity: Capacity::default(), in_flight: 3 };
                    let others: Vec<_> = live.iter().map(|process| process.said).collect();
                    let may = divide(WHOLE, &said, Capacity::default(), &others).capacity;
                    said.capacity = may;
                    live.push(Process { said, may, held: Capacity::default() });
                }
                Step::End(who) if who < live.len() => drop(live.remove(who)),
                Step::Start | Step::End(_) => {}
                Step::Drain(who) => {
                    if let Some(process) = live.get_mut(who % count) {
                        process.said.stage = ProcessStage::Draining;
                    }
                }
                Step::Hold(who, part) => {
                    if let Some(process) = live.get_mut(who % count) {
                        let want = Capacity {
                            connections: process.may.connections * part / 100,
                            memory: process.may.memory * part / 100,
                        };
                        process.held = want;
                    }
                }
                Step::Look(who) => {
                    let who = who % count;
                    let others = live.iter().enumerate().filter(|(i, _)| *i != who);
                    let others: Vec<_> = others.map(|(_, process)| process.said).collect();
                    if let Some(process) = live.get_mut(who) {
                        let grant = divide(WHOLE, &process.said, process.held, &others);
                        prop_assert!(grant.share > 0.0 && grant.share <= 1.0);
                        process.may = grant.capacity;
                        process.said.capacity = grant.capacity;
                    }
                }
            }
            let held = live.iter().fold(Capacity::default(), |sum, p| sum.zip_with(p.held, |a, b| a + b));
            prop_assert!(held.connections <= WHOLE.connections && held.memory <= WHOLE.memory, "{held:?}");
        }
    }
}

#[test]
fn the_new_one_takes_over_as_the_old_one_lets_go() {
    let standing = |since, stage, places| ProcessStatus {
        started: (since, 0),
        stage,
        capacity: Capacity { connections: places, memory: 0 },
        in_flight: 9,
    };
    let held = |places| Capacity { connections: places, memory: 0 };
    let mut old = standing(1, ProcessStage::Serving, 320);
    old.capacity = divide(WHOLE, &old, held(200), &[]).capacity;
    assert_eq!(old.capacity.connections, 300, "alone, it leaves a spare");
    let mut new = standing(2, ProcessStage::Starting, 0);
    new.capacity = divide(WHOLE, &new, held(0), &[old]).capacity;
    assert_eq!(new.capacity.connections, 20);
    old.capacity = divide(WHOLE, &old, held(200), &[new]).capacity;
    assert_eq!(old.capacity.connections, 200, "what it holds, and no more than it has said");
    new.stage = ProcessStage::Serving;
    let grant = divide(WHOLE, &new, held(0), &[old]);
    assert_eq!((grant.capacity.connections, grant.share, grant.replaced), (120, 0.5, false));
    (old.stage, old.in_flight) = (ProcessStage::Draining, 0);
    let grant = divide(WHOLE, &old, held(50), &[new]);
    assert_eq!((grant.capacity.connections, grant.share, grant.replaced), (70, 1.0 / 11.0, true));
    old.capacity = grant.capacity;
    assert_eq!(divide(WHOLE, &new, held(100), &[old]).capacity.connections, 250);
    assert_eq!(divide(WHOLE, &new, held(100), &[]).capacity.connections, 300);
}

#[test]
fn a_line_says_what_it_was_told_and_others_say_nothing() {
    let standing = ProcessStatus {
        started: (5, 6),
        stage: ProcessStage::Draining,
        capacity: Capacity { connections: 7, memory: 8 },
        in_flight: 9,
    };
    assert_eq!(ProcessStatus::read((5, 6), &standing.line()), Some(standing));
    for other in [
        "",
        "\n",
        "1 serving 7\n",
        "1 serving 7 8 9",
        "2 serving 7 8 9\n",
        "1 gone 7 8 9\n",
        "1 serving -7 8 9\n",
    ] {
        assert_eq!(ProcessStatus::read((5, 6), other), None, "{other:?}");
    }
}
