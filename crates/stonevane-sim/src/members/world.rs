//! The run of a plan: a queue of events in a total order, and the judge.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use oorandom::Rand64;
use stonevane_audit::{Breach, Membership, MembershipFigures, Span};
use stonevane_membership::wire::MAX_DATAGRAM;
use stonevane_membership::{Counts, Input, Machine, Mutant, Outputs, Setup};

use super::plan::{FOR_GOOD, MemberPlan, Wrong};

/// The protocol period, microseconds.
const PERIOD: u64 = 1_000_000;
/// Datagrams that wait for a process that does not run, at most: what a socket's buffer holds.
const INBOX: usize = 250;
/// A slow process runs for the first of these times in each of the second, microseconds.
const SLICE: (u64, u64) = (10_000, 100_000);

/// How a plan is played.
#[derive(Debug, Clone, Copy, Default)]
pub struct MemberOptions {
    /// A deliberate fault: of one member where it is a crooked one's, of all where it is the protocol's.
    pub mutant: Option<Mutant>,
}

/// What a run shows.
#[derive(Debug, Clone, Default)]
pub struct MemberVerdict {
    /// Rules broken, each with its time; at most 20 are kept.
    pub breaches: Vec<(u64, Breach)>,
    /// How many there were.
    pub broken: usize,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes of those.
    pub bytes: u64,
    /// Members' seconds.
    pub member_s: f64,
    /// What the judge measured.
    pub figures: MembershipFigures,
    /// A digest of all that happened.
    pub digest: u64,
}

impl MemberVerdict {
    /// Whether no rule is broken.
    pub fn holds(&self) -> bool {
        self.broken == 0
    }

    /// The first rule that is broken.
    pub fn code(&self) -> Option<&'static str> {
        self.breaches.first().map(|(_, breach)| breach.code)
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Begin(usize),
    End(usize),
    Arrive { to: usize, from: usize, bytes: Vec<u8> },
    Wake { member: usize, life: u32 },
    Slice(usize),
    Flood(usize),
    Look,
    Start(usize),
}

struct Process {
    machine: Option<Machine<Option<Mutant>>>,
    life: u32,
    /// Steps that hold it down, stop it and slow it.
    held: u32,
    stopped: u32,
    slowed: u32,
    /// Whether a slow one has its slice now.
    slice: bool,
    inbox: VecDeque<(usize, Vec<u8>)>,
    /// When it is woken next, as entered.
    armed: u64,
}

struct World<'p> {
    plan: &'p MemberPlan,
    options: MemberOptions,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Due)>>,
    number: u64,
    rng: Rand64,
    processes: Vec<Process>,
    cuts: Vec<u16>,
    weather: Vec<(usize, f64, f64, u64)>,
    judge: Membership,
    verdict: MemberVerdict,
    outputs: Outputs,
}

/// Whether weather is as mild as the judge has it.
fn mild(loss: f64, delay: u64) -> bool {
    loss <= 0.1 && delay <= PERIOD / 20
}

/// Whether a fault is one crooked member's, the rest being honest.
fn crooked(mutant: Mutant) -> bool {
    matches!(
        mutant,
        Mutant::AccusesAll
            | Mutant::NeverRefutes
            | Mutant::LiesOfIncarnations
            | Mutant::Replays
            | Mutant::ClaimsAnother
    )
}

impl World<'_> {
    fn push(&mut self, at: u64, due: Due) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, due)));
    }

    fn span(&self) -> Span {
        Span { begun: self.now, ended: self.now }
    }

    fn there(&self) -> usize {
        self.plan.members - self.plan.strangers
    }

    fn start(&mut self, member: usize) {
        if self.processes[member].machine.is_some() || self.processes[member].held > 0 {
            return;
        }
        let draw = self.rng.rand_u64() as u32;
        let seed = self.rng.rand_u64();
        let setup = Setup {
            number: member as u16,
            members: self.plan.members as u16,
            period: PERIOD,
            probe_timeout: PERIOD / 2,
            uses_local_health: self.plan.heeds_health,
            key: self.plan.keyed.then_some([9; 32]),
            max_version: if member < self.plan.old { 1 } else { 2 },
            seed,
            nonce: draw,
            ..Setup::default()
        };
        let mutant = self.options.mutant.filter(|mutant| !crooked(*mutant) || member == 0);
        let process = &mut self.processes[member];
        process.life += 1;
        process.machine = Some(Machine::with(self.now, setup, mutant));
        process.inbox.clear();
        process.armed = u64::MAX;
        let t = self.span();
        self.judge.process(t, member, "starting");
        self.judge.process(t, member, "ready");
        if self.processes[member].stopped > 0 {
            self.judge.process(t, member, "paused");
        }
        self.tell(member, None);
    }

    fn kill(&mut self, member: usize) {
        if let Some(machine) = self.processes[member].machine.take() {
            self.count(machine.status().counts);
            self.judge.process(self.span(), member, "killed");
        }
    }

    fn count(&mut self, counts: Counts) {
        self.verdict.datagrams += counts.sent;
        self.verdict.bytes += counts.sent_bytes;
    }

    fn runs(&self, member: usize) -> bool {
        let process = &self.processes[member];
        process.machine.is_some() && process.stopped == 0 && (process.slowed == 0 || process.slice)
    }

    /// Gives a member an input, or only the time, and does what it says.
    fn tell(&mut self, member: usize, datagram: Option<(usize, &[u8])>) {
        let Some(machine) = &mut self.processes[member].machine else { return };
        let input = datagram.map_or(Input::Wake, |(from, bytes)| Input::Datagram(from as u16, bytes));
        machine.handle(self.now, input, &mut self.outputs);
        self.after(member);
    }

    fn after(&mut self, member: usize) {
        self.outputs.events.clear();
        while let Some((to, bytes)) = self.outputs.sends.pop_front() {
            self.send(member, usize::from(to), bytes);
        }
        let process = &mut self.processes[member];
        let (life, next) = (process.life, process.machine.as_ref().map_or(u64::MAX, Machine::next));
        if next < process.armed {
            process.armed = next;
            self.push(next, Due::Wake { member, life });
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let mut hash =
            xxhash_rust::xxh3::xxh3_64(&bytes) ^ self.now ^ (from as u64) << 32 ^ (to as u64) << 48;
        hash = hash.rotate_left(self.now as u32 % 63);
        self.verdict.digest = self.verdict.digest.wrapping_mul(31).wrapping_add(hash);
        let (mut passes, mut copies, mut longest) = (1.0 - self.plan.loss, 1, 0);
        for (_, loss, doubled, delay) in &self.weather {
            passes *= 1.0 - loss;
            longest = longest.max(*delay);
            if self.rng.rand_float() < *doubled {
                copies += 1;
            }
        }
        if bytes.len() > MAX_DATAGRAM || self.cuts[from * self.plan.members + to] > 0 {
            return;
        }
        for _ in 0..copies {
            if self.rng.rand_float() >= passes {
                continue;
            }
            let late = if longest > 0 { self.rng.rand_range(0..longest) } else { 0 };
            let at = self.now + 200 + self.rng.rand_range(0..self.plan.delay.max(1)) + late;
            self.push(at, Due::Arrive { to, from, bytes: bytes.clone() });
        }
    }

    fn arrive(&mut self, to: usize, from: usize, bytes: Vec<u8>) {
        if self.runs(to) {
            return self.tell(to, Some((from, &bytes)));
        }
        let process = &mut self.processes[to];
        if process.machine.is_some() && process.inbox.len() < INBOX {
            process.inbox.push_back((from, bytes));
        }
    }

    /// A process that stood still goes on: what came meanwhile is read, and its timers are due.
    fn goes_on(&mut self, member: usize) {
        while self.runs(member)
            && let Some((from, bytes)) = self.processes[member].inbox.pop_front()
        {
            self.tell(member, Some((from, &bytes)));
        }
        if self.runs(member) {
            self.tell(member, None);
        }
    }

    fn begin(&mut self, fault: usize) {
        let (t, lasts) = (self.span(), self.plan.faults[fault].lasts);
        match &self.plan.faults[fault].what {
            Wrong::Kill { member } => {
                self.processes[*member].held += 1;
                self.kill(*member);
            }
            Wrong::Term { member } => {
                self.processes[*member].held += 1;
                if let Some(machine) = &mut self.processes[*member].machine {
                    machine.handle(self.now, Input::Leave, &mut self.outputs);
                    self.after(*member);
                    self.judge.process(t, *member, "term");
                    // It drains for a moment.
                    let life = self.processes[*member].life;
                    self.push(self.now + PERIOD / 2, Due::Wake { member: *member, life: life | 1 << 31 });
                }
            }
            Wrong::Pause { member } => {
                self.processes[*member].stopped += 1;
                self.judge.process(t, *member, "paused");
            }
            Wrong::Slow { member } => {
                self.processes[*member].slowed += 1;
                self.push(self.now, Due::Slice(*member));
            }
            Wrong::Cut { from, to } => self.cut(from, to, true),
            Wrong::Weather { loss, doubled, delay } => {
                self.weather.push((fault, *loss, *doubled, *delay));
                self.judge.weather(t, true, mild(*loss, *delay));
            }
            Wrong::Flood { member, .. } => self.push(self.now, Due::Flood(*member)),
        }
        if lasts < FOR_GOOD {
            self.push(self.now + lasts, Due::End(fault));
        }
    }

    fn cut(&mut self, from: &[usize], to: &[usize], cut: bool) {
        let t = self.span();
        for (from, to) in from.iter().flat_map(|from| to.iter().map(move |to| (*from, *to))) {
            let cuts = &mut self.cuts[from * self.plan.members + to];
            *cuts = if cut { *cuts + 1 } else { cuts.saturating_sub(1) };
            self.judge.cut(t, from, to, cut);
        }
    }

    fn end(&mut self, fault: usize) {
        let t = self.span();
        match &self.plan.faults[fault].what {
            Wrong::Kill { member } | Wrong::Term { member } => {
                self.processes[*member].held -= 1;
                self.start(*member);
            }
            Wrong::Pause { member } => {
                self.processes[*member].stopped -= 1;
                self.judge.process(t, *member, "resumed");
                self.goes_on(*member);
            }
            Wrong::Slow { member } => {
                self.processes[*member].slowed -= 1;
                self.goes_on(*member);
            }
            Wrong::Cut { from, to } => self.cut(from, to, false),
            Wrong::Weather { loss, delay, .. } => {
                self.weather.retain(|(of, ..)| *of != fault);
                self.judge.weather(t, false, mild(*loss, *delay));
            }
            Wrong::Flood { .. } => {}
        }
    }

    fn flood(&mut self, member: usize) {
        let now = self.now;
        let on = self.plan.faults.iter().find(|fault| {
            matches!(fault.what, Wrong::Flood { member: of, .. } if of == member)
                && fault.at <= now
                && now < fault.at.saturating_add(fault.lasts)
        });
        let Some(Wrong::Flood { per_s, .. }) = on.map(|fault| &fault.what) else { return };
        let every = PERIOD / per_s.max(&1);
        let from = (member + 1) % self.plan.members;
        let length = self.rng.rand_range(0..300) as usize;
        let bytes: Vec<u8> = (0..length).map(|_| self.rng.rand_u64() as u8).collect();
        self.arrive(member, from, bytes);
        self.push(self.now + every, Due::Flood(member));
    }

    /// Reads the view of each process that runs.
    fn look(&mut self) {
        let t = self.span();
        for observer in 0..self.there() {
            // What a slow one holds is read as well: it answers, a little late.
            if self.processes[observer].stopped > 0 {
                continue;
            }
            let Some(machine) = &self.processes[observer].machine else { continue };
            let letter = |member: usize| match machine.state(member as u16) {
                None => '?',
                Some(state) => char::from(state.name().as_bytes()[0]),
            };
            let view: String = (0..self.plan.members).map(letter).collect();
            self.verdict.member_s += 0.5;
            for breach in self.judge.view(t, observer, &view) {
                self.verdict.broken += 1;
                if self.verdict.breaches.len() < 20 {
                    self.verdict.breaches.push((self.now, breach));
                }
            }
        }
        self.push(self.now + PERIOD / 2, Due::Look);
    }

    fn take(&mut self, due: Due) {
        match due {
            Due::Begin(fault) => self.begin(fault),
            Due::End(fault) => self.end(fault),
            Due::Arrive { to, from, bytes } => self.arrive(to, from, bytes),
            // A process that was told to end has ended.
            Due::Wake { member, life } if life & 1 << 31 != 0 => {
                if self.processes[member].life == life & !(1 << 31) && self.processes[member].held > 0 {
                    self.kill(member);
                }
            }
            Due::Wake { member, life } => {
                let process = &mut self.processes[member];
                if process.life != life || process.armed != self.now {
                    return;
                }
                process.armed = u64::MAX;
                if self.runs(member) {
                    self.tell(member, None);
                }
            }
            Due::Slice(member) => {
                if self.processes[member].slowed == 0 {
                    return;
                }
                let slice = !self.processes[member].slice;
                self.processes[member].slice = slice;
                let lasts = if slice { SLICE.0 } else { SLICE.1 - SLICE.0 };
                self.push(self.now + lasts, Due::Slice(member));
                if slice {
                    self.goes_on(member);
                }
            }
            Due::Flood(member) => self.flood(member),
            Due::Look => self.look(),
            Due::Start(member) => self.start(member),
        }
    }
}

/// Plays a plan to its end.
pub fn play(plan: &MemberPlan, options: MemberOptions) -> MemberVerdict {
    let process = || Process {
        machine: None,
        life: 0,
        held: 0,
        stopped: 0,
        slowed: 0,
        slice: false,
        inbox: VecDeque::new(),
        armed: u64::MAX,
    };
    let mut world = World {
        plan,
        options,
        now: 0,
        queue: BinaryHeap::new(),
        number: 0,
        rng: Rand64::new(u128::from(plan.seed) << 16 | 7),
        processes: (0..plan.members).map(|_| process()).collect(),
        cuts: vec![0; plan.members * plan.members],
        weather: Vec::new(),
        judge: Membership::new(plan.rules()),
        verdict: MemberVerdict::default(),
        outputs: Outputs::default(),
    };
    for member in 0..world.there() {
        let at = world.rng.rand_range(0..plan.starts.max(1));
        world.push(at, Due::Start(member));
    }
    for (number, fault) in plan.faults.iter().enumerate() {
        world.push(fault.at, Due::Begin(number));
    }
    world.push(PERIOD / 2, Due::Look);
    while let Some(Reverse((at, _, due))) = world.queue.pop() {
        if at > plan.length {
            break;
        }
        world.now = at;
        world.take(due);
    }
    for member in 0..plan.members {
        if let Some(machine) = world.processes[member].machine.take() {
            world.count(machine.status().counts);
        }
    }
    world.verdict.figures = world.judge.figures().clone();
    world.verdict
}

/// Cuts a plan that fails down while it fails by the same rule: faults go first, by halves and then one by one, then
/// members. `None` where it does not fail.
pub fn shrink_members(
    plan: &MemberPlan,
    options: MemberOptions,
    most: usize,
) -> Option<(MemberPlan, &'static str)> {
    let code = play(plan, options).code()?;
    let (mut plan, mut runs) = (plan.clone(), 1);
    let mut accept = |plan: &mut MemberPlan, other: MemberPlan| {
        runs += 1;
        let better = runs <= most && other != *plan && play(&other, options).code() == Some(code);
        if better {
            *plan = other;
        }
        better
    };
    let mut part = plan.faults.len();
    while part > 0 {
        let mut at = 0;
        while at < plan.faults.len() {
            let mut other = plan.clone();
            other.faults.drain(at..(at + part).min(plan.faults.len()));
            if !accept(&mut plan, other) {
                at += part;
            }
        }
        part /= 2;
    }
    loop {
        let mut other = plan.clone();
        other.members -= 1;
        if other.members < 3 || MemberPlan::parse(&other.text()).is_err() || !accept(&mut plan, other) {
            break;
        }
    }
    Some((plan, code))
}
