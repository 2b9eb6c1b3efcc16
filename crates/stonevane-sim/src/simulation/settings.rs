//! Settings of the simulated nodes, and the auditor's rules.

use stonevane_audit::{ClassRule, DedupScope, Idempotency, OriginRule, Rules};
use stonevane_policy::settings::Deployment;
use stonevane_policy::{RequestClass, Settings, Tenant};

use crate::client::{READ, REQUEST_KINDS, RequestKind};
use crate::plan::Plan;
use crate::server::{COLD_SHARE, DEDUP_WINDOW_US, WARM_UP_US};

/// Maximum number of a node's attempts for a request.
const MAX_ATTEMPTS: u32 = 4;
/// Time after SIGTERM within which a node may still accept a request, microseconds; it then waits for the
/// request's answer.
const TERM_ACCEPT_WINDOW_US: u64 = 450_000;
/// Longest time for which a node's server list may be out of date, microseconds, in a normal and in a large
/// fleet; the platform allows a large fleet more.
const LIST_STALENESS_US: u64 = 6_000_000;
const LARGE_FLEET_LIST_STALENESS_US: u64 = 10_000_000;
/// Maximum number of a node's open connections to a server.
const MAX_SERVER_CONNECTIONS: usize = 1_024;

/// Returns the auditor's rules.
pub fn rules() -> Rules {
    let class = |kind: &RequestKind| ClassRule {
        name: kind.name.into(),
        kind: match (kind.has_idempotency_key, kind.may_retry) {
            (true, _) => Idempotency::WithKey,
            (false, true) => Idempotency::Idempotent,
            (false, false) => Idempotency::NonIdempotent,
        },
        scope: DedupScope::All,
        window_us: DEDUP_WINDOW_US,
    };
    Rules {
        classes: REQUEST_KINDS.iter().map(class).collect(),
        origin: OriginRule { capacity_us_per_s: 4e6, ..OriginRule::default() },
        // A plan may kill a node that accepted a request after SIGTERM and still waits for its answer, which
        // is no fault of the node.
        kill_grace_us: TERM_ACCEPT_WINDOW_US + REQUEST_KINDS[READ].deadline_us,
        shutdown_limit_us: 3_200_000,
        max_attempts: MAX_ATTEMPTS,
        ..Rules::default()
    }
}

fn request_class(kind: &RequestKind) -> RequestClass {
    use stonevane_policy::{DedupScope, Idempotency};
    RequestClass {
        latency_objective: kind.deadline_us / 2,
        deadline: kind.deadline_us,
        priority_weight: 1.0,
        late_weight: 0.5,
        idempotency: match (kind.has_idempotency_key, kind.may_retry) {
            (true, _) => Idempotency::WithKey { scope: DedupScope::All, window: DEDUP_WINDOW_US },
            (false, true) => Idempotency::Idempotent,
            (false, false) => Idempotency::NonIdempotent,
        },
    }
}

/// Returns the settings of the node with the index `node`.
pub fn deployment(plan: &Plan, node: usize) -> Deployment {
    let is_large = plan.discovery_call_us.is_some();
    let settings = Settings {
        nodes: plan.nodes as u32,
        node_index: node as u32,
        classes: REQUEST_KINDS.iter().map(request_class).collect(),
        tenants: vec![Tenant { quota_per_s: plan.requests_per_s * 2.0 + 100.0 }],
        poll_discovery: true,
        list_staleness_limit: if is_large { LARGE_FLEET_LIST_STALENESS_US } else { LIST_STALENESS_US },
        origin_kind: Some(1),
        max_attempts: MAX_ATTEMPTS,
        may_cancel: true,
        max_retry_after: 1_500_000,
        tick: 2_000,
        initial_capacity: COLD_SHARE,
        slow_start_duration: WARM_UP_US,
        overload_multiple: 3.0,
        overload_window: 2_000_000,
        drain_grace: 500_000,
        ..Settings::default()
    };
    let owned = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    Deployment {
        settings,
        classes: REQUEST_KINDS.iter().map(|kind| kind.name.to_owned()).collect(),
        tenants: owned(&["all"]),
        zones: owned(&["a"]),
        machine_types: owned(&["cache", "origin"]),
        load_metric_names: Vec::new(),
        connect_timeout: 100_000,
        idle_timeout: 10_000_000,
        max_open: MAX_SERVER_CONNECTIONS,
    }
}
