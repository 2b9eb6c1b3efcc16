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
    /// A client has connected. The connection's id comes from [`crate::Core::next_connection_id`].
    Accepted(ConnId),
    /// A connection that [`Output::Open`] requested is open.
    Opened(ConnId),
    /// Bytes arrived on a connection, at most [`crate::Core::read_budget`] of them.
    Bytes(ConnId, &'a [u8]),
    /// All of the last [`Output::Write`] or [`Output::WriteRequest`] has been handed to the operating system.
    Flushed(ConnId),
    /// The driver has not performed an [`Output::CloseIfIdle`] or [`Output::CloseWrite`]: the operating system has
    /// not sent everything yet that was written to the client, and a close could lose it. The connection stays
    /// open in both directions.
    Unsent(ConnId),
    /// The last answer and the end of the stream are written; [`Input::Closed`] follows.
    WriteClosed(ConnId),
    /// A connection was closed by the peer, broke, or could not be opened.
    Closed(ConnId),
    /// The reply to an [`Output::CallStore`] has arrived.
    CallReplied(ConnId, Reply),
    /// Discovery has sent a full list or a delta.
    List(DiscoveryEpoch, EndpointList),
    /// A call to discovery failed, or the watch broke. The time without received bytes is unknown.
    ListFailed(DiscoveryEpoch),
    /// A call to discovery failed, or the watch broke, after a known time without received bytes.
    ListTimedOut {
        /// The discovery service that was called.
        epoch: DiscoveryEpoch,
        /// How long nothing had been received.
        silent_for: Micros,
        /// Whether the call timed out after it had received at least one line.
        was_established: bool,
    },
    /// The store of record has failed and is not expected to answer calls for this time. 0: the store answers
    /// again.
    OriginUnavailable(Micros),
    /// The address of discovery has changed.
    DiscoveryMoved(SocketAddr),
    /// The settings have changed.
    Settings(Box<Deployment>),
    /// A settings file could not be applied.
    ReloadFailed,
    /// An operator excludes (`true`) or reinstates (`false`) the cache server of this name.
    Exclude(String, bool),
    /// Number of nodes that share the deployment's limits, from gossip. The number in the settings applies if
    /// it is larger.
    NodeCount(u32),
    /// This process's part of the node's capacity, which all processes of the node share.
    Handover(CapacityGrant),
    /// The platform has sent SIGTERM.
    Terminate,
    /// A timer is due.
    Wake,
}

impl Input<'_> {
    /// Returns the input for a call to discovery that has ended. `silent_for` is the time since the call
    /// began, its connection was open, or its last bytes arrived, whichever was latest.
    pub fn call_ended(end: CallEnd, epoch: DiscoveryEpoch, silent_for: Micros) -> Self {
        let was_established = matches!(end, CallEnd::TimedOut { was_established: true });
        Input::ListTimedOut { epoch, silent_for, was_established }
    }
}

/// An attempt at the store of record.
#[derive(Debug)]
pub struct StoreCall {
    /// The client's command, a read or a write.
    pub command: Command,
    /// Time that the node waits for the reply, in milliseconds.
    pub time_left_ms: u64,
    /// Caches that reported a miss for this request.
    pub missed_caches: Vec<SocketAddr>,
    /// The newest version of the key that one of the caches in `missed_caches` has been notified of. An older
    /// version must not be served.
    pub min_version: u64,
}

/// A request to discovery. Every input that results from the request carries the epoch of its
/// [`DiscoveryCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryRequest {
    /// Begin the watch, and end an earlier one. When the new watch ends, an input reports it.
    Watch {
        /// Version of the current list, after which changes are reported; `None` without a list.
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
    /// The kind of request.
    pub request: DiscoveryRequest,
    /// Address of the discovery service.
    pub address: SocketAddr,
    /// Epoch of the called discovery service. Results of earlier epochs are ignored.
    pub epoch: DiscoveryEpoch,
    /// Timeouts of the call.
    pub timeouts: DiscoveryTimeouts,
}

/// A line for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogLine {
    /// An event for the operator.
    Info(String),
    /// An internal error of the policy.
    Error(String),
}

/// An instruction to the driver. The driver executes instructions in order.
#[derive(Debug)]
pub enum Output {
    /// Write to a client. There is one write at a time; [`Input::Flushed`] follows.
    Write(ConnId, Bytes),
    /// Write the last answer to a client, immediately followed by the end of the stream;
    /// [`Input::WriteClosed`] follows. If input has arrived on the connection, it is passed to the core
    /// first, and this acts as an [`Output::Write`]; so it does if the operating system does not send all of the
    /// answer at once.
    WriteAndClose(ConnId, Bytes),
    /// Write a request to a server connection. The server may have closed the connection in the meantime: if
    /// input or a close has arrived on the connection, the driver passes it to the core and writes nothing.
    /// Otherwise [`Input::Flushed`] follows.
    WriteRequest {
        /// The server connection.
        id: ConnId,
        /// The encoded request.
        bytes: Bytes,
        /// Whether the driver first checks the socket itself for input or a close: because the request is not
        /// idempotent, or because the driver has not looked for input since the end of the reuse delay.
        check_socket: bool,
    },
    /// Open a connection.
    Open(ConnId, SocketAddr),
    /// Call the store of record; [`Input::CallReplied`] follows.
    CallStore(ConnId, Box<StoreCall>),
    /// Close a connection or cancel a call; no input follows.
    Close(ConnId),
    /// Close a client connection, unless input has arrived, which is passed to the core instead.
    /// [`Input::Closed`] or [`Input::Unsent`] follows.
    CloseIfIdle(ConnId),
    /// Half-close a client connection and read for a moment longer, so that a reset does not overtake the
    /// last answer. [`Input::Closed`] or [`Input::Unsent`] follows.
    CloseWrite(ConnId),
    /// Resume reading from a connection.
    Resume(ConnId),
    /// Start or cancel a call to discovery.
    Discovery(DiscoveryCall),
    /// The set of caches to notify of writes has changed.
    CachesChanged(Vec<SocketAddr>),
    /// Stop listening; accept only connections that the operating system has already accepted.
    Draining,
    /// Stop accepting: a newer process has taken over the listener.
    Replaced,
    /// A line for the log.
    Log(LogLine),
    /// The drain is complete: end the process.
    Done,
}

/// Queue of outputs in the order of their execution.
pub type Outputs = VecDeque<Output>;
