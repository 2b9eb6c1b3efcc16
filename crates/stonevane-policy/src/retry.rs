//! Retries: decides whether a request may be sent again after an outcome, where and until when, and how many
//! tokens of the retry budget the retry costs.
//!
//! Inputs: the idempotency of the request, the outcomes of its attempts, the tick and the send times
//! (microseconds). Sending again what may still be running adds work just when the servers are slow, so
//! retries and hedged requests share one budget, a small fraction of the requests.

use crate::attempt::{Attempt, CallKind};
use crate::ids::Micros;
use crate::outcome::AttemptStatus;
use crate::pending_request::PendingRequest;
use crate::server::Server;
use crate::server_pool::ServerPool;
use crate::settings::{Idempotency, Settings};

/// Tokens that each request adds to the budget.
const TOKENS_PER_REQUEST: f64 = 0.05;
/// Tokens at the start of a process; few, because many processes may start together.
const INITIAL_TOKENS: f64 = 1.0;
/// Capacity of the budget, in tokens.
const MAX_TOKENS: f64 = 5.0;
/// Tokens for a hedged request or for a retry of an attempt that may still be running.
const ATTEMPT_COST: f64 = 1.0;
/// Tokens for a retry after a timely error. It costs less because the server no longer works on the request.
const TIMELY_ERROR_COST: f64 = 0.2;
/// Multiple of the server's response time after which a response counts as lost, if later attempts were
/// served.
pub const LOST_RESPONSE_MULTIPLE: f64 = 6.0;
/// Margin at the end of the deduplication window, as the window divided by this. No duplicate is sent within
/// the margin, because its last byte must arrive within the window, possibly on a new connection.
const WINDOW_MARGIN_DIVISOR: Micros = 8;
/// Addition to the margin, in ticks, because the node may send late.
const WINDOW_MARGIN_TICKS: Micros = 2;

/// Budget of one node for retries and hedged requests, in tokens.
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates the budget of a process that starts.
    pub fn new() -> Self {
        RetryBudget { tokens: INITIAL_TOKENS }
    }

    /// Adds the tokens for a request that has arrived.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Returns whether the budget allows an attempt in addition to one that may still be running.
    pub fn allows_attempt(&self) -> bool {
        self.tokens >= ATTEMPT_COST
    }

    /// Charges an attempt that was sent in addition to one that may still be running.
    pub fn spend_attempt(&mut self) {
        self.tokens -= ATTEMPT_COST;
    }

    /// Charges `cost` tokens if the budget has them, and returns whether it did.
    pub fn try_spend(&mut self, cost: f64) -> bool {
        let allowed = self.tokens >= cost;
        if allowed {
            self.tokens -= cost;
        }
        allowed
    }
}

/// Returns the tokens that a retry after this outcome costs.
pub fn retry_cost(status: AttemptStatus, attempt: &Attempt, now: Micros) -> f64 {
    match status {
        // These failures are no signs of overload, and many of them would exhaust the budget. Each request
        // has few attempts anyway.
        AttemptStatus::Malformed | AttemptStatus::Reset => 0.0,
        // A few servers may fail half of their requests while each node sends them too few to eject them.
        AttemptStatus::Error if attempt.is_timely(now) => TIMELY_ERROR_COST,
        _ => ATTEMPT_COST,
    }
}

/// Returns whether a request that may have run may be sent again after this outcome. [`may_send`] decides
/// where and until when.
pub fn is_retryable(idempotency: Idempotency, status: AttemptStatus) -> bool {
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey { .. } => {
            matches!(status, AttemptStatus::Malformed | AttemptStatus::Error | AttemptStatus::Reset)
        }
        Idempotency::NonIdempotent => false,
    }
}

/// Returns whether a request may be sent to a server without the risk of a second effect. A request that may
/// have run and has an idempotency key is sent only to servers that drop its duplicates, and only within
/// their deduplication window.
pub fn may_send(
    request: &PendingRequest,
    server: &Server,
    pool: &ServerPool,
    settings: &Settings,
    now: Micros,
) -> bool {
    let Some(first_run) = request.may_have_run.first() else { return true };
    match request.class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::WithKey { scope, window } => {
            let first = pool.get(first_run.server);
            let shared = first.is_some_and(|first| first.shares_dedup_group(server, scope));
            let margin = WINDOW_MARGIN_TICKS * settings.tick + window / WINDOW_MARGIN_DIVISOR;
            shared && now + margin < first_run.sent_at + window
        }
    }
}

/// Returns whether the response to an attempt counts as lost, because the connection has stopped delivering
/// although the server works: the attempt is overdue, and the server has served a later one.
pub fn response_is_lost(attempt: &Attempt, server: Option<&Server>, now: Micros) -> bool {
    server.is_some_and(|server| {
        let response_time = server.response_time.value();
        let overdue = attempt.age(now) as f64 > LOST_RESPONSE_MULTIPLE * response_time;
        response_time > 0.0 && overdue && server.latest_served_sent_at > attempt.sent_at
    })
}

/// Returns the kind of call that requests a lost response again. A joined fetch is replaced by an origin call
/// of its own.
pub fn resend_kind(kind: CallKind) -> CallKind {
    if kind == CallKind::CoalescedFetch { CallKind::Fetch } else { kind }
}
