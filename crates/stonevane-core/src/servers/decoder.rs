//! Incremental decoding of one server's reply, by the protocol of the connection.

use bytes::BytesMut;

use super::conn::{DecodeOptions, Protocol};
use super::{cache, origin};
use crate::reply::{MalformedReply, Reply};

/// A value that is too long to be buffered, and is streamed instead.
#[derive(Debug, Clone, Copy)]
pub(super) struct LongValue {
    /// Stated length of the value, in bytes.
    pub length: usize,
    /// Whether the connection can carry another request after the reply.
    pub reusable: bool,
}

/// State of a reply after the received bytes were decoded.
pub(super) enum ReplyProgress {
    /// The reply is incomplete.
    Incomplete,
    /// The reply has a long value, of which the buffer now holds the first received bytes.
    LongValue(LongValue),
    /// The reply is complete and removed from the buffer.
    Complete(Reply),
}

/// Decoder of one reply. It examines each received byte a bounded number of times.
pub(super) enum ReplyDecoder {
    Cache(cache::ReplyDecoder),
    Origin(Box<origin::ReplyDecoder>),
}

impl ReplyDecoder {
    /// Creates the decoder of the next reply on a connection.
    pub fn new(protocol: Protocol) -> ReplyDecoder {
        match protocol {
            Protocol::Origin => ReplyDecoder::Origin(Box::default()),
            Protocol::Cache | Protocol::Store => ReplyDecoder::Cache(cache::ReplyDecoder::default()),
        }
    }

    /// Decodes received bytes.
    pub fn decode(
        &mut self,
        buffer: &mut BytesMut,
        options: &DecodeOptions<'_>,
    ) -> Result<ReplyProgress, MalformedReply> {
        match self {
            ReplyDecoder::Cache(decoder) => decoder.decode(buffer, options.load_names),
            ReplyDecoder::Origin(decoder) => decoder.decode(buffer, options),
        }
    }

    /// Number of decoded bytes of the value, which are no longer in the buffer.
    pub fn decoded_bytes(&self) -> usize {
        match self {
            ReplyDecoder::Cache(_) => 0,
            ReplyDecoder::Origin(decoder) => decoder.decoded_bytes(),
        }
    }

    /// Whether the reply states no length of its value, which is buffered up to the maximum length.
    pub fn has_unknown_length(&self) -> bool {
        match self {
            ReplyDecoder::Cache(_) => false,
            ReplyDecoder::Origin(decoder) => decoder.has_chunked_value(),
        }
    }
}
