//! Misbehaving clients: crowds that connect and send nothing, and clients that send commands of many long
//! arguments.

use super::Simulation;
use super::event::Event;
use crate::plan::FaultKind;
use crate::stream::{Chunk, Peer, Stream, StreamId};

/// Number of arguments of a long command, and the length of each but the first, bytes. The last one never comes.
const LONG_COMMAND_ARGUMENTS: usize = 16;
const LONG_ARGUMENT_BYTES: usize = 64 * 1024;

impl Simulation<'_> {
    /// Opens a connection of a crowd client, which never sends a request, and schedules the next such
    /// connection.
    pub(super) fn crowd_arrival(&mut self, fault: usize) {
        let FaultKind::Crowd { per_s } = self.plan.faults[fault].kind else { return };
        if self.crowd_faults == 0 {
            return;
        }
        self.connect_silent_client();
        self.schedule_in(1_000_000 / per_s.max(1), Event::CrowdArrival { fault });
    }

    /// Opens a connection of a client that sends a command of many long arguments, and schedules the next such
    /// connection.
    pub(super) fn long_command_arrival(&mut self, fault: usize) {
        let FaultKind::LongCommands { per_s } = self.plan.faults[fault].kind else { return };
        if self.long_command_faults == 0 {
            return;
        }
        if let Some(id) = self.connect_silent_client() {
            self.send_to_node(id, Chunk::Bytes(long_command()));
        }
        self.schedule_in(1_000_000 / per_s.max(1), Event::LongCommandArrival { fault });
    }

    /// Opens a client's connection to a random node, unless that node does not listen.
    fn connect_silent_client(&mut self) -> Option<StreamId> {
        let node = self.rng.rand_range(0..self.nodes.len() as u64) as usize;
        if !self.nodes[node].is_listening {
            return None;
        }
        let stream = Stream::new(node, self.nodes[node].incarnation, 0, Peer::Client);
        let id = self.open_stream(Stream { is_silent: true, ..stream });
        let at = self.now() + self.draw_delay();
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.last_delivery_to_node = at;
        }
        self.schedule(at, Event::Connect(id));
        Some(id)
    }

    /// Disconnects the misbehaving clients, which would otherwise hold their connections until the run's end.
    pub(super) fn disconnect_crowd(&mut self) {
        for id in self.streams_where(|stream| stream.is_open_client() && stream.is_silent) {
            self.disconnect_client(id);
        }
    }
}

/// The beginning of a command of many long arguments.
fn long_command() -> Vec<u8> {
    let argument = vec![b'x'; LONG_ARGUMENT_BYTES];
    let argument = [format!("${LONG_ARGUMENT_BYTES}\r\n").as_bytes(), &argument, b"\r\n"].concat();
    let head = format!("*{LONG_COMMAND_ARGUMENTS}\r\n$7\r\nOBJ.SET\r\n");
    [head.as_bytes(), &argument.repeat(LONG_COMMAND_ARGUMENTS - 2)].concat()
}
