//! A fleet whose every member is a real machine.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use oorandom::Rand64;
use stonevane_membership::{Input, Machine, MemberId, Micros, Outputs, Setup, State};

use crate::cpu::CpuMeter;
use crate::limits;
use crate::roles::{Conditions, Figure, MeasureError};

/// A second, in microseconds.
const SECOND: Micros = 1_000_000;
/// Members start within this.
const STARTS: Micros = 2 * SECOND;
/// The shortest time that a datagram takes, in microseconds.
const MIN_DELAY: Micros = 200;
/// Every datagram takes less than this, in microseconds.
const DELAY_LIMIT: Micros = 10_200;
/// What counts as the start: the first minute.
const START_WINDOW: Micros = 60 * SECOND;
/// The start's news must have ended by then.
const LONGEST_START: Micros = 1_200 * SECOND;
/// The news has ended when fewer datagrams of nothing but news than this are sent, for each member and second.
const QUIET: f64 = 0.01;
/// How long a steady state is measured.
const STEADY_WINDOW: Micros = 30 * SECOND;
/// Restarts that are measured, and the time from one to the next.
const RESTARTS: u16 = 10;
const RESTART_EVERY: Micros = 4 * SECOND;
/// A process that is told to end drains for this long, and its successor starts after the second time.
const RESTART_DRAINS: Micros = SECOND / 2;
const RESTART_TAKES: Micros = 2 * SECOND;
/// What restarts set off has ended after this.
const RESTART_WINDOW: Micros = 70 * SECOND;
/// Members that die without a word, all at once, and how long the others may take to know.
const DEATHS: u16 = 3;
const LONGEST_DEATH: Micros = 180 * SECOND;
/// The place of a datagram's kind in its bytes, and the kind that carries nothing but news.
const KIND_AT: usize = 2;
const KIND_GOSSIP: u8 = 4;

enum Due {
    Start(MemberId),
    Leave(MemberId),
    End(MemberId),
    Wake(MemberId),
    Arrive { from: MemberId, to: MemberId, bytes: Box<[u8]> },
}

struct Event {
    at: Micros,
    order: u64,
    due: Due,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// What members have sent and used since a moment.
#[derive(Debug, Default, Clone, Copy)]
struct Traffic {
    datagrams: u64,
    bytes: u64,
    gossip: u64,
    most_bytes: u64,
    cpu: CpuMeter,
}

/// What a member tells about another that died.
struct Death {
    member: MemberId,
    at: Micros,
    unaware: BTreeSet<MemberId>,
    first: Option<Micros>,
    last: Micros,
}

struct Process {
    machine: Option<Machine>,
    armed: Micros,
    /// Others that it has heard of.
    known: u32,
    /// Bytes sent in the second that began last.
    second: (Micros, u64),
}

struct Fleet {
    members: MemberId,
    now: Micros,
    order: u64,
    queue: BinaryHeap<Reverse<Event>>,
    rng: Rand64,
    processes: Vec<Process>,
    outputs: Outputs,
    traffic: Traffic,
    /// Members that have heard of all others, and when the last one had.
    informed: (u32, Micros),
    deaths: Vec<Death>,
    false_deaths: u64,
    memory: u64,
    checked: Micros,
}

impl Fleet {
    fn new(members: MemberId, conditions: &Conditions) -> Fleet {
        let process = || Process { machine: None, armed: Micros::MAX, known: 0, second: (0, 0) };
        let mut fleet = Fleet {
            members,
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            rng: Rand64::new(u128::from(conditions.seed) << 16 | 0xca),
            processes: (0..members).map(|_| process()).collect(),
            outputs: Outputs::default(),
            traffic: Traffic::default(),
            informed: (0, 0),
            deaths: Vec::new(),
            false_deaths: 0,
            memory: conditions.memory,
            checked: 0,
        };
        for member in 0..members {
            let at = fleet.rng.rand_range(0..STARTS);
            fleet.push(at, Due::Start(member));
        }
        fleet
    }

    fn push(&mut self, at: Micros, due: Due) {
        self.order += 1;
        self.queue.push(Reverse(Event { at, order: self.order, due }));
    }

    fn run_until(&mut self, end: Micros) -> Result<(), MeasureError> {
        while self.queue.peek().is_some_and(|Reverse(event)| event.at <= end) {
            let Some(Reverse(event)) = self.queue.pop() else { break };
            self.now = event.at;
            self.take(event.due);
            self.check_memory()?;
        }
        self.now = end;
        Ok(())
    }

    /// Once a simulated second, whether the process has grown beyond what it may take.
    fn check_memory(&mut self) -> Result<(), MeasureError> {
        if self.now < self.checked + SECOND {
            return Ok(());
        }
        self.checked = self.now;
        limits::check(u64::from(self.members), limits::resident(), self.memory)?;
        Ok(())
    }

    fn take(&mut self, due: Due) {
        match due {
            Due::Start(member) => self.start(member),
            Due::Leave(member) => {
                self.tell(member, Input::Leave);
                self.push(self.now + RESTART_DRAINS, Due::End(member));
                self.push(self.now + RESTART_TAKES, Due::Start(member));
            }
            Due::End(member) => self.processes[usize::from(member)].machine = None,
            Due::Wake(member) => {
                let process = &mut self.processes[usize::from(member)];
                if process.armed == self.now {
                    process.armed = Micros::MAX;
                    self.tell(member, Input::Wake);
                }
            }
            Due::Arrive { from, to, bytes } => self.tell(to, Input::Datagram(from, &bytes)),
        }
    }

    fn start(&mut self, member: MemberId) {
        let setup = Setup {
            number: member,
            members: self.members,
            seed: self.rng.rand_u64(),
            nonce: self.rng.rand_u64() as u32,
            ..Setup::default()
        };
        let process = &mut self.processes[usize::from(member)];
        (process.machine, process.armed) = (Some(Machine::new(self.now, setup)), Micros::MAX);
        self.tell(member, Input::Wake);
    }

    fn tell(&mut self, member: MemberId, input: Input<'_>) {
        let process = &mut self.processes[usize::from(member)];
        let Some(machine) = &mut process.machine else { return };
        let (now, outputs) = (self.now, &mut self.outputs);
        self.traffic.cpu.run(|| machine.handle(now, input, outputs));
        let next = machine.next();
        let wakes = next < process.armed;
        process.armed = process.armed.min(next);
        if wakes {
            self.push(next.max(now), Due::Wake(member));
        }
        self.hear_news(member);
        self.carry(member);
    }

    fn hear_news(&mut self, observer: MemberId) {
        let others = u32::from(self.members) - 1;
        for news in std::mem::take(&mut self.outputs.events) {
            let process = &mut self.processes[usize::from(observer)];
            if news.previous.is_none() && news.record.member != observer {
                process.known += 1;
                if process.known == others {
                    self.informed = (self.informed.0 + 1, self.now);
                }
            }
            if news.record.state == State::Dead {
                self.hear_death(observer, news.record.member);
            }
        }
    }

    fn hear_death(&mut self, observer: MemberId, member: MemberId) {
        let now = self.now;
        let Some(death) = self.deaths.iter_mut().find(|death| death.member == member) else {
            self.false_deaths += u64::from(self.processes[usize::from(member)].machine.is_some());
            return;
        };
        if death.unaware.remove(&observer) {
            death.first.get_or_insert(now);
            death.last = now;
        }
    }

    fn carry(&mut self, from: MemberId) {
        let mut bytes_sent = 0;
        while let Some((to, bytes)) = self.outputs.sends.pop_front() {
            self.traffic.datagrams += 1;
            self.traffic.gossip += u64::from(bytes.get(KIND_AT) == Some(&KIND_GOSSIP));
            bytes_sent += bytes.len() as u64;
            let at = self.now + self.rng.rand_range(MIN_DELAY..DELAY_LIMIT);
            self.push(at, Due::Arrive { from, to, bytes: bytes.into() });
        }
        self.traffic.bytes += bytes_sent;
        let process = &mut self.processes[usize::from(from)];
        if self.now >= process.second.0 + SECOND {
            process.second = (self.now, 0);
        }
        process.second.1 += bytes_sent;
        self.traffic.most_bytes = self.traffic.most_bytes.max(process.second.1);
    }

    /// Runs for a time, and tells what was sent and used in it.
    fn window(&mut self, lasts: Micros) -> Result<Traffic, MeasureError> {
        self.traffic = Traffic::default();
        self.run_until(self.now + lasts)?;
        Ok(self.traffic)
    }

    /// Runs until hardly any news is passed on; when that was.
    fn run_until_quiet(&mut self) -> Result<Option<Micros>, MeasureError> {
        let lasts = 5 * SECOND;
        while self.now < LONGEST_START {
            let traffic = self.window(lasts)?;
            if per_member_second(traffic.gossip as f64, self.members, lasts) < QUIET {
                return Ok(Some(self.now - lasts));
            }
        }
        Ok(None)
    }

    fn restart_some(&mut self) {
        let first = self.members / 2;
        for turn in 0..RESTARTS.min(self.members / 4) {
            let at = self.now + u64::from(turn) * RESTART_EVERY;
            self.push(at, Due::Leave(first + turn));
        }
    }

    fn kill_some(&mut self) {
        for member in 0..DEATHS.min(self.members / 4) {
            self.processes[usize::from(member)].machine = None;
            let living = (0..self.members).filter(|m| self.processes[usize::from(*m)].machine.is_some());
            let unaware = living.collect();
            self.deaths.push(Death { member, at: self.now, unaware, first: None, last: self.now });
        }
        // Those that died with it need not know.
        for death in &mut self.deaths {
            death.unaware.retain(|member| self.processes[usize::from(*member)].machine.is_some());
        }
    }

    fn run_until_known(&mut self) -> Result<(), MeasureError> {
        let end = self.now + LONGEST_DEATH;
        while self.now < end && self.deaths.iter().any(|death| !death.unaware.is_empty()) {
            self.run_until(self.now + SECOND)?;
        }
        Ok(())
    }
}

fn per_member_second(total: f64, members: MemberId, lasts: Micros) -> f64 {
    total / f64::from(members) / (lasts as f64 / SECOND as f64)
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

/// Measures a fleet from its start, in a steady state, through restarts and after deaths.
///
/// # Errors
/// Where memory runs out on the way.
pub fn measure(members: MemberId, conditions: &Conditions) -> Result<Vec<Figure>, MeasureError> {
    let before = limits::resident();
    let mut fleet = Fleet::new(members, conditions);
    let mut figures = Vec::new();
    let per = |total: f64, lasts: Micros| per_member_second(total, members, lasts);

    let start = fleet.window(START_WINDOW)?;
    figures.push(Figure::measured("start_bytes", "B/member/s", per(start.bytes as f64, START_WINDOW)));
    figures.push(Figure::measured(
        "start_datagrams",
        "1/member/s",
        per(start.datagrams as f64, START_WINDOW),
    ));
    figures.push(Figure::measured("start_most_bytes", "B/s", start.most_bytes as f64));
    figures.push(Figure::measured("start_cpu", "us/member/s", per(start.cpu.micros(), START_WINDOW)));
    let quiet = fleet.run_until_quiet()?;
    let known = if fleet.informed.0 == u32::from(members) { seconds(fleet.informed.1) } else { f64::NAN };
    figures.push(Figure::measured("start_known", "s", known));
    figures.push(Figure::measured("start_quiet", "s", quiet.map_or(f64::NAN, seconds)));

    let steady = fleet.window(STEADY_WINDOW)?;
    let steady_bytes = per(steady.bytes as f64, STEADY_WINDOW);
    let steady_cpu = per(steady.cpu.micros(), STEADY_WINDOW);
    figures.push(Figure::measured("steady_bytes", "B/member/s", steady_bytes));
    figures.push(Figure::measured(
        "steady_datagrams",
        "1/member/s",
        per(steady.datagrams as f64, STEADY_WINDOW),
    ));
    figures.push(Figure::measured("steady_cpu", "us/member/s", steady_cpu));
    let memory = limits::resident().saturating_sub(before) as f64 / f64::from(members);
    figures.push(Figure::measured("memory", "B/member", memory));

    fleet.restart_some();
    let count = f64::from(RESTARTS.min(members / 4));
    let restarts = fleet.window(RESTART_WINDOW)?;
    let added = |total: f64, steady: f64| {
        let window = seconds(RESTART_WINDOW);
        (per(total, RESTART_WINDOW) - steady) * window / count
    };
    figures.push(Figure::measured("restart_bytes", "B/member", added(restarts.bytes as f64, steady_bytes)));
    figures.push(Figure::measured("restart_cpu", "us/member", added(restarts.cpu.micros(), steady_cpu)));

    fleet.kill_some();
    fleet.traffic = Traffic::default();
    let killed_at = fleet.now;
    fleet.run_until_known()?;
    let lasted = fleet.now - killed_at;
    let first = fleet.deaths.iter().filter_map(|death| Some(death.first? - death.at)).min();
    let all_know = fleet.deaths.iter().all(|death| death.unaware.is_empty());
    let last = fleet.deaths.iter().map(|death| death.last - death.at).max().filter(|_| all_know);
    figures.push(Figure::measured("death_first", "s", first.map_or(f64::NAN, seconds)));
    figures.push(Figure::measured("death_all", "s", last.map_or(f64::NAN, seconds)));
    figures.push(Figure::measured("death_bytes", "B/member/s", per(fleet.traffic.bytes as f64, lasted)));
    figures.push(Figure::measured("death_cpu", "us/member/s", per(fleet.traffic.cpu.micros(), lasted)));
    figures.push(Figure::measured("false_deaths", "1", fleet.false_deaths as f64));
    Ok(figures)
}
