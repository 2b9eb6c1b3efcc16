//! Tests of the decoder of JSON objects on lines: indented and truncated objects, input in pieces of any
//! size.
#![allow(missing_docs)]

use bytes::BytesMut;
use stonevane_codec::lines::ObjectReader;

/// Decodes all objects of a text that arrives in pieces of `step` bytes.
fn decode(text: &str, step: usize) -> Vec<String> {
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
fn objects_are_decoded_whatever_their_indent_and_the_size_of_the_reads() {
    let (plain, indented) = ("{\"a\":[{}]}\n", "{\n  \"a\": [\n    {\n    }\n  ]\n}\n");
    let tab_indented = "\t{\r\n\t  \"a\": 1\r\n\t}\r\n";
    let text = format!("{plain}\n{indented}\n\n{tab_indented}{indented}{plain}");
    for step in 1..text.len() {
        assert_eq!(
            decode(&text, step),
            [plain, "\n", indented, "\n", "\n", tab_indented, indented, plain],
            "{step}"
        );
    }
}

#[test]
fn a_truncated_object_does_not_swallow_the_next() {
    assert_eq!(
        decode("{\"a\":[{\n\n", 3),
        ["{\"a\":[{\n", "\n"],
        "a truncated object on one line is returned at its line end"
    );
    let cut = "{\n  \"a\": [\n";
    assert_eq!(decode(&format!("{cut}\n{{\"b\":1}}\n"), 5), [cut, "\n", "{\"b\":1}\n"]);
    assert_eq!(decode(&format!("{cut}{{\n}}\n"), 5), [cut, "{\n}\n"]);
    assert!(
        decode("{\n  \"a\": 1\n", 4).is_empty(),
        "an object was returned although its end may still arrive"
    );
}
