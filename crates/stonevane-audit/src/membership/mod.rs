//! The membership rules: compares each member's view of the others with the recorded state of the processes
//! and of the network between them. A member's report about itself is no evidence that the member is alive.
//!
//! A member is *healthy* while its process runs, is not paused, and datagrams pass in both directions between
//! it and most of the other running members. A member without running peers is not healthy, because it can't
//! distinguish the end of all others from its own partition. A bound on what a view may show counts from the
//! last moment at which either the view's owner (the observer) or the member shown became healthy or
//! unhealthy.

mod detection;
#[cfg(test)]
mod tests;
mod views;

use detection::Death;
pub use detection::MembershipMeasurements;
use views::ViewEntry;

use crate::interval::TimeInterval;
use crate::rules::MembershipRules;

/// A violation of a membership rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipViolation {
    /// Rule that is violated:
    /// - `undetected`: a member whose process has ended is dead or suspected in every healthy view;
    /// - `accused`: a healthy member is not dead in any healthy view;
    /// - `hounded`: a healthy member is not falsely suspected repeatedly in normal or mildly degraded network
    ///   conditions;
    /// - `unrefuted`: a suspicion of a healthy member is refuted in time;
    /// - `diverged`: once all faults have ended, every view matches the state of the processes;
    /// - `stranger`: an unknown peer, which never was a member, is not alive in any view;
    /// - `risen`: an incarnation that was declared dead after its end is not alive again.
    pub code: &'static str,
    /// Number of the member whose view shows the violation.
    pub observer: usize,
    /// Number of the member that the view shows wrongly.
    pub member: usize,
    /// Description of the violation.
    pub description: String,
}

#[derive(Debug, Clone, Default)]
struct Member {
    /// Latest possible moment at which the member's process ended, in microseconds; `None` while there is a
    /// process.
    down_since: Option<u64>,
    ever_started: bool,
    /// Whether the member was sent SIGTERM and may announce that it leaves.
    terminating: bool,
    /// Number of current reasons why the member need not respond: it is starting, shutting down or paused.
    suspensions: u32,
    /// Latest possible moment at which the member became healthy, in microseconds; `None` while it is
    /// unhealthy.
    healthy_since: Option<u64>,
}

impl Member {
    fn is_running(&self) -> bool {
        self.down_since.is_none() && self.suspensions == 0
    }
}

/// Compares the views of members with the state of processes and network. Events must arrive in the order of
/// their latest times.
#[derive(Debug)]
pub struct Membership {
    rules: MembershipRules,
    members: Vec<Member>,
    deaths: Vec<Death>,
    /// For each member, the number of views that show it as dead although it is healthy.
    false_death_views: Vec<usize>,
    measurements: MembershipMeasurements,
    /// Number of active partitions from one member to another: a matrix with a row per sender.
    partitions: Vec<u16>,
    /// Number of pairs of sender and receiver with an active partition.
    partitioned_pairs: usize,
    /// Number of active degradations of the network, mild and severe.
    degradations: usize,
    /// Number of active degradations that are severe.
    severe_degradations: usize,
    /// Latest possible moment of the last change of a process or the network, in microseconds.
    changed_at: u64,
    /// Entries of all views: a matrix with a row per observer.
    views: Vec<ViewEntry>,
}

impl Membership {
    /// Creates the state of a fleet in which no member has started.
    pub fn new(rules: MembershipRules) -> Membership {
        let count = rules.members;
        let not_started = Member { down_since: Some(0), ..Member::default() };
        Membership {
            rules,
            members: vec![not_started; count],
            deaths: Vec::new(),
            false_death_views: vec![0; count],
            measurements: MembershipMeasurements::default(),
            partitions: vec![0; count * count],
            partitioned_pairs: 0,
            degradations: 0,
            severe_degradations: 0,
            changed_at: 0,
            views: vec![ViewEntry::default(); count * count],
        }
    }

    /// Returns the number of a member from its name, such as 3 for `n3`; `None` if there is no such member.
    pub fn number(&self, name: &str) -> Option<usize> {
        name.strip_prefix('n')?.parse().ok().filter(|number| *number < self.members.len())
    }

    /// Returns the measurements so far.
    pub fn measurements(&self) -> &MembershipMeasurements {
        &self.measurements
    }

    /// Handles a change of a member's process; `state` is one of the states that [`crate::Event::Node`]
    /// lists.
    pub fn process_state(&mut self, time: TimeInterval, member: usize, state: &str) {
        let Some(process) = self.members.get_mut(member) else { return };
        match state {
            // A starting process may already send datagrams, but counts as running only once it is ready.
            "starting" => {
                process.ever_started = true;
                process.down_since = None;
                process.healthy_since = None;
                process.suspensions = process.suspensions.max(1);
            }
            "ready" => {
                process.ever_started = true;
                process.terminating = false;
                process.down_since = None;
                process.suspensions = 0;
            }
            "term" => {
                process.terminating = true;
                process.suspensions += 1;
            }
            "paused" => process.suspensions += 1,
            "resumed" => process.suspensions = process.suspensions.saturating_sub(1),
            "killed" | "exited" | "crashed" if process.down_since.is_none() => {
                process.down_since = Some(time.latest);
                process.suspensions = 0;
                // A process that was sent SIGTERM has announced that it leaves, so its end is not a death.
                if !std::mem::take(&mut process.terminating) {
                    self.record_death(member, time.latest);
                }
            }
            _ => return,
        }
        self.recompute_health(time);
        if matches!(state, "starting" | "ready") {
            self.begin_incarnation(member);
        }
    }

    /// Handles the begin or end of a partition: datagrams from one member to another are lost while it lasts.
    pub fn partition(&mut self, time: TimeInterval, from: usize, to: usize, begins: bool) {
        let count = self.members.len();
        if from >= count || to >= count {
            return;
        }
        let partitions = &mut self.partitions[from * count + to];
        let before = *partitions;
        *partitions = if begins { before.saturating_add(1) } else { before.saturating_sub(1) };
        match (before, *partitions) {
            (0, 1..) => self.partitioned_pairs += 1,
            (1.., 0) => self.partitioned_pairs -= 1,
            _ => {}
        }
        self.recompute_health(time);
    }

    /// Handles the begin or end of degraded network conditions, in which datagrams are lost, duplicated or
    /// late. Mild conditions lose at most one datagram in ten, and delay datagrams by at most a tenth of a
    /// probe's time, so no member may be declared dead because of them.
    pub fn network_conditions(&mut self, time: TimeInterval, begins: bool, is_mild: bool) {
        let updated = |count: usize| if begins { count + 1 } else { count.saturating_sub(1) };
        self.degradations = updated(self.degradations);
        if !is_mild {
            self.severe_degradations = updated(self.severe_degradations);
        }
        self.recompute_health(time);
    }

    fn recompute_health(&mut self, time: TimeInterval) {
        self.changed_at = self.changed_at.max(time.latest);
        for member in 0..self.members.len() {
            let is_healthy = self.members[member].is_running() && self.reaches_most(member);
            let process = &mut self.members[member];
            process.healthy_since = is_healthy.then(|| process.healthy_since.unwrap_or(time.latest));
        }
    }

    /// Returns whether datagrams pass in both directions between a member and most of the other running
    /// members.
    fn reaches_most(&self, member: usize) -> bool {
        let count = self.members.len();
        let others = (0..count).filter(|other| *other != member && self.members[*other].is_running());
        let (mut running, mut reached) = (0, 0);
        for other in others {
            running += 1;
            reached += usize::from(self.is_connected(member, other));
        }
        2 * reached > running
    }

    fn is_connected(&self, one: usize, other: usize) -> bool {
        let count = self.members.len();
        self.partitioned_pairs == 0
            || self.partitions[one * count + other] == 0 && self.partitions[other * count + one] == 0
    }

    /// Begins a new incarnation of a member: clears the entries that showed its last incarnation in all
    /// views, and the member's own view.
    fn begin_incarnation(&mut self, member: usize) {
        let count = self.members.len();
        self.deaths.iter_mut().filter(|death| death.member == member).for_each(Death::end);
        let shown = self.views.iter_mut().skip(member).step_by(count.max(1));
        shown.for_each(|entry| entry.was_declared_dead = false);
        let own_view = &mut self.views[member * count..(member + 1) * count];
        for (other, entry) in own_view.iter_mut().enumerate() {
            if std::mem::take(entry).is_false_death {
                self.false_death_views[other] = self.false_death_views[other].saturating_sub(1);
            }
        }
    }
}
