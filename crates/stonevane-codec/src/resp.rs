//! RESP2, both directions. Written here since the decoders at hand recurse without a bound on depth and
//! take any stated length: what a peer sends must neither overflow the stack nor reserve memory.

use std::fmt::Write;

use bytes::{BufMut, Bytes, BytesMut};

/// The longest value that clients send.
pub const MAX_VALUE: usize = 64 * 1024;
/// Words in a command, and elements in an answer, at most.
const MAX_WORDS: usize = 16;
/// The words of a command up to this length are copied together.
const SHORT: usize = 1024;
/// The longest line that states a length.
const MAX_LENGTH_LINE: usize = 24;
/// The longest plain or error line of an answer.
const MAX_LINE: usize = 4096;
/// Elements of a served reply: value, lookup result, load report.
const SERVED_ITEMS: usize = 3;
/// How deep arrays of a reply may be nested.
const MAX_DEPTH: u8 = 3;

/// Input that can't be understood: from here on its framing is lost.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct Malformed(pub &'static str);

/// An answer of a cache server.
#[derive(Debug, PartialEq, Clone)]
pub enum Value {
    /// A bulk string, or null.
    Bulk(Option<Bytes>),
    /// An array; null counts as empty.
    Array(Vec<Value>),
    /// A plain line.
    Line(Bytes),
    /// An error line.
    Error(Bytes),
    /// A number.
    Number(i64),
}

/// Takes one whole command, an array of bulk strings, off the front; `None` while it is not all there.
pub fn take_command(buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, Malformed> {
    let mut scan = Scan { bytes: buffer, at: 0, longest: MAX_VALUE };
    let mut bounds = [(0, 0); MAX_WORDS];
    let Some(count) = scan.command(&mut bounds)? else { return Ok(None) };
    let end = scan.at;
    let whole = buffer.split_to(end);
    let words = bounds[..count].iter();
    // Copied, else words would hold the whole buffer for as long as one lives; those of a short command together,
    // those of a long one each by itself, so that none holds another's memory.
    Ok(Some(if whole.len() <= SHORT {
        let copy = Bytes::copy_from_slice(&whole);
        words.map(|(from, to)| copy.slice(from..to)).collect()
    } else {
        words.map(|(from, to)| Bytes::copy_from_slice(&whole[*from..*to])).collect()
    }))
}

/// Takes one whole answer off the front, no string in it longer than a limit; `None` while it is not all there.
pub fn take_value(buffer: &mut BytesMut, longest: usize) -> Result<Option<Value>, Malformed> {
    let mut scan = Scan { bytes: buffer, at: 0, longest };
    let Some(value) = scan.value(0)? else { return Ok(None) };
    let end = scan.at;
    let _ = buffer.split_to(end);
    Ok(Some(value))
}

/// The length that a reply states for its value, once it has.
pub fn stated_length(buffer: &[u8]) -> Option<usize> {
    let mut scan = Scan { bytes: buffer, at: 0, longest: usize::MAX };
    scan.length(b'*', MAX_WORDS).ok()??;
    scan.length(b'$', usize::MAX).ok()??
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
    let mut scan = Scan { bytes: buffer, at: 0, longest: usize::MAX };
    let count = scan.length(b'*', MAX_WORDS).ok()???;
    let length = scan.length(b'$', usize::MAX).ok()???;
    (count == SERVED_ITEMS).then_some(ValueHead { start: scan.at, length })
}

/// The length of what follows the value in such a reply; `None` while that is incomplete.
///
/// # Errors
/// [`Malformed`] where it is no such reply.
pub fn reply_end(buffer: &[u8], longest: usize) -> Result<Option<usize>, Malformed> {
    let mut scan = Scan { bytes: buffer, at: 0, longest };
    match buffer.get(..2) {
        None => return Ok(None),
        Some(b"\r\n") => scan.at = 2,
        Some(_) => return Err(Malformed("bulk string not ended")),
    }
    for _ in 1..SERVED_ITEMS {
        if scan.bulk()?.is_none() {
            return Ok(None);
        }
    }
    Ok(Some(scan.at))
}

struct Scan<'a> {
    bytes: &'a [u8],
    at: usize,
    longest: usize,
}

impl<'a> Scan<'a> {
    fn line(&mut self, longest: usize) -> Result<Option<&'a [u8]>, Malformed> {
        let rest = &self.bytes[self.at..];
        match rest.windows(2).take(longest + 1).position(|pair| pair == b"\r\n") {
            Some(end) => {
                self.at += end + 2;
                Ok(Some(&rest[..end]))
            }
            None if rest.len() > longest + 1 => Err(Malformed("line too long")),
            None => Ok(None),
        }
    }

    /// A line of a mark and a length; `None` inside stands for a null.
    fn length(&mut self, mark: u8, most: usize) -> Result<Option<Option<usize>>, Malformed> {
        match self.bytes.get(self.at) {
            None => return Ok(None),
            Some(found) if *found != mark => return Err(Malformed("unexpected type")),
            Some(_) => {}
        }
        let Some(line) = self.line(MAX_LENGTH_LINE)? else { return Ok(None) };
        if &line[1..] == b"-1" {
            return Ok(Some(None));
        }
        let digits = line.len() > 1 && line[1..].iter().all(u8::is_ascii_digit);
        let number =
            std::str::from_utf8(&line[1..]).ok().filter(|_| digits).and_then(|text| text.parse().ok());
        let number: usize = number.ok_or(Malformed("invalid length"))?;
        if number > most { Err(Malformed("value or command too long")) } else { Ok(Some(Some(number))) }
    }

    /// Bounds of the content of a bulk string.
    fn bulk(&mut self) -> Result<Option<Option<(usize, usize)>>, Malformed> {
        let length = match self.length(b'$', self.longest)? {
            None => return Ok(None),
            Some(None) => return Ok(Some(None)),
            Some(Some(length)) => length,
        };
        let (from, to) = (self.at, self.at + length);
        let Some(end) = self.bytes.get(to..to + 2) else { return Ok(None) };
        if end != b"\r\n" {
            return Err(Malformed("bulk string not ended"));
        }
        self.at = to + 2;
        Ok(Some(Some((from, to))))
    }

    /// Bounds of a command's words, and how many there are.
    fn command(&mut self, bounds: &mut [(usize, usize); MAX_WORDS]) -> Result<Option<usize>, Malformed> {
        let count = match self.length(b'*', MAX_WORDS)? {
            None => return Ok(None),
            // Against floods of commands that say nothing and are cheap to send.
            Some(None | Some(0)) => return Err(Malformed("empty command")),
            Some(Some(count)) => count,
        };
        for place in &mut bounds[..count] {
            match self.bulk()? {
                None => return Ok(None),
                Some(word) => *place = word.ok_or(Malformed("null in a command"))?,
            }
        }
        Ok(Some(count))
    }

    fn value(&mut self, depth: u8) -> Result<Option<Value>, Malformed> {
        let Some(mark) = self.bytes.get(self.at) else { return Ok(None) };
        match mark {
            b'$' => Ok(self.bulk()?.map(|bounds| {
                Value::Bulk(bounds.map(|(from, to)| Bytes::copy_from_slice(&self.bytes[from..to])))
            })),
            b'*' if depth < MAX_DEPTH => {
                let Some(count) = self.length(b'*', MAX_WORDS)? else { return Ok(None) };
                // Not more than are there: a stated count reserves nothing.
                let mut items = Vec::with_capacity(count.unwrap_or(0).min(4));
                for _ in 0..count.unwrap_or(0) {
                    match self.value(depth + 1)? {
                        None => return Ok(None),
                        Some(item) => items.push(item),
                    }
                }
                Ok(Some(Value::Array(items)))
            }
            b'+' | b'-' | b':' => {
                let Some(line) = self.line(MAX_LINE)? else { return Ok(None) };
                let text = &line[1..];
                Ok(Some(match mark {
                    b'+' => Value::Line(Bytes::copy_from_slice(text)),
                    b'-' => Value::Error(Bytes::copy_from_slice(text)),
                    _ => {
                        let number = std::str::from_utf8(text).ok().and_then(|t| t.parse().ok());
                        Value::Number(number.ok_or(Malformed("invalid number"))?)
                    }
                }))
            }
            _ => Err(Malformed("unexpected type")),
        }
    }
}

fn put_length(out: &mut BytesMut, mark: char, length: usize) {
    // Such a buffer grows and never fails.
    let _ = write!(out, "{mark}{length}\r\n");
}

/// Adds a bulk string.
pub fn put_bulk(out: &mut BytesMut, value: &[u8]) {
    put_length(out, '$', value.len());
    out.put_slice(value);
    out.put_slice(b"\r\n");
}

/// A command of some words.
pub fn command(words: &[&[u8]]) -> Bytes {
    let size = words.iter().map(|word| word.len() + 16).sum::<usize>() + 16;
    let mut out = BytesMut::with_capacity(size);
    put_length(&mut out, '*', words.len());
    words.iter().for_each(|word| put_bulk(&mut out, word));
    out.freeze()
}

#[cfg(test)]
mod tests;
