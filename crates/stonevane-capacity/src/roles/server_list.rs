//! A node's list of cache servers: the whole list, one change of it, and a watch on which nothing happens.
//!
//! The bytes go through the functions that the daemon's calls to discovery are made of, in their order and in reads of
//! the same length: head, chunks, lines, the list's form, and the core with the decision module. Sockets are not in it.

use bytes::BytesMut;
use stonevane_codec::http::{self, Chunks};
use stonevane_codec::lines::ObjectReader;
use stonevane_core::{Core, EndpointList, Input, Outputs};

use super::{Figure, MeasureError, listing, node};
use crate::cpu;

/// The daemon takes no list that is longer than 4 MB.
pub const LARGEST: u64 = 26_000;
/// What the daemon reads at once.
const READ: usize = 4096;
/// Nodes of the fleet that shares the servers.
const NODES: u32 = 18_000;
/// How often each is done; the middle one of the times counts.
const TIMES: usize = 9;
/// A watch brings an empty line every two seconds.
const BEAT_S: f64 = 2.0;

/// Memory that a measurement needs.
pub fn needs(servers: u64) -> u64 {
    (64 << 20) + servers * 16 * 1024
}

/// A chunk of a watch's answer.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The answer to a watch that brings a list at once, head and all.
fn watch_answer(list: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(&format!("{list}\n")))
}

/// A reader of a watch, as the daemon has it.
#[derive(Default)]
struct Watch {
    raw: BytesMut,
    body: BytesMut,
    chunks: Chunks,
    objects: ObjectReader,
    begun: bool,
}

impl Watch {
    /// Takes what was read; a list where one is whole.
    fn read(&mut self, bytes: &[u8]) -> Result<Option<EndpointList>, MeasureError> {
        let broken = || MeasureError::Broken("the list can't be read by the daemon's own functions".into());
        self.raw.extend_from_slice(bytes);
        if !self.begun {
            let Some(head) = http::head(&self.raw).map_err(|_| broken())? else { return Ok(None) };
            let _ = self.raw.split_to(head.length);
            self.begun = true;
        }
        self.chunks.take(&mut self.raw, &mut self.body).map_err(|_| broken())?;
        let Some(line) = self.objects.take(&mut self.body) else { return Ok(None) };
        serde_json::from_slice(&line).map(Some).map_err(|_| broken())
    }
}

fn core(known: EndpointList) -> Core {
    Core::new(node::START, node::setup(node::deployment(NODES), known, 1024, 1))
}

/// Passes an answer through a watch into a core: microseconds of reading and of taking the list in.
fn take(watch: &mut Watch, answer: &str, core: &mut Core) -> Result<[f64; 2], MeasureError> {
    let begun = cpu::thread_nanos();
    let mut list = None;
    for piece in answer.as_bytes().chunks(READ) {
        list = watch.read(piece)?;
    }
    let read = cpu::thread_nanos();
    let list = list.ok_or_else(|| MeasureError::Broken("the answer held no whole list".into()))?;
    let mut outputs = Outputs::new();
    core.handle(node::START + 1, Input::List(0, list), &mut outputs);
    let taken = cpu::thread_nanos();
    Ok([(read - begun) as f64 / 1e3, (taken - read) as f64 / 1e3])
}

fn middle(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Measures a list of so many servers.
///
/// # Errors
/// Where the daemon's functions can't read the list.
pub fn measure(servers: u64) -> Result<Vec<Figure>, MeasureError> {
    let whole = watch_answer(&listing::whole(servers));
    let (mut read, mut taken, mut changed) = (Vec::new(), Vec::new(), Vec::new());
    let mut change_bytes = 0;
    for turn in 0..TIMES {
        let (mut watch, mut core) = (Watch::default(), core(EndpointList::default()));
        let [reading, taking] = take(&mut watch, &whole, &mut core)?;
        let text = listing::change(2 + turn as u64, servers / 2, true);
        let line = chunk(&format!("{text}\n"));
        change_bytes = line.len();
        let [reading_change, taking_change] = take(&mut watch, &line, &mut core)?;
        let known = core.report().cache_servers_known as u64;
        if known != servers {
            return Err(MeasureError::Broken(format!("the core knows {known} servers of {servers}")));
        }
        read.push(reading);
        taken.push(taking);
        changed.push(reading_change + taking_change);
    }
    Ok(vec![
        Figure::measured("whole_bytes", "B", whole.len() as f64),
        Figure::measured("whole_read_cpu", "us", middle(read)),
        Figure::measured("whole_take_cpu", "us", middle(taken)),
        Figure::measured("change_bytes", "B", change_bytes as f64),
        Figure::measured("change_cpu", "us", middle(changed)),
        Figure::counted("watch_bytes", "B/s", chunk("\n").len() as f64 / BEAT_S),
    ])
}
