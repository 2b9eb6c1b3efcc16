//! Decoder of replies of any type.

use bytes::{Bytes, BytesMut};

use super::scanner::{Bulk, Scanner};
use super::{MAX_ARRAY_ITEMS, MAX_LINE_BYTES, Malformed};

/// Maximum nesting depth of arrays in a reply.
const MAX_DEPTH: u8 = 3;
/// Maximum initial capacity of an array, in elements.
const MAX_INITIAL_CAPACITY: usize = 4;

/// A reply, or an element of an array in one.
#[derive(Debug, PartialEq, Clone)]
pub enum Reply {
    /// A bulk string; `None` for null.
    Bulk(Option<Bytes>),
    /// An array; a null array is decoded as an empty one.
    Array(Vec<Reply>),
    /// A simple string, without the type byte `+`.
    SimpleString(Bytes),
    /// An error message, without the type byte `-`.
    Error(Bytes),
    /// A signed 64-bit integer.
    Integer(i64),
}

/// Removes one complete reply from the front of the buffer; `max_bulk_bytes` is the maximum length of a bulk
/// string in it, in bytes. Returns `None` while the reply is incomplete.
///
/// Each call decodes the buffer from its front, and nothing limits the length of a whole reply: a node must
/// not use this decoder for replies of a server ([`super::ServerReplyDecoder`]).
///
/// # Errors
/// [`Malformed`] if the input is not a reply or exceeds a limit.
pub fn take_reply(buffer: &mut BytesMut, max_bulk_bytes: usize) -> Result<Option<Reply>, Malformed> {
    let mut decoder = ReplyDecoder { scanner: Scanner::new(buffer), max_bulk_bytes };
    let Some(reply) = decoder.reply(0)? else { return Ok(None) };
    let end = decoder.scanner.position;
    let _ = buffer.split_to(end);
    Ok(Some(reply))
}

struct ReplyDecoder<'a> {
    scanner: Scanner<'a>,
    max_bulk_bytes: usize,
}

impl ReplyDecoder<'_> {
    fn reply(&mut self, depth: u8) -> Result<Option<Reply>, Malformed> {
        let Some(type_byte) = self.scanner.peek() else { return Ok(None) };
        match type_byte {
            b'$' => Ok(self.scanner.bulk(self.max_bulk_bytes)?.map(|bulk| Reply::Bulk(self.copy(bulk)))),
            b'*' if depth < MAX_DEPTH => self.array(depth),
            b'+' | b'-' | b':' => self.line_reply(type_byte),
            _ => Err(Malformed("unexpected type")),
        }
    }

    fn copy(&self, bulk: Bulk) -> Option<Bytes> {
        match bulk {
            Bulk::Null => None,
            Bulk::Content(content) => Some(Bytes::copy_from_slice(self.scanner.content(content))),
        }
    }

    fn array(&mut self, depth: u8) -> Result<Option<Reply>, Malformed> {
        let Some(length) = self.scanner.length(b'*', MAX_ARRAY_ITEMS)? else { return Ok(None) };
        let count = length.stated().unwrap_or(0);
        let mut items = Vec::with_capacity(count.min(MAX_INITIAL_CAPACITY));
        for _ in 0..count {
            match self.reply(depth + 1)? {
                None => return Ok(None),
                Some(item) => items.push(item),
            }
        }
        Ok(Some(Reply::Array(items)))
    }

    fn line_reply(&mut self, type_byte: u8) -> Result<Option<Reply>, Malformed> {
        let Some(line) = self.scanner.line(MAX_LINE_BYTES, 0)? else { return Ok(None) };
        let text = &line[1..];
        Ok(Some(match type_byte {
            b'+' => Reply::SimpleString(Bytes::copy_from_slice(text)),
            b'-' => Reply::Error(Bytes::copy_from_slice(text)),
            _ => {
                let number = std::str::from_utf8(text).ok().and_then(|text| text.parse().ok());
                Reply::Integer(number.ok_or(Malformed("invalid number"))?)
            }
        }))
    }
}
