//! Limits of this node's calls to the origin: a concurrency limit, a rate limit over a window, and the
//! backoff of a call that they block.
//!
//! Inputs: the node's request rate, the process's part of it, the latency objectives (microseconds), the
//! outcomes of calls. Every node limits its own calls and shares nothing; the limits of all add up to what
//! the origin can take. Both have a ceiling from the node's request rate. The concurrency limit is lowered on
//! signs of congestion, once for all calls that were in flight together, and recovers with good answers
//! (additive increase, multiplicative decrease). Fetches have sub-limits, so that writes keep a part for
//! themselves, and are paced below one at a time where many nodes share a slow origin.

use crate::attempt::{Attempt, CallKind};
use crate::ids::Micros;
use crate::log_message::{Change, LogMessage};
use crate::outcome::{AttemptStatus, Outcome};
use crate::random::Random;
use crate::statistics::FadingRatio;

/// The least ceiling of the concurrency limit, calls.
const MIN_CONCURRENCY_CEILING: f64 = 20.0;
/// Ceiling of the concurrency limit for each request a second of the node: the origin's latency, seconds
/// (Little's law).
const CONCURRENCY_PER_REQUEST_RATE: f64 = 0.06;
/// Part of its ceiling at which the concurrency limit starts: calls of an earlier process may still run.
const INITIAL_CONCURRENCY: f64 = 0.5;
/// The least rate limit, calls a second.
const MIN_RATE: f64 = 30.0;
/// Calls a second for each request a second of the node.
const CALLS_PER_REQUEST: f64 = 1.0;
/// Window of the rate limit, as a part of the longest latency objective: what bursts over it can still wait.
const RATE_WINDOW: f64 = 0.25;
/// Part of both limits that fetches may use.
const FETCH_PART: f64 = 0.7;
/// Factor on the concurrency limit at a sign of congestion.
const CONGESTION_DECREASE: f64 = 0.8;
/// Floor of the concurrency limit, as a part of its ceiling.
const CONCURRENCY_FLOOR: f64 = 0.1;
/// Part of its ceiling at which a fall of the concurrency limit is logged.
const LOGGED_LIMIT: f64 = 0.25;
/// Fetches of all nodes together that stay in flight however slow the origin is.
const MIN_SHARED_FETCHES: f64 = 8.0;
/// Nodes for each multiple by which an answer changes the pace of fetches: one of many sees few answers.
const NODES_PER_PACE_STEP: f64 = 32.0;
/// The least multiple by which an answer changes the pace of fetches.
const MIN_PACE_STEP: f64 = 2.0;
/// The longest pause between paced fetches, as a multiple of the longest latency objective.
const MAX_PAUSE_OBJECTIVES: Micros = 8;
/// For this multiple of the longest latency objective an answer on a reused connection shows the origin's
/// latency.
const KNOWN_LATENCY_OBJECTIVES: Micros = 8;
/// The pause between paced fetches is random, from this part of what the pace calls for.
const MIN_PACE_JITTER: f64 = 0.5;
/// An answer later than this part of the shortest latency objective is a sign of congestion.
const SLOW_ANSWER: f64 = 0.8;
/// Backoff of a blocked call: its least part of the request's latency objective.
const MIN_BACKOFF: f64 = 1.0 / 60.0;
/// Backoff of a blocked call: its greatest part of the request's latency objective.
const MAX_BACKOFF: f64 = 3.0 / 60.0;
/// The least backoff, however short an objective is.
const BACKOFF_FLOOR: Micros = 1_000;

/// What the ceilings are computed from.
#[derive(Clone, Copy)]
pub struct OriginShare {
    /// Requests a second that are this node's to serve.
    pub request_rate: f64,
    /// This process's part of the node's quota.
    pub process_share: f64,
}

impl OriginShare {
    /// The ceiling of the concurrency limit.
    fn concurrency_ceiling(self) -> f64 {
        (self.request_rate * CONCURRENCY_PER_REQUEST_RATE).max(MIN_CONCURRENCY_CEILING) * self.process_share
    }

    /// Calls that the rate limit admits in a window, microseconds.
    fn calls_per_window(self, window: f64) -> f64 {
        (self.request_rate * CALLS_PER_REQUEST).max(MIN_RATE) * self.process_share * window / 1e6
    }
}

/// What the judgement of an outcome depends on.
#[derive(Clone, Copy)]
pub struct OutcomeContext {
    pub now: Micros,
    pub share: OriginShare,
    pub longest_objective: Micros,
    pub shortest_objective: Micros,
    pub nodes: u32,
}

/// Calls in flight and in the present window.
#[derive(Default, Clone, Copy)]
struct CallCount {
    in_flight: u32,
    in_window: u32,
}

impl CallCount {
    /// Whether one more call is within a part of the limits. One call is always within them.
    fn allows_one_more(self, concurrency: f64, calls_per_window: f64, part: f64) -> bool {
        let within = |count: u32, limit: f64| f64::from(count + 1) <= limit.max(1.0);
        within(self.in_flight, concurrency * part) && within(self.in_window, calls_per_window * part)
    }
}

/// The limits of this node's calls to the origin.
pub struct OriginLimits {
    concurrency_limit: f64,
    all_calls: CallCount,
    fetches: CallCount,
    window_start: Micros,
    /// When the concurrency limit was last lowered: signs of calls sent before do not lower it again.
    lowered_at: Micros,
    /// The part of one fetch that may be in flight.
    fetch_pace: f64,
    /// Where that is less than one: when the next fetch may be sent.
    next_fetch_at: Micros,
    /// When a request on a connection that had carried others was last answered; 0: never.
    reused_connection_answer_at: Micros,
    /// The origin is known to be unavailable until then.
    unavailable_until: Micros,
    /// Calls that found a limit reached, among all tried.
    saturation: FadingRatio,
}

impl OriginLimits {
    /// The limits at the start of a process.
    pub fn new(share: OriginShare) -> Self {
        OriginLimits {
            concurrency_limit: share.concurrency_ceiling() * INITIAL_CONCURRENCY,
            all_calls: CallCount::default(),
            fetches: CallCount::default(),
            window_start: 0,
            lowered_at: 0,
            fetch_pace: 1.0,
            next_fetch_at: 0,
            reused_connection_answer_at: 0,
            unavailable_until: 0,
            saturation: FadingRatio::default(),
        }
    }

    /// Whether the limits allow one more call.
    pub fn try_acquire(
        &mut self,
        kind: CallKind,
        now: Micros,
        share: OriginShare,
        longest_objective: Micros,
    ) -> bool {
        let window = longest_objective as f64 * RATE_WINDOW;
        let calls_per_window = share.calls_per_window(window);
        if now >= self.window_start + window as Micros {
            self.window_start = now;
            self.all_calls.in_window = 0;
            self.fetches.in_window = 0;
        }
        // A part of the share may have become another process's since the limit was found.
        let concurrency = self.concurrency_limit.min(share.concurrency_ceiling());
        let paced = self.fetch_pace >= 1.0 || (self.fetches.in_flight == 0 && now >= self.next_fetch_at);
        let allowed = self.all_calls.allows_one_more(concurrency, calls_per_window, 1.0)
            && (kind == CallKind::Write
                || (paced && self.fetches.allows_one_more(concurrency, calls_per_window, FETCH_PART)));
        self.saturation.add(f64::from(u8::from(!allowed)), 1.0);
        allowed
    }

    /// Counts a call that is being sent.
    pub fn count_sent(&mut self, kind: CallKind) {
        for count in self.counts(kind) {
            count.in_flight += 1;
            count.in_window += 1;
        }
    }

    fn count_ended(&mut self, kind: CallKind) {
        for count in self.counts(kind) {
            count.in_flight -= 1;
        }
    }

    /// The counts that a call is part of.
    fn counts(&mut self, kind: CallKind) -> impl Iterator<Item = &mut CallCount> {
        let (all_calls, fetches) = match kind {
            CallKind::Fetch => (Some(&mut self.all_calls), Some(&mut self.fetches)),
            CallKind::Write => (Some(&mut self.all_calls), None),
            CallKind::CacheRead | CallKind::JoinedFetch => (None, None),
        };
        all_calls.into_iter().chain(fetches)
    }

    /// Takes the outcome of a call into the limits.
    pub fn record_outcome(
        &mut self,
        call: &Attempt,
        outcome: &Outcome,
        context: OutcomeContext,
        random: &mut Random,
    ) -> Option<LogMessage> {
        let took = call.age(context.now);
        let slow = took > (context.shortest_objective as f64 * SLOW_ANSWER) as Micros;
        let answered = matches!(outcome.status, AttemptStatus::Served | AttemptStatus::Malformed);
        let jitter = random.unit();
        self.count_ended(call.kind);
        if answered && slow && outcome.first_on_connection && self.is_handshake(took, context) {
            return None;
        }
        if answered && !outcome.first_on_connection {
            self.reused_connection_answer_at = context.now;
        }
        if outcome.status != AttemptStatus::NotSent {
            self.pace_fetches(took, slow, jitter, context);
        }
        self.adjust_concurrency(call, outcome.status, slow, answered, context)
    }

    /// Whether the time of a slow answer may be that of a handshake across zones: requests on open
    /// connections have shown the origin's own time lately.
    fn is_handshake(&self, took: Micros, context: OutcomeContext) -> bool {
        let known_until =
            self.reused_connection_answer_at + KNOWN_LATENCY_OBJECTIVES * context.longest_objective;
        let known = self.reused_connection_answer_at != 0 && context.now < known_until;
        known && took <= context.longest_objective
    }

    /// Slows fetches down below one at a time: single fetches of many nodes would keep the origin's queue so
    /// long that writes are late.
    fn pace_fetches(&mut self, took: Micros, slow: bool, jitter: f64, context: OutcomeContext) {
        let nodes = f64::from(context.nodes.max(1));
        let min_pace = MIN_SHARED_FETCHES / nodes;
        let step = (nodes / NODES_PER_PACE_STEP).max(MIN_PACE_STEP);
        let pace = if slow { self.fetch_pace / step } else { self.fetch_pace * step };
        self.fetch_pace = pace.clamp(min_pace.min(1.0), 1.0);
        // However many nodes there are, each calls the origin now and then.
        let longest_pause = (MAX_PAUSE_OBJECTIVES * context.longest_objective) as f64;
        let pause = (took as f64 * (1.0 / self.fetch_pace - 1.0)).min(longest_pause);
        self.next_fetch_at = context.now + (pause * (MIN_PACE_JITTER + jitter)) as Micros;
    }

    fn adjust_concurrency(
        &mut self,
        call: &Attempt,
        status: AttemptStatus,
        slow: bool,
        answered: bool,
        context: OutcomeContext,
    ) -> Option<LogMessage> {
        let ceiling = context.share.concurrency_ceiling();
        let before = self.concurrency_limit;
        // A broken connection is no sign of congestion.
        let congested = (status != AttemptStatus::Reset || slow) && status != AttemptStatus::NotSent;
        if answered && !slow {
            self.concurrency_limit = (before + 1.0 / before).min(ceiling);
        } else if congested && call.sent_at >= self.lowered_at {
            self.lowered_at = context.now;
            self.concurrency_limit = (before * CONGESTION_DECREASE).max(ceiling * CONCURRENCY_FLOOR);
        }
        let change = Change { before, after: self.concurrency_limit };
        let logged = ceiling * LOGGED_LIMIT;
        change.crossing(logged, LogMessage::OriginLimitLowered, LogMessage::OriginLimitRestored)
    }

    /// The origin is known to be unavailable for a time, or, where that is 0, to answer again. Once the time
    /// is over the limit rises from a single call, so that blocked calls do not come back in step.
    pub fn set_unavailable(&mut self, now: Micros, duration: Micros) -> Option<LogMessage> {
        let was_unavailable = self.is_unavailable(now);
        self.unavailable_until = now + duration;
        if duration > 0 {
            self.concurrency_limit = 1.0;
            self.lowered_at = now + 1;
        }
        match (was_unavailable, duration > 0) {
            (false, true) => Some(LogMessage::OriginStopped),
            (true, false) => Some(LogMessage::OriginRestored),
            _ => None,
        }
    }

    /// Whether the origin is known to be unavailable.
    pub fn is_unavailable(&self, now: Micros) -> bool {
        now < self.unavailable_until
    }

    /// How long it is known to stay so.
    pub fn unavailable_for(&self, now: Micros) -> Micros {
        self.unavailable_until.saturating_sub(now)
    }

    /// Part of the calls that found a limit reached.
    pub fn saturation(&self) -> f64 {
        self.saturation.value()
    }

    /// Ends a review period.
    pub fn review(&mut self) {
        self.saturation.fade();
    }
}

/// The random backoff of a blocked call.
pub fn backoff(latency_objective: Micros, random: &mut Random) -> Micros {
    let part = MIN_BACKOFF + (MAX_BACKOFF - MIN_BACKOFF) * random.unit();
    ((latency_objective as f64 * part) as Micros).max(BACKOFF_FLOOR)
}
