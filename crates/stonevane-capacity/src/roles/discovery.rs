//! Calls to the discovery service by the number of nodes. The cores of all nodes run, each with its own
//! timers and random numbers. Only the calls that they make are counted: no response is simulated. The server
//! list is short, because the calls do not depend on its length.

use stonevane_core::{Core, DiscoveryCall, DiscoveryRequest, EndpointList, Input, Output, Outputs};

use super::{MeasureError, MetricValue, listing, node};

/// Maximum number of nodes that can be measured: more than twice the target.
pub const LARGEST: u64 = 40_000;
/// Servers in the list of the measured fleet; the number of calls does not depend on it.
const SERVERS: u64 = 3;
/// Servers in the list at the target; the response sizes are computed from its length.
const TARGET_SERVERS: u64 = 4_200;
/// Length of the phase after the start, in seconds.
const START_S: u64 = 10;
/// Length of the phase after the loss of all watches, in seconds.
const LOST_WATCHES_S: u64 = 30;
/// Estimated memory of one node's core with its server list, in bytes.
const CORE_BYTES: u64 = 48 * 1024;

/// Estimated memory that a measurement needs, in bytes.
pub fn required_memory(nodes: u64) -> u64 {
    (64 << 20) + nodes * CORE_BYTES
}

struct Fleet {
    cores: Vec<Core>,
    /// Number of calls in each second of the phase.
    calls: Vec<u64>,
    /// Number of calls in the phase that request a full list.
    full_lists: u64,
}

impl Fleet {
    fn new(nodes: u64, seed: u64) -> Result<Fleet, MeasureError> {
        let known: String = listing::full_list(SERVERS);
        let mut cores = Vec::with_capacity(nodes as usize);
        for number in 0..nodes {
            let known: EndpointList = serde_json::from_str(&known).map_err(|e| {
                MeasureError::UnexpectedBehavior(format!("the generated server list cannot be parsed: {e}"))
            })?;
            let mut deployment = node::deployment(nodes as u32);
            deployment.settings.node_index = number as u32;
            let setup = node::setup(deployment, known, 1024, seed.wrapping_mul(65_537) + number);
            cores.push(Core::new(node::START, setup));
        }
        Ok(Fleet { cores, calls: Vec::new(), full_lists: 0 })
    }

    /// Runs a phase, one core after another: cores do not interact, so each can have its own clock. The phase
    /// begins with the failure of every watch if `all_fail` is set.
    fn run_phase(&mut self, from: u64, seconds: u64, all_fail: bool) {
        self.calls = vec![0; seconds as usize];
        self.full_lists = 0;
        let end = from + seconds * node::SECOND;
        for index in 0..self.cores.len() {
            let mut outputs = Outputs::new();
            let first = if all_fail { Input::ListFailed(0) } else { Input::Wake };
            self.cores[index].handle(from, first, &mut outputs);
            self.count(from, from, &mut outputs);
            while let Some(next) = self.cores[index].next_timeout().filter(|next| *next < end) {
                let now = next.max(from);
                self.cores[index].handle(now, Input::Wake, &mut outputs);
                self.count(from, now, &mut outputs);
            }
        }
    }

    fn count(&mut self, from: u64, now: u64, outputs: &mut Outputs) {
        for output in outputs.drain(..) {
            let Output::Discovery(DiscoveryCall { request, .. }) = output else { continue };
            let second = ((now - from) / node::SECOND) as usize;
            match request {
                DiscoveryRequest::Watch { after } => self.full_lists += u64::from(after.is_none()),
                DiscoveryRequest::FetchList => self.full_lists += 1,
                DiscoveryRequest::StopWatch | DiscoveryRequest::WatchAgent | DiscoveryRequest::CancelAll => {
                    continue;
                }
            }
            if let Some(calls) = self.calls.get_mut(second) {
                *calls += 1;
            }
        }
    }

    fn peak_per_s(&self) -> f64 {
        self.calls.iter().copied().max().unwrap_or(0) as f64
    }

    fn total(&self) -> f64 {
        self.calls.iter().sum::<u64>() as f64
    }
}

/// Measures the discovery calls of a fleet of `nodes` nodes at the start and after the loss of all watches.
///
/// # Errors
/// If the generated list cannot be parsed.
pub fn measure(nodes: u64, seed: u64) -> Result<Vec<MetricValue>, MeasureError> {
    let mut fleet = Fleet::new(nodes, seed)?;
    fleet.run_phase(node::START, START_S, false);
    let (start_calls, start_busiest) = (fleet.total(), fleet.peak_per_s());
    fleet.run_phase(node::START + START_S * node::SECOND, LOST_WATCHES_S, true);
    let (lost_calls, lost_busiest, lost_full_lists) = (fleet.total(), fleet.peak_per_s(), fleet.full_lists);
    let list_bytes = listing::full_list(TARGET_SERVERS).len() as f64;
    let change_bytes = listing::server_change(2, 0, true).len() as f64;
    Ok(vec![
        MetricValue::measured("start_calls", "1", start_calls),
        MetricValue::measured("start_busiest", "1/s", start_busiest),
        MetricValue::measured("lost_calls", "1", lost_calls),
        MetricValue::measured("lost_busiest", "1/s", lost_busiest),
        MetricValue::measured("lost_whole", "1", lost_full_lists as f64),
        MetricValue::counted("whole_lists", "B", nodes as f64 * list_bytes),
        MetricValue::counted("change_told", "B", nodes as f64 * change_bytes),
        MetricValue::counted("change_lines", "1", nodes as f64),
    ])
}
