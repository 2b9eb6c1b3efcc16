//! Origin limits: decide whether this node may send one more call to the origin, and how long a blocked call
//! backs off.
//!
//! Inputs: the node's request rate (per second), the process's share of it, the latency objectives
//! (microseconds), the outcomes of calls. Every node limits its own calls without communicating with others;
//! the limits of all nodes add up to the capacity of the origin.
//!
//! Two limits apply to all calls: a concurrency limit (calls in flight) and a rate limit (calls per window).
//! Both have a ceiling proportional to the node's request rate. The concurrency limit follows additive
//! increase, multiplicative decrease: timely responses raise it, and a sign of congestion lowers it once for
//! all calls that were in flight together. Fetches may use only a fraction of both limits, so that capacity
//! remains for writes. If many nodes share a slow origin, fetches are also paced below one at a time per
//! node.

use crate::attempt::{Attempt, CallKind};
use crate::ids::Micros;
use crate::log_message::{LogMessage, ValueChange};
use crate::outcome::{AttemptStatus, Outcome};
use crate::random::Random;
use crate::statistics::DecayingRatio;

/// Smallest ceiling of the concurrency limit, in calls.
const MIN_CONCURRENCY_CEILING: f64 = 20.0;
/// Ceiling of the concurrency limit, in calls for each request per second of the node. By Little's law this
/// is the latency of the origin in seconds.
const CONCURRENCY_PER_REQUEST_RATE: f64 = 0.06;
/// Initial concurrency limit as a fraction of its ceiling: calls of an earlier process may still be running.
const INITIAL_CONCURRENCY_FRACTION: f64 = 0.5;
/// Smallest rate limit, in calls per second.
const MIN_CALLS_PER_SECOND: f64 = 30.0;
/// Rate limit in calls per second, for each request per second of the node.
const CALLS_PER_REQUEST: f64 = 1.0;
/// Window of the rate limit as a fraction of the longest latency objective. It is short, so that a call
/// blocked in one window can still wait for the next.
const RATE_WINDOW_FRACTION: f64 = 0.25;
/// Fraction of both limits that fetches may use.
const FETCH_FRACTION: f64 = 0.7;
/// Factor on the concurrency limit at a sign of congestion.
const CONGESTION_DECREASE_FACTOR: f64 = 0.8;
/// Smallest concurrency limit, as a fraction of its ceiling.
const MIN_CONCURRENCY_FRACTION: f64 = 0.1;
/// Concurrency limit, as a fraction of its ceiling, below which the node logs that it is lowered.
const LOGGED_CONCURRENCY_FRACTION: f64 = 0.25;
/// Fetches of all nodes together that pacing leaves in flight, even if the origin is very slow.
const MIN_SHARED_FETCHES: f64 = 8.0;
/// Divisor of the number of nodes that gives the factor by which one response changes the pace of fetches.
/// The factor grows with the number of nodes, because one of many nodes sees few responses.
const NODES_PER_PACE_STEP: f64 = 32.0;
/// Smallest factor by which one response changes the pace of fetches.
const MIN_PACE_STEP: f64 = 2.0;
/// Longest pause between paced fetches, as a multiple of the longest latency objective.
const MAX_PAUSE_OBJECTIVES: Micros = 8;
/// Time for which a response on a reused connection shows the origin's latency, as a multiple of the longest
/// latency objective.
const KNOWN_LATENCY_OBJECTIVES: Micros = 8;
/// Smallest random factor on the pause between paced fetches; the largest is this plus 1.
const MIN_PACE_JITTER: f64 = 0.5;
/// Fraction of the shortest latency objective from which a response of the origin is slow.
const SLOW_RESPONSE_FRACTION: f64 = 0.8;
/// Shortest backoff of a blocked call, as a fraction of the request's latency objective.
const MIN_BACKOFF_FRACTION: f64 = 1.0 / 60.0;
/// Longest backoff of a blocked call, as a fraction of the request's latency objective.
const MAX_BACKOFF_FRACTION: f64 = 3.0 / 60.0;
/// Shortest backoff in microseconds, for short latency objectives.
const MIN_BACKOFF: Micros = 1_000;

/// Inputs for the ceilings of the limits.
#[derive(Clone, Copy)]
pub struct OriginShare {
    /// Requests per second that this node has to serve.
    pub request_rate: f64,
    /// Fraction of the node's quota that belongs to this process.
    pub process_share: f64,
}

impl OriginShare {
    /// Returns the ceiling of the concurrency limit, in calls.
    fn concurrency_ceiling(self) -> f64 {
        (self.request_rate * CONCURRENCY_PER_REQUEST_RATE).max(MIN_CONCURRENCY_CEILING) * self.process_share
    }

    /// Returns the number of calls that the rate limit allows in a window of this many microseconds.
    fn calls_per_window(self, window: f64) -> f64 {
        (self.request_rate * CALLS_PER_REQUEST).max(MIN_CALLS_PER_SECOND) * self.process_share * window / 1e6
    }
}

/// Inputs for the evaluation of an outcome.
#[derive(Clone, Copy)]
pub struct OutcomeContext {
    pub now: Micros,
    pub share: OriginShare,
    pub longest_objective: Micros,
    pub shortest_objective: Micros,
    pub nodes: u32,
}

/// Number of calls in flight and in the current window.
#[derive(Default, Clone, Copy)]
struct CallCount {
    in_flight: u32,
    in_window: u32,
}

impl CallCount {
    /// Returns whether one more call is within a fraction of both limits. A single call always is.
    fn allows_one_more(self, concurrency: f64, calls_per_window: f64, fraction: f64) -> bool {
        let within = |count: u32, limit: f64| f64::from(count + 1) <= limit.max(1.0);
        within(self.in_flight, concurrency * fraction) && within(self.in_window, calls_per_window * fraction)
    }
}

/// State of the limits on this node's calls to the origin.
pub struct OriginLimits {
    concurrency_limit: f64,
    all_calls: CallCount,
    fetches: CallCount,
    window_start: Micros,
    /// Time at which the concurrency limit was last lowered. Signs of congestion from calls sent earlier do
    /// not lower it again.
    lowered_at: Micros,
    /// Average number of fetches in flight that pacing allows, at most 1; 1 if fetches are not paced.
    fetch_pace: f64,
    /// Time from which the next fetch may be sent, while `fetch_pace` is less than 1.
    next_fetch_at: Micros,
    /// Time of the last response to a request that was not the first on its connection; 0 for never.
    reused_connection_response_at: Micros,
    /// Time until which the origin is known to be unavailable.
    unavailable_until: Micros,
    /// Calls blocked by a limit, among all calls that were to be sent.
    saturation: DecayingRatio,
}

impl OriginLimits {
    /// Creates the limits of a process that starts.
    pub fn new(share: OriginShare) -> Self {
        OriginLimits {
            concurrency_limit: share.concurrency_ceiling() * INITIAL_CONCURRENCY_FRACTION,
            all_calls: CallCount::default(),
            fetches: CallCount::default(),
            window_start: 0,
            lowered_at: 0,
            fetch_pace: 1.0,
            next_fetch_at: 0,
            reused_connection_response_at: 0,
            unavailable_until: 0,
            saturation: DecayingRatio::default(),
        }
    }

    /// Returns whether the limits allow one more call, and counts the result in the saturation. A call that
    /// is then sent must be counted with [`count_sent`](Self::count_sent).
    pub fn try_acquire(
        &mut self,
        kind: CallKind,
        now: Micros,
        share: OriginShare,
        longest_objective: Micros,
    ) -> bool {
        let window = longest_objective as f64 * RATE_WINDOW_FRACTION;
        let calls_per_window = share.calls_per_window(window);
        if now >= self.window_start + window as Micros {
            self.window_start = now;
            self.all_calls.in_window = 0;
            self.fetches.in_window = 0;
        }
        // The process's share may have shrunk since the limit was last adjusted.
        let concurrency = self.concurrency_limit.min(share.concurrency_ceiling());
        let pace_allows =
            self.fetch_pace >= 1.0 || (self.fetches.in_flight == 0 && now >= self.next_fetch_at);
        let allowed = self.all_calls.allows_one_more(concurrency, calls_per_window, 1.0)
            && (kind == CallKind::Write
                || (pace_allows
                    && self.fetches.allows_one_more(concurrency, calls_per_window, FETCH_FRACTION)));
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

    /// Returns the counts that include a call of this kind.
    fn counts(&mut self, kind: CallKind) -> impl Iterator<Item = &mut CallCount> {
        let (all_calls, fetches) = match kind {
            CallKind::Fetch => (Some(&mut self.all_calls), Some(&mut self.fetches)),
            CallKind::Write => (Some(&mut self.all_calls), None),
            CallKind::CacheRead | CallKind::CoalescedFetch => (None, None),
        };
        all_calls.into_iter().chain(fetches)
    }

    /// Adjusts the limits after the outcome of a call. Returns a log message if the concurrency limit crosses
    /// the threshold for logging.
    pub fn record_outcome(
        &mut self,
        call: &Attempt,
        outcome: &Outcome,
        context: OutcomeContext,
        random: &mut Random,
    ) -> Option<LogMessage> {
        let elapsed = call.age(context.now);
        let slow = elapsed > (context.shortest_objective as f64 * SLOW_RESPONSE_FRACTION) as Micros;
        let responded = matches!(outcome.status, AttemptStatus::Served | AttemptStatus::Malformed);
        let jitter = random.unit();
        self.count_ended(call.kind);
        if responded && slow && outcome.first_on_connection && self.is_handshake(elapsed, context) {
            return None;
        }
        if responded && !outcome.first_on_connection {
            self.reused_connection_response_at = context.now;
        }
        if outcome.status != AttemptStatus::NotSent {
            self.pace_fetches(elapsed, slow, jitter, context);
        }
        self.adjust_concurrency(call, outcome.status, slow, responded, context)
    }

    /// Returns whether a connection handshake across zones may explain a slow response: requests on reused
    /// connections have recently shown the origin's own latency.
    fn is_handshake(&self, elapsed: Micros, context: OutcomeContext) -> bool {
        let known_until =
            self.reused_connection_response_at + KNOWN_LATENCY_OBJECTIVES * context.longest_objective;
        let latency_is_known = self.reused_connection_response_at != 0 && context.now < known_until;
        latency_is_known && elapsed <= context.longest_objective
    }

    /// Adjusts the pace of fetches, if needed to below one at a time. If each of many nodes kept one fetch in
    /// flight at a slow origin, its queue would stay so long that writes are late.
    fn pace_fetches(&mut self, elapsed: Micros, slow: bool, jitter: f64, context: OutcomeContext) {
        let nodes = f64::from(context.nodes.max(1));
        let min_pace = MIN_SHARED_FETCHES / nodes;
        let step = (nodes / NODES_PER_PACE_STEP).max(MIN_PACE_STEP);
        let pace = if slow { self.fetch_pace / step } else { self.fetch_pace * step };
        self.fetch_pace = pace.clamp(min_pace.min(1.0), 1.0);
        // The pause is limited so that every node still calls the origin from time to time, whatever the
        // number of nodes.
        let max_pause = (MAX_PAUSE_OBJECTIVES * context.longest_objective) as f64;
        let pause = (elapsed as f64 * (1.0 / self.fetch_pace - 1.0)).min(max_pause);
        self.next_fetch_at = context.now + (pause * (MIN_PACE_JITTER + jitter)) as Micros;
    }

    fn adjust_concurrency(
        &mut self,
        call: &Attempt,
        status: AttemptStatus,
        slow: bool,
        responded: bool,
        context: OutcomeContext,
    ) -> Option<LogMessage> {
        let ceiling = context.share.concurrency_ceiling();
        let before = self.concurrency_limit;
        // A broken connection is a sign of congestion only if the call was slow.
        let congested = (status != AttemptStatus::Reset || slow) && status != AttemptStatus::NotSent;
        if responded && !slow {
            self.concurrency_limit = (before + 1.0 / before).min(ceiling);
        } else if congested && call.sent_at >= self.lowered_at {
            self.lowered_at = context.now;
            self.concurrency_limit =
                (before * CONGESTION_DECREASE_FACTOR).max(ceiling * MIN_CONCURRENCY_FRACTION);
        }
        let change = ValueChange { before, after: self.concurrency_limit };
        let logged = ceiling * LOGGED_CONCURRENCY_FRACTION;
        change.crossing(logged, LogMessage::OriginLimitLowered, LogMessage::OriginLimitRestored)
    }

    /// Records that the origin is unavailable for a time, or available again if `duration` is 0. After the
    /// outage the concurrency limit rises from a single call, so that blocked calls do not return all at
    /// once.
    pub fn set_unavailable(&mut self, now: Micros, duration: Micros) -> Option<LogMessage> {
        let was_unavailable = self.is_unavailable(now);
        self.unavailable_until = now + duration;
        if duration > 0 {
            self.concurrency_limit = 1.0;
            self.lowered_at = now + 1;
        }
        match (was_unavailable, duration > 0) {
            (false, true) => Some(LogMessage::OriginUnavailable),
            (true, false) => Some(LogMessage::OriginAvailable),
            _ => None,
        }
    }

    /// Returns whether the origin is known to be unavailable.
    pub fn is_unavailable(&self, now: Micros) -> bool {
        now < self.unavailable_until
    }

    /// Returns the time for which the origin is known to stay unavailable, in microseconds; 0 if it is
    /// available.
    pub fn unavailable_for(&self, now: Micros) -> Micros {
        self.unavailable_until.saturating_sub(now)
    }

    /// Returns the fraction of recent calls that a limit blocked.
    pub fn saturation(&self) -> f64 {
        self.saturation.value()
    }

    /// Ends a review period: reduces the weight of earlier calls in the saturation.
    pub fn review(&mut self) {
        self.saturation.decay();
    }
}

/// Returns the random backoff of a blocked call, in microseconds.
pub fn backoff(latency_objective: Micros, random: &mut Random) -> Micros {
    let fraction = MIN_BACKOFF_FRACTION + (MAX_BACKOFF_FRACTION - MIN_BACKOFF_FRACTION) * random.unit();
    ((latency_objective as f64 * fraction) as Micros).max(MIN_BACKOFF)
}
