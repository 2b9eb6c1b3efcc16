//! The management address: accepts operators' calls, one per connection, and passes them to the driver.
//! `stonevane_core::management` parses the calls.

use std::collections::VecDeque;
use std::io::{ErrorKind, Result};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stonevane_core::management::{self, Answer, Call, MAX_HEAD};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::driver::Driver;

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 8;
/// Maximum number of descriptors of the management address: the listener, the connections, and two further
/// connections that are being accepted or closed.
pub const SOCKETS: usize = MAX_CONNECTIONS + 3;
/// A call must be complete within this time after its connection is accepted.
const READ_TIMEOUT: Duration = Duration::from_secs(4);
/// A call must be read, and its answer taken by the caller, within this time.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(8);
/// Input after the answer is read and discarded for this long: closing with unread input would reset the
/// connection, and the reset could destroy the answer.
const HALF_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// An incomplete call of more bytes than this is rejected.
const MAX_CALL_BYTES: usize = 2 * MAX_HEAD;
/// Size of one read.
const READ_BUFFER_BYTES: usize = 1024;
/// Size of one read of discarded input.
const DISCARD_BUFFER_BYTES: usize = 512;

/// How much of its call a connection has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
enum CallStage {
    Empty,
    Partial,
    Complete,
}

/// Stage of a connection's call, shared between the connection's task and the list of open connections.
#[derive(Clone)]
struct SharedStage(Arc<AtomicU8>);

impl SharedStage {
    fn new() -> SharedStage {
        SharedStage(Arc::new(AtomicU8::new(CallStage::Empty as u8)))
    }

    fn set(&self, stage: CallStage) {
        self.0.store(stage as u8, Ordering::Relaxed);
    }

    fn is(&self, stage: CallStage) -> bool {
        self.0.load(Ordering::Relaxed) == stage as u8
    }
}

struct Connection {
    number: u64,
    stage: SharedStage,
    task: AbortHandle,
}

/// Open connections, the oldest first.
#[derive(Clone, Default)]
struct Connections(Arc<Mutex<VecDeque<Connection>>>);

impl Connections {
    fn lock(&self) -> MutexGuard<'_, VecDeque<Connection>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn remove(&self, number: u64) {
        self.lock().retain(|connection| connection.number != number);
    }
}

/// Closes connections until there is capacity for one more: the oldest without input first, then the oldest
/// with an incomplete call, so that idle callers cannot lock out others.
fn evict(connections: &mut VecDeque<Connection>) {
    while connections.len() >= MAX_CONNECTIONS {
        let oldest = |stage| connections.iter().position(|connection| connection.stage.is(stage));
        let evicted = oldest(CallStage::Empty).or_else(|| oldest(CallStage::Partial)).unwrap_or(0);
        connections.remove(evicted).inspect(|connection| connection.task.abort());
    }
}

/// Accepts and serves calls until the process ends.
pub async fn serve(listener: TcpListener, driver: Arc<Driver>) {
    let connections = Connections::default();
    for number in 0.. {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let mut open = connections.lock();
        evict(&mut open);
        let stage = SharedStage::new();
        let (connections, driver, task_stage) = (connections.clone(), driver.clone(), stage.clone());
        let task = tokio::spawn(async move {
            let _ = timeout(CONNECTION_TIMEOUT, serve_call(stream, &driver, &task_stage)).await;
            connections.remove(number);
        });
        open.push_back(Connection { number, stage, task: task.abort_handle() });
    }
}

async fn serve_call(mut stream: TcpStream, driver: &Arc<Driver>, stage: &SharedStage) -> Result<()> {
    let _ = stream.set_nodelay(true);
    let call = match timeout(READ_TIMEOUT, read_call(&mut stream, stage)).await {
        Ok(call) => call?,
        Err(_) => Err(Answer::line(408, "no whole call in time")),
    };
    stage.set(CallStage::Complete);
    let answer = match call {
        Ok(call) => driver.answer(call),
        Err(rejection) => rejection,
    };
    stream.write_all(&answer.bytes()).await?;
    stream.shutdown().await?;
    let _ = timeout(HALF_CLOSE_TIMEOUT, discard_input(&mut stream)).await;
    Ok(())
}

/// Reads a call. The inner error is the answer that rejects a malformed or overlong call.
async fn read_call(stream: &mut TcpStream, stage: &SharedStage) -> Result<std::result::Result<Call, Answer>> {
    let mut bytes = Vec::with_capacity(READ_BUFFER_BYTES);
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        stage.set(CallStage::Partial);
        bytes.extend_from_slice(&buffer[..count]);
        match management::decode(&bytes) {
            Ok(None) if bytes.len() > MAX_CALL_BYTES => {
                return Ok(Err(Answer::line(413, "the call is too long")));
            }
            Ok(None) => {}
            Ok(Some(call)) => return Ok(Ok(call)),
            Err(rejection) => return Ok(Err(rejection)),
        }
    }
}

async fn discard_input(stream: &mut TcpStream) {
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
}
