//! HTTP calls to the management address, one per connection: decodes calls and encodes answers, without I/O.

use std::fmt::Write;

use stonevane_codec::http::{self, Malformed};

/// The longest request head, in bytes. The request target may take half of this length.
pub const MAX_HEAD: usize = 4096;
/// The longest request body, in bytes. Bodies are ignored; a call with a longer body is rejected before the
/// body is read.
const MAX_BODY_BYTES: usize = 1024;
/// The longest name of a cache server in a call, in bytes.
const MAX_NAME_BYTES: usize = 120;

/// A call from an operator or the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Asks whether this process serves clients (readiness probe).
    Ready,
    /// Reads the metrics.
    Metrics,
    /// Reads this node's view of the other nodes.
    Fleet {
        /// Whether to answer in the short form, one letter per node.
        brief: bool,
    },
    /// Excludes or reinstates a cache server.
    Exclude {
        /// Name of the cache server in the server list.
        name: String,
        /// `true` excludes the server, `false` reinstates it.
        excluded: bool,
    },
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    status: u16,
    allow: Option<&'static str>,
    json: bool,
    body: String,
}

impl Answer {
    /// Creates an answer with one line of plain text.
    pub fn line(status: u16, body: impl Into<String>) -> Answer {
        Answer { status, allow: None, json: false, body: body.into() + "\n" }
    }

    /// Creates a successful answer with a JSON object.
    pub fn object(body: String) -> Answer {
        Answer { status: 200, allow: None, json: true, body }
    }

    /// Returns the HTTP status code of the answer.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Encodes the answer as an HTTP response after which the connection is closed.
    pub fn bytes(&self) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            413 => "Content Too Large",
            414 => "URI Too Long",
            431 => "Request Header Fields Too Large",
            503 => "Service Unavailable",
            _ => "Error",
        };
        let kind = if self.json { "application/json" } else { "text/plain; charset=utf-8" };
        let mut head = format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: {kind}\r\nContent-Length: {}\r\nCache-Control: no-store\r\n",
            self.status,
            self.body.len()
        );
        if let Some(allow) = self.allow {
            let _ = write!(head, "Allow: {allow}\r\n");
        }
        head.push_str("Connection: close\r\n\r\n");
        head.push_str(&self.body);
        head.into_bytes()
    }
}

/// Decodes the call at the front of a connection's input; `None` while it is incomplete. Bytes after it are
/// ignored.
///
/// # Errors
/// The answer to an invalid or unknown call.
pub fn decode(bytes: &[u8]) -> Result<Option<Call>, Answer> {
    let line = bytes.iter().position(|byte| *byte == b'\n').unwrap_or(bytes.len());
    let head = match http::request_head(&bytes[..bytes.len().min(MAX_HEAD)]) {
        Ok(Some(head)) => head,
        Ok(None) if line > MAX_HEAD / 2 => return Err(Answer::line(414, "the target is too long")),
        Ok(None) if bytes.len() >= MAX_HEAD => return Err(Answer::line(431, "the head is too long")),
        Ok(None) => return Ok(None),
        Err(Malformed) => return Err(Answer::line(400, "this is no call")),
    };
    let body = head.content_length.unwrap_or(0);
    if head.target.len() > MAX_HEAD / 2 {
        return Err(Answer::line(414, "the target is too long"));
    }
    if body > MAX_BODY_BYTES {
        return Err(Answer::line(413, "a call needs no body"));
    }
    let call = route(&head.method, &head.target)?;
    Ok((bytes.len() >= head.length + body).then_some(call))
}

fn route(method: &str, target: &str) -> Result<Call, Answer> {
    // The absolute form names the authority first (RFC 9112, 3.2.2).
    let path = match target.strip_prefix("http://") {
        Some(rest) => rest.find('/').map_or("/", |at| &rest[at..]),
        None => target,
    };
    let path = path.split(['?', '#']).next().unwrap_or("");
    let (call, allow) = match path {
        "/ready" => (Call::Ready, "GET"),
        "/metrics" => (Call::Metrics, "GET"),
        "/fleet" => (Call::Fleet { brief: false }, "GET"),
        "/fleet/view" => (Call::Fleet { brief: true }, "GET"),
        _ => (exclusion(path)?, "PUT"),
    };
    if method != allow {
        let answer = Answer::line(405, format!("{path} is called by {allow}"));
        return Err(Answer { allow: Some(allow), ..answer });
    }
    Ok(call)
}

/// Decodes the path of a call that excludes or reinstates a cache server.
fn exclusion(path: &str) -> Result<Call, Answer> {
    let rest = path.strip_prefix("/cache-servers/").and_then(|rest| rest.split_once('/'));
    let (excluded, name) = match rest {
        Some(("disable", name)) => (true, name),
        Some(("enable", name)) => (false, name),
        _ => return Err(Answer::line(404, "there is no such call")),
    };
    let name = percent_decode(name).ok_or_else(|| Answer::line(400, "the name can't be read"))?;
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.contains('/') {
        return Err(Answer::line(404, "there is no cache server of that name"));
    }
    Ok(Call::Exclude { name, excluded })
}

/// Decodes percent-encoding (RFC 3986, 2.1).
fn percent_decode(text: &str) -> Option<String> {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let high = hex_digit(bytes.next()?)?;
            let low = hex_digit(bytes.next()?)?;
            out.push(high * 16 + low);
        } else {
            out.push(byte);
        }
    }
    let name = String::from_utf8(out).ok()?;
    (!name.chars().any(char::is_control)).then_some(name)
}

fn hex_digit(byte: u8) -> Option<u8> {
    char::from(byte).to_digit(16).map(|digit| digit as u8)
}

#[cfg(test)]
mod tests;
