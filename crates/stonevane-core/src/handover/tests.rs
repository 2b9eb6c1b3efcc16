//! Tests of the division of a node's capacity between its processes.

use super::*;

use proptest::prelude::*;

const NODE_CAPACITY: Capacity = Capacity { connections: 320, memory: 16_000 };

#[derive(Debug, Clone)]
enum Step {
    Start,
    End(usize),
    Drain(usize),
    /// The process at the index uses this many percent of its grant.
    Use(usize, usize),
    /// The process at the index recomputes its grant from the others' announced statuses.
    Divide(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => Just(Step::Start),
        1 => (0..3usize).prop_map(Step::End),
        1 => (0..3usize).prop_map(Step::Drain),
        4 => (0..3usize, 0..=100usize).prop_map(|(index, percent)| Step::Use(index, percent)),
        8 => (0..3usize).prop_map(Step::Divide),
    ]
}

struct Process {
    announced: ProcessStatus,
    granted: Capacity,
    used: Capacity,
}

proptest! {
    #[test]
    fn processes_together_never_use_more_than_the_nodes_capacity(steps in prop::collection::vec(step(), 1..200)) {
        let mut processes: Vec<Process> = Vec::new();
        let mut started = 0;
        for step in steps {
            let count = processes.len().max(1);
            match step {
                // Like the daemon, a process computes its grant before it uses any capacity.
                Step::Start if processes.len() < 2 => {
                    started += 1;
                    let stage = ProcessStage::Serving;
                    let mut announced = ProcessStatus { started: (started, 0), stage, capacity: Capacity::default(), in_flight: 3 };
                    let others: Vec<_> = processes.iter().map(|process| process.announced).collect();
                    let granted = divide(NODE_CAPACITY, &announced, Capacity::default(), &others).capacity;
                    announced.capacity = granted;
                    processes.push(Process { announced, granted, used: Capacity::default() });
                }
                Step::End(index) if index < processes.len() => drop(processes.remove(index)),
                Step::Start | Step::End(_) => {}
                Step::Drain(index) => {
                    if let Some(process) = processes.get_mut(index % count) {
                        process.announced.stage = ProcessStage::Draining;
                    }
                }
                Step::Use(index, percent) => {
                    if let Some(process) = processes.get_mut(index % count) {
                        let used = Capacity {
                            connections: process.granted.connections * percent / 100,
                            memory: process.granted.memory * percent / 100,
                        };
                        process.used = used;
                    }
                }
                Step::Divide(index) => {
                    let index = index % count;
                    let others = processes.iter().enumerate().filter(|(other, _)| *other != index);
                    let others: Vec<_> = others.map(|(_, process)| process.announced).collect();
                    if let Some(process) = processes.get_mut(index) {
                        let grant = divide(NODE_CAPACITY, &process.announced, process.used, &others);
                        prop_assert!(grant.share > 0.0 && grant.share <= 1.0);
                        process.granted = grant.capacity;
                        process.announced.capacity = grant.capacity;
                    }
                }
            }
            let used = processes.iter().fold(Capacity::default(), |sum, process| sum.zip_with(process.used, |a, b| a + b));
            prop_assert!(used.connections <= NODE_CAPACITY.connections && used.memory <= NODE_CAPACITY.memory, "{used:?}");
        }
    }
}

#[test]
fn the_new_process_takes_over_as_the_old_one_releases() {
    let status = |started, stage, connections| ProcessStatus {
        started: (started, 0),
        stage,
        capacity: Capacity { connections, memory: 0 },
        in_flight: 9,
    };
    let used = |connections| Capacity { connections, memory: 0 };
    let mut old = status(1, ProcessStage::Serving, 320);
    old.capacity = divide(NODE_CAPACITY, &old, used(200), &[]).capacity;
    assert_eq!(old.capacity.connections, 300, "a single process leaves the spare");
    let mut new = status(2, ProcessStage::Starting, 0);
    new.capacity = divide(NODE_CAPACITY, &new, used(0), &[old]).capacity;
    assert_eq!(new.capacity.connections, 20);
    old.capacity = divide(NODE_CAPACITY, &old, used(200), &[new]).capacity;
    assert_eq!(old.capacity.connections, 200, "the capacity in use, at most what it announced");
    new.stage = ProcessStage::Serving;
    let grant = divide(NODE_CAPACITY, &new, used(0), &[old]);
    assert_eq!((grant.capacity.connections, grant.share, grant.replaced), (120, 0.5, false));
    (old.stage, old.in_flight) = (ProcessStage::Draining, 0);
    let grant = divide(NODE_CAPACITY, &old, used(50), &[new]);
    assert_eq!((grant.capacity.connections, grant.share, grant.replaced), (70, 1.0 / 11.0, true));
    old.capacity = grant.capacity;
    assert_eq!(divide(NODE_CAPACITY, &new, used(100), &[old]).capacity.connections, 250);
    assert_eq!(divide(NODE_CAPACITY, &new, used(100), &[]).capacity.connections, 300);
}

#[test]
fn a_status_line_decodes_to_its_status_and_other_lines_are_rejected() {
    let status = ProcessStatus {
        started: (5, 6),
        stage: ProcessStage::Draining,
        capacity: Capacity { connections: 7, memory: 8 },
        in_flight: 9,
    };
    assert_eq!(ProcessStatus::decode((5, 6), &status.encode()), Some(status));
    for other in [
        "",
        "\n",
        "1 serving 7\n",
        "1 serving 7 8 9",
        "2 serving 7 8 9\n",
        "1 gone 7 8 9\n",
        "1 serving -7 8 9\n",
    ] {
        assert_eq!(ProcessStatus::decode((5, 6), other), None, "{other:?}");
    }
}
