//! Hashes as numbers between 0 and 1, fixed for a key, a server and a purpose, and so the same at every node.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{Key, ServerId};

/// What a hash is for: hashes of different purposes are independent.
pub mod purpose {
    /// A server's place in a key's order.
    pub const ORDER: u64 = 0;
    /// Which keys a server in slow start gets.
    pub const SLOW_START_KEYS: u64 = 1;
    /// A request's estimate of a server's queue.
    pub const QUEUE_ESTIMATE: u64 = 2;
    /// A node's phase in the start-up limit.
    pub const STARTUP_PHASE: u64 = 3;
    /// A node's phase in the slow-start budget of a server.
    pub const SLOW_START_PHASE: u64 = 4;
    /// A request's draw for a slow-start budget of less than one attempt.
    pub const SLOW_START_DRAW: u64 = 5;
    /// What makes a node's draws differ from those of others.
    pub const NODE_SALT: u64 = 6;
}

/// A number between 0 and 1, fixed for a key, a server and a purpose.
pub fn unit_hash(key: Key, server: ServerId, purpose: u64) -> f64 {
    let mut input = [0u8; INPUT_LENGTH];
    input[..8].copy_from_slice(&key.to_le_bytes());
    input[8..].copy_from_slice(&server.to_le_bytes());
    unit(xxh3_64_with_seed(&input, purpose))
}

/// Bytes of a key and a server's id.
const INPUT_LENGTH: usize = 12;
/// Bytes 24 to 32 of XXH3's default secret, xor bytes 32 to 40.
const SECRET_LOW: u64 = 0x1f67_b3b7_a4a4_4072 ^ 0x78e5_c0cc_4ee6_79cb;
/// Bytes 40 to 48 of XXH3's default secret, xor bytes 48 to 56.
const SECRET_HIGH: u64 = 0x2172_ffcc_7dd0_5a82 ^ 0x8e24_43f7_7446_08b8;
/// The multiplier of XXH3's last mixing step.
const AVALANCHE: u64 = 0x1656_6791_9e37_79f9;

/// The hashes of one key with many servers: [`unit_hash`] for the purpose [`purpose::ORDER`], of which the
/// key's part is computed once and nothing goes through memory. It follows XXH3's path for inputs of 9 to 16
/// bytes.
pub struct KeyHasher {
    /// The first eight bytes of the input, mixed with the secret.
    low: u64,
    /// The bytes of the key among the last eight, mixed with the secret.
    high: u64,
    /// What the first eight bytes and the length add to each hash.
    base: u64,
}

impl KeyHasher {
    /// The hashes of a key.
    pub fn new(key: Key) -> KeyHasher {
        let low = key ^ SECRET_LOW;
        let high = (key >> 32) ^ SECRET_HIGH;
        KeyHasher { low, high, base: (INPUT_LENGTH as u64).wrapping_add(low.swap_bytes()) }
    }

    /// A number between 0 and 1 for a server.
    pub fn of(&self, server: ServerId) -> f64 {
        let high = (u64::from(server) << 32) ^ self.high;
        let product = u128::from(self.low) * u128::from(high);
        let folded = product as u64 ^ (product >> 64) as u64;
        let mixed = self.base.wrapping_add(high).wrapping_add(folded);
        let mixed = (mixed ^ (mixed >> 37)).wrapping_mul(AVALANCHE);
        unit(mixed ^ (mixed >> 32))
    }
}

/// A hash as a number between 0 and 1.
fn unit(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
