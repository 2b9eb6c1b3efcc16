//! Codecs of the protocols that stonevane uses, without I/O.
//!
//! Each decoder removes complete messages from the front of a buffer and returns `None` while the first one
//! is incomplete. It limits lengths, counts, nesting depth and line lengths, and so the memory that a peer
//! can make it use.

pub mod http;
pub mod lines;
pub mod resp;
