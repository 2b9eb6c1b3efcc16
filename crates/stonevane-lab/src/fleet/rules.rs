//! Audit rules for the fleet of a scenario.

use stonevane_audit::{ClassRule, DedupScope, Idempotency, MembershipRules, OriginRule, Rules};

use super::config::DEDUP_WINDOW_US;
use crate::scenario::Scenario;

/// Longest time from SIGTERM to the end of a node, in microseconds: the longest deadline plus 0.7 s.
pub(super) const SHUTDOWN_LIMIT_US: u64 = 3_700_000;

/// Returns the audit rules for the fleet of a scenario.
pub fn rules(scenario: &Scenario) -> Rules {
    let class = |name: &str, kind| ClassRule {
        name: name.into(),
        kind,
        scope: DedupScope::All,
        window_us: DEDUP_WINDOW_US,
    };
    let origin = &scenario.origin;
    let early_receipt = scenario.store.as_ref().filter(|store| !store.waits_for_placement);
    Rules {
        overload_multiple: scenario.cache.overload_multiple,
        overload_window_us: scenario.cache.overload_window_us,
        classes: vec![
            class("zone-lookup", Idempotency::Idempotent),
            class("zone-edit", Idempotency::WithKey),
            class("zone-move", Idempotency::NonIdempotent),
        ],
        origin: OriginRule {
            capacity_us_per_s: origin.slots as f64 * 1e6,
            overload_multiple: origin.overload_multiple,
            overload_window_us: origin.overload_window_us,
            ..OriginRule::default()
        },
        store: scenario.store.is_some(),
        write_visible_us: early_receipt.map_or(0, |store| store.copy_lifetime_ms * 1_000),
        shutdown_limit_us: SHUTDOWN_LIMIT_US,
        max_attempts: scenario.max_attempts,
        hedging: scenario.hedging,
        membership: membership_rules(scenario),
        ..Rules::default()
    }
}

fn membership_rules(scenario: &Scenario) -> MembershipRules {
    let Some(spec) = &scenario.membership else { return MembershipRules::default() };
    let members = scenario.nodes + spec.absent_members;
    let bounds = spec.bounds_for(members);
    let us = |periods: u64| periods * spec.period.as_micros() as u64;
    MembershipRules {
        members,
        detection_limit_us: us(bounds.detection),
        false_death_limit_us: us(bounds.accuracy),
        refutation_limit_us: us(bounds.refutation),
        convergence_limit_us: us(bounds.convergence),
    }
}
