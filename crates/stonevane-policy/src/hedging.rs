//! Hedging: a read that waits long is sent to the next server too.
//!
//! Inputs: the request, the recent answers of the server it waits for, the retry budget. One of many nodes
//! sees too little of a slow or silent server to avoid it. Where it sees enough, a hedged request would only
//! add a fetch.

use crate::ids::Micros;
use crate::pending_request::PendingRequest;
use crate::retry::RetryBudget;
use crate::server::{ANSWER_CREDIT, Server};
use crate::settings::{Idempotency, Settings};

/// Whether a request whose only attempt is slow may be hedged.
pub fn may_hedge(request: &PendingRequest, budget: &RetryBudget, settings: &Settings) -> bool {
    request.in_flight == 1
        && !request.missed
        && request.class.idempotency == Idempotency::Idempotent
        && settings.may_duplicate
        && budget.allows_attempt()
}

/// Whether enough was seen of a server lately to judge it.
pub fn is_well_known(server: &Server, now: Micros, longest_objective: Micros) -> bool {
    server.recent_answers(now, longest_objective) >= ANSWER_CREDIT
}
