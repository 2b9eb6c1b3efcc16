//! Action records: what the simulator is sent. Offsets are those of the protocol page.

use stonevane_policy::{Action, Micros};

/// Size of an action record.
pub const ACTION_SIZE: usize = 24;
/// The recipient of a message to all peers.
const ALL_PEERS: u32 = u32::MAX;

/// Codes of action records.
mod code {
    pub const SEND: u8 = 1;
    pub const REJECT: u8 = 2;
    pub const FAIL: u8 = 3;
    pub const CANCEL: u8 = 4;
    pub const TIMER: u8 = 5;
    pub const HEALTH_CHECK: u8 = 6;
    pub const CLOSE_IDLE: u8 = 7;
    pub const SEND_TO_PEER: u8 = 8;
    pub const LOG: u8 = 9;
    pub const FAULT: u8 = 10;
    pub const SUBSCRIBE: u8 = 11;
    pub const FETCH_LIST: u8 = 12;
}

/// An action record under construction.
struct ActionRecord([u8; ACTION_SIZE]);

impl ActionRecord {
    fn new(code: u8, node: u16) -> Self {
        let mut record = ActionRecord([0; ACTION_SIZE]);
        record.0[0] = code;
        record.with(1, &node.to_le_bytes())
    }

    /// The same with a field at an offset.
    fn with(mut self, at: usize, field: &[u8]) -> Self {
        self.0[at..at + field.len()].copy_from_slice(field);
        self
    }
}

/// A reply under construction; its buffers are reused from batch to batch.
#[derive(Debug, Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Adds an action of an instance.
    pub fn push(&mut self, node: u16, action: &Action) {
        let new = |code| ActionRecord::new(code, node);
        let record = match action {
            Action::Send { request, server, give_up_after } => new(code::SEND)
                .with(3, &request.to_le_bytes())
                .with(11, &server.to_le_bytes())
                .with(15, &span(*give_up_after)),
            Action::Reject { request, retry_after } => {
                new(code::REJECT).with(3, &request.to_le_bytes()).with(11, &span(*retry_after))
            }
            Action::Fail(request) => new(code::FAIL).with(3, &request.to_le_bytes()),
            Action::Cancel { request, attempt } => {
                new(code::CANCEL).with(3, &request.to_le_bytes()).with(11, &attempt.to_le_bytes())
            }
            Action::Timer { after, token } => {
                new(code::TIMER).with(3, &span(*after)).with(7, &token.to_le_bytes())
            }
            Action::HealthCheck(server) => new(code::HEALTH_CHECK).with(3, &server.to_le_bytes()),
            Action::CloseIdle(server) => new(code::CLOSE_IDLE).with(3, &server.to_le_bytes()),
            Action::SendToPeer { to, bytes } => {
                let to = to.unwrap_or(ALL_PEERS);
                new(code::SEND_TO_PEER).with(3, &to.to_le_bytes()).with(7, &self.push_tail(bytes))
            }
            // Not part of the simulator's wire.
            Action::Explain { .. } => return,
            Action::Log(text) => new(code::LOG).with(3, &self.push_tail(text.as_bytes())),
            Action::Fault(text) => new(code::FAULT).with(3, &self.push_tail(text.as_bytes())),
            Action::Subscribe(on) => new(code::SUBSCRIBE).with(3, &[u8::from(*on)]),
            Action::FetchList => new(code::FETCH_LIST),
        };
        self.records.extend_from_slice(&record.0);
        self.count += 1;
    }

    /// Adds bytes to the tail; their offset and length, as the record names them.
    fn push_tail(&mut self, bytes: &[u8]) -> [u8; 8] {
        let mut part = [0; 8];
        part[..4].copy_from_slice(&(self.tail.len() as u32).to_le_bytes());
        part[4..].copy_from_slice(&(bytes.len() as u32).to_le_bytes());
        self.tail.extend_from_slice(bytes);
        part
    }

    /// Writes the reply to batch `number` into `frame` and empties itself for the next.
    pub fn finish(&mut self, number: u32, frame: &mut Vec<u8>) {
        frame.clear();
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&((self.records.len() + self.tail.len()) as u32).to_le_bytes());
        frame.extend_from_slice(&number.to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        self.records.clear();
        self.tail.clear();
        self.count = 0;
    }
}

/// Times of actions are signed 32-bit on the wire; longer ones are cut to the longest.
fn span(time: Micros) -> [u8; 4] {
    u32::try_from(time).unwrap_or(u32::MAX).min(i32::MAX as u32).to_le_bytes()
}
