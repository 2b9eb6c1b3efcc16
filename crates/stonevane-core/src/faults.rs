//! Mutants for mutation testing: deliberate faults that the simulator must detect. The daemon's core uses
//! [`NoFaults`] as its type parameter, so that the compiler removes them.

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutant {
    /// A request whose attempt was reset gets a second answer.
    AnswerTwice,
    /// Draining and removed servers count as active.
    ForgetDrain,
    /// A connection with stray bytes behind its reply is reused.
    KeepSurplus,
    /// A reset attempt counts as never sent.
    ResetNotRun,
    /// Server connections of abandoned attempts stay open.
    LeakConnection,
    /// The idempotency window counts as 100 times as long as it is.
    LongWindow,
    /// SIGTERM closes client connections with pending answers.
    LoseAtTerm,
    /// Deltas that are older than the current list are applied.
    OldList,
    /// Each answer goes to the first pending request of its connection, not to the request that it belongs
    /// to.
    SwapAnswers,
    /// Memory reserved for a request is never released.
    LeakMemory,
    /// The id of a request whose client disconnected stays pending.
    LeakId,
    /// A cache miss is served as an empty value.
    ServeMiss,
    /// A partial reply is served when its connection is reset.
    ServePartial,
    /// Client connections are accepted beyond the limit.
    ExceedConnectionLimit,
    /// Each attempt is sent twice.
    SendTwice,
    /// Rejections and expired deadlines are not answered.
    ForgetRefusal,
    /// Failed calls to discovery are not retried.
    NoDiscoveryRetry,
    /// Requests of a client that disconnected continue.
    ContinueAfterDisconnect,
}

impl Mutant {
    /// All mutants, with their names and descriptions for the command line.
    pub const ALL: [MutantInfo; 18] = [
        MutantInfo::new(
            Mutant::AnswerTwice,
            "answer-twice",
            "a request whose attempt was reset gets a second answer",
        ),
        MutantInfo::new(Mutant::ForgetDrain, "forget-drain", "draining and removed servers count as active"),
        MutantInfo::new(
            Mutant::KeepSurplus,
            "keep-noise",
            "a connection with stray bytes behind its reply is reused",
        ),
        MutantInfo::new(Mutant::ResetNotRun, "reset-not-run", "a reset attempt counts as never sent"),
        MutantInfo::new(
            Mutant::LeakConnection,
            "leak-connection",
            "server connections of abandoned attempts stay open",
        ),
        MutantInfo::new(
            Mutant::LongWindow,
            "long-window",
            "the idempotency window counts as far longer than it is",
        ),
        MutantInfo::new(
            Mutant::LoseAtTerm,
            "lose-at-term",
            "SIGTERM closes client connections with pending answers",
        ),
        MutantInfo::new(Mutant::OldList, "old-list", "deltas older than the current list are applied"),
        MutantInfo::new(
            Mutant::SwapAnswers,
            "swap-answers",
            "answers are written in the order of their arrival",
        ),
        MutantInfo::new(Mutant::LeakMemory, "leak-memory", "memory reserved for a request is never released"),
        MutantInfo::new(
            Mutant::LeakId,
            "leak-id",
            "the id of a request whose client disconnected stays pending",
        ),
        MutantInfo::new(Mutant::ServeMiss, "serve-miss", "a cache miss is served as an empty value"),
        MutantInfo::new(
            Mutant::ServePartial,
            "serve-torn",
            "a partial reply is served when its connection is reset",
        ),
        MutantInfo::new(
            Mutant::ExceedConnectionLimit,
            "over-places",
            "client connections are accepted beyond the limit",
        ),
        MutantInfo::new(Mutant::SendTwice, "send-twice", "each attempt is sent twice"),
        MutantInfo::new(
            Mutant::ForgetRefusal,
            "forget-refusal",
            "rejections and expired deadlines are not answered",
        ),
        MutantInfo::new(Mutant::NoDiscoveryRetry, "deaf", "failed calls to discovery are not retried"),
        MutantInfo::new(
            Mutant::ContinueAfterDisconnect,
            "forget-gone",
            "requests of a client that disconnected continue",
        ),
    ];

    /// Returns the mutant with this command-line name.
    pub fn by_name(name: &str) -> Option<Mutant> {
        Self::ALL.iter().find(|info| info.name == name).map(|info| info.mutant)
    }
}

/// Name and description of a mutant on the command line.
#[derive(Debug, Clone, Copy)]
pub struct MutantInfo {
    /// The described fault.
    pub mutant: Mutant,
    /// Name that selects the mutant on the command line.
    pub name: &'static str,
    /// One-line description of the faulty behaviour.
    pub description: &'static str,
}

impl MutantInfo {
    const fn new(mutant: Mutant, name: &'static str, description: &'static str) -> MutantInfo {
        MutantInfo { mutant, name, description }
    }
}

/// Selects the deliberate faults of a core.
pub trait Faults {
    /// Returns whether the core has this fault.
    fn injects(&self, mutant: Mutant) -> bool;
}

/// A core without deliberate faults.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoFaults;

impl Faults for NoFaults {
    #[inline]
    fn injects(&self, _: Mutant) -> bool {
        false
    }
}

impl Faults for Option<Mutant> {
    fn injects(&self, mutant: Mutant) -> bool {
        *self == Some(mutant)
    }
}
