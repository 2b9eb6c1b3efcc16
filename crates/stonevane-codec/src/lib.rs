//! Codecs of the protocols that stonevane speaks, with no knowledge of a node and no I/O.
//!
//! Each decoder takes whole messages off the front of a buffer, says `None` while one is not all there, and
//! bounds what a peer can make it hold: lengths, counts, depth and lines.

pub mod http;
pub mod lines;
pub mod resp;
