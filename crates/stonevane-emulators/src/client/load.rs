//! The load that clients offer: rate, classes, tenants, and the behavior of the clients.

/// A class of requests in a load.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadClass {
    /// Name of the class, as requests carry it.
    pub name: String,
    /// Share of the requests, relative to the other classes.
    pub share: f64,
    /// Time for which the client waits for a request including its retries, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the requests are writes.
    pub write: bool,
    /// Whether the requests carry an idempotency key.
    pub idempotent: bool,
    /// Whether clients retry a request after a failure or a lost connection; a rejection is always retried.
    pub retries_failures: bool,
    /// Length of the written values, in bytes.
    pub value_len: usize,
}

/// A period of increased load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadPeak {
    /// Start of the period, in milliseconds from the start of the load.
    pub at_ms: u64,
    /// Length of the period, in milliseconds.
    pub duration_ms: u64,
    /// Multiple of the base rate during the period.
    pub times: f64,
}

impl LoadPeak {
    /// Whether the period contains a time, in microseconds from the start of the load.
    pub(super) fn contains(&self, at_us: f64) -> bool {
        (self.at_ms as f64..(self.at_ms + self.duration_ms) as f64).contains(&(at_us / 1e3))
    }
}

/// A tenant of the load.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Name of the tenant, as requests carry it.
    pub name: String,
    /// Share of the requests, relative to the other tenants.
    pub share: f64,
}

/// A load that clients offer to the nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Mean rate of a Poisson process of requests, per second.
    pub requests_per_s: f64,
    /// Time during which the load sends requests, in milliseconds.
    pub duration_ms: u64,
    /// Periods of increased load.
    pub peaks: Vec<LoadPeak>,
    /// Number of keys. The weight of the n-th key is 1 / (n + offset) ^ zipf.
    pub keys: usize,
    /// Exponent of the key popularity distribution; 0 makes all keys equally popular.
    pub zipf: f64,
    /// Offset in the key popularity distribution; a greater offset makes the popularity of the most popular
    /// keys more even.
    pub offset: f64,
    /// Classes among which the requests are distributed.
    pub classes: Vec<LoadClass>,
    /// Tenants among which the requests are distributed; empty for requests without a tenant.
    pub tenants: Vec<Tenant>,
    /// Maximum number of retries of a request.
    pub retries: u32,
    /// Share of clients that wait for the Retry-After of a rejection before they retry, from 0 to 1.
    pub obeys_retry_after: f64,
    /// Wait before a retry if the client obeys no Retry-After, in milliseconds.
    pub backoff_ms: u64,
    /// Share of clients that give up halfway to the deadline, from 0 to 1.
    pub impatient: f64,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            requests_per_s: 100.0,
            duration_ms: 3_000,
            peaks: Vec::new(),
            keys: 500,
            zipf: 0.9,
            offset: 10.0,
            classes: Vec::new(),
            tenants: Vec::new(),
            retries: 1,
            obeys_retry_after: 1.0,
            backoff_ms: 20,
            impatient: 0.0,
        }
    }
}
