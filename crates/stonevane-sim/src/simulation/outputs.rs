//! Performs the core's outputs.

use stonevane_core::{
    ConnId, Core, DiscoveryCall as CoreCall, DiscoveryRequest, Input, LogLine, Output, Outputs,
};

use super::event::{DiscoveryCall, Event};
use super::{Invariant, Simulation};
use crate::stream::Chunk;

/// Time for which a node keeps a stream open after it has closed its writing side, microseconds; it discards
/// what arrives meanwhile.
const HALF_CLOSE_US: u64 = 200_000;
/// Delay between a node's exit and its restart, microseconds.
const RESTART_DELAY_US: u64 = 300_000;
/// Time that a node's call takes to reach discovery, microseconds.
const DISCOVERY_CALL_US: u64 = 150_000;

impl Simulation<'_> {
    /// Performs a node's outputs, and those that result from them, until none are left. Then checks the
    /// node's invariants and schedules its next wake.
    pub(super) fn perform(&mut self, node: usize, mut outputs: Outputs) {
        loop {
            if outputs.is_empty() {
                self.accept_backlog(node, &mut outputs);
            }
            let Some(output) = outputs.pop_front() else { break };
            self.perform_output(node, output, &mut outputs);
        }
        if std::mem::take(&mut self.nodes[node].has_ended) {
            self.stop_node(node, "exited");
            return self.schedule_in(RESTART_DELAY_US, Event::StartNode(node));
        }
        self.check_node(node);
        self.schedule_wake(node);
    }

    fn perform_output(&mut self, node: usize, output: Output, outputs: &mut Outputs) {
        match output {
            // `WriteAndClose` is performed as a plain write: the core closes the connection once the answer
            // is flushed, so the client sees the end of the stream a moment after the answer.
            Output::WriteAndClose(connection, bytes) | Output::Write(connection, bytes) => {
                self.node_writes(node, connection, &bytes, outputs);
            }
            Output::WriteRequest { id: connection, bytes, check_socket } => {
                let is_unchecked = !check_socket && self.goes_by_last_poll(node);
                if is_unchecked || self.check_nothing_unread(node, connection, outputs) {
                    self.node_writes(node, connection, &bytes, outputs);
                }
            }
            Output::Open(connection, address) => self.open_server_connection(node, connection, address),
            Output::Close(connection) => {
                if let Some(stream) = self.nodes[node].streams.remove(&connection) {
                    self.close_node_end(stream);
                }
            }
            Output::CloseIfIdle(connection) => self.close_if_idle(node, connection, outputs),
            Output::CloseWrite(connection) => self.close_write(node, connection, outputs),
            Output::Resume(connection) => {
                if let Some(stream) = self.nodes[node].streams.get(&connection).copied() {
                    self.read(node, stream, outputs);
                }
            }
            Output::Discovery(call) => self.call_discovery(node, &call),
            Output::Draining => {
                self.nodes[node].is_listening = false;
                for stream in std::mem::take(&mut self.nodes[node].backlog) {
                    self.close_node_end(stream);
                }
            }
            Output::Done => self.nodes[node].has_ended = true,
            Output::Log(LogLine::Error(message)) => self.record_violation(Invariant::NoErrorLogged, message),
            Output::Log(LogLine::Info(_))
            | Output::Replaced
            | Output::CallStore(..)
            | Output::CachesChanged(_) => {}
        }
    }

    fn close_if_idle(&mut self, node: usize, connection: ConnId, outputs: &mut Outputs) {
        let is_closing = self.nodes[node].core.as_ref().is_some_and(|core| core.is_closing(connection));
        if !is_closing || !self.check_nothing_unread(node, connection, outputs) {
            return;
        }
        if self.has_unsent(node, connection) {
            self.feed_into(node, Input::Unsent(connection), outputs);
        } else if let Some(stream) = self.nodes[node].streams.remove(&connection) {
            self.close_node_end(stream);
            self.feed_into(node, Input::Closed(connection), outputs);
        }
    }

    /// Whether bytes of the node are still on their way to the client. Only in plans in which machines take bytes
    /// late; in the others a machine sends everything at once.
    fn has_unsent(&self, node: usize, connection: ConnId) -> bool {
        let stream = self.nodes[node].streams.get(&connection).and_then(|id| self.streams.get(id));
        let is_on_its_way = stream.is_some_and(|stream| stream.last_delivery_to_peer > self.now());
        self.plan.late_flush_share > 0.0 && is_on_its_way
    }

    fn close_write(&mut self, node: usize, connection: ConnId, outputs: &mut Outputs) {
        if self.has_unsent(node, connection) {
            return self.feed_into(node, Input::Unsent(connection), outputs);
        }
        let Some(id) = self.nodes[node].streams.get(&connection).copied() else { return };
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.is_half_closed = true;
            stream.node_inbox.clear();
        }
        self.send_to_peer(id, Chunk::End);
        self.schedule_in(HALF_CLOSE_US, Event::HalfCloseExpired(id));
    }

    fn call_discovery(&mut self, node: usize, call: &CoreCall) {
        let caller = &mut self.nodes[node];
        let request = call.request;
        if matches!(request, DiscoveryRequest::StopWatch | DiscoveryRequest::CancelAll) {
            caller.watch = None;
            return;
        }
        // A call that fetches the server list leaves the node's watch open; a call that opens a watch
        // replaces it.
        caller.watch = caller.watch.filter(|_| request == DiscoveryRequest::FetchList);
        let call = DiscoveryCall { node, incarnation: caller.incarnation, epoch: call.epoch };
        self.schedule_in(DISCOVERY_CALL_US, Event::DiscoveryCallArrived(call, request));
    }

    /// Accepts connections from the backlog as long as the core accepts them.
    pub(super) fn accept_backlog(&mut self, node: usize, outputs: &mut Outputs) {
        while self.nodes[node].core.as_ref().is_some_and(Core::accepts) {
            let Some(id) = self.nodes[node].backlog.pop_front() else { return };
            if !self.streams.contains_key(&id) {
                continue;
            }
            let Some(core) = &mut self.nodes[node].core else { return };
            let connection = core.next_connection_id();
            if let Some(stream) = self.streams.get_mut(&id) {
                stream.connection = connection;
            }
            self.nodes[node].streams.insert(connection, id);
            self.feed_into(node, Input::Accepted(connection), outputs);
            self.read(node, id, outputs);
            if let Some(request) = self.streams.get_mut(&id).and_then(|stream| stream.waiting_request.take())
            {
                self.send_request(request, id);
            }
        }
    }
}
