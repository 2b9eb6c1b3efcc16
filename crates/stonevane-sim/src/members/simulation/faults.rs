//! Applies the plan's faults at their start and end.

use super::network::Degradation;
use super::{Event, PERIOD_US, Simulation};
use crate::members::plan::{FOREVER_US, MemberFaultKind};

/// Upper limits of mild network conditions: share of lost datagrams, and added delay in microseconds.
const MAX_MILD_LOSS: f64 = 0.1;
const MAX_MILD_DELAY_US: u64 = PERIOD_US / 20;

/// Whether network conditions are mild: by the membership rules they may cause no false death.
fn is_mild(loss: f64, delay_us: u64) -> bool {
    loss <= MAX_MILD_LOSS && delay_us <= MAX_MILD_DELAY_US
}

impl Simulation<'_> {
    pub(super) fn begin_fault(&mut self, number: usize) {
        let now = self.now();
        let plan = self.plan;
        let fault = &plan.faults[number];
        match &fault.kind {
            MemberFaultKind::Kill { member } => {
                self.processes[*member].kills += 1;
                self.kill(*member);
            }
            MemberFaultKind::Term { member } => {
                self.processes[*member].kills += 1;
                self.terminate(*member);
            }
            MemberFaultKind::Pause { member } => {
                self.processes[*member].pauses += 1;
                self.record_state(*member, "paused");
            }
            MemberFaultKind::Slow { member } => {
                self.processes[*member].slowdowns += 1;
                self.schedule(now, Event::TimeSlice(*member));
            }
            MemberFaultKind::Partition { from, to } => self.partition(from, to, true),
            MemberFaultKind::NetworkConditions { loss, duplicated, delay_us } => {
                let (loss, duplicated, delay_us) = (*loss, *duplicated, *delay_us);
                self.degradations.push(Degradation { fault: number, loss, duplicated, delay_us });
                self.membership.network_conditions(self.time(), true, is_mild(loss, delay_us));
            }
            MemberFaultKind::Flood { member, .. } => self.schedule(now, Event::Flood(*member)),
        }
        if fault.duration_us < FOREVER_US {
            self.schedule(now + fault.duration_us, Event::FaultEnds(number));
        }
    }

    pub(super) fn end_fault(&mut self, number: usize) {
        let plan = self.plan;
        match &plan.faults[number].kind {
            MemberFaultKind::Kill { member } | MemberFaultKind::Term { member } => {
                self.processes[*member].kills -= 1;
                self.start(*member);
            }
            MemberFaultKind::Pause { member } => {
                self.processes[*member].pauses -= 1;
                self.record_state(*member, "resumed");
                self.resume(*member);
            }
            MemberFaultKind::Slow { member } => {
                self.processes[*member].slowdowns -= 1;
                self.resume(*member);
            }
            MemberFaultKind::Partition { from, to } => self.partition(from, to, false),
            MemberFaultKind::NetworkConditions { loss, delay_us, .. } => {
                self.degradations.retain(|degradation| degradation.fault != number);
                self.membership.network_conditions(self.time(), false, is_mild(*loss, *delay_us));
            }
            MemberFaultKind::Flood { .. } => {}
        }
    }
}
