//! What every backend does for the node: the seam between the node's loop and connections to servers. A
//! backend carries one request after the other on a connection and says what became of each; whether a
//! request is tried again is the decision module's word alone.

pub mod cache;
pub mod origin;
pub mod store;
mod stream;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use spardeal::settings::Deployment;
use tokio::sync::mpsc;

use crate::hub::Input;
use crate::memory::Memory;
use crate::reply::{ConnId, News};
use crate::request::Command;

pub use stream::{Dialect, Streamed};

/// An attempt for a connection to carry.
#[derive(Debug)]
pub struct Job {
    pub command: Command,
    /// How long the node will wait, in milliseconds.
    pub left_ms: u64,
    /// Caches that lacked the key for this request.
    pub missed: Vec<SocketAddr>,
    /// The newest version of the key that one of them was told of: what is older may not be served.
    pub at_least: u64,
}

/// The place of one connection: what it is told by, and whom it tells.
pub struct Seat {
    pub id: ConnId,
    pub address: SocketAddr,
    pub deployment: Arc<Deployment>,
    pub memory: Memory,
    pub jobs: mpsc::Receiver<Job>,
    pub hub: mpsc::Sender<Input>,
}

impl Seat {
    /// Tells the node's loop; `false` once that has ended.
    pub async fn tell(&self, news: News) -> bool {
        self.hub.send(Input::Conn(self.id, news)).await.is_ok()
    }
}

/// The life of a connection; its result is the last thing that it tells.
pub type Life = Pin<Box<dyn Future<Output = News> + Send>>;

/// A kind of server.
pub trait Backend: Send + Sync {
    /// Opens a connection, tells that it is up, and carries jobs one at a time until it is lost. Dropping the
    /// future closes the connection, which gives its attempt up.
    fn connect(&self, seat: Seat) -> Life;
}
