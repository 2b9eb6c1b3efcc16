//! A slow, simple reference model of the auditor: it searches the whole history for each question.

use std::collections::BTreeSet;

use stonevane_audit::*;

use crate::generator::{ANSWER_SLACK_US, MS};

pub type Findings = BTreeSet<(String, String)>;

pub fn has_run(attempt: &HistoryRecord) -> bool {
    attempt.effect == Some(Effect::Ran)
}

/// Reference model of the auditor over a whole history.
pub struct Model<'a> {
    pub rules: &'a Rules,
    pub lines: &'a [HistoryRecord],
}

impl<'a> Model<'a> {
    /// Returns the lines of an event and a request before a position, with their positions.
    fn of(&self, event: Event, request: &str, before: usize) -> Vec<(usize, &'a HistoryRecord)> {
        let all = self.lines.iter().enumerate().take(before);
        all.filter(|(_, record)| record.event == event && record.request == request).collect()
    }

    fn all(&self, event: Event, request: &str) -> Vec<(usize, &'a HistoryRecord)> {
        self.of(event, request, usize::MAX)
    }

    fn class(&self, request: &str, before: usize) -> ClassRule {
        let sent = self.of(Event::Request, request, before).into_iter().next();
        let attempt = self.of(Event::Attempt, request, before).into_iter().next();
        self.rules.class(sent.or(attempt).map_or("", |(_, record)| &record.class))
    }

    /// Returns the version that an answer shows, if a server produced its value for this request.
    fn version_shown(&self, answer: usize) -> Option<u64> {
        let record = &self.lines[answer];
        let replies = self.of(Event::Reply, &record.request, answer);
        replies.into_iter().find(|(_, reply)| reply.value == record.value).map(|(_, reply)| reply.version)
    }

    /// Returns whether a line is the first answer to its request, and served.
    fn is_served(&self, at: usize) -> bool {
        let record = &self.lines[at];
        record.event == Event::Answer
            && record.outcome == Some(Outcome::Served)
            && self.all(Event::Answer, &record.request)[0].0 == at
    }

    /// Returns whether an answer shows a version older than one that was acknowledged before its request was
    /// sent.
    fn is_stale(&self, at: usize, version: u64) -> bool {
        let sent = |at: usize| self.of(Event::Request, &self.lines[at].request, at).into_iter().next();
        let Some((_, read)) = sent(at) else { return false };
        (0..at).any(|edit| {
            self.is_served(edit)
                && self.class(&self.lines[edit].request, edit).kind != Idempotency::Idempotent
                && sent(edit).is_some_and(|(_, write)| write.key == read.key)
                && self.lines[edit].time.latest < read.time.earliest
                && self.version_shown(edit).is_some_and(|newer| newer > version)
        })
    }

    /// Returns the zone of the server of a line, if the server has a known start.
    fn zone(line: &HistoryRecord) -> Option<&'static str> {
        match line.server_name() {
            "s0" => Some("a"),
            "s1" => Some("b"),
            _ => None,
        }
    }

    /// Returns all findings.
    pub fn findings(&self) -> Findings {
        let mut findings = Findings::new();
        let mut add = |code: &str, request: &str| {
            findings.insert((code.into(), request.into()));
        };
        for (at, record) in self.lines.iter().enumerate() {
            let id = record.request.as_str();
            match record.event {
                Event::Request if self.resent_after_reading(at) => add("lost", id),
                Event::Answer if self.all(Event::Answer, id)[0].0 != at => add("twice", id),
                Event::Answer => self.answer(at, &mut add),
                Event::Attempt if record.effect != Some(Effect::NotReceived) => {
                    self.attempt_after_answer(at, &mut add);
                    self.repeats(at, &mut add);
                    self.drain(at, &mut add);
                }
                Event::Reply if self.shows_blind_repeat(at) => add("unsafe-again", id),
                _ => {}
            }
        }
        self.missing_answers(&mut add);
        self.attempt_integrity(&mut add);
        for server in ["s0", "o"] {
            self.overloads(server, &mut add);
        }
        findings
    }

    /// Returns the attempts of the request of the record at `at` that precede this record.
    fn attempts_before(&self, at: usize) -> Vec<(usize, &'a HistoryRecord)> {
        self.of(Event::Attempt, &self.lines[at].request, at)
    }

    /// Returns the class of a record's request, and whether the request must not be rejected once it has run.
    fn class_at(&self, at: usize) -> (ClassRule, bool) {
        let class = self.class(&self.lines[at].request, at + 1);
        let harmful = class.kind == Idempotency::NonIdempotent
            || class.kind == Idempotency::WithKey && class.scope != DedupScope::All;
        (class, harmful)
    }

    /// Returns whether a request is sent again after its node had read it and closed the connection.
    fn resent_after_reading(&self, at: usize) -> bool {
        let record = &self.lines[at];
        let id = record.request.as_str();
        let closes = self.of(Event::Closed, id, at);
        let sends = self.of(Event::Request, id, at);
        let since = sends.last().map_or(0, |(at, _)| *at);
        let answered = |at: usize| !self.of(Event::Answer, id, at).is_empty();
        let closed = closes.iter().any(|(at, _)| *at > since && !answered(*at));
        let attempts = self.attempts_before(at);
        let read = attempts.iter().any(|(_, attempt)| attempt.time.latest < record.time.earliest);
        !sends.is_empty() && closed && read
    }

    /// Checks the first answer to a request.
    fn answer(&self, at: usize, add: &mut impl FnMut(&str, &str)) {
        let record = &self.lines[at];
        let id = record.request.as_str();
        let (class, harmful) = self.class_at(at);
        let sends = self.of(Event::Request, id, at);
        if sends.last().is_some_and(|(_, sent)| record.time.earliest > sent.deadline + ANSWER_SLACK_US) {
            add("late", id);
        }
        let has_run = || self.attempts_before(at).iter().any(|(_, attempt)| has_run(attempt));
        match (record.outcome, self.version_shown(at)) {
            (Some(Outcome::Rejected), _) if harmful && has_run() => add("refused-after-run", id),
            (Some(Outcome::Served), None) => add("value", id),
            (Some(Outcome::Served), Some(version))
                if class.kind == Idempotency::Idempotent && self.is_stale(at, version) =>
            {
                add("stale", id);
            }
            _ => {}
        }
    }

    fn attempt_after_answer(&self, at: usize, add: &mut impl FnMut(&str, &str)) {
        let record = &self.lines[at];
        let id = record.request.as_str();
        let (_, harmful) = self.class_at(at);
        let answers = self.of(Event::Answer, id, at);
        let Some((_, answer)) = answers.first() else { return };
        if answer.outcome == Some(Outcome::Rejected) && harmful && has_run(record) {
            add("refused-after-run", id);
        }
        if answer.time.latest + ANSWER_SLACK_US < record.time.earliest {
            add("sent-after-answer", id);
        }
    }

    /// Checks an attempt against the earlier attempts of its request that ran.
    fn repeats(&self, at: usize, add: &mut impl FnMut(&str, &str)) {
        let record = &self.lines[at];
        let id = record.request.as_str();
        let (class, _) = self.class_at(at);
        for (_, earlier) in self.attempts_before(at).iter().filter(|(_, attempt)| has_run(attempt)) {
            let is_repeat = has_run(record) || record.time.earliest > earlier.time.latest;
            let (one, other) = (Model::zone(earlier), Model::zone(record));
            let apart = class.scope == DedupScope::Zone && one.is_some() && other.is_some() && one != other;
            if class.kind == Idempotency::NonIdempotent && is_repeat {
                add("unsafe-again", id);
            }
            if class.kind == Idempotency::WithKey && is_repeat && apart {
                add("group", id);
            } else if class.kind == Idempotency::WithKey
                && record.time.earliest > earlier.time.latest + class.window_us + ANSWER_SLACK_US
            {
                add("window", id);
            }
        }
    }

    /// Returns whether a reply shows that its request was sent again before the node could know whether this
    /// attempt ran.
    fn shows_blind_repeat(&self, at: usize) -> bool {
        let record = &self.lines[at];
        let attempts = self.attempts_before(at);
        let is_own = |attempt: &HistoryRecord| {
            attempt.server_name() == record.server_name() && attempt.number == record.number
        };
        let own = attempts.iter().find(|(_, attempt)| is_own(attempt));
        let is_blind = |attempt: &HistoryRecord, own: &HistoryRecord| {
            own.time.latest < attempt.time.earliest
                && attempt.time.latest < record.time.earliest
                && attempt.effect != Some(Effect::NotReceived)
        };
        self.class_at(at).0.kind == Idempotency::NonIdempotent
            && own.is_some_and(|(_, own)| attempts.iter().any(|(_, attempt)| is_blind(attempt, own)))
    }

    /// Returns whether a notification reached a process of the node that still runs at the position `until`.
    fn is_known(&self, notified: usize, until: usize) -> bool {
        let node = &self.lines[notified].node;
        let of_node = |record: &&HistoryRecord| record.event == Event::Node && record.node == *node;
        let last_state = self.lines[..notified].iter().rfind(of_node);
        let is_gone = last_state.is_some_and(|record| record.state == "killed");
        let mut later = self.lines[notified..until].iter().filter(of_node);
        !is_gone && !later.any(|record| record.state == "killed")
    }

    fn drain(&self, at: usize, add: &mut impl FnMut(&str, &str)) {
        let attempt = &self.lines[at];
        let checked_at = attempt.time.latest + 1_000 * MS;
        let until_checked = self.lines.partition_point(|record| record.time.latest < checked_at);
        let is_known_by = |notified: usize, until: usize| {
            let record = &self.lines[notified];
            record.event == Event::Notified
                && record.node == attempt.node
                && record.server_name() == attempt.server_name()
                && self.is_known(notified, until)
        };
        let is_known = |notified: &usize| is_known_by(*notified, at);
        // The first notification of the server's drain since the server was last active.
        let is_active = |notified: &usize| self.lines[*notified].status == "active";
        let last_active = (0..at).filter(is_known).rfind(is_active).map_or(0, |notified| notified + 1);
        let Some(down) = (last_active..at).find(is_known).map(|notified| &self.lines[notified]) else {
            return;
        };
        let (from, until) = (down.time.earliest, attempt.time.latest);
        let mut known_later = (0..until_checked).filter(|notified| is_known_by(*notified, until_checked));
        let is_cleared = known_later.any(|notified| {
            is_active(&notified) && (from..=until).contains(&self.lines[notified].time.earliest)
        });
        if attempt.time.earliest > down.time.latest + 550 * MS && !is_cleared {
            add("drained", &attempt.request);
        }
    }

    /// Returns whether a request's node was killed before the answer was due, or may have had no process when
    /// the request was sent.
    fn is_excused_by_node(&self, sent: &HistoryRecord) -> bool {
        let has_state = |record: &HistoryRecord, state: &str| {
            record.event == Event::Node && record.node == sent.node && record.state == state
        };
        let is_in_time = |kill: &HistoryRecord| {
            kill.time.latest >= sent.time.earliest && kill.time.earliest <= sent.deadline + ANSWER_SLACK_US
        };
        let killed = self.lines.iter().any(|record| has_state(record, "killed") && is_in_time(record));
        // A node is down from its first kill after it was ready until it is ready again.
        let is_down_from = |kill: usize| {
            let ready_before = self.lines[..kill].iter().rposition(|record| has_state(record, "ready"));
            let since = ready_before.map_or(0, |ready| ready + 1);
            let is_first = self.lines[since..kill].iter().all(|record| !has_state(record, "killed"));
            let ready = self.lines[kill..].iter().find(|record| has_state(record, "ready"));
            let until = ready.map_or(u64::MAX, |record| record.time.latest);
            let from = self.lines[kill].time.earliest;
            is_first && from <= sent.time.latest && until >= sent.time.earliest
        };
        let mut kills = (0..self.lines.len()).filter(|at| has_state(&self.lines[*at], "killed"));
        killed || kills.any(is_down_from)
    }

    fn missing_answers(&self, add: &mut impl FnMut(&str, &str)) {
        let ids: BTreeSet<&str> = self.lines.iter().map(|record| record.request.as_str()).collect();
        for id in ids {
            let Some((at, sent)) = self.all(Event::Request, id).last().copied() else { continue };
            let is_excused = self.is_excused_by_node(sent) || !self.all(Event::ClientLeft, id).is_empty();
            if !self.all(Event::Answer, id).is_empty() || is_excused {
                continue;
            }
            let is_closed = self.all(Event::Closed, id).iter().any(|(closed, _)| *closed > at);
            add(if is_closed { "lost" } else { "unanswered" }, id);
        }
    }

    /// Checks each attempt against the sends of its request.
    fn attempt_integrity(&self, add: &mut impl FnMut(&str, &str)) {
        let attempts = self.lines.iter().enumerate().filter(|(_, record)| record.event == Event::Attempt);
        for (at, attempt) in attempts {
            let id = attempt.request.as_str();
            let sends = self.all(Event::Request, id);
            let Some((_, sent)) = sends.first() else {
                add("unasked", id);
                continue;
            };
            let sends_to_node: Vec<_> = sends.iter().filter(|(_, sent)| sent.node == attempt.node).collect();
            if sends_to_node.is_empty() {
                add("wrong-node", id);
            } else if sends_to_node.iter().all(|(_, sent)| attempt.time.latest < sent.time.earliest) {
                add("too-early", id);
            }
            let parts = [
                ("wrong-key", &sent.key, &attempt.key),
                ("wrong-class", &sent.class, &attempt.class),
                ("wrong-token", &sent.idempotency_key, &attempt.idempotency_key),
                ("wrong-body", &sent.digest, &attempt.digest),
            ];
            let wrong = parts.into_iter().filter(|(_, requested, sent)| requested != sent);
            wrong.for_each(|(code, ..)| add(code, id));
            if attempt.effect != Some(Effect::NotReceived) && !sends_to_node.is_empty() {
                self.limits(at, sends_to_node.len(), add);
            }
        }
    }

    /// Checks an attempt against the other attempts of its node for the same request.
    fn limits(&self, at: usize, times_sent: usize, add: &mut impl FnMut(&str, &str)) {
        let attempt = &self.lines[at];
        let id = attempt.request.as_str();
        let is_counted =
            |other: &HistoryRecord| other.node == attempt.node && other.effect != Some(Effect::NotReceived);
        let all = self.all(Event::Attempt, id);
        if all.iter().filter(|(_, other)| is_counted(other)).count() > 2 * times_sent {
            add("too-many", id);
        }
        for (_, earlier) in self.of(Event::Attempt, id, at).into_iter().filter(|(_, other)| is_counted(other))
        {
            let replies = self.all(Event::Reply, id).into_iter().chain(self.all(Event::AttemptEnded, id));
            let mut ends = replies.filter(|(_, reply)| {
                reply.server_name() == earlier.server_name() && reply.number == earlier.number
            });
            let was_in_flight =
                earlier.time.latest < attempt.time.earliest && earlier.effect != Some(Effect::Busy);
            if was_in_flight && !ends.any(|(_, end)| end.time.earliest <= attempt.time.latest) {
                add("second-copy", id);
            }
        }
    }

    /// Returns the work in microseconds that a server may receive in a window. It integrates numerically in
    /// steps of 10 ms, independently of the closed form in `work_capacity`.
    fn allowed_work(server: &str, from: u64, window: u64) -> f64 {
        if server == "o" {
            return window as f64 * 0.1 * 2.5;
        }
        let share = |time: u64| 0.35 + 0.65 * (time as f64 / 7_500_000.0).min(1.0);
        let work = |step: u64| share(from + step * 10_000 + 5_000) * 0.2 * 10_000.0;
        (0..window / 10_000).map(work).sum::<f64>() * 3.0 * 1.05
    }

    /// Returns whether an arrival counts towards the share that attributes an overload to nodes.
    fn is_attributable(&self, at: usize, arrival: &HistoryRecord) -> bool {
        if arrival.server_name() == "o" {
            return self.all(Event::Attempt, &arrival.request).iter().any(|(other, attempt)| {
                *other <= at
                    && attempt.server_name() == "s0"
                    && attempt.effect == Some(Effect::Miss)
                    && attempt.time.latest < 7_500_000
            });
        }
        self.lines.iter().enumerate().take(at).any(|(notified, record)| {
            record.event == Event::Notified
                && self.is_known(notified, at)
                && record.node == arrival.node
                && record.server_name() == arrival.server_name()
                && record.status == "active"
                && record.time.latest <= arrival.time.earliest
        })
    }

    /// Checks every window of a server that starts with one arrival and ends with another.
    fn overloads(&self, server: &str, add: &mut impl FnMut(&str, &str)) {
        let is_arrival = |record: &HistoryRecord| {
            record.event == Event::Attempt
                && record.server_name() == server
                && record.effect != Some(Effect::NotReceived)
        };
        let arrivals = self.lines.iter().enumerate().filter(|(_, record)| is_arrival(record));
        let arrivals: Vec<_> = arrivals.collect();
        let (code, window, attributable_share) = match server {
            "o" => ("origin", self.rules.origin.overload_window_us, 1.0 / 3.0),
            _ => ("cold-server", self.rules.overload_window_us, 2.0 / 3.0),
        };
        for (last, (_, end)) in arrivals.iter().enumerate() {
            for (_, from) in &arrivals {
                if from.time.earliest + window < end.time.latest {
                    continue;
                }
                let from = from.time.earliest;
                let within = arrivals[..=last].iter().filter(|(_, arrival)| arrival.time.earliest >= from);
                let (mut work, mut attributable) = (0.0, 0.0);
                for (at, arrival) in within {
                    work += arrival.work_us as f64;
                    let counts = self.is_attributable(*at, arrival);
                    attributable += if counts { arrival.work_us as f64 } else { 0.0 };
                }
                if work > Self::allowed_work(server, from, window)
                    && attributable >= attributable_share * work
                {
                    add(code, "");
                }
            }
        }
    }
}
