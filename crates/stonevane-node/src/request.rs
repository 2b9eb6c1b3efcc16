//! What every front hands to the node, and what it gets back: the seam between fronts and the node's loop.
//! A front reads its protocol into an [`Asked`] and words the [`Final`] that comes back; it decides nothing.

use bytes::Bytes;
use spardeal::{Key, Micros};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use crate::memory::Share;

/// Names a client's connection; never used twice.
pub type ClientId = u64;

/// Where the node stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// It has no list of servers yet.
    Starting,
    /// It serves.
    Ready,
    /// It ends: connections are closed between requests.
    Draining,
}

/// A command of a client.
#[derive(Debug, Clone, Default)]
pub struct Command {
    pub write: bool,
    pub key: Bytes,
    pub id: Bytes,
    pub facts: String,
    pub value: Option<Bytes>,
    pub class: usize,
    pub tenant: usize,
    pub time_left: Micros,
    pub repeat: bool,
    pub cost: Option<Micros>,
    pub size: f32,
}

impl Command {
    /// The key as the module knows it, the same at every node.
    pub fn hashed_key(&self) -> Key {
        let text = std::str::from_utf8(&self.key).ok();
        let hex = text.filter(|t| t.len() == 16).and_then(|t| u64::from_str_radix(t, 16).ok());
        hex.unwrap_or_else(|| xxh3_64(&self.key)).max(1)
    }
}

/// A command on its way to the node, and where its answer goes.
#[derive(Debug)]
pub struct Asked {
    pub command: Command,
    pub at: Micros,
    pub client: ClientId,
    pub slot: u64,
    pub answers: mpsc::Sender<Answer>,
    /// What the request holds of the memory, its value and that value on its way included.
    pub share: Share,
}

/// The one final answer to a request, in no protocol's words yet.
#[derive(Debug, Clone, PartialEq)]
pub enum Final {
    /// The value or the receipt that a server made for this request.
    Served(Bytes),
    /// Turned away: trying again is harmless, and best after this long (0: no advice).
    Refused { retry_after: Micros },
    /// No promise.
    Failed,
}

impl Final {
    /// What it holds of the memory, in bytes.
    pub fn size(&self) -> usize {
        match self {
            Final::Served(value) => value.len() + 16,
            Final::Refused { .. } | Final::Failed => 16,
        }
    }
}

/// An answer for one of a connection's slots, and what it holds of the memory.
#[derive(Debug)]
pub struct Answer {
    pub slot: u64,
    pub says: Final,
    pub share: Option<Share>,
}
