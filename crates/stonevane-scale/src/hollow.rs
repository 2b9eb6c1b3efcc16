//! One hollow node as a machine: the daemon's core and its membership machine, without sockets, clock or tasks.
//!
//! The core ([`stonevane_core::Core`]) keeps the list of cache servers and says when discovery is called; the
//! membership machine ([`stonevane_membership::Machine`]) knows the other nodes of the domain, by numbers that begin with 0
//! in each domain. Out here a node has its number in the whole fleet.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Range;

use stonevane_config::operator;
use stonevane_core::{Core, DiscoveryCall, EndpointList, Input as CoreInput, Output as CoreOutput};
use stonevane_membership::{Input as MachineInput, Machine, MemberEvent, NoFaults, Number, State};
use stonevane_policy::settings::Deployment;

use crate::Micros;
use crate::plan::Membership;

/// Sockets that a core may hold; without clients and servers it holds none of them.
const SOCKETS: usize = 1_024;
/// Memory that a core may take for requests, in megabytes; without clients it takes none.
const MEMORY_MB: usize = 64;

/// What a hollow node is told at its start.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Its number in the fleet.
    pub number: u32,
    /// The numbers of its membership domain, its own among them.
    pub domain: Range<u32>,
    /// Membership.
    pub membership: Membership,
    /// What tells this life from every other, and the seed of the membership machine.
    pub machine_seed: (u32, u64),
    /// The seed of the core.
    pub core_seed: u64,
    /// The platform's settings.
    pub deployment: Deployment,
    /// Where discovery is.
    pub discovery: SocketAddr,
}

/// Something that has happened.
#[derive(Debug)]
pub enum Input<'b> {
    /// A datagram came from the address of the node of a number.
    Datagram(u32, &'b [u8]),
    /// A call to discovery has brought something.
    Discovery(CoreInput<'static>),
    /// Nothing but time.
    Wake,
}

/// What is to be done.
#[derive(Debug, Default)]
pub struct Outputs {
    /// Datagrams, and the numbers of the nodes that they are for.
    pub datagrams: VecDeque<(u32, Vec<u8>)>,
    /// Calls to discovery.
    pub calls: VecDeque<DiscoveryCall>,
}

/// How far a node has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Standing {
    /// It knows of all others of its domain, holds none of them dead, and has the list of cache servers.
    pub complete: bool,
    /// It has no news to pass on and its own health is full: it sends what it sends at rest.
    pub rested: bool,
    /// It holds the node dead that was killed.
    pub informed: bool,
}

/// One hollow node.
pub struct Hollow {
    number: u32,
    domain: Range<u32>,
    period: Micros,
    machine: Machine<NoFaults>,
    core: Core,
    machine_outputs: stonevane_membership::Outputs,
    core_outputs: stonevane_core::Outputs,
    /// Other members that live, as far as is known.
    living: u32,
    /// Nodes that share the fleet's limits, as the core was last told.
    sharers: usize,
    victim: Option<u32>,
    false_deaths: u64,
    stalls: u64,
}

impl Hollow {
    /// A node that has heard nothing yet. Its first outputs come with the first input.
    pub fn new(now: Micros, setup: Setup) -> Hollow {
        let Setup { number, domain, membership, machine_seed: (draw, seed), .. } = setup;
        let machine = stonevane_membership::Setup {
            me: (number - domain.start) as Number,
            members: (domain.end - domain.start) as Number,
            period: membership.period,
            answer: membership.answer,
            indirect: membership.indirect,
            suspicion: membership.suspicion,
            heeds_health: membership.heeds_health,
            key: None,
            speaks: membership.speaks,
            seed,
            draw,
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
        Hollow {
            number,
            domain,
            period: membership.period,
            machine: Machine::new(now, machine),
            core: Core::new(now, core),
            machine_outputs: stonevane_membership::Outputs::default(),
            core_outputs: stonevane_core::Outputs::new(),
            living: 0,
            sharers: 0,
            victim: None,
            false_deaths: 0,
            stalls: 0,
        }
    }

    /// Its number in the fleet.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// When it wants to be woken, at the latest.
    pub fn next(&self) -> Micros {
        self.core.next_timeout().map_or(self.machine.next(), |next| next.min(self.machine.next()))
    }

    /// Something has happened at a time, which never goes back: what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, outputs: &mut Outputs) {
        match input {
            Input::Datagram(from, bytes) => {
                if self.domain.contains(&from) {
                    let from = (from - self.domain.start) as Number;
                    self.tell_machine(now, MachineInput::Datagram(from, bytes), outputs);
                }
            }
            Input::Discovery(input) => self.tell_core(now, input, outputs),
            Input::Wake => {
                if self.machine.next() <= now {
                    self.tell_machine(now, MachineInput::Wake, outputs);
                }
                if self.core.next_timeout().is_some_and(|next| next <= now) {
                    self.tell_core(now, CoreInput::Wake, outputs);
                }
            }
        }
    }

    /// A node of the fleet is dead from now on.
    pub fn watch_for(&mut self, victim: u32) {
        self.victim = Some(victim);
    }

    /// How far it has come.
    pub fn standing(&self) -> Standing {
        let others = self.domain.end - self.domain.start - 1;
        Standing {
            complete: self.living == others && self.core.list_version().is_some(),
            rested: !self.machine.disseminates() && self.machine.health() == 0,
            informed: self.victim.and_then(|victim| self.held(victim)) == Some(State::Dead),
        }
    }

    /// What a node of its domain is held to be.
    pub fn held(&self, number: u32) -> Option<State> {
        let inside = self.domain.contains(&number);
        self.machine.state(inside.then(|| (number - self.domain.start) as Number)?)
    }

    /// Times that it held a living node dead.
    pub fn false_deaths(&self) -> u64 {
        self.false_deaths
    }

    /// Times that the membership machine was woken later than half of its period.
    pub fn stalls(&self) -> u64 {
        self.stalls
    }

    fn tell_machine(&mut self, now: Micros, input: MachineInput<'_>, outputs: &mut Outputs) {
        // The machine itself counts such a delay as a time in which it stood still.
        if now.saturating_sub(self.machine.next()) > self.period / 2 {
            self.stalls += 1;
        }
        self.machine.handle(now, input, &mut self.machine_outputs);
        let first = self.domain.start;
        let sends = self.machine_outputs.sends.drain(..);
        outputs.datagrams.extend(sends.map(|(to, bytes)| (first + u32::from(to), bytes)));
        for news in std::mem::take(&mut self.machine_outputs.news) {
            self.take_news(news);
        }
        let sharers = self.machine.known();
        if sharers != std::mem::replace(&mut self.sharers, sharers) {
            self.tell_core(now, CoreInput::NodeCount(sharers as u32), outputs);
        }
    }

    fn take_news(&mut self, news: MemberEvent) {
        let member = self.domain.start + u32::from(news.now.member);
        if member == self.number {
            return;
        }
        let (lived, lives) = (news.was.is_some_and(State::is_live), news.now.state.is_live());
        self.living = self.living + u32::from(lives) - u32::from(lived);
        if news.now.state == State::Dead && self.victim != Some(member) {
            self.false_deaths += 1;
        }
    }

    fn tell_core(&mut self, now: Micros, input: CoreInput<'_>, outputs: &mut Outputs) {
        self.core.handle(now, input, &mut self.core_outputs);
        while let Some(output) = self.core_outputs.pop_front() {
            match output {
                CoreOutput::Discovery(call) => outputs.calls.push_back(call),
                // No server of the list is there, and without clients none is asked for.
                CoreOutput::Open(id, _) => {
                    self.core.handle(now, CoreInput::Closed(id), &mut self.core_outputs);
                }
                _ => {}
            }
        }
    }
}
