//! One HTTP call to discovery: the request, the response's head, and the endpoint lists in its body.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use stonevane_codec::http::{ChunkedDecoder, HeadDecoder, ResponseHead};
use stonevane_codec::lines::ObjectReader;
use stonevane_core::discovery_timeouts::{Awaited, DiscoveryTimeouts};
use stonevane_core::{DiscoveryEpoch, Input, MemoryAccount, MemoryReservation};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout};

use super::error::CallError;
use super::{InputSink, Traffic};

/// A longer endpoint list is treated as malformed.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// Length up to which an endpoint list needs no memory reservation, in bytes.
const UNRESERVED_LIST_BYTES: usize = 256 * 1024;
/// Bytes reserved for each received byte of a list: the list and its decoded form.
const RESERVED_PER_LIST_BYTE: usize = 2;
/// Step in which the reservation for a list grows, in bytes of the list.
const LIST_RESERVATION_STEP_BYTES: usize = 64 * 1024;
/// Free capacity of the buffer that is reserved for each read.
const READ_RESERVE_BYTES: usize = 4096;
const STATUS_OK: u16 = 200;

/// Context of a call besides its address and path.
#[derive(Clone)]
pub(super) struct CallContext {
    pub sink: InputSink,
    pub epoch: DiscoveryEpoch,
    pub timeouts: DiscoveryTimeouts,
    pub traffic: Arc<Traffic>,
    /// The node's memory budget, in which long lists are counted. `None`: they are not counted.
    pub memory: Option<MemoryAccount>,
}

impl CallContext {
    fn timeout(&self, awaited: Awaited) -> Duration {
        Duration::from_micros(self.timeouts.limit(awaited))
    }

    /// Passes an endpoint list to the core. An empty line is a heartbeat without a list.
    fn deliver(&self, line: &[u8]) -> Result<(), CallError> {
        if !line.trim_ascii().is_empty() {
            let list = serde_json::from_slice(line).map_err(|_| CallError::Malformed)?;
            (self.sink)(Input::List(self.epoch, list));
        }
        Ok(())
    }
}

/// Deadline for the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeadDeadline {
    /// The call fails if nothing arrives within the context's answer timeout, which each read restarts.
    Timeout,
    /// No deadline: the wait ends with the connection.
    None,
}

/// Makes a call and passes each list of its response to the core, until the response ends.
pub(super) async fn receive_lists(
    address: SocketAddr,
    path: &str,
    context: &CallContext,
) -> Result<(), CallError> {
    let mut last_received = Instant::now();
    let mut call = PendingCall::send(address, path, context, &mut last_received).await?;
    let head = call.head(context, HeadDeadline::Timeout, &mut last_received).await?;
    call.lists(head, context, &mut last_received).await
}

/// A call whose request was sent, with the part of its response that has arrived. Its functions set
/// `last_received` to the time at which discovery last sent bytes or accepted a connection.
pub(super) struct PendingCall {
    stream: TcpStream,
    received: BytesMut,
    head_decoder: HeadDecoder,
    traffic: Arc<Traffic>,
}

impl PendingCall {
    /// Connects and sends a request.
    pub async fn send(
        address: SocketAddr,
        path: &str,
        context: &CallContext,
        last_received: &mut Instant,
    ) -> Result<PendingCall, CallError> {
        let connect = timeout(context.timeout(Awaited::Connection), TcpStream::connect(address)).await;
        let mut stream = connect.map_err(|_| std::io::Error::from(ErrorKind::TimedOut))??;
        *last_received = Instant::now();
        let _ = stream.set_nodelay(true);
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        Traffic::add(&context.traffic.sent, request.len());
        Ok(PendingCall {
            stream,
            received: BytesMut::new(),
            head_decoder: HeadDecoder::default(),
            traffic: context.traffic.clone(),
        })
    }

    /// Returns the head of the response. If the wait is abandoned, the bytes that have arrived stay in the
    /// buffer.
    pub async fn head(
        &mut self,
        context: &CallContext,
        deadline: HeadDeadline,
        last_received: &mut Instant,
    ) -> Result<ResponseHead, CallError> {
        loop {
            if let Some(head) = self.head_decoder.decode(&self.received).map_err(|_| CallError::Malformed)? {
                let accepted = head.status == STATUS_OK;
                return if accepted { Ok(head) } else { Err(CallError::Status(head.status)) };
            }
            self.received.reserve(READ_RESERVE_BYTES);
            let read = self.stream.read_buf(&mut self.received);
            let count = match deadline {
                HeadDeadline::Timeout => timeout(context.timeout(Awaited::Answer), read)
                    .await
                    .map_err(|_| CallError::Unanswered)??,
                HeadDeadline::None => read.await?,
            };
            self.count_received(count, last_received)?;
        }
    }

    /// Passes each list of the response to the core, until the response ends.
    pub async fn lists(
        mut self,
        head: ResponseHead,
        context: &CallContext,
        last_received: &mut Instant,
    ) -> Result<(), CallError> {
        *last_received = Instant::now();
        let mut body = Body::new(&head, context.memory.clone());
        let mut objects = ObjectReader::default();
        let mut established = false;
        let _ = self.received.split_to(head.length);
        loop {
            let ended = body.take(&mut self.received)?;
            // A body with a stated length is a single list, on any number of lines; otherwise lists follow
            // one another.
            while !body.is_single_list
                && let Some(list) = objects.take(&mut body.bytes)
            {
                established = true;
                context.deliver(&list)?;
            }
            if ended {
                return context.deliver(&body.bytes);
            }
            if body.bytes.len() > MAX_LIST_BYTES {
                return Err(CallError::Malformed);
            }
            body.update_reservation()?;
            // Discovery may send without a pause, and other connections have their turn meanwhile.
            yield_now().await;
            self.received.reserve(READ_RESERVE_BYTES);
            let read = self.stream.read_buf(&mut self.received);
            let read = timeout(context.timeout(Awaited::Line), read).await;
            let count = read.map_err(|_| CallError::Silent { established })??;
            self.count_received(count, last_received)?;
        }
    }

    /// Counts the bytes of a read. The end of the stream is an error: the response was cut off.
    fn count_received(&self, count: usize, last_received: &mut Instant) -> Result<(), CallError> {
        Traffic::add(&self.traffic.received, count);
        if count == 0 {
            return Err(CallError::Malformed);
        }
        *last_received = Instant::now();
        Ok(())
    }
}

/// Returns the memory to reserve, in bytes, before more is received of a list of which `received` bytes have
/// arrived.
fn reserved_bytes(received: usize) -> usize {
    let unreserved = UNRESERVED_LIST_BYTES - LIST_RESERVATION_STEP_BYTES;
    let excess = received.saturating_sub(unreserved);
    excess.next_multiple_of(LIST_RESERVATION_STEP_BYTES) * RESERVED_PER_LIST_BYTE
}

/// Body of a response, without its transfer encoding.
struct Body {
    bytes: BytesMut,
    is_single_list: bool,
    is_chunked: bool,
    chunks: ChunkedDecoder,
    /// Remaining bytes of a body that is not chunked.
    remaining: usize,
    /// The node's memory budget, and the part of it that the received bytes have.
    memory: Option<MemoryAccount>,
    reservation: Option<MemoryReservation>,
}

impl Body {
    fn new(head: &ResponseHead, memory: Option<MemoryAccount>) -> Body {
        Body {
            bytes: BytesMut::new(),
            is_single_list: head.content_length.is_some(),
            is_chunked: head.chunked,
            chunks: ChunkedDecoder::default(),
            remaining: head.content_length.unwrap_or(usize::MAX),
            memory,
            reservation: None,
        }
    }

    /// Reserves the memory for more of a long list, or releases that of the last one: a watch lasts longer than
    /// its lists.
    fn update_reservation(&mut self) -> Result<(), CallError> {
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
            self.reservation = None;
        }
        let bytes = reserved_bytes(self.bytes.len());
        let Some(memory) = self.memory.as_ref().filter(|_| bytes > 0) else { return Ok(()) };
        let reservation = self.reservation.get_or_insert_with(|| memory.empty_reservation());
        if memory.try_extend(reservation, bytes) { Ok(()) } else { Err(CallError::OutOfMemory) }
    }

    /// Moves received bytes into the body. Returns whether the body has ended.
    fn take(&mut self, received: &mut BytesMut) -> Result<bool, CallError> {
        if self.is_chunked {
            return self.chunks.take(received, &mut self.bytes).map_err(|_| CallError::Malformed);
        }
        let part = received.split_to(received.len().min(self.remaining));
        self.remaining -= part.len();
        self.bytes.extend_from_slice(&part);
        Ok(self.remaining == 0)
    }
}

#[cfg(test)]
mod tests;
