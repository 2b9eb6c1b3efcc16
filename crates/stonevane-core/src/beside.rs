//! Two processes of one node side by side, while one replaces the other: who may hold how much of what both together
//! may hold. No files, no clock: what each has said of itself goes in, what this one may take comes out.
//!
//! One that has a newer one beside it never takes more than it said; the newest takes what the others leave. So the sum
//! holds however late each hears of the other, as long as one that takes more says so first, and one that takes less
//! says so afterwards.

use stonevane_policy::Micros;

/// Of the whole, a part as large as one by this is left for a process that is just starting.
const SPARE: usize = 16;

/// How far a process has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It takes no clients yet.
    Starting,
    /// It takes clients.
    Serving,
    /// It ends.
    Draining,
}

/// Places for connections, and memory in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Room {
    /// Places for connections.
    pub places: usize,
    /// Memory, in bytes.
    pub memory: usize,
}

impl Room {
    fn each(self, other: Room, of: impl Fn(usize, usize) -> usize) -> Room {
        Room { places: of(self.places, other.places), memory: of(self.memory, other.memory) }
    }

    fn part(self, by: usize) -> Room {
        Room { places: self.places / by, memory: self.memory / by }
    }
}

/// What a process says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// When it started, and its number: the newest is the last in this order.
    pub since: (Micros, u32),
    /// How far it has come.
    pub stage: Stage,
    /// What it may take.
    pub room: Room,
    /// Requests that it has open: the gate and cold servers' budgets are divided by them.
    pub open: usize,
}

impl Standing {
    /// The line that tells it.
    pub fn line(&self) -> String {
        let stage = match self.stage {
            Stage::Starting => "starting",
            Stage::Serving => "serving",
            Stage::Draining => "draining",
        };
        format!("1 {stage} {} {} {}\n", self.room.places, self.room.memory, self.open)
    }

    /// Reads such a line; `None` for any other.
    pub fn read(since: (Micros, u32), line: &str) -> Option<Standing> {
        let words: Vec<_> = line.strip_suffix('\n')?.split(' ').collect();
        let ["1", stage, places, memory, open] = words[..] else { return None };
        let stage = match stage {
            "starting" => Stage::Starting,
            "serving" => Stage::Serving,
            "draining" => Stage::Draining,
            _ => return None,
        };
        let room = Room { places: places.parse().ok()?, memory: memory.parse().ok()? };
        Some(Standing { since, stage, room, open: open.parse().ok()? })
    }
}

/// What this process may do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// What it may take.
    pub room: Room,
    /// Its part of the node's share of the origin and of cold servers.
    pub part: f64,
    /// A newer process takes clients.
    pub succeeded: bool,
    /// Another process takes clients from the same queue.
    pub shared: bool,
}

/// Divides the whole. `own`: this process, with what it said last; `held`: what it holds now.
pub fn divide(whole: Room, own: &Standing, held: Room, others: &[Standing]) -> Grant {
    let weight = |of: &Standing| of.open as f64 + 1.0;
    let all: f64 = others.iter().map(weight).sum();
    let newer = || others.iter().filter(|other| other.since > own.since);
    let spare = whole.part(SPARE);
    let room = if newer().next().is_some() {
        let least = match own.stage {
            Stage::Draining => held.each(spare, usize::saturating_add),
            _ => held.each(whole.part(2), usize::max),
        };
        least.each(own.room, usize::min)
    } else {
        let said =
            others.iter().fold(Room::default(), |sum, other| sum.each(other.room, usize::saturating_add));
        let left = whole.each(said, usize::saturating_sub);
        // Alone, it leaves what one that starts beside it can begin with.
        let most = whole.each(spare, usize::saturating_sub);
        left.each(spare, usize::max).each(most, usize::min)
    };
    Grant {
        room,
        part: weight(own) / (weight(own) + all),
        succeeded: newer().any(|other| other.stage == Stage::Serving),
        shared: others.iter().any(|other| other.stage == Stage::Serving),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    use proptest::prelude::*;

    const WHOLE: Room = Room { places: 320, memory: 16_000 };

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
        said: Standing,
        may: Room,
        held: Room,
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
                        let stage = Stage::Serving;
                        let mut said = Standing { since: (started, 0), stage, room: Room::default(), open: 3 };
                        let others: Vec<_> = live.iter().map(|process| process.said).collect();
                        let may = divide(WHOLE, &said, Room::default(), &others).room;
                        said.room = may;
                        live.push(Process { said, may, held: Room::default() });
                    }
                    Step::Start => {}
                    Step::End(who) if who < live.len() => drop(live.remove(who)),
                    Step::End(_) => {}
                    Step::Drain(who) => {
                        if let Some(process) = live.get_mut(who % count) {
                            process.said.stage = Stage::Draining;
                        }
                    }
                    Step::Hold(who, part) => {
                        if let Some(process) = live.get_mut(who % count) {
                            let want = Room {
                                places: process.may.places * part / 100,
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
                            prop_assert!(grant.part > 0.0 && grant.part <= 1.0);
                            process.may = grant.room;
                            process.said.room = grant.room;
                        }
                    }
                }
                let held = live.iter().fold(Room::default(), |sum, p| sum.each(p.held, |a, b| a + b));
                prop_assert!(held.places <= WHOLE.places && held.memory <= WHOLE.memory, "{held:?}");
            }
        }
    }

    #[test]
    fn the_new_one_takes_over_as_the_old_one_lets_go() {
        let standing = |since, stage, places| Standing {
            since: (since, 0),
            stage,
            room: Room { places, memory: 0 },
            open: 9,
        };
        let held = |places| Room { places, memory: 0 };
        let mut old = standing(1, Stage::Serving, 320);
        old.room = divide(WHOLE, &old, held(200), &[]).room;
        assert_eq!(old.room.places, 300, "alone, it leaves a spare");
        let mut new = standing(2, Stage::Starting, 0);
        new.room = divide(WHOLE, &new, held(0), &[old]).room;
        assert_eq!(new.room.places, 20);
        old.room = divide(WHOLE, &old, held(200), &[new]).room;
        assert_eq!(old.room.places, 200, "what it holds, and no more than it has said");
        new.stage = Stage::Serving;
        let grant = divide(WHOLE, &new, held(0), &[old]);
        assert_eq!((grant.room.places, grant.part, grant.succeeded), (120, 0.5, false));
        (old.stage, old.open) = (Stage::Draining, 0);
        let grant = divide(WHOLE, &old, held(50), &[new]);
        assert_eq!((grant.room.places, grant.part, grant.succeeded), (70, 1.0 / 11.0, true));
        old.room = grant.room;
        assert_eq!(divide(WHOLE, &new, held(100), &[old]).room.places, 250);
        assert_eq!(divide(WHOLE, &new, held(100), &[]).room.places, 300);
    }

    #[test]
    fn a_line_says_what_it_was_told_and_others_say_nothing() {
        let standing =
            Standing { since: (5, 6), stage: Stage::Draining, room: Room { places: 7, memory: 8 }, open: 9 };
        assert_eq!(Standing::read((5, 6), &standing.line()), Some(standing));
        for other in [
            "",
            "\n",
            "1 serving 7\n",
            "1 serving 7 8 9",
            "2 serving 7 8 9\n",
            "1 gone 7 8 9\n",
            "1 serving -7 8 9\n",
        ] {
            assert_eq!(Standing::read((5, 6), other), None, "{other:?}");
        }
    }
}
