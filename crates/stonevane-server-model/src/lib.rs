//! Model of the servers around a node, without I/O or clock. The emulators, behind sockets, and the
//! simulation share it, so that the same work keeps a server equally busy in both.

pub mod service;
pub mod value;
pub mod work;
