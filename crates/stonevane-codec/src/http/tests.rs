//! Tests of the decoder of chunked bodies.

use super::*;

#[test]
fn a_chunked_body_is_decoded_whatever_the_size_of_the_reads() {
    let encoded = b"5\r\nhello\r\n1;x=y\r\n!\r\n0\r\n\r\n";
    for step in 1..encoded.len() {
        let (mut decoder, mut from, mut to) = (ChunkedDecoder::default(), BytesMut::new(), BytesMut::new());
        let mut ended = false;
        for part in encoded.chunks(step) {
            from.extend_from_slice(part);
            ended = decoder.take(&mut from, &mut to).unwrap();
        }
        assert!(ended && &to[..] == b"hello!", "in reads of {step} bytes: {to:?}");
    }
    let mut bad = BytesMut::from("zz\r\n");
    assert_eq!(ChunkedDecoder::default().take(&mut bad, &mut BytesMut::new()), Err(Malformed));
}
