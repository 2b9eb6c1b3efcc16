//! Settings by reload: the whole text is read and taken by a running core, however little of it changed. The size is the
//! number of tenants that the text names.

use std::fmt::Write as _;

use stonevane_core::{Core, Input, Outputs};
use stonevane_policy::settings;

use super::{Figure, MeasureError, listing, node};
use crate::cpu;

/// As many as a text of some megabytes names.
pub const LARGEST: u64 = 100_000;
/// Cache servers that the node knows meanwhile.
const SERVERS: u64 = 4_200;
/// How often it is done; the middle one of the times counts.
const TIMES: usize = 9;

/// Memory that a measurement needs.
pub fn needs(tenants: u64) -> u64 {
    (96 << 20) + tenants * 2_048
}

/// A settings text with so many tenants, whose first has a quota that tells one text from another.
fn text(tenants: u64, quota: u64) -> String {
    let mut realms = String::new();
    for tenant in 0..tenants {
        let comma = if tenant == 0 { "" } else { "," };
        let quota = if tenant == 0 { quota } else { 1_000 + tenant % 977 };
        // A string takes all that is written to it.
        let _ = write!(realms, r#"{comma}{{"name":"tenant-{tenant:06}","quotaPerS":{quota}}}"#);
    }
    let zones: Vec<String> = listing::zones().iter().map(|zone| format!("{zone:?}")).collect();
    format!(
        r#"{{"balancers":18000,"me":17,"zone":3,"classes":[{{"name":"read","goalTimeUs":250000,"deadlineUs":1000000,"gain":1.0,"lateValue":0.2,"effect":"pure"}},{{"name":"write","goalTimeUs":500000,"deadlineUs":2000000,"gain":3.0,"lateValue":0.5,"effect":"token","dedupScope":"zone","dedupWindowUs":2000000}}],"realms":[{realms}],"zones":[{}],"machineTypes":["cache","origin"],"discovery":"ask","limits":{{"maxAttempts":3,"connectTimeoutUs":250000,"idleCloseUs":15000000,"maxOpen":20000}},"guarantees":{{"askWithinUs":10000000,"coldShare":0.25,"coldUs":10000000,"drainGraceUs":500000}}}}"#,
        zones.join(",")
    )
}

fn middle(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Measures the reload of a text with so many tenants.
///
/// # Errors
/// Where the text can't be read.
pub fn measure(tenants: u64, seed: u64) -> Result<Vec<Figure>, MeasureError> {
    let broken = |e: String| MeasureError::Broken(e);
    let known = serde_json::from_str(&listing::whole(SERVERS)).map_err(|e| broken(e.to_string()))?;
    let first = settings::read(text(tenants, 500).as_bytes()).map_err(|e| broken(e.to_string()))?;
    let mut core = Core::new(node::START, node::setup(first, known, 1024, seed));
    let (mut reading, mut taking, mut now) = (Vec::new(), Vec::new(), node::START);
    let mut outputs = Outputs::new();
    core.handle(now, Input::Wake, &mut outputs);
    for turn in 0..TIMES as u64 {
        let text = text(tenants, 501 + turn);
        let begun = cpu::thread_nanos();
        let deployment = settings::read(text.as_bytes()).map_err(|e| broken(e.to_string()))?;
        let read = cpu::thread_nanos();
        core.handle(now, Input::Settings(Box::new(deployment)), &mut outputs);
        let taken = cpu::thread_nanos();
        reading.push((read - begun) as f64 / 1e3);
        taking.push((taken - read) as f64 / 1e3);
        now += 2 * node::SECOND;
        core.handle(now, Input::Wake, &mut outputs);
        outputs.clear();
    }
    let reloads = core.report().reloads_ok;
    if reloads != TIMES as u64 {
        return Err(broken(format!("{reloads} of {TIMES} reloads were taken")));
    }
    Ok(vec![
        Figure::measured("text_bytes", "B", text(tenants, 500).len() as f64),
        Figure::measured("read_cpu", "us", middle(reading)),
        Figure::measured("take_cpu", "us", middle(taking)),
    ])
}
