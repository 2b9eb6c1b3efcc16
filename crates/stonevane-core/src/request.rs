//! Requests and their final answers, independent of the protocol that carries them.
//!
//! A front end decodes its protocol into a [`Command`] and encodes the resulting [`FinalAnswer`]. It makes no
//! decisions.

use std::fmt::Write;

use bytes::Bytes;
use stonevane_policy::{Key, Micros, RequestClass};
use xxhash_rust::xxh3::xxh3_64;

/// Decimal digits of the largest `u64`, for a remaining time in milliseconds.
const MAX_TIME_LEFT_DIGITS: usize = 20;
/// Digits of a key that is the hexadecimal form of its own hash.
const HASHED_KEY_DIGITS: usize = 16;
/// Memory that an answer takes in addition to its value, in bytes.
const ANSWER_OVERHEAD_BYTES: usize = 16;

/// A client's command.
#[derive(Debug, Clone, Default)]
pub struct Command {
    /// Whether the command is a write; otherwise it is a read.
    pub write: bool,
    /// Key of the object.
    pub key: Bytes,
    /// Request id, chosen by the client.
    pub id: Bytes,
    /// Request parameters as the client sent them: `name=value`, separated by commas.
    pub parameters: String,
    /// The value of a write.
    pub value: Option<Bytes>,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// The class as it was when the request arrived. Later settings do not change it for this request.
    pub rules: RequestClass,
    /// Maximum number of attempts for the request.
    pub max_attempts: u32,
    /// Index of the request's tenant in the settings.
    pub tenant: usize,
    /// Time that the client waits for the answer, counted from the arrival.
    pub time_left: Micros,
    /// Whether the client states that the request is a retry.
    pub is_retry: bool,
    /// Expected service time in microseconds, if the client states it.
    pub cost: Option<Micros>,
    /// Size of the value; 0 if the client does not state it.
    pub size: f32,
}

impl Command {
    /// Returns the key as the policy uses it: a hash that is the same on every node.
    pub fn hashed_key(&self) -> Key {
        let text = std::str::from_utf8(&self.key).ok().filter(|text| text.len() == HASHED_KEY_DIGITS);
        let hex = text.and_then(|text| u64::from_str_radix(text, 16).ok());
        hex.unwrap_or_else(|| xxh3_64(&self.key)).max(1)
    }

    /// Returns the parameters for an attempt: `d` is replaced by the client's remaining time in milliseconds,
    /// and all other parameters are unchanged.
    pub fn parameters_with_time_left(&self, left_ms: u64) -> String {
        let mut parameters = String::with_capacity(self.parameters.len() + MAX_TIME_LEFT_DIGITS);
        for (position, parameter) in self.parameters.split(',').enumerate() {
            if position > 0 {
                parameters.push(',');
            }
            if parameter.starts_with("d=") {
                let _ = write!(parameters, "d={left_ms}");
            } else {
                parameters.push_str(parameter);
            }
        }
        parameters
    }
}

/// The final answer to a request; each request gets exactly one.
#[derive(Debug, Clone, PartialEq)]
pub enum FinalAnswer {
    /// The value or the receipt that a server made for this request.
    Served(Bytes),
    /// Rejected. A retry is harmless: nothing ran, or the class is idempotent.
    Rejected {
        /// Time that the client should wait before a retry, in microseconds; 0: none stated.
        retry_after: Micros,
    },
    /// Failed: the request may or may not have run.
    Failed,
}

impl FinalAnswer {
    /// The answer's name in the trace.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected { .. } => "refused",
            FinalAnswer::Failed => "failed",
        }
    }

    /// Memory that the answer takes until it is written, in bytes.
    pub fn size(&self) -> usize {
        match self {
            FinalAnswer::Served(value) => value.len() + ANSWER_OVERHEAD_BYTES,
            FinalAnswer::Rejected { .. } | FinalAnswer::Failed => ANSWER_OVERHEAD_BYTES,
        }
    }
}
