//! The figures of the rules, as a history's first line states them.

use serde::{Deserialize, Serialize};

use crate::membership::MembershipRules;

/// What a repeat of a request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// Nothing.
    #[default]
    #[serde(rename = "safe")]
    Idempotent,
    /// Servers of a group drop a repeat for a while.
    #[serde(rename = "keyed")]
    WithKey,
    /// It happens again.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// Which servers drop a keyed repeat.
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
    /// What a repeat does.
    pub kind: Idempotency,
    /// Where repeats are dropped, for keyed classes.
    pub scope: DedupScope,
    /// For how long, microseconds from the first send that may have run.
    pub window_us: u64,
}

/// The origin's budget.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OriginRule {
    /// Work that it does a second, in microseconds of work; 0 where the origin has no budget.
    pub capacity_us_per_s: f64,
    /// It stops when sent more than this multiple of that ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... for this long.
    #[serde(rename = "fall_us")]
    pub overload_window_us: u64,
    /// Part of that load from misses at cold servers from which it is held against the nodes.
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

/// The figures of the four rules. Times in microseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// What real sockets are given on top of each time limit.
    pub answer_slack_us: u64,
    /// Nothing new to a server later than this after the node was told of its drain or end.
    pub drain_grace_us: u64,
    /// What discovery has to tell counts as told after this at the latest; 0: only what it did tell counts.
    #[serde(rename = "deemed_told_us")]
    pub assumed_notified_us: u64,
    /// A cold server falls over when sent more than this multiple of its present capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... for this long.
    #[serde(rename = "fall_us")]
    pub overload_window_us: u64,
    /// Work beyond a cold server's budget that chance may bring, as a part of that budget.
    pub cold_slack: f64,
    /// Part of an overload that must come from nodes that know of the start.
    #[serde(rename = "informed_part")]
    pub informed_share: f64,
    /// A kill later than this after SIGTERM excuses nothing that it finds unanswered.
    #[serde(rename = "term_us")]
    pub kill_grace_us: u64,
    /// A node has ended this long after SIGTERM; 0: whenever it likes.
    #[serde(rename = "exit_us")]
    pub shutdown_limit_us: u64,
    /// Attempts that a node may make for a request, at most; 0: as many as it likes. What came to a dead server
    /// does not count.
    pub max_attempts: u32,
    /// Whether a second copy may be sent while the first is out.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// The classes; a class not named here counts as safe.
    pub classes: Vec<ClassRule>,
    /// The origin's budget.
    pub origin: OriginRule,
    /// Whether a store of record is in the origin's place, whose commits stand in the history: what it holds may be
    /// served to all who ask, and an edit's receipt is its version.
    pub store: bool,
    /// An edit shows in every answer to what is asked later than this after its receipt.
    #[serde(rename = "visible_us")]
    pub write_visible_us: u64,
    /// The bounds on what nodes hold of one another; none where they have no members.
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
    /// Whether a refusal of what has run would do harm: a repeat is not dropped everywhere.
    pub fn refusal_harms(&self) -> bool {
        self.kind == Idempotency::NonIdempotent
            || self.kind == Idempotency::WithKey && self.scope != DedupScope::All
    }
}

/// Work that a server can do from a moment on for a time, while it warms evenly from its cold share on: the
/// integral of share + (1 - share) * min(1, (t - started) / warm), in microseconds of work. `capacity` is that of
/// a warm server, in microseconds of work a second; one that takes no time to warm is warm.
pub fn work_capacity(
    capacity: f64,
    cold_share: f64,
    started: u64,
    warm_us: u64,
    from: u64,
    time: u64,
) -> f64 {
    if warm_us == 0 {
        return capacity / 1e6 * time as f64;
    }
    let done = |at: u64| {
        let (at, warm) = (at.saturating_sub(started) as f64, warm_us as f64);
        let rising = at.min(warm);
        cold_share * at + (1.0 - cold_share) * (rising * rising / (2.0 * warm) + at - rising)
    };
    capacity / 1e6 * (done(from + time) - done(from))
}
