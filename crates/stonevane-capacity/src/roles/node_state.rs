//! Memory of a node by the number of its cache servers, and processor time of placing one request, measured
//! with the real decision module.

use oorandom::Rand64;
use stonevane_core::Core;
use stonevane_policy::{Action, AttemptStatus, Event, LoadReport, Outcome, Policy, Request, ServerId};

use super::{MeasureError, MetricValue, listing, node};
use crate::cpu;
use crate::limits;

/// Maximum number of servers that can be measured: the longest list that the daemon accepts.
pub const LARGEST: u64 = 26_000;
/// Number of nodes that share the servers.
const NODES: u32 = 18_000;
/// Number of measured requests.
const REQUESTS: u64 = 2_000;
/// Number of requests before the measured ones, so that the decision module has statistics of some servers.
const WARMUP_REQUESTS: u64 = 200;
/// Time between a response and the next request, in microseconds.
const REQUEST_GAP_US: u64 = 1_285;
/// Time between a request and its response, in microseconds.
const RESPONSE_TIME_US: u64 = 2_000;
/// Number of `Core` instances that are built to determine the memory of one.
const CORE_COUNT: u64 = 24;
/// Requests per second of one node at the target.
const REQUESTS_PER_S: f64 = 778.0;

/// Estimated memory that a measurement needs, in bytes.
pub fn required_memory(servers: u64) -> u64 {
    (64 << 20) + servers * CORE_COUNT * 2_048
}

fn generated_list(servers: u64) -> Result<stonevane_core::EndpointList, MeasureError> {
    serde_json::from_str(&listing::full_list(servers)).map_err(|e| {
        MeasureError::UnexpectedBehavior(format!("the generated server list cannot be parsed: {e}"))
    })
}

/// Measures the resident memory of one core that has a list of `servers` servers, in bytes.
fn core_memory(servers: u64) -> Result<f64, MeasureError> {
    let mut cores = Vec::with_capacity(CORE_COUNT as usize);
    let list = listing::full_list(servers);
    let before = limits::resident_bytes();
    for seed in 0..CORE_COUNT {
        let generated_list = serde_json::from_str(&list).map_err(|e| {
            MeasureError::UnexpectedBehavior(format!("the generated server list cannot be parsed: {e}"))
        })?;
        cores.push(Core::new(node::START, node::setup(node::deployment(NODES), generated_list, 1024, seed)));
    }
    let core_memory = limits::resident_bytes().saturating_sub(before);
    Ok(core_memory as f64 / cores.len() as f64)
}

/// Measures the mean processor time of one placement and of processing its outcome, in nanoseconds.
fn placements(servers: u64, weights_are_sizes: bool, seed: u64) -> Result<[f64; 2], MeasureError> {
    let mut deployment = node::deployment(NODES);
    deployment.settings.weights_are_sizes = weights_are_sizes;
    let mut policy = Policy::new(deployment.settings, seed);
    let generated_list = generated_list(servers)?;
    let entries =
        generated_list.endpoints.iter().enumerate().map(|(at, endpoint)| stonevane_policy::ServerEntry {
            id: (at as ServerId).wrapping_mul(2_654_435_761) | 1,
            zone: (at % 57) as u8,
            cell: endpoint.group,
            weight: 1.0 + (at % 3) as f32,
            ..stonevane_policy::ServerEntry::default()
        });
    let (mut now, mut actions) = (node::START, Vec::new());
    let event = Event::ServerList { kind: stonevane_policy::ListUpdate::Full, servers: entries.collect() };
    policy.handle(now, event, &mut actions);
    let mut rng = Rand64::new(seed.into());
    let (mut placement_ns, mut outcome_ns, mut placed) = (0, 0, 0);
    for id in 1..=WARMUP_REQUESTS + REQUESTS {
        now += REQUEST_GAP_US;
        actions.clear();
        let key = rng.rand_u64().max(1);
        let request = Request { id, key, time_left: 1_900_000, ..Request::default() };
        let started = cpu::thread_nanos();
        policy.handle(now, Event::Request(request), &mut actions);
        let placement_done = cpu::thread_nanos();
        let server = actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        let Some(server) = server else {
            return Err(MeasureError::UnexpectedBehavior(format!(
                "request {id} was not placed: {actions:?}"
            )));
        };
        placed += 1;
        now += RESPONSE_TIME_US;
        actions.clear();
        let outcome = Outcome {
            request: id,
            attempt: 0,
            server,
            status: AttemptStatus::Served,
            request_finished: true,
            cache_status: stonevane_policy::CacheStatus::default(),
            elapsed: RESPONSE_TIME_US,
            load: LoadReport::default(),
            first_on_connection: false,
        };
        let outcome_started = cpu::thread_nanos();
        policy.handle(now, Event::Outcome(outcome), &mut actions);
        let outcome_done = cpu::thread_nanos();
        if id > WARMUP_REQUESTS {
            placement_ns += placement_done - started;
            outcome_ns += outcome_done - outcome_started;
        }
    }
    debug_assert_eq!(placed, WARMUP_REQUESTS + REQUESTS);
    Ok([placement_ns as f64 / REQUESTS as f64, outcome_ns as f64 / REQUESTS as f64])
}

/// Measures a node with `servers` cache servers.
///
/// # Errors
/// If the generated list cannot be parsed or a request is not placed.
pub fn measure(servers: u64, seed: u64) -> Result<Vec<MetricValue>, MeasureError> {
    let memory = core_memory(servers)?;
    let [placement_ns, outcome_ns] = placements(servers, false, seed)?;
    let [placement_by_size_ns, _] = placements(servers, true, seed)?;
    Ok(vec![
        MetricValue::measured("memory", "B", memory),
        MetricValue::measured("placement", "ns", placement_ns),
        MetricValue::measured("placement_by_size", "ns", placement_by_size_ns),
        MetricValue::measured("outcome", "ns", outcome_ns),
        MetricValue::counted("core_share", "%", (placement_ns + outcome_ns) * REQUESTS_PER_S / 1e9 * 100.0),
    ])
}
