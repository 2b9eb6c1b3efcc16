//! Slow start: a server that has just started bears a part of its capacity, and all balancers together must
//! not send it more. They share nothing, so that each keeps to its own share of the one budget, however many
//! there are.
//!
//! Two things make up the share. A token bucket holds this balancer to its rate. Where that rate earns less
//! than one attempt in a window, a bucket alone would let every balancer send one all the same, and the sum
//! would be the number of balancers: there an attempt passes by chance, as likely as the rate has earned one
//! since its key was last asked for here. A key that is popular among all balancers then gets no more than
//! the rate of all of them, however seldom one of them sees it, and a key that nobody asks for often passes
//! nearly always.

use crate::hash::unit_hash;
use crate::state::{Held, Policy, Server, Spent};
use crate::{Key, RequestId};

/// A server in slow start gets this multiple of a warm server's equal part of the quotas, scaled by its
/// warmth, and no more than this part of the multiple that it falls at: with a full bucket that leaves it a
/// quarter of its budget.
const RATE_MULTIPLE: f64 = 1.5;
const PART_OF_FALL: f64 = 0.5;
/// Requests for one key, where chance decides, may draw this multiple of the rate: few servers have a key
/// that hash so much, and keys that are asked for seldom pass the sooner.
const KEY_MULTIPLE: f64 = 2.0;
/// A balancer's bucket holds what its rate earns in this part of the window that a budget is counted in.
const BUCKET_WINDOW: f64 = 0.5;
/// Attempts that all balancers together may send on top of their rates: what chance is granted is more.
const CREDIT_OF_ALL: f64 = 1.0;
/// In this time the weight that the fleet once had counts for half of what it did, where it has shrunk.
const PEAK_HALF_LIFE: f64 = 300e6;

/// What this balancer may send a server in slow start.
struct Share {
    /// Attempts a microsecond.
    rate: f64,
    /// Attempts that the bucket holds; below 1 the rate earns less than one attempt in its part of the
    /// window.
    depth: f64,
    /// Attempts that are not earned back yet.
    spent: f64,
}

impl Policy {
    /// Part of its capacity that a server has at the least, some time after its start.
    pub(crate) fn warmth(&self, s: &Server) -> f64 {
        let age =
            self.now.saturating_sub(s.line.started) as f64 / self.settings.slow_start_duration.max(1) as f64;
        let share = self.settings.initial_capacity;
        if s.line.started == 0 { 1.0 } else { (share + (1.0 - share) * age).min(1.0) }
    }

    /// Whether a read may go to a server as warm as it is. In slow start it gets a part of its keys that
    /// grows as it warms, the same keys from every balancer, none that is popular here, and from each
    /// balancer no more than its share. `first_since_put_back`: a person has put it back at this balancer,
    /// and one read goes there whatever its key.
    pub(crate) fn slow_start_allows(
        &self,
        id: RequestId,
        held: &Held,
        key: Key,
        s: &Server,
        first_since_put_back: bool,
    ) -> bool {
        if self.warmth(s) >= 1.0 {
            return true;
        }
        if held.popular || !self.in_slow_start_share(s) {
            return false;
        }
        first_since_put_back
            || unit_hash(key, s.line.id, 1) < self.warmth(s) && self.drawn_for_share(id, held, s)
    }

    /// Whether this balancer's bucket has room for one more attempt at a server, where that is in slow start.
    pub(crate) fn in_slow_start_share(&self, s: &Server) -> bool {
        if s.origin || self.warmth(s) >= 1.0 {
            return true;
        }
        let share = self.slow_start_share(s);
        share.spent + 1.0 <= share.depth.max(1.0)
    }

    /// Attempts at a server that are not earned back yet, with one more.
    pub(crate) fn spent_with_one_more(&self, s: &Server) -> Spent {
        Spent { attempts: self.slow_start_share(s).spent + 1.0, at: self.now }
    }

    /// Where the share is less than one attempt: whether this request hash one. What the rate has earned
    /// since the key was last asked for here is what one request for it is worth, so that requests for one
    /// key at all balancers draw no more than a multiple of the rate of all. As others leave, their keys come
    /// here too, and fewer of them draw one.
    fn drawn_for_share(&self, id: RequestId, held: &Held, s: &Server) -> bool {
        let share = self.slow_start_share(s);
        let credit = CREDIT_OF_ALL / f64::from(self.sharers(s).max(1));
        let earned = credit + KEY_MULTIPLE * share.rate * held.unseen_for as f64;
        share.depth >= 1.0 || unit_hash(id ^ self.salt, s.line.id, 5) < earned.min(self.remaining_fleet())
    }

    fn slow_start_share(&self, s: &Server) -> Share {
        let quota = self.share() * self.portion(s);
        // Against a rate that follows the load of the servers that are left: as others leave, one can do no
        // more.
        let fleet = self.peak_weight.value.max(self.settings.total_cache_weight).max(0.01);
        let multiple = RATE_MULTIPLE.min(PART_OF_FALL * self.settings.overload_multiple).max(0.0);
        let rate = self.part * multiple * self.warmth(s) * quota * self.weight(s) / fleet / 1e6;
        let depth = rate * self.settings.overload_window as f64 * BUCKET_WINDOW;
        Share { rate, depth, spent: s.spent.left(self.now, rate) }
    }

    /// The weight of the servers that are ready, as a part of the most that were: keys of servers that have
    /// left come to the others, and one in slow start takes no more for that.
    fn remaining_fleet(&self) -> f64 {
        (self.total / self.peak_weight.value.max(0.01)).min(1.0)
    }

    /// Follows the weight of the servers that are ready.
    pub(crate) fn note_peak_weight(&mut self) {
        let peak = &mut self.peak_weight;
        let fade = 0.5f64.powf(self.now.saturating_sub(peak.at) as f64 / PEAK_HALF_LIFE);
        peak.value = self.total + (peak.value - self.total).max(0.0) * fade;
        peak.at = self.now;
    }
}
