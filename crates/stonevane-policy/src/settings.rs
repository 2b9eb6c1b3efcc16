//! The settings text of a deployment, as the simulator's first message and a node's configuration hold it.

use serde::Deserialize;

use crate::interface::{DedupScope, Idempotency, LoadMetric, Micros, RequestClass, Settings, Tenant};

/// A deployment: what the module is told of it, and what only the node round the module needs.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// What the module is told.
    pub settings: Settings,
    /// Names of the classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub machine_types: Vec<String>,
    /// Names of the figures in a load report, in the order of [`Settings::load_fields`].
    pub load_metric_names: Vec<String>,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Micros,
    /// Servers close a connection that was idle for this long.
    pub idle_close: Micros,
    /// Requests that a node may hold open at once.
    pub max_open: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Wire {
    balancers: u32,
    me: u32,
    zone: u8,
    classes: Vec<WireClass>,
    realms: Vec<WireRealm>,
    zones: Vec<String>,
    machine_types: Vec<String>,
    discovery: String,
    specifics: Specifics,
    limits: Limits,
    guarantees: Guarantees,
    prices: Prices,
    report: Report,
    weight_source: String,
    period_us: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireClass {
    name: String,
    goal_time_us: f64,
    deadline_us: f64,
    gain: f64,
    late_value: f64,
    effect: String,
    dedup_scope: String,
    dedup_window_us: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireRealm {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Specifics {
    mode: String,
    origin_kind: i64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    max_attempts: u32,
    may_duplicate: bool,
    may_cancel: bool,
    probes: bool,
    peers: bool,
    retry_after: bool,
    max_retry_after_us: f64,
    connect_timeout_us: f64,
    idle_close_us: f64,
    max_open: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Guarantees {
    ask_within_us: f64,
    cold_share: f64,
    cold_us: f64,
    drain_grace_us: f64,
    fall_multiple: f64,
    tip_after_us: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Prices {
    connection: f64,
    handshake: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Report {
    fields: Vec<String>,
}

impl Default for Wire {
    fn default() -> Self {
        let base = Settings::default();
        Wire {
            balancers: base.nodes,
            me: base.node_index,
            zone: base.zone,
            classes: Vec::new(),
            realms: Vec::new(),
            zones: Vec::new(),
            machine_types: Vec::new(),
            discovery: "push".into(),
            specifics: Specifics::default(),
            limits: Limits::default(),
            guarantees: Guarantees::default(),
            prices: Prices::default(),
            report: Report::default(),
            weight_source: "silent".into(),
            period_us: base.tick as f64,
        }
    }
}

impl Default for WireClass {
    fn default() -> Self {
        let base = RequestClass::default();
        WireClass {
            name: String::new(),
            goal_time_us: base.latency_objective as f64,
            deadline_us: base.deadline as f64,
            gain: base.priority_weight,
            late_value: base.late_weight,
            effect: "side_effect".into(),
            dedup_scope: "cell".into(),
            dedup_window_us: 0.0,
        }
    }
}

impl Default for Specifics {
    fn default() -> Self {
        Specifics { mode: "through".into(), origin_kind: -1 }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_attempts: Settings::default().max_attempts,
            may_duplicate: false,
            may_cancel: false,
            probes: false,
            peers: false,
            retry_after: false,
            max_retry_after_us: 0.0,
            connect_timeout_us: 250_000.0,
            idle_close_us: 15_000_000.0,
            max_open: 20_000,
        }
    }
}

impl Default for Guarantees {
    fn default() -> Self {
        let base = Settings::default();
        Guarantees {
            ask_within_us: base.list_staleness_limit as f64,
            cold_share: base.initial_capacity,
            cold_us: base.slow_start_duration as f64,
            drain_grace_us: base.drain_grace as f64,
            fall_multiple: base.overload_multiple,
            tip_after_us: base.overload_window as f64,
        }
    }
}

/// No time in the settings is longer: a day, microseconds. Sums of some of them stay far from what a number holds.
const LONGEST: f64 = 86_400e6;

/// What no deployment means: a text that was spoilt or is in other units.
fn check(wire: &Wire) -> Result<(), String> {
    let absurd = |name: &str, value: f64, bounds: &str| {
        Err(format!("unreadable settings: {name} is {value}, and is to be {bounds}"))
    };
    if wire.balancers == 0 {
        return absurd("balancers", 0.0, "1 at the least");
    }
    if wire.me >= wire.balancers {
        return absurd("me", f64::from(wire.me), "less than balancers");
    }
    if wire.discovery == "ask" && wire.guarantees.ask_within_us < 1.0 {
        return absurd("askWithinUs", wire.guarantees.ask_within_us, "more than 0 where discovery is asked");
    }
    let (limits, rules) = (&wire.limits, &wire.guarantees);
    let classes = wire.classes.iter();
    let times = classes.flat_map(|c| {
        [("goalTimeUs", c.goal_time_us), ("deadlineUs", c.deadline_us), ("dedupWindowUs", c.dedup_window_us)]
    });
    let times = times.chain([
        ("periodUs", wire.period_us),
        ("maxRetryAfterUs", limits.max_retry_after_us),
        ("connectTimeoutUs", limits.connect_timeout_us),
        ("idleCloseUs", limits.idle_close_us),
        ("askWithinUs", rules.ask_within_us),
        ("coldUs", rules.cold_us),
        ("drainGraceUs", rules.drain_grace_us),
        ("tipAfterUs", rules.tip_after_us),
    ]);
    for class in &wire.classes {
        if class.name.is_empty() || wire.classes.iter().filter(|other| other.name == class.name).count() > 1 {
            return Err(format!("unreadable settings: a class without a name, or {:?} twice", class.name));
        }
        for (name, value) in [("goalTimeUs", class.goal_time_us), ("deadlineUs", class.deadline_us)] {
            if !(value >= 1.0 && value.is_finite()) {
                return absurd(name, value, "more than 0");
            }
        }
    }
    if limits.max_attempts == 0 {
        return absurd("maxAttempts", 0.0, "1 at the least");
    }
    for (name, value) in times {
        if value > LONGEST {
            return absurd(name, value, "a day at the most");
        }
    }
    match wire.realms.iter().find(|realm| !(0.0..=1e9).contains(&realm.quota_per_s)) {
        Some(realm) => absurd("quotaPerS", realm.quota_per_s, "from 0 to 1e9"),
        None => Ok(()),
    }
}

/// Reads a settings text; the error is one plain line.
pub fn read(text: &[u8]) -> Result<Deployment, String> {
    let wire: Wire = serde_json::from_slice(text).map_err(|e| format!("unreadable settings: {e}"))?;
    check(&wire)?;
    let mut classes = Vec::with_capacity(wire.classes.len());
    for c in &wire.classes {
        classes.push(class(c)?);
    }
    let origin = (wire.specifics.mode == "aside").then(|| u16::try_from(wire.specifics.origin_kind).ok());
    let limits = wire.limits;
    let settings = Settings {
        nodes: wire.balancers,
        node_index: wire.me,
        zone: wire.zone,
        classes,
        tenants: wire.realms.iter().map(|r| Tenant { quota_per_s: r.quota_per_s }).collect(),
        poll_discovery: wire.discovery == "ask",
        list_staleness_limit: micros(wire.guarantees.ask_within_us),
        origin_kind: origin.flatten(),
        weights_are_sizes: matches!(wire.weight_source.as_str(), "nominal" | "rough"),
        weights_are_live: wire.weight_source == "live",
        load_metrics: wire.report.fields.iter().map(|f| load_field(f)).collect(),
        max_attempts: limits.max_attempts,
        may_duplicate: limits.may_duplicate,
        may_cancel: limits.may_cancel,
        may_health_check: limits.probes,
        may_message_peers: limits.peers,
        // Not of the platform: the node sets it where its own store shares them.
        coalesce_fetches: false,
        // Not of the platform: the operator may set it.
        startup_attempts_per_server: Settings::default().startup_attempts_per_server,
        // Not of the platform: the node sets it where it uses a part of the cache servers.
        total_cache_weight: Settings::default().total_cache_weight,
        connection_price: wire.prices.connection,
        handshake_price: wire.prices.handshake,
        max_retry_after: if limits.retry_after { micros(limits.max_retry_after_us) } else { 0 },
        tick: micros(wire.period_us),
        initial_capacity: wire.guarantees.cold_share,
        slow_start_duration: micros(wire.guarantees.cold_us),
        overload_multiple: wire.guarantees.fall_multiple,
        overload_window: micros(wire.guarantees.tip_after_us),
        drain_grace: micros(wire.guarantees.drain_grace_us),
    };
    Ok(Deployment {
        settings,
        classes: wire.classes.into_iter().map(|c| c.name).collect(),
        tenants: wire.realms.into_iter().map(|r| r.name).collect(),
        zones: wire.zones,
        machine_types: wire.machine_types,
        load_metric_names: wire.report.fields,
        connect_timeout: micros(limits.connect_timeout_us),
        idle_close: micros(limits.idle_close_us),
        max_open: limits.max_open,
    })
}

fn class(c: &WireClass) -> Result<RequestClass, String> {
    let group = match c.dedup_scope.as_str() {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        _ => DedupScope::Cell,
    };
    let effect = match c.effect.as_str() {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::WithKey { scope: group, window: micros(c.dedup_window_us) },
        "side_effect" => Idempotency::NonIdempotent,
        other => {
            return Err(format!("unreadable settings: unknown effect {other:?} of a class"));
        }
    };
    Ok(RequestClass {
        latency_objective: micros(c.goal_time_us),
        deadline: micros(c.deadline_us),
        priority_weight: c.gain,
        late_weight: c.late_value,
        idempotency: effect,
    })
}

fn load_field(name: &str) -> LoadMetric {
    match name {
        "rif" => LoadMetric::InFlight,
        "q" => LoadMetric::Queued,
        "busy" => LoadMetric::Busy,
        "lat_ms" => LoadMetric::ServiceMs,
        "rate" => LoadMetric::Rate,
        "fail_rate" => LoadMetric::ErrorRate,
        _ => LoadMetric::Other,
    }
}

/// Saturating: a negative figure counts as 0.
fn micros(value: f64) -> Micros {
    value as Micros
}
