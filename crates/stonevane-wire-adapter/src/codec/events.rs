//! Decoder of event records, which the simulator sends. Byte offsets follow the protocol page.

use stonevane_policy::{
    AttemptStatus, CacheStatus, Condition, Event, ListUpdate, LoadReport, Micros, Outcome, Request,
    ServerEntry,
};

use super::{CodecError, f32_at, u16_at, u32_at, u64_at};

/// Size of a batch header, in bytes.
pub const BATCH_HEADER_BYTES: usize = 20;
/// Size of an event record, in bytes.
pub const EVENT_RECORD_BYTES: usize = 48;
/// Size of a server entry in the tail of a frame, in bytes.
const SERVER_ENTRY_BYTES: usize = 22;
/// Status of a successful health check; any other status is a failure.
const HEALTH_CHECK_OK: u16 = 200;
/// Largest number of values in a load report.
const MAX_LOAD_VALUES: u8 = 4;

/// Codes of event records.
mod code {
    pub const CLIENT_DISCONNECTED: u8 = 1;
    pub const TIMER: u8 = 2;
    pub const OUTCOME: u8 = 3;
    pub const REQUEST: u8 = 4;
    pub const START: u8 = 5;
    pub const HEALTH_CHECK: u8 = 6;
    pub const STOP: u8 = 7;
    pub const RESPONSE_STARTED: u8 = 8;
    pub const LIST: u8 = 9;
    pub const LIST_UPDATE: u8 = 10;
    pub const PEER_MESSAGE: u8 = 11;
}

/// Bits in the flags of a request.
mod flag {
    pub const HAS_COST: u8 = 1;
    pub const IS_RETRY: u8 = 2;
    pub const WRITE: u8 = 4;
}

/// The header of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchHeader {
    /// Time of the batch on the simulator's clock, in microseconds.
    pub now: Micros,
    /// Length of the body that follows the header, in bytes.
    pub length: usize,
    /// Number of event records at the start of the body; the tail follows them.
    pub records: usize,
    /// Identifier of the batch, repeated in its reply.
    pub number: u32,
}

impl BatchHeader {
    /// Decodes a header and checks that its records fit its length.
    pub fn read(bytes: &[u8; BATCH_HEADER_BYTES]) -> Result<Self, CodecError> {
        let header = BatchHeader {
            now: u64_at(bytes, 0),
            length: u32_at(bytes, 8) as usize,
            records: u32_at(bytes, 12) as usize,
            number: u32_at(bytes, 16),
        };
        if header.records.saturating_mul(EVENT_RECORD_BYTES) > header.length {
            return Err(CodecError::RecordsExceedFrame { batch: header.number });
        }
        Ok(header)
    }
}

/// A decoded event record. References into the tail of the frame are resolved, list numbers are not.
#[derive(Debug, Clone, PartialEq)]
pub enum Record<'a> {
    /// Start of an instance.
    Start {
        /// Identifier of the instance, chosen by the simulator.
        node: u16,
        /// Seed of the instance's random generator.
        seed: u64,
        /// Settings text in JSON.
        settings: &'a [u8],
    },
    /// Definition of a numbered server list that later records refer to.
    List {
        /// Identifier of the list; the host accepts 0 to 15.
        number: u16,
        /// Servers in the list, with their condition and weight.
        entries: Vec<ServerEntry>,
    },
    /// Stop of an instance, without a graceful shutdown.
    Stop(u16),
    /// Update of an instance's server list. The record refers to a defined list by number.
    ListUpdate {
        /// Identifier of the instance, chosen by the simulator.
        node: u16,
        /// Kind of the update: how the list relates to the one in use.
        kind: ListUpdate,
        /// Identifier of a list that an earlier record defines; ignored if the update reports a failure.
        number: u16,
    },
    /// Any other event, with the number of its instance.
    Event(u16, Event),
}

/// Decodes event record `index` of a body that starts with `records` records.
pub fn read_record(body: &[u8], records: usize, index: usize) -> Result<Record<'_>, CodecError> {
    let record = &body[index * EVENT_RECORD_BYTES..(index + 1) * EVENT_RECORD_BYTES];
    let tail = &body[records * EVENT_RECORD_BYTES..];
    let node = u16_at(record, 1);
    match record[0] {
        code::START => {
            let settings = tail_part(tail, record, 11, 1)?;
            Ok(Record::Start { node, seed: u64_at(record, 3), settings })
        }
        code::STOP => Ok(Record::Stop(node)),
        code::LIST => {
            let entries = tail_part(tail, record, 3, SERVER_ENTRY_BYTES)?.chunks_exact(SERVER_ENTRY_BYTES);
            Ok(Record::List { number: node, entries: entries.map(server_entry).collect::<Result<_, _>>()? })
        }
        code::LIST_UPDATE => {
            let kind = list_update(record[9])?;
            Ok(Record::ListUpdate { node, kind, number: u16_at(record, 3) })
        }
        _ => Ok(Record::Event(node, event(record, tail)?)),
    }
}

fn event(record: &[u8], tail: &[u8]) -> Result<Event, CodecError> {
    Ok(match record[0] {
        code::CLIENT_DISCONNECTED => Event::ClientDisconnected(u64_at(record, 3)),
        code::TIMER => Event::Timer(u32_at(record, 3)),
        code::OUTCOME => Event::Outcome(outcome(record)?),
        code::REQUEST => Event::Request(request(record)),
        code::HEALTH_CHECK => Event::HealthCheckFinished {
            ok: u16_at(record, 3) == HEALTH_CHECK_OK,
            elapsed: u32_at(record, 5).into(),
            server: u32_at(record, 9),
            load: load_report(record, 13),
        },
        code::RESPONSE_STARTED => {
            Event::ResponseStarted { request: u64_at(record, 3), attempt: u16_at(record, 15) }
        }
        code::PEER_MESSAGE => {
            Event::PeerMessage { from: u32_at(record, 3), bytes: tail_part(tail, record, 7, 1)?.to_vec() }
        }
        other => return Err(CodecError::UnknownEvent(other)),
    })
}

fn list_update(kind: u8) -> Result<ListUpdate, CodecError> {
    match kind {
        0 => Ok(ListUpdate::Full),
        1 => Ok(ListUpdate::Cached),
        2 => Ok(ListUpdate::Failed),
        3 => Ok(ListUpdate::Delta),
        other => Err(CodecError::UnknownListKind(other)),
    }
}

fn request(record: &[u8]) -> Request {
    let flags = record[13];
    Request {
        id: u64_at(record, 3),
        tenant: u16_at(record, 11).into(),
        cost: (flags & flag::HAS_COST != 0).then(|| u32_at(record, 15).into()),
        is_retry: flags & flag::IS_RETRY != 0,
        write: flags & flag::WRITE != 0,
        class: record[14].into(),
        key: u64_at(record, 19),
        size: f32_at(record, 27),
        time_left: u32_at(record, 31).into(),
    }
}

fn outcome(record: &[u8]) -> Result<Outcome, CodecError> {
    Ok(Outcome {
        request: u64_at(record, 3),
        cache_status: cache_status(u32_at(record, 11)),
        elapsed: u32_at(record, 15).into(),
        attempt: u16_at(record, 19),
        request_finished: record[21] != 0,
        status: attempt_status(u16_at(record, 22))?,
        server: u32_at(record, 24),
        load: load_report(record, 28),
        // The simulator's protocol does not state whether a request is the first on its connection.
        first_on_connection: false,
    })
}

fn attempt_status(status: u16) -> Result<AttemptStatus, CodecError> {
    Ok(match status {
        200 => AttemptStatus::Served,
        204 => AttemptStatus::Miss,
        408 => AttemptStatus::TimedOut,
        409 => AttemptStatus::NotSent,
        429 => AttemptStatus::Rejected,
        444 => AttemptStatus::Cancelled,
        502 => AttemptStatus::Error,
        520 => AttemptStatus::Reset,
        521 => AttemptStatus::ConnectFailed,
        other => return Err(CodecError::UnknownOutcome(other)),
    })
}

fn cache_status(code: u32) -> CacheStatus {
    match code {
        1 => CacheStatus::Hit,
        2 => CacheStatus::Miss,
        3 => CacheStatus::MissBeingFetched,
        _ => CacheStatus::None,
    }
}

fn load_report(record: &[u8], at: usize) -> LoadReport {
    let values = std::array::from_fn(|i| f32_at(record, at + 1 + 4 * i));
    LoadReport { count: record[at].min(MAX_LOAD_VALUES), values }
}

fn server_entry(entry: &[u8]) -> Result<ServerEntry, CodecError> {
    let condition = match entry[9] {
        0 => Condition::Gone,
        1 => Condition::Ready,
        2 => Condition::Draining,
        other => return Err(CodecError::UnknownCondition(other)),
    };
    Ok(ServerEntry {
        zone: entry[0],
        started: u64_at(entry, 1),
        condition,
        id: u32_at(entry, 10),
        cell: u16_at(entry, 14),
        kind: u16_at(entry, 16),
        weight: f32_at(entry, 18),
        sharing_nodes: 0,
    })
}

/// Returns the part of the tail that the field at byte offset `at` of a record refers to: an offset in the
/// tail and a count of items of `size` bytes.
fn tail_part<'a>(tail: &'a [u8], record: &[u8], at: usize, size: usize) -> Result<&'a [u8], CodecError> {
    let (offset, count) = (u32_at(record, at) as usize, u32_at(record, at + 4) as usize);
    let end = count.checked_mul(size).and_then(|length| length.checked_add(offset));
    let part = end.and_then(|end| tail.get(offset..end));
    part.ok_or(CodecError::OutsideFrame { code: record[0], offset, count })
}
