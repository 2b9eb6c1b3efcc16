//! Tests of the decoders of commands and replies.

use super::*;

#[test]
fn a_command_is_decoded_only_once_it_is_complete() {
    let encoded = encode_command(&[b"OBJ.GET", b"k", b"i", b"c=read"]);
    for cut in 0..encoded.len() {
        let mut part = BytesMut::from(&encoded[..cut]);
        assert_eq!(take_command(&mut part), Ok(None), "{cut} bytes");
        assert_eq!(part.len(), cut);
    }
    let mut twice = BytesMut::from(&[&encoded[..], &encoded[..]].concat()[..]);
    for _ in 0..2 {
        let args = take_command(&mut twice).unwrap().unwrap();
        assert_eq!(args, [&b"OBJ.GET"[..], b"k", b"i", b"c=read"]);
    }
    assert!(twice.is_empty());
}

#[test]
fn malformed_and_too_long_commands_are_rejected_without_more_input() {
    for bad in [
        "GET k\r\n",
        "*17\r\n",
        "*1\r\n$65537\r\n",
        "*1\r\n$-1\r\n",
        "*1\r\n$+3\r\nabc\r\n",
        "*1\r\n$3\r\nabcde",
        "*99999999999999999999999\r\n",
        "*11111111111111111111111111111",
        "*\r\n",
    ] {
        assert!(take_command(&mut BytesMut::from(bad)).is_err(), "{bad:?}");
    }
}

#[test]
fn replies_are_decoded_and_deep_nesting_is_rejected() {
    let mut replies = BytesMut::from("*3\r\n$2\r\nab\r\n$-1\r\n$3\r\nhit\r\n-BUSY\r\n:7\r\n");
    let bulk = |text: &'static str| Reply::Bulk(Some(Bytes::from_static(text.as_bytes())));
    let array = Reply::Array(vec![bulk("ab"), Reply::Bulk(None), bulk("hit")]);
    assert_eq!(take_reply(&mut replies, MAX_ARG_BYTES), Ok(Some(array)));
    assert_eq!(take_reply(&mut replies, MAX_ARG_BYTES), Ok(Some(Reply::Error("BUSY".into()))));
    assert_eq!(take_reply(&mut replies, MAX_ARG_BYTES), Ok(Some(Reply::Integer(7))));
    assert_eq!(take_reply(&mut replies, MAX_ARG_BYTES), Ok(None));
    assert!(take_reply(&mut BytesMut::from(&b"*1\r\n".repeat(9000)[..]), MAX_ARG_BYTES).is_err());
}
