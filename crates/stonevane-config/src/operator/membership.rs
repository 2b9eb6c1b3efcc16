//! Section `[fleet]`: membership among the nodes.

use std::time::Duration;

use crate::Table;

/// Length of the shared key, in bytes.
const KEY_LEN: usize = 32;

/// Options of the membership protocol among the nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// Protocol period; a node probes one member per period.
    pub period: Duration,
    /// Timeout of a probe, at most half of the period.
    pub probe_timeout: Duration,
    /// Number of members that probe an unresponsive member on this node's behalf.
    pub indirect: usize,
    /// Minimum time in which a suspicion can be refuted: this many periods, multiplied by the decimal logarithm
    /// of the number of members if that logarithm exceeds 1.
    pub suspicion: f64,
    /// Whether a node that detects that it is slow itself waits longer before it suspects others.
    pub uses_local_health: bool,
    /// Key that all nodes share; `None`: messages are not authenticated.
    pub key: Option<[u8; KEY_LEN]>,
    /// Highest message version that this node sends, 1 or 2.
    pub max_version: u8,
}

impl Fleet {
    pub(super) fn read(table: &Table<'_, '_>) -> Fleet {
        let period_ms = table.integer("period_ms", 1_000, 50..=60_000);
        let probe_timeout_ms = table.integer("answer_ms", period_ms / 2, 10..=60_000);
        if 2 * probe_timeout_ms > period_ms {
            let rule = format!("`answer_ms` is to be at most half of `period_ms`, {}", period_ms / 2);
            table.error(table.span_of("answer_ms"), rule);
        }
        let text = table.text("key");
        let key = text.as_deref().and_then(parse_key);
        if text.is_some() && key.is_none() {
            table.error(table.span_of("key"), "`key` is to be 32 bytes, as 64 hexadecimal digits");
        }
        Fleet {
            period: Duration::from_millis(period_ms),
            probe_timeout: Duration::from_millis(probe_timeout_ms),
            indirect: table.integer("indirect", 3, 0..=16) as usize,
            suspicion: table.number("suspicion", 3.0, 1.0..=20.0),
            uses_local_health: table.flag("heeds_health", true),
            key,
            max_version: table.integer("speaks", 2, 1..=2) as u8,
        }
    }
}

/// Parses a key of 64 hexadecimal digits.
fn parse_key(text: &str) -> Option<[u8; KEY_LEN]> {
    let digit = |character: char| character.to_digit(16).map(|digit| digit as u8);
    let digits: Vec<u8> = text.chars().map(digit).collect::<Option<_>>()?;
    if digits.len() != 2 * KEY_LEN {
        return None;
    }
    let bytes: Vec<u8> = digits.chunks_exact(2).map(|pair| pair[0] << 4 | pair[1]).collect();
    bytes.try_into().ok()
}
