//! Timeouts of calls to discovery, and outcomes of calls. The driver keeps the clock.

use stonevane_policy::{Micros, Settings};
use xxhash_rust::xxh3::xxh3_64;

/// Longest interval between two lines of a watch, guaranteed by the protocol. Without changes the line is
/// empty.
const WATCH_HEARTBEAT: Micros = 2_000_000;

/// Connect timeout where all nodes share one discovery service.
const SHARED_CONNECT_TIMEOUT: Micros = 1_000_000;
/// Allowed delay of a line from a shared service after the heartbeat is due.
const SHARED_HEARTBEAT_SLACK: Micros = 500_000;
/// Bounds of the answer timeout of a shared service. The service answers calls one after another, and each
/// node calls about once in the staleness limit of the list. The timeout is therefore the staleness limit,
/// within these bounds.
const MIN_SHARED_ANSWER_TIMEOUT: Micros = 1_000_000;
const MAX_SHARED_ANSWER_TIMEOUT: Micros = 4_000_000;

/// The answer timeout of an agent, which runs on this machine and answers at once, is the drain grace divided
/// by this. The answer timeout and the reconnect delay together are within the drain grace, because the drain
/// of a server counts as notified even while no call to the agent is open.
const AGENT_ANSWER_DIVISOR: Micros = 2;
/// The delay before the agent is called again is the drain grace divided by this.
const AGENT_RECONNECT_DIVISOR: Micros = 8;
/// Lower bound of both the agent's answer timeout and the reconnect delay: prevents a busy loop.
const MIN_AGENT_WAIT: Micros = 10_000;
const MAX_AGENT_ANSWER_TIMEOUT: Micros = 1_000_000;
const MAX_AGENT_RECONNECT_DELAY: Micros = 100_000;

/// First calls of processes that start together are spread over the staleness limit of the list divided by
/// this.
const FIRST_CALL_DIVISOR: Micros = 4;
/// The longest delay of the first call. A change counts as notified six seconds after it reaches discovery,
/// and within that time the call must also wait until the shared service answers it.
const MAX_FIRST_CALL_DELAY: Micros = 2_500_000;

/// Returns the delay before the first call to a shared discovery service by a process that has a cached list.
/// The delay is drawn from the seed, so that processes that start together spread their calls. A deployment's
/// only node calls at once.
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
    /// Longest time until the connection is open.
    pub connect: Micros,
    /// Longest wait for further bytes until the beginning of the answer is complete.
    pub answer: Micros,
    /// Longest wait for the next line of a watch. Changes that a silent watch misses count as notified six
    /// seconds after its last line.
    pub silence: Micros,
    /// Delay before a watch on an agent's pushed lists is reopened.
    pub reconnect_delay: Micros,
}

/// The event that a call to discovery waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Awaited {
    /// The connection is open.
    Connection,
    /// More bytes of the answer's beginning arrive.
    Answer,
    /// The next line of the watch arrives.
    Line,
}

/// Outcome of a call to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The call could not connect, was refused or reset, got a malformed answer, or was ended by the service.
    Broken,
    /// The answer did not begin in time.
    Unanswered,
    /// The call was answered, and then the next bytes did not arrive in time.
    TimedOut {
        /// Whether a line, even an empty one, had arrived before.
        was_established: bool,
    },
}

impl DiscoveryTimeouts {
    /// Returns how long a call may receive nothing before it is abandoned.
    pub fn limit(&self, awaited: Awaited) -> Micros {
        match awaited {
            Awaited::Connection => self.connect,
            Awaited::Answer => self.answer,
            Awaited::Line => self.silence,
        }
    }

    /// Derives the timeouts from the settings, for a shared service or an agent on this machine.
    pub fn of(settings: &Settings) -> DiscoveryTimeouts {
        if settings.poll_discovery {
            DiscoveryTimeouts::of_shared_service(settings)
        } else {
            DiscoveryTimeouts::of_agent(settings)
        }
    }

    fn of_shared_service(settings: &Settings) -> DiscoveryTimeouts {
        DiscoveryTimeouts {
            connect: SHARED_CONNECT_TIMEOUT,
            answer: settings.list_staleness_limit.clamp(MIN_SHARED_ANSWER_TIMEOUT, MAX_SHARED_ANSWER_TIMEOUT),
            silence: WATCH_HEARTBEAT + SHARED_HEARTBEAT_SLACK,
            reconnect_delay: 0,
        }
    }

    fn of_agent(settings: &Settings) -> DiscoveryTimeouts {
        let grace = settings.drain_grace;
        let answer = (grace / AGENT_ANSWER_DIVISOR).clamp(MIN_AGENT_WAIT, MAX_AGENT_ANSWER_TIMEOUT);
        let reconnect_delay =
            (grace / AGENT_RECONNECT_DIVISOR).clamp(MIN_AGENT_WAIT, MAX_AGENT_RECONNECT_DELAY);
        DiscoveryTimeouts { connect: answer, answer, silence: WATCH_HEARTBEAT + answer, reconnect_delay }
    }
}

#[cfg(test)]
mod tests;
