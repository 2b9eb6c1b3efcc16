//! What servers of a fleet do, without I/O or clock. Two drivers share it: the stand-ins, behind sockets, and the
//! simulation, so that a server is as busy in the one as in the other.

pub mod service;
pub mod value;
pub mod work;
