//! Frames of the wire: batches of event records in, replies of action records out.

use stonevane_policy::{
    Action, AttemptStatus, CacheStatus, Condition, ListUpdate, LoadReport, Micros, Outcome, Request,
    ServerEntry, ServerId,
};

/// Size of a batch header.
pub const BATCH_HEADER: usize = 20;
const EVENT_SIZE: usize = 48;
const ACTION_SIZE: usize = 24;
const LINE_SIZE: usize = 22;

/// The header of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchHeader {
    /// The clock, microseconds.
    pub now: Micros,
    /// Bytes that follow the header.
    pub length: usize,
    /// Event records among them.
    pub records: usize,
    /// Number of the batch.
    pub number: u32,
}

impl BatchHeader {
    /// Reads a header and checks that its records fit its length.
    pub fn read(bytes: &[u8; BATCH_HEADER]) -> Result<Self, String> {
        let field = |at| u32_at(bytes, at) as usize;
        let header = BatchHeader {
            now: u64_at(bytes, 0),
            length: field(8),
            records: field(12),
            number: u32_at(bytes, 16),
        };
        if header.records.saturating_mul(EVENT_SIZE) > header.length {
            return Err(format!("batch {}: records exceed the frame's length", header.number));
        }
        Ok(header)
    }
}

/// An event record, resolved as far as its own frame allows.
#[derive(Debug, Clone, PartialEq)]
pub enum Record<'a> {
    /// An instance starts with a seed and a settings text.
    Start {
        /// The instance.
        node: u16,
        /// Its seed.
        seed: u64,
        /// Its settings.
        settings: &'a [u8],
    },
    /// A numbered list for later records.
    List {
        /// Number of the list.
        number: u16,
        /// Its lines.
        lines: Vec<ServerEntry>,
    },
    /// An instance is killed.
    Stop(u16),
    /// An instance hears a list by its number.
    ListHeard {
        /// The instance.
        node: u16,
        /// How the list relates to the one held.
        kind: ListUpdate,
        /// Number of the list.
        number: u16,
    },
    /// Any other event of an instance.
    Event(u16, stonevane_policy::Event),
}

/// Reads event record `index` of the body of a frame with `records` records.
pub fn read_record(body: &[u8], records: usize, index: usize) -> Result<Record<'_>, String> {
    let r = &body[index * EVENT_SIZE..(index + 1) * EVENT_SIZE];
    let tail = &body[records * EVENT_SIZE..];
    let node = u16_at(r, 1);
    let event = match r[0] {
        1 => stonevane_policy::Event::ClientDisconnected(u64_at(r, 3)),
        2 => stonevane_policy::Event::Timer(u32_at(r, 3)),
        3 => stonevane_policy::Event::Outcome(outcome(r)?),
        4 => stonevane_policy::Event::Request(request(r)),
        5 => {
            let settings = tail_part(tail, r, 11, 1)?;
            return Ok(Record::Start { node, seed: u64_at(r, 3), settings });
        }
        6 => stonevane_policy::Event::HealthCheckFinished {
            ok: u16_at(r, 3) == 200,
            took: u32_at(r, 5).into(),
            server: u32_at(r, 9),
            load: load(r, 13),
        },
        7 => return Ok(Record::Stop(node)),
        8 => stonevane_policy::Event::ResponseStarted { request: u64_at(r, 3), attempt: u16_at(r, 15) },
        9 => {
            let part = tail_part(tail, r, 3, LINE_SIZE)?;
            let lines = part.chunks_exact(LINE_SIZE).map(line).collect::<Result<_, _>>()?;
            return Ok(Record::List { number: node, lines });
        }
        10 => {
            let kind = match r[9] {
                0 => ListUpdate::Full,
                1 => ListUpdate::Cached,
                2 => ListUpdate::Failed,
                3 => ListUpdate::Delta,
                other => return Err(format!("roster_change of unknown kind {other}")),
            };
            return Ok(Record::ListHeard { node, kind, number: u16_at(r, 3) });
        }
        11 => {
            let bytes = tail_part(tail, r, 7, 1)?.to_vec();
            stonevane_policy::Event::PeerMessage { from: u32_at(r, 3), bytes }
        }
        other => return Err(format!("unknown event code {other}")),
    };
    Ok(Record::Event(node, event))
}

fn request(r: &[u8]) -> Request {
    let marks = r[13];
    Request {
        id: u64_at(r, 3),
        tenant: u16_at(r, 11).into(),
        cost: (marks & 1 != 0).then(|| u32_at(r, 15).into()),
        is_retry: marks & 2 != 0,
        write: marks & 4 != 0,
        class: r[14].into(),
        key: u64_at(r, 19),
        size: f32_at(r, 27),
        time_left: u32_at(r, 31).into(),
    }
}

fn outcome(r: &[u8]) -> Result<Outcome, String> {
    let status = match u16_at(r, 22) {
        200 => AttemptStatus::Served,
        204 => AttemptStatus::Miss,
        408 => AttemptStatus::TimedOut,
        409 => AttemptStatus::NotSent,
        429 => AttemptStatus::Rejected,
        444 => AttemptStatus::Cancelled,
        502 => AttemptStatus::Error,
        520 => AttemptStatus::Reset,
        521 => AttemptStatus::ConnectFailed,
        other => return Err(format!("unknown outcome {other}")),
    };
    let note = match u32_at(r, 11) {
        1 => CacheStatus::Hit,
        2 => CacheStatus::Miss,
        3 => CacheStatus::MissBeingFetched,
        _ => CacheStatus::None,
    };
    Ok(Outcome {
        request: u64_at(r, 3),
        cache_status: note,
        elapsed: u32_at(r, 15).into(),
        attempt: u16_at(r, 19),
        request_finished: r[21] != 0,
        status,
        server: u32_at(r, 24),
        load: load(r, 28),
        // The simulator's wire does not tell.
        first_on_connection: false,
    })
}

fn load(r: &[u8], at: usize) -> LoadReport {
    let values = std::array::from_fn(|i| f32_at(r, at + 1 + 4 * i));
    LoadReport { count: r[at].min(4), values }
}

fn line(r: &[u8]) -> Result<ServerEntry, String> {
    let condition = match r[9] {
        0 => Condition::Gone,
        1 => Condition::Ready,
        2 => Condition::Draining,
        other => return Err(format!("census line with unknown condition {other}")),
    };
    Ok(ServerEntry {
        zone: r[0],
        started: u64_at(r, 1),
        condition,
        id: u32_at(r, 10),
        cell: u16_at(r, 14),
        kind: u16_at(r, 16),
        weight: f32_at(r, 18),
        sharing_nodes: 0,
    })
}

/// The part of the tail that the field at `at` names: an offset and a count of items of `size` bytes.
fn tail_part<'a>(tail: &'a [u8], r: &[u8], at: usize, size: usize) -> Result<&'a [u8], String> {
    let (offset, count) = (u32_at(r, at) as usize, u32_at(r, at + 4) as usize);
    let end = count.checked_mul(size).and_then(|n| n.checked_add(offset));
    end.and_then(|end| tail.get(offset..end))
        .ok_or_else(|| format!("event code {}: tail offset {offset} and count {count} leave the frame", r[0]))
}

fn u16_at(b: &[u8], at: usize) -> u16 {
    u16::from_le_bytes(bytes_at(b, at))
}

fn u32_at(b: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes_at(b, at))
}

fn u64_at(b: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes_at(b, at))
}

fn f32_at(b: &[u8], at: usize) -> f32 {
    f32::from_le_bytes(bytes_at(b, at))
}

fn bytes_at<const N: usize>(b: &[u8], at: usize) -> [u8; N] {
    std::array::from_fn(|i| b[at + i])
}

/// A reply under construction; its buffers are kept from batch to batch.
#[derive(Debug, Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Adds an action of an instance.
    pub fn push(&mut self, node: u16, action: &Action) {
        let mut r = [0u8; ACTION_SIZE];
        r[1..3].copy_from_slice(&node.to_le_bytes());
        match action {
            Action::Send { request, server, give_up_after } => {
                r[0] = 1;
                put(&mut r, 3, &request.to_le_bytes());
                put(&mut r, 11, &server.to_le_bytes());
                put(&mut r, 15, &span(*give_up_after));
            }
            Action::Reject { request, retry_after } => {
                r[0] = 2;
                put(&mut r, 3, &request.to_le_bytes());
                put(&mut r, 11, &span(*retry_after));
            }
            Action::Fail(request) => {
                r[0] = 3;
                put(&mut r, 3, &request.to_le_bytes());
            }
            Action::Cancel { request, attempt } => {
                r[0] = 4;
                put(&mut r, 3, &request.to_le_bytes());
                put(&mut r, 11, &attempt.to_le_bytes());
            }
            Action::Timer { after, token } => {
                r[0] = 5;
                put(&mut r, 3, &span(*after));
                put(&mut r, 7, &token.to_le_bytes());
            }
            Action::HealthCheck(server) => self.name_server(&mut r, 6, *server),
            Action::CloseIdle(server) => self.name_server(&mut r, 7, *server),
            Action::SendToPeer { to, bytes } => {
                r[0] = 8;
                put(&mut r, 3, &to.unwrap_or(u32::MAX).to_le_bytes());
                self.put_tail(&mut r, 7, bytes);
            }
            // The simulator's wire has no place for it.
            Action::Explain { .. } => return,
            Action::Log(text) => {
                r[0] = 9;
                self.put_tail(&mut r, 3, text.as_bytes());
            }
            Action::Fault(text) => {
                r[0] = 10;
                self.put_tail(&mut r, 3, text.as_bytes());
            }
            Action::Subscribe(on) => {
                r[0] = 11;
                r[3] = u8::from(*on);
            }
            Action::FetchList => r[0] = 12,
        }
        self.records.extend_from_slice(&r);
        self.count += 1;
    }

    fn name_server(&mut self, r: &mut [u8; ACTION_SIZE], code: u8, server: ServerId) {
        r[0] = code;
        put(r, 3, &server.to_le_bytes());
    }

    fn put_tail(&mut self, r: &mut [u8; ACTION_SIZE], at: usize, bytes: &[u8]) {
        put(r, at, &(self.tail.len() as u32).to_le_bytes());
        put(r, at + 4, &(bytes.len() as u32).to_le_bytes());
        self.tail.extend_from_slice(bytes);
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

fn put(r: &mut [u8; ACTION_SIZE], at: usize, bytes: &[u8]) {
    r[at..at + bytes.len()].copy_from_slice(bytes);
}

/// Times of actions are signed 32-bit on the wire; longer ones are cut to the longest.
fn span(time: Micros) -> [u8; 4] {
    u32::try_from(time).unwrap_or(u32::MAX).min(i32::MAX as u32).to_le_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn encoded(action: Action) -> (Vec<u8>, Vec<u8>) {
        let (mut reply, mut frame) = (Reply::default(), Vec::new());
        reply.push(3, &action);
        reply.finish(12, &mut frame);
        assert_eq!(u32_at(&frame, 0), 1);
        assert_eq!(u32_at(&frame, 4) as usize, frame.len() - 12);
        assert_eq!(u32_at(&frame, 8), 12);
        (frame[12..36].to_vec(), frame[36..].to_vec())
    }

    fn record(code: u8, fields: &[(usize, &[u8])]) -> Vec<u8> {
        let mut r = vec![0; ACTION_SIZE];
        (r[0], r[1]) = (code, 3);
        fields.iter().for_each(|(at, bytes)| r[*at..at + bytes.len()].copy_from_slice(bytes));
        r
    }

    #[test]
    fn every_action_has_its_code_and_its_fields_in_their_places() {
        let (id, server, tail) = (0x0002_dd71_5d3a_91c4u64, 0x0312_4a07u32, vec![0, 0, 0, 0, 2, 0, 0, 0]);
        let (i, s) = (id.to_le_bytes(), server.to_le_bytes());
        let cases = [
            (
                Action::Send { request: id, server, give_up_after: 80_000 },
                record(1, &[(3, &i), (11, &s), (15, &80_000u32.to_le_bytes())]),
            ),
            (
                Action::Reject { request: id, retry_after: 7 },
                record(2, &[(3, &i), (11, &7u32.to_le_bytes())]),
            ),
            (Action::Fail(id), record(3, &[(3, &i)])),
            (Action::Cancel { request: id, attempt: 2 }, record(4, &[(3, &i), (11, &[2])])),
            (
                Action::Timer { after: 500_000, token: 77 },
                record(5, &[(3, &500_000u32.to_le_bytes()), (7, &[77])]),
            ),
            (Action::HealthCheck(server), record(6, &[(3, &s)])),
            (Action::CloseIdle(server), record(7, &[(3, &s)])),
            (
                Action::SendToPeer { to: None, bytes: b"hi".to_vec() },
                record(8, &[(3, &[0xff; 4]), (7, &tail)]),
            ),
            (Action::SendToPeer { to: Some(4), bytes: b"hi".to_vec() }, record(8, &[(3, &[4]), (7, &tail)])),
            (Action::Log("hi".into()), record(9, &[(3, &tail)])),
            (Action::Fault("hi".into()), record(10, &[(3, &tail)])),
            (Action::Subscribe(true), record(11, &[(3, &[1])])),
            (Action::Subscribe(false), record(11, &[])),
            (Action::FetchList, record(12, &[])),
        ];
        for (action, expected) in cases {
            let (got, rest) = encoded(action.clone());
            assert_eq!(got, expected, "{action:?}");
            let text = matches!(action, Action::SendToPeer { .. } | Action::Log(_) | Action::Fault(_));
            assert_eq!(rest, if text { b"hi".to_vec() } else { Vec::new() });
        }
    }

    #[test]
    fn a_request_and_an_outcome_are_read_from_their_places() {
        let mut body = vec![0u8; 2 * EVENT_SIZE];
        body[0] = 4;
        body[3] = 9; // id
        body[11] = 1; // tenant
        body[13] = 7; // cost hint valid, a repeat, a write
        body[14] = 2; // class
        body[15] = 50; // cost
        body[19] = 5; // key
        body[32] = 1; // time budget 256
        let r = EVENT_SIZE;
        (body[r], body[r + 3], body[r + 11], body[r + 15], body[r + 19]) = (3, 9, 3, 40, 1);
        body[r + 21] = 1;
        body[r + 22..r + 24].copy_from_slice(&429u16.to_le_bytes());
        (body[r + 24], body[r + 28]) = (6, 1);
        body[r + 29..r + 33].copy_from_slice(&1.5f32.to_le_bytes());
        let request = Request {
            id: 9,
            class: 2,
            tenant: 1,
            key: 5,
            write: true,
            is_retry: true,
            time_left: 256,
            cost: Some(50),
            size: 0.0,
        };
        assert_eq!(read_record(&body, 2, 0), Ok(Record::Event(0, stonevane_policy::Event::Request(request))));
        let load = LoadReport { count: 1, values: [1.5, 0.0, 0.0, 0.0] };
        let outcome = Outcome {
            request: 9,
            attempt: 1,
            server: 6,
            status: AttemptStatus::Rejected,
            request_finished: true,
            cache_status: CacheStatus::MissBeingFetched,
            elapsed: 40,
            load,
            first_on_connection: false,
        };
        assert_eq!(read_record(&body, 2, 1), Ok(Record::Event(0, stonevane_policy::Event::Outcome(outcome))));
    }
}
