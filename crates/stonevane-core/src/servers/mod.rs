//! Connections to cache servers and the origin, with their protocols.

mod cache;
mod conn;
mod origin;
mod pool;

pub use conn::{
    ConnState, DecodeOptions, Protocol, ReadOutcome, STREAM_BUFFER, ServerConn, StreamPiece, StreamTarget,
};
pub use pool::Pool;
