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

/// Guards against commands whose arguments are short enough each and too long together (`review/2`).
#[test]
fn a_command_is_rejected_at_the_stated_length_that_exceeds_the_limit() {
    let argument = [&b"$65536\r\n"[..], &vec![b'x'; MAX_ARG_BYTES], b"\r\n"].concat();
    let mut input = BytesMut::from(&[&b"*3\r\n"[..], &argument].concat()[..]);
    assert_eq!(take_command(&mut input), Ok(None));
    input.extend_from_slice(b"$4096\r\n");
    assert!(take_command(&mut input).is_err());
    // The longest command that is accepted, whatever its arguments.
    for lengths in [vec![65_536, 4_069], vec![34_801, 34_801], vec![4_602; 15]] {
        let args: Vec<Vec<u8>> = lengths.iter().map(|length| vec![b'x'; *length]).collect();
        let args: Vec<&[u8]> = args.iter().map(Vec::as_slice).collect();
        let encoded = encode_command(&args);
        let spare = MAX_COMMAND_BYTES - encoded.len();
        let longer: Vec<u8> = vec![b'x'; args[args.len() - 1].len() + spare];
        let longest = |last: &'_ [u8]| encode_command(&[&args[..args.len() - 1], &[last]].concat());
        let mut input = BytesMut::from(&longest(&longer)[..]);
        assert_eq!(input.len(), MAX_COMMAND_BYTES);
        assert!(take_command(&mut input).unwrap().is_some() && input.is_empty());
        let mut input = BytesMut::from(&longest(&[&longer[..], b"x"].concat())[..]);
        assert!(take_command(&mut input).is_err(), "{lengths:?}");
    }
}

/// Guards against work for each received byte that grows with the bytes before it.
#[test]
fn a_command_costs_a_bounded_number_of_examined_bytes_whatever_has_arrived() {
    let argument = [&b"$4000\r\n"[..], &[b'x'; 4_000], b"\r\n"].concat();
    let command = [&b"*16\r\n"[..], &argument.repeat(16)].concat();
    for length in 0..=command.len() {
        let mut scanner = scanner::Scanner::new(&command[..length]);
        let mut args = [scanner::Span::default(); MAX_ARRAY_ITEMS];
        let found = command::scan_command(&mut scanner, &mut args);
        assert_eq!(found, Ok((length == command.len()).then_some(MAX_ARRAY_ITEMS)));
        assert!(scanner.examined <= 17 * 32, "{} bytes for {length}", scanner.examined);
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

/// Decodes a reply byte by byte. Returns the number of bytes received until it is complete, has a long value or
/// is malformed, and the number of bytes examined.
fn decode_byte_by_byte(reply: &[u8]) -> (usize, usize, Result<bool, Malformed>) {
    let (mut decoder, mut examined) = (ServerReplyDecoder::default(), 0);
    for length in 1..=reply.len() {
        let mut scanner = scanner::Scanner::new(&reply[..length]);
        let progress = decoder.scan(&mut scanner);
        examined += scanner.examined;
        match progress {
            Ok(ServerReplyProgress::Incomplete) => {}
            Ok(_) => return (length, examined, Ok(true)),
            Err(error) => return (length, examined, Err(error)),
        }
    }
    (reply.len(), examined, Ok(false))
}

/// Guards against replies that are decoded as a whole at each read and never end (`review/3`).
#[test]
fn a_reply_of_another_form_is_rejected_at_its_first_deviating_byte() {
    for (reply, length) in [
        (&b"*16\r\n*16\r\n*16\r\n$1048576\r\n"[..], 5),
        (b"*3\r\n*3\r\n", 5),
        (b"*3\r\n$1\r\nx\r\n*1\r\n", 12),
        (b"*3\r\n$1\r\nx\r\n$2001\r\n", 18),
        (b"*2\r\n$1\r\n", 4),
        (b"*-1\r\n", 5),
        (b"+OK\r\n", 1),
        (b"noise", 1),
        (b"*3\r\n$1\r\nxyz", 12),
    ] {
        let (received, _, decoded) = decode_byte_by_byte(reply);
        assert!(decoded.is_err() && received <= length, "{}: {received}", String::from_utf8_lossy(reply));
    }
}

#[test]
fn a_reply_costs_a_bounded_number_of_examined_bytes_for_each_byte() {
    let value = [&b"*3\r\n$65536\r\n"[..], &vec![b'x'; MAX_ARG_BYTES], b"\r\n$3\r\nhit\r\n$-1\r\n"].concat();
    let error = [&b"-ERR "[..], &[b'x'; MAX_LINE_BYTES - 5], b"\r\n"].concat();
    for reply in [value, error] {
        let (received, examined, decoded) = decode_byte_by_byte(&reply);
        assert_eq!((received, decoded), (reply.len(), Ok(true)));
        assert!(examined <= 64 * reply.len(), "{examined} for {received}");
    }
    let (received, examined, decoded) = decode_byte_by_byte(&[b'-'; 3 * MAX_LINE_BYTES]);
    assert!(decoded.is_err() && received <= MAX_LINE_BYTES + 2, "{received}");
    assert!(examined <= 4 * received, "{examined}");
    let (received, _, decoded) = decode_byte_by_byte(b"*3\r\n$65537\r\n");
    assert_eq!((received, decoded), (12, Ok(true)), "a long value is reported before it arrives");
}
