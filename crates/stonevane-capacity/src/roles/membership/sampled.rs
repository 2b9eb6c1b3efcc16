//! A few real members, one after another, each among peers that are modelled.
//!
//! A modelled peer answers each probe with the digest of the real member's own table, as a peer with the same table
//! does. All of them together probe the real member once a period, and for each datagram of news that the real member
//! sends it receives one that is as full: in a fleet of equals a member receives on average what it sends. What only the
//! whole fleet shows (the time until all know of a death) is not told.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use oorandom::Rand64;
use stonevane_membership::wire::{self, Kind, Message};
use stonevane_membership::{Input, Instance, Machine, MemberId, Micros, Outputs, Record, Setup, State};

use crate::cpu::CpuMeter;
use crate::limits;
use crate::roles::{Figure, MeasureError};

/// Members that are real.
pub const REAL_MEMBERS: u16 = 4;

/// A second, in microseconds.
const SECOND: Micros = 1_000_000;
/// The shortest time that a datagram takes, in microseconds.
const MIN_DELAY: Micros = 200;
/// Every datagram takes less than this, in microseconds.
const DELAY_LIMIT: Micros = 10_200;
/// What counts as the start: the first minute.
const START_WINDOW: Micros = 60 * SECOND;
/// The news of a start must have ended by then.
const LONGEST_START: Micros = 7_200 * SECOND;
/// How long a steady state is measured.
const STEADY_WINDOW: Micros = 60 * SECOND;
/// Restarts of others that are measured, and the time from one to the next.
const RESTARTS: u16 = 10;
const RESTART_EVERY: Micros = 4 * SECOND;
/// How long after a member's last word its successor is heard of.
const RESTART_TAKES: Micros = 2 * SECOND;
/// What restarts set off has ended after this.
const RESTART_WINDOW: Micros = 70 * SECOND;
/// The number of the real member.
const REAL: MemberId = 0;

enum Due {
    Wake,
    PeerProbes,
    Arrive { from: MemberId, bytes: Box<[u8]> },
    Restarts(MemberId),
    Returns(MemberId),
}

type Event = Reverse<(Micros, u64, usize)>;

struct Scene {
    members: MemberId,
    now: Micros,
    rng: Rand64,
    machine: Machine,
    outputs: Outputs,
    /// Times of events, and the places of what is due in `dues`.
    queue: BinaryHeap<Event>,
    dues: Vec<Option<Due>>,
    vacant: Vec<usize>,
    order: u64,
    armed: Micros,
    /// Sequence number of all peers' datagrams.
    sequence: u64,
    /// What every peer holds of every member.
    records: Vec<Record>,
    /// Digest of the real member's table, which stands for that of its peers.
    digest: u32,
    learned: bool,
    datagrams: u64,
    bytes: u64,
    gossip: u64,
    cpu: CpuMeter,
}

impl Scene {
    fn new(members: MemberId, seed: u64) -> Scene {
        let mut rng = Rand64::new(u128::from(seed) << 16 | 0x5a);
        let draw = rng.rand_u64() as u32;
        let setup = Setup { number: REAL, members, seed: rng.rand_u64(), nonce: draw, ..Setup::default() };
        let record = |member: MemberId| Record {
            member,
            instance: Instance { generation: 1, nonce: u32::from(member) + 7 },
            incarnation: 0,
            state: State::Alive,
            by: member,
        };
        Scene {
            members,
            now: 0,
            rng,
            machine: Machine::new(0, setup),
            outputs: Outputs::default(),
            queue: BinaryHeap::new(),
            dues: Vec::new(),
            vacant: Vec::new(),
            order: 0,
            armed: Micros::MAX,
            sequence: 0,
            records: (0..members).map(record).collect(),
            digest: 0,
            learned: true,
            datagrams: 0,
            bytes: 0,
            gossip: 0,
            cpu: CpuMeter::default(),
        }
    }

    fn push(&mut self, at: Micros, due: Due) {
        let place = self.vacant.pop().unwrap_or_else(|| {
            self.dues.push(None);
            self.dues.len() - 1
        });
        self.dues[place] = Some(due);
        self.order += 1;
        self.queue.push(Reverse((at, self.order, place)));
    }

    fn peer(&mut self) -> MemberId {
        self.rng.rand_range(1..u64::from(self.members)) as MemberId
    }

    /// A datagram of a peer to the real member.
    fn datagram(&mut self, from: MemberId, kind: Kind, probe: u32, records: Vec<Record>) -> Box<[u8]> {
        self.sequence += 1;
        let own = self.records[usize::from(from)];
        let message = Message {
            version: wire::VERSION,
            max_version: wire::VERSION,
            kind,
            from,
            to: REAL,
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
        self.push(at, Due::Arrive { from, bytes });
    }

    fn tell(&mut self, input: Input<'_>) -> Result<(), MeasureError> {
        let (machine, outputs, now) = (&mut self.machine, &mut self.outputs, self.now);
        self.cpu.run(|| machine.handle(now, input, outputs));
        let next = self.machine.next();
        if next < self.armed {
            self.armed = next;
            self.push(next.max(now), Due::Wake);
        }
        self.learned |= !self.outputs.events.is_empty();
        self.outputs.events.clear();
        while let Some((to, bytes)) = self.outputs.sends.pop_front() {
            self.datagrams += 1;
            self.bytes += bytes.len() as u64;
            self.answer(to, &bytes)?;
        }
        Ok(())
    }

    /// What a peer does with a datagram of the real member.
    fn answer(&mut self, to: MemberId, bytes: &[u8]) -> Result<(), MeasureError> {
        let message = Message::read(bytes, None, self.members)
            .map_err(|e| MeasureError::Broken(format!("a member sent what is no datagram: {e:?}")))?;
        match message.kind {
            Kind::Ping => {
                // Its table is that of the real member, as far as digests go.
                if std::mem::take(&mut self.learned) {
                    self.digest = self.machine.status().digest;
                }
                self.deliver(to, Kind::Ack, message.probe, Vec::new());
            }
            Kind::Gossip => {
                self.gossip += 1;
                let records = message.records.iter().map(|record| record.member).collect::<Vec<_>>();
                let known = records.iter().map(|member| self.records[usize::from(*member)]);
                let known = known.filter(|record| record.member != REAL).collect();
                let from = self.peer();
                self.deliver(from, Kind::Gossip, 0, known);
            }
            _ => {}
        }
        Ok(())
    }

    fn take(&mut self, due: Due) -> Result<(), MeasureError> {
        match due {
            Due::Wake if self.armed == self.now => {
                self.armed = Micros::MAX;
                self.tell(Input::Wake)
            }
            Due::Wake => Ok(()),
            Due::PeerProbes => {
                let (from, probe) = (self.peer(), self.rng.rand_u64() as u32);
                self.deliver(from, Kind::Ping, probe, Vec::new());
                // On average once a second.
                let pause = self.rng.rand_range(0..2 * SECOND);
                self.push(self.now + pause, Due::PeerProbes);
                Ok(())
            }
            Due::Arrive { from, bytes } => self.tell(Input::Datagram(from, &bytes)),
            Due::Restarts(member) => {
                self.records[usize::from(member)].state = State::Left;
                self.spread(member);
                self.push(self.now + RESTART_TAKES, Due::Returns(member));
                Ok(())
            }
            Due::Returns(member) => {
                let record = &mut self.records[usize::from(member)];
                record.state = State::Alive;
                record.instance.generation += 1;
                record.instance.nonce ^= 1 << 31;
                self.spread(member);
                Ok(())
            }
        }
    }

    /// The news of a member reaches the real one.
    fn spread(&mut self, member: MemberId) {
        let from = loop {
            let peer = self.peer();
            if self.records[usize::from(peer)].state == State::Alive {
                break peer;
            }
        };
        let record = self.records[usize::from(member)];
        self.deliver(from, Kind::Gossip, 0, vec![record]);
    }

    fn run_until(&mut self, end: Micros) -> Result<(), MeasureError> {
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, place))) = self.queue.pop() else { break };
            self.now = at;
            self.vacant.push(place);
            if let Some(due) = self.dues[place].take() {
                self.take(due)?;
            }
        }
        self.now = end;
        Ok(())
    }

    /// Runs for a time: datagrams, bytes and microseconds of CPU in it.
    fn window(&mut self, lasts: Micros) -> Result<[f64; 3], MeasureError> {
        (self.datagrams, self.bytes, self.gossip, self.cpu) = (0, 0, 0, CpuMeter::default());
        self.run_until(self.now + lasts)?;
        Ok([self.datagrams as f64, self.bytes as f64, self.cpu.micros()])
    }

    /// All that peers know reaches the real member within the first seconds.
    fn fill(&mut self) {
        let room = wire::record_capacity(wire::VERSION, false, false);
        let all: Vec<Record> = self.records[1..].to_vec();
        for (turn, records) in all.chunks(room).enumerate() {
            let bytes = self.datagram(records[0].member, Kind::Gossip, 0, records.to_vec());
            let at = self.now + turn as Micros * 100;
            self.push(at, Due::Arrive { from: records[0].member, bytes });
        }
    }
}

/// Sums over the real members.
#[derive(Default)]
struct Sums {
    start: [f64; 3],
    steady: [f64; 3],
    restarts: [f64; 3],
    quiet: f64,
}

fn add(sum: &mut [f64; 3], part: [f64; 3]) {
    sum.iter_mut().zip(part).for_each(|(sum, part)| *sum += part);
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

fn play(members: MemberId, seed: u64, sums: &mut Sums) -> Result<Scene, MeasureError> {
    let mut scene = Scene::new(members, seed);
    scene.fill();
    scene.push(0, Due::PeerProbes);
    scene.tell(Input::Wake)?;
    add(&mut sums.start, scene.window(START_WINDOW)?);
    while scene.now < LONGEST_START {
        scene.window(5 * SECOND)?;
        if scene.gossip == 0 {
            break;
        }
    }
    sums.quiet += seconds(scene.now);
    add(&mut sums.steady, scene.window(STEADY_WINDOW)?);
    for turn in 0..RESTARTS.min(members / 4) {
        scene.push(scene.now + u64::from(turn) * RESTART_EVERY, Due::Restarts(members / 2 + turn));
    }
    add(&mut sums.restarts, scene.window(RESTART_WINDOW)?);
    Ok(scene)
}

/// Measures a few members.
///
/// # Errors
/// Where a member sends what can't be read.
pub fn measure(members: MemberId, seed: u64) -> Result<Vec<Figure>, MeasureError> {
    let before = limits::resident();
    let mut sums = Sums::default();
    let mut scenes = Vec::new();
    for real in 0..REAL_MEMBERS {
        scenes.push(play(members, seed.wrapping_add(u64::from(real) << 32), &mut sums)?);
    }
    let count = f64::from(REAL_MEMBERS);
    let memory = limits::resident().saturating_sub(before) as f64 / count;
    let rate = |sum: f64, window: Micros| sum / count / seconds(window);
    let steady = sums.steady.map(|sum| rate(sum, STEADY_WINDOW));
    let restarts = f64::from(RESTARTS.min(members / 4));
    let added = |place: usize| {
        (rate(sums.restarts[place], RESTART_WINDOW) - steady[place]) * seconds(RESTART_WINDOW) / restarts
    };
    Ok(vec![
        Figure::sampled("start_bytes", "B/member/s", rate(sums.start[1], START_WINDOW)),
        Figure::sampled("start_datagrams", "1/member/s", rate(sums.start[0], START_WINDOW)),
        Figure::sampled("start_cpu", "us/member/s", rate(sums.start[2], START_WINDOW)),
        Figure::sampled("start_quiet", "s", sums.quiet / count),
        Figure::sampled("steady_bytes", "B/member/s", steady[1]),
        Figure::sampled("steady_datagrams", "1/member/s", steady[0]),
        Figure::sampled("steady_cpu", "us/member/s", steady[2]),
        Figure::sampled("memory", "B/member", memory),
        Figure::sampled("restart_bytes", "B/member", added(1)),
        Figure::sampled("restart_cpu", "us/member", added(2)),
    ])
}
