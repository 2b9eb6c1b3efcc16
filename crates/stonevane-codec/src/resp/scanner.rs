//! Forward scanner of RESP2 input.

use super::Malformed;

/// Maximum length of a line that states a length, in bytes.
const MAX_LENGTH_LINE_BYTES: usize = 24;
pub(super) const LINE_END: &[u8] = b"\r\n";

/// A stated length of a bulk string, in bytes, or of an array, in elements.
#[derive(Debug, Clone, Copy)]
pub(super) enum Length {
    /// Length of a null: -1.
    Null,
    Stated(usize),
}

impl Length {
    pub fn stated(self) -> Option<usize> {
        match self {
            Length::Null => None,
            Length::Stated(length) => Some(length),
        }
    }
}

/// Byte range of the input; `end` is exclusive.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Span {
    pub start: usize,
    pub end: usize,
}

/// A decoded bulk string, with the range of its content.
#[derive(Debug, Clone, Copy)]
pub(super) enum Bulk {
    Null,
    Content(Span),
}

/// Forward scanner of a buffer. Its methods return `Ok(None)` if more input is needed. The content of a bulk
/// string is skipped by its stated length and never examined.
pub(super) struct Scanner<'a> {
    bytes: &'a [u8],
    pub position: usize,
    /// Maximum length of a message, in bytes.
    max_message_bytes: usize,
    /// Number of bytes that the scanner has compared: the work of a scan.
    pub examined: usize,
}

impl<'a> Scanner<'a> {
    pub fn new(bytes: &'a [u8]) -> Scanner<'a> {
        Scanner::with_limit(bytes, usize::MAX)
    }

    /// Creates a scanner of messages of at most `max_message_bytes`.
    pub fn with_limit(bytes: &'a [u8], max_message_bytes: usize) -> Scanner<'a> {
        Scanner { bytes, position: 0, max_message_bytes, examined: 0 }
    }

    /// The bytes of a span that the scanner has found.
    pub fn content(&self, span: Span) -> &'a [u8] {
        &self.bytes[span.start..span.end]
    }

    /// The next byte, which is not consumed.
    pub fn peek(&self) -> Option<u8> {
        self.bytes.get(self.position).copied()
    }

    /// Number of bytes that are not consumed.
    pub fn remaining(&self) -> usize {
        self.bytes.len().saturating_sub(self.position)
    }

    /// Scans a line of at most `max_bytes`, whose first `searched` bytes are known to hold no line end.
    /// Returns the line without its end.
    pub fn line(&mut self, max_bytes: usize, searched: usize) -> Result<Option<&'a [u8]>, Malformed> {
        let rest = &self.bytes[self.position..];
        let unsearched = rest.get(searched..).unwrap_or_default();
        let pairs = max_bytes.saturating_sub(searched) + 1;
        let found = unsearched.windows(LINE_END.len()).take(pairs).position(|pair| pair == LINE_END);
        self.examined += found.map_or(unsearched.len().min(pairs), |offset| offset + 2);
        match found {
            Some(offset) => {
                let end = searched + offset;
                self.position += end + 2;
                Ok(Some(&rest[..end]))
            }
            None if rest.len() > max_bytes + 1 => Err(Malformed("line too long")),
            None => Ok(None),
        }
    }

    /// Scans a line of a type byte and a length of at most `max_length`.
    pub fn length(&mut self, type_byte: u8, max_length: usize) -> Result<Option<Length>, Malformed> {
        match self.peek() {
            None => return Ok(None),
            Some(found) if found != type_byte => return Err(Malformed("unexpected type")),
            Some(_) => {}
        }
        let Some(line) = self.line(MAX_LENGTH_LINE_BYTES, 0)? else { return Ok(None) };
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

    /// Scans a bulk string of at most `max_bytes`.
    pub fn bulk(&mut self, max_bytes: usize) -> Result<Option<Bulk>, Malformed> {
        let length = match self.length(b'$', max_bytes)? {
            None => return Ok(None),
            Some(Length::Null) => return Ok(Some(Bulk::Null)),
            Some(Length::Stated(length)) => length,
        };
        let content = Span { start: self.position, end: self.position.saturating_add(length) };
        if content.end > self.max_message_bytes.saturating_sub(LINE_END.len()) {
            return Err(Malformed("value or command too long"));
        }
        let Some(terminator) = self.bytes.get(content.end..content.end + LINE_END.len()) else {
            return Ok(None);
        };
        self.examined += terminator.len();
        if terminator != LINE_END {
            return Err(Malformed("bulk string not ended"));
        }
        self.position = content.end + LINE_END.len();
        Ok(Some(Bulk::Content(content)))
    }
}

/// Parses a length that consists of digits: `parse` alone would accept a sign.
fn parse_length(digits: &[u8]) -> Option<usize> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}
