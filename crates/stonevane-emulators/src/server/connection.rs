//! One connection of a server: requests are read as they arrive, replies written in order when they are due, both as
//! the fault in force allows.

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

/// Space for each read, in bytes.
const READ_SIZE: usize = 4096;
/// The pause between the bytes of an answer under [`Fault::Slow`].
const SLOW_BYTE: Duration = Duration::from_millis(1);
/// What [`Fault::Noise`] sends in place of an answer.
const NOISE: &[u8] = b"\x00\xffwhat is this?\r\n\r\n";
/// What [`Fault::Tail`] sends behind an answer.
const TAIL: &[u8] = b"$5\r\nother\r\n";

/// The node at the other end of a connection.
pub(super) struct Peer {
    pub(super) stream: TcpStream,
    pub(super) fault: watch::Receiver<Fault>,
    pub(super) clock: MonotonicClock,
}

/// When the first and the last byte of a request arrived.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) first_byte: TimeInterval,
    pub(crate) last_byte: TimeInterval,
}

/// A reply and the moment at which it is due.
pub(crate) struct Reply {
    /// In microseconds of the monotonic clock.
    pub(crate) due_us: u64,
    pub(crate) bytes: Bytes,
    /// The attempt that it answers; 0 for none.
    pub(crate) number: u64,
}

/// The bytes are no request: the connection is closed.
#[derive(Debug, thiserror::Error)]
#[error("malformed request")]
pub(crate) struct Malformed;

/// What a server makes of the bytes of a connection.
pub(crate) trait Protocol: Send + 'static {
    /// Takes one complete request off the front and returns its reply; `None` while no request is complete.
    fn take_request(&mut self, buffer: &mut BytesMut, arrival: Arrival) -> Result<Option<Reply>, Malformed>;

    /// A reply is being written; returns its bytes, where they were not known before.
    fn on_reply(&mut self, reply: &Reply) -> Option<Bytes>;

    /// The same for a reply that a fault keeps from arriving complete.
    fn on_spoilt_reply(&mut self, reply: &Reply) -> Option<Bytes>;

    /// The connection ended before this reply was written.
    fn on_abandoned(&mut self, reply: &Reply);

    /// How long a connection may stand idle.
    fn idle_timeout(&self) -> Duration;
}

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Closed,
    Reset,
}

/// Serves one connection until it ends, and reports the replies that it still owed then.
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

/// Makes a connection end with a reset when it is dropped.
pub(super) fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

struct Connection<P> {
    peer: Peer,
    protocol: P,
    input: BytesMut,
    /// Replies that are not written yet, in the order of their requests.
    pending: VecDeque<Reply>,
    /// When the first byte of what stands in `input` arrived.
    first_byte: Option<TimeInterval>,
    /// Since when nothing was read, where a write held this task up.
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
            false => self.protocol.on_spoilt_reply(&reply),
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

    /// Waits for a request, a due reply, another fault, or the end of the idle timeout.
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

/// Writes an answer as a fault lets it through; an error ends the connection.
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
                tokio::time::sleep(SLOW_BYTE).await;
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
