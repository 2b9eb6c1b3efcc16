//! How soon deaths are detected, and how often a healthy member is declared dead.

use serde::Serialize;

use super::views::ViewState;
use super::{Member, Membership};
use crate::interval::TimeInterval;

/// Figures of membership, beside the rules.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct MembershipFigures {
    /// Views that were read.
    pub views: usize,
    /// Processes that ended without a word.
    pub deaths: usize,
    /// For each that was seen: microseconds until the first healthy view had it as dead or suspected.
    pub first_us: Vec<u64>,
    /// For each that all healthy views saw: until the last of them had.
    pub last_us: Vec<u64>,
    /// Times that a member became dead in some view, where it and the view's owner had been healthy for the bound on
    /// accuracy.
    pub false_deaths: usize,
}

impl MembershipFigures {
    /// A quantile of some times; `None` where there are none.
    pub fn quantile(times: &[u64], quantile: f64) -> Option<u64> {
        let mut times = times.to_vec();
        times.sort_unstable();
        times.get((times.len().saturating_sub(1) as f64 * quantile) as usize).copied()
    }
}

/// A process that ended without a word, and who knows of it.
#[derive(Debug, Clone)]
pub(super) struct Death {
    pub member: usize,
    at: u64,
    known_to: Vec<bool>,
    /// Microseconds until the first healthy view showed it, and until all had.
    first_us: Option<u64>,
    last_us: Option<u64>,
    /// The member has started anew.
    is_over: bool,
}

impl Death {
    pub fn end(&mut self) {
        self.is_over = true;
    }
}

impl Membership {
    /// A member's process has ended without a word.
    pub(super) fn note_death(&mut self, member: usize, at: u64) {
        let known_to = vec![false; self.members.len()];
        self.figures.deaths += 1;
        self.deaths.push(Death { member, at, known_to, first_us: None, last_us: None, is_over: false });
    }

    /// Measures a view of a healthy observer.
    pub(super) fn measure(&mut self, time: TimeInterval, observer: usize, states: &[ViewState]) {
        if self.members[observer].healthy_since.is_none() {
            return;
        }
        for (member, state) in states.iter().enumerate().take(self.members.len()) {
            self.count_false_death(time, observer, member, *state);
        }
        self.measure_detection(time, observer, states);
    }

    fn count_false_death(&mut self, time: TimeInterval, observer: usize, member: usize, state: ViewState) {
        // So long that it can't be what was known of it before.
        let bound = self.rules.accuse_us;
        let is_settled = |member: &Member| {
            member.healthy_since.is_some_and(|since| time.earliest > since.saturating_add(bound))
        };
        let are_settled = is_settled(&self.members[observer]) && is_settled(&self.members[member]);
        let entry = &mut self.views[observer * self.members.len() + member];
        let views = &mut self.false_death_views[member];
        match (state == ViewState::Dead, entry.state == Some(ViewState::Dead)) {
            (true, false) if are_settled => {
                entry.is_false_death = true;
                self.figures.false_deaths += usize::from(*views == 0);
                *views += 1;
            }
            (false, _) if std::mem::take(&mut entry.is_false_death) => *views = views.saturating_sub(1),
            _ => {}
        }
    }

    fn measure_detection(&mut self, time: TimeInterval, observer: usize, states: &[ViewState]) {
        let count = self.members.len();
        for death in self.deaths.iter_mut().filter(|death| !death.is_over && death.last_us.is_none()) {
            let is_undetected = states.get(death.member).is_none_or(|state| *state == ViewState::Alive);
            if is_undetected || death.member == observer {
                continue;
            }
            let took_us = time.earliest.saturating_sub(death.at);
            if death.first_us.is_none() {
                death.first_us = Some(took_us);
                self.figures.first_us.push(took_us);
            }
            death.known_to[observer] = true;
            let knows = |other: usize| death.known_to[other] || self.members[other].healthy_since.is_none();
            if (0..count).all(knows) {
                death.last_us = Some(took_us);
                self.figures.last_us.push(took_us);
            }
        }
    }
}
