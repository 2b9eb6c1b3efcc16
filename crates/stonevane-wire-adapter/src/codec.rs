//! Frames of the simulator's wire: batches of event records in, replies of action records out.
//!
//! The wire's own names (roster change, census) appear in error messages alone.

mod actions;
mod events;
#[cfg(test)]
mod tests;

pub use actions::Reply;
pub use events::{BATCH_HEADER_SIZE, BatchHeader, Record, read_record};

/// Why a frame can't be read.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// A batch has more records than its length holds.
    #[error("batch {batch}: records exceed the frame's length")]
    RecordsExceedFrame {
        /// Number of the batch.
        batch: u32,
    },
    /// An event record has an unknown code.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// A list update has an unknown kind.
    #[error("roster_change of unknown kind {0}")]
    UnknownListKind(u8),
    /// A server entry has an unknown condition.
    #[error("census line with unknown condition {0}")]
    UnknownCondition(u8),
    /// An outcome has an unknown status.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// A record refers to bytes behind the end of its frame.
    #[error("event code {code}: tail offset {offset} and count {count} leave the frame")]
    OutsideFrame {
        /// Code of the event record.
        code: u8,
        /// Offset of the part in the tail.
        offset: usize,
        /// Number of its items.
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
