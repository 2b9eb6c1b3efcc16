//! Positions within a served reply.

use super::scanner::Scanner;
use super::{MAX_ARRAY_ITEMS, Malformed};

/// Number of elements of a served reply: value, lookup result, load report.
const SERVED_REPLY_ITEMS: usize = 3;

/// Returns the length, in bytes, that a reply states for the bulk string at the start of its array; `None` if
/// the lines that state the lengths are incomplete, or if the first element is null or of another type.
pub fn value_length(buffer: &[u8]) -> Option<usize> {
    let mut scanner = Scanner::new(buffer);
    scanner.length(b'*', MAX_ARRAY_ITEMS).ok()??;
    scanner.length(b'$', usize::MAX).ok()??.stated()
}

/// Position of the value of a served reply in a buffer.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub struct ValuePosition {
    /// Offset of the value's first byte in the buffer.
    pub start: usize,
    /// Stated length of the value, in bytes; the buffer may hold less.
    pub length: usize,
}

/// Returns the position of the value of a served reply, which is an array of three elements that begins with
/// a bulk string. Returns `None` while the lines before the value are incomplete, and for any other reply.
pub fn served_value_position(buffer: &[u8]) -> Option<ValuePosition> {
    let mut scanner = Scanner::new(buffer);
    let count = scanner.length(b'*', MAX_ARRAY_ITEMS).ok()??.stated()?;
    let length = scanner.length(b'$', usize::MAX).ok()??.stated()?;
    (count == SERVED_REPLY_ITEMS).then_some(ValuePosition { start: scanner.position, length })
}

/// Returns the length, in bytes, of the rest of a served reply, where `buffer` starts directly after the
/// value; `None` while the rest is incomplete. `max_bulk_bytes` is the maximum length of a bulk string, in
/// bytes.
///
/// # Errors
/// [`Malformed`] if the input is not the rest of a served reply.
pub fn served_reply_rest_length(buffer: &[u8], max_bulk_bytes: usize) -> Result<Option<usize>, Malformed> {
    let mut scanner = Scanner::new(buffer);
    match buffer.get(..2) {
        None => return Ok(None),
        Some(b"\r\n") => scanner.position = 2,
        Some(_) => return Err(Malformed("bulk string not ended")),
    }
    for _ in 1..SERVED_REPLY_ITEMS {
        if scanner.bulk(max_bulk_bytes)?.is_none() {
            return Ok(None);
        }
    }
    Ok(Some(scanner.position))
}
