//! Decoder of a response head that arrives in pieces.

use super::{MAX_HEAD_BYTES, Malformed, ResponseHead, response_head};

/// Decoder of one response head. The head is parsed when its end has arrived, and before that only each time
/// its length has doubled, which finds invalid input early. So the work for each byte is bounded, however the
/// head is cut into reads.
#[derive(Debug, Default)]
pub struct HeadDecoder {
    /// Length of the prefix that has been searched for the end of the head.
    searched: usize,
    /// Whether the prefix holds a byte of the status line: empty lines before it don't end the head.
    has_begun: bool,
    /// Length at which an incomplete head is parsed next.
    next_parse: usize,
    /// Number of bytes that were searched or parsed: the work of the decoder.
    pub(super) examined: usize,
}

impl HeadDecoder {
    /// Decodes the response head at the front of the buffer. Returns `None` while it is incomplete. Between
    /// calls the buffer may only grow.
    ///
    /// # Errors
    /// [`Malformed`] if the input is not a response head, or if the head is too long.
    pub fn decode(&mut self, buffer: &[u8]) -> Result<Option<ResponseHead>, Malformed> {
        let has_end = self.search_end(buffer);
        if !has_end && buffer.len() < self.next_parse {
            return Ok(None);
        }
        self.next_parse = (2 * buffer.len()).clamp(1, MAX_HEAD_BYTES);
        self.examined += buffer.len().min(MAX_HEAD_BYTES);
        let head = response_head(buffer)?;
        if head.is_none() && (has_end || buffer.len() >= MAX_HEAD_BYTES) {
            return Err(Malformed);
        }
        Ok(head)
    }

    /// Searches the bytes that have arrived since the last call for the empty line that ends the head.
    fn search_end(&mut self, buffer: &[u8]) -> bool {
        for index in self.searched..buffer.len() {
            self.examined += 1;
            let is_line_end = buffer[index] == b'\n';
            self.has_begun |= !is_line_end && buffer[index] != b'\r';
            let line = &buffer[..index];
            if is_line_end && self.has_begun && (line.ends_with(b"\n") || line.ends_with(b"\n\r")) {
                self.searched = index + 1;
                return true;
            }
        }
        self.searched = buffer.len();
        false
    }
}
