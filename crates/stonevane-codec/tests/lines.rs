//! Objects on lines, however they are indented and cut.
#![allow(missing_docs)]

use bytes::BytesMut;
use stonevane_codec::lines::ObjectReader;

/// All objects of a text that is cut into parts of a length.
fn all(text: &str, step: usize) -> Vec<String> {
    let (mut reader, mut buffer, mut taken) = (ObjectReader::default(), BytesMut::new(), Vec::new());
    for part in text.as_bytes().chunks(step) {
        buffer.extend_from_slice(part);
        while let Some(object) = reader.take(&mut buffer) {
            taken.push(String::from_utf8_lossy(&object).into_owned());
        }
    }
    taken
}

#[test]
fn objects_are_complete_however_they_are_indented_and_cut() {
    let (plain, deep) = ("{\"a\":[{}]}\n", "{\n  \"a\": [\n    {\n    }\n  ]\n}\n");
    let further = "\t{\r\n\t  \"a\": 1\r\n\t}\r\n";
    let text = format!("{plain}\n{deep}\n\n{further}{deep}{plain}");
    for step in 1..text.len() {
        assert_eq!(all(&text, step), [plain, "\n", deep, "\n", "\n", further, deep, plain], "{step}");
    }
}

#[test]
fn a_truncated_object_is_no_part_of_the_next() {
    assert_eq!(all("{\"a\":[{\n\n", 3), ["{\"a\":[{\n", "\n"], "at once, where it is no indented one");
    let cut = "{\n  \"a\": [\n";
    assert_eq!(all(&format!("{cut}\n{{\"b\":1}}\n"), 5), [cut, "\n", "{\"b\":1}\n"]);
    assert_eq!(all(&format!("{cut}{{\n}}\n"), 5), [cut, "{\n}\n"]);
    assert!(all("{\n  \"a\": 1\n", 4).is_empty(), "its end may still come");
}
