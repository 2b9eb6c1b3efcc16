//! Membership: every member a real machine in one queue of events, or one real member among modelled peers where the
//! tables of all would not fit into memory.
//!
//! Bytes are those of datagrams; the headers of UDP and IP (28 bytes a datagram) are not in them.

mod full;
mod sampled;

use crate::roles::{Conditions, Figure, MeasureError};

/// Members are numbers of 16 bits.
pub const LARGEST: u64 = u16::MAX as u64;
/// The smallest fleet that has others to ask.
pub const SMALLEST: u64 = 5;
/// Memory of one member's record of another, with its part of queues and of the simulator.
const RECORD_BYTES: u64 = 320;
/// Memory of the rest.
const BASE_BYTES: u64 = 64 << 20;

/// Memory that a measurement needs.
pub fn needs(members: u64, full_up_to: u64) -> u64 {
    let tables = if members <= full_up_to { members } else { u64::from(sampled::REAL_MEMBERS) };
    BASE_BYTES + tables * members * RECORD_BYTES
}

/// Measures a fleet.
///
/// # Errors
/// Where memory runs out on the way.
pub fn measure(members: u64, conditions: &Conditions) -> Result<Vec<Figure>, MeasureError> {
    let members = members as u16;
    if u64::from(members) <= conditions.full_up_to {
        full::measure(members, conditions)
    } else {
        sampled::measure(members, conditions.seed)
    }
}
