//! RESP2, both directions.
//!
//! The available decoders recurse without a bound and reserve whatever length is stated; here what a peer sends can
//! neither overflow the stack nor reserve memory.

use std::fmt::Write;

use bytes::{BufMut, Bytes, BytesMut};

/// The longest value that clients send, in bytes.
pub const MAX_VALUE: usize = 64 * 1024;
/// The most words in a command, and elements in an array of a reply.
const MAX_WORDS: usize = 16;
/// Commands up to this length, in bytes, are copied as one.
const SHORT_COMMAND: usize = 1024;
/// The longest line that states a length, in bytes.
const MAX_LENGTH_LINE: usize = 24;
/// The longest simple or error line of a reply, in bytes.
const MAX_LINE: usize = 4096;
/// How deep arrays of a reply may be nested.
const MAX_DEPTH: u8 = 3;
/// Elements of a served reply: value, lookup result, load report.
const SERVED_ITEMS: usize = 3;
/// Elements that are reserved for an array at once.
const RESERVED_ITEMS: usize = 4;
/// Space for the framing of a word, in bytes.
const WORD_FRAMING: usize = 16;

/// Invalid input: from here on its framing is lost.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct Malformed(pub &'static str);

/// A reply of a cache server.
#[derive(Debug, PartialEq, Clone)]
pub enum Value {
    /// A bulk string, or null.
    Bulk(Option<Bytes>),
    /// An array; null counts as empty.
    Array(Vec<Value>),
    /// A simple string.
    Line(Bytes),
    /// An error.
    Error(Bytes),
    /// An integer.
    Number(i64),
}

/// Takes one complete command, an array of bulk strings, off the front; `None` while it is incomplete.
///
/// # Errors
/// [`Malformed`] for anything else, and for a command that exceeds a limit.
pub fn take_command(buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, Malformed> {
    let mut scan = Scan::new(buffer, MAX_VALUE);
    let mut words = [Span::default(); MAX_WORDS];
    let Some(count) = scan.command(&mut words)? else { return Ok(None) };
    let end = scan.position;
    let command = buffer.split_to(end);
    let words = words[..count].iter();
    // Copied, or a word would keep the whole buffer alive. Words of a long command are copied each by itself, so that
    // none keeps another's memory.
    Ok(Some(if command.len() <= SHORT_COMMAND {
        let copy = Bytes::copy_from_slice(&command);
        words.map(|word| copy.slice(word.start..word.end)).collect()
    } else {
        words.map(|word| Bytes::copy_from_slice(&command[word.start..word.end])).collect()
    }))
}

/// Takes one complete reply off the front, no string in it longer than a limit; `None` while it is incomplete.
///
/// # Errors
/// [`Malformed`] for what is no reply, and for one that exceeds a limit.
pub fn take_value(buffer: &mut BytesMut, longest: usize) -> Result<Option<Value>, Malformed> {
    let mut scan = Scan::new(buffer, longest);
    let Some(value) = scan.value(0)? else { return Ok(None) };
    let end = scan.position;
    let _ = buffer.split_to(end);
    Ok(Some(value))
}

/// The length that a reply states for its value, once it has.
pub fn stated_length(buffer: &[u8]) -> Option<usize> {
    let mut scan = Scan::new(buffer, usize::MAX);
    scan.length(b'*', MAX_WORDS).ok()??;
    scan.length(b'$', usize::MAX).ok()??.stated()
}

/// Where a value stands in a buffer.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub struct ValueHead {
    /// Where it starts.
    pub start: usize,
    /// Its stated length, in bytes.
    pub length: usize,
}

/// The value of a served reply, an array of three that begins with a bulk string; `None` while its head is incomplete,
/// and for any other reply.
pub fn value_head(buffer: &[u8]) -> Option<ValueHead> {
    let mut scan = Scan::new(buffer, usize::MAX);
    let count = scan.length(b'*', MAX_WORDS).ok()??.stated()?;
    let length = scan.length(b'$', usize::MAX).ok()??.stated()?;
    (count == SERVED_ITEMS).then_some(ValueHead { start: scan.position, length })
}

/// The length of what follows the value in such a reply; `None` while that is incomplete.
///
/// # Errors
/// [`Malformed`] where it is no such reply.
pub fn reply_end(buffer: &[u8], longest: usize) -> Result<Option<usize>, Malformed> {
    let mut scan = Scan::new(buffer, longest);
    match buffer.get(..2) {
        None => return Ok(None),
        Some(b"\r\n") => scan.position = 2,
        Some(_) => return Err(Malformed("bulk string not ended")),
    }
    for _ in 1..SERVED_ITEMS {
        if scan.bulk()?.is_none() {
            return Ok(None);
        }
    }
    Ok(Some(scan.position))
}

/// A stated length.
#[derive(Debug, Clone, Copy)]
enum Length {
    /// That of a null.
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

/// Where a part of the input starts and ends.
#[derive(Debug, Clone, Copy, Default)]
struct Span {
    start: usize,
    end: usize,
}

/// A bulk string of the input.
#[derive(Debug, Clone, Copy)]
enum Bulk {
    Null,
    Content(Span),
}

/// Reads forward through a buffer. `Ok(None)` says that more input is needed.
struct Scan<'a> {
    bytes: &'a [u8],
    position: usize,
    /// The longest bulk string, in bytes.
    longest: usize,
}

impl<'a> Scan<'a> {
    fn new(bytes: &'a [u8], longest: usize) -> Scan<'a> {
        Scan { bytes, position: 0, longest }
    }

    fn line(&mut self, longest: usize) -> Result<Option<&'a [u8]>, Malformed> {
        let rest = &self.bytes[self.position..];
        match rest.windows(2).take(longest + 1).position(|pair| pair == b"\r\n") {
            Some(end) => {
                self.position += end + 2;
                Ok(Some(&rest[..end]))
            }
            None if rest.len() > longest + 1 => Err(Malformed("line too long")),
            None => Ok(None),
        }
    }

    /// A line of a type mark and a length.
    fn length(&mut self, mark: u8, most: usize) -> Result<Option<Length>, Malformed> {
        match self.bytes.get(self.position) {
            None => return Ok(None),
            Some(found) if *found != mark => return Err(Malformed("unexpected type")),
            Some(_) => {}
        }
        let Some(line) = self.line(MAX_LENGTH_LINE)? else { return Ok(None) };
        let digits = &line[1..];
        if digits == b"-1" {
            return Ok(Some(Length::Null));
        }
        let length = parse_length(digits).ok_or(Malformed("invalid length"))?;
        if length > most {
            return Err(Malformed("value or command too long"));
        }
        Ok(Some(Length::Stated(length)))
    }

    fn bulk(&mut self) -> Result<Option<Bulk>, Malformed> {
        let length = match self.length(b'$', self.longest)? {
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

    /// Finds the words of a command; returns how many there are.
    fn command(&mut self, words: &mut [Span; MAX_WORDS]) -> Result<Option<usize>, Malformed> {
        let count = match self.length(b'*', MAX_WORDS)? {
            None => return Ok(None),
            // Empty commands would be a cheap flood.
            Some(Length::Null | Length::Stated(0)) => return Err(Malformed("empty command")),
            Some(Length::Stated(count)) => count,
        };
        for word in &mut words[..count] {
            match self.bulk()? {
                None => return Ok(None),
                Some(Bulk::Null) => return Err(Malformed("null in a command")),
                Some(Bulk::Content(content)) => *word = content,
            }
        }
        Ok(Some(count))
    }

    fn value(&mut self, depth: u8) -> Result<Option<Value>, Malformed> {
        let Some(mark) = self.bytes.get(self.position) else { return Ok(None) };
        match mark {
            b'$' => Ok(self.bulk()?.map(|bulk| Value::Bulk(self.copy(bulk)))),
            b'*' if depth < MAX_DEPTH => self.array(depth),
            b'+' | b'-' | b':' => self.line_value(*mark),
            _ => Err(Malformed("unexpected type")),
        }
    }

    fn copy(&self, bulk: Bulk) -> Option<Bytes> {
        match bulk {
            Bulk::Null => None,
            Bulk::Content(content) => Some(Bytes::copy_from_slice(&self.bytes[content.start..content.end])),
        }
    }

    fn array(&mut self, depth: u8) -> Result<Option<Value>, Malformed> {
        let Some(length) = self.length(b'*', MAX_WORDS)? else { return Ok(None) };
        let count = length.stated().unwrap_or(0);
        let mut items = Vec::with_capacity(count.min(RESERVED_ITEMS));
        for _ in 0..count {
            match self.value(depth + 1)? {
                None => return Ok(None),
                Some(item) => items.push(item),
            }
        }
        Ok(Some(Value::Array(items)))
    }

    fn line_value(&mut self, mark: u8) -> Result<Option<Value>, Malformed> {
        let Some(line) = self.line(MAX_LINE)? else { return Ok(None) };
        let text = &line[1..];
        Ok(Some(match mark {
            b'+' => Value::Line(Bytes::copy_from_slice(text)),
            b'-' => Value::Error(Bytes::copy_from_slice(text)),
            _ => {
                let number = std::str::from_utf8(text).ok().and_then(|text| text.parse().ok());
                Value::Number(number.ok_or(Malformed("invalid number"))?)
            }
        }))
    }
}

/// Parses a length of digits alone: `parse` would accept a sign.
fn parse_length(digits: &[u8]) -> Option<usize> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

fn put_length(out: &mut BytesMut, mark: char, length: usize) {
    // Writing to a growing buffer does not fail.
    let _ = write!(out, "{mark}{length}\r\n");
}

/// Appends a bulk string.
pub fn put_bulk(out: &mut BytesMut, value: &[u8]) {
    put_length(out, '$', value.len());
    out.put_slice(value);
    out.put_slice(b"\r\n");
}

/// Encodes a command of some words.
pub fn command(words: &[&[u8]]) -> Bytes {
    let size = words.iter().map(|word| word.len() + WORD_FRAMING).sum::<usize>() + WORD_FRAMING;
    let mut out = BytesMut::with_capacity(size);
    put_length(&mut out, '*', words.len());
    for word in words {
        put_bulk(&mut out, word);
    }
    out.freeze()
}

#[cfg(test)]
mod tests;
