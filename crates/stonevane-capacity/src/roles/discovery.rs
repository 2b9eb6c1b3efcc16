//! Calls to the discovery service against the number of nodes: the cores of all nodes, each with its own timers and its
//! own draw, against a service that answers at once. Lists are as short as may be, since calls don't depend on them.

use stonevane_core::{Core, DiscoveryCall, DiscoveryRequest, EndpointList, Input, Output, Outputs};

use super::{Figure, MeasureError, listing, node};

/// More nodes than twice the target.
pub const LARGEST: u64 = 40_000;
/// Servers of the list in the fleet measured: calls do not depend on them.
const SERVERS: u64 = 3;
/// The target's list, whose length makes bytes of calls.
const TARGET_SERVERS: u64 = 4_200;
/// How long is looked at after the start and after the loss of all watches, in seconds.
const START_S: u64 = 10;
const LOSS_S: u64 = 30;
/// Memory of one core with its list.
const CORE_BYTES: u64 = 48 * 1024;

/// Memory that a measurement needs.
pub fn needs(nodes: u64) -> u64 {
    (64 << 20) + nodes * CORE_BYTES
}

struct Fleet {
    cores: Vec<Core>,
    /// Calls that came in each second of the phase.
    calls: Vec<u64>,
    /// Of all those, calls for a whole list.
    whole: u64,
}

impl Fleet {
    fn new(nodes: u64, seed: u64) -> Result<Fleet, MeasureError> {
        let known: String = listing::whole(SERVERS);
        let mut cores = Vec::with_capacity(nodes as usize);
        for number in 0..nodes {
            let known: EndpointList =
                serde_json::from_str(&known).map_err(|e| MeasureError::Broken(format!("no list: {e}")))?;
            let mut deployment = node::deployment(nodes as u32);
            deployment.settings.node_index = number as u32;
            let setup = node::setup(deployment, known, 1024, seed.wrapping_mul(65_537) + number);
            cores.push(Core::new(node::START, setup));
        }
        Ok(Fleet { cores, calls: Vec::new(), whole: 0 })
    }

    /// Runs a phase in which each core has its own clock: nothing passes between them but calls to discovery. A failed
    /// watch begins it where told.
    fn phase(&mut self, from: u64, seconds: u64, all_fail: bool) {
        self.calls = vec![0; seconds as usize];
        self.whole = 0;
        let end = from + seconds * node::SECOND;
        for place in 0..self.cores.len() {
            let mut outputs = Outputs::new();
            let first = if all_fail { Input::ListFailed(0) } else { Input::Wake };
            self.cores[place].handle(from, first, &mut outputs);
            self.count(from, from, &mut outputs);
            while let Some(next) = self.cores[place].next_timeout().filter(|next| *next < end) {
                let now = next.max(from);
                self.cores[place].handle(now, Input::Wake, &mut outputs);
                self.count(from, now, &mut outputs);
            }
        }
    }

    fn count(&mut self, from: u64, now: u64, outputs: &mut Outputs) {
        for output in outputs.drain(..) {
            let Output::Discovery(DiscoveryCall { request: ask, .. }) = output else { continue };
            let second = ((now - from) / node::SECOND) as usize;
            match ask {
                DiscoveryRequest::Watch { after } => self.whole += u64::from(after.is_none()),
                DiscoveryRequest::FetchList => self.whole += 1,
                DiscoveryRequest::StopWatch | DiscoveryRequest::WatchAgent | DiscoveryRequest::CancelAll => {
                    continue;
                }
            }
            if let Some(calls) = self.calls.get_mut(second) {
                *calls += 1;
            }
        }
    }

    fn busiest(&self) -> f64 {
        self.calls.iter().copied().max().unwrap_or(0) as f64
    }

    fn all(&self) -> f64 {
        self.calls.iter().sum::<u64>() as f64
    }
}

/// Measures the calls of so many nodes.
///
/// # Errors
/// Where a list can't be made.
pub fn measure(nodes: u64, seed: u64) -> Result<Vec<Figure>, MeasureError> {
    let mut fleet = Fleet::new(nodes, seed)?;
    fleet.phase(node::START, START_S, false);
    let (start_calls, start_busiest) = (fleet.all(), fleet.busiest());
    fleet.phase(node::START + START_S * node::SECOND, LOSS_S, true);
    let (lost_calls, lost_busiest, lost_whole) = (fleet.all(), fleet.busiest(), fleet.whole);
    let list_bytes = listing::whole(TARGET_SERVERS).len() as f64;
    let change_bytes = listing::change(2, 0, true).len() as f64;
    Ok(vec![
        Figure::measured("start_calls", "1", start_calls),
        Figure::measured("start_busiest", "1/s", start_busiest),
        Figure::measured("lost_calls", "1", lost_calls),
        Figure::measured("lost_busiest", "1/s", lost_busiest),
        Figure::measured("lost_whole", "1", lost_whole as f64),
        Figure::counted("whole_lists", "B", nodes as f64 * list_bytes),
        Figure::counted("change_told", "B", nodes as f64 * change_bytes),
        Figure::counted("change_lines", "1", nodes as f64),
    ])
}
