//! Faults of the PostgreSQL emulator.

/// Delay of [`PgFault::Slow`] and [`PgFault::Late`] where a script gives none, in milliseconds.
const DEFAULT_DELAY_MS: u64 = 100;

/// What is wrong with the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PgFault {
    /// Nothing.
    #[default]
    None,
    /// It accepts connections and stays silent on all of them.
    Stall,
    /// It refuses connections and resets open ones.
    Refuse,
    /// It ends sessions in the middle of a row.
    MidRow,
    /// Each statement takes this long, in milliseconds; a timeout or a cancel request ends it with `57014`.
    Slow(u64),
    /// Each statement runs at once and is answered this much later, in milliseconds.
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
    /// All faults, with the default delays.
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

    /// The name that scripts use.
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

    /// The fault of a name that scripts use.
    pub fn from_name(name: &str) -> Option<PgFault> {
        PgFault::ALL.into_iter().find(|fault| fault.name() == name)
    }
}
