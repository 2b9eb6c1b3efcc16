//! The HTTP/1.1 protocol of the origin: encodes attempts and decodes their replies.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use stonevane_codec::http::{ChunkedDecoder, HeadDecoder, ResponseHead};
use stonevane_codec::resp::MAX_ARG_BYTES;
use stonevane_policy::AttemptStatus;

use super::cache;
use super::conn::DecodeOptions;
use super::decoder::{LongValue, ReplyProgress};
use crate::reply::{MalformedReply, Reply};
use crate::request::Command;

/// Maximum number of interim responses (1xx) that are accepted ahead of the final one.
const MAX_INTERIM_RESPONSES: usize = 8;
const STATUS_OK: u16 = 200;
/// Initial buffer capacity of an encoded request.
const REQUEST_CAPACITY_BYTES: usize = 512;

/// Encodes a client's command as a request to the origin. `left_ms` is the time until the client's deadline.
pub(super) fn encode(command: &Command, left_ms: u64, host: &str) -> Bytes {
    let mut out = BytesMut::with_capacity(REQUEST_CAPACITY_BYTES);
    out.put_slice(if command.write { b"PUT /" } else { b"GET /" });
    out.put_slice(&command.key);
    out.put_slice(format!(" HTTP/1.1\r\nHost: {host}\r\nX-Correlation-Id: ").as_bytes());
    out.put_slice(&command.id);
    out.put_slice(format!("\r\nX-Facts: {}\r\n", command.parameters_with_time_left(left_ms)).as_bytes());
    let body: &[u8] = command.value.as_deref().unwrap_or(b"");
    if command.write {
        out.put_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    out.put_slice(b"\r\n");
    out.put_slice(body);
    out.freeze()
}

/// Decoder of one reply of the origin. Heads are removed from the buffer as they arrive, and the content of a
/// chunked body as well.
#[derive(Default)]
pub(super) struct ReplyDecoder {
    head_decoder: HeadDecoder,
    /// Number of interim responses that have arrived. Without a limit a server could send them endlessly.
    interim_responses: usize,
    /// The final response, once its head has arrived.
    response: Option<Response>,
}

/// A final response whose body is being received.
struct Response {
    head: ResponseHead,
    body: Body,
}

enum Body {
    /// A body of a stated length, in bytes, which is buffered.
    Sized(usize),
    /// A body in chunks, whose content is collected.
    Chunked { decoder: ChunkedDecoder, content: BytesMut },
    /// The body of a failure, which is discarded.
    Discarded(DiscardedBody),
}

enum DiscardedBody {
    /// Bytes that have not been received.
    Sized(usize),
    /// Bytes that were received.
    Chunked { decoder: ChunkedDecoder, received: usize },
}

impl ReplyDecoder {
    /// Removes the received part of the reply from the buffer, but for a value that is buffered or streamed.
    pub fn decode(
        &mut self,
        buffer: &mut BytesMut,
        options: &DecodeOptions<'_>,
    ) -> Result<ReplyProgress, MalformedReply> {
        let max_value = options.max_value;
        if self.response.is_none() {
            let Some(head) = self.take_final_head(buffer)? else { return Ok(ReplyProgress::Incomplete) };
            if let Some(long_value) = long_value(&head) {
                return Ok(ReplyProgress::LongValue(long_value));
            }
            let body = Body::of(&head, max_value)?;
            self.response = Some(Response { head, body });
        }
        let Some(response) = &mut self.response else { return Ok(ReplyProgress::Incomplete) };
        let Some(value) = response.body.take(buffer, max_value)? else {
            return Ok(ReplyProgress::Incomplete);
        };
        Ok(ReplyProgress::Complete(decode_reply(&response.head, value, options.load_names)))
    }

    /// Removes the heads of interim responses and of the final one from the buffer, and returns the latter.
    fn take_final_head(&mut self, buffer: &mut BytesMut) -> Result<Option<ResponseHead>, MalformedReply> {
        while self.interim_responses <= MAX_INTERIM_RESPONSES {
            let head = self.head_decoder.decode(buffer).map_err(|_| MalformedReply)?;
            let Some(head) = head else { return Ok(None) };
            self.head_decoder = HeadDecoder::default();
            buffer.advance(head.length);
            match head.status {
                100 | 102..200 => self.interim_responses += 1,
                200.. => return Ok(Some(head)),
                // No request asks for a protocol upgrade (101), and codes below 100 do not exist.
                _ => return Err(MalformedReply),
            }
        }
        Err(MalformedReply)
    }

    /// Number of bytes of the value that are no longer in the buffer.
    pub fn decoded_bytes(&self) -> usize {
        match self.response.as_ref().map(|response| &response.body) {
            Some(Body::Chunked { content, .. }) => content.len(),
            _ => 0,
        }
    }

    /// Whether the value arrives in chunks, so that its length is unknown.
    pub fn has_chunked_value(&self) -> bool {
        matches!(&self.response, Some(Response { body: Body::Chunked { .. }, .. }))
    }
}

/// Returns the value of a served reply if it is too long to be buffered.
fn long_value(head: &ResponseHead) -> Option<LongValue> {
    let length = head.content_length.filter(|length| head.status == STATUS_OK && *length > MAX_ARG_BYTES)?;
    Some(LongValue { length, reusable: !head.close })
}

fn decode_reply(head: &ResponseHead, value: Bytes, load_names: &[String]) -> Reply {
    let status = match head.status {
        STATUS_OK => AttemptStatus::Served,
        503 | 504 if head.unprocessed => AttemptStatus::Rejected,
        _ => AttemptStatus::Error,
    };
    Reply {
        status,
        cache_status: cache::parse_cache_status(head.lookup.as_deref().unwrap_or("")),
        load: cache::parse_load(head.load.as_deref().unwrap_or(""), load_names),
        value: (status == AttemptStatus::Served).then_some(value),
        min_version: 0,
        // Trailers of a chunked body are not read.
        reusable: head.content_length.is_some() && !head.close,
    }
}

impl Body {
    fn of(head: &ResponseHead, max_value: usize) -> Result<Body, MalformedReply> {
        let is_served = head.status == STATUS_OK;
        if head.chunked {
            let decoder = ChunkedDecoder::default();
            return Ok(match is_served {
                true => Body::Chunked { decoder, content: BytesMut::new() },
                false => Body::Discarded(DiscardedBody::Chunked { decoder, received: 0 }),
            });
        }
        match head.content_length {
            Some(length) if length > max_value => Err(MalformedReply),
            Some(length) if is_served => Ok(Body::Sized(length)),
            Some(length) => Ok(Body::Discarded(DiscardedBody::Sized(length))),
            // A value that is delimited by the end of the connection might be truncated. A failure needs no
            // body.
            None if is_served => Err(MalformedReply),
            None => Ok(Body::Discarded(DiscardedBody::Sized(0))),
        }
    }

    /// Removes the received part of the body from the buffer. Returns the value once the body is complete; it
    /// is empty if the body is discarded.
    fn take(&mut self, buffer: &mut BytesMut, max_value: usize) -> Result<Option<Bytes>, MalformedReply> {
        match self {
            Body::Sized(length) => Ok((buffer.len() >= *length).then(|| buffer.split_to(*length).freeze())),
            Body::Chunked { decoder, content } => {
                let complete = decoder.take(buffer, content).map_err(|_| MalformedReply)?;
                if content.len() > max_value {
                    return Err(MalformedReply);
                }
                Ok(complete.then(|| std::mem::take(content).freeze()))
            }
            Body::Discarded(body) => Ok(body.take(buffer, max_value)?.then(Bytes::new)),
        }
    }
}

impl DiscardedBody {
    /// Discards the received part of the body. Returns whether the body is complete.
    fn take(&mut self, buffer: &mut BytesMut, max_bytes: usize) -> Result<bool, MalformedReply> {
        match self {
            DiscardedBody::Sized(remaining) => {
                let length = buffer.len().min(*remaining);
                buffer.advance(length);
                *remaining -= length;
                Ok(*remaining == 0)
            }
            DiscardedBody::Chunked { decoder, received } => {
                let mut content = BytesMut::new();
                let complete = decoder.take(buffer, &mut content).map_err(|_| MalformedReply)?;
                *received += content.len();
                if *received > max_bytes { Err(MalformedReply) } else { Ok(complete) }
            }
        }
    }
}
