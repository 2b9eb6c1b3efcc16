//! Hedging: decides whether a slow read is also sent to the next server.
//!
//! Inputs: the request, the recent responses of the slow server, the retry budget. One of many nodes sees too
//! few responses of a slow or silent server to avoid it in time, so it hedges. A node with enough recent
//! responses avoids such a server, and its hedged requests would only add fetches from the origin.

use crate::ids::Micros;
use crate::pending_request::PendingRequest;
use crate::retry::RetryBudget;
use crate::server::{RESPONSE_CREDIT, Server};
use crate::settings::{Idempotency, Settings};

/// Returns whether the hedging rule allows a second attempt for a request whose only attempt is slow. It
/// requires that the request is idempotent and has had no miss, that duplicates are allowed, and that the
/// retry budget has a token for the attempt.
pub fn may_hedge(request: &PendingRequest, budget: &RetryBudget, settings: &Settings) -> bool {
    request.in_flight == 1
        && !request.missed
        && request.class.idempotency == Idempotency::Idempotent
        && settings.may_duplicate
        && budget.allows_attempt()
}

/// Returns whether a server has enough recent responses that balancing and outlier detection can avoid it
/// without hedging.
pub fn has_enough_responses(server: &Server, now: Micros, longest_objective: Micros) -> bool {
    server.recent_responses(now, longest_objective) >= RESPONSE_CREDIT
}
