//! Timeouts of calls to discovery, and how calls end. The driver keeps the clock.

use stonevane_policy::{Micros, Settings};
use xxhash_rust::xxh3::xxh3_64;

/// A watch brings a line at least this often, an empty one while nothing changes (protocol).
const WATCH_HEARTBEAT: Micros = 2_000_000;

/// Discovery as a service that all nodes share: timeout of a connect.
const SHARED_CONNECT: Micros = 1_000_000;
/// How much later than the heartbeat a shared service's line may come.
const SHARED_HEARTBEAT_SLACK: Micros = 500_000;
/// A shared service answers calls in turn, one of each node in about the limit of the list's staleness: an answer is
/// awaited for that limit, within these bounds.
const MIN_SHARED_ANSWER: Micros = 1_000_000;
const MAX_SHARED_ANSWER: Micros = 4_000_000;

/// An agent on this machine answers at once: it is awaited for this part of the drain grace. With the reconnect delay
/// it is over within the grace, since a drain counts as notified whether or not a call is open.
const AGENT_ANSWER_DIVISOR: Micros = 2;
/// The delay before the agent is called again, as a part of the drain grace.
const AGENT_RECONNECT_DIVISOR: Micros = 8;
/// Least of both: no busy loop.
const MIN_AGENT_WAIT: Micros = 10_000;
const MAX_AGENT_ANSWER: Micros = 1_000_000;
const MAX_AGENT_RECONNECT: Micros = 100_000;

/// First calls of processes that start together are spread over this part of the limit of the list's staleness.
const FIRST_CALL_DIVISOR: Micros = 4;
/// The latest first call: what discovery has to say counts as notified six seconds later, and the call needs its turn.
const MAX_FIRST_CALL_DELAY: Micros = 2_500_000;

/// The delay before the first call of a process that has a cached list, to a discovery that all nodes share: drawn with
/// the seed, so that processes that start together do not call together. The only node of a deployment calls at once.
pub fn first_call_delay(settings: &Settings, seed: u64) -> Micros {
    let nodes = Micros::from(settings.nodes.max(1));
    let window = (settings.list_staleness_limit / FIRST_CALL_DIVISOR).min(MAX_FIRST_CALL_DELAY);
    let longest = window / nodes * (nodes - 1);
    let drawn = xxh3_64(&seed.to_le_bytes());
    ((u128::from(drawn) * u128::from(longest)) >> 64) as Micros
}

/// Timeouts of calls to one discovery service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiscoveryTimeouts {
    /// For its connection.
    pub connect: Micros,
    /// For the beginning of its answer.
    pub answer: Micros,
    /// For the next line of a watch. What a silent watch misses counts as notified six seconds after it fell silent.
    pub silence: Micros,
    /// The delay before a watch on pushed lists is opened again.
    pub reconnect_delay: Micros,
}

/// What a call to discovery waits for.
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
    /// It could not connect, was refused, reset or malformed, or ended by itself.
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
    /// How long a call may bring nothing before it is given up.
    pub fn limit(&self, awaited: Awaited) -> Micros {
        match awaited {
            Awaited::Connection => self.connect,
            Awaited::Answer => self.answer,
            Awaited::Line => self.silence,
        }
    }

    /// The timeouts for some settings.
    pub fn of(settings: &Settings) -> DiscoveryTimeouts {
        if settings.poll_discovery {
            DiscoveryTimeouts::of_shared_service(settings)
        } else {
            DiscoveryTimeouts::of_agent(settings)
        }
    }

    fn of_shared_service(settings: &Settings) -> DiscoveryTimeouts {
        DiscoveryTimeouts {
            connect: SHARED_CONNECT,
            answer: settings.list_staleness_limit.clamp(MIN_SHARED_ANSWER, MAX_SHARED_ANSWER),
            silence: WATCH_HEARTBEAT + SHARED_HEARTBEAT_SLACK,
            reconnect_delay: 0,
        }
    }

    fn of_agent(settings: &Settings) -> DiscoveryTimeouts {
        let grace = settings.drain_grace;
        let answer = (grace / AGENT_ANSWER_DIVISOR).clamp(MIN_AGENT_WAIT, MAX_AGENT_ANSWER);
        let reconnect_delay = (grace / AGENT_RECONNECT_DIVISOR).clamp(MIN_AGENT_WAIT, MAX_AGENT_RECONNECT);
        DiscoveryTimeouts { connect: answer, answer, silence: WATCH_HEARTBEAT + answer, reconnect_delay }
    }
}

#[cfg(test)]
mod tests;
