//! What a node holds of its cache servers, and what the placement of one request costs, with the real decision module.

use oorandom::Rand64;
use stonevane_core::Core;
use stonevane_policy::{Action, AttemptStatus, Event, LoadReport, Outcome, Policy, Request, ServerId};

use super::{Figure, MeasureError, listing, node};
use crate::cpu;
use crate::limits;

/// As many as one list of the daemon may hold.
pub const LARGEST: u64 = 26_000;
/// Nodes of the fleet that shares the servers.
const NODES: u32 = 18_000;
/// Requests that are placed.
const REQUESTS: u64 = 2_000;
/// Requests before them, so that the module has learned of some servers.
const WARMING: u64 = 200;
/// Time from one request to the next, and of an answer, in microseconds.
const EVERY: u64 = 1_285;
const TAKES: u64 = 2_000;
/// Cores that are built to see what one of them holds.
const COPIES: u64 = 24;
/// Requests a second at a node at the target.
const PER_SECOND: f64 = 778.0;

/// Memory that a measurement needs.
pub fn needs(servers: u64) -> u64 {
    (64 << 20) + servers * COPIES * 2_048
}

fn known(servers: u64) -> Result<stonevane_core::EndpointList, MeasureError> {
    serde_json::from_str(&listing::whole(servers)).map_err(|e| MeasureError::Broken(format!("no list: {e}")))
}

/// Bytes that one core holds for a list of servers.
fn held(servers: u64) -> Result<f64, MeasureError> {
    let mut cores = Vec::with_capacity(COPIES as usize);
    let list = listing::whole(servers);
    let before = limits::resident();
    for seed in 0..COPIES {
        let known = serde_json::from_str(&list).map_err(|e| MeasureError::Broken(format!("no list: {e}")))?;
        cores.push(Core::new(node::START, node::setup(node::deployment(NODES), known, 1024, seed)));
    }
    let held = limits::resident().saturating_sub(before);
    Ok(held as f64 / cores.len() as f64)
}

/// The time of one placement in nanoseconds, and of the outcome that follows it.
fn placements(servers: u64, sized: bool, seed: u64) -> Result<[f64; 2], MeasureError> {
    let mut deployment = node::deployment(NODES);
    deployment.settings.weights_are_sizes = sized;
    let mut policy = Policy::new(deployment.settings, seed);
    let known = known(servers)?;
    let lines = known.endpoints.iter().enumerate().map(|(at, endpoint)| stonevane_policy::ServerEntry {
        id: (at as ServerId).wrapping_mul(2_654_435_761) | 1,
        zone: (at % 57) as u8,
        cell: endpoint.group,
        weight: 1.0 + (at % 3) as f32,
        ..stonevane_policy::ServerEntry::default()
    });
    let (mut now, mut actions) = (node::START, Vec::new());
    let event = Event::ServerList { kind: stonevane_policy::ListUpdate::Full, servers: lines.collect() };
    policy.handle(now, event, &mut actions);
    let mut rng = Rand64::new(seed.into());
    let (mut placing, mut learning, mut placed) = (0, 0, 0);
    for id in 1..=WARMING + REQUESTS {
        now += EVERY;
        actions.clear();
        let key = rng.rand_u64().max(1);
        let request = Request { id, key, time_left: 1_900_000, ..Request::default() };
        let begun = cpu::thread_nanos();
        policy.handle(now, Event::Request(request), &mut actions);
        let done = cpu::thread_nanos();
        let server = actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        let Some(server) = server else {
            return Err(MeasureError::Broken(format!("a request was not placed: {actions:?}")));
        };
        placed += 1;
        now += TAKES;
        actions.clear();
        let outcome = Outcome {
            request: id,
            attempt: 0,
            server,
            status: AttemptStatus::Served,
            request_finished: true,
            cache_status: stonevane_policy::CacheStatus::default(),
            elapsed: TAKES,
            load: LoadReport::default(),
            first_on_connection: false,
        };
        let answered = cpu::thread_nanos();
        policy.handle(now, Event::Outcome(outcome), &mut actions);
        let learned = cpu::thread_nanos();
        if id > WARMING {
            placing += done - begun;
            learning += learned - answered;
        }
    }
    debug_assert_eq!(placed, WARMING + REQUESTS);
    Ok([placing as f64 / REQUESTS as f64, learning as f64 / REQUESTS as f64])
}

/// Measures a node before so many servers.
///
/// # Errors
/// Where a request is not placed.
pub fn measure(servers: u64, seed: u64) -> Result<Vec<Figure>, MeasureError> {
    let memory = held(servers)?;
    let [placing, learning] = placements(servers, false, seed)?;
    let [placing_sized, _] = placements(servers, true, seed)?;
    Ok(vec![
        Figure::measured("memory", "B", memory),
        Figure::measured("placement", "ns", placing),
        Figure::measured("placement_by_size", "ns", placing_sized),
        Figure::measured("outcome", "ns", learning),
        Figure::counted("core_share", "%", (placing + learning) * PER_SECOND / 1e9 * 100.0),
    ])
}
