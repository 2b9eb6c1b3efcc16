//! The rules' limits, which the first record of a history states.
//!
//! Stored histories fix the keys; where a field's name differs, `serde(rename)` keeps the stored key.

use serde::{Deserialize, Serialize};

/// Effect of a repeated request on a server's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// A repeat has no further effect.
    #[default]
    #[serde(rename = "safe")]
    Idempotent,
    /// Servers within a [`DedupScope`] drop a repeat with the same idempotency key for
    /// [`ClassRule::window_us`].
    #[serde(rename = "keyed")]
    WithKey,
    /// A repeat runs again.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// Set of servers that deduplicate together: once one of them has run an idempotency key, all of them drop
/// its repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum DedupScope {
    /// All servers.
    #[default]
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Rule for a class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct ClassRule {
    /// Name of the class, as requests state it.
    pub name: String,
    /// Effect of a repeated request of this class.
    pub kind: Idempotency,
    /// Servers that drop each other's repeats, for classes with an idempotency key.
    pub scope: DedupScope,
    /// Duration in microseconds, from the first attempt that may have run, for which repeats are dropped.
    pub window_us: u64,
}

/// Capacity limit of the origin.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OriginRule {
    /// Capacity in microseconds of work per second; 0: the origin has no limit.
    pub capacity_us_per_s: f64,
    /// Multiple of the origin's capacity above which the origin is overloaded, if it receives this much work
    /// within [`OriginRule::overload_window_us`].
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Length in microseconds of the window over which the origin's load is summed.
    #[serde(rename = "fall_us")]
    pub overload_window_us: u64,
    /// An overload of the origin is attributed to nodes if at least this share of the work, 0 to 1, comes
    /// from misses at cold servers.
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

/// Bounds on the views of members; see [`crate::MembershipViolation::code`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipRules {
    /// Number of members; their names are `n0`, `n1` and so on.
    pub members: usize,
    /// Time in microseconds after the end of a member's process from which no healthy view shows it as alive.
    #[serde(rename = "detect_us")]
    pub detection_limit_us: u64,
    /// Maximum time in microseconds for which a healthy view shows a healthy member as dead.
    #[serde(rename = "accuse_us")]
    pub false_death_limit_us: u64,
    /// Maximum time in microseconds for which a healthy view suspects a healthy member without interruption.
    #[serde(rename = "refute_us")]
    pub refutation_limit_us: u64,
    /// Time in microseconds after the end of all faults from which every view matches the state of the
    /// processes.
    #[serde(rename = "converge_us")]
    pub convergence_limit_us: u64,
}

/// Limits of all rules.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Tolerance for the delays of real sockets, in microseconds, added to each time limit.
    pub answer_slack_us: u64,
    /// Time in microseconds after a node's notification of a server's drain or end during which it may still
    /// send new attempts to that server.
    pub drain_grace_us: u64,
    /// Time in microseconds after discovery registered a change from which a node counts as notified; 0: only
    /// actual notifications count.
    #[serde(rename = "deemed_told_us")]
    pub assumed_notified_us: u64,
    /// Multiple of its current capacity above which a server that is warming up is overloaded, if it receives
    /// this much work within [`Rules::overload_window_us`].
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Length in microseconds of the window over which a server's load is summed.
    #[serde(rename = "fall_us")]
    pub overload_window_us: u64,
    /// Tolerance for a server's load that exceeds the overload limit by chance, as a share of that limit.
    #[serde(rename = "cold_slack")]
    pub overload_tolerance: f64,
    /// An overload of a server that is warming up is attributed to nodes if at least this share of the work,
    /// 0 to 1, comes from nodes that know of the server's start.
    #[serde(rename = "informed_part")]
    pub informed_share: f64,
    /// Time in microseconds after SIGTERM within which a kill of the node excuses its unanswered requests; a
    /// later kill does not.
    #[serde(rename = "term_us")]
    pub kill_grace_us: u64,
    /// Maximum time in microseconds from SIGTERM to the end of a node; 0: no limit.
    #[serde(rename = "exit_us")]
    pub shutdown_limit_us: u64,
    /// Maximum number of attempts that one node makes for a request; attempts that a dead server never
    /// received don't count. 0: no limit.
    pub max_attempts: u32,
    /// Whether nodes may send a hedged request while the first attempt for the request is in flight.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// Rules of the classes; a class that is not listed counts as idempotent.
    pub classes: Vec<ClassRule>,
    /// Capacity limit of the origin.
    pub origin: OriginRule,
    /// Whether the origin is a store of record, with its commits in the history. If so, any client may be
    /// served any committed value, and the receipt of an edit is the version that the edit created.
    pub store: bool,
    /// Time in microseconds from the receipt of an edit until the edit must be visible: answers to requests
    /// sent later must reflect it.
    #[serde(rename = "visible_us")]
    pub write_visible_us: u64,
    /// Bounds on the views of members; not checked if there are no members.
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
            overload_tolerance: 0.05,
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
    /// Returns the rule of a class; a class that is not listed counts as idempotent.
    pub fn class(&self, name: &str) -> ClassRule {
        let known = self.classes.iter().find(|class| class.name == name);
        known.cloned().unwrap_or_else(|| ClassRule { name: name.into(), ..ClassRule::default() })
    }
}

impl ClassRule {
    /// Returns whether a request that has run must not be rejected, because the client's retry may run again.
    pub fn forbids_rejection_after_run(&self) -> bool {
        self.kind == Idempotency::NonIdempotent
            || self.kind == Idempotency::WithKey && self.scope != DedupScope::All
    }
}

/// Returns the work that a server can do from the moment `from` on within `window_us`, in microseconds.
///
/// The capacity rises linearly from its cold share, so the work is the integral of
/// `share + (1 - share) * min(1, (t - started_at) / warm_us)`. `capacity` is that of a warm server, in
/// microseconds of work per second. A server with a `warm_us` of 0 is always warm.
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
