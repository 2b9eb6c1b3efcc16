//! How long discovery is waited for. No clock, no sockets: the driver waits.

use spardeal::{Micros, Settings};

/// A watch brings a line every so often, an empty one while nothing changes (protocol).
const BEAT: Micros = 2_000_000;
/// Discovery that is one service for all nodes: a connection to it, and how much later than the beat a line may come.
const SHARED: (Micros, Micros) = (1_000_000, 500_000);
/// It works calls off in turn, a call of each node in about the time within which it is to be asked: its answer
/// is waited for that long, within these bounds.
const TURN: (Micros, Micros) = (1_000_000, 4_000_000);
/// An agent on this machine answers at once: it is waited for half of the drain's grace, and called again after an
/// eighth. Both together, with the answer behind them, must be over within the grace, since what the agent has counts
/// as told whether or not a call is out: it may have been silent when the last one began.
const AGENT: (Micros, Micros) = (2, 8);
/// Bounds on these two: no busy loop, and a long grace is no reason to dawdle.
const AGENT_LEAST: Micros = 10_000;
const AGENT_MOST: (Micros, Micros) = (1_000_000, 100_000);

/// The waits for one kind of discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// For a connection to it.
    pub connect: Micros,
    /// For the beginning of its answer.
    pub answer: Micros,
    /// For the next line of a watch. What a silent one misses counts as told six seconds after it fell silent, whether
    /// or not it came.
    pub silence: Micros,
    /// Before a watch on pushed lists is opened again.
    pub again: Micros,
}

impl Patience {
    /// The waits that settings ask for.
    pub fn of(settings: &Settings) -> Patience {
        if settings.ask_discovery {
            let (connect, late) = SHARED;
            let answer = settings.ask_within.clamp(TURN.0, TURN.1);
            return Patience { connect, answer, silence: BEAT + late, again: 0 };
        }
        let part = |of: Micros, most: Micros| (settings.drain_grace / of).clamp(AGENT_LEAST, most);
        let (answer, again) = (part(AGENT.0, AGENT_MOST.0), part(AGENT.1, AGENT_MOST.1));
        Patience { connect: answer, answer, silence: BEAT + answer, again }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What a silent watch misses counts as told so long after it fell silent (protocol).
    const TOLD: Micros = 6_000_000;

    #[test]
    fn an_agent_is_heard_again_within_the_grace_however_short_and_a_silent_watch_before_it_counts() {
        for drain_grace in [0, 50_000, 100_000, 500_000, 1_000_000, 10_000_000] {
            let settings = Settings { ask_discovery: false, drain_grace, ..Settings::default() };
            let waits = Patience::of(&settings);
            // The slack of all limits on sockets comes on top.
            let slack = 50_000;
            assert!(
                waits.answer + waits.again <= drain_grace + slack,
                "{waits:?} at a grace of {drain_grace}"
            );
            assert!(waits.again > 0, "no busy loop");
            assert!(waits.silence > BEAT && waits.silence + waits.answer + waits.again < TOLD);
        }
    }

    #[test]
    fn discovery_that_all_share_gets_its_turn_and_a_silent_watch_leaves_time_to_ask_anew() {
        for ask_within in [1, 1_000_000, 6_500_000, 86_400_000_000] {
            let settings = Settings { ask_discovery: true, ask_within, ..Settings::default() };
            let waits = Patience::of(&settings);
            assert!((TURN.0..=TURN.1).contains(&waits.answer));
            assert!(waits.silence > BEAT && waits.silence + waits.connect < TOLD);
        }
    }
}
