//! Ready answers of one client connection, joined into one write.

use bytes::{Bytes, BytesMut};

/// Size up to which ready answers are joined into one write, in bytes.
const MAX_JOINED_BYTES: usize = 64 * 1024;

/// Answers joined into one write. A single answer is not copied.
#[derive(Default)]
pub(super) struct CoalescedWrite {
    single: Bytes,
    joined: BytesMut,
}

impl CoalescedWrite {
    /// Returns whether another answer may be joined.
    pub fn has_space(&self) -> bool {
        self.single.len().max(self.joined.len()) < MAX_JOINED_BYTES
    }

    /// Appends an answer.
    pub fn push(&mut self, bytes: Bytes) {
        if self.single.is_empty() && self.joined.is_empty() {
            self.single = bytes;
            return;
        }
        if !self.single.is_empty() {
            self.joined.extend_from_slice(&std::mem::take(&mut self.single));
        }
        self.joined.extend_from_slice(&bytes);
    }

    /// Returns the bytes to write; `None` without answers.
    pub fn finish(self) -> Option<Bytes> {
        let bytes = if self.joined.is_empty() { self.single } else { self.joined.freeze() };
        (!bytes.is_empty()).then_some(bytes)
    }
}
