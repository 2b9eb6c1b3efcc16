//! HTTP/1.1 (RFC 9112): decoders of request heads, response heads and chunked bodies.

mod chunked;
mod head_decoder;
#[cfg(test)]
mod tests;

pub use chunked::ChunkedDecoder;
pub use head_decoder::HeadDecoder;

/// Error of invalid input, after which the connection is unusable.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct Malformed;

/// Maximum length of a head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of headers in a head.
const MAX_HEADERS: usize = 48;

/// The head of a response.
#[derive(Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Length of the head, in bytes, including the empty line after it.
    pub length: usize,
    /// Status code; 0 if the parser gives none.
    pub status: u16,
    /// Value of `Content-Length`: length of the body, in bytes.
    pub content_length: Option<usize>,
    /// Whether the body has the chunked transfer coding.
    pub chunked: bool,
    /// Whether the server closes the connection after this response.
    pub close: bool,
    /// Whether the server states that it did not process the request (`X-Unprocessed: 1`).
    pub unprocessed: bool,
    /// Load report of the server (`X-Backend-Load`), undecoded.
    pub load: Option<String>,
    /// Result of the cache lookup of a read (`X-Lookup`).
    pub lookup: Option<String>,
}

/// Parses the response head at the front of a buffer. Returns `None` while it is incomplete. Each call parses
/// the buffer from its front; [`HeadDecoder`] is for a head that arrives in pieces.
///
/// # Errors
/// [`Malformed`] if the input is not a response head, if the head is too long, or if it states the length of
/// its body in two ways (RFC 9112, 6.3).
pub fn response_head(buffer: &[u8]) -> Result<Option<ResponseHead>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let Some(length) = head_length(response.parse(buffer), buffer)? else { return Ok(None) };
    let status = response.code.unwrap_or(0);
    let is_http_1_0 = response.version == Some(0);
    let mut head = ResponseHead { length, status, close: is_http_1_0, ..ResponseHead::default() };
    for header in &*response.headers {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => {
                head.content_length = Some(parse_content_length(value, head.content_length)?);
            }
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") && !head.chunked => {
                head.chunked = true;
            }
            "transfer-encoding" => return Err(Malformed),
            "connection" => head.close |= value.eq_ignore_ascii_case("close"),
            "x-unprocessed" => head.unprocessed = value == "1",
            "x-backend-load" => head.load = Some(value.into()),
            "x-lookup" => head.lookup = Some(value.into()),
            _ => {}
        }
    }
    if head.chunked && head.content_length.is_some() {
        return Err(Malformed);
    }
    Ok(Some(head))
}

/// Converts the parser's result to the length of the head, in bytes; `None` while the head is incomplete.
fn head_length(
    parsed: Result<httparse::Status<usize>, httparse::Error>,
    buffer: &[u8],
) -> Result<Option<usize>, Malformed> {
    match parsed {
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => Ok(None),
        _ => Err(Malformed),
    }
}

/// Parses a `Content-Length`, which must consist of digits and equal an earlier one in the same head. If two
/// peers treat signs or differing lengths differently, they disagree on where the message ends (RFC 9112,
/// 6.3).
fn parse_content_length(value: &str, earlier: Option<usize>) -> Result<usize, Malformed> {
    let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    let length = value.parse().ok().filter(|_| is_number).ok_or(Malformed)?;
    if earlier.is_some_and(|earlier| earlier != length) { Err(Malformed) } else { Ok(length) }
}

/// The head of a request.
#[derive(Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Length of the head, in bytes, including the empty line after it.
    pub length: usize,
    /// Method, as received.
    pub method: String,
    /// Request target, as received.
    pub target: String,
    /// Header names in lower case with their values, in the order received.
    pub headers: Vec<(String, String)>,
    /// Value of `Content-Length`: length of the body, in bytes.
    pub content_length: Option<usize>,
}

impl RequestHead {
    /// Returns the value of the first header with a name, which must be given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }
}

/// Parses the request head at the front of a buffer. Returns `None` while it is incomplete.
///
/// # Errors
/// [`Malformed`] if the input is not a request head, if the head is too long, if it states the length of its
/// body in two ways (RFC 9112, 6.3), or if the body has a transfer coding, which is not supported.
pub fn request_head(buffer: &[u8]) -> Result<Option<RequestHead>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let Some(length) = head_length(request.parse(buffer), buffer)? else { return Ok(None) };
    let method = request.method.unwrap_or("").into();
    let target = request.path.unwrap_or("").into();
    let mut head = RequestHead { length, method, target, ..RequestHead::default() };
    for header in &*request.headers {
        let value = std::str::from_utf8(header.value).map_err(|_| Malformed)?.trim();
        let name = header.name.to_ascii_lowercase();
        match name.as_str() {
            "content-length" => {
                head.content_length = Some(parse_content_length(value, head.content_length)?);
            }
            "transfer-encoding" => return Err(Malformed),
            _ => {}
        }
        head.headers.push((name, value.into()));
    }
    Ok(Some(head))
}
