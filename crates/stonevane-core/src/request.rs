//! What every front hands to the node, and what it gets back. A front reads its protocol into a [`Command`] and words
//! the [`Final`] that comes back; it decides nothing.

use std::fmt::Write;

use bytes::Bytes;
use stonevane_policy::{Key, Micros, RequestClass};
use xxhash_rust::xxh3::xxh3_64;

/// The length of the longest time left in decimal digits.
const LONGEST_TIME_LEFT: usize = 20;

/// Where the node stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// It has no list of servers yet.
    Starting,
    /// It serves.
    Ready,
    /// It ends: connections are closed between requests.
    Draining,
}

/// A command of a client.
#[derive(Debug, Clone, Default)]
pub struct Command {
    /// Whether it writes.
    pub write: bool,
    /// Its key.
    pub key: Bytes,
    /// Its id, as the client names it.
    pub id: Bytes,
    /// What it says of itself, `name=value` with commas between.
    pub facts: String,
    /// What is written.
    pub value: Option<Bytes>,
    /// Position of its class.
    pub class: usize,
    /// What that class means, for as long as the request lives.
    pub rules: RequestClass,
    /// How many attempts it may make.
    pub most: u32,
    /// Position of its tenant.
    pub tenant: usize,
    /// For how long its client waits.
    pub time_left: Micros,
    /// Whether it repeats an earlier try.
    pub repeat: bool,
    /// Expected work, where told.
    pub cost: Option<Micros>,
    /// Size of the value, 0 where not told.
    pub size: f32,
}

impl Command {
    /// The key as the module knows it, the same at every node.
    pub fn hashed_key(&self) -> Key {
        let text = std::str::from_utf8(&self.key).ok();
        let hex = text.filter(|t| t.len() == 16).and_then(|t| u64::from_str_radix(t, 16).ok());
        hex.unwrap_or_else(|| xxh3_64(&self.key)).max(1)
    }

    /// The facts as an attempt sends them to a server: `d` is the time that is left to the client now, in milliseconds;
    /// everything else is passed on unchanged.
    pub fn facts_with_time_left(&self, left_ms: u64) -> String {
        let mut facts = String::with_capacity(self.facts.len() + LONGEST_TIME_LEFT);
        for (place, fact) in self.facts.split(',').enumerate() {
            if place > 0 {
                facts.push(',');
            }
            if fact.starts_with("d=") {
                let _ = write!(facts, "d={left_ms}");
            } else {
                facts.push_str(fact);
            }
        }
        facts
    }
}

/// The one final answer to a request, in no protocol's words yet.
#[derive(Debug, Clone, PartialEq)]
pub enum Final {
    /// The value or the receipt that a server made for this request.
    Served(Bytes),
    /// Turned away: trying again is harmless, and best after this long (0: no advice).
    Refused { retry_after: Micros },
    /// No promise.
    Failed,
}

impl Final {
    /// Its name in the trace.
    pub fn name(&self) -> &'static str {
        match self {
            Final::Served(_) => "served",
            Final::Refused { .. } => "refused",
            Final::Failed => "failed",
        }
    }

    /// What it holds of the memory, in bytes.
    pub fn size(&self) -> usize {
        match self {
            Final::Served(value) => value.len() + 16,
            Final::Refused { .. } | Final::Failed => 16,
        }
    }
}
