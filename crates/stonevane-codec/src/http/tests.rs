//! Tests of the decoders of heads and chunked bodies.

use bytes::BytesMut;

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

/// Guards against a body of which each read decodes all that has arrived (`review/3`).
#[test]
fn a_chunked_body_costs_a_bounded_number_of_examined_bytes_for_each_byte() {
    for encoded in [b"1\r\nx\r\n".repeat(5_000), b"1;extension\r\nx\r\n".repeat(2_000)] {
        let (mut decoder, mut from, mut to) = (ChunkedDecoder::default(), BytesMut::new(), BytesMut::new());
        for byte in &encoded {
            from.extend_from_slice(&[*byte]);
            assert_eq!(decoder.take(&mut from, &mut to), Ok(false));
        }
        assert!(decoder.examined <= 3 * encoded.len(), "{} for {}", decoder.examined, encoded.len());
    }
    let mut endless = BytesMut::from(&[b'1'; 2_000][..]);
    assert_eq!(ChunkedDecoder::default().take(&mut endless, &mut BytesMut::new()), Err(Malformed));
}

#[test]
fn a_head_is_decoded_whatever_the_size_of_the_reads() {
    let encoded = b"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\nX-Lookup: hit\r\n\r\n";
    for step in 1..encoded.len() {
        let (mut decoder, mut received, mut decoded) = (HeadDecoder::default(), Vec::new(), None);
        for part in encoded.chunks(step) {
            assert_eq!(decoded, None);
            received.extend_from_slice(part);
            decoded = decoder.decode(&received).unwrap();
        }
        assert_eq!(decoded, response_head(encoded).unwrap(), "in reads of {step} bytes");
        assert_eq!(decoded.unwrap().length, encoded.len());
    }
}

/// Guards against a head of which each read parses all that has arrived.
#[test]
fn a_head_costs_a_bounded_number_of_examined_bytes_for_each_byte() {
    let long = [&b"HTTP/1.1 200 OK\r\nX-Long: "[..], &vec![b'x'; 20_000]].concat();
    let empty_lines = b"\r\n".repeat(10_000);
    let many = [&b"HTTP/1.1 200 OK\r\n"[..], &b"X-Many: x\r\n".repeat(2_000)].concat();
    for head in [long, empty_lines, many] {
        let mut decoder = HeadDecoder::default();
        let rejected = (1..=head.len()).find(|length| decoder.decode(&head[..*length]).is_err()).unwrap();
        assert!(rejected <= 2 * MAX_HEAD_BYTES, "rejected after {rejected} bytes");
        assert!(decoder.examined <= 4 * rejected, "{} for {rejected}", decoder.examined);
    }
    for garbage in [&b"noise"[..], b"HTTP/1.1 2x0 OK\r\n", b"\0"] {
        assert!(HeadDecoder::default().decode(garbage).is_err());
    }
}
