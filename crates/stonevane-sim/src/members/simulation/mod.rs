//! The run of a plan: events in a total order, and members' views read at intervals.

mod faults;
mod network;
mod process;

use oorandom::Rand64;
use stonevane_audit::{Breach, Membership, MembershipFigures, TimeInterval};
use stonevane_membership::{Mutant, Outputs};

use super::plan::MemberPlan;
use crate::event_queue::EventQueue;
use network::Degradation;
use process::{Datagram, Process};

/// The protocol period, microseconds.
const PERIOD_US: u64 = 1_000_000;
/// Views are read at this interval, microseconds.
const VIEW_INTERVAL_US: u64 = PERIOD_US / 2;
/// Breaches that are kept, at most.
const MAX_BREACHES: usize = 20;

/// How a plan is played.
#[derive(Debug, Clone, Copy, Default)]
pub struct MemberOptions {
    /// A deliberate fault: of one member where it is a faulty one's, of all where it is the protocol's.
    pub mutant: Option<Mutant>,
}

/// A rule that was broken, and when.
#[derive(Debug, Clone)]
pub struct TimedBreach {
    /// In simulated microseconds.
    pub at_us: u64,
    /// What was broken.
    pub breach: Breach,
}

/// What a run shows.
#[derive(Debug, Clone, Default)]
pub struct MemberVerdict {
    /// Rules broken; at most 20 are kept.
    pub breaches: Vec<TimedBreach>,
    /// How many there were.
    pub broken: usize,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes of those.
    pub bytes: u64,
    /// Seconds that members ran, in all.
    pub member_s: f64,
    /// What was measured.
    pub figures: MembershipFigures,
    /// A digest of all datagrams.
    pub digest: u64,
}

impl MemberVerdict {
    /// Whether no rule is broken.
    pub fn holds(&self) -> bool {
        self.broken == 0
    }

    /// The code of the first rule that is broken.
    pub fn code(&self) -> Option<&'static str> {
        self.breaches.first().map(|broken| broken.breach.code)
    }
}

/// What happens.
enum Event {
    FaultBegins(usize),
    FaultEnds(usize),
    Deliver {
        to: usize,
        datagram: Datagram,
    },
    Wake {
        member: usize,
        incarnation: u32,
    },
    /// A process that was sent SIGTERM has drained.
    Drained {
        member: usize,
        incarnation: u32,
    },
    /// A slow process gets or loses its time slice.
    TimeSlice(usize),
    Flood(usize),
    ReadViews,
    Start(usize),
}

/// A run.
struct Simulation<'a> {
    plan: &'a MemberPlan,
    options: MemberOptions,
    queue: EventQueue<Event>,
    rng: Rand64,
    processes: Vec<Process>,
    /// How many partitions are in force from one member to another: a row for each sender.
    partitions: Vec<u16>,
    degradations: Vec<Degradation>,
    membership: Membership,
    verdict: MemberVerdict,
    outputs: Outputs,
}

/// Plays a plan to its end.
pub fn play(plan: &MemberPlan, options: MemberOptions) -> MemberVerdict {
    let mut simulation = Simulation::new(plan, options);
    simulation.begin();
    while let Some(event) = simulation.queue.next_until(plan.duration_us) {
        simulation.handle_event(event);
    }
    simulation.finish()
}

impl<'a> Simulation<'a> {
    fn new(plan: &'a MemberPlan, options: MemberOptions) -> Simulation<'a> {
        Simulation {
            plan,
            options,
            queue: EventQueue::new(),
            rng: Rand64::new(u128::from(plan.seed) << 16 | 7),
            processes: (0..plan.members).map(|_| Process::new()).collect(),
            partitions: vec![0; plan.members * plan.members],
            degradations: Vec::new(),
            membership: Membership::new(plan.rules()),
            verdict: MemberVerdict::default(),
            outputs: Outputs::default(),
        }
    }

    fn begin(&mut self) {
        for member in 0..self.plan.starting_members() {
            let at = self.rng.rand_range(0..self.plan.start_window_us.max(1));
            self.schedule(at, Event::Start(member));
        }
        for (number, fault) in self.plan.faults.iter().enumerate() {
            self.schedule(fault.start_us, Event::FaultBegins(number));
        }
        self.schedule(VIEW_INTERVAL_US, Event::ReadViews);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::FaultBegins(fault) => self.begin_fault(fault),
            Event::FaultEnds(fault) => self.end_fault(fault),
            Event::Deliver { to, datagram } => self.deliver(to, datagram),
            Event::Wake { member, incarnation } => self.wake(member, incarnation),
            Event::Drained { member, incarnation } => self.drained(member, incarnation),
            Event::TimeSlice(member) => self.switch_time_slice(member),
            Event::Flood(member) => self.flood(member),
            Event::ReadViews => self.read_views(),
            Event::Start(member) => self.start(member),
        }
    }

    fn finish(mut self) -> MemberVerdict {
        for member in 0..self.plan.members {
            if let Some(machine) = self.processes[member].machine.take() {
                self.count_sent(machine.status().counts);
            }
        }
        self.verdict.figures = self.membership.figures().clone();
        self.verdict
    }

    fn now(&self) -> u64 {
        self.queue.now()
    }

    /// The present moment, as the rules take it.
    fn time(&self) -> TimeInterval {
        TimeInterval { earliest: self.now(), latest: self.now() }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.queue.schedule(at, event);
    }

    fn note_state(&mut self, member: usize, state: &str) {
        let time = self.time();
        self.membership.process_state(time, member, state);
    }

    /// Reads the view of each process; a slow one answers too, a little late, and a paused one does not.
    fn read_views(&mut self) {
        let time = self.time();
        for observer in 0..self.plan.starting_members() {
            let Some(view) = self.view_of(observer) else { continue };
            self.verdict.member_s += VIEW_INTERVAL_US as f64 / 1e6;
            for breach in self.membership.view(time, observer, &view) {
                self.verdict.broken += 1;
                if self.verdict.breaches.len() < MAX_BREACHES {
                    self.verdict.breaches.push(TimedBreach { at_us: time.latest, breach });
                }
            }
        }
        self.schedule(self.now() + VIEW_INTERVAL_US, Event::ReadViews);
    }

    /// A letter for each member.
    fn view_of(&self, observer: usize) -> Option<String> {
        let process = &self.processes[observer];
        let machine = process.machine.as_ref().filter(|_| process.pauses == 0)?;
        let letter = |member: usize| match machine.state(member as u16) {
            None => '?',
            Some(state) => char::from(state.name().as_bytes()[0]),
        };
        Some((0..self.plan.members).map(letter).collect())
    }
}
