//! Members' views, and what each may show.

use super::{Breach, Member, Membership};
use crate::interval::TimeInterval;

/// So many suspicions of a healthy member within [`FALSE_SUSPICION_WINDOW`], in fair or mild conditions, are too many.
const MAX_FALSE_SUSPICIONS: u32 = 4;
/// In multiples of the bound on one suspicion.
const FALSE_SUSPICION_WINDOW: u64 = 4;

/// What a view shows of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ViewState {
    Alive,
    Suspect,
    Dead,
    Left,
    Unknown,
}

impl ViewState {
    /// A history has a letter for each member.
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

/// A member in a view, as it was last read.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ViewEntry {
    pub state: Option<ViewState>,
    /// At the latest.
    since: u64,
    /// It was shown gone since its process ended, too late to be known from before.
    pub was_declared_dead: bool,
    /// A breach is reported once for each stretch of time.
    is_reported: bool,
    /// It is shown dead though it is healthy, and counted.
    pub is_false_death: bool,
    /// Suspicions while nothing had happened, and when the first of them came.
    false_suspicions: u32,
    false_suspicions_since: u64,
}

/// One member of a view that was read, and what is known of both ends.
struct Observation {
    observer: usize,
    member: usize,
    state: ViewState,
    /// The view was read no earlier than this.
    now: u64,
    /// The state differs from that of the last reading.
    has_changed: bool,
    /// The conditions are fair or mild, and nothing has happened for long.
    is_quiet: bool,
    /// All faults have ended for long.
    has_converged: bool,
}

impl Observation {
    /// Whether it has certainly lasted for longer than a bound.
    fn exceeds(&self, since: u64, bound_us: u64) -> bool {
        self.now > since.saturating_add(bound_us)
    }

    fn ms_since(&self, since: u64) -> u64 {
        self.now.saturating_sub(since) / 1_000
    }
}

/// A rule that is broken: the code of [`Breach::code`], and a sentence.
struct Violation {
    code: &'static str,
    what: String,
}

fn violation(code: &'static str, what: String) -> Violation {
    Violation { code, what }
}

impl Membership {
    /// Takes a view that was read: a letter for each member, `a`live, `s`uspect, `d`ead, `l`eft or `?`. A breach is
    /// returned once for each stretch of time.
    pub fn view(&mut self, time: TimeInterval, observer: usize, states: &str) -> Vec<Breach> {
        let mut breaches = Vec::new();
        let count = self.members.len();
        if observer >= count {
            return breaches;
        }
        let states: Vec<ViewState> = states.bytes().map(ViewState::of_letter).collect();
        self.figures.views += 1;
        self.measure(time, observer, &states);
        let has_converged = self.has_converged(time);
        // A view may lack members: its owner's list of them is shorter.
        let padded = states.into_iter().chain(std::iter::repeat(ViewState::Unknown));
        for (member, state) in padded.take(count).enumerate() {
            let broken = self.check_entry(time, observer, member, state, has_converged);
            let entry = &mut self.views[observer * count + member];
            match broken {
                Some(Violation { code, what }) if !entry.is_reported => {
                    entry.is_reported = true;
                    breaches.push(Breach { code, observer, member, what });
                }
                Some(_) => {}
                None => entry.is_reported = false,
            }
        }
        breaches
    }

    fn has_converged(&self, time: TimeInterval) -> bool {
        let is_calm = self.partitioned_pairs == 0
            && self.degradations == 0
            && !self.members.iter().any(|member| member.suspensions > 0);
        is_calm && time.earliest > self.changed_at + self.rules.converge_us
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
        let is_quiet = self.severe_degradations == 0 && now > self.changed_at + self.rules.accuse_us;
        let seen = Observation { observer, member, state, now, has_changed, is_quiet, has_converged };
        let about = self.members[member].clone();
        if !about.ever_started && state.is_live() {
            return Some(violation("stranger", "it is in the view and never was a member".into()));
        }
        let gone = about.down_since.and_then(|down_since| self.check_gone(&seen, down_since));
        if gone.is_some() || member == observer {
            return gone;
        }
        let healthy = self.check_healthy(&seen, &about);
        healthy.or_else(|| self.check_convergence(&seen, &about))
    }

    fn entry(&mut self, seen: &Observation) -> &mut ViewEntry {
        &mut self.views[seen.observer * self.members.len() + seen.member]
    }

    /// A member without a process: it is detected in time, and stays gone.
    fn check_gone(&mut self, seen: &Observation, down_since: u64) -> Option<Violation> {
        let detect_us = self.rules.detect_us;
        let healthy_since = self.members[seen.observer].healthy_since;
        let entry = self.entry(seen);
        if entry.was_declared_dead && seen.state.is_live() {
            let ms = seen.ms_since(down_since);
            return Some(violation(
                "risen",
                format!("shown dead, then alive, {ms} ms after its process ended"),
            ));
        }
        if seen.state.is_gone() && seen.exceeds(down_since, detect_us) {
            entry.was_declared_dead = true;
        }
        let since = down_since.max(healthy_since.unwrap_or(u64::MAX));
        let is_undetected = seen.state == ViewState::Alive && seen.exceeds(since, detect_us);
        let ms = seen.ms_since(down_since);
        is_undetected.then(|| violation("undetected", format!("alive {ms} ms after its process ended")))
    }

    /// A healthy member in a healthy view: it is not declared dead, and suspicions are refuted and rare.
    fn check_healthy(&mut self, seen: &Observation, about: &Member) -> Option<Violation> {
        let (own, other) = self.members[seen.observer].healthy_since.zip(about.healthy_since)?;
        let (accuse_us, refute_us) = (self.rules.accuse_us, self.rules.refute_us);
        let since = own.max(other).max(self.entry(seen).since);
        let ms = seen.ms_since(since);
        if seen.state.is_gone() {
            if seen.has_changed && seen.is_quiet {
                let what = "declared dead while it runs and is reached, and nothing has happened";
                return Some(violation("accused", what.into()));
            }
            let is_accused = seen.exceeds(since, accuse_us);
            return is_accused.then(|| {
                violation("accused", format!("dead in the view for {ms} ms while it runs and is reached"))
            });
        }
        if seen.state != ViewState::Suspect {
            return None;
        }
        if seen.has_changed
            && seen.is_quiet
            && let Some(broken) = self.count_false_suspicion(seen)
        {
            return Some(broken);
        }
        seen.exceeds(since, refute_us)
            .then(|| violation("unrefuted", format!("suspected for {ms} ms while it runs and is reached")))
    }

    fn count_false_suspicion(&mut self, seen: &Observation) -> Option<Violation> {
        let window_us = FALSE_SUSPICION_WINDOW * self.rules.refute_us;
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
            .then(|| violation("hounded", format!("suspected {times} times in {ms} ms with no reason")))
    }

    /// Once all faults have ended, views are as the processes are. A suspicion that passes is another rule's.
    fn check_convergence(&self, seen: &Observation, about: &Member) -> Option<Violation> {
        if !seen.has_converged || self.members[seen.observer].healthy_since.is_none() {
            return None;
        }
        let is_right = about.down_since.is_none() == seen.state.is_live();
        let ms = seen.ms_since(self.changed_at);
        let letter = seen.state.letter();
        (!is_right)
            .then(|| violation("diverged", format!("`{letter}` in the view {ms} ms after all faults ended")))
    }
}
