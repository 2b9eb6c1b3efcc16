//! HTTP/1.1: chunked bodies.

use super::*;

#[test]
fn chunks_are_joined_however_they_are_cut() {
    let whole = b"5\r\nhello\r\n1;x=y\r\n!\r\n0\r\n\r\n";
    for step in 1..whole.len() {
        let (mut chunks, mut from, mut to) = (Chunks::default(), BytesMut::new(), BytesMut::new());
        let mut ended = false;
        for part in whole.chunks(step) {
            from.extend_from_slice(part);
            ended = chunks.take(&mut from, &mut to).unwrap();
        }
        assert!(ended && &to[..] == b"hello!", "in steps of {step}: {to:?}");
    }
    let mut bad = BytesMut::from("zz\r\n");
    assert_eq!(Chunks::default().take(&mut bad, &mut BytesMut::new()), Err(Malformed));
}
