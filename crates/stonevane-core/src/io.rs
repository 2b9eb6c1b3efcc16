//! Inputs and outputs of the core.

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

/// An event that the core handles.
#[derive(Debug)]
pub enum Input<'a> {
    /// A client has connected; the connection's id is of [`crate::Core::next_connection_id`].
    Accepted(ConnId),
    /// A connection is open, as [`Output::Open`] wanted it.
    Opened(ConnId),
    /// Bytes arrived on a connection, at most [`crate::Core::read_budget`] of them.
    Bytes(ConnId, &'a [u8]),
    /// All of the last [`Output::Write`] or [`Output::WriteRequest`] has been handed to the operating system.
    Flushed(ConnId),
    /// The last answer and the end of the stream are written; [`Input::Closed`] follows.
    WriteClosed(ConnId),
    /// A connection was closed by the peer, broke, or could not be opened.
    Closed(ConnId),
    /// An [`Output::CallStore`] has its reply.
    CallReplied(ConnId, Reply),
    /// Discovery has sent a full list or a delta.
    List(DiscoveryEpoch, EndpointList),
    /// A call to discovery failed, or the watch broke, without a known silence before it.
    ListFailed(DiscoveryEpoch),
    /// A call to discovery failed, or the watch broke, after a silence.
    ListTimedOut {
        /// The discovery service that was called.
        epoch: DiscoveryEpoch,
        /// How long the silence had lasted.
        silent_for: Micros,
        /// Whether the call was given up for that silence, and had brought a line before.
        was_established: bool,
    },
    /// The store of record has failed: no call to it is of use for so long; 0: it answers again.
    OriginUnavailable(Micros),
    /// Discovery has another address from now on.
    DiscoveryMoved(SocketAddr),
    /// The settings have changed.
    Settings(Box<Deployment>),
    /// A settings file could not be applied.
    ReloadFailed,
    /// An operator excludes the cache server of a name (`true`), or puts it back.
    Exclude(String, bool),
    /// So many nodes share the deployment's limits, as gossip has it. The settings' number counts where it is larger.
    NodeCount(u32),
    /// This process's part of the node's capacity, which it shares with other processes of the same node.
    Handover(CapacityGrant),
    /// The platform has sent SIGTERM.
    Terminate,
    /// A timer is due.
    Wake,
}

impl Input<'_> {
    /// A call to discovery has ended, after a silence since it began, its connection was open, or its last bytes came.
    pub fn call_ended(end: CallEnd, epoch: DiscoveryEpoch, silent_for: Micros) -> Self {
        let was_established = matches!(end, CallEnd::TimedOut { was_established: true });
        Input::ListTimedOut { epoch, silent_for, was_established }
    }
}

/// An attempt at the store of record.
#[derive(Debug)]
pub struct StoreCall {
    /// The client's command.
    pub command: Command,
    /// How long the node waits for the reply, in milliseconds.
    pub time_left_ms: u64,
    /// Caches that lacked the key for this request.
    pub missed_caches: Vec<SocketAddr>,
    /// The newest version of the key that one of them has been notified of: an older one may not be served.
    pub min_version: u64,
}

/// A request to discovery. Whatever it brings names its epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryRequest {
    /// Begin the watch, in place of an earlier one; its end is an input.
    Watch {
        /// The version of the current list, if there is one.
        after: Option<u64>,
    },
    /// End the watch.
    StopWatch,
    /// Fetch the full list once.
    FetchList,
    /// Keep a watch on an agent of this machine, and reopen it when it ends.
    WatchAgent,
    /// Cancel all calls: discovery has another address.
    CancelAll,
}

/// A call to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiscoveryCall {
    /// The request.
    pub request: DiscoveryRequest,
    /// Address of the discovery service.
    pub address: SocketAddr,
    /// Distinguishes the discovery service in force from earlier ones.
    pub epoch: DiscoveryEpoch,
    /// Its timeouts.
    pub timeouts: DiscoveryTimeouts,
}

/// A line for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogLine {
    /// For information.
    Info(String),
    /// An internal error of the policy.
    Error(String),
}

/// An instruction to the driver; they are carried out in their order.
#[derive(Debug)]
pub enum Output {
    /// Write to a client. There is one write at a time; [`Input::Flushed`] follows.
    Write(ConnId, Bytes),
    /// Write the last answer to a client, and the end of the stream right behind it; [`Input::WriteClosed`] follows. If
    /// input has arrived on the connection, it goes in, and this is an [`Output::Write`].
    WriteAndClose(ConnId, Bytes),
    /// Write a request to a server connection, which may have been closed unseen. If input or a close has arrived on
    /// it, that goes in and nothing is written. [`Input::Flushed`] follows.
    WriteRequest {
        /// The connection.
        id: ConnId,
        /// The request.
        bytes: Bytes,
        /// Check the socket itself before: the request is not idempotent.
        check_socket: bool,
    },
    /// Open a connection.
    Open(ConnId, SocketAddr),
    /// Call the store of record; [`Input::CallReplied`] follows.
    CallStore(ConnId, Box<StoreCall>),
    /// Close a connection or cancel a call; no input follows.
    Close(ConnId),
    /// Close a client connection unless input has arrived, which goes in. [`Input::Closed`] follows.
    CloseIfIdle(ConnId),
    /// Write no more, and read on for a moment, so that no reset overtakes the last answer. [`Input::Closed`] follows.
    CloseWrite(ConnId),
    /// Read a connection again.
    Resume(ConnId),
    /// Call discovery.
    Discovery(DiscoveryCall),
    /// The caches to notify of writes have changed.
    CachesChanged(Vec<SocketAddr>),
    /// Stop listening; accept only what the operating system has accepted.
    Draining,
    /// Stop accepting: the listener is a newer process's from now on.
    Replaced,
    /// A line for the log.
    Log(LogLine),
    /// The drain is complete: end the process.
    Done,
}

/// A queue of outputs.
pub type Outputs = VecDeque<Output>;
