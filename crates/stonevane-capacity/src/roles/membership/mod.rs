//! Membership: a fleet in which every member runs the real membership machine in one event queue, or one real
//! member among modelled peers if the tables of all members would not fit into memory.
//!
//! Byte counts are those of datagram payloads, without the UDP and IP headers (28 bytes per datagram).

mod full;
mod sampled;

use crate::roles::{Conditions, MeasureError, MetricValue};

/// Maximum number of members that can be measured: a member number has 16 bits.
pub const LARGEST: u64 = u16::MAX as u64;
/// Minimum number of members that can be measured: smaller fleets have too few members for indirect probes.
pub const SMALLEST: u64 = 5;
/// Estimated memory of one record in a member table, in bytes, with a share of the queues and of the
/// simulator.
const RECORD_BYTES: u64 = 320;
/// Memory that does not depend on the number of members, in bytes.
const BASE_BYTES: u64 = 64 << 20;

/// Estimated memory that a measurement needs, in bytes.
pub fn required_memory(members: u64, full_up_to: u64) -> u64 {
    let tables = if members <= full_up_to { members } else { u64::from(sampled::REAL_MEMBERS) };
    BASE_BYTES + tables * members * RECORD_BYTES
}

/// Measures a fleet, in full up to [`Conditions::full_up_to`] members and sampled above.
///
/// # Errors
/// If the memory limit is exceeded during the measurement, or a member sends a malformed datagram.
pub fn measure(members: u64, conditions: &Conditions) -> Result<Vec<MetricValue>, MeasureError> {
    let members = members as u16;
    if u64::from(members) <= conditions.full_up_to {
        full::measure(members, conditions)
    } else {
        sampled::measure(members, conditions.seed)
    }
}
