//! Configuration of nodes: their settings and the sections of their operator files.

use stonevane_emulators::client::LoadClass;

use crate::scenario::{MembershipSpec, Scenario};

/// Time for which a server drops repeated writes with the same idempotency key, in microseconds.
pub(super) const DEDUP_WINDOW_US: u64 = 200_000;
/// Value of each byte of the key that the nodes share.
pub(super) const KEY_BYTE: u8 = 0x5a;
/// Length of the key that the nodes share, in bytes.
pub(super) const KEY_LEN_BYTES: usize = 32;
/// Limit on the attempts of a request in the settings, if the scenario has no limit.
const UNLIMITED_ATTEMPTS: u32 = 100;
/// Smallest quota of a tenant, in requests per second.
const MIN_QUOTA_PER_S: f64 = 20.0;

/// Returns the `[fleet]` section of an operator file. `version` is the membership version that the node
/// sends.
pub(super) fn membership_section(spec: &MembershipSpec, version: u8) -> String {
    let period_ms = spec.period.as_millis();
    let answer_ms = period_ms / 2;
    let heeds_health = spec.uses_local_health;
    let key = match spec.authenticated {
        true => format!("key = \"{}\"\n", format!("{KEY_BYTE:02x}").repeat(KEY_LEN_BYTES)),
        false => String::new(),
    };
    format!(
        "[fleet]\nperiod_ms = {period_ms}\nanswer_ms = {answer_ms}\nheeds_health = {heeds_health}\nspeaks = {version}\n{key}"
    )
}

/// Returns the settings of the deployment for a node's configuration.
pub(super) fn settings(scenario: &Scenario, node: usize) -> serde_json::Value {
    let cache = &scenario.cache;
    let classes: Vec<_> = scenario.load.classes.iter().map(class_settings).collect();
    let attempts = if scenario.max_attempts == 0 { UNLIMITED_ATTEMPTS } else { scenario.max_attempts };
    serde_json::json!({
        "balancers": scenario.nodes, "me": node, "zone": node % scenario.zones.len().max(1),
        "zones": scenario.all_zones(), "classes": classes, "realms": tenant_settings(scenario),
        "machineTypes": [cache.kind, scenario.origin.kind],
        "discovery": if scenario.watches_discovery { "push" } else { "ask" },
        "specifics": {"mode": "aside", "originKind": 1},
        "limits": {"maxAttempts": attempts, "peers": scenario.membership.is_some(), "mayCancel": true,
            "mayDuplicate": scenario.hedging, "connectTimeoutUs": 100_000,
            "idleCloseUs": cache.idle_us, "retryAfter": true, "maxRetryAfterUs": 1_500_000},
        "guarantees": {"askWithinUs": 6_000_000, "coldShare": cache.slow_start_share,
            "coldUs": cache.warm_up_us, "drainGraceUs": 500_000,
            "fallMultiple": cache.overload_multiple, "tipAfterUs": cache.overload_window_us},
        "periodUs": 2_000,
    })
}

fn class_settings(class: &LoadClass) -> serde_json::Value {
    let deadline_us = class.deadline_ms * 1_000;
    let effect = match (class.write, class.idempotent) {
        (false, _) => "pure",
        (true, true) => "token",
        (true, false) => "side_effect",
    };
    serde_json::json!({"name": class.name, "goalTimeUs": deadline_us / 2, "deadlineUs": deadline_us, "gain": 1.0,
        "lateValue": 0.5, "effect": effect, "dedupScope": "all", "dedupWindowUs": DEDUP_WINDOW_US})
}

fn tenant_settings(scenario: &Scenario) -> Vec<serde_json::Value> {
    let tenants = scenario.load.tenants.iter().zip(&scenario.tenant_shares);
    let settings = tenants.map(|(tenant, share)| {
        let quota = (scenario.quota * share * scenario.load.requests_per_s).max(MIN_QUOTA_PER_S);
        serde_json::json!({"name": tenant.name, "quotaPerS": quota, "fraction": share})
    });
    settings.collect()
}
