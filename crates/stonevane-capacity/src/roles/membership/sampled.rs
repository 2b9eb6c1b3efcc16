//! Real members, one after another, each among modelled peers.
//!
//! A modelled peer answers each probe with the digest of the real member's own table, as a peer with the same
//! table does. All peers together probe the real member once per period on average. The real member receives
//! one gossip datagram for each that it sends, with as many records, because in a fleet of equal members a
//! member receives on average what it sends. Metrics that need the whole fleet (the time until all members
//! know of a death) are not measured.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use oorandom::Rand64;
use stonevane_membership::wire::{self, Kind, Message};
use stonevane_membership::{
    Input, Instance, Machine, MemberConfig, MemberId, Micros, Outputs, Record, State,
};

use crate::cpu::CpuMeter;
use crate::limits;
use crate::roles::{MeasureError, MetricValue};

/// Number of real members that are measured one after another; the results are their means.
pub const REAL_MEMBERS: u16 = 4;

/// One second, in microseconds.
const SECOND: Micros = 1_000_000;
/// Shortest network delay of a datagram.
const MIN_DELAY: Micros = 200;
/// Exclusive upper bound of the network delay of a datagram.
const DELAY_LIMIT: Micros = 10_200;
/// Length of the measurement window at the start of the member.
const START_WINDOW: Micros = 60 * SECOND;
/// Simulated time, from zero, after which the measurement stops waiting for the gossip of the start to end.
const START_TIMEOUT: Micros = 7_200 * SECOND;
/// Length of the measurement window in the steady state.
const STEADY_WINDOW: Micros = 60 * SECOND;
/// Number of measured restarts of peers.
const RESTART_COUNT: u16 = 10;
/// Time from one restart to the next.
const RESTART_INTERVAL: Micros = 4 * SECOND;
/// Time between the gossip that a peer left and the gossip that it is alive again.
const RESTART_TIME: Micros = 2 * SECOND;
/// Length of the measurement window for the restarts; by its end their gossip has ended.
const RESTART_WINDOW: Micros = 70 * SECOND;
/// Member number of the real member.
const REAL_MEMBER: MemberId = 0;

enum Action {
    Wake,
    PeerProbe,
    Arrive { from: MemberId, bytes: Box<[u8]> },
    PeerLeaves(MemberId),
    PeerReturns(MemberId),
}

type Event = Reverse<(Micros, u64, usize)>;

struct Simulation {
    members: MemberId,
    now: Micros,
    rng: Rand64,
    machine: Machine,
    outputs: Outputs,
    /// Pending events: the time of each and the index of its action in `actions`.
    queue: BinaryHeap<Event>,
    actions: Vec<Option<Action>>,
    free_indices: Vec<usize>,
    event_order: u64,
    next_wake: Micros,
    /// Sequence number of the last datagram from a peer.
    sequence: u64,
    /// Records of all members, the same at every peer.
    records: Vec<Record>,
    /// Digest of the real member's table, which also serves as that of its peers.
    digest: u32,
    digest_outdated: bool,
    datagrams: u64,
    bytes: u64,
    gossip_datagrams: u64,
    cpu: CpuMeter,
}

impl Simulation {
    fn new(members: MemberId, seed: u64) -> Simulation {
        let mut rng = Rand64::new(u128::from(seed) << 16 | 0x5a);
        let nonce = rng.rand_u64() as u32;
        let config = MemberConfig {
            number: REAL_MEMBER,
            members,
            seed: rng.rand_u64(),
            nonce,
            ..MemberConfig::default()
        };
        let record = |member: MemberId| Record {
            member,
            instance: Instance { generation: 1, nonce: u32::from(member) + 7 },
            incarnation: 0,
            state: State::Alive,
            by: member,
        };
        Simulation {
            members,
            now: 0,
            rng,
            machine: Machine::new(0, config),
            outputs: Outputs::default(),
            queue: BinaryHeap::new(),
            actions: Vec::new(),
            free_indices: Vec::new(),
            event_order: 0,
            next_wake: Micros::MAX,
            sequence: 0,
            records: (0..members).map(record).collect(),
            digest: 0,
            digest_outdated: true,
            datagrams: 0,
            bytes: 0,
            gossip_datagrams: 0,
            cpu: CpuMeter::default(),
        }
    }

    fn schedule(&mut self, at: Micros, action: Action) {
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.actions.push(None);
            self.actions.len() - 1
        });
        self.actions[index] = Some(action);
        self.event_order += 1;
        self.queue.push(Reverse((at, self.event_order, index)));
    }

    fn random_peer(&mut self) -> MemberId {
        self.rng.rand_range(1..u64::from(self.members)) as MemberId
    }

    /// Encodes a datagram from a peer to the real member.
    fn datagram(&mut self, from: MemberId, kind: Kind, probe: u32, records: Vec<Record>) -> Box<[u8]> {
        self.sequence += 1;
        let own = self.records[usize::from(from)];
        let message = Message {
            version: wire::VERSION,
            max_version: wire::VERSION,
            kind,
            from,
            to: REAL_MEMBER,
            instance: own.instance,
            incarnation: own.incarnation,
            sequence: self.sequence,
            probe,
            about: from,
            digest: self.digest,
            health: 0,
            digests: None,
            records,
        };
        message.bytes(None).into()
    }

    fn deliver(&mut self, from: MemberId, kind: Kind, probe: u32, records: Vec<Record>) {
        let bytes = self.datagram(from, kind, probe, records);
        let at = self.now + self.rng.rand_range(MIN_DELAY..DELAY_LIMIT);
        self.schedule(at, Action::Arrive { from, bytes });
    }

    fn handle_input(&mut self, input: Input<'_>) -> Result<(), MeasureError> {
        let (machine, outputs, now) = (&mut self.machine, &mut self.outputs, self.now);
        self.cpu.run(|| machine.handle(now, input, outputs));
        let next = self.machine.next_wake_at();
        if next < self.next_wake {
            self.next_wake = next;
            self.schedule(next.max(now), Action::Wake);
        }
        self.digest_outdated |= !self.outputs.events.is_empty();
        self.outputs.events.clear();
        while let Some((to, bytes)) = self.outputs.sends.pop_front() {
            self.datagrams += 1;
            self.bytes += bytes.len() as u64;
            self.handle_datagram(to, &bytes)?;
        }
        Ok(())
    }

    /// Handles a datagram from the real member as peer `to` would.
    fn handle_datagram(&mut self, to: MemberId, bytes: &[u8]) -> Result<(), MeasureError> {
        let message = Message::read(bytes, None, self.members).map_err(|e| {
            MeasureError::UnexpectedBehavior(format!("the real member sent a malformed datagram: {e:?}"))
        })?;
        match message.kind {
            Kind::Ping => {
                // The digest of a peer is that of the real member.
                if std::mem::take(&mut self.digest_outdated) {
                    self.digest = self.machine.status().digest;
                }
                self.deliver(to, Kind::Ack, message.probe, Vec::new());
            }
            Kind::Gossip => {
                self.gossip_datagrams += 1;
                let members = message.records.iter().map(|record| record.member).collect::<Vec<_>>();
                let records = members.iter().map(|member| self.records[usize::from(*member)]);
                let records = records.filter(|record| record.member != REAL_MEMBER).collect();
                let from = self.random_peer();
                self.deliver(from, Kind::Gossip, 0, records);
            }
            _ => {}
        }
        Ok(())
    }

    fn perform(&mut self, action: Action) -> Result<(), MeasureError> {
        match action {
            Action::Wake if self.next_wake == self.now => {
                self.next_wake = Micros::MAX;
                self.handle_input(Input::Wake)
            }
            Action::Wake => Ok(()),
            Action::PeerProbe => {
                let (from, probe) = (self.random_peer(), self.rng.rand_u64() as u32);
                self.deliver(from, Kind::Ping, probe, Vec::new());
                // Uniform delay with a mean of one second.
                let delay = self.rng.rand_range(0..2 * SECOND);
                self.schedule(self.now + delay, Action::PeerProbe);
                Ok(())
            }
            Action::Arrive { from, bytes } => self.handle_input(Input::Datagram(from, &bytes)),
            Action::PeerLeaves(member) => {
                self.records[usize::from(member)].state = State::Left;
                self.gossip_record(member);
                self.schedule(self.now + RESTART_TIME, Action::PeerReturns(member));
                Ok(())
            }
            Action::PeerReturns(member) => {
                let record = &mut self.records[usize::from(member)];
                record.state = State::Alive;
                record.instance.generation += 1;
                record.instance.nonce ^= 1 << 31;
                self.gossip_record(member);
                Ok(())
            }
        }
    }

    /// Sends the record of a member to the real member, as gossip from a random living peer.
    fn gossip_record(&mut self, member: MemberId) {
        let from = loop {
            let peer = self.random_peer();
            if self.records[usize::from(peer)].state == State::Alive {
                break peer;
            }
        };
        let record = self.records[usize::from(member)];
        self.deliver(from, Kind::Gossip, 0, vec![record]);
    }

    fn run_until(&mut self, end: Micros) -> Result<(), MeasureError> {
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, index))) = self.queue.pop() else { break };
            self.now = at;
            self.free_indices.push(index);
            if let Some(action) = self.actions[index].take() {
                self.perform(action)?;
            }
        }
        self.now = end;
        Ok(())
    }

    /// Runs for `duration`; returns the datagrams and bytes that the real member sent, and its processor time
    /// in microseconds.
    fn run_window(&mut self, duration: Micros) -> Result<[f64; 3], MeasureError> {
        (self.datagrams, self.bytes, self.gossip_datagrams, self.cpu) = (0, 0, 0, CpuMeter::default());
        self.run_until(self.now + duration)?;
        Ok([self.datagrams as f64, self.bytes as f64, self.cpu.micros()])
    }

    /// Schedules the records of all peers to reach the real member within the first seconds.
    fn schedule_full_table(&mut self) {
        let capacity = wire::record_capacity(wire::VERSION, false, false);
        let all: Vec<Record> = self.records[1..].to_vec();
        for (index, records) in all.chunks(capacity).enumerate() {
            let bytes = self.datagram(records[0].member, Kind::Gossip, 0, records.to_vec());
            let at = self.now + index as Micros * 100;
            self.schedule(at, Action::Arrive { from: records[0].member, bytes });
        }
    }
}

/// Sums over the real members; arrays hold datagrams, bytes and microseconds of processor time.
#[derive(Default)]
struct Sums {
    start: [f64; 3],
    steady: [f64; 3],
    restarts: [f64; 3],
    quiet: f64,
}

fn add(sum: &mut [f64; 3], values: [f64; 3]) {
    sum.iter_mut().zip(values).for_each(|(sum, value)| *sum += value);
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

fn simulate(members: MemberId, seed: u64, sums: &mut Sums) -> Result<Simulation, MeasureError> {
    let mut simulation = Simulation::new(members, seed);
    simulation.schedule_full_table();
    simulation.schedule(0, Action::PeerProbe);
    simulation.handle_input(Input::Wake)?;
    add(&mut sums.start, simulation.run_window(START_WINDOW)?);
    while simulation.now < START_TIMEOUT {
        simulation.run_window(5 * SECOND)?;
        if simulation.gossip_datagrams == 0 {
            break;
        }
    }
    sums.quiet += seconds(simulation.now);
    add(&mut sums.steady, simulation.run_window(STEADY_WINDOW)?);
    for index in 0..RESTART_COUNT.min(members / 4) {
        simulation.schedule(
            simulation.now + u64::from(index) * RESTART_INTERVAL,
            Action::PeerLeaves(members / 2 + index),
        );
    }
    add(&mut sums.restarts, simulation.run_window(RESTART_WINDOW)?);
    Ok(simulation)
}

/// Measures [`REAL_MEMBERS`] real members of a fleet of `members` members.
///
/// # Errors
/// If a real member sends a malformed datagram.
pub fn measure(members: MemberId, seed: u64) -> Result<Vec<MetricValue>, MeasureError> {
    let before = limits::resident_bytes();
    let mut sums = Sums::default();
    let mut simulations = Vec::new();
    for real in 0..REAL_MEMBERS {
        simulations.push(simulate(members, seed.wrapping_add(u64::from(real) << 32), &mut sums)?);
    }
    let count = f64::from(REAL_MEMBERS);
    let memory = limits::resident_bytes().saturating_sub(before) as f64 / count;
    let rate = |sum: f64, window: Micros| sum / count / seconds(window);
    let steady = sums.steady.map(|sum| rate(sum, STEADY_WINDOW));
    let restarts = f64::from(RESTART_COUNT.min(members / 4));
    let added = |index: usize| {
        (rate(sums.restarts[index], RESTART_WINDOW) - steady[index]) * seconds(RESTART_WINDOW) / restarts
    };
    Ok(vec![
        MetricValue::sampled("start_bytes", "B/member/s", rate(sums.start[1], START_WINDOW)),
        MetricValue::sampled("start_datagrams", "1/member/s", rate(sums.start[0], START_WINDOW)),
        MetricValue::sampled("start_cpu", "us/member/s", rate(sums.start[2], START_WINDOW)),
        MetricValue::sampled("start_quiet", "s", sums.quiet / count),
        MetricValue::sampled("steady_bytes", "B/member/s", steady[1]),
        MetricValue::sampled("steady_datagrams", "1/member/s", steady[0]),
        MetricValue::sampled("steady_cpu", "us/member/s", steady[2]),
        MetricValue::sampled("memory", "B/member", memory),
        MetricValue::sampled("restart_bytes", "B/member", added(1)),
        MetricValue::sampled("restart_cpu", "us/member", added(2)),
    ])
}
