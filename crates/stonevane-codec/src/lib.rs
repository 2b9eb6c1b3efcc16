//! Codecs of the protocols that stonevane speaks, without I/O.
//!
//! Each decoder takes complete messages off the front of a buffer, returns `None` while one is incomplete, and bounds
//! what a peer can make it buffer: lengths, counts, depth and lines.

pub mod http;
pub mod lines;
pub mod resp;
