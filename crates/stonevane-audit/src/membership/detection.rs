//! Measures the detection times of deaths, and counts healthy members that are declared dead.

use serde::Serialize;

use super::views::ViewState;
use super::{Member, Membership};
use crate::interval::TimeInterval;

/// Measurements of the membership protocol; the rules do not depend on them.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct MembershipMeasurements {
    /// Number of views read.
    pub views: usize,
    /// Number of processes that ended without announcing that they leave.
    pub deaths: usize,
    /// For each death that was detected: microseconds until the first healthy view showed the member as dead
    /// or suspected.
    pub first_us: Vec<u64>,
    /// For each death that all healthy views detected: microseconds until the last of these views showed it.
    pub last_us: Vec<u64>,
    /// Number of times that a member was declared dead in some view although it and the view's owner had been
    /// healthy for longer than [`crate::MembershipRules::false_death_limit_us`].
    pub false_deaths: usize,
}

impl MembershipMeasurements {
    /// Returns the given quantile, 0 to 1, of `times`; `None` if `times` is empty.
    pub fn quantile(times: &[u64], quantile: f64) -> Option<u64> {
        let mut times = times.to_vec();
        times.sort_unstable();
        times.get((times.len().saturating_sub(1) as f64 * quantile) as usize).copied()
    }
}

/// A process that ended without announcing that it leaves, and the members that have detected its end.
#[derive(Debug, Clone)]
pub(super) struct Death {
    pub member: usize,
    ended_at: u64,
    /// For each member, whether its view has shown the death.
    detected_by: Vec<bool>,
    /// Microseconds until the first healthy view showed the death.
    first_us: Option<u64>,
    /// Microseconds until all healthy views had shown the death.
    last_us: Option<u64>,
    /// Whether the member has started again.
    is_over: bool,
}

impl Death {
    pub fn end(&mut self) {
        self.is_over = true;
    }
}

impl Membership {
    /// Records the end of a process that did not announce that it leaves.
    pub(super) fn record_death(&mut self, member: usize, ended_at: u64) {
        let detected_by = vec![false; self.members.len()];
        self.measurements.deaths += 1;
        self.deaths.push(Death {
            member,
            ended_at,
            detected_by,
            first_us: None,
            last_us: None,
            is_over: false,
        });
    }

    /// Updates the measurements by a view, if its observer is healthy.
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
        // Once both members have been healthy for this long, the view can't show a death from before that
        // time.
        let bound = self.rules.false_death_limit_us;
        let is_settled = |member: &Member| {
            member.healthy_since.is_some_and(|since| time.earliest > since.saturating_add(bound))
        };
        let are_settled = is_settled(&self.members[observer]) && is_settled(&self.members[member]);
        let entry = &mut self.views[observer * self.members.len() + member];
        let views = &mut self.false_death_views[member];
        match (state == ViewState::Dead, entry.state == Some(ViewState::Dead)) {
            (true, false) if are_settled => {
                entry.is_false_death = true;
                self.measurements.false_deaths += usize::from(*views == 0);
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
            let elapsed_us = time.earliest.saturating_sub(death.ended_at);
            if death.first_us.is_none() {
                death.first_us = Some(elapsed_us);
                self.measurements.first_us.push(elapsed_us);
            }
            death.detected_by[observer] = true;
            let is_done =
                |other: usize| death.detected_by[other] || self.members[other].healthy_since.is_none();
            if (0..count).all(is_done) {
                death.last_us = Some(elapsed_us);
                self.measurements.last_us.push(elapsed_us);
            }
        }
    }
}
