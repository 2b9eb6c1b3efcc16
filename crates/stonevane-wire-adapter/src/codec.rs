//! Frames of the simulator's wire: batches of event records in, replies of action records out.
//!
//! Error messages use the protocol's names of events (`census`: definition of a server list, `roster_change`:
//! list update), so that they can be found on the protocol page.

mod actions;
mod events;
#[cfg(test)]
mod tests;

pub use actions::Reply;
pub use events::{BATCH_HEADER_BYTES, BatchHeader, Record, read_record};

/// Error of decoding a frame.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The records of a batch need more bytes than its header states.
    #[error("batch {batch}: records exceed the frame's length")]
    RecordsExceedFrame {
        /// Identifier of the batch, from its header.
        batch: u32,
    },
    /// Unknown code of an event record.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// Unknown kind of a list update.
    #[error("roster_change of unknown kind {0}, expected 0 to 3")]
    UnknownListKind(u8),
    /// Unknown condition of a server entry.
    #[error("census entry with unknown condition {0}, expected 0 to 2")]
    UnknownCondition(u8),
    /// Unknown status of an outcome.
    #[error("unknown outcome status {0}")]
    UnknownOutcome(u16),
    /// A record refers to bytes beyond the end of its frame.
    #[error("event code {code}: tail offset {offset} and count {count} leave the frame")]
    OutsideFrame {
        /// Code of the event record.
        code: u8,
        /// Offset in the tail, in bytes.
        offset: usize,
        /// Number of items from the offset on.
        count: usize,
    },
}

fn u16_at(bytes: &[u8], at: usize) -> u16 {
    u16::from_le_bytes(bytes_at(bytes, at))
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes_at(bytes, at))
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes_at(bytes, at))
}

fn f32_at(bytes: &[u8], at: usize) -> f32 {
    f32::from_le_bytes(bytes_at(bytes, at))
}

fn bytes_at<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    std::array::from_fn(|i| bytes[at + i])
}
