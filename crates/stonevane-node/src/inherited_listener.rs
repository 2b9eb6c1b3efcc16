//! The listening socket that the platform holds and passes to each process of the node as a descriptor.

use std::io;
use std::net::TcpListener;
use std::os::fd::{OwnedFd, RawFd};

use filedescriptor::FileDescriptor;
use rustix::net::SocketType;
use rustix::net::sockopt::{socket_acceptconn, socket_type};

/// Standard input, output and error are never the clients' socket.
const LAST_STANDARD_DESCRIPTOR: RawFd = 2;

/// Reason why a descriptor cannot serve as the clients' socket.
#[derive(Debug, thiserror::Error)]
pub enum InheritError {
    /// The text is not a descriptor number above that of standard error.
    #[error("{0:?} is not a descriptor number; expected a number above 2")]
    NotADescriptor(String),
    /// No descriptor with this number is open.
    #[error("descriptor {0:?} is not open")]
    NotOpen(String),
    /// The descriptor is not a listening TCP socket.
    #[error("descriptor {0:?} is not a listening TCP socket")]
    NotListening(String),
    /// The socket cannot be switched to non-blocking mode.
    #[error("cannot make the listening socket non-blocking: {0}")]
    Io(#[from] io::Error),
}

/// Returns a listener on the listening socket of a descriptor number.
///
/// # Errors
/// The descriptor is not a listening TCP socket.
pub fn inherit(number: &str) -> Result<TcpListener, InheritError> {
    let descriptor = number.parse::<RawFd>().ok().filter(|number| *number > LAST_STANDARD_DESCRIPTOR);
    let descriptor = descriptor.ok_or_else(|| InheritError::NotADescriptor(number.into()))?;
    // Duplicated, so that the descriptor that was passed on stays open.
    let copy = FileDescriptor::dup(&descriptor).and_then(|copy| copy.as_file());
    let socket = OwnedFd::from(copy.map_err(|_| InheritError::NotOpen(number.into()))?);
    if !is_listening_tcp_socket(&socket) {
        return Err(InheritError::NotListening(number.into()));
    }
    let listener = TcpListener::from(socket);
    listener.local_addr().map_err(|_| InheritError::NotListening(number.into()))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn is_listening_tcp_socket(socket: &OwnedFd) -> bool {
    socket_type(socket).ok() == Some(SocketType::STREAM) && socket_acceptconn(socket).ok() == Some(true)
}
