//! Views of members, and the checks of what they show.

use super::{Member, Membership, MembershipViolation};
use crate::interval::TimeInterval;

/// Number of suspicions that is a violation if a view suspects one healthy member so often within one window,
/// in normal or mildly degraded network conditions; see [`FALSE_SUSPICION_WINDOW_FACTOR`].
const MAX_FALSE_SUSPICIONS: u32 = 4;
/// Length of the window for counting false suspicions, in multiples of the bound on the duration of one
/// suspicion.
const FALSE_SUSPICION_WINDOW_FACTOR: u64 = 4;

/// State of a member in a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ViewState {
    Alive,
    Suspect,
    Dead,
    Left,
    Unknown,
}

impl ViewState {
    /// Returns the state for a letter of a recorded view.
    pub fn of_letter(letter: u8) -> ViewState {
        match letter {
            b'a' => ViewState::Alive,
            b's' => ViewState::Suspect,
            b'd' => ViewState::Dead,
            b'l' => ViewState::Left,
            _ => ViewState::Unknown,
        }
    }

    fn letter(self) -> char {
        match self {
            ViewState::Alive => 'a',
            ViewState::Suspect => 's',
            ViewState::Dead => 'd',
            ViewState::Left => 'l',
            ViewState::Unknown => '?',
        }
    }

    fn is_live(self) -> bool {
        matches!(self, ViewState::Alive | ViewState::Suspect)
    }

    fn is_gone(self) -> bool {
        matches!(self, ViewState::Dead | ViewState::Left)
    }
}

/// Entry of a view: the state of one member in the last reading of the view.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ViewEntry {
    pub state: Option<ViewState>,
    /// Latest possible moment since which the view shows `state`.
    since: u64,
    /// Whether the view showed the member dead or left so long after its process ended that this must refer
    /// to the ended incarnation.
    pub was_declared_dead: bool,
    /// Whether the current violation by this entry is already reported; each violation is reported once while
    /// it lasts.
    is_reported: bool,
    /// Whether the entry is counted as a false death: it shows a healthy member as dead.
    pub is_false_death: bool,
    /// Number of suspicions of the healthy member within the current window.
    false_suspicions: u32,
    /// Moment of the first suspicion in the current window, in microseconds.
    false_suspicions_since: u64,
}

/// One entry of a view that was read, with the conditions under which it was read.
struct Observation {
    observer: usize,
    member: usize,
    state: ViewState,
    /// Earliest possible moment of the reading, in microseconds.
    now: u64,
    /// Whether the member's state differs from the state in the last reading of the view.
    has_changed: bool,
    /// Whether network conditions are normal or mild, and neither a process nor the network has changed for
    /// longer than the bound on false deaths.
    is_quiet: bool,
    /// Whether all faults ended longer ago than the bound on convergence.
    has_converged: bool,
}

impl Observation {
    /// Returns whether certainly more than `bound_us` has passed since a moment.
    fn exceeds(&self, since: u64, bound_us: u64) -> bool {
        self.now > since.saturating_add(bound_us)
    }

    fn ms_since(&self, since: u64) -> u64 {
        self.now.saturating_sub(since) / 1_000
    }
}

/// A violation that an entry of a view shows: one of the codes of [`MembershipViolation::code`], and a
/// description.
struct Violation {
    code: &'static str,
    description: String,
}

fn violation(code: &'static str, description: String) -> Violation {
    Violation { code, description }
}

impl Membership {
    /// Checks a view that was read: one letter per member, `a`live, `s`uspect, `d`ead, `l`eft or `?` for
    /// unknown. A violation that lasts over several readings is returned once.
    pub fn view(&mut self, time: TimeInterval, observer: usize, states: &str) -> Vec<MembershipViolation> {
        let mut violations = Vec::new();
        let count = self.members.len();
        if observer >= count {
            return violations;
        }
        let states: Vec<ViewState> = states.bytes().map(ViewState::of_letter).collect();
        self.measurements.views += 1;
        self.measure(time, observer, &states);
        let has_converged = self.has_converged(time);
        // A view may lack members at its end, if its owner's list of members is shorter.
        let padded = states.into_iter().chain(std::iter::repeat(ViewState::Unknown));
        for (member, state) in padded.take(count).enumerate() {
            let found = self.check_entry(time, observer, member, state, has_converged);
            let entry = &mut self.views[observer * count + member];
            match found {
                Some(Violation { code, description }) if !entry.is_reported => {
                    entry.is_reported = true;
                    violations.push(MembershipViolation { code, observer, member, description });
                }
                Some(_) => {}
                None => entry.is_reported = false,
            }
        }
        violations
    }

    fn has_converged(&self, time: TimeInterval) -> bool {
        let no_active_faults = self.partitioned_pairs == 0
            && self.degradations == 0
            && !self.members.iter().any(|member| member.suspensions > 0);
        no_active_faults && time.earliest > self.changed_at + self.rules.convergence_limit_us
    }

    fn check_entry(
        &mut self,
        time: TimeInterval,
        observer: usize,
        member: usize,
        state: ViewState,
        has_converged: bool,
    ) -> Option<Violation> {
        let entry = &mut self.views[observer * self.members.len() + member];
        let has_changed = entry.state != Some(state);
        if has_changed {
            (entry.state, entry.since) = (Some(state), time.latest);
        }
        let now = time.earliest;
        let is_quiet =
            self.severe_degradations == 0 && now > self.changed_at + self.rules.false_death_limit_us;
        let seen = Observation { observer, member, state, now, has_changed, is_quiet, has_converged };
        let subject = self.members[member].clone();
        if !subject.ever_started && state.is_live() {
            return Some(violation("stranger", "in the view though it never was a member".into()));
        }
        let found = subject.down_since.and_then(|down_since| self.check_gone(&seen, down_since));
        if found.is_some() || member == observer {
            return found;
        }
        let found = self.check_healthy(&seen, &subject);
        found.or_else(|| self.check_convergence(&seen, &subject))
    }

    fn entry(&mut self, seen: &Observation) -> &mut ViewEntry {
        &mut self.views[seen.observer * self.members.len() + seen.member]
    }

    /// Checks the entry of a member without a process: the view shows the member's end in time, and does not
    /// show the member alive again.
    fn check_gone(&mut self, seen: &Observation, down_since: u64) -> Option<Violation> {
        let detection_limit_us = self.rules.detection_limit_us;
        let healthy_since = self.members[seen.observer].healthy_since;
        let entry = self.entry(seen);
        if entry.was_declared_dead && seen.state.is_live() {
            let ms = seen.ms_since(down_since);
            return Some(violation(
                "risen",
                format!("shown alive again after it was shown dead, {ms} ms after its process ended"),
            ));
        }
        if seen.state.is_gone() && seen.exceeds(down_since, detection_limit_us) {
            entry.was_declared_dead = true;
        }
        let since = down_since.max(healthy_since.unwrap_or(u64::MAX));
        let is_undetected = seen.state == ViewState::Alive && seen.exceeds(since, detection_limit_us);
        let ms = seen.ms_since(down_since);
        is_undetected.then(|| violation("undetected", format!("shown alive {ms} ms after its process ended")))
    }

    /// Checks the entry of a healthy member in a healthy view: the member is not declared dead, and
    /// suspicions of it are refuted in time and rare.
    fn check_healthy(&mut self, seen: &Observation, subject: &Member) -> Option<Violation> {
        let (own, other) = self.members[seen.observer].healthy_since.zip(subject.healthy_since)?;
        let (false_death_limit_us, refutation_limit_us) =
            (self.rules.false_death_limit_us, self.rules.refutation_limit_us);
        let since = own.max(other).max(self.entry(seen).since);
        let ms = seen.ms_since(since);
        if seen.state.is_gone() {
            if seen.has_changed && seen.is_quiet {
                let what = "declared dead without a recent fault, though it runs and is reachable";
                return Some(violation("accused", what.into()));
            }
            let is_falsely_dead = seen.exceeds(since, false_death_limit_us);
            return is_falsely_dead.then(|| {
                violation("accused", format!("shown dead for {ms} ms, though it runs and is reachable"))
            });
        }
        if seen.state != ViewState::Suspect {
            return None;
        }
        if seen.has_changed
            && seen.is_quiet
            && let Some(violation) = self.count_false_suspicion(seen)
        {
            return Some(violation);
        }
        seen.exceeds(since, refutation_limit_us).then(|| {
            violation("unrefuted", format!("suspected for {ms} ms, though it runs and is reachable"))
        })
    }

    fn count_false_suspicion(&mut self, seen: &Observation) -> Option<Violation> {
        let window_us = FALSE_SUSPICION_WINDOW_FACTOR * self.rules.refutation_limit_us;
        let entry = self.entry(seen);
        let first = entry.false_suspicions_since;
        if seen.exceeds(first, window_us) {
            entry.false_suspicions = 1;
            entry.false_suspicions_since = seen.now;
        } else {
            entry.false_suspicions += 1;
        }
        let times = entry.false_suspicions;
        let ms = seen.ms_since(first);
        (times >= MAX_FALSE_SUSPICIONS)
            .then(|| violation("hounded", format!("suspected {times} times in {ms} ms without a cause")))
    }

    /// Checks that views match the state of the processes once all faults have ended. A suspected member
    /// counts as alive here, because another rule bounds suspicions.
    fn check_convergence(&self, seen: &Observation, subject: &Member) -> Option<Violation> {
        if !seen.has_converged || self.members[seen.observer].healthy_since.is_none() {
            return None;
        }
        let is_right = subject.down_since.is_none() == seen.state.is_live();
        let ms = seen.ms_since(self.changed_at);
        let letter = seen.state.letter();
        (!is_right)
            .then(|| violation("diverged", format!("shown as `{letter}` {ms} ms after all faults ended")))
    }
}
