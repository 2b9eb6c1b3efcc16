//! Hashes as numbers between 0 and 1 that depend on a key, a server and a purpose, and so are the same at
//! every node.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{Key, ServerId};

/// Purposes of hashes. Hashes with different purposes are independent of each other.
pub mod purpose {
    /// Position of a server in a key's order.
    pub const ORDER: u64 = 0;
    /// Subset of keys that a server in slow start gets.
    pub const SLOW_START_KEYS: u64 = 1;
    /// A request's random factor on the estimate of a server's queue.
    pub const QUEUE_WAIT_ESTIMATE: u64 = 2;
    /// A node's phase in the start-up limit.
    pub const STARTUP_PHASE: u64 = 3;
    /// A node's phase in the slow-start budget of a server.
    pub const SLOW_START_PHASE: u64 = 4;
    /// A request's random draw for a slow-start budget of less than one attempt.
    pub const SLOW_START_DRAW: u64 = 5;
    /// Salt that makes a node's draws differ from those of other nodes.
    pub const NODE_SALT: u64 = 6;
}

/// Returns a number between 0 and 1 that depends on a key, a server and a [`purpose`].
pub fn unit_hash(key: Key, server: ServerId, purpose: u64) -> f64 {
    let mut input = [0u8; INPUT_LENGTH];
    input[..8].copy_from_slice(&key.to_le_bytes());
    input[8..].copy_from_slice(&server.to_le_bytes());
    unit(xxh3_64_with_seed(&input, purpose))
}

/// Length of the hash input in bytes: a key and a server id.
const INPUT_LENGTH: usize = 12;
/// Bytes 24 to 32 of XXH3's default secret, XOR bytes 32 to 40.
const SECRET_LOW: u64 = 0x1f67_b3b7_a4a4_4072 ^ 0x78e5_c0cc_4ee6_79cb;
/// Bytes 40 to 48 of XXH3's default secret, XOR bytes 48 to 56.
const SECRET_HIGH: u64 = 0x2172_ffcc_7dd0_5a82 ^ 0x8e24_43f7_7446_08b8;
/// Multiplier of XXH3's final mixing step.
const AVALANCHE_MULTIPLIER: u64 = 0x1656_6791_9e37_79f9;

/// Hashes of one key with many servers, equal to [`unit_hash`] with [`purpose::ORDER`]. The key's part is
/// computed once and no input is written to memory. Follows XXH3's path for inputs of 9 to 16 bytes.
pub struct KeyHasher {
    /// First eight bytes of the input, mixed with the secret.
    low: u64,
    /// The key's bytes among the last eight, mixed with the secret.
    high: u64,
    /// Contribution of the first eight bytes and of the length to every hash.
    base: u64,
}

impl KeyHasher {
    /// Creates the hasher of a key.
    pub fn new(key: Key) -> KeyHasher {
        let low = key ^ SECRET_LOW;
        let high = (key >> 32) ^ SECRET_HIGH;
        KeyHasher { low, high, base: (INPUT_LENGTH as u64).wrapping_add(low.swap_bytes()) }
    }

    /// Returns a number between 0 and 1 for the key and a server.
    pub fn unit_hash(&self, server: ServerId) -> f64 {
        let high = (u64::from(server) << 32) ^ self.high;
        let product = u128::from(self.low) * u128::from(high);
        let folded = product as u64 ^ (product >> 64) as u64;
        let mixed = self.base.wrapping_add(high).wrapping_add(folded);
        let mixed = (mixed ^ (mixed >> 37)).wrapping_mul(AVALANCHE_MULTIPLIER);
        unit(mixed ^ (mixed >> 32))
    }
}

/// Converts a hash to a number between 0 and 1.
fn unit(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
