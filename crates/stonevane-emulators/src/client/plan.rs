//! A load drawn ahead: the requests are the same for the same seed, whatever becomes of them.

use oorandom::Rand64;

use super::Load;

/// Mixed into the seed, so that other draws from it are different ones.
const SEED_MASK: u128 = 0x10ad;

/// One request that will be sent.
///
/// The digest of a load is taken of its debug form: names of fields stay.
#[derive(Debug, Clone, PartialEq)]
pub struct Planned {
    /// Microseconds from the start.
    pub at_us: u64,
    /// The index of its class.
    pub class: usize,
    /// The index of its tenant.
    pub tenant: usize,
    /// Its key, as it stands on the wire.
    pub key: u64,
    /// The node that it is sent to.
    pub node: usize,
    /// Its idempotency key.
    pub token: u64,
    /// Whether its client gives up halfway.
    pub impatient: bool,
    /// Whether its client obeys Retry-After.
    pub honours: bool,
}

/// The key of a rank of popularity: the same for all loads.
pub fn key(rank: usize) -> u64 {
    // An odd factor: no two ranks meet.
    (rank as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Draws a load. The same seed gives the same requests.
pub fn plan(load: &Load, nodes: usize, seed: u64) -> Vec<Planned> {
    let mut planned = Vec::new();
    if load.per_s <= 0.0 {
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
            // The key is drawn first.
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

/// The times of requests: a Poisson process, drawn at the highest rate and thinned to that of each moment.
struct Arrivals<'a> {
    load: &'a Load,
    at_us: f64,
}

impl Arrivals<'_> {
    /// The next time, in microseconds; `None` at the end of the load.
    fn next(&mut self, rng: &mut Rand64) -> Option<u64> {
        let load = self.load;
        let highest = load.crowds.iter().map(|crowd| crowd.times).fold(1.0, f64::max);
        loop {
            self.at_us += -(1.0 - rng.rand_float()).ln() / (load.per_s * highest) * 1e6;
            if self.at_us >= load.for_ms as f64 * 1e3 {
                return None;
            }
            if highest > 1.0 && rng.rand_float() * highest >= self.times() {
                continue;
            }
            return Some(self.at_us as u64);
        }
    }

    /// The multiple of the rate at this moment.
    fn times(&self) -> f64 {
        let crowd = self.load.crowds.iter().find(|crowd| crowd.contains(self.at_us));
        crowd.map_or(1.0, |crowd| crowd.times)
    }
}

/// The popularity of keys, by rank.
struct Popularity {
    /// The sum of the weights up to each rank.
    sums: Vec<f64>,
    total: f64,
}

impl Popularity {
    fn new(load: &Load) -> Popularity {
        let mut sums = Vec::with_capacity(load.keys);
        let mut total = 0.0;
        for rank in 0..load.keys.max(1) {
            total += (rank as f64 + 1.0 + load.offset).powf(-load.zipf);
            sums.push(total);
        }
        Popularity { sums, total }
    }

    /// The rank of a uniform draw.
    fn rank(&self, uniform: f64) -> usize {
        let drawn = uniform * self.total;
        self.sums.partition_point(|sum| *sum < drawn).min(self.sums.len() - 1)
    }
}

/// The index of a uniform draw among shares, which need not add up to one.
fn pick(shares: &[f64], uniform: f64) -> usize {
    let mut left = uniform * shares.iter().sum::<f64>();
    let found = shares.iter().position(|share| {
        left -= share;
        left < 0.0
    });
    found.unwrap_or(shares.len().saturating_sub(1))
}

#[cfg(test)]
mod tests;
