//! State machine of one member, without I/O: SWIM with the Lifeguard extensions.
//!
//! Each concern has a module with its own state; this one composes them and runs their timers:
//!
//! | module | concern |
//! | --- | --- |
//! | `probing` | the failure detector: one probe in each protocol period |
//! | `relays` | indirect probes on behalf of others |
//! | `reconnection` | pings to members that are not live |
//! | `suspicion` | suspicions, their confirmations and timeouts |
//! | `isolation` | whether any datagrams reach this member |
//! | `merge` | which update supersedes which; refutation |
//! | `gossip` | dissemination of updates |
//! | `anti_entropy`, `digests` | repair of tables that differ |
//! | `replay` | protection against replayed datagrams |
//! | `members` | the member table |
//! | `reception`, `transmission` | datagrams in and out |
//! | `process_pause` | recovery from pauses of this member's process |
//! | `snapshot` | queries by the caller |

mod anti_entropy;
mod digests;
mod gossip;
mod isolation;
mod members;
mod merge;
mod probing;
mod process_pause;
mod random;
mod reception;
mod reconnection;
mod relays;
mod replay;
mod setup;
mod snapshot;
mod suspicion;
mod transmission;

pub use setup::{Input, MemberConfig, MemberEvent, Outputs};

use self::anti_entropy::AntiEntropy;
use self::gossip::Gossip;
use self::isolation::Isolation;
use self::members::MemberTable;
use self::probing::Probing;
use self::random::Random;
use self::reconnection::Reconnection;
use self::relays::Relays;
use self::suspicion::Suspicions;
use self::transmission::{Envelope, Transmitter};
use crate::Micros;
use crate::faults::{Faults, NoFaults};
use crate::health::LocalHealth;
use crate::record::{Instance, MemberId, Record, State};
use crate::status::Counts;
use crate::wire::Kind;

/// Number of members that receive the announcement directly when this member leaves.
const LEAVE_FANOUT: usize = 4;

/// State machine of one member.
#[derive(Debug)]
pub struct Machine<F: Faults = NoFaults> {
    config: MemberConfig,
    faults: F,
    random: Random,
    members: MemberTable,
    health: LocalHealth,
    isolation: Isolation,
    probing: Probing,
    relays: Relays,
    reconnection: Reconnection,
    suspicions: Suspicions,
    gossip: Gossip,
    anti_entropy: AntiEntropy,
    transmitter: Transmitter,
    wake_at: Micros,
    leaving: bool,
    counts: Counts,
}

impl<F: Faults> Machine<F> {
    /// Creates a member that knows only itself.
    pub fn new(now: Micros, config: MemberConfig) -> Self {
        Self::with(now, config, F::default())
    }

    /// Creates a member that knows only itself and has deliberate faults.
    pub fn with(now: Micros, mut config: MemberConfig, faults: F) -> Self {
        let members = config.members.max(config.number.saturating_add(1));
        config.members = members;
        let mut machine = Machine {
            faults,
            random: Random::new(config.seed, config.nonce),
            members: MemberTable::new(members),
            health: LocalHealth::new(config.uses_local_health),
            isolation: Isolation::new(now),
            probing: Probing::new(now, config.nonce),
            relays: Relays::default(),
            reconnection: Reconnection::new(now),
            suspicions: Suspicions::new(&config),
            gossip: Gossip::new(members),
            anti_entropy: AntiEntropy::new(now),
            transmitter: Transmitter::default(),
            wake_at: now,
            leaving: false,
            counts: Counts::default(),
            config,
        };
        let own = machine.initial_record();
        machine.replace(now, own, &mut Outputs::default());
        machine
    }

    /// Returns the time at which the machine has to be woken next.
    pub fn next_wake_at(&self) -> Micros {
        self.wake_at
    }

    /// Handles an input at the time `now`, and appends the resulting datagrams and events to `out`.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Outputs) {
        self.detect_pause(now, out);
        match input {
            Input::Datagram(from, bytes) => self.receive(now, from, bytes, out),
            Input::Wake => {}
            Input::Members(members) => self.grow(members),
            Input::Leave => self.leave(now, out),
        }
        self.run_timers(now, out);
        self.wake_at = self.next_deadline();
    }

    fn run_timers(&mut self, now: Micros, out: &mut Outputs) {
        self.run_probing(now, out);
        self.run_reconnection(now, out);
        self.run_relays(now, out);
        self.expire_suspicions(now, out);
        self.run_gossip(now, out);
    }

    fn next_deadline(&self) -> Micros {
        let deadlines = [
            Some(self.probing.next_deadline()),
            Some(self.reconnection.next_deadline()),
            Some(self.gossip.next_deadline()),
            self.relays.next_deadline(),
            self.suspicions.next_deadline(),
        ];
        deadlines.into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    /// Grows the fleet to `members` members. The new ones are unknown, so reconnection contacts them like
    /// members that are not live.
    fn grow(&mut self, members: MemberId) {
        if members <= self.config.members {
            return;
        }
        self.config.members = members;
        self.members.grow(members);
        self.gossip.grow(members);
    }

    /// Announces that this member leaves.
    fn leave(&mut self, now: Micros, out: &mut Outputs) {
        if std::mem::replace(&mut self.leaving, true) {
            return;
        }
        self.probing.abandon();
        let left = Record { state: State::Left, ..self.own_record() };
        self.replace(now, left, out);
        for member in self.random_peers(LEAVE_FANOUT, self.config.number) {
            self.send(Envelope::new(member, Kind::Gossip, 0, self.config.number), out);
        }
    }

    /// Returns the record of this member.
    fn own_record(&self) -> Record {
        let initial = self.initial_record();
        self.members.record(self.config.number).unwrap_or(initial)
    }

    fn initial_record(&self) -> Record {
        let member = self.config.number;
        let instance = Instance { generation: 1, nonce: self.config.nonce };
        Record { member, instance, incarnation: 0, state: State::Alive, by: member }
    }

    /// Returns up to `count` random live members, other than this one and `except`.
    fn random_peers(&mut self, count: usize, except: MemberId) -> Vec<MemberId> {
        let me = self.config.number;
        let candidates = self.members.live().filter(|member| *member != me && *member != except).collect();
        self.random.choose(candidates, count)
    }
}
