//! Decoder of a stream of JSON objects, each on one line or indented over several lines.

use bytes::BytesMut;

/// Splits objects off the front of a growing buffer. Each byte is examined once, even if input arrives in
/// small pieces.
///
/// An indented object begins with a line that holds only `{` and ends with a line that holds only `}` at the
/// same indent. An empty line or another `{` at that indent before its end means that the object was
/// truncated; the fragment is then returned.
#[derive(Debug, Default)]
pub struct ObjectReader {
    /// Offset of the start of the incomplete line.
    line_start: usize,
    /// Offset up to which the buffer has been searched for line ends.
    searched: usize,
    /// Indent of the current object; `None` outside an indented object.
    indent: Option<Vec<u8>>,
}

impl ObjectReader {
    /// Returns the next object or empty line, or `None` while it is incomplete. Between calls the buffer may
    /// only grow.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Option<BytesMut> {
        loop {
            let line_end = self.line_end(buffer)?;
            let end = self.object_end(&buffer[self.line_start..line_end], line_end);
            (self.line_start, self.searched) = (line_end, line_end);
            if let Some(end) = end {
                *self = ObjectReader::default();
                return Some(buffer.split_to(end));
            }
        }
    }

    /// Returns the end offset of the line that begins at `line_start`, including its line end.
    fn line_end(&mut self, buffer: &[u8]) -> Option<usize> {
        let found = buffer[self.searched..].iter().position(|byte| *byte == b'\n');
        let Some(offset) = found else {
            self.searched = buffer.len();
            return None;
        };
        Some(self.searched + offset + 1)
    }

    /// Returns the end offset of the object if `line`, which ends at offset `line_end`, completes or
    /// truncates it.
    fn object_end(&mut self, line: &[u8], line_end: usize) -> Option<usize> {
        let line = line.trim_ascii_end();
        let Some(indent) = &self.indent else {
            let opening = line.strip_suffix(b"{").filter(|indent| is_blank(indent));
            let Some(indent) = opening else { return Some(line_end) };
            self.indent = Some(indent.to_vec());
            return None;
        };
        let begins_with =
            |prefix| line.strip_prefix(&indent[..]).is_some_and(|rest| rest.starts_with(prefix));
        if begins_with(b"}") {
            return Some(line_end);
        }
        let truncated = line.is_empty() || begins_with(b"{");
        truncated.then_some(self.line_start)
    }
}

fn is_blank(bytes: &[u8]) -> bool {
    bytes.trim_ascii().is_empty()
}
