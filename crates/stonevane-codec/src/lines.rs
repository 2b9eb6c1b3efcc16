//! JSON objects that arrive in pieces: one a line, or each indented over several lines.

use bytes::BytesMut;

/// Takes objects off the front of a growing buffer. Each byte is examined once, however small the pieces are.
///
/// An indented object begins with a line of `{` alone and ends with one of `}` alone, at the same indent. An empty line
/// between the two, or another beginning, shows that it was truncated: the fragment is returned then.
#[derive(Debug, Default)]
pub struct ObjectReader {
    /// Where the incomplete line begins.
    line_start: usize,
    /// Up to where line ends have been searched.
    searched: usize,
    /// Indent of the current object, if it is an indented one.
    indent: Option<Vec<u8>>,
}

impl ObjectReader {
    /// The next object, or an empty line; `None` while it is incomplete. Between calls the buffer may only grow.
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

    /// Where the line that begins at `line_start` ends, its line end included.
    fn line_end(&mut self, buffer: &[u8]) -> Option<usize> {
        let found = buffer[self.searched..].iter().position(|byte| *byte == b'\n');
        let Some(offset) = found else {
            self.searched = buffer.len();
            return None;
        };
        Some(self.searched + offset + 1)
    }

    /// Where the object ends, if this line, which ends at `line_end`, is its last one.
    fn object_end(&mut self, line: &[u8], line_end: usize) -> Option<usize> {
        let line = line.trim_ascii_end();
        let Some(indent) = &self.indent else {
            let opening = line.strip_suffix(b"{").filter(|indent| is_blank(indent));
            let Some(indent) = opening else { return Some(line_end) };
            self.indent = Some(indent.to_vec());
            return None;
        };
        let begins_with = |mark| line.strip_prefix(&indent[..]).is_some_and(|rest| rest.starts_with(mark));
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
