//! Admission: decides whether a request is admitted or rejected on arrival. Tenant quotas are enforced only
//! as far as the servers show overload (load shedding).
//!
//! Inputs: the tenants' quotas (requests per second over all nodes), the overload signal of the attempts at
//! cache servers. Each tenant's token bucket fills with this node's share of the quota, multiplied by the
//! admission level, so that the tenants furthest over their quotas are rejected first. At the highest
//! admission level no request is rejected. Measured request rates cannot replace the quotas: one of many
//! nodes sees only a handful of requests, and such a limit would also reject tenants within their quotas.

use crate::ids::Micros;
use crate::log_message::{LogMessage, ValueChange};
use crate::settings::Settings;
use crate::statistics::{DecayingRatio, EventRate};
use crate::token_bucket::TokenBucket;

/// Overload signal above which tenants are limited to their quotas.
const OVERLOAD_THRESHOLD: f64 = 0.06;
/// Overload signal above which tenants are limited to less than their quotas.
const SEVERE_OVERLOAD_THRESHOLD: f64 = 0.55;
/// Admission level at which tenants get exactly their quotas; the initial level.
const QUOTA_LEVEL: f64 = 1.0;
/// Lowest admission level. Overloaded servers need a fraction of their load to recover.
const MIN_LEVEL: f64 = 0.25;
/// Highest admission level, at which no request is rejected.
const MAX_LEVEL: f64 = 4.0;
/// Factor on the admission level for a full step down in one review.
const LEVEL_DECREASE_FACTOR: f64 = 0.92;
/// Factor on the admission level for a full step up in one review.
const LEVEL_INCREASE_FACTOR: f64 = 1.04;
/// Number of attempts since the last review from which a review changes the admission level by a full step.
/// One of many nodes sees few attempts, and a smaller number gives a smaller step.
const FULL_STEP_ATTEMPTS: f64 = 5.0;
/// Tokens that a bucket holds in addition to those earned during one latency objective, because requests
/// reach the nodes at random.
const BURST_TOKENS: f64 = 5.0;
/// Smallest burst, in tokens, at a low admission level.
const MIN_BURST_TOKENS: f64 = 1.0;
/// Fraction of all quotas that fills the shared bucket: tenants within their quotas leave about the rest
/// unused.
const SHARED_QUOTA_FRACTION: f64 = 0.8;

/// Contribution of a rejected attempt to the overload signal.
pub const REJECTED_ATTEMPT_SIGNAL: f64 = 1.0;
/// Contribution of a slow attempt to the overload signal, added a second time if the attempt becomes nearly
/// late.
pub const SLOW_ATTEMPT_SIGNAL: f64 = 0.5;

/// Admission state of one node.
pub struct Admission {
    /// Admission level: multiple of the quotas at which the buckets fill.
    level: f64,
    overload: DecayingRatio,
    tenant_buckets: Vec<TokenBucket>,
    shared_bucket: TokenBucket,
    /// This node's equal share of all quotas, in requests per second; 0 without quotas.
    quota_share: f64,
    admitted: EventRate,
}

/// Decision on a request that has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is admitted. `charged_tenant` is the position of the tenant that it was charged to, or
    /// `None` for an unknown tenant.
    Admitted { charged_tenant: Option<usize> },
    /// The request is rejected because its tenant is over its quota.
    OverQuota,
}

impl Admission {
    /// Creates the admission state of a node that has seen no requests.
    pub fn new() -> Self {
        Admission {
            level: QUOTA_LEVEL,
            overload: DecayingRatio::default(),
            tenant_buckets: Vec::new(),
            shared_bucket: TokenBucket::default(),
            quota_share: 0.0,
            admitted: EventRate::default(),
        }
    }

    /// Applies new quotas. `previous_positions` holds the position of each tenant in the previous settings; a
    /// tenant keeps its bucket.
    pub fn apply_settings(&mut self, settings: &Settings, previous_positions: &[Option<usize>]) {
        let quotas: f64 = settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        self.quota_share = quotas / f64::from(settings.nodes.max(1));
        let previous = std::mem::take(&mut self.tenant_buckets);
        let bucket = |tenant: usize| {
            let position = previous_positions.get(tenant).copied().flatten();
            position.and_then(|position| previous.get(position)).cloned().unwrap_or_default()
        };
        self.tenant_buckets = (0..settings.tenants.len().max(1)).map(bucket).collect();
    }

    /// Decides on a request that has arrived, and charges it to its tenant if it is admitted. The request is
    /// admitted if its tenant's bucket or the shared bucket has a token, or if the admission level is the
    /// highest.
    pub fn admit(
        &mut self,
        tenant: usize,
        now: Micros,
        longest_objective: Micros,
        settings: &Settings,
    ) -> AdmissionDecision {
        let Some(bucket) = self.tenant_buckets.get_mut(tenant) else {
            return AdmissionDecision::Admitted { charged_tenant: None };
        };
        // The burst shrinks with the admission level, since tokens saved at many nodes would prolong an
        // overload.
        let burst = (BURST_TOKENS * self.level).clamp(MIN_BURST_TOKENS, BURST_TOKENS);
        // While all tenants together are within their quotas, chance fluctuations in a tenant's small bucket
        // reject nothing.
        let shared_has_token =
            self.shared_bucket.refill(now, SHARED_QUOTA_FRACTION * self.quota_share * self.level, burst);
        let quota = settings.tenants.get(tenant).map_or(f64::INFINITY, |tenant| tenant.quota_per_s);
        let rate = self.level * quota / f64::from(settings.nodes.max(1));
        let capacity = burst + rate * longest_objective as f64 / 1e6;
        let tenant_has_token = bucket.refill(now, rate, capacity);
        if !(tenant_has_token || shared_has_token || self.level >= MAX_LEVEL) {
            return AdmissionDecision::OverQuota;
        }
        bucket.take();
        self.shared_bucket.take();
        AdmissionDecision::Admitted { charged_tenant: Some(tenant) }
    }

    /// Counts a request that is not rejected on arrival, for [`request_rate`](Self::request_rate).
    pub fn count_admitted(&mut self) {
        self.admitted.count();
    }

    /// Gives the tenant back the token of a request that was not served, because quotas count answers. At an
    /// admission level below `QUOTA_LEVEL` no token is given back, otherwise the overload would last.
    pub fn refund(&mut self, tenant: usize) {
        if self.level >= QUOTA_LEVEL
            && let Some(bucket) = self.tenant_buckets.get_mut(tenant)
        {
            bucket.refund();
        }
    }

    /// Returns the requests per second that this node has to serve: its share of the quotas, or the measured
    /// rate of admitted requests without quotas.
    pub fn request_rate(&self) -> f64 {
        if self.quota_share > 0.0 { self.quota_share } else { self.admitted.per_second() }
    }

    /// Returns whether the node sheds load, so that requests may be rejected over quotas.
    pub fn is_shedding(&self) -> bool {
        self.level < MAX_LEVEL
    }

    /// Adds `signal` to the sum of signals and `attempts` to the number of judged attempts. The overload
    /// signal is the ratio of the two.
    pub fn record_overload(&mut self, signal: f64, attempts: f64) {
        self.overload.add(signal, attempts);
    }

    /// Adjusts the admission level to the overload signal of the recent reviews. `idle` means that no attempt
    /// at a cache server is in flight. Returns a log message if load shedding begins or ends.
    pub fn review(&mut self, period: Micros, idle: bool) -> Option<LogMessage> {
        let before = self.level;
        let signal = self.overload.value();
        let severe = signal > SEVERE_OVERLOAD_THRESHOLD;
        let overloaded = !severe && signal > OVERLOAD_THRESHOLD;
        // Severe overload needs full steps because it reinforces itself. Below the quota level and on an idle
        // node too few attempts are left to scale the step by.
        let full_step = severe || before < QUOTA_LEVEL || (idle && signal <= 0.0);
        let step = if full_step { 1.0 } else { (self.overload.recent_count() / FULL_STEP_ATTEMPTS).min(1.0) };
        self.level = if severe || (overloaded && before > QUOTA_LEVEL) {
            let floor = if severe { MIN_LEVEL } else { QUOTA_LEVEL };
            (before * LEVEL_DECREASE_FACTOR.powf(step)).max(floor)
        } else {
            let ceiling = if overloaded { QUOTA_LEVEL } else { MAX_LEVEL };
            (before * LEVEL_INCREASE_FACTOR.powf(step)).min(ceiling)
        };
        self.overload.decay();
        self.admitted.end_period(period);
        let change = ValueChange { before, after: self.level };
        change.crossing(MAX_LEVEL, LogMessage::SheddingBegan, LogMessage::SheddingEnded)
    }
}
