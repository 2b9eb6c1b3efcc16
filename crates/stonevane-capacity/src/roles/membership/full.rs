//! Simulated fleet in which every member runs the real membership machine.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use oorandom::Rand64;
use stonevane_membership::{Input, Machine, MemberConfig, MemberId, Micros, Outputs, State};

use crate::cpu::CpuMeter;
use crate::limits;
use crate::roles::{Conditions, MeasureError, MetricValue};

/// One second, in microseconds.
const SECOND: Micros = 1_000_000;
/// Length of the interval in which the members start, each at a random time.
const START_SPREAD: Micros = 2 * SECOND;
/// Shortest network delay of a datagram.
const MIN_DELAY: Micros = 200;
/// Exclusive upper bound of the network delay of a datagram.
const DELAY_LIMIT: Micros = 10_200;
/// Length of the measurement window at the start of the fleet.
const START_WINDOW: Micros = 60 * SECOND;
/// Simulated time, from zero, after which the measurement stops waiting for the gossip of the start to end.
const START_TIMEOUT: Micros = 1_200 * SECOND;
/// Rate of gossip-only datagrams, per member and second, below which the gossip counts as ended.
const QUIET_GOSSIP_RATE: f64 = 0.01;
/// Length of the measurement window in the steady state.
const STEADY_WINDOW: Micros = 30 * SECOND;
/// Number of measured restarts.
const RESTART_COUNT: u16 = 10;
/// Time from one restart to the next.
const RESTART_INTERVAL: Micros = 4 * SECOND;
/// Time from the order to leave until a restarting process ends.
const RESTART_DRAIN_TIME: Micros = SECOND / 2;
/// Time from the order to leave until the successor of the process starts.
const RESTART_TIME: Micros = 2 * SECOND;
/// Length of the measurement window for the restarts; by its end their gossip has ended.
const RESTART_WINDOW: Micros = 70 * SECOND;
/// Members that are killed at once, without leaving.
const DEATH_COUNT: u16 = 3;
/// Maximum time to wait until all other members know of the deaths.
const DEATH_TIMEOUT: Micros = 180 * SECOND;
/// Offset of the kind byte in a datagram.
const KIND_OFFSET: usize = 2;
/// Value of the kind byte of a datagram that carries only gossip.
const KIND_GOSSIP: u8 = 4;

enum Action {
    Start(MemberId),
    Leave(MemberId),
    End(MemberId),
    Wake(MemberId),
    Arrive { from: MemberId, to: MemberId, bytes: Box<[u8]> },
}

struct Event {
    at: Micros,
    sequence: u64,
    action: Action,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
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
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Traffic and processor time of all members since the start of a window.
#[derive(Debug, Default, Clone, Copy)]
struct Traffic {
    datagrams: u64,
    bytes: u64,
    gossip_datagrams: u64,
    peak_bytes_per_s: u64,
    cpu: CpuMeter,
}

/// Killed member, and when the other members learn of its death.
struct Death {
    member: MemberId,
    at: Micros,
    unaware: BTreeSet<MemberId>,
    first_known: Option<Micros>,
    last_known: Micros,
}

struct Process {
    machine: Option<Machine>,
    next_wake: Micros,
    /// Number of other members that this member knows.
    known: u32,
    /// Start of the current one-second interval, and the bytes that this member sent in it.
    current_second: (Micros, u64),
}

struct Fleet {
    members: MemberId,
    now: Micros,
    sequence: u64,
    queue: BinaryHeap<Reverse<Event>>,
    rng: Rand64,
    processes: Vec<Process>,
    outputs: Outputs,
    traffic: Traffic,
    /// Number of members that know all others, and the time at which the last of them came to know all.
    fully_informed: (u32, Micros),
    deaths: Vec<Death>,
    false_deaths: u64,
    memory_limit: u64,
    memory_checked_at: Micros,
}

impl Fleet {
    fn new(members: MemberId, conditions: &Conditions) -> Fleet {
        let process = || Process { machine: None, next_wake: Micros::MAX, known: 0, current_second: (0, 0) };
        let mut fleet = Fleet {
            members,
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            rng: Rand64::new(u128::from(conditions.seed) << 16 | 0xca),
            processes: (0..members).map(|_| process()).collect(),
            outputs: Outputs::default(),
            traffic: Traffic::default(),
            fully_informed: (0, 0),
            deaths: Vec::new(),
            false_deaths: 0,
            memory_limit: conditions.memory_limit_bytes,
            memory_checked_at: 0,
        };
        for member in 0..members {
            let at = fleet.rng.rand_range(0..START_SPREAD);
            fleet.schedule(at, Action::Start(member));
        }
        fleet
    }

    fn schedule(&mut self, at: Micros, action: Action) {
        self.sequence += 1;
        self.queue.push(Reverse(Event { at, sequence: self.sequence, action }));
    }

    fn run_until(&mut self, end: Micros) -> Result<(), MeasureError> {
        while self.queue.peek().is_some_and(|Reverse(event)| event.at <= end) {
            let Some(Reverse(event)) = self.queue.pop() else { break };
            self.now = event.at;
            self.perform(event.action);
            self.check_memory()?;
        }
        self.now = end;
        Ok(())
    }

    /// Checks the resident memory against the limit, once per simulated second.
    fn check_memory(&mut self) -> Result<(), MeasureError> {
        if self.now < self.memory_checked_at + SECOND {
            return Ok(());
        }
        self.memory_checked_at = self.now;
        limits::check(u64::from(self.members), limits::resident_bytes(), self.memory_limit)?;
        Ok(())
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Start(member) => self.start(member),
            Action::Leave(member) => {
                self.handle_input(member, Input::Leave);
                self.schedule(self.now + RESTART_DRAIN_TIME, Action::End(member));
                self.schedule(self.now + RESTART_TIME, Action::Start(member));
            }
            Action::End(member) => self.processes[usize::from(member)].machine = None,
            Action::Wake(member) => {
                let process = &mut self.processes[usize::from(member)];
                if process.next_wake == self.now {
                    process.next_wake = Micros::MAX;
                    self.handle_input(member, Input::Wake);
                }
            }
            Action::Arrive { from, to, bytes } => self.handle_input(to, Input::Datagram(from, &bytes)),
        }
    }

    fn start(&mut self, member: MemberId) {
        let config = MemberConfig {
            number: member,
            members: self.members,
            seed: self.rng.rand_u64(),
            nonce: self.rng.rand_u64() as u32,
            ..MemberConfig::default()
        };
        let process = &mut self.processes[usize::from(member)];
        (process.machine, process.next_wake) = (Some(Machine::new(self.now, config)), Micros::MAX);
        self.handle_input(member, Input::Wake);
    }

    fn handle_input(&mut self, member: MemberId, input: Input<'_>) {
        let process = &mut self.processes[usize::from(member)];
        let Some(machine) = &mut process.machine else { return };
        let (now, outputs) = (self.now, &mut self.outputs);
        self.traffic.cpu.run(|| machine.handle(now, input, outputs));
        let next = machine.next_wake_at();
        let wakes_earlier = next < process.next_wake;
        process.next_wake = process.next_wake.min(next);
        if wakes_earlier {
            self.schedule(next.max(now), Action::Wake(member));
        }
        self.process_events(member);
        self.send_datagrams(member);
    }

    fn process_events(&mut self, observer: MemberId) {
        let others = u32::from(self.members) - 1;
        for event in std::mem::take(&mut self.outputs.events) {
            let process = &mut self.processes[usize::from(observer)];
            if event.previous.is_none() && event.record.member != observer {
                process.known += 1;
                if process.known == others {
                    self.fully_informed = (self.fully_informed.0 + 1, self.now);
                }
            }
            if event.record.state == State::Dead {
                self.record_death_known(observer, event.record.member);
            }
        }
    }

    fn record_death_known(&mut self, observer: MemberId, member: MemberId) {
        let now = self.now;
        let Some(death) = self.deaths.iter_mut().find(|death| death.member == member) else {
            self.false_deaths += u64::from(self.processes[usize::from(member)].machine.is_some());
            return;
        };
        if death.unaware.remove(&observer) {
            death.first_known.get_or_insert(now);
            death.last_known = now;
        }
    }

    fn send_datagrams(&mut self, from: MemberId) {
        let mut bytes_sent = 0;
        while let Some((to, bytes)) = self.outputs.sends.pop_front() {
            self.traffic.datagrams += 1;
            self.traffic.gossip_datagrams += u64::from(bytes.get(KIND_OFFSET) == Some(&KIND_GOSSIP));
            bytes_sent += bytes.len() as u64;
            let at = self.now + self.rng.rand_range(MIN_DELAY..DELAY_LIMIT);
            self.schedule(at, Action::Arrive { from, to, bytes: bytes.into() });
        }
        self.traffic.bytes += bytes_sent;
        let process = &mut self.processes[usize::from(from)];
        if self.now >= process.current_second.0 + SECOND {
            process.current_second = (self.now, 0);
        }
        process.current_second.1 += bytes_sent;
        self.traffic.peak_bytes_per_s = self.traffic.peak_bytes_per_s.max(process.current_second.1);
    }

    /// Runs for `duration` and returns the traffic and processor time of all members in it.
    fn run_window(&mut self, duration: Micros) -> Result<Traffic, MeasureError> {
        self.traffic = Traffic::default();
        self.run_until(self.now + duration)?;
        Ok(self.traffic)
    }

    /// Runs until the gossip of the start ends and returns the time of its end; `None` if it does not end
    /// within [`START_TIMEOUT`].
    fn run_until_quiet(&mut self) -> Result<Option<Micros>, MeasureError> {
        let duration = 5 * SECOND;
        while self.now < START_TIMEOUT {
            let traffic = self.run_window(duration)?;
            if per_member_second(traffic.gossip_datagrams as f64, self.members, duration) < QUIET_GOSSIP_RATE
            {
                return Ok(Some(self.now - duration));
            }
        }
        Ok(None)
    }

    fn restart_some(&mut self) {
        let first_member = self.members / 2;
        for index in 0..RESTART_COUNT.min(self.members / 4) {
            let at = self.now + u64::from(index) * RESTART_INTERVAL;
            self.schedule(at, Action::Leave(first_member + index));
        }
    }

    fn kill_some(&mut self) {
        for member in 0..DEATH_COUNT.min(self.members / 4) {
            self.processes[usize::from(member)].machine = None;
            let living = (0..self.members).filter(|m| self.processes[usize::from(*m)].machine.is_some());
            let unaware = living.collect();
            self.deaths.push(Death {
                member,
                at: self.now,
                unaware,
                first_known: None,
                last_known: self.now,
            });
        }
        // Members that were killed too cannot learn of the death.
        for death in &mut self.deaths {
            death.unaware.retain(|member| self.processes[usize::from(*member)].machine.is_some());
        }
    }

    fn run_until_deaths_known(&mut self) -> Result<(), MeasureError> {
        let end = self.now + DEATH_TIMEOUT;
        while self.now < end && self.deaths.iter().any(|death| !death.unaware.is_empty()) {
            self.run_until(self.now + SECOND)?;
        }
        Ok(())
    }
}

fn per_member_second(total: f64, members: MemberId, duration: Micros) -> f64 {
    total / f64::from(members) / (duration as f64 / SECOND as f64)
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

/// Measures a fleet at its start, in the steady state, during restarts and after deaths.
///
/// # Errors
/// If the memory limit is exceeded during the measurement.
pub fn measure(members: MemberId, conditions: &Conditions) -> Result<Vec<MetricValue>, MeasureError> {
    let before = limits::resident_bytes();
    let mut fleet = Fleet::new(members, conditions);
    let mut values = Vec::new();
    let per = |total: f64, duration: Micros| per_member_second(total, members, duration);

    let start = fleet.run_window(START_WINDOW)?;
    values.push(MetricValue::measured("start_bytes", "B/member/s", per(start.bytes as f64, START_WINDOW)));
    values.push(MetricValue::measured(
        "start_datagrams",
        "1/member/s",
        per(start.datagrams as f64, START_WINDOW),
    ));
    values.push(MetricValue::measured("start_most_bytes", "B/s", start.peak_bytes_per_s as f64));
    values.push(MetricValue::measured("start_cpu", "us/member/s", per(start.cpu.micros(), START_WINDOW)));
    let quiet = fleet.run_until_quiet()?;
    let known =
        if fleet.fully_informed.0 == u32::from(members) { seconds(fleet.fully_informed.1) } else { f64::NAN };
    values.push(MetricValue::measured("start_known", "s", known));
    values.push(MetricValue::measured("start_quiet", "s", quiet.map_or(f64::NAN, seconds)));

    let steady = fleet.run_window(STEADY_WINDOW)?;
    let steady_bytes = per(steady.bytes as f64, STEADY_WINDOW);
    let steady_cpu = per(steady.cpu.micros(), STEADY_WINDOW);
    values.push(MetricValue::measured("steady_bytes", "B/member/s", steady_bytes));
    values.push(MetricValue::measured(
        "steady_datagrams",
        "1/member/s",
        per(steady.datagrams as f64, STEADY_WINDOW),
    ));
    values.push(MetricValue::measured("steady_cpu", "us/member/s", steady_cpu));
    let memory = limits::resident_bytes().saturating_sub(before) as f64 / f64::from(members);
    values.push(MetricValue::measured("memory", "B/member", memory));

    fleet.restart_some();
    let count = f64::from(RESTART_COUNT.min(members / 4));
    let restarts = fleet.run_window(RESTART_WINDOW)?;
    let added = |total: f64, steady: f64| {
        let window = seconds(RESTART_WINDOW);
        (per(total, RESTART_WINDOW) - steady) * window / count
    };
    values.push(MetricValue::measured(
        "restart_bytes",
        "B/member",
        added(restarts.bytes as f64, steady_bytes),
    ));
    values.push(MetricValue::measured("restart_cpu", "us/member", added(restarts.cpu.micros(), steady_cpu)));

    fleet.kill_some();
    fleet.traffic = Traffic::default();
    let killed_at = fleet.now;
    fleet.run_until_deaths_known()?;
    let lasted = fleet.now - killed_at;
    let first = fleet.deaths.iter().filter_map(|death| Some(death.first_known? - death.at)).min();
    let all_know = fleet.deaths.iter().all(|death| death.unaware.is_empty());
    let last = fleet.deaths.iter().map(|death| death.last_known - death.at).max().filter(|_| all_know);
    values.push(MetricValue::measured("death_first", "s", first.map_or(f64::NAN, seconds)));
    values.push(MetricValue::measured("death_all", "s", last.map_or(f64::NAN, seconds)));
    values.push(MetricValue::measured("death_bytes", "B/member/s", per(fleet.traffic.bytes as f64, lasted)));
    values.push(MetricValue::measured("death_cpu", "us/member/s", per(fleet.traffic.cpu.micros(), lasted)));
    values.push(MetricValue::measured("false_deaths", "1", fleet.false_deaths as f64));
    Ok(values)
}
