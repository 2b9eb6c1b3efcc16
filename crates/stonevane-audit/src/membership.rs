//! The rules of membership: what the lab, or the simulator, knows of processes and of the network between them, held
//! against each member's view as it was read from outside. Members are not asked who lives.
//!
//! A member is *clear* while its process runs, is not paused, and datagrams pass in both directions between it and most
//! of the others that run; one that is left alone is not, for it can't tell the others' end from its own cut. What a view may show is bounded in time since those that it is about, and its owner, were
//! last other than clear; the bounds are the settings'.

use serde::{Deserialize, Serialize};

use crate::history::TimeInterval;

/// The bounds, microseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipRules {
    /// How many members there are, named `n0` and so on.
    pub members: usize,
    /// A member whose process is gone this long is not alive in any clear member's view.
    pub detect_us: u64,
    /// A clear member is not dead in a clear member's view for longer than this.
    pub accuse_us: u64,
    /// A clear member is not suspected without a break for longer than this.
    pub refute_us: u64,
    /// Once all faults have ended for this long, every view is as the processes are.
    pub converge_us: u64,
}

/// A rule of membership that is broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// Which of [`BREACHES`].
    pub code: &'static str,
    /// Whose view shows it.
    pub observer: usize,
    /// Of whom.
    pub member: usize,
    /// In a sentence.
    pub what: String,
}

/// The codes, and what each is of.
pub const BREACHES: [(&str, &str); 7] = [
    ("undetected", "detection: a member that is gone is dead or suspected in every clear view"),
    ("accused", "accuracy: a clear member is not dead in any clear view"),
    ("hounded", "accuracy: a clear member is not suspected again and again in fair weather"),
    ("unrefuted", "refutation: a suspicion of a clear member ends"),
    ("diverged", "convergence: once all faults have ended, views are equal and right"),
    ("stranger", "no strangers: who never was a member is not alive in any view"),
    ("risen", "no resurrection: a life that ended stays ended"),
];

/// Suspicions of a clear member within so many times the bound on one, in fair or mild weather, that are too many.
const HOUNDED: (u32, u64) = (4, 4);

#[derive(Debug, Clone, Default)]
struct Member {
    /// Since when it has had no process, at the latest; `None` while there is one.
    down: Option<u64>,
    /// Whether there has ever been one.
    was: bool,
    /// It was told to end.
    told: bool,
    pauses: u32,
    /// Since when it has been clear, at the latest; `None` while it is not.
    clear: Option<u64>,
}

/// What a view shows of a member, and since when at the latest.
#[derive(Debug, Clone, Copy, Default)]
struct Shown {
    state: u8,
    since: u64,
    /// It has been shown dead since its process ended, long enough after that to be no late word.
    buried: bool,
    accused: bool,
    /// It is shown dead though it is clear, and counted.
    falsely: bool,
    /// When it was last seen to become suspected while all was quiet, and how often since the first of those.
    suspected: (u64, u32),
}

/// A process that ended without a word, and who knows of it.
#[derive(Debug, Clone)]
struct Death {
    member: usize,
    at: u64,
    knows: Vec<bool>,
    first: Option<u64>,
    last: Option<u64>,
    over: bool,
}

/// Figures of membership, beside the rules.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct MembershipFigures {
    /// Views that were read.
    pub views: usize,
    /// Processes that ended without a word.
    pub deaths: usize,
    /// For each that was seen: microseconds until the first clear view had it as dead or suspected.
    pub first_us: Vec<u64>,
    /// For each that all clear views saw: until the last of them had.
    pub last_us: Vec<u64>,
    /// Times that a member became dead in some view, where it and the view's owner had been clear for the bound on
    /// accuracy.
    pub false_deaths: usize,
}

impl MembershipFigures {
    /// A part of some times, the shortest first; `None` where there are none.
    pub fn quantile(times: &[u64], part: f64) -> Option<u64> {
        let mut times = times.to_vec();
        times.sort_unstable();
        times.get((times.len().saturating_sub(1) as f64 * part) as usize).copied()
    }
}

/// The judge. Events come in the order of their ends.
#[derive(Debug)]
pub struct Membership {
    deaths: Vec<Death>,
    /// For each member, how many views have it dead though it is clear.
    falsely: Vec<usize>,
    figures: MembershipFigures,
    rules: MembershipRules,
    members: Vec<Member>,
    /// How many cuts are in force from one to the other.
    cuts: Vec<u16>,
    any_cut: usize,
    /// Faults of the network that make datagrams late or lost, and those of them that are more than mild.
    weather: usize,
    severe: usize,
    changed: u64,
    views: Vec<Shown>,
}

impl Membership {
    /// A judge of a fleet of which nothing has started.
    pub fn new(rules: MembershipRules) -> Membership {
        let count = rules.members;
        let gone = Member { down: Some(0), ..Member::default() };
        Membership {
            deaths: Vec::new(),
            falsely: vec![0; count],
            figures: MembershipFigures::default(),
            rules,
            members: vec![gone; count],
            cuts: vec![0; count * count],
            any_cut: 0,
            weather: 0,
            severe: 0,
            changed: 0,
            views: vec![Shown::default(); count * count],
        }
    }

    /// The number of a member, by its name.
    pub fn number(&self, name: &str) -> Option<usize> {
        name.strip_prefix('n')?.parse().ok().filter(|number| *number < self.members.len())
    }

    /// What became of a member's process: the states of the history's `node`, and `paused` and `resumed`.
    pub fn process(&mut self, t: TimeInterval, member: usize, state: &str) {
        let Some(known) = self.members.get_mut(member) else { return };
        match state {
            // It may speak as soon as it is started, and counts as there once it is ready.
            "starting" => {
                known.was = true;
                known.down = None;
                known.clear = None;
                known.pauses = known.pauses.max(1);
            }
            "ready" => {
                known.was = true;
                known.told = false;
                known.down = None;
                known.pauses = 0;
            }
            // From here on it may say that it leaves.
            "term" => {
                known.told = true;
                known.pauses += 1;
            }
            "paused" => known.pauses += 1,
            "resumed" => known.pauses = known.pauses.saturating_sub(1),
            "killed" | "exited" | "crashed" if known.down.is_none() => {
                // One that was told to end has said so.
                if !std::mem::take(&mut known.told) {
                    let (at, knows) = (t.latest, vec![false; self.members.len()]);
                    let death = Death { member, at, knows, first: None, last: None, over: false };
                    self.figures.deaths += 1;
                    self.deaths.push(death);
                }
                let known = &mut self.members[member];
                known.down = Some(t.latest);
                known.pauses = 0;
            }
            _ => return,
        }
        self.change(t);
        if matches!(state, "starting" | "ready") {
            self.deaths.iter_mut().filter(|death| death.member == member).for_each(|death| death.over = true);
            let shown = self.views.iter_mut().skip(member).step_by(self.members.len().max(1));
            shown.for_each(|shown| shown.buried = false);
            // A new life's view is its own.
            let count = self.members.len();
            for (other, shown) in self.views[member * count..(member + 1) * count].iter_mut().enumerate() {
                if std::mem::take(shown).falsely {
                    self.falsely[other] = self.falsely[other].saturating_sub(1);
                }
            }
        }
    }

    /// Datagrams from one member to another are cut, or pass again.
    pub fn cut(&mut self, t: TimeInterval, from: usize, to: usize, cut: bool) {
        let count = self.members.len();
        if from >= count || to >= count {
            return;
        }
        let cuts = &mut self.cuts[from * count + to];
        let before = *cuts;
        *cuts = if cut { before.saturating_add(1) } else { before.saturating_sub(1) };
        match (before, *cuts) {
            (0, 1..) => self.any_cut += 1,
            (1.., 0) => self.any_cut -= 1,
            _ => {}
        }
        self.change(t);
    }

    /// Datagrams begin to be lost, doubled or late, or no longer are. Mild weather loses no more than one in ten and
    /// delays by no more than a tenth of a probe's time: nobody is declared dead for it.
    pub fn weather(&mut self, t: TimeInterval, begins: bool, mild: bool) {
        let step = |count: usize| if begins { count + 1 } else { count.saturating_sub(1) };
        self.weather = step(self.weather);
        if !mild {
            self.severe = step(self.severe);
        }
        self.change(t);
    }

    fn up(&self, member: usize) -> bool {
        let member = &self.members[member];
        member.down.is_none() && member.pauses == 0
    }

    fn change(&mut self, t: TimeInterval) {
        self.changed = self.changed.max(t.latest);
        let count = self.members.len();
        for member in 0..count {
            let clear = self.up(member) && {
                let others = (0..count).filter(|other| *other != member && self.up(*other));
                let passes = |other: &usize| {
                    self.any_cut == 0
                        || self.cuts[member * count + other] == 0 && self.cuts[other * count + member] == 0
                };
                let (mut all, mut reached) = (0, 0);
                others.for_each(|other| {
                    all += 1;
                    reached += usize::from(passes(&other));
                });
                2 * reached > all
            };
            let known = &mut self.members[member];
            known.clear = clear.then(|| known.clear.unwrap_or(t.latest));
        }
    }

    /// Takes a view that was read: a letter for each member, `a`live, `s`uspect, `d`ead, `l`eft or `?`. What is broken
    /// of it is told once for each stretch of time.
    pub fn view(&mut self, t: TimeInterval, observer: usize, states: &str) -> Vec<Breach> {
        let mut breaches = Vec::new();
        let count = self.members.len();
        if observer >= count {
            return breaches;
        }
        self.figures.views += 1;
        self.measure(t, observer, states.as_bytes());
        let calm = self.any_cut == 0 && self.weather == 0 && !self.members.iter().any(|m| m.pauses > 0);
        let settled = calm && t.earliest > self.changed + self.rules.converge_us;
        // Whoever is not in a view, nothing is known of: its owner's list of members is shorter.
        let states = states.bytes().chain(std::iter::repeat(b'?'));
        for (member, state) in states.take(count).enumerate() {
            let shown = self.judged(t, observer, member, state, settled);
            let held = &mut self.views[observer * count + member];
            match shown {
                Some((code, what)) if !held.accused => {
                    held.accused = true;
                    breaches.push(Breach { code, observer, member, what });
                }
                Some(_) => {}
                None => held.accused = false,
            }
        }
        breaches
    }

    /// The figures, with the verdict still to come.
    pub fn figures(&self) -> &MembershipFigures {
        &self.figures
    }

    fn measure(&mut self, t: TimeInterval, observer: usize, states: &[u8]) {
        let count = self.members.len();
        if self.members[observer].clear.is_none() {
            return;
        }
        // So long that it can't be what was said of them before.
        let bound = self.rules.accuse_us;
        let clear_long =
            |member: &Member| member.clear.is_some_and(|since| t.earliest > since.saturating_add(bound));
        for (member, state) in states.iter().enumerate().take(count) {
            let held = &mut self.views[observer * count + member];
            let falsely = &mut self.falsely[member];
            match (*state == b'd', held.state == b'd') {
                (true, false) if clear_long(&self.members[observer]) && clear_long(&self.members[member]) => {
                    held.falsely = true;
                    self.figures.false_deaths += usize::from(*falsely == 0);
                    *falsely += 1;
                }
                (false, _) if std::mem::take(&mut held.falsely) => *falsely = falsely.saturating_sub(1),
                _ => {}
            }
        }
        for death in self.deaths.iter_mut().filter(|death| !death.over && death.last.is_none()) {
            if states.get(death.member).is_none_or(|state| *state == b'a') || death.member == observer {
                continue;
            }
            let took = t.earliest.saturating_sub(death.at);
            if death.first.is_none() {
                death.first = Some(took);
                self.figures.first_us.push(took);
            }
            death.knows[observer] = true;
            if (0..count).all(|other| death.knows[other] || self.members[other].clear.is_none()) {
                death.last = Some(took);
                self.figures.last_us.push(took);
            }
        }
    }

    fn judged(
        &mut self,
        t: TimeInterval,
        observer: usize,
        member: usize,
        state: u8,
        settled: bool,
    ) -> Option<(&'static str, String)> {
        let count = self.members.len();
        let about = self.members[member].clone();
        let clear = self.members[observer].clear;
        let quiet = self.severe == 0 && t.earliest > self.changed + self.rules.accuse_us;
        let held = &mut self.views[observer * count + member];
        let turns = held.state != state;
        if turns {
            (held.state, held.since) = (state, t.latest);
        }
        let lives = matches!(state, b'a' | b's');
        let over = |since: u64, bound: u64| t.earliest > since.saturating_add(bound);
        let ms = |since: u64| t.earliest.saturating_sub(since) / 1_000;
        let rules = &self.rules;
        let held = &mut self.views[observer * count + member];
        if !about.was && lives {
            return Some(("stranger", "it is in the view and never was a member".into()));
        }
        if let Some(down) = about.down {
            if held.buried && lives {
                return Some((
                    "risen",
                    format!("shown dead, then alive, {} ms after its process ended", ms(down)),
                ));
            }
            if !lives && state != b'?' && over(down, rules.detect_us) {
                held.buried = true;
            }
            let since = down.max(clear.unwrap_or(u64::MAX));
            if state == b'a' && over(since, rules.detect_us) {
                return Some(("undetected", format!("alive {} ms after its process ended", ms(down))));
            }
        }
        if member == observer {
            return None;
        }
        if let Some((own, its)) = clear.zip(about.clear) {
            let since = own.max(its).max(held.since);
            let gone = matches!(state, b'd' | b'l');
            if gone && turns && quiet {
                return Some((
                    "accused",
                    "declared dead while it runs and is reached, and nothing has happened".into(),
                ));
            }
            if gone && over(since, rules.accuse_us) {
                return Some((
                    "accused",
                    format!("dead in the view for {} ms while it runs and is reached", ms(since)),
                ));
            }
            if state == b's' && turns && quiet {
                let (first, times) = held.suspected;
                let within = t.earliest <= first.saturating_add(HOUNDED.1 * rules.refute_us);
                held.suspected = if within { (first, times + 1) } else { (t.earliest, 1) };
                if held.suspected.1 >= HOUNDED.0 {
                    let what =
                        format!("suspected {} times in {} ms with no reason", held.suspected.1, ms(first));
                    return Some(("hounded", what));
                }
            }
            if state == b's' && over(since, rules.refute_us) {
                return Some((
                    "unrefuted",
                    format!("suspected for {} ms while it runs and is reached", ms(since)),
                ));
            }
        }
        if settled && self.members[observer].clear.is_some() {
            // A suspicion that passes is another rule's.
            let right = if about.down.is_some() { !lives } else { lives };
            if !right {
                let word = char::from(state);
                return Some((
                    "diverged",
                    format!("`{word}` in the view {} ms after all faults ended", ms(self.changed)),
                ));
            }
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RULES: MembershipRules =
        MembershipRules { members: 5, detect_us: 100, accuse_us: 50, refute_us: 80, converge_us: 200 };

    fn at(t: u64) -> TimeInterval {
        TimeInterval { earliest: t, latest: t }
    }

    /// Five members that run since 0.
    fn five() -> Membership {
        let mut judge = Membership::new(RULES);
        (0..5).for_each(|member| judge.process(at(0), member, "ready"));
        judge
    }

    #[track_caller]
    fn found(judge: &mut Membership, t: u64, observer: usize, view: &str, codes: &[&str]) {
        let breaches = judge.view(at(t), observer, view);
        let found: Vec<_> = breaches.iter().map(|breach| breach.code).collect();
        assert_eq!(found, codes, "{breaches:?}");
    }

    #[test]
    fn a_view_that_lacks_a_member_for_good_is_not_as_the_processes_are() {
        let mut judge = five();
        found(&mut judge, 150, 0, "aaa", &[]);
        found(&mut judge, 250, 0, "aaa", &["diverged", "diverged"]);
    }

    #[test]
    fn a_member_that_is_gone_must_not_be_alive_past_the_bound_and_may_be_suspected() {
        let mut judge = five();
        judge.process(at(1_000), 4, "killed");
        found(&mut judge, 1_100, 0, "aaaaa", &[]);
        found(&mut judge, 1_101, 0, "aaaaa", &["undetected"]);
        found(&mut judge, 1_102, 0, "aaaaa", &[]); // Told once.
        found(&mut judge, 1_103, 1, "aaaas", &[]);
        // An observer that was paused has as long again.
        judge.process(at(1_150), 2, "paused");
        judge.process(at(1_160), 2, "resumed");
        found(&mut judge, 1_259, 2, "aaaaa", &[]);
        found(&mut judge, 1_261, 2, "aaaaa", &["undetected"]);
    }

    #[test]
    fn a_clear_member_is_not_dead_or_suspected_past_the_bounds_and_one_that_is_cut_off_from_most_may_be() {
        let mut judge = five();
        found(&mut judge, 300, 0, "aaaas", &[]);
        let mut judge = Membership::new(MembershipRules { converge_us: u64::MAX >> 1, ..RULES });
        (0..5).for_each(|member| judge.process(at(0), member, "ready"));
        found(&mut judge, 1_000, 0, "aaaas", &[]);
        found(&mut judge, 1_080, 0, "aaaas", &[]);
        found(&mut judge, 1_081, 0, "aaaas", &["unrefuted"]);
        found(&mut judge, 1_100, 0, "aaaad", &[]); // The same stretch.
        found(&mut judge, 1_101, 0, "aaaad", &[]);
        found(&mut judge, 1_150, 0, "aaaad", &[]);
        found(&mut judge, 1_151, 0, "aaaad", &["accused"]);
        // One cut of one pair excuses nothing; from most it does, and from the heal on there is time.
        judge.cut(at(2_000), 4, 0, true);
        found(&mut judge, 2_000, 1, "aaaad", &[]);
        found(&mut judge, 2_051, 1, "aaaad", &["accused"]);
        [1, 2].iter().for_each(|to| judge.cut(at(2_100), 4, *to, true));
        found(&mut judge, 2_200, 2, "aaaad", &[]);
        found(&mut judge, 2_300, 2, "aaaad", &[]);
        [0, 1, 2].iter().for_each(|to| judge.cut(at(2_400), 4, *to, false));
        found(&mut judge, 2_450, 2, "aaaad", &[]);
        found(&mut judge, 2_451, 2, "aaaad", &["accused"]);
    }

    #[test]
    fn nobody_is_declared_dead_in_fair_or_mild_weather_and_in_severe_only_for_a_while() {
        let mut judge = Membership::new(MembershipRules { converge_us: u64::MAX >> 1, ..RULES });
        (0..5).for_each(|member| judge.process(at(0), member, "ready"));
        found(&mut judge, 10, 0, "aaaad", &[]); // Something has just happened.
        found(&mut judge, 40, 0, "aaaaa", &[]);
        judge.weather(at(50), true, true);
        found(&mut judge, 110, 0, "aaaaa", &[]);
        found(&mut judge, 120, 0, "aaaad", &["accused"]);
        judge.weather(at(200), true, false);
        found(&mut judge, 300, 1, "aaaad", &[]);
        found(&mut judge, 351, 1, "aaaad", &["accused"]);
    }

    #[test]
    fn a_member_that_is_suspected_again_and_again_is_hounded() {
        let mut judge = Membership::new(MembershipRules { converge_us: u64::MAX >> 1, ..RULES });
        (0..5).for_each(|member| judge.process(at(0), member, "ready"));
        for turn in 0..3 {
            found(&mut judge, 100 + 40 * turn, 0, "aaaas", &[]);
            found(&mut judge, 120 + 40 * turn, 0, "aaaaa", &[]);
        }
        found(&mut judge, 220, 0, "aaaas", &["hounded"]);
    }

    #[test]
    fn deaths_and_false_deaths_are_measured_once_each() {
        let mut judge = Membership::new(MembershipRules { converge_us: u64::MAX >> 1, ..RULES });
        (0..4).for_each(|member| judge.process(at(0), member, "ready"));
        judge.process(at(1_000), 3, "killed");
        judge.view(at(1_010), 0, "aaaa?");
        judge.view(at(1_020), 1, "aaas?");
        judge.view(at(1_030), 0, "aaad?");
        assert!(judge.figures().last_us.is_empty());
        judge.view(at(1_040), 2, "aaad?");
        assert_eq!((&judge.figures().first_us[..], &judge.figures().last_us[..]), (&[20][..], &[40][..]));
        // It is back, and held dead for a moment: of before. Then another is held dead by two.
        judge.process(at(1_100), 3, "ready");
        judge.view(at(1_120), 2, "aaad?");
        judge.view(at(1_130), 2, "aaaa?");
        judge.view(at(1_140), 0, "adaa?");
        judge.view(at(1_150), 2, "adaa?");
        judge.view(at(1_160), 0, "aaaa?");
        judge.view(at(1_170), 2, "aaaa?");
        assert_eq!((judge.figures().deaths, judge.figures().false_deaths), (1, 1));
        judge.view(at(1_180), 0, "adaa?");
        assert_eq!(judge.figures().false_deaths, 2);
    }

    #[test]
    fn one_that_is_left_alone_is_judged_from_when_it_has_company() {
        let mut judge = Membership::new(RULES);
        (0..3).for_each(|member| judge.process(at(0), member, "ready"));
        [1, 2].iter().for_each(|member| judge.process(at(10), *member, "killed"));
        found(&mut judge, 1_000, 0, "aas??", &[]);
        judge.process(at(1_000), 2, "ready");
        found(&mut judge, 1_080, 0, "aas??", &[]);
        found(&mut judge, 1_101, 0, "aas??", &["undetected", "unrefuted"]);
    }

    #[test]
    fn views_are_right_once_all_faults_have_ended_and_not_before() {
        let mut judge = five();
        judge.weather(at(100), true, false);
        found(&mut judge, 1_000, 0, "aaa?a", &[]);
        judge.weather(at(1_000), false, false);
        found(&mut judge, 1_200, 0, "aaa?a", &[]);
        found(&mut judge, 1_201, 0, "aaa?a", &["diverged"]);
        judge.process(at(1_300), 3, "killed");
        found(&mut judge, 1_501, 1, "aaada", &[]);
        found(&mut judge, 1_501, 2, "aaasa", &["diverged"]);
    }

    #[test]
    fn nobody_rises_and_no_stranger_comes_in() {
        let mut judge = Membership::new(RULES);
        (0..4).for_each(|member| judge.process(at(0), member, "ready"));
        found(&mut judge, 10, 0, "aaaa?", &[]);
        found(&mut judge, 11, 1, "aaaaa", &["stranger"]);
        judge.process(at(1_000), 3, "killed");
        found(&mut judge, 1_050, 0, "aaad?", &[]);
        // So early it may have been a late word of before.
        found(&mut judge, 1_060, 0, "aaaa?", &[]);
        found(&mut judge, 1_101, 0, "aaad?", &[]);
        found(&mut judge, 1_110, 0, "aaas?", &["risen"]);
        judge.process(at(1_200), 3, "starting");
        found(&mut judge, 1_201, 0, "aaaa?", &[]);
    }
}
