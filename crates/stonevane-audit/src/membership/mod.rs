//! The membership rules: each member's view of the others is compared with what is known of processes and of the network
//! between them. Members have no say in who is alive.
//!
//! A member is *healthy* while its process runs, is not paused, and datagrams pass in both directions between it and
//! most of the others that run; one that is left alone is not, for it can't tell the others' end from its own
//! partition. What a view may show is bounded in time since its owner and those that it shows were last unhealthy.

mod detection;
#[cfg(test)]
mod tests;
mod views;

use detection::Death;
pub use detection::MembershipFigures;
use views::ViewEntry;

use crate::interval::TimeInterval;
use crate::rules::MembershipRules;

/// A membership rule that is broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// Which rule:
    /// - `undetected`: a member that is gone is dead or suspected in every healthy view;
    /// - `accused`: a healthy member is not dead in any healthy view;
    /// - `hounded`: a healthy member is not falsely suspected again and again in fair or mild conditions;
    /// - `unrefuted`: a suspicion of a healthy member ends;
    /// - `diverged`: once all faults have ended, views are equal and right;
    /// - `stranger`: an unknown peer, which never was a member, is not alive in any view;
    /// - `risen`: an incarnation that ended is not alive again.
    pub code: &'static str,
    /// Whose view shows it.
    pub observer: usize,
    /// Of whom.
    pub member: usize,
    /// In a sentence.
    pub what: String,
}

#[derive(Debug, Clone, Default)]
struct Member {
    /// Since when it has had no process, at the latest; `None` while there is one.
    down_since: Option<u64>,
    ever_started: bool,
    /// It was sent SIGTERM, and may announce that it leaves.
    terminating: bool,
    /// Reasons why it can't be expected to answer: it starts, ends or is paused.
    suspensions: u32,
    /// At the latest; `None` while it is unhealthy.
    healthy_since: Option<u64>,
}

impl Member {
    fn is_running(&self) -> bool {
        self.down_since.is_none() && self.suspensions == 0
    }
}

/// Compares members' views with the state of processes and network. Events come in the order of their latest times.
#[derive(Debug)]
pub struct Membership {
    rules: MembershipRules,
    members: Vec<Member>,
    deaths: Vec<Death>,
    /// For each member, how many views have it dead though it is healthy.
    false_death_views: Vec<usize>,
    figures: MembershipFigures,
    /// How many partitions are in force from one member to another: a row for each sender.
    partitions: Vec<u16>,
    /// Pairs with a partition in force.
    partitioned_pairs: usize,
    /// Degradations of the network in force, and those of them that are severe.
    degradations: usize,
    severe_degradations: usize,
    /// When a process or the network last changed.
    changed_at: u64,
    /// A row for each observer.
    views: Vec<ViewEntry>,
}

impl Membership {
    /// Rules for a fleet of which nothing has started.
    pub fn new(rules: MembershipRules) -> Membership {
        let count = rules.members;
        let gone = Member { down_since: Some(0), ..Member::default() };
        Membership {
            rules,
            members: vec![gone; count],
            deaths: Vec::new(),
            false_death_views: vec![0; count],
            figures: MembershipFigures::default(),
            partitions: vec![0; count * count],
            partitioned_pairs: 0,
            degradations: 0,
            severe_degradations: 0,
            changed_at: 0,
            views: vec![ViewEntry::default(); count * count],
        }
    }

    /// The number of a member, by its name.
    pub fn number(&self, name: &str) -> Option<usize> {
        name.strip_prefix('n')?.parse().ok().filter(|number| *number < self.members.len())
    }

    /// The figures measured so far.
    pub fn figures(&self) -> &MembershipFigures {
        &self.figures
    }

    /// What became of a member's process: the states of the history's `node`.
    pub fn process_state(&mut self, time: TimeInterval, member: usize, state: &str) {
        let Some(known) = self.members.get_mut(member) else { return };
        match state {
            // It may speak as soon as it is started, and counts as running once it is ready.
            "starting" => {
                known.ever_started = true;
                known.down_since = None;
                known.healthy_since = None;
                known.suspensions = known.suspensions.max(1);
            }
            "ready" => {
                known.ever_started = true;
                known.terminating = false;
                known.down_since = None;
                known.suspensions = 0;
            }
            "term" => {
                known.terminating = true;
                known.suspensions += 1;
            }
            "paused" => known.suspensions += 1,
            "resumed" => known.suspensions = known.suspensions.saturating_sub(1),
            "killed" | "exited" | "crashed" if known.down_since.is_none() => {
                known.down_since = Some(time.latest);
                known.suspensions = 0;
                // One that was sent SIGTERM has announced that it leaves.
                if !std::mem::take(&mut known.terminating) {
                    self.note_death(member, time.latest);
                }
            }
            _ => return,
        }
        self.recompute_health(time);
        if matches!(state, "starting" | "ready") {
            self.begin_incarnation(member);
        }
    }

    /// Datagrams from one member to another are lost, or pass again.
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

    /// Datagrams begin to be lost, duplicated or late, or no longer are. Mild conditions lose no more than one in ten
    /// and delay by no more than a tenth of a probe's time: nobody is declared dead for them.
    pub fn network_conditions(&mut self, time: TimeInterval, begins: bool, is_mild: bool) {
        let step = |count: usize| if begins { count + 1 } else { count.saturating_sub(1) };
        self.degradations = step(self.degradations);
        if !is_mild {
            self.severe_degradations = step(self.severe_degradations);
        }
        self.recompute_health(time);
    }

    fn recompute_health(&mut self, time: TimeInterval) {
        self.changed_at = self.changed_at.max(time.latest);
        for member in 0..self.members.len() {
            let is_healthy = self.members[member].is_running() && self.reaches_most(member);
            let known = &mut self.members[member];
            known.healthy_since = is_healthy.then(|| known.healthy_since.unwrap_or(time.latest));
        }
    }

    /// Whether datagrams pass in both directions between a member and most of the others that run.
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

    /// A member has started anew: what was shown of its last incarnation is over, and its own view is empty.
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
