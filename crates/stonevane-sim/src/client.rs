//! Clients: what they request, how long they wait, and when they retry.

use oorandom::Rand64;

use crate::plan::Plan;
use crate::stream::StreamId;

/// A class of requests.
pub struct RequestKind {
    pub name: &'static str,
    pub deadline_us: u64,
    pub is_write: bool,
    pub has_idempotency_key: bool,
    /// Whether a client may retry what failed.
    pub may_retry: bool,
}

/// The classes: reads, edits with an idempotency key, and moves that must not run twice.
pub const REQUEST_KINDS: [RequestKind; 3] = [
    RequestKind {
        name: "zone-lookup",
        deadline_us: 1_500_000,
        is_write: false,
        has_idempotency_key: false,
        may_retry: true,
    },
    RequestKind {
        name: "zone-edit",
        deadline_us: 800_000,
        is_write: true,
        has_idempotency_key: true,
        may_retry: true,
    },
    RequestKind {
        name: "zone-move",
        deadline_us: 600_000,
        is_write: true,
        has_idempotency_key: false,
        may_retry: false,
    },
];
/// The number of each class.
pub const READ: usize = 0;
const EDIT: usize = 1;
const MOVE: usize = 2;

/// Attempts of a client at one request, at most.
pub const MAX_ATTEMPTS: u32 = 3;
/// A client retries after this where it was given no other time, microseconds.
pub const BACKOFF_US: u64 = 60_000;
/// A new attempt needs this much time, microseconds.
const MIN_ATTEMPT_TIME_US: u64 = 20_000;
/// What is sent once more needs this much time, microseconds.
pub const MIN_RESEND_TIME_US: u64 = 5_000;

/// A request of a client.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    pub number: u64,
    /// An index of [`REQUEST_KINDS`].
    pub kind: usize,
    pub key: String,
    pub node: usize,
    pub created_at: u64,
    /// When its client needs it no more, whatever the attempt.
    pub expires_at: u64,
    pub attempts: u32,
    /// The attempt is sent once more, as a close crossed it.
    pub is_resent: bool,
    /// Until when the current attempt is waited for.
    pub attempt_deadline: u64,
    pub stream: Option<StreamId>,
    pub is_over: bool,
    pub is_served: bool,
}

impl ClientRequest {
    /// Draws a request.
    pub fn generate(number: u64, now: u64, plan: &Plan, rng: &mut Rand64) -> ClientRequest {
        let share = rng.rand_float();
        let kind = if share < plan.edit_share {
            EDIT
        } else if share < plan.edit_share + plan.move_share {
            MOVE
        } else {
            READ
        };
        // A few keys are far more popular than the rest.
        let popularity = rng.rand_float();
        let key = ((popularity * popularity * popularity) * plan.keys as f64) as u64;
        ClientRequest {
            number,
            kind,
            key: format!("{:016x}", key + 1),
            node: rng.rand_range(0..plan.nodes as u64) as usize,
            created_at: now,
            expires_at: now + REQUEST_KINDS[kind].deadline_us,
            attempts: 0,
            is_resent: false,
            attempt_deadline: 0,
            stream: None,
            is_over: false,
            is_served: false,
        }
    }

    pub fn kind(&self) -> &'static RequestKind {
        &REQUEST_KINDS[self.kind]
    }

    /// The id of the current attempt.
    pub fn id(&self) -> String {
        format!("{:x}-{}", self.number, self.attempts)
    }

    /// Its idempotency key, empty where its class has none.
    pub fn idempotency_key(&self) -> String {
        if self.kind().has_idempotency_key { format!("t{:x}", self.number) } else { String::new() }
    }

    /// Whether too little time is left to send it.
    pub fn is_too_late(&self, now: u64) -> bool {
        self.expires_at.saturating_sub(now) < MIN_ATTEMPT_TIME_US
            || self.is_resent && self.attempt_deadline < now + MIN_RESEND_TIME_US
    }
}
