//! Requests and their final answers, independent of the protocol that carries them.
//!
//! A front end reads its protocol into a [`Command`] and encodes the [`FinalAnswer`] that comes back; it makes no
//! decision of its own.

use std::fmt::Write;

use bytes::Bytes;
use stonevane_policy::{Key, Micros, RequestClass};
use xxhash_rust::xxh3::xxh3_64;

/// Length of the longest remaining time in decimal digits.
const MAX_TIME_LEFT_DIGITS: usize = 20;
/// Length of a key that is the hexadecimal form of its own hash.
const HASHED_KEY_DIGITS: usize = 16;
/// Memory that an answer takes in addition to its value, in bytes.
const ANSWER_OVERHEAD: usize = 16;

/// A command of a client.
#[derive(Debug, Clone, Default)]
pub struct Command {
    /// Whether it is a write.
    pub write: bool,
    /// Its key.
    pub key: Bytes,
    /// Its id, as the client names it.
    pub id: Bytes,
    /// Its parameters as the client sent them: `name=value`, separated by commas.
    pub facts: String,
    /// The value of a write.
    pub value: Option<Bytes>,
    /// Position of its class in the settings.
    pub class: usize,
    /// The class as it was when the request arrived: it holds for as long as the request lives.
    pub rules: RequestClass,
    /// How many attempts may be made.
    pub max_attempts: u32,
    /// Position of its tenant in the settings.
    pub tenant: usize,
    /// How long its client waits from the arrival on.
    pub time_left: Micros,
    /// Whether the client sends it again after an earlier attempt of its own.
    pub is_retry: bool,
    /// Expected service time, microseconds, where the client states it.
    pub cost: Option<Micros>,
    /// Size of the value, 0 where the client does not state it.
    pub size: f32,
}

impl Command {
    /// The key as the policy knows it, the same at every node.
    pub fn hashed_key(&self) -> Key {
        let text = std::str::from_utf8(&self.key).ok().filter(|text| text.len() == HASHED_KEY_DIGITS);
        let hex = text.and_then(|text| u64::from_str_radix(text, 16).ok());
        hex.unwrap_or_else(|| xxh3_64(&self.key)).max(1)
    }

    /// The parameters as an attempt sends them to a server: `d` becomes the client's remaining time in milliseconds,
    /// everything else is forwarded unchanged.
    pub fn facts_with_time_left(&self, left_ms: u64) -> String {
        let mut facts = String::with_capacity(self.facts.len() + MAX_TIME_LEFT_DIGITS);
        for (position, fact) in self.facts.split(',').enumerate() {
            if position > 0 {
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

/// The one final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum FinalAnswer {
    /// The value or the receipt that a server made for this request.
    Served(Bytes),
    /// Rejected: a retry is harmless. Nothing ran, or the class is idempotent.
    Rejected {
        /// How long the client is to wait, microseconds; 0: no advice.
        retry_after: Micros,
    },
    /// It may or may not have run.
    Failed,
}

impl FinalAnswer {
    /// Its name in the trace.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected { .. } => "refused",
            FinalAnswer::Failed => "failed",
        }
    }

    /// Memory that it takes until it is written, in bytes.
    pub fn size(&self) -> usize {
        match self {
            FinalAnswer::Served(value) => value.len() + ANSWER_OVERHEAD,
            FinalAnswer::Rejected { .. } | FinalAnswer::Failed => ANSWER_OVERHEAD,
        }
    }
}
