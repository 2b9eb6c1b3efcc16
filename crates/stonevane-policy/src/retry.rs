//! Retries: what may be resent, and the budget for it.
//!
//! Inputs: the idempotency of the request, what became of its attempts, the tick and the time of sending
//! (microseconds). Resending what may still run adds work just when the servers are slow, so that retries and
//! hedged requests share one budget, a small part of the requests.

use crate::attempt::{Attempt, CallKind};
use crate::ids::Micros;
use crate::outcome::AttemptStatus;
use crate::pending_request::PendingRequest;
use crate::server::Server;
use crate::server_pool::ServerPool;
use crate::settings::{Idempotency, Settings};

/// Tokens that each request adds to the budget.
const TOKENS_PER_REQUEST: f64 = 0.05;
/// Tokens at the start of a process: many may start together.
const INITIAL_TOKENS: f64 = 1.0;
/// Tokens that the budget holds.
const MAX_TOKENS: f64 = 5.0;
/// Tokens of a resent or hedged attempt.
const ATTEMPT_COST: f64 = 1.0;
/// Tokens of a retry after an error that came in time: the server is done with the request.
const TIMELY_ERROR_COST: f64 = 0.2;
/// A response is lost that takes this multiple of its server's response time, while later attempts were
/// answered.
pub const LOST_RESPONSE_MULTIPLE: f64 = 6.0;
/// A duplicate is sent no later than this part of the deduplication window before its end: the last byte must
/// arrive within it, on a new connection perhaps.
const WINDOW_MARGIN_DIVISOR: Micros = 8;
/// Ticks by which it is sent earlier still: the node may send late.
const WINDOW_MARGIN_TICKS: Micros = 2;

/// The budget of retries and hedged requests of one node.
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// The budget of a process that starts.
    pub fn new() -> Self {
        RetryBudget { tokens: INITIAL_TOKENS }
    }

    /// A request has arrived.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Whether an attempt may be sent beside one that may still run.
    pub fn allows_attempt(&self) -> bool {
        self.tokens >= ATTEMPT_COST
    }

    /// Pays for an attempt that was sent beside one that may still run.
    pub fn spend_attempt(&mut self) {
        self.tokens -= ATTEMPT_COST;
    }

    /// Pays for a retry, if the budget allows it.
    pub fn try_spend(&mut self, cost: f64) -> bool {
        let allowed = self.tokens >= cost;
        if allowed {
            self.tokens -= cost;
        }
        allowed
    }
}

/// What a retry after an outcome costs of the budget.
pub fn retry_cost(status: AttemptStatus, attempt: &Attempt, now: Micros) -> f64 {
    match status {
        // No signs of overload, and on a day with many the budget would run out; each request has few
        // attempts anyway.
        AttemptStatus::Malformed | AttemptStatus::Reset => 0.0,
        // A few servers may fail half of their requests while each node meets them too seldom to eject them.
        AttemptStatus::Error if attempt.is_timely(now) => TIMELY_ERROR_COST,
        _ => ATTEMPT_COST,
    }
}

/// Whether a request that may have run may be resent after an outcome. Where, and until when, is decided on
/// sending.
pub fn is_retryable(idempotency: Idempotency, status: AttemptStatus) -> bool {
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey { .. } => {
            matches!(status, AttemptStatus::Malformed | AttemptStatus::Error | AttemptStatus::Reset)
        }
        Idempotency::NonIdempotent => false,
    }
}

/// Whether a request may be sent to a server: no effect may happen twice. What may have run is sent only
/// where, and while, duplicates are dropped.
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

/// Whether the response to an attempt will not come, though its server is sound: its connection has fallen
/// silent.
pub fn response_is_lost(attempt: &Attempt, server: Option<&Server>, now: Micros) -> bool {
    server.is_some_and(|server| {
        let response_time = server.response_time.value();
        let overdue = attempt.age(now) as f64 > LOST_RESPONSE_MULTIPLE * response_time;
        response_time > 0.0 && overdue && server.latest_answered_sent_at > attempt.sent_at
    })
}

/// The kind of call by which a lost response is requested again: one that joined another makes its own call.
pub fn resend_kind(kind: CallKind) -> CallKind {
    if kind == CallKind::JoinedFetch { CallKind::Fetch } else { kind }
}
