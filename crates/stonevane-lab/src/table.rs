//! The states of a fleet's nodes, and what overlapping steps make of them. No I/O, no clock.
//!
//! Order of steps on one node: a kill acts at once, in whatever state the node is; a term acts on a node that
//! starts or is ready, and does nothing to one that is ending or dead already. Each of them *holds* the node down
//! from its beginning to its end, and a node that is held by any step does not start: it starts again when the last
//! hold ends. A node that died by itself stays dead until a step that holds it ends.
//!
//! Pauses: a process is stopped while any step stops it, and goes on when the last of these ends. A kill takes a
//! stopped process at once; a term reaches it when it goes on, or not at all where it is killed for taking too long. A
//! life that starts while a pause is in force is not stopped: what was stopped has ended. A step that slows a process
//! stops it and lets it go on in turn, and leaves it stopped while another step has it stopped.

/// What a node is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum State {
    /// There is no process.
    #[default]
    Dead,
    /// Its process was started, and has not said yet that it is ready.
    Starting,
    /// It serves.
    Ready,
    /// It was asked to end.
    Ending,
}

/// A life of a node: the one that it has now, or one that is over.
pub type Life = u64;

#[derive(Debug, Clone, Copy, Default)]
struct Row {
    state: State,
    life: Life,
    holds: usize,
    /// Steps that have this life stopped, and those of them that do it in turn.
    stops: usize,
}

/// The states of all nodes, by their numbers.
#[derive(Debug)]
pub struct Table(Vec<Row>);

impl Table {
    /// So many nodes, all dead and held by nobody.
    pub fn new(nodes: usize) -> Table {
        Table(vec![Row::default(); nodes])
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// What a node is, and in which life.
    pub fn get(&self, node: usize) -> (State, Life) {
        self.0.get(node).map_or((State::Dead, 0), |row| (row.state, row.life))
    }

    /// Whether a life is a node's present one, in this state.
    pub fn is(&self, node: usize, life: Life, state: State) -> bool {
        self.get(node) == (state, life)
    }

    /// A node begins a new life; `None` where it has one or is held down.
    pub fn start(&mut self, node: usize) -> Option<Life> {
        let row = self.0.get_mut(node).filter(|row| row.state == State::Dead && row.holds == 0)?;
        (row.state, row.life, row.stops) = (State::Starting, row.life + 1, 0);
        Some(row.life)
    }

    /// A life says that it is ready; whether that still holds.
    pub fn ready(&mut self, node: usize, life: Life) -> bool {
        let starting = self.is(node, life, State::Starting);
        if starting {
            self.0[node].state = State::Ready;
        }
        starting
    }

    /// A step kills a node, and holds it down; the life that is to be killed, where there is one.
    pub fn kill(&mut self, node: usize) -> Option<Life> {
        let row = self.0.get_mut(node)?;
        row.holds += 1;
        let lived = row.state != State::Dead;
        row.state = State::Dead;
        lived.then_some(row.life)
    }

    /// A step asks a node to end, and holds it down; the life that is to be asked, where there is one that was not
    /// asked before.
    pub fn term(&mut self, node: usize) -> Option<Life> {
        let row = self.0.get_mut(node)?;
        row.holds += 1;
        let lives = matches!(row.state, State::Starting | State::Ready);
        if lives {
            row.state = State::Ending;
        }
        lives.then_some(row.life)
    }

    /// A life has ended, of itself or as it was asked to; whether it was the present one.
    pub fn ended(&mut self, node: usize, life: Life) -> bool {
        let present = self.get(node).1 == life && self.get(node).0 != State::Dead;
        if present {
            self.0[node].state = State::Dead;
        }
        present
    }

    /// A step stops a node; its life, where it has one. `true`: it was running till now.
    pub fn stop(&mut self, node: usize) -> Option<(Life, bool)> {
        let row = self.0.get_mut(node).filter(|row| row.state != State::Dead)?;
        row.stops += 1;
        Some((row.life, row.stops == 1))
    }

    /// A step that stopped a life lets it go on; whether it goes on now.
    pub fn go_on(&mut self, node: usize, life: Life) -> bool {
        let Some(row) = self.0.get_mut(node).filter(|row| row.life == life && row.state != State::Dead)
        else {
            return false;
        };
        row.stops = row.stops.saturating_sub(1);
        row.stops == 0
    }

    /// Whether a node's life is stopped by any step.
    pub fn stopped(&self, node: usize) -> bool {
        self.0.get(node).is_some_and(|row| row.state != State::Dead && row.stops > 0)
    }

    /// A step lets a node go; whether it is to start now.
    pub fn release(&mut self, node: usize) -> bool {
        let Some(row) = self.0.get_mut(node) else { return false };
        row.holds = row.holds.saturating_sub(1);
        row.holds == 0 && row.state == State::Dead
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn a_second_kill_of_a_node_that_starts_takes_its_new_life_and_its_late_word_counts_for_nothing() {
        let mut table = Table::new(3);
        let first = table.start(1).unwrap();
        assert!(table.ready(1, first));
        assert_eq!(table.kill(1), Some(first));
        assert!(table.release(1));
        let second = table.start(1).unwrap();
        assert_eq!(table.kill(1), Some(second), "while it starts");
        assert!(!table.ready(1, second) && !table.ended(1, second));
        assert!(table.release(1) && table.start(1).is_some());
        assert_eq!(table.get(0).0, State::Dead, "its neighbours are not touched");
    }

    #[test]
    fn a_term_that_crosses_a_kill_holds_the_node_down_until_both_have_ended() {
        let mut table = Table::new(1);
        let life = table.start(0).unwrap();
        table.ready(0, life);
        assert_eq!(table.term(0), Some(life));
        assert_eq!(table.kill(0), Some(life), "a kill takes one that is ending");
        assert_eq!(table.term(0), None, "nobody is there to be asked");
        assert!(!table.ended(0, life));
        assert!(!table.release(0) && table.start(0).is_none());
        assert!(!table.release(0) && table.release(0) && table.start(0).is_some());
    }

    #[test]
    fn a_node_that_dies_by_itself_in_the_middle_of_a_step_stays_dead_until_the_step_ends() {
        let mut table = Table::new(1);
        let life = table.start(0).unwrap();
        table.ready(0, life);
        assert_eq!(table.term(0), Some(life));
        assert!(table.ended(0, life) && !table.ended(0, life), "once");
        assert!(table.start(0).is_none() && table.release(0) && table.start(0).is_some());
        // By itself, with no step: nothing brings it back.
        let life = table.get(0).1;
        assert!(table.ended(0, life));
        assert_eq!(table.kill(0), None, "nobody is there to be killed");
        assert!(table.release(0), "the end of a step that holds it does");
    }

    #[test]
    fn a_node_that_two_steps_stop_goes_on_after_both_and_a_new_life_is_not_stopped() {
        let mut table = Table::new(1);
        assert_eq!(table.stop(0), None, "nobody is there");
        let life = table.start(0).unwrap();
        table.ready(0, life);
        assert_eq!((table.stop(0), table.stop(0)), (Some((life, true)), Some((life, false))));
        assert!(!table.go_on(0, life) && table.stopped(0) && table.go_on(0, life) && !table.stopped(0));
        table.stop(0);
        assert_eq!(table.kill(0), Some(life), "a kill takes one that is stopped");
        assert!(table.release(0) && !table.stopped(0));
        let next = table.start(0).unwrap();
        assert!(!table.stopped(0) && !table.go_on(0, life), "the end of the pause is not the new life's");
        assert!(table.is(0, next, State::Starting));
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
            let mut table = Table::new(4);
            let steps: Vec<Step> = steps;
            let mut processes: [Option<Life>; 4] = [None; 4];
            for (node, process) in processes.iter_mut().enumerate() {
                *process = table.start(node);
                prop_assert!(table.ready(node, process.unwrap_or(0)));
            }
            let mut asked = [0; 4];
            let lasts = |at: usize, step: &Step| if at < endless { u64::MAX } else { step.2 + step.3 };
            for now in 0..100u64 {
                for (at, step) in steps.iter().enumerate() {
                    let (node, kills, begun, _) = *step;
                    if lasts(at, step) == now {
                        // A term's own wait is over before it lets go.
                        if let (State::Ending, life) = table.get(node) {
                            prop_assert!(table.ended(node, life));
                            processes[node] = None;
                        }
                        if table.release(node) {
                            processes[node] = table.start(node);
                            prop_assert!(processes[node].is_some());
                        }
                    }
                    if begun == now && kills {
                        prop_assert_eq!(table.kill(node), processes[node].take());
                    } else if begun == now
                        && let Some(life) = table.term(node)
                    {
                        prop_assert_eq!(processes[node], Some(life));
                        asked[node] = life;
                    }
                }
                // One process does something.
                let (node, chance) = (now as usize % 4, chances[now as usize]);
                match processes[node] {
                    Some(life) if asked[node] == life && chance > 3 => {
                        prop_assert!(table.ended(node, life));
                        processes[node] = None;
                    }
                    Some(life) if chance > 2 => {
                        table.ready(node, life);
                    }
                    _ => {}
                }
                for (node, process) in processes.iter().enumerate() {
                    let (state, life) = table.get(node);
                    prop_assert_eq!(state != State::Dead, process.is_some(), "node {} at {}", node, now);
                    prop_assert!(process.is_none_or(|own| own == life));
                }
            }
            for node in 0..4 {
                let held = steps.iter().enumerate().any(|(at, s)| s.0 == node && lasts(at, s) == u64::MAX);
                // An endless term's life may not have ended yet.
                prop_assert_eq!(matches!(table.get(node).0, State::Dead | State::Ending), held, "node {}", node);
            }
        }
    }
}
