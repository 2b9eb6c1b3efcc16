//! Parser of a deployment's settings text (JSON), which the simulator's first message and a node's
//! configuration contain.
//!
//! The field names of the text are part of the protocol. Only this module maps them to [`Settings`].

use serde::Deserialize;

use super::{DedupScope, Idempotency, RequestClass, Settings, Tenant};
use crate::ids::Micros;

/// Reason for which a settings text is rejected. Its message is a single line.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON, or a field has the wrong type.
    #[error("unreadable settings: {0}")]
    Syntax(#[from] serde_json::Error),
    /// A number is outside its bounds, so that the text is corrupt or in other units.
    #[error("unreadable settings: {field} is {value}, expected {bounds}")]
    OutOfBounds {
        /// Name of the field in the text.
        field: &'static str,
        /// Value of the field.
        value: f64,
        /// Accepted values.
        bounds: &'static str,
    },
    /// A class has no name, or its name is not unique.
    #[error("unreadable settings: class name {0:?} is empty or not unique, expected a unique name")]
    ClassName(String),
    /// The effect of a class is none of the known ones.
    #[error("unreadable settings: class effect is {0:?}, expected pure, token or side_effect")]
    UnknownEffect(String),
}

/// A deployment: the settings of the policy, and settings that only the embedding node needs. Durations are
/// in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Settings of the policy.
    pub settings: Settings,
    /// Names of the classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Names of the zones; [`Settings::zone`] is a position in this list.
    pub zones: Vec<String>,
    /// Names of the machine kinds; [`Settings::origin_kind`] is a position in this list.
    pub machine_types: Vec<String>,
    /// Names of the metrics in a load report, in the order of
    /// [`LoadReport::values`](crate::LoadReport::values).
    pub load_metric_names: Vec<String>,
    /// Time after which an attempt to connect has failed.
    pub connect_timeout: Micros,
    /// Idle time after which servers close a connection.
    pub idle_timeout: Micros,
    /// Maximum number of requests that a node may hold open at once.
    pub max_open: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireSettings {
    balancers: u32,
    me: u32,
    zone: u8,
    classes: Vec<WireClass>,
    realms: Vec<WireTenant>,
    zones: Vec<String>,
    machine_types: Vec<String>,
    discovery: String,
    specifics: WireSpecifics,
    limits: WireLimits,
    guarantees: WireGuarantees,
    prices: WirePrices,
    report: WireReport,
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
struct WireTenant {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireSpecifics {
    mode: String,
    origin_kind: i64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireLimits {
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
struct WireGuarantees {
    ask_within_us: f64,
    cold_share: f64,
    cold_us: f64,
    drain_grace_us: f64,
    fall_multiple: f64,
    tip_after_us: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WirePrices {
    connection: f64,
    handshake: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireReport {
    fields: Vec<String>,
}

impl Default for WireSettings {
    fn default() -> Self {
        let base = Settings::default();
        WireSettings {
            balancers: base.nodes,
            me: base.node_index,
            zone: base.zone,
            classes: Vec::new(),
            realms: Vec::new(),
            zones: Vec::new(),
            machine_types: Vec::new(),
            discovery: "push".into(),
            specifics: WireSpecifics::default(),
            limits: WireLimits::default(),
            guarantees: WireGuarantees::default(),
            prices: WirePrices::default(),
            report: WireReport::default(),
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

impl Default for WireSpecifics {
    fn default() -> Self {
        WireSpecifics { mode: "through".into(), origin_kind: -1 }
    }
}

impl Default for WireLimits {
    fn default() -> Self {
        WireLimits {
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

impl Default for WireGuarantees {
    fn default() -> Self {
        let base = Settings::default();
        WireGuarantees {
            ask_within_us: base.list_staleness_limit as f64,
            cold_share: base.initial_capacity,
            cold_us: base.slow_start_duration as f64,
            drain_grace_us: base.drain_grace as f64,
            fall_multiple: base.overload_multiple,
            tip_after_us: base.overload_window as f64,
        }
    }
}

/// Longest duration in the settings, in microseconds: one day. Sums of several such durations do not
/// overflow.
const MAX_TIME_US: f64 = 86_400e6;
/// Highest quota of a tenant, in requests per second.
const MAX_QUOTA_PER_S: f64 = 1e9;

fn out_of_bounds(field: &'static str, value: f64, bounds: &'static str) -> Result<(), SettingsError> {
    Err(SettingsError::OutOfBounds { field, value, bounds })
}

/// Rejects numbers outside their bounds.
fn validate(wire: &WireSettings) -> Result<(), SettingsError> {
    if wire.balancers == 0 {
        return out_of_bounds("balancers", 0.0, "at least 1");
    }
    if wire.me >= wire.balancers {
        return out_of_bounds("me", f64::from(wire.me), "less than balancers");
    }
    let staleness = wire.guarantees.ask_within_us;
    if wire.discovery == "ask" && staleness < 1.0 {
        return out_of_bounds("askWithinUs", staleness, "at least 1 if discovery is \"ask\"");
    }
    validate_classes(&wire.classes)?;
    if wire.limits.max_attempts == 0 {
        return out_of_bounds("maxAttempts", 0.0, "at least 1");
    }
    validate_times(wire)?;
    match wire.realms.iter().find(|realm| !(0.0..=MAX_QUOTA_PER_S).contains(&realm.quota_per_s)) {
        Some(realm) => out_of_bounds("quotaPerS", realm.quota_per_s, "from 0 to 1e9"),
        None => Ok(()),
    }
}

fn validate_classes(classes: &[WireClass]) -> Result<(), SettingsError> {
    for class in classes {
        if class.name.is_empty() || classes.iter().filter(|other| other.name == class.name).count() > 1 {
            return Err(SettingsError::ClassName(class.name.clone()));
        }
        for (field, value) in [("goalTimeUs", class.goal_time_us), ("deadlineUs", class.deadline_us)] {
            if !(value >= 1.0 && value.is_finite()) {
                return out_of_bounds(field, value, "a finite number of at least 1");
            }
        }
    }
    Ok(())
}

fn validate_times(wire: &WireSettings) -> Result<(), SettingsError> {
    let (limits, guarantees) = (&wire.limits, &wire.guarantees);
    let of_classes = wire.classes.iter().flat_map(|class| {
        [
            ("goalTimeUs", class.goal_time_us),
            ("deadlineUs", class.deadline_us),
            ("dedupWindowUs", class.dedup_window_us),
        ]
    });
    let times = of_classes.chain([
        ("periodUs", wire.period_us),
        ("maxRetryAfterUs", limits.max_retry_after_us),
        ("connectTimeoutUs", limits.connect_timeout_us),
        ("idleCloseUs", limits.idle_close_us),
        ("askWithinUs", guarantees.ask_within_us),
        ("coldUs", guarantees.cold_us),
        ("drainGraceUs", guarantees.drain_grace_us),
        ("tipAfterUs", guarantees.tip_after_us),
    ]);
    for (field, value) in times {
        if value > MAX_TIME_US {
            return out_of_bounds(field, value, "at most 86400000000 (one day)");
        }
    }
    Ok(())
}

/// Parses a settings text.
///
/// # Errors
///
/// Returns an error if the text is not JSON of the expected form, or if a value is outside its bounds.
pub fn read(text: &[u8]) -> Result<Deployment, SettingsError> {
    let wire: WireSettings = serde_json::from_slice(text)?;
    validate(&wire)?;
    let settings = typed_settings(&wire)?;
    Ok(Deployment {
        settings,
        classes: wire.classes.into_iter().map(|class| class.name).collect(),
        tenants: wire.realms.into_iter().map(|realm| realm.name).collect(),
        zones: wire.zones,
        machine_types: wire.machine_types,
        load_metric_names: wire.report.fields,
        connect_timeout: micros(wire.limits.connect_timeout_us),
        idle_timeout: micros(wire.limits.idle_close_us),
        max_open: wire.limits.max_open,
    })
}

fn typed_settings(wire: &WireSettings) -> Result<Settings, SettingsError> {
    let (limits, guarantees) = (&wire.limits, &wire.guarantees);
    let defaults = Settings::default();
    let has_origin = wire.specifics.mode == "aside";
    Ok(Settings {
        nodes: wire.balancers,
        node_index: wire.me,
        zone: wire.zone,
        classes: wire.classes.iter().map(request_class).collect::<Result<_, _>>()?,
        tenants: wire.realms.iter().map(|realm| Tenant { quota_per_s: realm.quota_per_s }).collect(),
        poll_discovery: wire.discovery == "ask",
        list_staleness_limit: micros(guarantees.ask_within_us),
        origin_kind: u16::try_from(wire.specifics.origin_kind).ok().filter(|_| has_origin),
        weights_are_sizes: matches!(wire.weight_source.as_str(), "nominal" | "rough"),
        weights_are_live: wire.weight_source == "live",
        max_attempts: limits.max_attempts,
        may_duplicate: limits.may_duplicate,
        may_cancel: limits.may_cancel,
        may_health_check: limits.probes,
        may_message_peers: limits.peers,
        // The next three are not part of the text; the node or its operator sets them.
        coalesce_fetches: defaults.coalesce_fetches,
        startup_attempts_per_server: defaults.startup_attempts_per_server,
        total_cache_weight: defaults.total_cache_weight,
        connection_price: wire.prices.connection,
        handshake_price: wire.prices.handshake,
        max_retry_after: if limits.retry_after { micros(limits.max_retry_after_us) } else { 0 },
        tick: micros(wire.period_us),
        initial_capacity: guarantees.cold_share,
        slow_start_duration: micros(guarantees.cold_us),
        overload_multiple: guarantees.fall_multiple,
        overload_window: micros(guarantees.tip_after_us),
        drain_grace: micros(guarantees.drain_grace_us),
    })
}

fn request_class(class: &WireClass) -> Result<RequestClass, SettingsError> {
    let scope = match class.dedup_scope.as_str() {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        _ => DedupScope::Cell,
    };
    let idempotency = match class.effect.as_str() {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::WithKey { scope, window: micros(class.dedup_window_us) },
        "side_effect" => Idempotency::NonIdempotent,
        other => return Err(SettingsError::UnknownEffect(other.to_owned())),
    };
    Ok(RequestClass {
        latency_objective: micros(class.goal_time_us),
        deadline: micros(class.deadline_us),
        priority_weight: class.gain,
        late_weight: class.late_value,
        idempotency,
    })
}

/// Converts to whole microseconds. Negative values become 0.
fn micros(value: f64) -> Micros {
    value as Micros
}
