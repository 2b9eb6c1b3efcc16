//! What backends bring: answers and ends of connections, in no protocol's words.

use bytes::Bytes;
use spardeal::{Load, Note, RequestId, Status};

/// Names a connection; never used twice.
pub type ConnId = u64;
/// Names an attempt: its request and its number.
pub type AttemptKey = (RequestId, u16);

/// What a server sent can't be understood; the connection is of no more use.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct Broken;

/// An answer of a server.
#[derive(Debug, PartialEq)]
pub struct Reply {
    pub status: Status,
    pub note: Note,
    pub load: Load,
    pub value: Option<Bytes>,
    /// Of a miss: the version of the key that the cache was told of last, where it says so; else 0. What is older than
    /// this was edited before the request was asked.
    pub at_least: u64,
    /// Whether the connection can carry another request.
    pub keep: bool,
}

/// What a connection tells the node.
#[derive(Debug)]
pub enum News {
    /// It is up, and nothing has been written to it.
    Up,
    /// The answer to the request that it carried.
    Answer(Reply),
    /// Its server answered with what can't be understood: the request may have run, the server is well.
    Spoilt,
    /// It could not be opened or is lost; whether the last byte of its request may have been written.
    Lost { written: bool },
}
