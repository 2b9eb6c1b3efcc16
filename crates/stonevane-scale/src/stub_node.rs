//! A stub node as a state machine without I/O: the daemon's core and its membership state machine, without
//! clients and cache servers. The command line calls it a hollow node.
//!
//! The core ([`stonevane_core::Core`]) keeps the list of cache servers and requests calls to discovery. The
//! membership state machine ([`stonevane_membership::Machine`]) tracks the members of the domain, numbered
//! from 0 in each domain. Everywhere else a node is identified by its number in the whole fleet.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Range;

use stonevane_config::operator;
use stonevane_core::{Core, DiscoveryCall, EndpointList, Input as CoreInput, Output as CoreOutput};
use stonevane_membership::{Input as MachineInput, Machine, MemberEvent, MemberId, NoFaults, State};
use stonevane_policy::settings::Deployment;

use crate::Micros;
use crate::plan::{MachineSeed, Membership};

/// Limit on the sockets of a core; without clients and cache servers it opens none.
const MAX_SOCKETS: usize = 1_024;
/// Limit on the memory of a core for requests; without clients it uses none.
const MEMORY_MB: usize = 64;

/// Start parameters of a node.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Number of the node in the fleet.
    pub number: u32,
    /// Numbers of the members of its domain, including its own.
    pub domain: Range<u32>,
    /// Membership settings.
    pub membership: Membership,
    /// Nonce and seed of the membership state machine.
    pub machine_seed: MachineSeed,
    /// Seed of the core.
    pub core_seed: u64,
    /// Settings of the platform.
    pub deployment: Deployment,
    /// TCP address of discovery.
    pub discovery: SocketAddr,
}

/// An input to a node.
#[derive(Debug)]
pub enum Input<'b> {
    /// A datagram from the address of a node: the number of the sender, and the bytes.
    Datagram(u32, &'b [u8]),
    /// The result of a call to discovery.
    Discovery(CoreInput<'static>),
    /// The time returned by [`StubNode::next`] has come.
    Wake,
}

/// Actions that the driver must perform.
#[derive(Debug, Default)]
pub struct Outputs {
    /// Datagrams to send, each with the number of the receiver.
    pub datagrams: VecDeque<(u32, Vec<u8>)>,
    /// Calls to make to discovery.
    pub calls: VecDeque<DiscoveryCall>,
}

/// Progress of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NodeProgress {
    /// The node has the endpoint list and sees all other members of its domain as live.
    pub complete: bool,
    /// The node has no updates to disseminate and a local health score of 0 (fully healthy): its traffic is
    /// that of a fleet at rest.
    pub rested: bool,
    /// The node has declared the killed node dead.
    pub informed: bool,
}

/// A stub node.
pub struct StubNode {
    number: u32,
    domain: Range<u32>,
    period: Micros,
    machine: Machine<NoFaults>,
    core: Core,
    machine_outputs: stonevane_membership::Outputs,
    core_outputs: stonevane_core::Outputs,
    /// Number of other members that this node sees as live.
    live_others: u32,
    /// Number of nodes that share the fleet's limits, as last passed to the core.
    node_count: usize,
    /// Number of the killed node.
    victim: Option<u32>,
    false_deaths: u64,
    stalls: u64,
}

impl StubNode {
    /// Creates a node that knows no other member. It produces no output before its first input.
    pub fn new(now: Micros, setup: Setup) -> StubNode {
        let Setup { number, domain, membership, machine_seed, .. } = setup;
        let machine = stonevane_membership::MemberConfig {
            number: (number - domain.start) as MemberId,
            members: (domain.end - domain.start) as MemberId,
            period: membership.period,
            probe_timeout: membership.answer,
            indirect_probes: membership.indirect,
            suspicion_multiplier: membership.suspicion,
            uses_local_health: membership.heeds_health,
            key: None,
            max_version: membership.speaks,
            seed: machine_seed.seed,
            nonce: machine_seed.nonce,
        };
        let core = stonevane_core::CoreConfig {
            deployment: setup.deployment,
            seed: setup.core_seed,
            max_sockets: MAX_SOCKETS,
            memory_mb: MEMORY_MB,
            cached_list: EndpointList::default(),
            discovery: setup.discovery,
            clients: operator::Clients::default(),
            servers: operator::Servers::default(),
            has_store: false,
            notifies_caches: false,
            other_sockets: 0,
            can_be_replaced: false,
            excluded: Vec::new(),
            regions: None,
        };
        StubNode {
            number,
            domain,
            period: membership.period,
            machine: Machine::new(now, machine),
            core: Core::new(now, core),
            machine_outputs: stonevane_membership::Outputs::default(),
            core_outputs: stonevane_core::Outputs::new(),
            live_others: 0,
            node_count: 0,
            victim: None,
            false_deaths: 0,
            stalls: 0,
        }
    }

    /// Number of the node in the fleet.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Time at which the node needs the next [`Input::Wake`].
    pub fn next(&self) -> Micros {
        self.core
            .next_timeout()
            .map_or(self.machine.next_wake_at(), |next| next.min(self.machine.next_wake_at()))
    }

    /// Handles an input and appends the resulting actions to `outputs`. `now` must not decrease between
    /// calls.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, outputs: &mut Outputs) {
        match input {
            Input::Datagram(from, bytes) => {
                if self.domain.contains(&from) {
                    let from = (from - self.domain.start) as MemberId;
                    self.handle_machine(now, MachineInput::Datagram(from, bytes), outputs);
                }
            }
            Input::Discovery(input) => self.handle_core(now, input, outputs),
            Input::Wake => {
                if self.machine.next_wake_at() <= now {
                    self.handle_machine(now, MachineInput::Wake, outputs);
                }
                if self.core.next_timeout().is_some_and(|next| next <= now) {
                    self.handle_core(now, CoreInput::Wake, outputs);
                }
            }
        }
    }

    /// Marks the node `victim` as killed: declaring it dead counts as progress ([`NodeProgress::informed`])
    /// and not as a false death.
    pub fn watch_for(&mut self, victim: u32) {
        self.victim = Some(victim);
    }

    /// Progress of the node.
    pub fn progress(&self) -> NodeProgress {
        let others = self.domain.end - self.domain.start - 1;
        NodeProgress {
            complete: self.live_others == others && self.core.list_version().is_some(),
            rested: !self.machine.disseminates() && self.machine.health() == 0,
            informed: self.victim.and_then(|victim| self.state_of(victim)) == Some(State::Dead),
        }
    }

    /// State in which this node sees the node `number`; `None` if `number` is unknown to this node or outside
    /// its domain.
    pub fn state_of(&self, number: u32) -> Option<State> {
        let inside = self.domain.contains(&number);
        self.machine.state(inside.then(|| (number - self.domain.start) as MemberId)?)
    }

    /// Number of times this node declared a live node dead.
    pub fn false_deaths(&self) -> u64 {
        self.false_deaths
    }

    /// Wake-ups of the membership state machine that were late by more than half of the protocol period.
    pub fn stalls(&self) -> u64 {
        self.stalls
    }

    fn handle_machine(&mut self, now: Micros, input: MachineInput<'_>, outputs: &mut Outputs) {
        // The membership state machine treats a delay of more than half a period as a pause of its own
        // process.
        if now.saturating_sub(self.machine.next_wake_at()) > self.period / 2 {
            self.stalls += 1;
        }
        self.machine.handle(now, input, &mut self.machine_outputs);
        let first_member = self.domain.start;
        let sends = self.machine_outputs.sends.drain(..);
        outputs.datagrams.extend(sends.map(|(to, bytes)| (first_member + u32::from(to), bytes)));
        for event in std::mem::take(&mut self.machine_outputs.events) {
            self.observe(event);
        }
        let node_count = self.machine.not_left_count();
        if node_count != std::mem::replace(&mut self.node_count, node_count) {
            self.handle_core(now, CoreInput::NodeCount(node_count as u32), outputs);
        }
    }

    fn observe(&mut self, event: MemberEvent) {
        let member = self.domain.start + u32::from(event.record.member);
        if member == self.number {
            return;
        }
        let was_live = event.previous.is_some_and(State::is_live);
        let is_live = event.record.state.is_live();
        self.live_others = self.live_others + u32::from(is_live) - u32::from(was_live);
        if event.record.state == State::Dead && self.victim != Some(member) {
            self.false_deaths += 1;
        }
    }

    fn handle_core(&mut self, now: Micros, input: CoreInput<'_>, outputs: &mut Outputs) {
        self.core.handle(now, input, &mut self.core_outputs);
        while let Some(output) = self.core_outputs.pop_front() {
            match output {
                CoreOutput::Discovery(call) => outputs.calls.push_back(call),
                // The cache servers of the list do not exist: the connection counts as closed at once.
                // Without clients no request would use it.
                CoreOutput::Open(id, _) => {
                    self.core.handle(now, CoreInput::Closed(id), &mut self.core_outputs);
                }
                _ => {}
            }
        }
    }
}
