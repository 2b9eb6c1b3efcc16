//! How long discovery is waited for, and how calls to it end. No clock, no sockets: the driver waits.

use stonevane_policy::{Micros, Settings};
use xxhash_rust::xxh3::xxh3_64;

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

/// Nodes that start together must not all call at once: discovery that all share works calls off in turn, and gives up
/// those that wait for too long. The first call of a process that knows a list comes within this part of the time within
/// which discovery is to be asked, and no later than this: what discovery has to tell counts as told six seconds later, and
/// the call must still get its turn.
const START: (Micros, Micros) = (4, 2_500_000);

/// A process that stood still must find out before the shortest grace is over: something is due at this part of it, and
/// what is found late by the other tells. Within bounds: a busy machine is often late by a little, and a long grace is no
/// reason to look seldom.
const STANDSTILL: (Micros, Micros) = (2, 4);
const STANDSTILL_DUE: (Micros, Micros) = (50_000, 250_000);
const STANDSTILL_LATE: (Micros, Micros) = (20_000, 100_000);

/// How a process that stood still finds out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PauseDetection {
    /// The longest time in which nothing is due; idle connections are looked through as often.
    pub due: Micros,
    /// What is found due so late tells of it.
    pub late: Micros,
}

impl PauseDetection {
    /// What settings ask for.
    pub fn of(settings: &Settings) -> PauseDetection {
        let part = |of: Micros, (least, most)| (settings.drain_grace / of).clamp(least, most);
        PauseDetection { due: part(STANDSTILL.0, STANDSTILL_DUE), late: part(STANDSTILL.1, STANDSTILL_LATE) }
    }
}

/// How long a process that knows a list waits before its first call to a discovery that all nodes share: drawn with the
/// seed of its random numbers, so that processes that start together do not call together. A node that is the only one
/// calls at once.
pub fn before_first_call(settings: &Settings, seed: u64) -> Micros {
    let nodes = Micros::from(settings.nodes.max(1));
    let longest = (settings.list_staleness_limit / START.0).min(START.1) / nodes * (nodes - 1);
    let drawn = xxh3_64(&seed.to_le_bytes());
    ((u128::from(drawn) * u128::from(longest)) >> 64) as Micros
}

/// The waits for one kind of discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiscoveryTimeouts {
    /// For a connection to it.
    pub connect: Micros,
    /// For the beginning of its answer.
    pub answer: Micros,
    /// For the next line of a watch. What a silent one misses counts as told six seconds after it fell silent, whether
    /// or not it came.
    pub silence: Micros,
    /// Before a watch on pushed lists is opened again.
    pub reconnect_delay: Micros,
}

/// What a call to discovery waits for at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Awaited {
    /// Its connection.
    Connection,
    /// More of the beginning of its answer.
    Answer,
    /// More of its lines.
    Line,
}

/// How a call to discovery ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// It was refused, reset, turned away or spoilt, did not come up, or ended by itself.
    Broken,
    /// It was not answered in time.
    Unanswered,
    /// It was answered and fell silent.
    TimedOut {
        /// Whether it had brought a line before, be it an empty one.
        was_established: bool,
    },
}

impl DiscoveryTimeouts {
    /// How long nothing may come before the call is given up.
    pub fn limit(&self, awaited: Awaited) -> Micros {
        match awaited {
            Awaited::Connection => self.connect,
            Awaited::Answer => self.answer,
            Awaited::Line => self.silence,
        }
    }

    /// The waits that settings ask for.
    pub fn of(settings: &Settings) -> DiscoveryTimeouts {
        if settings.poll_discovery {
            let (connect, late) = SHARED;
            let answer = settings.list_staleness_limit.clamp(TURN.0, TURN.1);
            return DiscoveryTimeouts { connect, answer, silence: BEAT + late, reconnect_delay: 0 };
        }
        let part = |of: Micros, most: Micros| (settings.drain_grace / of).clamp(AGENT_LEAST, most);
        let (answer, again) = (part(AGENT.0, AGENT_MOST.0), part(AGENT.1, AGENT_MOST.1));
        DiscoveryTimeouts { connect: answer, answer, silence: BEAT + answer, reconnect_delay: again }
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
            let settings = Settings { poll_discovery: false, drain_grace, ..Settings::default() };
            let waits = DiscoveryTimeouts::of(&settings);
            // The slack of all limits on sockets comes on top.
            let slack = 50_000;
            assert!(
                waits.answer + waits.reconnect_delay <= drain_grace + slack,
                "{waits:?} at a grace of {drain_grace}"
            );
            assert!(waits.reconnect_delay > 0, "no busy loop");
            assert!(waits.silence > BEAT && waits.silence + waits.answer + waits.reconnect_delay < TOLD);
        }
    }

    #[test]
    fn a_standstill_of_a_grace_is_noticed_however_short_that_is() {
        for drain_grace in [50_000, 100_000, 250_000, 500_000, 1_000_000, 10_000_000] {
            let stands = PauseDetection::of(&Settings { drain_grace, ..Settings::default() });
            // With the slack of all limits on sockets.
            assert!(stands.due + stands.late <= drain_grace + 50_000, "{stands:?} at {drain_grace}");
        }
    }

    #[test]
    fn discovery_that_all_share_gets_its_turn_and_a_silent_watch_leaves_time_to_ask_anew() {
        for ask_within in [1, 1_000_000, 6_500_000, 86_400_000_000] {
            let settings =
                Settings { poll_discovery: true, list_staleness_limit: ask_within, ..Settings::default() };
            let waits = DiscoveryTimeouts::of(&settings);
            assert!((TURN.0..=TURN.1).contains(&waits.answer));
            assert!(waits.silence > BEAT && waits.silence + waits.connect < TOLD);
        }
    }
}
