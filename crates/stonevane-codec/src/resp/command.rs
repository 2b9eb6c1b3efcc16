//! Decoder of commands.

use bytes::{Bytes, BytesMut};

use super::scanner::{Bulk, Length, Scanner, Span};
use super::{MAX_ARG_BYTES, MAX_ARRAY_ITEMS, Malformed};

/// Maximum length of the arguments of a command besides the longest one, with the framing of all, in bytes.
const MAX_OTHER_ARGS_BYTES: usize = 4 * 1024;
/// Maximum length of an encoded command, in bytes. A longer one is rejected as soon as it states a length that
/// exceeds this limit.
pub const MAX_COMMAND_BYTES: usize = MAX_ARG_BYTES + MAX_OTHER_ARGS_BYTES;
/// Maximum length, in bytes, of an encoded command whose arguments are copied into one shared allocation.
const SHORT_COMMAND_BYTES: usize = 1024;

/// Removes one complete command, an array of bulk strings, from the front of the buffer. Returns the
/// command's arguments, or `None` while the command is incomplete. A call examines the lines that state
/// lengths, and copies arguments only once the command is complete.
///
/// # Errors
/// [`Malformed`] if the input is not a command or exceeds a limit.
pub fn take_command(buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, Malformed> {
    let mut args = [Span::default(); MAX_ARRAY_ITEMS];
    let mut scanner = Scanner::with_limit(buffer, MAX_COMMAND_BYTES);
    let Some(count) = scan_command(&mut scanner, &mut args)? else { return Ok(None) };
    let end = scanner.position;
    let command = buffer.split_to(end);
    let args = args[..count].iter();
    // Arguments are copied, because a slice would keep the whole buffer allocated. Each argument of a long
    // command gets its own allocation, so that a short one does not keep the memory of a long one.
    Ok(Some(if command.len() <= SHORT_COMMAND_BYTES {
        let copy = Bytes::copy_from_slice(&command);
        args.map(|arg| copy.slice(arg.start..arg.end)).collect()
    } else {
        args.map(|arg| Bytes::copy_from_slice(&command[arg.start..arg.end])).collect()
    }))
}

/// Finds the arguments of a command and returns their number.
pub(super) fn scan_command(
    scanner: &mut Scanner<'_>,
    args: &mut [Span; MAX_ARRAY_ITEMS],
) -> Result<Option<usize>, Malformed> {
    let count = match scanner.length(b'*', MAX_ARRAY_ITEMS)? {
        None => return Ok(None),
        // A peer could flood the decoder with empty commands at little cost.
        Some(Length::Null | Length::Stated(0)) => return Err(Malformed("empty command")),
        Some(Length::Stated(count)) => count,
    };
    for arg in &mut args[..count] {
        match scanner.bulk(MAX_ARG_BYTES)? {
            None => return Ok(None),
            Some(Bulk::Null) => return Err(Malformed("null in a command")),
            Some(Bulk::Content(content)) => *arg = content,
        }
    }
    Ok(Some(count))
}
