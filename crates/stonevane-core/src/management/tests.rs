//! Tests of the decoding of calls to the management address.

use super::*;

fn status(text: &str) -> Option<u16> {
    decode(text.as_bytes()).err().map(|answer| answer.status())
}

#[test]
fn calls_are_decoded_only_when_complete() {
    let put = "PUT /cache-servers/disable/s-5be2%61 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
    for cut in 0..put.len() {
        assert_eq!(decode(&put.as_bytes()[..cut]), Ok(None), "{cut} bytes");
    }
    let exclude = |excluded| Call::Exclude { name: "s-5be2a".into(), excluded };
    assert_eq!(decode(put.as_bytes()), Ok(Some(exclude(true))));
    let back = "PUT http://h:1/cache-servers/enable/s-5be2a HTTP/1.1\r\n\r\nGET /ready HTTP/1.1\r\n\r\n";
    assert_eq!(decode(back.as_bytes()), Ok(Some(exclude(false))));
    assert_eq!(decode(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"), Ok(Some(Call::Ready)));
    assert_eq!(decode(b"GET /metrics?all HTTP/1.0\r\n\r\n"), Ok(Some(Call::Metrics)));
}

#[test]
fn invalid_calls_get_the_status_codes_of_http() {
    assert_eq!(status("nonsense\r\n\r\n"), Some(400));
    assert_eq!(status("GET / HTTP/1.1\r\n\r\n"), Some(404));
    assert_eq!(status("PUT /cache-servers/drop/a HTTP/1.1\r\n\r\n"), Some(404));
    assert_eq!(status("PUT /cache-servers/disable/ HTTP/1.1\r\n\r\n"), Some(404));
    assert_eq!(status("PUT /cache-servers/disable/%zz HTTP/1.1\r\n\r\n"), Some(400));
    assert_eq!(status("PUT /cache-servers/disable/%0a HTTP/1.1\r\n\r\n"), Some(400));
    assert_eq!(status("PUT /ready HTTP/1.1\r\nContent-Length: 9999\r\n\r\n"), Some(413));
    assert_eq!(status("PUT /ready HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), Some(400));
    assert_eq!(status(&format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(3000))), Some(414));
    assert_eq!(status(&format!("GET /ready HTTP/1.1\r\nX: {}", "a".repeat(4096))), Some(431));
    let answer = decode(b"POST /metrics HTTP/1.1\r\n\r\n").unwrap_err();
    let text = String::from_utf8(answer.bytes()).unwrap();
    assert!(text.starts_with("HTTP/1.1 405 ") && text.contains("\r\nAllow: GET\r\n"), "{text}");
}
