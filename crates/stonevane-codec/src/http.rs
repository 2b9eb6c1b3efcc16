//! HTTP/1.1: heads of requests and responses, and chunked bodies (RFC 9112).

use bytes::{Buf, BytesMut};

/// Invalid input.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct Malformed;

/// The longest head, and the longest line that states a chunk's size, in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// The most headers in a head.
const MAX_HEADERS: usize = 48;
/// The end of a line.
const LINE_END: &[u8] = b"\r\n";

/// The head of a response.
#[derive(Debug, Default, PartialEq)]
pub struct Head {
    /// Its length, in bytes.
    pub length: usize,
    /// Its status code.
    pub status: u16,
    /// The stated length of the body, in bytes.
    pub content_length: Option<usize>,
    /// Whether the body is chunked.
    pub chunked: bool,
    /// Whether the connection ends after this response.
    pub close: bool,
    /// Whether the server states that it did not run the request (`X-Unprocessed: 1`).
    pub unprocessed: bool,
    /// The load report (`X-Backend-Load`).
    pub load: Option<String>,
    /// The result of a read's lookup (`X-Lookup`).
    pub lookup: Option<String>,
}

/// Parses the head of a response at the front of a buffer; `None` while it is incomplete.
///
/// # Errors
/// [`Malformed`] for what is no head, is too long, or states its body's length in two ways (RFC 9112, 6.3).
pub fn head(buffer: &[u8]) -> Result<Option<Head>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let Some(length) = head_length(response.parse(buffer), buffer)? else { return Ok(None) };
    let status = response.code.unwrap_or(0);
    let is_http_1_0 = response.version == Some(0);
    let mut head = Head { length, status, close: is_http_1_0, ..Head::default() };
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

/// The length of a head by the parser's result; `None` while it is incomplete.
fn head_length(
    parsed: Result<httparse::Status<usize>, httparse::Error>,
    buffer: &[u8],
) -> Result<Option<usize>, Malformed> {
    match parsed {
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD => Ok(None),
        _ => Err(Malformed),
    }
}

/// Parses a stated length of digits alone that agrees with an earlier one: readers that took signs or differing lengths
/// in different ways would disagree on where the message ends (RFC 9112, 6.3).
fn parse_content_length(value: &str, earlier: Option<usize>) -> Result<usize, Malformed> {
    let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    let length = value.parse().ok().filter(|_| is_number).ok_or(Malformed)?;
    if earlier.is_some_and(|earlier| earlier != length) { Err(Malformed) } else { Ok(length) }
}

/// The head of a request.
#[derive(Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Its length, in bytes.
    pub length: usize,
    /// The method, as it was written.
    pub method: String,
    /// The target, as it was written.
    pub target: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The stated length of the body, in bytes.
    pub content_length: Option<usize>,
}

impl RequestHead {
    /// The first header of a name that is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// Parses the head of a request at the front of a buffer; `None` while it is incomplete.
///
/// # Errors
/// [`Malformed`] for what is no head, is too long, or states its body's length in two ways (RFC 9112, 6.3).
/// Chunked bodies are not supported.
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

/// Decodes a chunked body as it arrives.
#[derive(Default)]
pub struct Chunks {
    /// Bytes of the current chunk that have not arrived.
    remaining: usize,
    /// Whether the line end after a chunk's content has not arrived.
    awaits_line_end: bool,
    ended: bool,
}

impl Chunks {
    /// Moves what has arrived of the body's content from one buffer to the other; `true` at the body's end.
    ///
    /// # Errors
    /// [`Malformed`] for what is no chunked body.
    pub fn take(&mut self, from: &mut BytesMut, to: &mut BytesMut) -> Result<bool, Malformed> {
        while !self.ended {
            if !self.take_content(from, to) || !self.take_line_end(from)? || !self.take_size(from)? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Moves what has arrived of the current chunk; returns whether that is all of it.
    fn take_content(&mut self, from: &mut BytesMut, to: &mut BytesMut) -> bool {
        if self.remaining == 0 {
            return true;
        }
        let length = self.remaining.min(from.len());
        to.extend_from_slice(&from[..length]);
        from.advance(length);
        self.remaining -= length;
        self.awaits_line_end = self.remaining == 0;
        self.awaits_line_end
    }

    /// Takes the line end after a chunk's content; `false` while it is incomplete.
    fn take_line_end(&mut self, from: &mut BytesMut) -> Result<bool, Malformed> {
        if !self.awaits_line_end {
            return Ok(true);
        }
        if from.len() < LINE_END.len() {
            return Ok(false);
        }
        if !from.starts_with(LINE_END) {
            return Err(Malformed);
        }
        from.advance(LINE_END.len());
        self.awaits_line_end = false;
        Ok(true)
    }

    /// Takes the line that states the size of the next chunk; `false` while it is incomplete.
    fn take_size(&mut self, from: &mut BytesMut) -> Result<bool, Malformed> {
        match httparse::parse_chunk_size(from) {
            Ok(httparse::Status::Complete((length, size))) => {
                from.advance(length);
                self.remaining = usize::try_from(size).map_err(|_| Malformed)?;
                // Trailers are not read: the connection can't be used after the last chunk.
                self.ended = size == 0;
                Ok(true)
            }
            Ok(httparse::Status::Partial) if from.len() <= MAX_HEAD => Ok(false),
            _ => Err(Malformed),
        }
    }
}

#[cfg(test)]
mod tests;
