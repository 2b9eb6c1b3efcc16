//! Requests of a load, drawn in advance from a seed: they don't depend on the outcome of earlier requests.

use oorandom::Rand64;

use super::Load;

/// Combined with the seed, so that the draws differ from other draws with the same seed.
const SEED_MASK: u128 = 0x10ad;

/// A request that will be sent.
///
/// The digest of a load covers the debug form of this struct, so the names of its fields must not change.
#[derive(Debug, Clone, PartialEq)]
pub struct Planned {
    /// Time of sending, in microseconds from the start of the load.
    pub at_us: u64,
    /// Index of the request's class in the load.
    pub class: usize,
    /// Index of the request's tenant in the load.
    pub tenant: usize,
    /// Requested key, sent as 16 hexadecimal digits.
    pub key: u64,
    /// Index of the node to which the request is sent.
    pub node: usize,
    /// Idempotency key, sent if the class is idempotent.
    pub token: u64,
    /// Whether the client gives up halfway to the deadline.
    pub impatient: bool,
    /// Whether the client waits for the Retry-After of a rejection before it retries.
    pub honours: bool,
}

/// Returns the key with a popularity rank (0 is the most popular), the same for all loads.
pub fn key(rank: usize) -> u64 {
    // Multiplication by an odd factor maps different ranks to different keys.
    (rank as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Draws the requests of a load for a number of nodes. The same seed gives the same requests.
pub fn plan(load: &Load, nodes: usize, seed: u64) -> Vec<Planned> {
    let mut planned = Vec::new();
    if load.requests_per_s <= 0.0 {
        return planned;
    }
    let mut rng = Rand64::new(u128::from(seed) ^ SEED_MASK);
    let popularity = Popularity::new(load);
    let class_shares: Vec<f64> = load.classes.iter().map(|class| class.share).collect();
    let tenant_shares: Vec<f64> = load.tenants.iter().map(|tenant| tenant.share).collect();
    let mut arrivals = Arrivals { load, at_us: 0.0 };
    while let Some(at_us) = arrivals.next(&mut rng) {
        planned.push(Planned {
            at_us,
            // The key is drawn before the other fields; the order of draws decides the load of a seed.
            key: key(popularity.rank(rng.rand_float())),
            class: pick(&class_shares, rng.rand_float()),
            tenant: pick(&tenant_shares, rng.rand_float()),
            node: rng.rand_range(0..nodes.max(1) as u64) as usize,
            token: rng.rand_u64(),
            impatient: rng.rand_float() < load.impatient,
            honours: rng.rand_float() < load.obeys_retry_after,
        });
    }
    planned
}

/// Arrival times of requests: a Poisson process, drawn at the highest rate and thinned to the current rate.
struct Arrivals<'a> {
    load: &'a Load,
    at_us: f64,
}

impl Arrivals<'_> {
    /// Returns the next arrival time, in microseconds; `None` at the end of the load.
    fn next(&mut self, rng: &mut Rand64) -> Option<u64> {
        let load = self.load;
        let highest_multiple = load.peaks.iter().map(|peak| peak.times).fold(1.0, f64::max);
        loop {
            self.at_us += -(1.0 - rng.rand_float()).ln() / (load.requests_per_s * highest_multiple) * 1e6;
            if self.at_us >= load.duration_ms as f64 * 1e3 {
                return None;
            }
            if highest_multiple > 1.0 && rng.rand_float() * highest_multiple >= self.rate_multiple() {
                continue;
            }
            return Some(self.at_us as u64);
        }
    }

    /// Returns the multiple of the base rate at the current time.
    fn rate_multiple(&self) -> f64 {
        let peak = self.load.peaks.iter().find(|peak| peak.contains(self.at_us));
        peak.map_or(1.0, |peak| peak.times)
    }
}

/// Popularity distribution of the keys, by rank.
struct Popularity {
    /// Sum of the weights up to and including each rank.
    cumulative_weights: Vec<f64>,
    total: f64,
}

impl Popularity {
    fn new(load: &Load) -> Popularity {
        let mut cumulative_weights = Vec::with_capacity(load.keys);
        let mut total = 0.0;
        for rank in 0..load.keys.max(1) {
            total += (rank as f64 + 1.0 + load.offset).powf(-load.zipf);
            cumulative_weights.push(total);
        }
        Popularity { cumulative_weights, total }
    }

    /// Returns the rank for a uniform draw in [0, 1).
    fn rank(&self, uniform: f64) -> usize {
        let drawn = uniform * self.total;
        self.cumulative_weights.partition_point(|sum| *sum < drawn).min(self.cumulative_weights.len() - 1)
    }
}

/// Returns the index for a uniform draw in [0, 1) among shares, which need not add up to 1.
fn pick(shares: &[f64], uniform: f64) -> usize {
    let mut remaining = uniform * shares.iter().sum::<f64>();
    let found = shares.iter().position(|share| {
        remaining -= share;
        remaining < 0.0
    });
    found.unwrap_or(shares.len().saturating_sub(1))
}

#[cfg(test)]
mod tests;
