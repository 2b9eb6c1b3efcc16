//! The connection to one cache: sends its commands one after the other and reads the line that answers each.

use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use stonevane_core::MemoryReservation;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::Command;
use crate::log::log;

/// Time limit for an answer; after it the connection is closed and the next command opens a new one.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum length of an answer.
const MAX_LINE_BYTES: usize = 256;
/// Size of the read buffer of a connection, which stays open while its cache is listed.
const READ_BUFFER_BYTES: usize = 512;
/// Answer of a cache that has carried out a command.
const DONE_LINE: &[u8] = b"+OK\r\n";
/// First byte of an answer that rejects a command.
const ERROR_PREFIX: &[u8] = b"-";

/// Command for one cache.
pub(super) struct CacheCommand {
    pub bytes: Bytes,
    /// For an invalidation: the key and version that the answer acknowledges.
    pub acknowledged: Option<(String, u64)>,
    /// Memory of a fill, shared by the commands to all caches.
    pub _reservation: Option<Arc<MemoryReservation>>,
}

/// Sends a cache its commands, and reports to the dispatcher each acknowledged invalidation, and the end of
/// the cache's process.
pub(super) async fn run_connection(
    cache: SocketAddr,
    mut commands: mpsc::Receiver<CacheCommand>,
    dispatcher: mpsc::Sender<Command>,
) {
    let mut stream: Option<BufReader<TcpStream>> = None;
    let mut rejection_logged = false;
    while let Some(command) = commands.recv().await {
        let answer = timeout(ANSWER_TIMEOUT, exchange(&mut stream, cache, &command.bytes)).await;
        let answer = answer.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        let report = match (answer, command.acknowledged) {
            (Ok(true), None) => continue,
            (Ok(true), Some((key, version))) => Command::Acknowledged { cache, key, version },
            (Ok(false), _) => {
                if !std::mem::replace(&mut rejection_logged, true) {
                    log(&format!("cache {cache} rejects fills and invalidations (OBJ.FILL, OBJ.VOID)"));
                }
                continue;
            }
            (Err(error), acknowledged) => {
                stream = None;
                if error.kind() != ErrorKind::ConnectionRefused || acknowledged.is_none() {
                    continue;
                }
                Command::CacheEnded(cache)
            }
        };
        if dispatcher.send(report).await.is_err() {
            return;
        }
    }
}

/// Sends a command and reads its answer. Returns whether the command was carried out. An answer that is
/// neither `+OK` nor a rejection, or that is followed by more input, ends the connection: the rest would be
/// read as the answer to the next command and could falsely acknowledge an invalidation.
async fn exchange(
    stream: &mut Option<BufReader<TcpStream>>,
    cache: SocketAddr,
    command: &[u8],
) -> Result<bool> {
    // The connection is taken out of `stream` while in use: if this call times out, the connection is closed,
    // so that a late answer is not read as the answer to the next command.
    let mut open = match stream.take().filter(has_no_input) {
        Some(open) => open,
        None => connect(cache).await?,
    };
    open.write_all(command).await?;
    open.flush().await?;
    let line = read_line(&mut open).await?;
    let done = line == DONE_LINE;
    let rejected = line.starts_with(ERROR_PREFIX);
    if !open.buffer().is_empty() || !(done || rejected) {
        return Err(ErrorKind::InvalidData.into());
    }
    *stream = Some(open);
    Ok(done)
}

/// Returns whether the connection has no unexpected input; the end of the stream counts as input.
fn has_no_input(stream: &BufReader<TcpStream>) -> bool {
    matches!(stream.get_ref().try_read(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
}

async fn connect(cache: SocketAddr) -> Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect(cache).await?;
    stream.set_nodelay(true)?;
    Ok(BufReader::with_capacity(READ_BUFFER_BYTES, stream))
}

async fn read_line(stream: &mut BufReader<TcpStream>) -> Result<Vec<u8>> {
    let mut line = Vec::new();
    loop {
        let buffer = stream.fill_buf().await?;
        if buffer.is_empty() {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let end = buffer.iter().position(|byte| *byte == b'\n');
        let length = end.map_or(buffer.len(), |end| end + 1);
        line.extend_from_slice(&buffer[..length]);
        stream.consume(length);
        if end.is_some() {
            return Ok(line);
        }
        if line.len() > MAX_LINE_BYTES {
            return Err(ErrorKind::InvalidData.into());
        }
    }
}
