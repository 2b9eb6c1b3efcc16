//! Admission: tenant quotas, enforced only as far as the servers show overload (load shedding).
//!
//! Inputs: the tenants' quotas (requests a second over all nodes), the overload signal of the attempts at
//! cache servers. Each tenant's token bucket fills with this node's part of its quota, times the admission
//! level, so that those furthest over their quotas are rejected first. At the highest level nobody is
//! rejected. A measured rate in place of a quota would reject those within their quotas too: one of many
//! nodes sees a handful of requests.

use crate::ids::Micros;
use crate::log_message::{Change, LogMessage};
use crate::settings::Settings;
use crate::statistics::{EventRate, FadingRatio};
use crate::token_bucket::TokenBucket;

/// Overload signal from which tenants are limited to their quotas.
const OVERLOAD_SIGNAL: f64 = 0.06;
/// Overload signal from which they are limited to less.
const SEVERE_OVERLOAD_SIGNAL: f64 = 0.55;
/// Admission level at the start: the quotas themselves.
const QUOTA_LEVEL: f64 = 1.0;
/// The lowest admission level: overloaded servers recover at a fraction of their load.
const MIN_LEVEL: f64 = 0.25;
/// The highest admission level, from which nobody is rejected.
const MAX_LEVEL: f64 = 4.0;
/// Factor on the level at a review under overload.
const LEVEL_DECREASE: f64 = 0.92;
/// Factor on the level at any other review.
const LEVEL_INCREASE: f64 = 1.04;
/// Attempts judged from which a review takes a whole step: one of many nodes sees few.
const FULL_STEP_ATTEMPTS: f64 = 5.0;
/// Tokens that a bucket holds beyond one latency objective's worth: which node a request reaches is chance.
const BURST_TOKENS: f64 = 5.0;
/// The least burst at a low level.
const MIN_BURST_TOKENS: f64 = 1.0;
/// Part of the quotas that tenants may use in common: those within their quotas leave about the rest unused.
const SHARED_QUOTA: f64 = 0.8;

/// The overload signal of a rejected attempt.
pub const SIGN_OF_OVERLOAD: f64 = 1.0;
/// The overload signal of a slow attempt; one that is nearly late gives it once more.
pub const SIGN_OF_SLOWNESS: f64 = 0.5;

/// Admission of requests at one node.
pub struct Admission {
    /// Multiple of the quotas that fills the buckets.
    level: f64,
    overload: FadingRatio,
    tenants: Vec<TokenBucket>,
    shared: TokenBucket,
    /// This node's equal part of all quotas, requests a second; 0 where there are none.
    quota_share: f64,
    admitted: EventRate,
}

/// Whether a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admittance {
    /// It is, and charged to the tenant, if that is known.
    Admitted { charged_tenant: Option<usize> },
    /// Its tenant is over its quota.
    OverQuota,
}

impl Admission {
    /// Admission of a node that has seen nothing yet.
    pub fn new() -> Self {
        Admission {
            level: QUOTA_LEVEL,
            overload: FadingRatio::default(),
            tenants: Vec::new(),
            shared: TokenBucket::default(),
            quota_share: 0.0,
            admitted: EventRate::default(),
        }
    }

    /// Takes new quotas. `previous_positions`: where each tenant was in the settings before; its bucket goes
    /// with it.
    pub fn apply_settings(&mut self, settings: &Settings, previous_positions: &[Option<usize>]) {
        let quotas: f64 = settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        self.quota_share = quotas / f64::from(settings.nodes.max(1));
        let previous = std::mem::take(&mut self.tenants);
        let bucket = |tenant: usize| {
            let position = previous_positions.get(tenant).copied().flatten();
            position.and_then(|position| previous.get(position)).cloned().unwrap_or_default()
        };
        self.tenants = (0..settings.tenants.len().max(1)).map(bucket).collect();
    }

    /// Decides on a request that has arrived.
    pub fn admit(
        &mut self,
        tenant: usize,
        now: Micros,
        longest_objective: Micros,
        settings: &Settings,
    ) -> Admittance {
        let Some(bucket) = self.tenants.get_mut(tenant) else {
            return Admittance::Admitted { charged_tenant: None };
        };
        // A falling level empties the buckets too: saved tokens of many nodes would prolong an overload.
        let burst = (BURST_TOKENS * self.level).clamp(MIN_BURST_TOKENS, BURST_TOKENS);
        // While all tenants together are within their quotas, chance in a small bucket rejects none.
        let shared_open = self.shared.refill(now, SHARED_QUOTA * self.quota_share * self.level, burst);
        let quota = settings.tenants.get(tenant).map_or(f64::INFINITY, |tenant| tenant.quota_per_s);
        let rate = self.level * quota / f64::from(settings.nodes.max(1));
        let capacity = burst + rate * longest_objective as f64 / 1e6;
        let tenant_open = bucket.refill(now, rate, capacity);
        if !(tenant_open || shared_open || self.level >= MAX_LEVEL) {
            return Admittance::OverQuota;
        }
        bucket.take();
        self.shared.take();
        Admittance::Admitted { charged_tenant: Some(tenant) }
    }

    /// Counts a request that is to be served.
    pub fn count_admitted(&mut self) {
        self.admitted.count();
    }

    /// A request was not served: quotas are of answers. Below the quotas nothing is returned, else the
    /// overload would last.
    pub fn refund(&mut self, tenant: usize) {
        if self.level >= QUOTA_LEVEL
            && let Some(bucket) = self.tenants.get_mut(tenant)
        {
            bucket.refund();
        }
    }

    /// Requests a second that are this node's to serve.
    pub fn request_rate(&self) -> f64 {
        if self.quota_share > 0.0 { self.quota_share } else { self.admitted.per_second() }
    }

    /// Whether quotas are enforced at all.
    pub fn is_shedding(&self) -> bool {
        self.level < MAX_LEVEL
    }

    /// Counts signs of overload, and among how many attempts.
    pub fn record_overload(&mut self, signs: f64, attempts: f64) {
        self.overload.add(signs, attempts);
    }

    /// Moves the admission level by the overload signal of the last reviews. `idle`: no attempt at a cache
    /// server is in flight.
    pub fn review(&mut self, period: Micros, idle: bool) -> Option<LogMessage> {
        let before = self.level;
        let signal = self.overload.value();
        let severe = signal > SEVERE_OVERLOAD_SIGNAL;
        let overloaded = !severe && signal > OVERLOAD_SIGNAL;
        // Whole steps under severe overload, which feeds itself, and where few or no attempts are left to
        // judge by.
        let whole_step = severe || before < QUOTA_LEVEL || (idle && signal <= 0.0);
        let step =
            if whole_step { 1.0 } else { (self.overload.recent_count() / FULL_STEP_ATTEMPTS).min(1.0) };
        self.level = if severe || (overloaded && before > QUOTA_LEVEL) {
            let floor = if severe { MIN_LEVEL } else { QUOTA_LEVEL };
            (before * LEVEL_DECREASE.powf(step)).max(floor)
        } else {
            let ceiling = if overloaded { QUOTA_LEVEL } else { MAX_LEVEL };
            (before * LEVEL_INCREASE.powf(step)).min(ceiling)
        };
        self.overload.fade();
        self.admitted.end_period(period);
        let change = Change { before, after: self.level };
        change.crossing(MAX_LEVEL, LogMessage::SheddingBegan, LogMessage::SheddingEnded)
    }
}
