//! The rules' limits, as a history's first record states them.
//!
//! Stored keys keep their names; a field's name is the field's own term.

use serde::{Deserialize, Serialize};

/// What a repeat of a request does to a server's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// A repeat does nothing.
    #[default]
    #[serde(rename = "safe")]
    Idempotent,
    /// Servers within a [`DedupScope`] drop a repeat of its idempotency key for a while.
    #[serde(rename = "keyed")]
    WithKey,
    /// A repeat runs again.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// Which servers know an idempotency key that one of them has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum DedupScope {
    /// Every server.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct ClassRule {
    /// Its name.
    pub name: String,
    /// What a repeat of its requests does.
    pub kind: Idempotency,
    /// Where repeats are dropped, for classes with an idempotency key.
    pub scope: DedupScope,
    /// For how long, microseconds from the first send that may have run.
    pub window_us: u64,
}

/// The origin's budget.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OriginRule {
    /// Its capacity in microseconds of work a second; 0: the origin has no budget.
    pub capacity_us_per_s: f64,
    /// It stops when sent more than this multiple of its capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... for this long.
    #[serde(rename = "fall_us")]
    pub overload_window_us: u64,
    /// Nodes are to blame where at least this share of the load comes from misses at cold servers.
    #[serde(rename = "cold_part")]
    pub cold_share: f64,
}

impl Default for OriginRule {
    fn default() -> Self {
        OriginRule {
            capacity_us_per_s: 0.0,
            overload_multiple: 2.5,
            overload_window_us: 3_000_000,
            cold_share: 1.0 / 3.0,
        }
    }
}

/// The bounds on members' views.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipRules {
    /// How many members there are, named `n0` and so on.
    pub members: usize,
    /// A member whose process is gone this long is not alive in any healthy member's view.
    pub detect_us: u64,
    /// A healthy member is not dead in a healthy member's view for longer than this.
    pub accuse_us: u64,
    /// A healthy member is not suspected without a break for longer than this.
    pub refute_us: u64,
    /// Once all faults have ended for this long, every view is as the processes are.
    pub converge_us: u64,
}

/// The limits of all rules.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Tolerance for the delays of real sockets, on top of each time limit.
    pub answer_slack_us: u64,
    /// Nothing new goes to a server later than this after the node was notified of its drain or end.
    pub drain_grace_us: u64,
    /// Nodes count as notified of a change this long after discovery knows of it; 0: only real notifications count.
    #[serde(rename = "deemed_told_us")]
    pub assumed_notified_us: u64,
    /// A server that warms up falls over when sent more than this multiple of its present capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... for this long.
    #[serde(rename = "fall_us")]
    pub overload_window_us: u64,
    /// Tolerance for a load that exceeds the limit by chance, as a share of the limit.
    pub cold_slack: f64,
    /// Nodes are to blame where at least this share of an overload comes from those that know of the start.
    #[serde(rename = "informed_part")]
    pub informed_share: f64,
    /// A kill later than this after SIGTERM doesn't excuse requests without an answer.
    #[serde(rename = "term_us")]
    pub kill_grace_us: u64,
    /// A node has ended this long after SIGTERM; 0: no limit.
    #[serde(rename = "exit_us")]
    pub shutdown_limit_us: u64,
    /// Attempts of a node for a request, at most, those that a dead server never received left out; 0: no limit.
    pub max_attempts: u32,
    /// Whether a hedged request may be sent while the first attempt is in flight.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// The classes; a class not named here counts as idempotent.
    pub classes: Vec<ClassRule>,
    /// The origin's budget.
    pub origin: OriginRule,
    /// Whether the origin is a store of record whose commits stand in the history: what it holds may be served to
    /// every client, and an edit's receipt is its version.
    pub store: bool,
    /// An edit shows in every answer to a request sent later than this after its receipt.
    #[serde(rename = "visible_us")]
    pub write_visible_us: u64,
    /// The bounds on members' views; none where there are no members.
    pub membership: MembershipRules,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_slack_us: 50_000,
            drain_grace_us: 500_000,
            assumed_notified_us: 6_000_000,
            overload_multiple: 3.0,
            overload_window_us: 2_000_000,
            cold_slack: 0.05,
            informed_share: 2.0 / 3.0,
            kill_grace_us: 700_000,
            shutdown_limit_us: 0,
            max_attempts: 0,
            hedging: true,
            classes: Vec::new(),
            origin: OriginRule::default(),
            store: false,
            write_visible_us: 0,
            membership: MembershipRules::default(),
        }
    }
}

impl Rules {
    /// The rule of a class.
    pub fn class(&self, name: &str) -> ClassRule {
        let known = self.classes.iter().find(|class| class.name == name);
        known.cloned().unwrap_or_else(|| ClassRule { name: name.into(), ..ClassRule::default() })
    }
}

impl ClassRule {
    /// Whether a rejection of what has run would do harm, as a retry may run again.
    pub fn refusal_harms(&self) -> bool {
        self.kind == Idempotency::NonIdempotent
            || self.kind == Idempotency::WithKey && self.scope != DedupScope::All
    }
}

/// Work that a server can do within a window, microseconds, while it warms up evenly from its cold share: the integral
/// of `share + (1 - share) * min(1, (t - started_at) / warm_us)`. `capacity` is that of a warm server, in microseconds
/// of work a second; one that takes no time to warm up is warm.
pub fn work_capacity(
    capacity: f64,
    cold_share: f64,
    started_at: u64,
    warm_us: u64,
    from: u64,
    window_us: u64,
) -> f64 {
    if warm_us == 0 {
        return capacity / 1e6 * window_us as f64;
    }
    let done_by = |time: u64| {
        let (elapsed, warm) = (time.saturating_sub(started_at) as f64, warm_us as f64);
        let rising = elapsed.min(warm);
        cold_share * elapsed + (1.0 - cold_share) * (rising * rising / (2.0 * warm) + elapsed - rising)
    };
    capacity / 1e6 * (done_by(from + window_us) - done_by(from))
}
