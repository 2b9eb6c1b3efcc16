//! The load that clients offer.

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadClass {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// How long the client waits for a request and its retries, in milliseconds.
    pub deadline_ms: u64,
    /// Whether it writes.
    pub write: bool,
    /// Whether it carries an idempotency key.
    pub idempotent: bool,
    /// Whether its clients may retry it after a failure.
    pub retries_failures: bool,
    /// Length of what it writes, in bytes.
    pub value_len: usize,
}

/// A time of increased load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Crowd {
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// The multiple of the rate.
    pub times: f64,
}

impl Crowd {
    /// Whether it is there at a moment, in microseconds.
    pub(super) fn contains(&self, at_us: f64) -> bool {
        (self.at_ms as f64..(self.at_ms + self.for_ms) as f64).contains(&(at_us / 1e3))
    }
}

/// A tenant of the load.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
}

/// A load.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Requests per second, arriving at random.
    pub per_s: f64,
    /// Its length, in milliseconds.
    pub for_ms: u64,
    /// Times of increased load.
    pub crowds: Vec<Crowd>,
    /// The number of keys. The popularity of the n-th is 1 / (n + offset) ^ zipf.
    pub keys: usize,
    /// The exponent of the keys' popularity.
    pub zipf: f64,
    /// The offset of the keys' popularity: the greater, the flatter is its head.
    pub offset: f64,
    /// Its classes.
    pub classes: Vec<LoadClass>,
    /// Its tenants.
    pub tenants: Vec<Tenant>,
    /// Retries of a request, at most.
    pub retries: u32,
    /// The share of clients that wait for as long as an answer's Retry-After says.
    pub obeys_retry_after: f64,
    /// The wait of the others before a retry, in milliseconds.
    pub backoff_ms: u64,
    /// The share of clients that give up halfway.
    pub impatient: f64,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            per_s: 100.0,
            for_ms: 3_000,
            crowds: Vec::new(),
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
