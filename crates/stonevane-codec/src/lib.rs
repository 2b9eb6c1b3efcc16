//! Codecs of the protocols that stonevane uses, without I/O.
//!
//! Each decoder removes complete messages from the front of a buffer and returns `None` while the first
//! message is incomplete. Limits on lengths, counts, nesting depth and line lengths bound the memory that a
//! peer can make a decoder use.

pub mod http;
pub mod lines;
pub mod resp;
