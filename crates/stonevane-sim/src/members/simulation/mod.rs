//! Runs a plan: handles events in a total order, and checks the members' views at regular intervals.

mod faults;
mod network;
mod process;

use oorandom::Rand64;
use stonevane_audit::{Membership, MembershipMeasurements, MembershipViolation, TimeInterval};
use stonevane_membership::{Mutant, Outputs};

use super::plan::MemberPlan;
use crate::event_queue::EventQueue;
use network::Degradation;
use process::{Datagram, Process};

/// Protocol period, microseconds.
const PERIOD_US: u64 = 1_000_000;
/// Interval at which views are checked, microseconds.
const VIEW_INTERVAL_US: u64 = PERIOD_US / 2;
/// Maximum number of rule violations that [`MemberVerdict::violations`] keeps.
const MAX_KEPT_VIOLATIONS: usize = 20;

/// Options of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct MemberOptions {
    /// A deliberate bug (mutation testing). Only member 0 has it if it models a single faulty member;
    /// otherwise all members have it.
    pub mutant: Option<Mutant>,
}

/// A rule violation and its time.
#[derive(Debug, Clone)]
pub struct TimedViolation {
    /// Simulated time, microseconds.
    pub at_us: u64,
    /// The rule and the members concerned.
    pub violation: MembershipViolation,
}

/// Result of a run.
#[derive(Debug, Clone, Default)]
pub struct MemberVerdict {
    /// Rule violations in the order of their detection; at most 20 are kept.
    pub violations: Vec<TimedViolation>,
    /// Number of all rule violations.
    pub violation_count: usize,
    /// Number of datagrams sent.
    pub datagrams: u64,
    /// Number of bytes sent in datagrams.
    pub bytes: u64,
    /// Sum of the running times of all members, seconds.
    pub member_seconds: f64,
    /// Detection times and false suspicions, as the auditor measured them.
    pub statistics: MembershipMeasurements,
    /// Digest of all datagrams with their senders, receivers and times; runs with the same plan and options
    /// have the same digest.
    pub digest: u64,
}

impl MemberVerdict {
    /// Whether no rule was broken.
    pub fn holds(&self) -> bool {
        self.violation_count == 0
    }

    /// Returns the code of the first broken rule; `None` if no rule was broken.
    pub fn code(&self) -> Option<&'static str> {
        self.violations.first().map(|first| first.violation.code)
    }
}

/// A scheduled event.
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
    /// The drain time of a process after SIGTERM is over, so the process exits.
    Drained {
        member: usize,
        incarnation: u32,
    },
    /// A slow process's time slice begins or ends.
    TimeSlice(usize),
    Flood(usize),
    CheckViews,
    Start(usize),
}

/// State of a run.
struct Simulation<'a> {
    plan: &'a MemberPlan,
    options: MemberOptions,
    queue: EventQueue<Event>,
    rng: Rand64,
    processes: Vec<Process>,
    /// Number of partitions in force from each member to each other member: a matrix with a row per sender
    /// and a column per receiver.
    partitions: Vec<u16>,
    degradations: Vec<Degradation>,
    membership: Membership,
    verdict: MemberVerdict,
    outputs: Outputs,
}

/// Runs a plan to its end.
pub fn run(plan: &MemberPlan, options: MemberOptions) -> MemberVerdict {
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
        self.schedule(VIEW_INTERVAL_US, Event::CheckViews);
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
            Event::CheckViews => self.check_views(),
            Event::Start(member) => self.start(member),
        }
    }

    fn finish(mut self) -> MemberVerdict {
        for member in 0..self.plan.members {
            if let Some(machine) = self.processes[member].machine.take() {
                self.count_sent(machine.status().counts);
            }
        }
        self.verdict.statistics = self.membership.measurements().clone();
        self.verdict
    }

    fn now(&self) -> u64 {
        self.queue.now()
    }

    /// Returns the simulated time as an interval of length 0, which the auditor's rules take.
    fn time(&self) -> TimeInterval {
        TimeInterval { earliest: self.now(), latest: self.now() }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.queue.schedule(at, event);
    }

    fn record_state(&mut self, member: usize, state: &str) {
        let time = self.time();
        self.membership.process_state(time, member, state);
    }

    /// Passes the view of each process to the auditor. Slow processes are included; paused processes have no
    /// view.
    fn check_views(&mut self) {
        let time = self.time();
        for observer in 0..self.plan.starting_members() {
            let Some(view) = self.view_of(observer) else { continue };
            self.verdict.member_seconds += VIEW_INTERVAL_US as f64 / 1e6;
            for violation in self.membership.view(time, observer, &view) {
                self.verdict.violation_count += 1;
                if self.verdict.violations.len() < MAX_KEPT_VIOLATIONS {
                    self.verdict.violations.push(TimedViolation { at_us: time.latest, violation });
                }
            }
        }
        self.schedule(self.now() + VIEW_INTERVAL_US, Event::CheckViews);
    }

    /// Returns an observer's view with one letter per member, `?` for a member whose state it does not know;
    /// `None` if the observer has no view.
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
