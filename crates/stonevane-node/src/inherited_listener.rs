//! Where clients connect: an address that is bound, or a listening socket that the platform holds and passes on.

use std::io::{Error, ErrorKind};
use std::net::TcpListener;
use std::os::fd::OwnedFd;

use filedescriptor::FileDescriptor;
use rustix::net::SocketType;
use rustix::net::sockopt::{socket_acceptconn, socket_type};

/// Takes over the socket of a number.
///
/// # Errors
/// Where it is no listening TCP socket.
pub fn inherit(number: &str) -> std::io::Result<TcpListener> {
    let wrong = |what: &str| Error::new(ErrorKind::InvalidInput, format!("{number:?} {what}"));
    let number: i32 = number.parse().ok().filter(|n| *n > 2).ok_or_else(|| wrong("is no descriptor"))?;
    // A copy: the number itself stays with whoever passed it on.
    let copy = FileDescriptor::dup(&number).and_then(|copy| copy.as_file());
    let socket = OwnedFd::from(copy.map_err(|_| wrong("is no open descriptor"))?);
    if socket_type(&socket).ok() != Some(SocketType::STREAM) || socket_acceptconn(&socket).ok() != Some(true)
    {
        return Err(wrong("is no listening TCP socket"));
    }
    let listener = TcpListener::from(socket);
    listener.local_addr().map_err(|_| wrong("is no listening TCP socket"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
