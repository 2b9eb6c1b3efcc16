//! Decoder of chunked bodies.

use bytes::{Buf, BytesMut};

use super::Malformed;

/// Maximum length of a chunk-size line with its extensions, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 1024;
const CRLF: &[u8] = b"\r\n";

/// Incremental decoder of a chunked body. Each byte is examined a bounded number of times.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    /// Bytes of the current chunk that have not been received.
    remaining: usize,
    /// Whether the line end after a chunk's content is the next input.
    awaits_line_end: bool,
    /// Length of the prefix of a size line that holds no line end.
    searched: usize,
    ended: bool,
    /// Number of bytes that were moved, searched or parsed: the work of the decoder.
    pub(super) examined: usize,
}

impl ChunkedDecoder {
    /// Moves the received content of the body from `from` to `to`. Returns `true` at the end of the body.
    /// Between calls `from` may only grow.
    ///
    /// # Errors
    /// [`Malformed`] if the input is not a chunked body.
    pub fn take(&mut self, from: &mut BytesMut, to: &mut BytesMut) -> Result<bool, Malformed> {
        while !self.ended {
            if !self.take_content(from, to) || !self.take_line_end(from)? || !self.take_size(from)? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Moves the received content of the current chunk. Returns whether the chunk is complete.
    fn take_content(&mut self, from: &mut BytesMut, to: &mut BytesMut) -> bool {
        if self.remaining == 0 {
            return true;
        }
        let length = self.remaining.min(from.len());
        to.extend_from_slice(&from[..length]);
        from.advance(length);
        self.examined += length;
        self.remaining -= length;
        self.awaits_line_end = self.remaining == 0;
        self.awaits_line_end
    }

    /// Consumes the line end after a chunk's content. Returns `false` while it is incomplete.
    fn take_line_end(&mut self, from: &mut BytesMut) -> Result<bool, Malformed> {
        if !self.awaits_line_end {
            return Ok(true);
        }
        if from.len() < CRLF.len() {
            return Ok(false);
        }
        if !from.starts_with(CRLF) {
            return Err(Malformed);
        }
        from.advance(CRLF.len());
        self.examined += CRLF.len();
        self.awaits_line_end = false;
        Ok(true)
    }

    /// Consumes the size line of the next chunk. Returns `false` while it is incomplete.
    fn take_size(&mut self, from: &mut BytesMut) -> Result<bool, Malformed> {
        let Some(length) = self.line_length(from)? else { return Ok(false) };
        self.examined += length;
        let Ok(httparse::Status::Complete((parsed, size))) = httparse::parse_chunk_size(&from[..length])
        else {
            return Err(Malformed);
        };
        from.advance(parsed);
        self.searched = 0;
        self.remaining = usize::try_from(size).map_err(|_| Malformed)?;
        // Trailers are not read, so the connection cannot be reused after the last chunk.
        self.ended = size == 0;
        Ok(true)
    }

    /// Returns the length of the line at the front of the input, or `None` while it is incomplete. A size
    /// line begins with a hexadecimal digit.
    fn line_length(&mut self, input: &[u8]) -> Result<Option<usize>, Malformed> {
        if input.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return Err(Malformed);
        }
        let unsearched = &input[self.searched..];
        let found = unsearched.iter().position(|byte| *byte == b'\n');
        self.examined += found.map_or(unsearched.len(), |offset| offset + 1);
        match found {
            Some(offset) => Ok(Some(self.searched + offset + 1)),
            None if input.len() > MAX_SIZE_LINE_BYTES => Err(Malformed),
            None => {
                self.searched = input.len();
                Ok(None)
            }
        }
    }
}
