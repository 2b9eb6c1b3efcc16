//! Client requests: their classes, deadlines and retry limits.

use oorandom::Rand64;

use crate::plan::Plan;
use crate::stream::StreamId;

/// A request class.
pub struct RequestKind {
    pub name: &'static str,
    pub deadline_us: u64,
    pub is_write: bool,
    pub has_idempotency_key: bool,
    /// Whether the client may retry a failed request.
    pub may_retry: bool,
}

/// The request classes: reads, edits with an idempotency key, and moves that must not run twice.
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
/// Index of each class in [`REQUEST_KINDS`].
pub const READ: usize = 0;
const EDIT: usize = 1;
const MOVE: usize = 2;

/// Maximum number of attempts that a client makes for one request.
pub const MAX_ATTEMPTS: u32 = 3;
/// Backoff before a retry if the node's answer states no delay, microseconds.
pub const BACKOFF_US: u64 = 60_000;
/// Minimum time between the start of an attempt and the expiry of its request, microseconds; later attempts
/// are not sent.
const MIN_ATTEMPT_TIME_US: u64 = 20_000;
/// Minimum time between the resend of an attempt and the attempt's deadline, microseconds; later resends are
/// not made.
pub const MIN_RESEND_TIME_US: u64 = 5_000;

/// A client's request and the state of its current attempt.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    pub number: u64,
    /// Index into [`REQUEST_KINDS`].
    pub kind: usize,
    pub key: String,
    pub node: usize,
    pub created_at: u64,
    /// Deadline of the request over all its attempts, simulated microseconds.
    pub expires_at: u64,
    pub attempts: u32,
    /// Whether the current attempt is a resend, because the node's close of the connection crossed the first
    /// send on the network.
    pub is_resent: bool,
    /// Deadline of the current attempt, simulated microseconds.
    pub attempt_deadline: u64,
    pub stream: Option<StreamId>,
    pub is_over: bool,
    pub is_served: bool,
}

impl ClientRequest {
    /// Creates a request whose class, key and preferred node are drawn at random.
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

    /// Returns the id of the current attempt.
    pub fn id(&self) -> String {
        format!("{:x}-{}", self.number, self.attempts)
    }

    /// Returns the idempotency key, which is empty if the class has none.
    pub fn idempotency_key(&self) -> String {
        if self.kind().has_idempotency_key { format!("t{:x}", self.number) } else { String::new() }
    }

    /// Whether too little time is left at `now` to send the current attempt.
    pub fn is_too_late(&self, now: u64) -> bool {
        self.expires_at.saturating_sub(now) < MIN_ATTEMPT_TIME_US
            || self.is_resent && self.attempt_deadline < now + MIN_RESEND_TIME_US
    }
}
