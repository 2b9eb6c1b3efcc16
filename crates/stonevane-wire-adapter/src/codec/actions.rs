//! Encoder of action records, which the adapter sends to the simulator. Byte offsets follow the protocol
//! page.

use stonevane_policy::{Action, Micros};

/// Size of an action record, in bytes.
pub const ACTION_RECORD_BYTES: usize = 24;
/// Recipient number that addresses all peers.
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
struct ActionRecord([u8; ACTION_RECORD_BYTES]);

impl ActionRecord {
    fn new(code: u8, node: u16) -> Self {
        let mut record = ActionRecord([0; ACTION_RECORD_BYTES]);
        record.0[0] = code;
        record.with(1, &node.to_le_bytes())
    }

    /// Returns the record with `field` written at byte offset `at`.
    fn with(mut self, at: usize, field: &[u8]) -> Self {
        self.0[at..at + field.len()].copy_from_slice(field);
        self
    }
}

/// Builder of the reply to a batch. Its buffers are reused for the next batch.
#[derive(Debug, Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Appends the record of an action of instance `node`. Skips actions for which the protocol has no
    /// record.
    pub fn push(&mut self, node: u16, action: &Action) {
        let new_record = |code| ActionRecord::new(code, node);
        let record = match action {
            Action::Send { request, server, give_up_after } => new_record(code::SEND)
                .with(3, &request.to_le_bytes())
                .with(11, &server.to_le_bytes())
                .with(15, &duration_field(*give_up_after)),
            Action::Reject { request, retry_after } => new_record(code::REJECT)
                .with(3, &request.to_le_bytes())
                .with(11, &duration_field(*retry_after)),
            Action::Fail(request) => new_record(code::FAIL).with(3, &request.to_le_bytes()),
            Action::Cancel { request, attempt } => {
                new_record(code::CANCEL).with(3, &request.to_le_bytes()).with(11, &attempt.to_le_bytes())
            }
            Action::Timer { after, token } => {
                new_record(code::TIMER).with(3, &duration_field(*after)).with(7, &token.to_le_bytes())
            }
            Action::HealthCheck(server) => new_record(code::HEALTH_CHECK).with(3, &server.to_le_bytes()),
            Action::CloseIdle(server) => new_record(code::CLOSE_IDLE).with(3, &server.to_le_bytes()),
            Action::SendToPeer { to, bytes } => {
                let to = to.unwrap_or(ALL_PEERS);
                new_record(code::SEND_TO_PEER).with(3, &to.to_le_bytes()).with(7, &self.push_tail(bytes))
            }
            // The simulator's protocol has no record for an explanation.
            Action::Explain { .. } => return,
            Action::Log(text) => new_record(code::LOG).with(3, &self.push_tail(text.as_bytes())),
            Action::Fault(text) => new_record(code::FAULT).with(3, &self.push_tail(text.as_bytes())),
            Action::Subscribe(on) => new_record(code::SUBSCRIBE).with(3, &[u8::from(*on)]),
            Action::FetchList => new_record(code::FETCH_LIST),
        };
        self.records.extend_from_slice(&record.0);
        self.count += 1;
    }

    /// Appends bytes to the tail. Returns their offset and length in the tail, as the record encodes them.
    fn push_tail(&mut self, bytes: &[u8]) -> [u8; 8] {
        let mut range = [0; 8];
        range[..4].copy_from_slice(&(self.tail.len() as u32).to_le_bytes());
        range[4..].copy_from_slice(&(bytes.len() as u32).to_le_bytes());
        self.tail.extend_from_slice(bytes);
        range
    }

    /// Writes the reply to batch `number` into `frame` and clears the builder for the next batch.
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

/// Encodes a duration in microseconds. The wire has signed 32-bit durations, so longer ones are clamped to
/// `i32::MAX`.
fn duration_field(time: Micros) -> [u8; 4] {
    u32::try_from(time).unwrap_or(u32::MAX).min(i32::MAX as u32).to_le_bytes()
}
