//! The auditor: events in, findings out, in one pass.
//!
//! Every accusation uses the bound of each span that speaks for the accused: an answer is late when the
//! earliest moment at which it can have come is past the latest at which it was due.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::rc::Rc;

use crate::history::{Effect, Event, HistoryRecord, Outcome, TimeInterval};
use crate::membership::Membership;
use crate::report::{Evidence, Fault, Finding, Report, Rule};
use crate::rules::{ClassRule, DedupScope, Idempotency, Rules, work_capacity};

/// A request is held for this long after its time, for what may still come of it.
const LINGER_US: u64 = 5_000_000;
/// An idempotency key is held for this long after it last ran.
const TOKEN_US: u64 = 60_000_000;
/// A suspicion is judged this much later, when all that could clear it has been read.
const JUDGED_US: u64 = 1_000_000;
/// Lines quoted in one finding, at most.
const MOST_EVIDENCE: usize = 12;
/// Ends of a node that are held, at most.
const MOST_ENDS: usize = 8;
/// What a process that stood still does after it may be this late, microseconds: it has to catch up first.
const STILL_US: u64 = 500_000;
/// Idempotency keys that are held for a server, at most.
const MOST_KEYS: usize = 4_096;
/// Versions of a key in the store that are held, at most, and idempotency keys.
const MOST_STORED: (usize, usize) = (256, 65_536);

/// A line and its number.
type Seen = (usize, Rc<HistoryRecord>);

/// What is held of a request.
#[derive(Default)]
struct Request {
    asks: Vec<Seen>,
    answer: Option<Seen>,
    gone: Option<Seen>,
    closed: Option<Seen>,
    attempts: Vec<Seen>,
    /// Replies and ends of attempts, with or without a value.
    replies: Vec<Seen>,
    /// It missed at a cold server.
    cold_miss: bool,
    /// Ways of breaking a rule that it has been accused of.
    accused: Vec<&'static str>,
}

impl Request {
    fn class(&self, rules: &Rules) -> ClassRule {
        let name = self.asks.first().or(self.attempts.first()).map_or("", |(_, line)| line.class.as_str());
        rules.class(name)
    }

    fn lines(&self) -> Vec<Seen> {
        let parts = [&self.asks[..], &self.attempts, &self.replies];
        let mut lines: Vec<Seen> = parts.into_iter().flatten().cloned().collect();
        lines.extend(self.answer.iter().chain(&self.gone).chain(&self.closed).cloned());
        lines
    }
}

/// What came to a server within its window.
struct Arrival {
    t: TimeInterval,
    work: u64,
    /// It counts towards the part that makes an overload a breach.
    counts: bool,
    seen: Seen,
}

#[derive(Default)]
struct Server {
    zone: String,
    cell: u64,
    start: Option<Seen>,
    arrivals: VecDeque<Arrival>,
    /// When its last overload began that is held against nobody.
    overrun: Option<u64>,
    /// The highest number of an attempt that came to it.
    highest: u64,
    /// Idempotency keys that ran here since it started, the newest last.
    ran: HashMap<String, Seen>,
    ran_order: VecDeque<String>,
}

impl Server {
    /// Capacity when warm, in microseconds of work a second; cold share; start; time to warm.
    fn figures(&self) -> Option<(f64, f64, u64, u64)> {
        let (_, line) = self.start.as_ref()?;
        let cold = line.warm_us > 0 && line.capacity_us_per_s > 0.0;
        // The earliest start that is possible leaves it the most capacity.
        cold.then_some((line.capacity_us_per_s, line.cold_share, line.time.earliest, line.warm_us))
    }

    /// Work that it can do from a moment on for a time, while it warms evenly.
    fn work_capacity(&self, from: u64, time: u64) -> f64 {
        let Some((capacity, share, start, warm)) = self.figures() else { return f64::INFINITY };
        work_capacity(capacity, share, start, warm, from, time)
    }

    fn cold(&self, at: u64) -> bool {
        self.figures().is_some_and(|(_, _, start, warm)| at < start + warm)
    }
}

/// What a node was told of a server, in force since.
#[derive(Default)]
struct Told {
    /// That it drains or is gone: the first time since it last ran.
    down: Option<Seen>,
    /// Its start, and when the node had surely heard of it.
    start: Option<(u64, u64)>,
    /// When it was said to run, at the earliest: the last few times.
    up: VecDeque<u64>,
}

/// A node's process.
#[derive(Default)]
struct Node {
    ready: Option<TimeInterval>,
    term: Option<Seen>,
    kills: Vec<Seen>,
    /// There is no process now: what discovery writes to it is read by nobody.
    gone: bool,
    /// When there was no process that could take a request: from when at the earliest until when at the latest.
    dead: VecDeque<(u64, u64)>,
    /// When it was stopped, or had a small part of its time only, and how many of these are in force.
    still: VecDeque<(u64, u64)>,
    stills: usize,
}

impl Node {
    /// Whether what a client wrote in a span may have come to no process.
    fn may_be_dead(&self, t: TimeInterval) -> bool {
        self.dead.iter().any(|(from, until)| *from <= t.latest && *until >= t.earliest)
    }

    /// Whether it may have stood still in some of a time: what it owed then could not be answered.
    fn stood_still(&self, from: u64, until: u64) -> bool {
        self.still.iter().any(|(begun, ended)| *begun <= until && *ended >= from)
    }

    fn stills(&mut self, t: TimeInterval, begins: bool) {
        if begins {
            self.stills += 1;
            if self.stills == 1 {
                self.still.push_back((t.earliest, u64::MAX));
                if self.still.len() > MOST_ENDS {
                    self.still.pop_front();
                }
            }
            return;
        }
        self.stills = self.stills.saturating_sub(1);
        if let Some((_, until)) = self.still.back_mut().filter(|_| self.stills == 0) {
            *until = (*until).min(t.latest + STILL_US);
        }
    }

    fn died(&mut self, t: TimeInterval) {
        if self.stills > 0 {
            self.stills = 1;
            self.stills(t, false);
        }
        self.gone = true;
        // An end that is noted twice is one.
        if self.dead.back().is_none_or(|(_, until)| *until < u64::MAX) {
            self.dead.push_back((t.earliest, u64::MAX));
            if self.dead.len() > MOST_ENDS {
                self.dead.pop_front();
            }
        }
    }
}

struct Suspect {
    due: u64,
    seen: Seen,
    /// Whether it is accused by what the node was told, or by what it counts as told.
    told: Seen,
    by_told: bool,
}

/// The auditor; see the crate's page.
pub struct Auditor {
    rules: Rc<Rules>,
    report: Report,
    now: u64,
    ended: bool,
    requests: HashMap<String, Request>,
    due: BinaryHeap<Reverse<(u64, String)>>,
    /// Values that were made, and for which request.
    made: HashMap<String, String>,
    /// The newest version of a key that a client has its receipt for: when at the latest, and the line.
    edited: HashMap<String, Vec<(u64, u64, Seen)>>,
    /// What the store of record has committed: by key, the newest last, and by idempotency key.
    stored: HashMap<String, VecDeque<Seen>>,
    committed: HashMap<String, Seen>,
    committed_order: VecDeque<String>,
    tokens: HashMap<String, (u64, HashSet<String>)>,
    token_due: VecDeque<(u64, String)>,
    servers: HashMap<String, Server>,
    nodes: HashMap<String, Node>,
    told: HashMap<(String, String), Told>,
    changed: HashMap<String, Told>,
    suspects: VecDeque<Suspect>,
    membership: Membership,
    /// The judgement that is left out, to see that tests miss it.
    mutant: Option<&'static str>,
}

impl Auditor {
    /// Each judgement, by the code of what it accuses of or, after `excuse-`, what it excuses.
    pub const JUDGEMENTS: [&'static str; 37] = [
        "twice",
        "stray",
        "late",
        "lost",
        "lost-after-reading",
        "unanswered",
        "crashed",
        "crashed-after-term",
        "value",
        "store-value",
        "edit-twice",
        "stale",
        "sent-after-answer",
        "refused-after-run",
        "ran-after-refusal",
        "unsafe-again",
        "unsafe-blind",
        "group",
        "window",
        "drained",
        "drained-deemed",
        "cold-server",
        "origin",
        "unasked",
        "wrong-node",
        "too-early",
        "wrong-key",
        "wrong-class",
        "wrong-token",
        "wrong-body",
        "too-many",
        "second-copy",
        "lingers",
        "excuse-gone",
        "excuse-killed",
        "excuse-dead",
        "excuse-untold",
    ];

    /// An auditor that leaves one judgement of [`Auditor::JUDGEMENTS`] out. For tests of tests.
    pub fn mutant(rules: Rules, without: &'static str) -> Self {
        Auditor { mutant: Some(without), ..Auditor::new(rules) }
    }

    fn judges(&self, judgement: &str) -> bool {
        self.mutant != Some(judgement)
    }

    /// An auditor of these rules.
    pub fn new(rules: Rules) -> Self {
        Auditor {
            membership: Membership::new(rules.membership.clone()),
            rules: Rc::new(rules),
            report: Report::default(),
            now: 0,
            ended: false,
            requests: HashMap::new(),
            due: BinaryHeap::new(),
            made: HashMap::new(),
            edited: HashMap::new(),
            stored: HashMap::new(),
            committed: HashMap::new(),
            committed_order: VecDeque::new(),
            tokens: HashMap::new(),
            token_due: VecDeque::new(),
            servers: HashMap::new(),
            nodes: HashMap::new(),
            told: HashMap::new(),
            changed: HashMap::new(),
            suspects: VecDeque::new(),
            mutant: None,
        }
    }

    /// Takes the next line; lines come in the order of their `t.ended`.
    pub fn line(&mut self, number: usize, line: HistoryRecord) {
        self.take((number, Rc::new(line)));
    }

    fn take(&mut self, seen: Seen) {
        self.report.events += 1;
        self.now = self.now.max(seen.1.time.latest);
        self.settle(self.now, false);
        match seen.1.event {
            Event::Begin | Event::Fault => {}
            Event::Request => self.ask(seen),
            Event::Answer => self.answer(seen),
            Event::ClientLeft => {
                let request = self.request(&seen);
                request.gone = Some(seen);
            }
            Event::Closed => {
                let request = self.request(&seen);
                if request.answer.is_none() {
                    request.closed = Some(seen);
                }
            }
            Event::UnsolicitedResponse => {
                let what = format!("node {} sent bytes that answer nothing", seen.1.node);
                let name = seen.1.request.clone();
                self.accuse_by("stray", Rule::FinalAnswer, "twice", &name, what, &[seen]);
            }
            Event::Attempt => self.attempt(seen),
            Event::Reply => self.reply(seen),
            Event::AttemptEnded => {
                let request = self.request(&seen);
                request.replies.push(seen);
            }
            Event::Start => {
                let server = self.servers.entry(seen.1.server_name().into()).or_default();
                (server.zone, server.cell) = (seen.1.zone.clone(), seen.1.cell);
                server.arrivals.clear();
                server.ran.clear();
                server.ran_order.clear();
                server.highest = 0;
                server.start = Some(seen);
            }
            Event::Down => {
                if let Some(server) = self.servers.get_mut(seen.1.server_name()) {
                    server.arrivals.clear();
                }
            }
            Event::Change => note(self.changed.entry(seen.1.server_name().into()).or_default(), seen),
            Event::Notified
                if self.nodes.get(&seen.1.node).is_some_and(|node| node.gone)
                    && self.judges("excuse-untold") => {}
            Event::Notified => {
                let key = (seen.1.node.clone(), seen.1.server_name().to_owned());
                note(self.told.entry(key).or_default(), seen);
            }
            Event::Node => {
                if let Some(member) = self.membership.number(&seen.1.node) {
                    self.membership.process(seen.1.time, member, &seen.1.state);
                }
                self.node(seen);
            }
            Event::View => self.view(seen),
            Event::Partition => {
                let ends = [&seen.1.node, &seen.1.server].map(|name| self.membership.number(name));
                if let [Some(from), Some(to)] = ends {
                    self.membership.cut(seen.1.time, from, to, seen.1.state == "cut");
                }
            }
            Event::NetworkConditions => {
                let (begins, mild) = (!seen.1.state.ends_with("-ends"), seen.1.state.starts_with("mild"));
                self.membership.weather(seen.1.time, begins, mild);
            }
            Event::Committed => self.stored(seen),
            // How busy discovery is breaks no rule.
            Event::Call => {}
            Event::End => self.ended = true,
        }
    }

    /// The verdict, once the last line was taken.
    pub fn finish(mut self) -> Report {
        self.settle(u64::MAX, true);
        self.report.membership = self.membership.figures().clone();
        self.report
    }

    fn request(&mut self, seen: &Seen) -> &mut Request {
        let name = &seen.1.request;
        if !self.requests.contains_key(name) {
            // Until it is known how long its client waits.
            self.due.push(Reverse((seen.1.time.latest + 2 * LINGER_US, name.clone())));
            self.requests.insert(name.clone(), Request::default());
            self.report.peak_requests = self.report.peak_requests.max(self.requests.len());
        }
        self.requests.entry(name.clone()).or_default()
    }

    // Rule 1.

    fn ask(&mut self, seen: Seen) {
        let name = seen.1.request.clone();
        let until = seen.1.deadline;
        let request = self.request(&seen);
        let first = request.asks.is_empty();
        request.asks.push(seen.clone());
        let closed = request.closed.take();
        // A close that crossed the request had not read it; an attempt before it is sent once more proves that
        // the node had, and lost it.
        let read = request.attempts.iter().find(|(_, a)| a.time.latest < seen.1.time.earliest).cloned();
        self.due.push(Reverse((until + self.rules.answer_slack_us + LINGER_US, name.clone())));
        if first {
            self.report.requests += 1;
        } else if let (Some(closed), Some(read)) = (closed, read) {
            let what = format!("node {} had read it and ended its connection with no answer", closed.1.node);
            let proof = [read, closed, seen];
            self.accuse_by("lost-after-reading", Rule::FinalAnswer, "lost", &name, what, &proof);
        }
    }

    fn answer(&mut self, seen: Seen) {
        let (name, rules) = (seen.1.request.clone(), self.rules.clone());
        let request = self.request(&seen);
        if let Some(before) = request.answer.clone() {
            let what = "a second final answer".to_owned();
            return self.accuse(Rule::FinalAnswer, "twice", &name, what, &[before, seen]);
        }
        request.answer = Some(seen.clone());
        let ask = request.asks.last().cloned();
        let kind = request.class(&rules);
        let outcome = seen.1.outcome.unwrap_or(Outcome::Failed);
        let class = ask.as_ref().map_or("", |(_, ask)| ask.class.as_str()).to_owned();
        self.report.answers.entry(class).or_default()[outcome as usize] += 1;
        if let Some(ask) = ask {
            let by = ask.1.deadline + self.rules.answer_slack_us;
            let node = self.nodes.get(&ask.1.node);
            let still = node.is_some_and(|node| node.stood_still(ask.1.time.earliest, by));
            if seen.1.time.earliest > by && !still {
                let what = format!("answered {} us after its client had given up", seen.1.time.earliest - by);
                self.accuse(Rule::FinalAnswer, "late", &name, what, &[ask, seen.clone()]);
            }
        }
        match outcome {
            Outcome::Served => self.served(&name, &kind, seen),
            Outcome::Rejected => {
                let ran = self.requests[&name].attempts.iter().find(|(_, a)| a.effect == Some(Effect::Ran));
                if let Some(ran) = ran.filter(|_| kind.refusal_harms()).cloned() {
                    let what = "refused, as if a retry did no harm, though it has run".to_owned();
                    self.accuse(Rule::DuplicateEffects, "refused-after-run", &name, what, &[ran, seen]);
                }
            }
            Outcome::Failed => {}
        }
    }

    /// A version was committed by the store of record; its idempotency key has not been before.
    fn stored(&mut self, seen: Seen) {
        let line = &seen.1;
        let versions = self.stored.entry(line.key.clone()).or_default();
        versions.push_back(seen.clone());
        if versions.len() > MOST_STORED.0 {
            versions.pop_front();
        }
        if line.idempotency_key.is_empty() {
            return;
        }
        let token = line.idempotency_key.clone();
        if let Some(before) = self.committed.insert(token.clone(), seen.clone()) {
            let what =
                format!("the edit {token} was carried out twice: {} and {}", before.1.version, line.version);
            return self.accuse(Rule::DuplicateEffects, "edit-twice", "", what, &[before, seen]);
        }
        self.committed_order.push_back(token);
        if self.committed_order.len() > MOST_STORED.1
            && let Some(oldest) = self.committed_order.pop_front()
        {
            self.committed.remove(&oldest);
        }
    }

    /// The version that an answer from the store of record shows; `None` where the store has not made it by then.
    fn of_store(&self, kind: &ClassRule, ask: &HistoryRecord, answer: &HistoryRecord) -> Option<u64> {
        let in_time = |(_, commit): &&Seen| commit.time.earliest <= answer.time.latest;
        if kind.kind != Idempotency::Idempotent {
            let (_, commit) = self.committed.get(&ask.idempotency_key).filter(in_time)?;
            let own = commit.key == ask.key && commit.version.to_string() == answer.value;
            return own.then_some(commit.version);
        }
        // An area that was never edited is empty.
        let empty = answer.value.is_empty().then_some(0);
        let versions = self.stored.get(&ask.key).into_iter().flatten().rev();
        let shown = versions.filter(in_time).find(|(_, commit)| commit.value == answer.value);
        shown.map(|(_, commit)| commit.version).or(empty)
    }

    fn served(&mut self, name: &str, kind: &ClassRule, seen: Seen) {
        let request = &self.requests[name];
        let ask = request.asks.first().cloned();
        let made = |r: &&Seen| r.1.value == seen.1.value && !r.1.value.is_empty();
        let made = request.replies.iter().find(made).map(|(_, reply)| reply.version);
        let of_store = || ask.as_ref().and_then(|(_, ask)| self.of_store(kind, ask, &seen.1));
        let Some(version) = made.or_else(|| if self.rules.store { of_store() } else { None }) else {
            let judgement = if self.rules.store { "store-value" } else { "value" };
            let what = match self.made.get(&seen.1.value) {
                Some(other) => format!("served with the value made for request {other}"),
                None => "served with a value that no server made".to_owned(),
            };
            let mut lines = request.replies.clone();
            lines.push(seen);
            return self.accuse_by(judgement, Rule::FinalAnswer, "value", name, what, &lines);
        };
        let Some((_, ask)) = ask else { return };
        if kind.kind == Idempotency::Idempotent {
            // An edit whose receipt its client had before this was asked must show.
            let newer = self.edited.get(&ask.key).into_iter().flatten();
            let shows = ask.time.earliest.saturating_sub(self.rules.write_visible_us);
            let newer = newer.filter(|(at, new, _)| *at < shows && *new > version).max_by_key(|e| e.1);
            if let Some((_, new, edit)) = newer.cloned() {
                let what = format!("served version {version} of a key that was at {new} before it was asked");
                self.accuse(Rule::FinalAnswer, "stale", name, what, &[edit, seen]);
            }
        } else if version > 0 {
            let edits = self.edited.entry(ask.key.clone()).or_default();
            edits.push((seen.1.time.latest, version, seen));
            // Of two edits the one that is newer and was answered earlier says all that the other does.
            let all = std::mem::take(edits);
            let beaten = |e: &(u64, u64, Seen)| all.iter().any(|o| o.0 <= e.0 && o.1 > e.1);
            let mut kept: Vec<_> = all.iter().filter(|e| !beaten(e)).cloned().collect();
            kept.sort_by_key(|e| e.1);
            let from = kept.len().saturating_sub(16);
            *edits = kept.split_off(from);
        }
    }

    // Rule 2.

    fn attempt(&mut self, seen: Seen) {
        self.report.attempts += 1;
        let (name, effect) = (seen.1.request.clone(), seen.1.effect.unwrap_or(Effect::Ran));
        let cold = self.servers.get(seen.1.server_name()).is_some_and(|s| s.cold(seen.1.time.latest));
        let rules = self.rules.clone();
        let slack = rules.answer_slack_us;
        let request = self.request(&seen);
        request.cold_miss |= cold && effect == Effect::Miss;
        let (node, cold_miss) = (seen.1.node.clone(), request.cold_miss);
        let mut kind = request.class(&rules);
        if kind.name.is_empty() {
            kind = rules.class(&seen.1.class);
        }
        let before = std::mem::take(&mut request.attempts);
        let answer = request.answer.clone();
        if effect != Effect::NotReceived {
            self.repeat(&name, &kind, &before, &seen, effect);
            if let Some(answer) = answer.filter(|(_, a)| a.time.latest + slack < first(&seen).earliest) {
                let what = "sent to a server after its final answer".to_owned();
                self.accuse(Rule::FinalAnswer, "sent-after-answer", &name, what, &[answer, seen.clone()]);
            }
            self.drain(&seen, &node);
            self.arrival(&seen, &node, cold_miss);
        }
        if effect == Effect::Ran && !seen.1.idempotency_key.is_empty() {
            self.token(&seen);
            self.ran_here(&kind, &seen);
        }
        let server = self.servers.entry(seen.1.server_name().into()).or_default();
        server.highest = server.highest.max(seen.1.number);
        let request = self.request(&seen);
        request.attempts = before;
        request.attempts.push(seen);
    }

    fn repeat(&mut self, name: &str, kind: &ClassRule, before: &[Seen], seen: &Seen, effect: Effect) {
        let slack = self.rules.answer_slack_us;
        let refused = self.requests[name].answer.clone();
        let refused = refused.filter(|(_, a)| a.outcome == Some(Outcome::Rejected));
        if let Some(answer) = refused.filter(|_| kind.refusal_harms() && effect == Effect::Ran) {
            let what = "refused, as if a retry did no harm, though it ran".to_owned();
            let proof = [answer, seen.clone()];
            self.accuse_by(
                "ran-after-refusal",
                Rule::DuplicateEffects,
                "refused-after-run",
                name,
                what,
                &proof,
            );
        }
        for earlier in before.iter().filter(|(_, b)| b.effect == Some(Effect::Ran)) {
            let after = first(seen).earliest > earlier.1.time.latest;
            let ran = effect == Effect::Ran;
            let pair = [earlier.clone(), seen.clone()];
            match kind.kind {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent if ran || after => {
                    let what = "an unsafe request was sent again after it had run".to_owned();
                    self.accuse(Rule::DuplicateEffects, "unsafe-again", name, what, &pair);
                }
                Idempotency::WithKey if (ran || after) && !self.shares(kind.scope, &earlier.1, &seen.1) => {
                    let what = format!("sent again to {}, which can't know it", seen.1.server_name());
                    self.accuse(Rule::DuplicateEffects, "group", name, what, &pair);
                }
                Idempotency::WithKey
                    if first(seen).earliest > earlier.1.time.latest + kind.window_us + slack =>
                {
                    let late = first(seen).earliest - earlier.1.time.latest;
                    let what = format!("sent again {late} us after it ran, past the {} us", kind.window_us);
                    self.accuse(Rule::DuplicateEffects, "window", name, what, &pair);
                }
                Idempotency::NonIdempotent | Idempotency::WithKey => {}
            }
        }
    }

    fn shares(&self, scope: DedupScope, one: &HistoryRecord, other: &HistoryRecord) -> bool {
        let known = |line: &HistoryRecord| self.servers.get(line.server_name()).filter(|s| s.start.is_some());
        let place = |line: &HistoryRecord| known(line).map(|s| (s.zone.as_str(), s.cell));
        match (scope, place(one), place(other)) {
            (DedupScope::Zone, Some(one), Some(other)) => one.0 == other.0,
            (DedupScope::Cell, Some(one), Some(other)) => one.1 == other.1,
            // Of servers whose place is not known nothing is proven.
            _ => true,
        }
    }

    fn reply(&mut self, seen: Seen) {
        let (name, rules) = (seen.1.request.clone(), self.rules.clone());
        self.reply_to(&seen);
        let request = self.request(&seen);
        request.replies.push(seen.clone());
        let own = |a: &&Seen| a.1.server_name() == seen.1.server_name() && a.1.number == seen.1.number;
        let own = request.attempts.iter().find(own).cloned();
        // Sent again while nobody could know that the first attempt had not run.
        let blind = own.as_ref().and_then(|own| {
            let blind = |a: &&Seen| {
                let surely = own.1.time.latest < first(a).earliest && a.1.time.latest < seen.1.time.earliest;
                surely && a.1.effect != Some(Effect::NotReceived)
            };
            request.attempts.iter().find(blind).cloned()
        });
        let kind = request.class(&rules).kind;
        if !seen.1.value.is_empty() {
            self.made.insert(seen.1.value.clone(), name.clone());
        }
        if let (Idempotency::NonIdempotent, Some(own), Some(blind)) = (kind, own, blind) {
            let what = "an unsafe request was sent again while its first attempt was out".to_owned();
            self.accuse_by(
                "unsafe-blind",
                Rule::DuplicateEffects,
                "unsafe-again",
                &name,
                what,
                &[own, blind, seen],
            );
        }
    }

    /// A server that is to drop repeats and ran one is at fault itself.
    fn ran_here(&mut self, kind: &ClassRule, seen: &Seen) {
        let server = self.servers.entry(seen.1.server_name().into()).or_default();
        let before = server.ran.insert(seen.1.idempotency_key.clone(), seen.clone());
        if before.is_none() {
            server.ran_order.push_back(seen.1.idempotency_key.clone());
            if server.ran_order.len() > MOST_KEYS {
                let oldest = server.ran_order.pop_front().unwrap_or_default();
                server.ran.remove(&oldest);
            }
        }
        let Some(before) = before.filter(|_| kind.kind == Idempotency::WithKey) else { return };
        if seen.1.time.latest < before.1.time.earliest + kind.window_us {
            let what = format!("ran the key {} twice within {} us", seen.1.idempotency_key, kind.window_us);
            self.blame("ran-twice", what, &[before, seen.clone()]);
        }
    }

    /// Each reply is one to an attempt, and the only one.
    fn reply_to(&mut self, seen: &Seen) {
        let own = |a: &&Seen| a.1.server_name() == seen.1.server_name() && a.1.number == seen.1.number;
        let Some(request) = self.requests.get(&seen.1.request) else { return };
        let attempt = request.attempts.iter().find(own);
        let reply = request.replies.iter().find(own).filter(|(_, r)| r.event == Event::Reply).cloned();
        // What is held since it was asked has all its attempts; for the rest the server's own count tells.
        let never = match self.servers.get(seen.1.server_name()) {
            Some(server) => seen.1.number > server.highest,
            None => true,
        };
        let unknown = attempt.is_none() && (never || !request.asks.is_empty());
        if unknown {
            let what = format!("answered attempt {}, which never came", seen.1.number);
            self.blame("reply-to-none", what, std::slice::from_ref(seen));
        } else if let Some(reply) = reply {
            let what = format!("answered attempt {} twice", seen.1.number);
            self.blame("replied-twice", what, &[reply, seen.clone()]);
        }
    }

    // The tie of attempts to what was asked, and the deployment's limits.

    /// Judges the attempts of a request, when nothing more can come of it.
    fn tie(&mut self, name: &str, last: bool) {
        let Some(request) = self.requests.get(name) else { return };
        // Of a history that breaks off, the last moments may lack what was asked.
        let settled = |a: &&Seen| !last || self.ended || a.1.time.latest + JUDGED_US < self.now;
        // One that was seen so late that its request may be forgotten proves nothing.
        let sure = |a: &&Seen| a.1.time.latest - first(a).earliest.min(a.1.time.latest) < LINGER_US / 2;
        let attempts: Vec<Seen> = request.attempts.iter().filter(settled).filter(sure).cloned().collect();
        let asks = request.asks.clone();
        let over: Vec<Seen> = request.replies.clone();
        let Some((_, ask)) = asks.first().cloned() else {
            if let Some(attempt) = attempts.first() {
                let what = "no client asked for it".to_owned();
                self.accuse(Rule::AttemptIntegrity, "unasked", name, what, std::slice::from_ref(attempt));
            }
            return;
        };
        for attempt in &attempts {
            let line = &attempt.1;
            let own = asks.iter().filter(|(_, ask)| ask.node == line.node);
            match own.map(|(_, ask)| ask.time.earliest).min() {
                None => {
                    let what = format!("sent by node {}, which was not asked", line.node);
                    self.accuse(
                        Rule::AttemptIntegrity,
                        "wrong-node",
                        name,
                        what,
                        std::slice::from_ref(attempt),
                    );
                }
                Some(begun) if line.time.latest < begun => {
                    let what = format!("sent {} us before it was asked", begun - line.time.latest);
                    self.accuse(
                        Rule::AttemptIntegrity,
                        "too-early",
                        name,
                        what,
                        std::slice::from_ref(attempt),
                    );
                }
                Some(_) => {}
            }
            // An edit's digest is known only where its client writes one down.
            let digest = if ask.digest.is_empty() { "" } else { line.digest.as_str() };
            let parts = [
                ("wrong-key", "key", &ask.key, line.key.as_str()),
                ("wrong-class", "class", &ask.class, line.class.as_str()),
                ("wrong-token", "token", &ask.idempotency_key, line.idempotency_key.as_str()),
                ("wrong-body", "value's digest", &ask.digest, digest),
            ];
            for (code, part, asked, sent) in parts {
                if asked != sent {
                    let what = format!("sent with the {part} `{sent}`, asked with `{asked}`");
                    self.accuse(Rule::AttemptIntegrity, code, name, what, std::slice::from_ref(attempt));
                }
            }
        }
        self.limits(name, &asks, &attempts, &over);
    }

    fn limits(&mut self, name: &str, asks: &[Seen], attempts: &[Seen], over: &[Seen]) {
        let came = |a: &&Seen| a.1.effect != Some(Effect::NotReceived);
        let most = self.rules.max_attempts as usize;
        let nodes: HashSet<&str> = asks.iter().map(|(_, ask)| ask.node.as_str()).collect();
        for node in nodes {
            let own: Vec<Seen> = attempts.iter().filter(came).filter(|a| a.1.node == node).cloned().collect();
            let times = asks.iter().filter(|(_, ask)| ask.node == node).count();
            if most > 0 && own.len() > most * times {
                let what = format!("{} attempts by node {node}, {most} at the most", own.len());
                self.accuse(Rule::Limits, "too-many", name, what, &own);
            }
            if self.rules.hedging {
                continue;
            }
            for (at, second) in own.iter().enumerate() {
                // Out for certain: all of it had come, and what ended it came later or never.
                let out = own[..at].iter().find(|earlier| {
                    let ends = |o: &&Seen| {
                        o.1.server_name() == earlier.1.server_name() && o.1.number == earlier.1.number
                    };
                    earlier.1.time.latest < first(second).earliest
                        && earlier.1.effect != Some(Effect::Busy)
                        && !over.iter().filter(ends).any(|(_, o)| o.time.earliest <= second.1.time.latest)
                });
                if let Some(out) = out {
                    let what = format!("a second copy while the first was out at {}", out.1.server_name());
                    self.accuse(Rule::Limits, "second-copy", name, what, &[out.clone(), second.clone()]);
                    break;
                }
            }
        }
    }

    /// Counts effects that happened more than once, whoever is to blame.
    fn token(&mut self, seen: &Seen) {
        let until = seen.1.time.latest + TOKEN_US;
        let place = format!("{}#{}", seen.1.server_name(), seen.1.number);
        let (last, ran) = self.tokens.entry(seen.1.idempotency_key.clone()).or_default();
        *last = until;
        ran.insert(place);
        if ran.len() == 2 {
            self.report.duplicate_effects += 1;
        }
        self.token_due.push_back((until, seen.1.idempotency_key.clone()));
    }

    // Rule 3.

    fn drain(&mut self, seen: &Seen, node: &str) {
        let (grace, server) =
            (self.rules.drain_grace_us + self.rules.answer_slack_us, seen.1.server_name().to_owned());
        let due = seen.1.time.latest + JUDGED_US;
        let told = self.told.get(&(node.to_owned(), server.clone())).and_then(|t| t.down.clone());
        if let Some(told) = told.filter(|(_, t)| first(seen).earliest > t.time.latest + grace) {
            return self.suspects.push_back(Suspect { due, seen: seen.clone(), told, by_told: true });
        }
        let deemed = self.rules.assumed_notified_us;
        let Some(change) = self.changed.get(&server).and_then(|t| t.down.clone()) else { return };
        // A node that has just started with an old list is given the same time.
        let ready = self.nodes.get(node).and_then(|n| n.ready).map_or(0, |ready| ready.latest);
        let known = change.1.time.latest.max(ready) + deemed;
        if deemed > 0 && first(seen).earliest > known + grace {
            self.suspects.push_back(Suspect { due, seen: seen.clone(), told: change, by_told: false });
        }
    }

    fn judge(&mut self, suspect: Suspect) {
        let Suspect { seen, told, by_told, .. } = suspect;
        let key = (seen.1.node.clone(), seen.1.server_name().to_owned());
        let now = if by_told { self.told.get(&key) } else { self.changed.get(seen.1.server_name()) };
        // It may have been said to run again before the attempt was sent.
        let cleared = |at: u64| at >= told.1.time.earliest && at <= seen.1.time.latest;
        if now.is_some_and(|t| t.up.iter().copied().any(cleared)) {
            return;
        }
        let late = first(&seen).earliest - told.1.time.latest;
        let how = if by_told { "was told" } else { "counts as told" };
        let what = format!(
            "sent to {} at least {late} us after node {} {how} of its {}",
            key.1, key.0, told.1.status
        );
        let name = seen.1.request.clone();
        let judgement = if by_told { "drained" } else { "drained-deemed" };
        self.accuse_by(judgement, Rule::Draining, "drained", &name, what, &[told, seen]);
    }

    // Rule 4.

    fn arrival(&mut self, seen: &Seen, node: &str, cold_miss: bool) {
        let (t, work) = (seen.1.time, seen.1.work_us);
        let Some(server) = self.servers.get_mut(seen.1.server_name()) else {
            if seen.1.origin {
                self.origin(seen, cold_miss);
            }
            return;
        };
        if seen.1.origin {
            return self.origin(seen, cold_miss);
        }
        if !server.figures().is_some_and(|f| t.earliest >= f.2 && t.earliest < f.2 + f.3) {
            return;
        }
        let since = server.start.as_ref().map_or(0, |(_, s)| s.started_at);
        let deemed = server.start.as_ref().map_or(0, |(_, s)| s.time.latest) + self.rules.assumed_notified_us;
        let told = self.told.get(&(node.to_owned(), seen.1.server_name().to_owned())).and_then(|t| t.start);
        let informed = told.is_some_and(|(start, at)| start >= since && at <= t.earliest)
            || self.rules.assumed_notified_us > 0 && deemed <= t.earliest;
        let window = self.rules.overload_window_us;
        while server.arrivals.front().is_some_and(|a| a.t.earliest + window < t.latest) {
            server.arrivals.pop_front();
        }
        let at = server.arrivals.partition_point(|a| a.t.earliest <= t.earliest);
        server.arrivals.insert(at, Arrival { t, work, counts: informed, seen: seen.clone() });
        let (mut sum, mut counted) = (0, 0);
        let mut breach = None;
        // The windows that end with this arrival, the shortest first.
        for arrival in server.arrivals.iter().rev() {
            sum += arrival.work;
            counted += if arrival.counts { arrival.work } else { 0 };
            let work_capacity =
                server.work_capacity(arrival.t.earliest, window) * self.rules.overload_multiple;
            let over = sum as f64 > work_capacity * (1.0 + self.rules.cold_slack);
            if over && counted as f64 >= self.rules.informed_share * sum as f64 {
                breach = Some((sum, work_capacity));
            }
        }
        let Some((sum, work_capacity)) = breach else { return };
        let mut lines: Vec<Seen> = server.start.iter().cloned().collect();
        let arrivals = server.arrivals.iter().filter(|a| a.counts).map(|a| a.seen.clone());
        lines.extend(ends(arrivals.collect()));
        let nodes: HashSet<&str> = server.arrivals.iter().map(|a| a.seen.1.node.as_str()).collect();
        let what = format!(
            "{} cold got {} ms of work in {} ms from {} nodes, {:.0} ms at the most",
            seen.1.server_name(),
            sum / 1_000,
            window / 1_000,
            nodes.len(),
            work_capacity / 1e3
        );
        server.arrivals.clear();
        self.accuse(Rule::SlowStart, "cold-server", "", what, &lines);
    }

    fn origin(&mut self, seen: &Seen, cold_miss: bool) {
        let rule = &self.rules.origin;
        if rule.capacity_us_per_s <= 0.0 {
            return;
        }
        let work_capacity =
            rule.overload_multiple * rule.capacity_us_per_s / 1e6 * rule.overload_window_us as f64;
        let (window, part, t) = (rule.overload_window_us, rule.cold_share, seen.1.time);
        let server = self.servers.entry(seen.1.server_name().into()).or_default();
        while server.arrivals.front().is_some_and(|a| a.t.earliest + window < t.latest) {
            server.arrivals.pop_front();
        }
        let at = server.arrivals.partition_point(|a| a.t.earliest <= t.earliest);
        let work = seen.1.work_us;
        server.arrivals.insert(at, Arrival { t, work, counts: cold_miss, seen: seen.clone() });
        let (mut sum, mut counted, mut over, mut breach) = (0, 0, false, None);
        for arrival in server.arrivals.iter().rev() {
            sum += arrival.work;
            counted += if arrival.counts { arrival.work } else { 0 };
            if sum as f64 > work_capacity {
                over = true;
                breach = (counted as f64 >= part * sum as f64).then_some((sum, counted)).or(breach);
            }
        }
        let Some((sum, counted)) = breach else {
            // Once for each window of an overload that others brought about.
            if over && server.overrun.is_none_or(|at| at + window < t.latest) {
                server.overrun = Some(t.latest);
                self.report.origin_overruns += 1;
            }
            return;
        };
        let cold = server.arrivals.iter().filter(|a| a.counts);
        let lines = ends(cold.map(|a| a.seen.clone()).collect());
        server.arrivals.clear();
        let what = format!(
            "the origin got {} ms of work in {} ms, {:.0} ms at the most, {} ms of it from misses at cold servers",
            sum / 1_000,
            window / 1_000,
            work_capacity / 1e3,
            counted / 1_000
        );
        self.accuse(Rule::SlowStart, "origin", "", what, &lines);
    }

    // Nodes, and the end of requests.

    /// What a node holds of the others.
    fn view(&mut self, seen: Seen) {
        let Some(observer) = self.membership.number(&seen.1.node) else { return };
        for breach in self.membership.view(seen.1.time, observer, &seen.1.state) {
            let what = format!("n{} in the view of {}: {}", breach.member, seen.1.node, breach.what);
            self.accuse(Rule::Membership, breach.code, "", what, std::slice::from_ref(&seen));
        }
    }

    fn node(&mut self, seen: Seen) {
        let node = self.nodes.entry(seen.1.node.clone()).or_default();
        match seen.1.state.as_str() {
            "starting" => node.gone = false,
            "ready" => {
                node.gone = false;
                (node.ready, node.term) = (Some(seen.1.time), None);
                if let Some((_, until)) = node.dead.back_mut().filter(|(_, until)| *until == u64::MAX) {
                    *until = seen.1.time.latest;
                }
            }
            "term" => node.term = Some(seen),
            "paused" | "slowed" => node.stills(seen.1.time, true),
            "resumed" | "steady" => node.stills(seen.1.time, false),
            "killed" => {
                node.died(seen.1.time);
                // What it was told is gone with it.
                let term = node.term.clone();
                let after = term.as_ref().map(|(_, t)| seen.1.time.earliest.saturating_sub(t.time.latest));
                if after.is_none_or(|after| after <= self.rules.kill_grace_us) {
                    node.kills.push(seen.clone());
                    let from = node.kills.len().saturating_sub(MOST_ENDS);
                    node.kills.drain(..from);
                }
                self.told.retain(|(name, _), _| *name != seen.1.node);
                let exit = self.rules.shutdown_limit_us;
                if let Some((term, after)) = term.zip(after).filter(|(_, after)| exit > 0 && *after > exit) {
                    let what = format!("node {} had not ended {after} us after SIGTERM", seen.1.node);
                    self.accuse(Rule::Limits, "lingers", "", what, &[term, seen]);
                }
            }
            "exited" => {
                node.died(seen.1.time);
                let expected = node.term.is_some();
                self.told.retain(|(name, _), _| *name != seen.1.node);
                if !expected {
                    let what = format!("node {} ended by itself", seen.1.node);
                    self.accuse(Rule::FinalAnswer, "crashed", "", what, &[seen]);
                }
            }
            "crashed" => {
                let what = format!("node {} did not exit with 0 after SIGTERM", seen.1.node);
                self.accuse_by("crashed-after-term", Rule::FinalAnswer, "crashed", "", what, &[seen]);
            }
            _ => {}
        }
    }

    /// Ends what is due by a time.
    fn settle(&mut self, now: u64, last: bool) {
        while self.suspects.front().is_some_and(|s| s.due <= now) {
            let Some(suspect) = self.suspects.pop_front() else { break };
            self.judge(suspect);
        }
        while self.due.peek().is_some_and(|Reverse((due, _))| *due <= now) {
            let Some(Reverse((due, name))) = self.due.pop() else { break };
            self.end(&name, due, last);
        }
        while self.token_due.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, token)) = self.token_due.pop_front() else { break };
            if self.tokens.get(&token).is_some_and(|(until, _)| *until <= now) {
                self.tokens.remove(&token);
            }
        }
    }

    /// A request's time is over, and all that could come of it has been read.
    fn end(&mut self, name: &str, due: u64, last: bool) {
        let Some(request) = self.requests.get(name) else { return };
        let Some(ask) = request.asks.last().cloned() else {
            // Never asked in this history: nothing is owed.
            if last || due <= self.now {
                self.tie(name, last);
                self.drop_request(name);
            }
            return;
        };
        let by = ask.1.deadline + self.rules.answer_slack_us;
        if !last && due < by + LINGER_US {
            return; // It was asked once more meanwhile.
        }
        if request.answer.is_none() {
            // A history that breaks off says nothing of what was still in time.
            let over = if self.ended { self.now > by } else { self.now > by + JUDGED_US };
            let node = self.nodes.get(&ask.1.node);
            let mut kills = node.into_iter().flat_map(|n| &n.kills);
            let killed = kills.any(|(_, k)| k.time.latest >= ask.1.time.earliest && k.time.earliest <= by);
            // Written to a process that was no more, or not yet.
            let dead = node.is_some_and(|n| n.may_be_dead(ask.1.time));
            let gone = request.gone.is_some() && self.judges("excuse-gone");
            let still = node.is_some_and(|n| n.stood_still(ask.1.time.earliest, by));
            if gone || still || killed && self.judges("excuse-killed") || dead && self.judges("excuse-dead") {
                self.report.excused += 1;
            } else if let Some(closed) = request.closed.clone() {
                let what = format!("node {} ended its connection with no answer", closed.1.node);
                self.accuse(Rule::FinalAnswer, "lost", name, what, &[ask, closed]);
            } else if over {
                let what = format!("node {} gave no answer", ask.1.node);
                let lines = request.lines();
                self.accuse(Rule::FinalAnswer, "unanswered", name, what, &lines);
            } else {
                self.report.pending += 1;
            }
        }
        self.tie(name, last);
        self.drop_request(name);
    }

    fn drop_request(&mut self, name: &str) {
        if let Some(request) = self.requests.remove(name) {
            for (_, reply) in &request.replies {
                self.made.remove(&reply.value);
            }
        }
    }

    fn accuse(&mut self, rule: Rule, code: &'static str, request: &str, what: String, proof: &[Seen]) {
        self.accuse_by(code, rule, code, request, what, proof);
    }

    /// Accuses, where one code has several judgements.
    fn accuse_by(
        &mut self,
        judgement: &str,
        rule: Rule,
        code: &'static str,
        request: &str,
        what: String,
        proof: &[Seen],
    ) {
        if !self.judges(judgement) {
            return;
        }
        if let Some(held) = self.requests.get_mut(request) {
            if held.accused.contains(&code) {
                return;
            }
            held.accused.push(code);
        }
        self.report.broken += 1;
        if self.report.findings.len() >= Report::MOST {
            return;
        }
        let mut proof = proof.to_vec();
        // A request's own first line tells what it was.
        if let Some(ask) = self.requests.get(request).and_then(|r| r.asks.first()) {
            proof.push(ask.clone());
        }
        let evidence = evidence(proof);
        self.report.findings.push(Finding { rule, code, request: request.into(), what, evidence });
    }

    /// Notes a fault of the server that the last line of the proof speaks of.
    fn blame(&mut self, code: &'static str, what: String, proof: &[Seen]) {
        self.report.faulty += 1;
        if self.report.faults.len() >= Report::MOST {
            return;
        }
        let server = proof.last().map_or("", |(_, line)| line.server_name()).to_owned();
        self.report.faults.push(Fault { server, code, what, evidence: evidence(proof.to_vec()) });
    }
}

/// Lines as they are quoted: in their order, each once, and not too many.
fn evidence(mut proof: Vec<Seen>) -> Vec<Evidence> {
    proof.sort_by_key(|(number, _)| *number);
    proof.dedup_by_key(|(number, _)| *number);
    let quoted = proof
        .iter()
        .take(MOST_EVIDENCE)
        .map(|(number, line)| Evidence { line: *number, text: line.to_json_line().trim_end().to_owned() });
    quoted.collect()
}

/// When an attempt's first byte came.
fn first(seen: &Seen) -> TimeInterval {
    seen.1.first_byte.unwrap_or(seen.1.time)
}

/// Notes what is said of a server.
fn note(told: &mut Told, seen: Seen) {
    if seen.1.status == "active" {
        told.down = None;
        told.up.push_back(seen.1.time.earliest);
        if told.up.len() > 8 {
            told.up.pop_front();
        }
        if told.start.is_none_or(|(start, _)| start < seen.1.started_at) {
            told.start = Some((seen.1.started_at, seen.1.time.latest));
        }
    } else if told.down.is_none() {
        told.down = Some(seen);
    }
}

/// The first and the last few of many lines.
fn ends(mut lines: Vec<Seen>) -> Vec<Seen> {
    if lines.len() > 6 {
        lines.drain(3..lines.len() - 3);
    }
    lines
}
