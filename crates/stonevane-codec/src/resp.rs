//! RESP2: decoders of commands and replies, and an encoder of commands.
//!
//! Other RESP decoders recurse without a limit and reserve as much memory as a length states. These decoders
//! limit the nesting depth and never reserve a stated length, so input of a peer can neither overflow the
//! stack nor exhaust memory. The decoders that a node uses limit the length of a whole message too, and the
//! work for each received byte is bounded.

mod command;
mod reply;
mod scanner;
mod server_reply;
#[cfg(test)]
mod tests;

use std::fmt::Write;

use bytes::{BufMut, Bytes, BytesMut};

pub use command::{MAX_COMMAND_BYTES, take_command};
pub use reply::{Reply, take_reply};
pub use server_reply::{
    ServerReply, ServerReplyDecoder, ServerReplyProgress, ValuePosition, served_reply_rest_length,
};

/// Maximum length of a value or other argument of a command, in bytes.
pub const MAX_ARG_BYTES: usize = 64 * 1024;
/// Maximum number of arguments of a command, and of elements of an array in a reply.
const MAX_ARRAY_ITEMS: usize = 16;
/// Maximum length of a simple string, error or integer line in a reply, in bytes.
const MAX_LINE_BYTES: usize = 4096;
/// Space reserved for the framing of one argument, and for the framing of the array that contains the
/// arguments, in bytes.
const ARG_FRAMING_BYTES: usize = 16;

/// Error of invalid input, with its cause. The framing is lost, so the connection is unusable.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct Malformed(pub &'static str);

fn put_length(out: &mut BytesMut, type_byte: char, length: usize) {
    // Writing to a growable buffer does not fail.
    let _ = write!(out, "{type_byte}{length}\r\n");
}

/// Appends an encoded bulk string to `out`.
pub fn put_bulk(out: &mut BytesMut, value: &[u8]) {
    put_length(out, '$', value.len());
    out.put_slice(value);
    out.put_slice(b"\r\n");
}

/// Encodes a command with its arguments, the name first.
pub fn encode_command(args: &[&[u8]]) -> Bytes {
    let size = args.iter().map(|arg| arg.len() + ARG_FRAMING_BYTES).sum::<usize>() + ARG_FRAMING_BYTES;
    let mut out = BytesMut::with_capacity(size);
    put_length(&mut out, '*', args.len());
    for arg in args {
        put_bulk(&mut out, arg);
    }
    out.freeze()
}
