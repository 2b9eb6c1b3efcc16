//! A load-generating stub node as a state machine without I/O: the daemon's core and its membership machine, with neither
//! clients nor cache servers. The command line and its figures call it a hollow node.
//!
//! The core ([`stonevane_core::Core`]) keeps the list of cache servers and says when discovery is called; the
//! membership machine ([`stonevane_membership::Machine`]) knows the other nodes of the domain, by numbers that begin with 0
//! in each domain. Elsewhere a node has its number in the whole fleet.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Range;

use stonevane_config::operator;
use stonevane_core::{Core, DiscoveryCall, EndpointList, Input as CoreInput, Output as CoreOutput};
use stonevane_membership::{Input as MachineInput, Machine, MemberEvent, MemberId, NoFaults, State};
use stonevane_policy::settings::Deployment;

use crate::Micros;
use crate::plan::{MachineSeed, Membership};

/// Sockets that a core may hold; without clients and servers it holds none of them.
const SOCKETS: usize = 1_024;
/// Memory that a core may take for requests, in megabytes; without clients it takes none.
const MEMORY_MB: usize = 64;

/// The parameters of a node, set at its start.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Its number in the fleet.
    pub number: u32,
    /// The numbers of its membership domain, its own among them.
    pub domain: Range<u32>,
    /// Membership.
    pub membership: Membership,
    /// The random numbers of the membership machine.
    pub machine_seed: MachineSeed,
    /// The seed of the core.
    pub core_seed: u64,
    /// The platform's settings.
    pub deployment: Deployment,
    /// Where discovery is.
    pub discovery: SocketAddr,
}

/// An input of a node.
#[derive(Debug)]
pub enum Input<'b> {
    /// A datagram arrived from the address of a node.
    Datagram(u32, &'b [u8]),
    /// A call to discovery has a result.
    Discovery(CoreInput<'static>),
    /// Time has passed.
    Wake,
}

/// What the driver has to do.
#[derive(Debug, Default)]
pub struct Outputs {
    /// Datagrams to send, each with the number of its receiver.
    pub datagrams: VecDeque<(u32, Vec<u8>)>,
    /// Calls to make to discovery.
    pub calls: VecDeque<DiscoveryCall>,
}

/// The progress of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NodeProgress {
    /// All others of its domain are live to it, and it has the endpoint list.
    pub complete: bool,
    /// It has no updates to disseminate and is in full health: it sends what it sends at rest.
    pub rested: bool,
    /// The node that was killed is dead to it.
    pub informed: bool,
}

/// A load-generating stub node.
pub struct StubNode {
    number: u32,
    domain: Range<u32>,
    period: Micros,
    machine: Machine<NoFaults>,
    core: Core,
    machine_outputs: stonevane_membership::Outputs,
    core_outputs: stonevane_core::Outputs,
    /// Other members that are live.
    live_others: u32,
    /// Nodes that share the fleet's limits, as the core last knew them.
    node_count: usize,
    /// The node that was killed.
    victim: Option<u32>,
    false_deaths: u64,
    stalls: u64,
}

impl StubNode {
    /// A node that knows nobody. Its first outputs come with the first input.
    pub fn new(now: Micros, setup: Setup) -> StubNode {
        let Setup { number, domain, membership, machine_seed, .. } = setup;
        let machine = stonevane_membership::Setup {
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
            max_sockets: SOCKETS,
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

    /// Its number in the fleet.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// When it has to be woken next.
    pub fn next(&self) -> Micros {
        self.core.next_timeout().map_or(self.machine.next(), |next| next.min(self.machine.next()))
    }

    /// Handles an input at a time, which never goes back, and adds what is to be done to the outputs.
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
                if self.machine.next() <= now {
                    self.handle_machine(now, MachineInput::Wake, outputs);
                }
                if self.core.next_timeout().is_some_and(|next| next <= now) {
                    self.handle_core(now, CoreInput::Wake, outputs);
                }
            }
        }
    }

    /// A node of the fleet is killed now.
    pub fn watch_for(&mut self, victim: u32) {
        self.victim = Some(victim);
    }

    /// Its progress.
    pub fn progress(&self) -> NodeProgress {
        let others = self.domain.end - self.domain.start - 1;
        NodeProgress {
            complete: self.live_others == others && self.core.list_version().is_some(),
            rested: !self.machine.disseminates() && self.machine.health() == 0,
            informed: self.victim.and_then(|victim| self.state_of(victim)) == Some(State::Dead),
        }
    }

    /// The state of a node of its domain, as it sees it.
    pub fn state_of(&self, number: u32) -> Option<State> {
        let inside = self.domain.contains(&number);
        self.machine.state(inside.then(|| (number - self.domain.start) as MemberId)?)
    }

    /// Times that it took a living node for dead.
    pub fn false_deaths(&self) -> u64 {
        self.false_deaths
    }

    /// Times that the membership machine was woken later than half of its period.
    pub fn stalls(&self) -> u64 {
        self.stalls
    }

    fn handle_machine(&mut self, now: Micros, input: MachineInput<'_>, outputs: &mut Outputs) {
        // The machine counts such a delay as a stall of its own.
        if now.saturating_sub(self.machine.next()) > self.period / 2 {
            self.stalls += 1;
        }
        self.machine.handle(now, input, &mut self.machine_outputs);
        let first = self.domain.start;
        let sends = self.machine_outputs.sends.drain(..);
        outputs.datagrams.extend(sends.map(|(to, bytes)| (first + u32::from(to), bytes)));
        for event in std::mem::take(&mut self.machine_outputs.events) {
            self.take_event(event);
        }
        let node_count = self.machine.known();
        if node_count != std::mem::replace(&mut self.node_count, node_count) {
            self.handle_core(now, CoreInput::NodeCount(node_count as u32), outputs);
        }
    }

    fn take_event(&mut self, event: MemberEvent) {
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
                // The servers of the list do not exist, and without clients no request goes to any.
                CoreOutput::Open(id, _) => {
                    self.core.handle(now, CoreInput::Closed(id), &mut self.core_outputs);
                }
                _ => {}
            }
        }
    }
}
