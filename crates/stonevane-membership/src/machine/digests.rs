//! Digests of the member table. The table is partitioned by member number. The digest of a partition is the
//! XOR of its records' digests, so a changed record updates it in constant time.

use crate::record::{MemberId, Record};
use crate::wire::PARTITIONS;

/// Digests of the partitions of a member table.
#[derive(Debug, Clone, Default)]
pub(super) struct TableDigests([u32; PARTITIONS]);

impl TableDigests {
    /// Updates the digest of the partition of a record that was replaced, or added if there was none.
    pub fn replace(&mut self, before: Option<&Record>, after: &Record) {
        let partition = partition_of(after.member);
        self.0[partition] ^= before.map_or(0, Record::digest) ^ after.digest();
    }

    /// Returns the digest of each partition.
    pub fn partitions(&self) -> [u32; PARTITIONS] {
        self.0
    }

    /// Returns the digest of the whole table.
    pub fn overall(&self) -> u32 {
        self.0.iter().fold(0u32, |overall, digest| overall.rotate_left(3) ^ digest)
    }

    /// Returns the partitions whose digests differ from those of another table, in order from the partition
    /// `first` on, wrapping around at the last one.
    pub fn differing(&self, other: &[u32; PARTITIONS], first: usize) -> Vec<usize> {
        let rotated = (0..PARTITIONS).map(|partition| (partition + first) % PARTITIONS);
        rotated.filter(|partition| self.0[*partition] != other[*partition]).collect()
    }
}

/// Returns the partition of a member.
fn partition_of(member: MemberId) -> usize {
    usize::from(member) % PARTITIONS
}
