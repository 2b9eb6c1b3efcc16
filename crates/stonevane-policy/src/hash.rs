//! Draws by hash: numbers between 0 and 1 that are fixed for a key, a server and a purpose, and so the same at every
//! balancer.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Key, ServerId};

/// A number between 0 and 1, fixed for a key, a server and a purpose.
pub fn unit_hash(key: Key, server: ServerId, purpose: u64) -> f64 {
    let mut bytes = [0u8; 12];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&server.to_le_bytes());
    unit(xxh3_64_with_seed(&bytes, purpose))
}

/// The draws of one key at many servers: [`unit_hash`] for the purpose 0, of which the key's part is worked out once and
/// nothing goes through memory. It follows XXH3's path for inputs of 9 to 16 bytes.
pub struct KeyHasher {
    /// The first eight bytes of the input, mixed with the secret.
    low: u64,
    /// The bytes of the key among the last eight, mixed with the secret.
    high: u64,
    /// What the first eight bytes and the length add to each hash.
    base: u64,
}

/// Bytes 24 to 40 and 40 to 56 of XXH3's default secret, the halves of each combined.
const SECRET_LOW: u64 = 0x1f67_b3b7_a4a4_4072 ^ 0x78e5_c0cc_4ee6_79cb;
const SECRET_HIGH: u64 = 0x2172_ffcc_7dd0_5a82 ^ 0x8e24_43f7_7446_08b8;
/// XXH3's last mixing.
const AVALANCHE: u64 = 0x1656_6791_9e37_79f9;
/// Bytes of a key and a server's id.
const DRAW_INPUT: u64 = 12;

impl KeyHasher {
    /// The draws of a key.
    pub fn new(key: Key) -> KeyHasher {
        let low = key ^ SECRET_LOW;
        let high = (key >> 32) ^ SECRET_HIGH;
        KeyHasher { low, high, base: DRAW_INPUT.wrapping_add(low.swap_bytes()) }
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
