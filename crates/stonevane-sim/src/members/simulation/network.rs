//! The network between members, which loses, duplicates, delays and partitions datagrams.

use stonevane_membership::wire::MAX_DATAGRAM;
use xxhash_rust::xxh3::xxh3_64;

use super::process::Datagram;
use super::{Event, PERIOD_US, Simulation};
use crate::members::plan::{MemberFault, MemberFaultKind};

/// Shortest network delay, microseconds.
const MIN_DELAY_US: u64 = 200;
/// Upper bound of a flood's datagram length (exclusive), bytes.
const MAX_FLOOD_BYTES: u64 = 300;

/// Network conditions that a fault has brought into force.
pub struct Degradation {
    /// Index of the fault in the plan.
    pub fault: usize,
    pub loss: f64,
    pub duplicated: f64,
    pub delay_us: u64,
}

impl Simulation<'_> {
    pub(super) fn send(&mut self, from: usize, to: usize, bytes: &[u8]) {
        self.digest_datagram(from, to, bytes);
        let (mut delivery_probability, mut copies, mut max_added_delay_us) = (1.0 - self.plan.loss, 1, 0);
        for degradation in &self.degradations {
            delivery_probability *= 1.0 - degradation.loss;
            max_added_delay_us = max_added_delay_us.max(degradation.delay_us);
            if self.rng.rand_float() < degradation.duplicated {
                copies += 1;
            }
        }
        if bytes.len() > MAX_DATAGRAM || self.partitions[from * self.plan.members + to] > 0 {
            return;
        }
        for _ in 0..copies {
            if self.rng.rand_float() >= delivery_probability {
                continue;
            }
            let added_delay_us =
                if max_added_delay_us > 0 { self.rng.rand_range(0..max_added_delay_us) } else { 0 };
            let travel_us = self.rng.rand_range(0..self.plan.delay_us.max(1));
            let at = self.now() + MIN_DELAY_US + travel_us + added_delay_us;
            let datagram = Datagram { from, bytes: bytes.to_vec() };
            self.schedule(at, Event::Deliver { to, datagram });
        }
    }

    /// Adds a datagram to the run's digest. A change to this function makes digests incomparable with those
    /// of earlier versions.
    fn digest_datagram(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.now();
        let endpoints = (from as u64) << 32 ^ (to as u64) << 48;
        let hash = (xxh3_64(bytes) ^ now ^ endpoints).rotate_left(now as u32 % 63);
        self.verdict.digest = self.verdict.digest.wrapping_mul(31).wrapping_add(hash);
    }

    pub(super) fn partition(&mut self, from: &[usize], to: &[usize], begins: bool) {
        let time = self.time();
        for (from, to) in from.iter().flat_map(|from| to.iter().map(move |to| (*from, *to))) {
            let partitions = &mut self.partitions[from * self.plan.members + to];
            *partitions = if begins { *partitions + 1 } else { partitions.saturating_sub(1) };
            self.membership.partition(time, from, to, begins);
        }
    }

    /// Delivers a datagram of random bytes to a member, with another member's address as its source, and
    /// schedules the next one while the flood lasts.
    pub(super) fn flood(&mut self, member: usize) {
        let now = self.now();
        let is_active = |fault: &MemberFault| {
            fault.start_us <= now && now < fault.start_us.saturating_add(fault.duration_us)
        };
        let rate = self.plan.faults.iter().find_map(|fault| match fault.kind {
            MemberFaultKind::Flood { member: flooded, per_s } if flooded == member && is_active(fault) => {
                Some(per_s)
            }
            _ => None,
        });
        let Some(per_s) = rate else { return };
        let from = (member + 1) % self.plan.members;
        let length = self.rng.rand_range(0..MAX_FLOOD_BYTES) as usize;
        let bytes: Vec<u8> = (0..length).map(|_| self.rng.rand_u64() as u8).collect();
        self.deliver(member, Datagram { from, bytes });
        self.schedule(now + PERIOD_US / per_s.max(1), Event::Flood(member));
    }
}
