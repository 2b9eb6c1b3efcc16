//! The lines of a list that is told piece by piece: JSON objects, one a line, or indented over several.

use bytes::BytesMut;

/// Takes the next object off the front of a buffer, or an empty line; `None` while its end has not come.
///
/// One that is indented begins with a line of `{` alone and ends with one of `}` alone, as far in. An empty line between the
/// two, or another beginning, says that it was cut off: what there is of it comes then, and is no object.
pub fn take(buffer: &mut BytesMut) -> Option<BytesMut> {
    let end = line(buffer, 0)?;
    let Some(indent) = buffer[..end].trim_ascii_end().strip_suffix(b"{").filter(|indent| blank(indent))
    else {
        return Some(buffer.split_to(end));
    };
    let indent = indent.to_vec();
    let mut from = end;
    loop {
        let next = line(buffer, from)?;
        let rest = buffer[from..next].trim_ascii_end();
        let begins = |mark: &[u8]| rest.strip_prefix(&indent[..]).is_some_and(|rest| rest.starts_with(mark));
        if begins(b"}") {
            return Some(buffer.split_to(next));
        }
        if rest.is_empty() || begins(b"{") {
            return Some(buffer.split_to(from));
        }
        from = next;
    }
}

/// Where the line that begins at a place ends, behind its end mark.
fn line(buffer: &[u8], from: usize) -> Option<usize> {
    buffer[from..].iter().position(|byte| *byte == b'\n').map(|at| from + at + 1)
}

fn blank(bytes: &[u8]) -> bool {
    bytes.trim_ascii().is_empty()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// All that comes of a text that is cut into parts of a length.
    fn all(text: &str, step: usize) -> Vec<String> {
        let (mut buffer, mut taken) = (BytesMut::new(), Vec::new());
        for part in text.as_bytes().chunks(step) {
            buffer.extend_from_slice(part);
            while let Some(object) = take(&mut buffer) {
                taken.push(String::from_utf8_lossy(&object).into_owned());
            }
        }
        taken
    }

    #[test]
    fn lists_come_whole_however_they_are_indented_and_cut() {
        let (plain, deep) = ("{\"a\":[{}]}\n", "{\n  \"a\": [\n    {\n    }\n  ]\n}\n");
        let further = "\t{\r\n\t  \"a\": 1\r\n\t}\r\n";
        let text = format!("{plain}\n{deep}\n\n{further}{deep}{plain}");
        for step in 1..text.len() {
            assert_eq!(all(&text, step), [plain, "\n", deep, "\n", "\n", further, deep, plain], "{step}");
        }
    }

    #[test]
    fn one_that_was_cut_off_is_taken_for_no_part_of_the_next() {
        assert_eq!(all("{\"a\":[{\n\n", 3), ["{\"a\":[{\n", "\n"], "at once, where it is no indented one");
        let cut = "{\n  \"a\": [\n";
        assert_eq!(all(&format!("{cut}\n{{\"b\":1}}\n"), 5), [cut, "\n", "{\"b\":1}\n"]);
        assert_eq!(all(&format!("{cut}{{\n}}\n"), 5), [cut, "{\n}\n"]);
        assert!(all("{\n  \"a\": 1\n", 4).is_empty(), "its end may still come");
    }
}
