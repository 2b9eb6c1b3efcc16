//! RESP2: decoders of commands and replies, and an encoder of commands.
//!
//! Other RESP decoders recurse without a limit and reserve as much memory as a length states. These decoders
//! limit the nesting depth and never reserve a stated length, so input of a peer can neither overflow the
//! stack nor exhaust memory.

use std::fmt::Write;

use bytes::{BufMut, Bytes, BytesMut};

/// Maximum length of a value or other argument of a command, in bytes.
pub const MAX_ARG_BYTES: usize = 64 * 1024;
/// Maximum number of arguments of a command, and of elements of an array in a reply.
const MAX_ARRAY_ITEMS: usize = 16;
/// Maximum length, in bytes, of an encoded command whose arguments are copied into one shared allocation.
const SHORT_COMMAND_BYTES: usize = 1024;
/// Maximum length of a line that states a length, in bytes.
const MAX_LENGTH_LINE_BYTES: usize = 24;
/// Maximum length of a simple string, error or integer line in a reply, in bytes.
const MAX_LINE_BYTES: usize = 4096;
/// Maximum nesting depth of arrays in a reply.
const MAX_DEPTH: u8 = 3;
/// Number of elements of a served reply: value, lookup result, load report.
const SERVED_REPLY_ITEMS: usize = 3;
/// Maximum initial capacity of an array, in elements.
const MAX_INITIAL_CAPACITY: usize = 4;
/// Space reserved for the framing of one argument, and for the framing of the array that contains the
/// arguments, in bytes.
const ARG_FRAMING_BYTES: usize = 16;

/// Error of invalid input, with its cause. The framing is lost, so the connection is unusable.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct Malformed(pub &'static str);

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

/// Removes one complete command, an array of bulk strings, from the front of the buffer. Returns the
/// command's arguments, or `None` while the command is incomplete.
///
/// # Errors
/// [`Malformed`] if the input is not a command or exceeds a limit.
pub fn take_command(buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, Malformed> {
    let mut scanner = Scanner::new(buffer, MAX_ARG_BYTES);
    let mut args = [Span::default(); MAX_ARRAY_ITEMS];
    let Some(count) = scanner.command(&mut args)? else { return Ok(None) };
    let end = scanner.position;
    let command = buffer.split_to(end);
    let args = args[..count].iter();
    // Arguments are copied, because a slice would keep the whole buffer allocated. Each argument of a long
    // command gets its own allocation, so that a short one does not keep the memory of a long one.
    Ok(Some(if command.len() <= SHORT_COMMAND_BYTES {
        let copy = Bytes::copy_from_slice(&command);
        args.map(|arg| copy.slice(arg.start..arg.end)).collect()
    } else {
        args.map(|arg| Bytes::copy_from_slice(&command[arg.start..arg.end])).collect()
    }))
}

/// Removes one complete reply from the front of the buffer; `max_bulk_bytes` is the maximum length of a bulk
/// string in it, in bytes. Returns `None` while the reply is incomplete.
///
/// # Errors
/// [`Malformed`] if the input is not a reply or exceeds a limit.
pub fn take_reply(buffer: &mut BytesMut, max_bulk_bytes: usize) -> Result<Option<Reply>, Malformed> {
    let mut scanner = Scanner::new(buffer, max_bulk_bytes);
    let Some(reply) = scanner.reply(0)? else { return Ok(None) };
    let end = scanner.position;
    let _ = buffer.split_to(end);
    Ok(Some(reply))
}

/// Returns the length, in bytes, that a reply states for the bulk string at the start of its array; `None` if
/// the lines that state the lengths are incomplete, or if the first element is null or of another type.
pub fn value_length(buffer: &[u8]) -> Option<usize> {
    let mut scanner = Scanner::new(buffer, usize::MAX);
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
    let mut scanner = Scanner::new(buffer, usize::MAX);
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
    let mut scanner = Scanner::new(buffer, max_bulk_bytes);
    match buffer.get(..2) {
        None => return Ok(None),
        Some(b"\r\n") => scanner.position = 2,
        Some(_) => return Err(Malformed("bulk string not ended")),
    }
    for _ in 1..SERVED_REPLY_ITEMS {
        if scanner.bulk()?.is_none() {
            return Ok(None);
        }
    }
    Ok(Some(scanner.position))
}

/// A stated length of a bulk string, in bytes, or of an array, in elements.
#[derive(Debug, Clone, Copy)]
enum Length {
    /// Length of a null: -1.
    Null,
    Stated(usize),
}

impl Length {
    fn stated(self) -> Option<usize> {
        match self {
            Length::Null => None,
            Length::Stated(length) => Some(length),
        }
    }
}

/// Byte range of the input; `end` is exclusive.
#[derive(Debug, Clone, Copy, Default)]
struct Span {
    start: usize,
    end: usize,
}

/// A decoded bulk string, with the range of its content.
#[derive(Debug, Clone, Copy)]
enum Bulk {
    Null,
    Content(Span),
}

/// Forward scanner of a buffer. Its methods return `Ok(None)` if more input is needed.
struct Scanner<'a> {
    bytes: &'a [u8],
    position: usize,
    /// Maximum length of a bulk string, in bytes.
    max_bulk_bytes: usize,
}

impl<'a> Scanner<'a> {
    fn new(bytes: &'a [u8], max_bulk_bytes: usize) -> Scanner<'a> {
        Scanner { bytes, position: 0, max_bulk_bytes }
    }

    fn line(&mut self, max_bytes: usize) -> Result<Option<&'a [u8]>, Malformed> {
        let rest = &self.bytes[self.position..];
        match rest.windows(2).take(max_bytes + 1).position(|pair| pair == b"\r\n") {
            Some(end) => {
                self.position += end + 2;
                Ok(Some(&rest[..end]))
            }
            None if rest.len() > max_bytes + 1 => Err(Malformed("line too long")),
            None => Ok(None),
        }
    }

    /// Scans a line of a type byte and a length of at most `max_length`.
    fn length(&mut self, type_byte: u8, max_length: usize) -> Result<Option<Length>, Malformed> {
        match self.bytes.get(self.position) {
            None => return Ok(None),
            Some(found) if *found != type_byte => return Err(Malformed("unexpected type")),
            Some(_) => {}
        }
        let Some(line) = self.line(MAX_LENGTH_LINE_BYTES)? else { return Ok(None) };
        let digits = &line[1..];
        if digits == b"-1" {
            return Ok(Some(Length::Null));
        }
        let length = parse_length(digits).ok_or(Malformed("invalid length"))?;
        if length > max_length {
            return Err(Malformed("value or command too long"));
        }
        Ok(Some(Length::Stated(length)))
    }

    fn bulk(&mut self) -> Result<Option<Bulk>, Malformed> {
        let length = match self.length(b'$', self.max_bulk_bytes)? {
            None => return Ok(None),
            Some(Length::Null) => return Ok(Some(Bulk::Null)),
            Some(Length::Stated(length)) => length,
        };
        let content = Span { start: self.position, end: self.position + length };
        let Some(terminator) = self.bytes.get(content.end..content.end + 2) else { return Ok(None) };
        if terminator != b"\r\n" {
            return Err(Malformed("bulk string not ended"));
        }
        self.position = content.end + 2;
        Ok(Some(Bulk::Content(content)))
    }

    /// Finds the arguments of a command and returns their number.
    fn command(&mut self, args: &mut [Span; MAX_ARRAY_ITEMS]) -> Result<Option<usize>, Malformed> {
        let count = match self.length(b'*', MAX_ARRAY_ITEMS)? {
            None => return Ok(None),
            // A peer could flood the decoder with empty commands at little cost.
            Some(Length::Null | Length::Stated(0)) => return Err(Malformed("empty command")),
            Some(Length::Stated(count)) => count,
        };
        for arg in &mut args[..count] {
            match self.bulk()? {
                None => return Ok(None),
                Some(Bulk::Null) => return Err(Malformed("null in a command")),
                Some(Bulk::Content(content)) => *arg = content,
            }
        }
        Ok(Some(count))
    }

    fn reply(&mut self, depth: u8) -> Result<Option<Reply>, Malformed> {
        let Some(type_byte) = self.bytes.get(self.position) else { return Ok(None) };
        match type_byte {
            b'$' => Ok(self.bulk()?.map(|bulk| Reply::Bulk(self.copy(bulk)))),
            b'*' if depth < MAX_DEPTH => self.array(depth),
            b'+' | b'-' | b':' => self.line_reply(*type_byte),
            _ => Err(Malformed("unexpected type")),
        }
    }

    fn copy(&self, bulk: Bulk) -> Option<Bytes> {
        match bulk {
            Bulk::Null => None,
            Bulk::Content(content) => Some(Bytes::copy_from_slice(&self.bytes[content.start..content.end])),
        }
    }

    fn array(&mut self, depth: u8) -> Result<Option<Reply>, Malformed> {
        let Some(length) = self.length(b'*', MAX_ARRAY_ITEMS)? else { return Ok(None) };
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
        let Some(line) = self.line(MAX_LINE_BYTES)? else { return Ok(None) };
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

/// Parses a length that consists of digits: `parse` alone would accept a sign.
fn parse_length(digits: &[u8]) -> Option<usize> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

fn put_length(out: &mut BytesMut, type_byte: char, length: usize) {
    // Writing to a growable buffer does not fail.
    let _ = write!(out, "{type_byte}{length}\r\n");
}

/// Appends an encoded bulk string to `out`.
pub fn put_bulk(out: &mut BytesMut, value: &[u8]) {
    put_length(out, '$', value.len());
    out.put_slice(value);
    out.put_slice(b"\r\n");
}

/// Encodes a command with its arguments, the name first.
pub fn encode_command(args: &[&[u8]]) -> Bytes {
    let size = args.iter().map(|arg| arg.len() + ARG_FRAMING_BYTES).sum::<usize>() + ARG_FRAMING_BYTES;
    let mut out = BytesMut::with_capacity(size);
    put_length(&mut out, '*', args.len());
    for arg in args {
        put_bulk(&mut out, arg);
    }
    out.freeze()
}

#[cfg(test)]
mod tests;
