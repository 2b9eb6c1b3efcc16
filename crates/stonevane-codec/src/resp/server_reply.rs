//! Incremental decoder of the replies of cache servers, which have one of two forms: an error line, or an
//! array of value, lookup result and load report. Any other reply is rejected at its first deviating byte.

use super::scanner::{Bulk, LINE_END, Length, Scanner, Span};
use super::{MAX_ARG_BYTES, MAX_LINE_BYTES, Malformed};

/// Maximum length of a lookup result, and of a load report, in bytes: both with their framing take less than
/// 4 KiB.
const MAX_METADATA_BYTES: usize = 2_000;
/// Number of elements of a served reply: value, lookup result, load report.
const SERVED_REPLY_ITEMS: usize = 3;

/// Position of the value of a served reply in a buffer.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub struct ValuePosition {
    /// Offset of the value's first byte in the buffer.
    pub start: usize,
    /// Stated length of the value, in bytes; the buffer may hold less.
    pub length: usize,
}

/// A complete reply of a cache server.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub enum ServerReply<'a> {
    /// An error message, without the type byte `-`.
    Error(&'a [u8]),
    /// A served request.
    Served {
        /// The value; `None` for null.
        value: Option<&'a [u8]>,
        /// Result of the lookup; empty for null.
        lookup: &'a [u8],
        /// Load report; empty for null.
        load_report: &'a [u8],
    },
}

/// State of a reply that is being received.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub enum ServerReplyProgress<'a> {
    /// The reply is incomplete.
    Incomplete,
    /// The reply has a value of more than [`MAX_ARG_BYTES`], which is not decoded.
    LongValue(ValuePosition),
    /// The reply is complete.
    Complete {
        /// The reply.
        reply: ServerReply<'a>,
        /// Length of the encoded reply, in bytes.
        length: usize,
    },
}

/// Decoder of one reply. However the reply is cut into reads, each call examines a bounded number of bytes
/// besides those that were received since the last one.
#[derive(Debug, Default)]
pub struct ServerReplyDecoder {
    /// Length of the prefix of an error line that holds no line end.
    searched: usize,
}

impl ServerReplyDecoder {
    /// Decodes the reply at the front of the buffer. Between calls the buffer may only grow.
    ///
    /// # Errors
    /// [`Malformed`] if the input is not a reply of a cache server or exceeds a limit.
    pub fn decode<'a>(&mut self, buffer: &'a [u8]) -> Result<ServerReplyProgress<'a>, Malformed> {
        self.scan(&mut Scanner::new(buffer))
    }

    pub(super) fn scan<'a>(
        &mut self,
        scanner: &mut Scanner<'a>,
    ) -> Result<ServerReplyProgress<'a>, Malformed> {
        match scanner.peek() {
            None => Ok(ServerReplyProgress::Incomplete),
            Some(b'-') => self.scan_error(scanner),
            Some(_) => scan_served(scanner),
        }
    }

    fn scan_error<'a>(&mut self, scanner: &mut Scanner<'a>) -> Result<ServerReplyProgress<'a>, Malformed> {
        if let Some(line) = scanner.line(MAX_LINE_BYTES, self.searched)? {
            let reply = ServerReply::Error(&line[1..]);
            return Ok(ServerReplyProgress::Complete { reply, length: scanner.position });
        }
        // The last byte may be the first of the line end.
        self.searched = scanner.remaining().saturating_sub(1);
        Ok(ServerReplyProgress::Incomplete)
    }
}

fn scan_served<'a>(scanner: &mut Scanner<'a>) -> Result<ServerReplyProgress<'a>, Malformed> {
    match scanner.length(b'*', SERVED_REPLY_ITEMS)? {
        None => return Ok(ServerReplyProgress::Incomplete),
        Some(Length::Stated(SERVED_REPLY_ITEMS)) => {}
        Some(_) => return Err(Malformed("wrong number of elements")),
    }
    let array_start = scanner.position;
    match scanner.length(b'$', usize::MAX)? {
        None => return Ok(ServerReplyProgress::Incomplete),
        Some(Length::Stated(length)) if length > MAX_ARG_BYTES => {
            return Ok(ServerReplyProgress::LongValue(ValuePosition { start: scanner.position, length }));
        }
        // A short value is scanned with its length.
        Some(_) => scanner.position = array_start,
    }
    let Some(value) = scanner.bulk(MAX_ARG_BYTES)? else { return Ok(ServerReplyProgress::Incomplete) };
    let Some(lookup) = scanner.bulk(MAX_METADATA_BYTES)? else { return Ok(ServerReplyProgress::Incomplete) };
    let Some(report) = scanner.bulk(MAX_METADATA_BYTES)? else { return Ok(ServerReplyProgress::Incomplete) };
    let reply = ServerReply::Served {
        value: span(value).map(|span| scanner.content(span)),
        lookup: span(lookup).map(|span| scanner.content(span)).unwrap_or_default(),
        load_report: span(report).map(|span| scanner.content(span)).unwrap_or_default(),
    };
    Ok(ServerReplyProgress::Complete { reply, length: scanner.position })
}

fn span(bulk: Bulk) -> Option<Span> {
    match bulk {
        Bulk::Null => None,
        Bulk::Content(span) => Some(span),
    }
}

/// Returns the length, in bytes, of the rest of a served reply, where `buffer` starts directly after the
/// value; `None` while the rest is incomplete.
///
/// # Errors
/// [`Malformed`] if the input is not the rest of a served reply.
pub fn served_reply_rest_length(buffer: &[u8]) -> Result<Option<usize>, Malformed> {
    let mut scanner = Scanner::new(buffer);
    match buffer.get(..LINE_END.len()) {
        None => return Ok(None),
        Some(LINE_END) => scanner.position = LINE_END.len(),
        Some(_) => return Err(Malformed("bulk string not ended")),
    }
    for _ in 1..SERVED_REPLY_ITEMS {
        if scanner.bulk(MAX_METADATA_BYTES)?.is_none() {
            return Ok(None);
        }
    }
    Ok(Some(scanner.position))
}
