//! Reload of the settings: a running core parses and applies the full settings even if only a small part
//! changed. The size is the number of tenants in the settings.

use std::fmt::Write as _;

use stonevane_core::{Core, Input, Outputs};
use stonevane_policy::settings;

use super::{MeasureError, MetricValue, listing, node};
use crate::cpu;

/// Maximum number of tenants that can be measured; their settings are a few megabytes long.
pub const LARGEST: u64 = 100_000;
/// Number of cache servers in the node's list during the reloads.
const SERVERS: u64 = 4_200;
/// Number of reloads; the median time is reported.
const REPETITIONS: usize = 9;

/// Estimated memory that a measurement needs, in bytes.
pub fn required_memory(tenants: u64) -> u64 {
    (96 << 20) + tenants * 2_048
}

/// Settings with `tenants` tenants as JSON. `quota` is the quota of the first tenant; callers vary it so
/// that each reload changes the settings.
fn settings_json(tenants: u64, quota: u64) -> String {
    let mut tenant_list = String::new();
    for tenant in 0..tenants {
        let comma = if tenant == 0 { "" } else { "," };
        let quota = if tenant == 0 { quota } else { 1_000 + tenant % 977 };
        // Writing to a string does not fail.
        let _ = write!(tenant_list, r#"{comma}{{"name":"tenant-{tenant:06}","quotaPerS":{quota}}}"#);
    }
    let zones: Vec<String> = listing::zone_names().iter().map(|zone| format!("{zone:?}")).collect();
    format!(
        r#"{{"balancers":18000,"me":17,"zone":3,"classes":[{{"name":"read","goalTimeUs":250000,"deadlineUs":1000000,"gain":1.0,"lateValue":0.2,"effect":"pure"}},{{"name":"write","goalTimeUs":500000,"deadlineUs":2000000,"gain":3.0,"lateValue":0.5,"effect":"token","dedupScope":"zone","dedupWindowUs":2000000}}],"realms":[{tenant_list}],"zones":[{}],"machineTypes":["cache","origin"],"discovery":"ask","limits":{{"maxAttempts":3,"connectTimeoutUs":250000,"idleCloseUs":15000000,"maxOpen":20000}},"guarantees":{{"askWithinUs":10000000,"coldShare":0.25,"coldUs":10000000,"drainGraceUs":500000}}}}"#,
        zones.join(",")
    )
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Measures the reload of settings with `tenants` tenants.
///
/// # Errors
/// If the settings cannot be read or a reload is not applied.
pub fn measure(tenants: u64, seed: u64) -> Result<Vec<MetricValue>, MeasureError> {
    let unexpected = |e: String| MeasureError::UnexpectedBehavior(e);
    let known = serde_json::from_str(&listing::full_list(SERVERS)).map_err(|e| unexpected(e.to_string()))?;
    let first =
        settings::read(settings_json(tenants, 500).as_bytes()).map_err(|e| unexpected(e.to_string()))?;
    let mut core = Core::new(node::START, node::setup(first, known, 1024, seed));
    let (mut read_us, mut apply_us, mut now) = (Vec::new(), Vec::new(), node::START);
    let mut outputs = Outputs::new();
    core.handle(now, Input::Wake, &mut outputs);
    for round in 0..REPETITIONS as u64 {
        let settings_json = settings_json(tenants, 501 + round);
        let started = cpu::thread_nanos();
        let deployment = settings::read(settings_json.as_bytes()).map_err(|e| unexpected(e.to_string()))?;
        let read = cpu::thread_nanos();
        core.handle(now, Input::Settings(Box::new(deployment)), &mut outputs);
        let applied = cpu::thread_nanos();
        read_us.push((read - started) as f64 / 1e3);
        apply_us.push((applied - read) as f64 / 1e3);
        now += 2 * node::SECOND;
        core.handle(now, Input::Wake, &mut outputs);
        outputs.clear();
    }
    let reloads = core.report().reloads_ok;
    if reloads != REPETITIONS as u64 {
        return Err(unexpected(format!("the core applied {reloads} of {REPETITIONS} reloads")));
    }
    Ok(vec![
        MetricValue::measured("text_bytes", "B", settings_json(tenants, 500).len() as f64),
        MetricValue::measured("read_cpu", "us", median(read_us)),
        MetricValue::measured("take_cpu", "us", median(apply_us)),
    ])
}
