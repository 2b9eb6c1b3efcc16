//! Decoding of a datagram's fields.

use super::{PARTITIONS, RejectReason, STATES};
use crate::record::{Instance, MemberId, Record};

/// Cursor that decodes fields from the front of a datagram.
pub(super) struct Reader<'b>(&'b [u8]);

impl<'b> Reader<'b> {
    pub fn new(bytes: &'b [u8]) -> Reader<'b> {
        Reader(bytes)
    }

    /// Returns the number of bytes that are not decoded yet.
    pub fn remaining(&self) -> usize {
        self.0.len()
    }

    /// Takes the next `N` bytes.
    pub fn take<const N: usize>(&mut self) -> Result<[u8; N], RejectReason> {
        let (head, rest) = self.0.split_first_chunk().ok_or(RejectReason::Malformed)?;
        self.0 = rest;
        Ok(*head)
    }

    pub fn u8(&mut self) -> Result<u8, RejectReason> {
        self.take().map(u8::from_le_bytes)
    }

    pub fn u16(&mut self) -> Result<u16, RejectReason> {
        self.take().map(u16::from_le_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, RejectReason> {
        self.take().map(u32::from_le_bytes)
    }

    pub fn instance(&mut self) -> Result<Instance, RejectReason> {
        Ok(Instance { generation: self.u32()?, nonce: self.u32()? })
    }

    /// Takes the digests of all partitions.
    pub fn digests(&mut self) -> Result<[u32; PARTITIONS], RejectReason> {
        let mut digests = [0; PARTITIONS];
        for digest in &mut digests {
            *digest = self.u32()?;
        }
        Ok(digests)
    }

    /// Takes the next record. Version 1 carries no reporter, so the sender counts as the reporter.
    pub fn record(&mut self, version: u8, sender: MemberId) -> Result<Record, RejectReason> {
        let member = self.u16()?;
        let state = *STATES.get(usize::from(self.u8()?)).ok_or(RejectReason::Malformed)?;
        let instance = self.instance()?;
        let incarnation = self.u32()?;
        let by = if version >= 2 { self.u16()? } else { sender };
        Ok(Record { member, instance, incarnation, state, by })
    }
}
