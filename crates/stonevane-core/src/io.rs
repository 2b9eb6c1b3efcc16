//! What goes into the core and what comes out of it.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use stonevane_policy::Micros;
use stonevane_policy::settings::Deployment;

use crate::discovery_timeouts::{CallEnd, DiscoveryTimeouts};
use crate::handover::CapacityGrant;
use crate::list::{DiscoveryEpoch, EndpointList};
use crate::reply::{ConnId, Reply};
use crate::request::Command;

/// Something that has happened.
#[derive(Debug)]
pub enum Input<'a> {
    /// A client has connected; the connection has an id of [`crate::Core::next_id`].
    Accepted(ConnId),
    /// A connection that was to be opened is up.
    Opened(ConnId),
    /// Bytes came on a connection, no more than [`crate::Core::reads`] had said.
    Bytes(ConnId, &'a [u8]),
    /// All of the last [`Output::Write`] has been handed to the machine.
    Flushed(ConnId),
    /// The last answer is written and the end is behind it; [`Input::Ended`] follows.
    WriteClosed(ConnId),
    /// A connection has ended, at either side, or could not be opened: it exists no more.
    Closed(ConnId),
    /// A call that is no stream has its answer.
    CallReplied(ConnId, Reply),
    /// Discovery has sent a list or a change.
    List(DiscoveryEpoch, EndpointList),
    /// A call to discovery failed, or the watch broke; nothing is known of a silence before it.
    ListFailed(DiscoveryEpoch),
    /// A call to discovery failed or the watch broke, behind a silence that had lasted for so long; whether it was given
    /// up for that silence and had brought a line before.
    ListTimedOut(DiscoveryEpoch, Micros, bool),
    /// The store in the origin's place has stopped: no call to it is any use for so long; 0: it answers again.
    OriginUnavailable(Micros),
    /// Discovery is elsewhere from now on.
    DiscoveryMoved(SocketAddr),
    /// Other settings hold from now on.
    Settings(Box<Deployment>),
    /// A file that was to bring other settings can't be used.
    ReloadFailed,
    /// A person takes the cache server of a name out, or puts it back.
    Exclude(String, bool),
    /// So many nodes surely share the fleet's limits, whatever the settings say of their number. More make this one
    /// more careful; fewer than the settings have make it no bolder.
    NodeCount(u32),
    /// What this process of the node may take, while another stands beside it or has ended.
    Handover(CapacityGrant),
    /// The platform asks the node to end.
    Terminate,
    /// Nothing has happened but time.
    Wake,
}

impl Input<'_> {
    /// A call to discovery has ended, where nothing had come for a time: since it began, its connection was up, or its
    /// last bytes.
    pub fn call_ended(end: CallEnd, era: DiscoveryEpoch, quiet: Micros) -> Self {
        let stood = matches!(end, CallEnd::TimedOut { was_established: true });
        Input::ListTimedOut(era, quiet, stood)
    }
}

/// An attempt for a call that is no stream.
#[derive(Debug)]
pub struct StoreCall {
    /// The client's command.
    pub command: Command,
    /// How long the node will wait, in milliseconds.
    pub time_left_ms: u64,
    /// Caches that lacked the key for this request.
    pub missed_caches: Vec<SocketAddr>,
    /// The newest version of the key that one of them was told of: what is older may not be served.
    pub min_version: u64,
}

/// A call to discovery. Whatever it brings names its era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryRequest {
    /// Begin the watch, anew if there is one, after a version; its end is told.
    Watch {
        /// The version held, if any is.
        after: Option<u64>,
    },
    /// End the watch.
    StopWatch,
    /// Ask for the whole list once.
    FetchList,
    /// Keep a watch, opened again by itself: lists are pushed by an agent on this machine.
    WatchAgent,
    /// End all calls: discovery is elsewhere.
    CancelAll,
}

/// A call to discovery, and where and for whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiscoveryCall {
    /// What is asked.
    pub request: DiscoveryRequest,
    /// Where discovery is.
    pub address: SocketAddr,
    /// Names the discovery that is in force.
    pub epoch: DiscoveryEpoch,
    /// How long it is waited for.
    pub timeouts: DiscoveryTimeouts,
}

/// Something for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogLine {
    /// The decision module says so.
    Info(String),
    /// The decision module can't go on.
    Error(String),
}

/// Something that is to be done, in the order given.
#[derive(Debug)]
pub enum Output {
    /// Write to a connection. There is one at a time; its end is told by [`Input::Flushed`].
    Write(ConnId, Bytes),
    /// Write the last answer to a client, with the end right behind it ([`Input::Parted`]); where something has come on
    /// the connection, that goes in and this is an [`Output::Write`].
    WriteAndClose(ConnId, Bytes),
    /// Write the first bytes of a request to a connection that may have ended unseen: what it brought meanwhile, or
    /// its end, goes in first, and then nothing is written. Where it may not be repeated, the socket itself is asked.
    WriteRequest(ConnId, Bytes, bool),
    /// Open a connection.
    Open(ConnId, SocketAddr),
    /// Begin a call that is no stream.
    CallStore(ConnId, Box<StoreCall>),
    /// Close a connection, or give a call up, with no word back.
    Close(ConnId),
    /// Close a client's connection where nothing has come on it; its bytes go in else. [`Input::Ended`] follows.
    CloseIfIdle(ConnId),
    /// Write no more, and read on for a moment, so that the last answer is not taken away by a reset.
    /// [`Input::Ended`] follows.
    CloseWrite(ConnId),
    /// A connection that was not read may be read again.
    Resume(ConnId),
    /// A call to discovery.
    Discovery(DiscoveryCall),
    /// The caches there are, where copies are told.
    CachesChanged(Vec<SocketAddr>),
    /// What is listened on takes no more, but what the machine has taken already.
    Draining,
    /// What is listened on is a newer process's from now on: nothing more is taken here.
    Replaced,
    /// A line for the log.
    Log(LogLine),
    /// All that was taken is answered: the node ends.
    Done,
}

/// What is to be done.
pub type Outputs = VecDeque<Output>;
