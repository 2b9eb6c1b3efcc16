//! The behaviour of the servers around a node, without I/O or clock. Two drivers share it: the emulators, behind
//! sockets, and the simulation, so that a server is as busy in the one as in the other.

pub mod service;
pub mod value;
pub mod work;
