//! One connection of a server: requests are read as they arrive, and replies are written in order when they
//! are due, both subject to the active fault.

use std::collections::VecDeque;
use std::io;
use std::ops::ControlFlow;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use stonevane_audit::TimeInterval;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::Fault;
use crate::record::MonotonicClock;

/// Space reserved for each read, in bytes.
const READ_SIZE: usize = 4096;
/// Pause between the bytes of a reply under [`Fault::Slow`].
const SLOW_BYTE_PAUSE: Duration = Duration::from_millis(1);
/// Bytes that [`Fault::Noise`] sends in place of a reply.
const NOISE: &[u8] = b"\x00\xffwhat is this?\r\n\r\n";
/// Bytes that [`Fault::Tail`] appends to a reply.
const TAIL: &[u8] = b"$5\r\nother\r\n";

/// The node at the other end of a connection, and the fault with which it is served.
pub(super) struct Peer {
    pub(super) stream: TcpStream,
    pub(super) fault: watch::Receiver<Fault>,
    pub(super) clock: MonotonicClock,
}

/// Arrival times of the first and the last byte of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) first_byte: TimeInterval,
    pub(crate) last_byte: TimeInterval,
}

/// A reply and the time at which it is due.
pub(crate) struct Reply {
    /// Time at which the reply is written, in microseconds of the monotonic clock.
    pub(crate) due_us: u64,
    pub(crate) bytes: Bytes,
    /// Number of the attempt that the reply answers; 0 if the reply answers no attempt.
    pub(crate) number: u64,
}

/// The received bytes are not a valid request; the server closes the connection.
#[derive(Debug, thiserror::Error)]
#[error("malformed request")]
pub(crate) struct Malformed;

/// The protocol of a server: parses requests and produces their replies.
pub(crate) trait Protocol: Send + 'static {
    /// Removes a complete request from the buffer and returns its reply; `None` while none is complete.
    fn take_request(&mut self, buffer: &mut BytesMut, arrival: Arrival) -> Result<Option<Reply>, Malformed>;

    /// Called when a reply is about to be written. Returns the bytes of the reply if they were not known
    /// before.
    fn on_reply(&mut self, reply: &Reply) -> Option<Bytes>;

    /// Called in place of [`Protocol::on_reply`] for a reply that a fault keeps from arriving complete.
    fn on_incomplete_reply(&mut self, reply: &Reply) -> Option<Bytes>;

    /// Called for each reply that was not written before the connection ended.
    fn on_abandoned(&mut self, reply: &Reply);

    /// Returns the time after which an idle connection is closed.
    fn idle_timeout(&self) -> Duration;
}

/// The way in which a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Closed,
    Reset,
}

/// Serves one connection until it ends, and reports the replies that are still pending then.
pub(super) async fn serve(peer: Peer, protocol: impl Protocol) {
    let mut connection = Connection {
        peer,
        protocol,
        input: BytesMut::new(),
        pending: VecDeque::new(),
        first_byte: None,
        unread_since: None,
        idle_since: MonotonicClock::now(),
    };
    let ending = connection.run().await;
    let Connection { peer, mut protocol, pending, .. } = connection;
    if ending == Ending::Reset {
        reset(&peer.stream);
    }
    drop(peer);
    for reply in &pending {
        protocol.on_abandoned(reply);
    }
}

/// Sets the socket to send a TCP reset when it is dropped.
pub(super) fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

struct Connection<P> {
    peer: Peer,
    protocol: P,
    input: BytesMut,
    /// Replies that are not yet written, in the order of their requests.
    pending: VecDeque<Reply>,
    /// Arrival time of the first byte in `input`.
    first_byte: Option<TimeInterval>,
    /// Time at which the first write since the last read began. Requests may have arrived unread from then
    /// on.
    unread_since: Option<u64>,
    idle_since: u64,
}

impl<P: Protocol> Connection<P> {
    async fn run(&mut self) -> Ending {
        loop {
            let fault = *self.peer.fault.borrow_and_update();
            match fault {
                Fault::Dead | Fault::Refuse => return Ending::Reset,
                Fault::Silent => {
                    let _ = self.peer.fault.changed().await;
                    return Ending::Reset;
                }
                _ => {}
            }
            let step = match self.pending.pop_front_if(|reply| reply.due_us <= MonotonicClock::now()) {
                Some(reply) => self.send(reply, fault).await,
                None => self.wait(fault).await,
            };
            if let ControlFlow::Break(ending) = step {
                return ending;
            }
        }
    }

    async fn send(&mut self, mut reply: Reply, fault: Fault) -> ControlFlow<Ending> {
        let bytes = match fault.delivers_answers() {
            true => self.protocol.on_reply(&reply),
            false => self.protocol.on_incomplete_reply(&reply),
        };
        reply.bytes = bytes.unwrap_or(reply.bytes);
        let before = MonotonicClock::now();
        if write(&mut self.peer, &reply.bytes, fault).await.is_err() {
            return ControlFlow::Break(Ending::Closed);
        }
        self.unread_since = Some(self.unread_since.unwrap_or(before).min(before));
        self.idle_since = MonotonicClock::now();
        ControlFlow::Continue(())
    }

    /// Waits until a request arrives, a reply is due, the fault changes, or the idle timeout expires.
    async fn wait(&mut self, fault: Fault) -> ControlFlow<Ending> {
        let idle_us = self.protocol.idle_timeout().as_micros() as u64;
        let wake_us = self.pending.front().map_or(self.idle_since + idle_us, |reply| reply.due_us);
        let sleep = Duration::from_micros(wake_us.saturating_sub(MonotonicClock::now()));
        self.input.reserve(READ_SIZE);
        tokio::select! {
            biased;
            changed = self.peer.fault.changed() => {
                if changed.is_err() {
                    return ControlFlow::Break(Ending::Closed);
                }
            }
            read = self.peer.stream.read_buf(&mut self.input) => {
                if !matches!(read, Ok(count) if count > 0) {
                    return ControlFlow::Break(Ending::Closed);
                }
                return self.take_requests(fault);
            }
            () = tokio::time::sleep(sleep) => {
                if self.pending.is_empty() && MonotonicClock::now() >= self.idle_since + idle_us {
                    return ControlFlow::Break(Ending::Closed);
                }
            }
        }
        ControlFlow::Continue(())
    }

    fn take_requests(&mut self, fault: Fault) -> ControlFlow<Ending> {
        let mut last_byte = self.peer.clock.arrival();
        last_byte.earliest = last_byte.earliest.min(self.unread_since.take().unwrap_or(u64::MAX));
        let mut first_byte = *self.first_byte.get_or_insert(last_byte);
        loop {
            match self.protocol.take_request(&mut self.input, Arrival { first_byte, last_byte }) {
                Ok(Some(reply)) => {
                    self.pending.push_back(reply);
                    if fault == Fault::Reset {
                        return ControlFlow::Break(Ending::Reset);
                    }
                    first_byte = last_byte;
                }
                Ok(None) => break,
                Err(Malformed) => return ControlFlow::Break(Ending::Closed),
            }
        }
        self.first_byte = (!self.input.is_empty()).then_some(first_byte);
        ControlFlow::Continue(())
    }
}

/// Writes a reply as modified by the active fault; an error ends the connection.
async fn write(peer: &mut Peer, bytes: &[u8], fault: Fault) -> io::Result<()> {
    let half = &bytes[..bytes.len() / 2];
    match fault {
        Fault::Stall => {
            peer.stream.write_all(half).await?;
            let _ = peer.fault.changed().await;
            Err(io::ErrorKind::TimedOut.into())
        }
        Fault::Truncate => {
            peer.stream.write_all(half).await?;
            Err(io::ErrorKind::UnexpectedEof.into())
        }
        Fault::Slow => {
            for byte in bytes.chunks(1) {
                peer.stream.write_all(byte).await?;
                tokio::time::sleep(SLOW_BYTE_PAUSE).await;
            }
            Ok(())
        }
        Fault::Noise => peer.stream.write_all(NOISE).await,
        Fault::Tail => {
            peer.stream.write_all(bytes).await?;
            peer.stream.write_all(TAIL).await
        }
        _ => peer.stream.write_all(bytes).await,
    }
}
