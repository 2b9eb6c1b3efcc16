//! Decoding of a datagram's fields.

use super::{PARTITIONS, Refused, STATES};
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
    pub fn take<const N: usize>(&mut self) -> Result<[u8; N], Refused> {
        let (head, rest) = self.0.split_first_chunk().ok_or(Refused::Form)?;
        self.0 = rest;
        Ok(*head)
    }

    pub fn u8(&mut self) -> Result<u8, Refused> {
        self.take().map(u8::from_le_bytes)
    }

    pub fn u16(&mut self) -> Result<u16, Refused> {
        self.take().map(u16::from_le_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, Refused> {
        self.take().map(u32::from_le_bytes)
    }

    pub fn instance(&mut self) -> Result<Instance, Refused> {
        Ok(Instance { generation: self.u32()?, nonce: self.u32()? })
    }

    /// Takes the digests of all partitions.
    pub fn digests(&mut self) -> Result<[u32; PARTITIONS], Refused> {
        let mut digests = [0; PARTITIONS];
        for digest in &mut digests {
            *digest = self.u32()?;
        }
        Ok(digests)
    }

    /// Takes the next record. Version 1 carries no reporter, so the sender counts as the reporter.
    pub fn record(&mut self, version: u8, sender: MemberId) -> Result<Record, Refused> {
        let member = self.u16()?;
        let state = *STATES.get(usize::from(self.u8()?)).ok_or(Refused::Form)?;
        let instance = self.instance()?;
        let incarnation = self.u32()?;
        let by = if version >= 2 { self.u16()? } else { sender };
        Ok(Record { member, instance, incarnation, state, by })
    }
}
