//! Process pauses: the process was not scheduled when the machine was due, for instance because the process
//! or its host was suspended. This member attributes acks and other datagrams missed during a pause to
//! itself, not to the others.

use super::{Machine, Outputs};
use crate::Micros;
use crate::faults::Faults;

/// Number of members that are pinged immediately after a pause.
const PINGS_AFTER_PAUSE: usize = 3;
/// Protocol periods by which suspicions are postponed in addition to the length of the pause.
const GRACE_PERIODS: Micros = 2;

impl<F: Faults> Machine<F> {
    /// Recovers from a pause if the machine was woken more than half a protocol period late.
    pub(super) fn detect_pause(&mut self, now: Micros, out: &mut Outputs) {
        let late = now.saturating_sub(self.wake_at);
        if late > self.config.period / 2 {
            self.recover_from_pause(now, late, out);
        }
    }

    fn recover_from_pause(&mut self, now: Micros, late: Micros, out: &mut Outputs) {
        self.counts.pauses += 1;
        self.health.penalize(1 + late / self.config.period);
        self.probing.abandon();
        self.relays.clear();
        let rest_of_period = self.random.below(self.config.period as usize) as Micros;
        self.probing.end_period_at(now + rest_of_period);
        self.suspicions.postpone(late + GRACE_PERIODS * self.config.period);
        self.isolation.restart_silence(now);
        // Others may have declared this member dead; their answers to its pings carry that record.
        for member in self.random_peers(PINGS_AFTER_PAUSE, self.config.number) {
            self.ping_outside_round(member, out);
        }
        self.anti_entropy.allow_request_at(now);
    }
}
