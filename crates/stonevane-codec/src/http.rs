//! HTTP/1.1: heads of requests and answers, and chunked bodies (RFC 9112).

use bytes::{Buf, BytesMut};

/// An answer that can't be understood.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct Malformed;

/// The longest head, and the longest line that states a chunk's size.
const MAX_HEAD: usize = 16 * 1024;
const MAX_HEADERS: usize = 48;

/// The head of an answer.
#[derive(Debug, Default, PartialEq)]
pub struct Head {
    /// Its bytes.
    pub length: usize,
    /// Its status code.
    pub status: u16,
    /// The stated length of the body.
    pub content_length: Option<usize>,
    /// Whether the body comes in chunks.
    pub chunked: bool,
    /// Whether the connection ends after this answer.
    pub close: bool,
    /// Whether the server says that it did not run the request (`X-Unprocessed: 1`).
    pub unprocessed: bool,
    /// The load report (`X-Backend-Load`).
    pub load: Option<String>,
    /// How a read went (`X-Lookup`).
    pub lookup: Option<String>,
}

/// Reads a head at the front of a buffer; `None` while it is not all there.
pub fn head(buffer: &[u8]) -> Result<Option<Head>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD => return Ok(None),
        _ => return Err(Malformed),
    };
    let status = response.code.unwrap_or(0);
    let mut head = Head { length, status, close: response.version == Some(0), ..Head::default() };
    for header in response.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => {
                head.content_length = Some(stated(value, head.content_length)?);
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

/// A stated length, and no other than one stated before. Against lengths that two readers would read
/// differently: signs, and two that differ (RFC 9112, 6.3).
fn stated(value: &str, before: Option<usize>) -> Result<usize, Malformed> {
    let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    let length = value.parse().ok().filter(|_| digits).ok_or(Malformed)?;
    if before.is_some_and(|before| before != length) { Err(Malformed) } else { Ok(length) }
}

/// The head of a request.
#[derive(Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Its bytes.
    pub length: usize,
    /// The method, as it was written.
    pub method: String,
    /// The target, as it was written.
    pub target: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The stated length of the body.
    pub content_length: Option<usize>,
}

impl RequestHead {
    /// The first header of a name that is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// Reads a request's head at the front of a buffer; `None` while it is not all there.
///
/// # Errors
/// [`Malformed`] for what is no head, is too long, or states its body's length in two ways (RFC 9112, 6.3).
/// Bodies in chunks are not read here.
pub fn request_head(buffer: &[u8]) -> Result<Option<RequestHead>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD => return Ok(None),
        _ => return Err(Malformed),
    };
    let (method, target) = (request.method.unwrap_or("").into(), request.path.unwrap_or("").into());
    let mut head = RequestHead { length, method, target, ..RequestHead::default() };
    for header in request.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(|_| Malformed)?.trim();
        let name = header.name.to_ascii_lowercase();
        match name.as_str() {
            "content-length" => {
                head.content_length = Some(stated(value, head.content_length)?);
            }
            "transfer-encoding" => return Err(Malformed),
            _ => {}
        }
        head.headers.push((name, value.into()));
    }
    Ok(Some(head))
}

/// Takes chunks apart as they come.
#[derive(Default)]
pub struct Chunks {
    left: usize,
    /// The line end after a chunk's content is still to come.
    line_end: bool,
    ended: bool,
}

impl Chunks {
    /// Moves what is there of the body's content from one buffer to the other; `true` at the body's end.
    pub fn take(&mut self, from: &mut BytesMut, to: &mut BytesMut) -> Result<bool, Malformed> {
        while !self.ended {
            if self.left > 0 {
                let part = self.left.min(from.len());
                to.extend_from_slice(&from[..part]);
                from.advance(part);
                self.left -= part;
                self.line_end = self.left == 0;
                if self.left > 0 {
                    return Ok(false);
                }
            }
            if self.line_end {
                if from.len() < 2 {
                    return Ok(false);
                }
                if !from.starts_with(b"\r\n") {
                    return Err(Malformed);
                }
                from.advance(2);
                self.line_end = false;
            }
            match httparse::parse_chunk_size(from) {
                Ok(httparse::Status::Complete((length, size))) => {
                    from.advance(length);
                    self.left = usize::try_from(size).map_err(|_| Malformed)?;
                    // Trailers are not read: what follows the last chunk ends the use of the connection.
                    self.ended = size == 0;
                }
                Ok(httparse::Status::Partial) if from.len() <= MAX_HEAD => return Ok(false),
                _ => return Err(Malformed),
            }
        }
        Ok(true)
    }
}

#[cfg(test)]
mod tests;
