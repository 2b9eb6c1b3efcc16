//! What reaches the node's loop, from fronts, backends, discovery and signals.

use spardeal::Micros;

use crate::config::Config;
use crate::list::{Era, Listing};
use crate::reply::{ConnId, News};
use crate::request::{Asked, ClientId};

/// What reaches the loop.
#[derive(Debug)]
pub enum Input {
    /// A client asks.
    Asked(Box<Asked>),
    /// A client has closed its connection.
    ClientGone(ClientId),
    /// News of a connection to a server.
    Conn(ConnId, News),
    /// Discovery has sent a list or a change.
    List(Era, Listing),
    /// A call to discovery failed, or the watch broke.
    ListFailed(Era),
    /// The store in the origin's place has stopped: no call to it is any use for so long; 0: it answers again.
    OriginShut(Micros),
    /// The table of sockets is full, and a client wants a place.
    Crowded,
    /// The configuration was read anew.
    Reload(Box<Config>),
    /// The platform asks the node to end.
    Terminate,
}
