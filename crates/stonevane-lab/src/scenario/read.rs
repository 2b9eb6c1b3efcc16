//! Parses the TOML text of a scenario.

use std::time::Duration;

use stonevane_config::{ConfigError, Document, Table};
use stonevane_emulators::cache::CacheSpec;
use stonevane_emulators::client::{Load, LoadClass, LoadPeak, Tenant};
use stonevane_emulators::discovery::DiscoverySpec;
use stonevane_emulators::origin::OriginSpec;
use stonevane_membership::Mutant;

use super::read_step::StepReader;
use super::{
    Expectation, FaultyMemberSpec, MembershipBounds, MembershipSpec, NodeSelector, Scenario, StoreSpec,
};

/// Longest duration of the load and of a step, and latest start of a step, in milliseconds.
pub(super) const MAX_DURATION_MS: u64 = 600_000;
const MAX_NODES: u64 = 400;
const MAX_CACHES: u64 = 200;
/// Longest time in the settings of a server, in milliseconds.
const MAX_SERVER_MS: u64 = 600_000;
/// Length of a written value, in bytes.
const VALUE_LEN_BYTES: usize = 24;

pub(super) fn scenario(text: &str) -> Result<Scenario, Vec<ConfigError>> {
    let document = Document::parse(text);
    let root = document.root();
    let mut scenario = defaults(&root);
    read_section(&root, "fleet", |table| read_fleet(&mut scenario, table));
    read_section(&root, "store", |table| scenario.store = Some(read_store(table)));
    read_section(&root, "membership", |table| scenario.membership = Some(read_membership(table)));
    let load = root.table("load");
    scenario.quota =
        load.as_ref().map_or(scenario.quota, |table| table.number("quota", scenario.quota, 0.0..=100.0));
    scenario.load = read_load(load.as_ref());
    read_tenants(&mut scenario, root.tables("tenant"));
    scenario.load.peaks = root.tables("crowd").into_iter().map(read_peak).collect();
    if let Some(table) = load {
        table.finish();
    }
    for table in root.tables("fault") {
        let step = StepReader::new(&scenario, &table).read();
        scenario.steps.extend(step);
        table.finish();
    }
    scenario.steps.sort_by_key(|step| step.at);
    scenario.expects = read_expectations(&root, "expect");
    scenario.short_expects = read_expectations(&root, "short_expect");
    root.finish();
    let errors = document.errors();
    if errors.is_empty() { Ok(scenario) } else { Err(errors) }
}

/// Reads a section if the file has it.
fn read_section(root: &Table<'_, '_>, name: &str, read: impl FnOnce(&Table<'_, '_>)) {
    if let Some(table) = root.table(name) {
        read(&table);
        table.finish();
    }
}

/// Returns a scenario with the root's own keys and the defaults of all sections.
fn defaults(root: &Table<'_, '_>) -> Scenario {
    Scenario {
        name: root.required("name"),
        about: root.text("about").unwrap_or_default(),
        seed: root.integer("seed", 1, 0..=u64::MAX >> 1),
        nodes: 2,
        caches: 4,
        cache: CacheSpec::default(),
        origin: OriginSpec::default(),
        store: None,
        warm_keys: 0.8,
        zones: Vec::new(),
        min_zone_delay_us: 1_400,
        max_zone_delay_us: 2_600,
        discovery_delay: Duration::from_millis(300),
        discovery: DiscoverySpec::default(),
        watches_discovery: false,
        max_attempts: 4,
        hedging: true,
        sockets: 256,
        memory_mb: 48,
        load: Load::default(),
        tenant_shares: Vec::new(),
        quota: 2.0,
        short: root.number("short", 1.0, 0.05..=1.0),
        short_expects: Vec::new(),
        steps: Vec::new(),
        expects: Vec::new(),
        membership: None,
        startup_limit: true,
    }
}

fn read_fleet(scenario: &mut Scenario, table: &Table<'_, '_>) {
    scenario.nodes = table.integer("nodes", 2, 1..=MAX_NODES) as usize;
    scenario.caches = table.integer("caches", 4, 1..=MAX_CACHES) as usize;
    scenario.warm_keys = table.number("warm_keys", scenario.warm_keys, 0.0..=1.0);
    scenario.discovery_delay = Duration::from_millis(table.integer("late_ms", 300, 0..=60_000));
    scenario.discovery = DiscoverySpec {
        work_per_call: Duration::from_millis(table.integer("call_ms", 2, 0..=5_000)),
        work_per_entry: Duration::from_micros(table.integer("line_us", 0, 0..=1_000_000)),
        max_queued_work: Duration::from_millis(table.integer("overbooked_ms", 8_000, 0..=600_000)),
    };
    scenario.watches_discovery = table.flag("pushed", false);
    scenario.zones = table.texts("sites").into_iter().map(|(name, _)| name).collect();
    let delay_us = |key, default| table.integer(key, default, 0..=1_000_000);
    scenario.min_zone_delay_us = delay_us("between_least_us", scenario.min_zone_delay_us);
    scenario.max_zone_delay_us = delay_us("between_most_us", scenario.max_zone_delay_us);
    scenario.max_attempts = table.integer("max_attempts", 4, 0..=100) as u32;
    scenario.hedging = table.flag("second_copies", true);
    scenario.sockets = table.integer("sockets", scenario.sockets, 32..=1024);
    scenario.memory_mb = table.integer("memory_mb", scenario.memory_mb, 16..=4096);
    read_section(table, "cache", |table| read_cache(&mut scenario.cache, table));
    read_section(table, "origin", |table| read_origin(&mut scenario.origin, table));
}

/// Reads a time in milliseconds and returns it in microseconds.
fn time_us(table: &Table<'_, '_>, key: &str, default_us: u64) -> u64 {
    1_000 * table.integer(key, default_us / 1_000, 0..=MAX_SERVER_MS)
}

fn read_cache(spec: &mut CacheSpec, table: &Table<'_, '_>) {
    let integer = |key, default, bounds| table.integer(key, default as u64, bounds) as usize;
    spec.cores = integer("cores", spec.cores, 1..=256);
    spec.work_us = time_us(table, "work_ms", spec.work_us);
    spec.work_cv = table.number("work_cv", spec.work_cv, 0.0..=4.0);
    spec.queue_us = time_us(table, "queue_ms", spec.queue_us);
    spec.slow_start_share = table.number("cold_share", spec.slow_start_share, 0.01..=1.0);
    spec.warm_up_us = time_us(table, "warm_ms", spec.warm_up_us);
    spec.overload_multiple = table.number("fall_multiple", spec.overload_multiple, 1.0..=100.0);
    spec.overload_window_us = time_us(table, "fall_ms", spec.overload_window_us);
    spec.objects = integer("objects", spec.objects, 1..=1_000_000);
    spec.connections = integer("connections", spec.connections, 1..=10_000);
    spec.idle_us = time_us(table, "idle_ms", spec.idle_us);
    spec.value_len = integer("value_len", spec.value_len, 1..=65_536);
}

fn read_origin(spec: &mut OriginSpec, table: &Table<'_, '_>) {
    spec.slots = table.integer("slots", spec.slots as u64, 1..=256) as usize;
    spec.read_us = time_us(table, "read_ms", spec.read_us);
    spec.write_us = time_us(table, "write_ms", spec.write_us);
    spec.work_cv = table.number("work_cv", spec.work_cv, 0.0..=4.0);
    spec.queue_us = time_us(table, "queue_ms", spec.queue_us);
    spec.overload_multiple = table.number("fall_multiple", spec.overload_multiple, 1.0..=100.0);
    spec.overload_window_us = time_us(table, "fall_ms", spec.overload_window_us);
    spec.overload_stop_us = time_us(table, "stop_ms", spec.overload_stop_us);
}

fn read_store(table: &Table<'_, '_>) -> StoreSpec {
    let visibility = table.one_of("edit_visibility", &[("store", false), ("placement", true)]);
    StoreSpec {
        sqlite: false,
        call_timeout_ms: table.integer("stall_ms", 300, 10..=60_000),
        copy_lifetime_ms: table.integer("copy_ms", 10_000, 100..=600_000),
        waits_for_placement: visibility.unwrap_or(true),
        preloaded_keys: table.integer("holds", 500, 0..=20_000) as usize,
        fills_caches: table.flag("fills", true),
        shares_fetches: table.flag("share_fetches", true),
    }
}

fn read_membership(table: &Table<'_, '_>) -> MembershipSpec {
    let periods = |key, default| table.integer(key, default, 1..=10_000);
    MembershipSpec {
        period: Duration::from_millis(table.integer("period_ms", 400, 50..=10_000)),
        authenticated: table.flag("keyed", false),
        uses_local_health: table.flag("heeds_health", true),
        version_1_nodes: read_version_1_nodes(table),
        bounds: MembershipBounds {
            detection: periods("detect", 16),
            accuracy: periods("accuse", 12),
            refutation: periods("refute", 16),
            convergence: periods("converge", 30),
        },
        absent_members: table.integer("strangers", 0, 0..=10) as usize,
        faulty_member: read_mutant(table).map(|mutant| FaultyMemberSpec {
            node: table.integer("crooked_node", 0, 0..=MAX_NODES) as usize,
            mutant,
        }),
    }
}

fn read_version_1_nodes(table: &Table<'_, '_>) -> NodeSelector {
    let words = table.texts_or_text("speak_first");
    for (word, span) in &words {
        if !NodeSelector::is_word(word) {
            table.error(span.clone(), format!("`{word}` does not select nodes: `speak_first` takes `nodes`, `first-half`, `second-half` or `every-N`"));
        }
    }
    NodeSelector(words.into_iter().map(|(word, _)| word).collect())
}

fn read_mutant(table: &Table<'_, '_>) -> Option<Mutant> {
    let name = table.text("crooked")?;
    let mutant = Mutant::named(&name);
    if mutant.is_none() {
        let names: Vec<&str> = Mutant::ALL.iter().map(|(_, name, _)| *name).collect();
        table.unknown_value("crooked", &name, &names);
    }
    mutant
}

fn read_load(table: Option<&Table<'_, '_>>) -> Load {
    let base = Load::default();
    let integer = |key, default, bounds| table.map_or(default, |table| table.integer(key, default, bounds));
    let number = |key, default, bounds| table.map_or(default, |table| table.number(key, default, bounds));
    let tenant = |name: &str, share| Tenant { name: name.to_owned(), share };
    Load {
        classes: read_classes(table),
        requests_per_s: number("per_s", base.requests_per_s, 0.0..=50_000.0),
        duration_ms: integer("for_ms", base.duration_ms, 100..=MAX_DURATION_MS),
        peaks: Vec::new(),
        keys: integer("keys", base.keys as u64, 1..=1_000_000) as usize,
        zipf: number("zipf", base.zipf, 0.0..=3.0),
        offset: number("offset", base.offset, 0.0..=1_000.0),
        tenants: vec![tenant("coastline", 0.43), tenant("dishdash", 0.30), tenant("reef-eats", 0.27)],
        retries: integer("retries", 1, 0..=10) as u32,
        obeys_retry_after: number("honour", base.obeys_retry_after, 0.0..=1.0),
        backoff_ms: integer("backoff_ms", base.backoff_ms, 1..=10_000),
        impatient: number("impatient", base.impatient, 0.0..=1.0),
    }
}

/// Reads the shares and deadlines of the three classes: reads, idempotent writes, and writes that are not
/// idempotent. The last have a share of 0 by default, because the platform has no such writes.
fn read_classes(table: Option<&Table<'_, '_>>) -> Vec<LoadClass> {
    let share = |key, default| table.map_or(default, |table| table.number(key, default, 0.0..=1.0));
    let (edits, moves) = (share("edits", 0.05), share("moves", 0.0));
    let deadline_ms = |key, default| table.map_or(default, |table| table.integer(key, default, 50..=60_000));
    let read_deadline_ms = deadline_ms("deadline_ms", 1_500);
    let write_deadline_ms = deadline_ms("edit_deadline_ms", 300);
    let class = |name: &str, share, deadline_ms, write, idempotent| LoadClass {
        name: name.into(),
        share,
        deadline_ms,
        write,
        idempotent,
        retries_failures: !write || idempotent,
        value_len: VALUE_LEN_BYTES,
    };
    vec![
        class("zone-lookup", (1.0 - edits - moves).max(0.0), read_deadline_ms, false, false),
        class("zone-edit", edits, write_deadline_ms, true, true),
        class("zone-move", moves, write_deadline_ms, true, false),
    ]
}

/// Reads tenants with their shares of the capacity, and the multiple of its share that each sends.
fn read_tenants(scenario: &mut Scenario, tables: Vec<Table<'_, '_>>) {
    scenario.tenant_shares = scenario.load.tenants.iter().map(|tenant| tenant.share).collect();
    if tables.is_empty() {
        return;
    }
    scenario.load.tenants.clear();
    scenario.tenant_shares.clear();
    for table in tables {
        let name = table.required("name");
        let share = table.number("share", 0.1, 0.0..=1.0);
        let sends = table.number("sends", 1.0, 0.0..=100.0);
        scenario.load.tenants.push(Tenant { name, share: share * sends });
        scenario.tenant_shares.push(share);
        table.finish();
    }
}

fn read_peak(table: Table<'_, '_>) -> LoadPeak {
    let ms = |key| table.integer(key, 1_000, 0..=MAX_DURATION_MS);
    let peak = LoadPeak {
        at_ms: ms("at_ms"),
        duration_ms: ms("for_ms"),
        times: table.number("times", 1.5, 1.0..=20.0),
    };
    table.finish();
    peak
}

fn read_expectations(root: &Table<'_, '_>, key: &str) -> Vec<Expectation> {
    let mut expectations = Vec::new();
    for (line, span) in root.texts(key) {
        match Expectation::parse(&line) {
            Ok(expectation) => expectations.push(expectation),
            Err(error) => root.error(span, error.to_string()),
        }
    }
    expectations
}
