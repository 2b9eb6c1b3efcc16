//! Clients: what they ask, how long they wait, and when they ask again.

use oorandom::Rand64;

use crate::plan::Plan;
use crate::wire::WireId;

/// The classes: name, deadline in microseconds, whether it writes, whether it carries a key, whether it may be asked
/// again.
pub const CLASSES: [(&str, u64, bool, bool, bool); 3] = [
    ("zone-lookup", 1_500_000, false, false, true),
    ("zone-edit", 800_000, true, true, true),
    ("zone-move", 600_000, true, false, false),
];
/// Tries of one request, at most.
pub const TRIES: u32 = 3;
/// A refused client that is told nothing waits for so long.
pub const BACKOFF: u64 = 60_000;

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Wish {
    pub number: u64,
    pub class: usize,
    pub key: String,
    pub node: usize,
    /// Since when it is wanted, and until when.
    pub begun: u64,
    pub ends: u64,
    pub tries: u32,
    /// It is asked once more because a close crossed it.
    pub again: bool,
    /// Until when this try is waited for.
    pub until: u64,
    pub wire: Option<WireId>,
    /// It is over for its client.
    pub over: bool,
    pub served: bool,
}

impl Wish {
    /// One that is drawn.
    pub fn draw(number: u64, now: u64, plan: &Plan, rng: &mut Rand64) -> Wish {
        let kind = rng.rand_float();
        let class = match kind {
            kind if kind < plan.edit_share => 1,
            kind if kind < plan.edit_share + plan.move_share => 2,
            _ => 0,
        };
        // A few keys are far more popular than the rest.
        let popular = rng.rand_float();
        let key = ((popular * popular * popular) * plan.keys as f64) as u64;
        Wish {
            number,
            class,
            key: format!("{:016x}", key + 1),
            node: rng.rand_range(0..plan.nodes as u64) as usize,
            begun: now,
            ends: now + CLASSES[class].1,
            tries: 0,
            again: false,
            until: 0,
            wire: None,
            over: false,
            served: false,
        }
    }

    /// The id of this try.
    pub fn id(&self) -> String {
        format!("{:x}-{}", self.number, self.tries)
    }

    /// Its idempotency key, where its class has one.
    pub fn token(&self) -> String {
        if CLASSES[self.class].3 { format!("t{:x}", self.number) } else { String::new() }
    }
}
