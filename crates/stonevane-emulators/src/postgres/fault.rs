//! Faults that are injected into the PostgreSQL emulator.

/// Delay of [`PgFault::Slow`] and [`PgFault::Late`] if a script specifies none, in milliseconds.
const DEFAULT_DELAY_MS: u64 = 100;

/// A fault of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PgFault {
    /// The server works as specified.
    #[default]
    None,
    /// Connections are accepted, but no session gets an answer.
    Stall,
    /// New connections are refused, open ones are reset.
    Refuse,
    /// Sessions are reset in the middle of a row.
    MidRow,
    /// Each statement is delayed by this many milliseconds; a timeout or cancel request ends it with `57014`.
    Slow(u64),
    /// Each statement runs at once, and its answer is delayed by this many milliseconds.
    Late(u64),
    /// Sessions end with `57P01`; new ones are rejected with `57P03`.
    Shutdown,
    /// Each COMMIT fails with `40001`.
    Serialization,
    /// New sessions are rejected with `53300`.
    TooMany,
    /// COMMIT takes effect, and its session ends without an answer.
    CommitLost,
    /// COMMIT takes effect, and its session stays open without an answer.
    CommitSilent,
}

impl PgFault {
    /// All faults except [`PgFault::None`], with the default delays.
    pub const ALL: [PgFault; 10] = [
        PgFault::Stall,
        PgFault::Refuse,
        PgFault::MidRow,
        PgFault::Slow(DEFAULT_DELAY_MS),
        PgFault::Late(DEFAULT_DELAY_MS),
        PgFault::Shutdown,
        PgFault::Serialization,
        PgFault::TooMany,
        PgFault::CommitLost,
        PgFault::CommitSilent,
    ];

    /// Returns the name that scripts use.
    pub fn name(self) -> &'static str {
        match self {
            PgFault::None => "none",
            PgFault::Stall => "stall",
            PgFault::Refuse => "refuse",
            PgFault::MidRow => "mid-row",
            PgFault::Slow(_) => "slow",
            PgFault::Late(_) => "late",
            PgFault::Shutdown => "shutdown",
            PgFault::Serialization => "serialization",
            PgFault::TooMany => "too-many",
            PgFault::CommitLost => "commit-lost",
            PgFault::CommitSilent => "commit-silent",
        }
    }

    /// Returns the fault with a name that scripts use; `None` for unknown names and for `none`.
    pub fn from_name(name: &str) -> Option<PgFault> {
        PgFault::ALL.into_iter().find(|fault| fault.name() == name)
    }
}
