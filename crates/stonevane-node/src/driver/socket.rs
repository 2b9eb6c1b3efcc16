//! Non-blocking reads and writes of a TCP socket.

use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::pin::pin;
use std::task::{Context, Waker};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::retry_on_intr;
use rustix::net::{RecvFlags, Shutdown};
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Interest in the end of the peer's stream, reported even while bytes are still unread. The runtime reports
/// it together with the readiness for urgent data, which no peer of a node sends.
pub(super) const PEER_CLOSED: Interest = Interest::PRIORITY;

/// Returns whether the runtime knows that the peer has ended its stream.
pub(super) fn peer_has_closed(stream: &TcpStream) -> bool {
    let mut context = Context::from_waker(Waker::noop());
    pin!(stream.ready(PEER_CLOSED)).poll(&mut context).is_ready()
}

/// Reads available bytes; `WouldBlock` without a system call if the runtime reports no readiness. A short
/// read has emptied the socket, so it clears the runtime's readiness, as the runtime's own reads do.
pub(super) fn read_if_ready(stream: &TcpStream, buffer: &mut [u8]) -> Result<usize> {
    let mut short_read = 0;
    let result = stream.try_io(Interest::READABLE, || {
        let (count, _) = retry_on_intr(|| rustix::net::recv(stream, &mut *buffer, RecvFlags::empty()))?;
        if count > 0 && count < buffer.len() {
            short_read = count;
            return Err(ErrorKind::WouldBlock.into());
        }
        Ok(count)
    });
    if short_read > 0 { Ok(short_read) } else { result }
}

/// Reads available bytes by a system call, regardless of the readiness that the runtime reports.
pub(super) fn read_from_socket(stream: &TcpStream, buffer: &mut [u8]) -> Result<usize> {
    let received = retry_on_intr(|| rustix::net::recv(stream, &mut *buffer, RecvFlags::DONTWAIT));
    received.map(|(count, _)| count).map_err(Error::from)
}

/// Writes as many bytes as the kernel takes at once, and retries when a signal interrupts the call.
pub(super) fn try_write(stream: &TcpStream, bytes: &[u8]) -> Result<usize> {
    loop {
        match stream.try_write(bytes) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            written => return written,
        }
    }
}

/// Number of unsent bytes from which on the kernel does not report a socket as writable.
const NOTHING_UNSENT: u32 = 1;
/// The system's default for that number.
const SYSTEM_DEFAULT: u32 = 0;

/// Returns whether the kernel has sent everything that was written. Unsent bytes, those that a slow peer has no
/// space for, are lost if the connection is reset; a close resets it if the peer sends anything afterwards.
/// `true` on a system that cannot tell.
pub(super) fn is_everything_sent(stream: &TcpStream) -> bool {
    let socket = SockRef::from(stream);
    if socket.set_tcp_notsent_lowat(NOTHING_UNSENT).is_err() {
        return true;
    }
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    let ready = retry_on_intr(|| poll(&mut [PollFd::new(stream, PollFlags::OUT)], Some(&at_once)));
    let _ = socket.set_tcp_notsent_lowat(SYSTEM_DEFAULT);
    // A broken connection is ready too.
    ready.map_or(true, |ready| ready > 0)
}

/// Ends this side of the stream.
pub(super) fn shutdown_write(stream: &TcpStream) {
    let _ = rustix::net::shutdown(stream, Shutdown::Write);
}

/// Returns whether a read found nothing, or the kernel took no bytes of a write.
pub(super) fn would_block<T>(result: &Result<T>) -> bool {
    matches!(result, Err(error) if error.kind() == ErrorKind::WouldBlock)
}
