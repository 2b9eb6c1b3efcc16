//! Processing of the server list on a node: the full list, one change to it, and an idle watch.
//!
//! The bytes pass through the same functions as in the daemon's calls to discovery, in the same order and
//! with reads of the same length: response head, chunks, lines, list format, and the core with the decision
//! module. Sockets are not included.

use bytes::BytesMut;
use stonevane_codec::http::{self, ChunkedDecoder};
use stonevane_codec::lines::ObjectReader;
use stonevane_core::{Core, EndpointList, Input, Outputs};

use super::{MeasureError, MetricValue, listing, node};
use crate::cpu;

/// Maximum number of servers that can be measured: the daemon rejects a list longer than 4 MB.
pub const LARGEST: u64 = 26_000;
/// Bytes per read, as in the daemon.
const READ_BYTES: usize = 4096;
/// Number of nodes that share the servers.
const NODES: u32 = 18_000;
/// Number of measurements; the median time is reported.
const REPETITIONS: usize = 9;
/// Interval between the empty lines of an idle watch, in seconds.
const HEARTBEAT_INTERVAL_S: f64 = 2.0;

/// Estimated memory that a measurement needs, in bytes.
pub fn required_memory(servers: u64) -> u64 {
    (64 << 20) + servers * 16 * 1024
}

/// Formats a chunk of the response to a watch.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Response to a watch that sends a list immediately, including the response head.
fn watch_response(list: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(&format!("{list}\n")))
}

/// Reader of a watch response, composed of the same parsers as in the daemon.
#[derive(Default)]
struct Watch {
    raw: BytesMut,
    body: BytesMut,
    chunks: ChunkedDecoder,
    objects: ObjectReader,
    head_read: bool,
}

impl Watch {
    /// Processes bytes that were read; returns a list once it is complete.
    fn read(&mut self, bytes: &[u8]) -> Result<Option<EndpointList>, MeasureError> {
        let unexpected = || {
            MeasureError::UnexpectedBehavior("the daemon's functions cannot read the generated list".into())
        };
        self.raw.extend_from_slice(bytes);
        if !self.head_read {
            let Some(head) = http::response_head(&self.raw).map_err(|_| unexpected())? else {
                return Ok(None);
            };
            let _ = self.raw.split_to(head.length);
            self.head_read = true;
        }
        self.chunks.take(&mut self.raw, &mut self.body).map_err(|_| unexpected())?;
        let Some(line) = self.objects.take(&mut self.body) else { return Ok(None) };
        serde_json::from_slice(&line).map(Some).map_err(|_| unexpected())
    }
}

fn core(known: EndpointList) -> Core {
    Core::new(node::START, node::setup(node::deployment(NODES), known, 1024, 1))
}

/// Passes a response through a watch into a core; returns the processor time of reading and of applying the
/// list, in microseconds.
fn read_and_apply(watch: &mut Watch, response: &str, core: &mut Core) -> Result<[f64; 2], MeasureError> {
    let started = cpu::thread_nanos();
    let mut list = None;
    for piece in response.as_bytes().chunks(READ_BYTES) {
        list = watch.read(piece)?;
    }
    let read = cpu::thread_nanos();
    let list =
        list.ok_or_else(|| MeasureError::UnexpectedBehavior("the response holds no complete list".into()))?;
    let mut outputs = Outputs::new();
    core.handle(node::START + 1, Input::List(0, list), &mut outputs);
    let applied = cpu::thread_nanos();
    Ok([(read - started) as f64 / 1e3, (applied - read) as f64 / 1e3])
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Measures a list of `servers` servers.
///
/// # Errors
/// If the daemon's functions cannot read the list or the core does not know all its servers.
pub fn measure(servers: u64) -> Result<Vec<MetricValue>, MeasureError> {
    let full_list = watch_response(&listing::full_list(servers));
    let (mut read, mut applied, mut change) = (Vec::new(), Vec::new(), Vec::new());
    let mut change_bytes = 0;
    for round in 0..REPETITIONS {
        let (mut watch, mut core) = (Watch::default(), core(EndpointList::default()));
        let [reading, applying] = read_and_apply(&mut watch, &full_list, &mut core)?;
        let text = listing::server_change(2 + round as u64, servers / 2, true);
        let line = chunk(&format!("{text}\n"));
        change_bytes = line.len();
        let [reading_change, applying_change] = read_and_apply(&mut watch, &line, &mut core)?;
        let known = core.report().cache_servers_known as u64;
        if known != servers {
            return Err(MeasureError::UnexpectedBehavior(format!(
                "the core knows {known} servers of {servers}"
            )));
        }
        read.push(reading);
        applied.push(applying);
        change.push(reading_change + applying_change);
    }
    Ok(vec![
        MetricValue::measured("whole_bytes", "B", full_list.len() as f64),
        MetricValue::measured("whole_read_cpu", "us", median(read)),
        MetricValue::measured("whole_take_cpu", "us", median(applied)),
        MetricValue::measured("change_bytes", "B", change_bytes as f64),
        MetricValue::measured("change_cpu", "us", median(change)),
        MetricValue::counted("watch_bytes", "B/s", chunk("\n").len() as f64 / HEARTBEAT_INTERVAL_S),
    ])
}
