//! Members' processes: starts, kills, pauses, slows and wakes them, and delivers their datagrams.

use std::collections::VecDeque;

use stonevane_membership::{Counts, Input, Machine, MemberConfig, Mutant};

use super::{Event, PERIOD_US, Simulation};

/// Maximum number of datagrams queued for a process that isn't running: the capacity of a socket's buffer.
const MAX_INBOX: usize = 250;
/// A slow process runs for `TIME_SLICE_US` in each `TIME_SLICE_PERIOD_US`, microseconds.
const TIME_SLICE_US: u64 = 10_000;
const TIME_SLICE_PERIOD_US: u64 = 100_000;
/// Time from SIGTERM until the process exits, microseconds.
const DRAIN_US: u64 = PERIOD_US / 2;

/// A datagram that has arrived at its receiver's machine.
pub struct Datagram {
    pub from: usize,
    pub bytes: Vec<u8>,
}

/// State of a member's process.
pub struct Process {
    /// The membership state machine; `None` while there is no process.
    pub machine: Option<Machine<Option<Mutant>>>,
    pub incarnation: u32,
    /// Numbers of faults in force on this process: those that keep it down, those that pause it and those
    /// that slow it.
    pub kills: u32,
    pub pauses: u32,
    pub slowdowns: u32,
    /// Whether a slow process is in its time slice.
    has_time_slice: bool,
    inbox: VecDeque<Datagram>,
    /// Simulated time of the scheduled wake, microseconds; `u64::MAX` if none is scheduled.
    wake_at: u64,
}

impl Process {
    /// Creates a process that has not started.
    pub fn new() -> Process {
        Process {
            machine: None,
            incarnation: 0,
            kills: 0,
            pauses: 0,
            slowdowns: 0,
            has_time_slice: false,
            inbox: VecDeque::new(),
            wake_at: u64::MAX,
        }
    }

    fn is_running(&self) -> bool {
        self.machine.is_some() && self.pauses == 0 && (self.slowdowns == 0 || self.has_time_slice)
    }
}

/// Whether a mutant makes a single member faulty, so that all others stay correct.
fn is_single_member_fault(mutant: Mutant) -> bool {
    matches!(
        mutant,
        Mutant::DeclaresAllDead
            | Mutant::NeverRefutes
            | Mutant::ForgesIncarnations
            | Mutant::Replays
            | Mutant::ClaimsAnother
    )
}

impl Simulation<'_> {
    /// Starts a member's process unless it is running or a fault keeps it down.
    pub(super) fn start(&mut self, member: usize) {
        if self.processes[member].machine.is_some() || self.processes[member].kills > 0 {
            return;
        }
        let nonce = self.rng.rand_u64() as u32;
        let seed = self.rng.rand_u64();
        let config = MemberConfig {
            number: member as u16,
            members: self.plan.members as u16,
            period: PERIOD_US,
            probe_timeout: PERIOD_US / 2,
            uses_local_health: self.plan.uses_local_health,
            key: self.plan.has_key.then_some([9; 32]),
            max_version: if member < self.plan.first_version_members { 1 } else { 2 },
            seed,
            nonce,
            ..MemberConfig::default()
        };
        let is_faulty = |mutant: &Mutant| !is_single_member_fault(*mutant) || member == 0;
        let mutant = self.options.mutant.filter(is_faulty);
        let now = self.now();
        let process = &mut self.processes[member];
        process.incarnation += 1;
        process.machine = Some(Machine::with(now, config, mutant));
        process.inbox.clear();
        process.wake_at = u64::MAX;
        let is_paused = process.pauses > 0;
        self.record_state(member, "starting");
        self.record_state(member, "ready");
        if is_paused {
            self.record_state(member, "paused");
        }
        self.wake_machine(member);
    }

    /// Ends a member's process without notice to the others.
    pub(super) fn kill(&mut self, member: usize) {
        if let Some(machine) = self.processes[member].machine.take() {
            self.count_sent(machine.status().counts);
            self.record_state(member, "killed");
        }
    }

    pub(super) fn count_sent(&mut self, counts: Counts) {
        self.verdict.datagrams += counts.sent;
        self.verdict.bytes += counts.sent_bytes;
    }

    /// Sends a member SIGTERM: it announces that it leaves, drains for [`DRAIN_US`] and exits.
    pub(super) fn terminate(&mut self, member: usize) {
        let now = self.now();
        let process = &mut self.processes[member];
        let incarnation = process.incarnation;
        let Some(machine) = &mut process.machine else { return };
        machine.handle(now, Input::Leave, &mut self.outputs);
        self.perform(member);
        self.record_state(member, "term");
        self.schedule(now + DRAIN_US, Event::Drained { member, incarnation });
    }

    /// Ends a process whose drain time after SIGTERM is over.
    pub(super) fn drained(&mut self, member: usize, incarnation: u32) {
        let process = &self.processes[member];
        if process.incarnation == incarnation && process.kills > 0 {
            self.kill(member);
        }
    }

    /// Wakes a member at its scheduled time. Does nothing if the process has restarted or the wake was
    /// rescheduled since.
    pub(super) fn wake(&mut self, member: usize, incarnation: u32) {
        let now = self.now();
        let process = &mut self.processes[member];
        if process.incarnation != incarnation || process.wake_at != now {
            return;
        }
        process.wake_at = u64::MAX;
        if process.is_running() {
            self.wake_machine(member);
        }
    }

    /// Begins or ends a slow process's time slice, and schedules the slice's next begin or end.
    pub(super) fn switch_time_slice(&mut self, member: usize) {
        let process = &mut self.processes[member];
        if process.slowdowns == 0 {
            return;
        }
        process.has_time_slice = !process.has_time_slice;
        let has_time_slice = process.has_time_slice;
        let duration_us = if has_time_slice { TIME_SLICE_US } else { TIME_SLICE_PERIOD_US - TIME_SLICE_US };
        self.schedule(self.now() + duration_us, Event::TimeSlice(member));
        if has_time_slice {
            self.resume(member);
        }
    }

    /// Delivers a datagram to a running process, or queues it until the process runs.
    pub(super) fn deliver(&mut self, to: usize, datagram: Datagram) {
        let process = &mut self.processes[to];
        if process.is_running() {
            self.handle_datagram(to, &datagram);
        } else if process.machine.is_some() && process.inbox.len() < MAX_INBOX {
            process.inbox.push_back(datagram);
        }
    }

    /// Resumes a process: it reads the queued datagrams and handles its due timers.
    pub(super) fn resume(&mut self, member: usize) {
        while self.processes[member].is_running()
            && let Some(datagram) = self.processes[member].inbox.pop_front()
        {
            self.handle_datagram(member, &datagram);
        }
        if self.processes[member].is_running() {
            self.wake_machine(member);
        }
    }

    fn handle_datagram(&mut self, member: usize, datagram: &Datagram) {
        self.handle(member, Input::Datagram(datagram.from as u16, &datagram.bytes));
    }

    /// Lets a member handle its due timers.
    fn wake_machine(&mut self, member: usize) {
        self.handle(member, Input::Wake);
    }

    fn handle(&mut self, member: usize, input: Input<'_>) {
        let now = self.now();
        if let Some(machine) = &mut self.processes[member].machine {
            machine.handle(now, input, &mut self.outputs);
            self.perform(member);
        }
    }

    /// Performs the outputs of a member's state machine, and schedules its next wake.
    fn perform(&mut self, member: usize) {
        self.outputs.events.clear();
        while let Some((to, bytes)) = self.outputs.sends.pop_front() {
            self.send(member, usize::from(to), &bytes);
        }
        let process = &mut self.processes[member];
        let incarnation = process.incarnation;
        let next = process.machine.as_ref().map_or(u64::MAX, Machine::next_wake_at);
        if next < process.wake_at {
            process.wake_at = next;
            self.schedule(next, Event::Wake { member, incarnation });
        }
    }
}
