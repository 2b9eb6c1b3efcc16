//! Connections to cache servers and the origin, with their protocols.

mod cache;
mod conn;
mod decoder;
mod origin;
mod pool;

pub use conn::{
    ConnState, DecodeOptions, MemoryDemand, Protocol, ReadOutcome, STREAM_BUFFER, STREAM_CHUNK_BYTES,
    ServerConn, StreamPiece, StreamTarget,
};
pub use pool::Pool;
