//! Mutants for mutation testing: deliberate faults that the simulator must find. The daemon's core has the type
//! parameter [`NoFaults`], which compiles them away.

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutant {
    /// A request whose attempt was reset gets a second answer.
    AnswerTwice,
    /// Draining and removed servers count as active.
    ForgetDrain,
    /// A connection with bytes behind its reply is used again.
    KeepNoise,
    /// A reset attempt counts as never sent.
    ResetNotRun,
    /// Server connections that are given up stay open.
    LeakConnection,
    /// The idempotency window counts as far longer than it is.
    LongWindow,
    /// SIGTERM closes client connections with pending answers.
    LoseAtTerm,
    /// Deltas that are older than the current list are applied.
    OldList,
    /// Answers are written in the order of their arrival.
    SwapAnswers,
    /// Memory reserved for a request is never released.
    LeakMemory,
    /// The id of a request whose client disconnected stays pending.
    LeakId,
    /// A cache miss is served as an empty value.
    ServeMiss,
    /// A partial reply is served when its connection is reset.
    ServeTorn,
    /// Client connections are accepted beyond the limit.
    OverPlaces,
    /// Each attempt is sent twice.
    SendTwice,
    /// Rejections and expired deadlines are not answered.
    ForgetRefusal,
    /// Failed calls to discovery are not retried.
    Deaf,
    /// Requests of a client that disconnected go on.
    ForgetGone,
}

impl Mutant {
    /// All mutants.
    pub const ALL: [MutantInfo; 18] = [
        MutantInfo::new(
            Mutant::AnswerTwice,
            "answer-twice",
            "a request whose attempt was reset gets a second answer",
        ),
        MutantInfo::new(Mutant::ForgetDrain, "forget-drain", "drains and ends in the list count as active"),
        MutantInfo::new(
            Mutant::KeepNoise,
            "keep-noise",
            "a connection with bytes beyond its answer is used again",
        ),
        MutantInfo::new(
            Mutant::ResetNotRun,
            "reset-not-run",
            "an attempt that was reset counts as never sent",
        ),
        MutantInfo::new(
            Mutant::LeakConnection,
            "leak-connection",
            "connections to servers that are given up stay open",
        ),
        MutantInfo::new(
            Mutant::LongWindow,
            "long-window",
            "keyed edits count as remembered for far too long",
        ),
        MutantInfo::new(Mutant::LoseAtTerm, "lose-at-term", "SIGTERM closes clients whatever they are owed"),
        MutantInfo::new(Mutant::OldList, "old-list", "changes older than the list held are taken for new"),
        MutantInfo::new(
            Mutant::SwapAnswers,
            "swap-answers",
            "answers are written in the order in which they come",
        ),
        MutantInfo::new(
            Mutant::LeakMemory,
            "leak-memory",
            "what a request holds of the memory is never given back",
        ),
        MutantInfo::new(Mutant::LeakId, "leak-id", "the id of a request whose client left stays claimed"),
        MutantInfo::new(Mutant::ServeMiss, "serve-miss", "a miss is passed on as an empty value"),
        MutantInfo::new(
            Mutant::ServeTorn,
            "serve-torn",
            "half an answer is passed on when its connection is reset",
        ),
        MutantInfo::new(Mutant::OverPlaces, "over-places", "more clients are taken than there are places"),
        MutantInfo::new(Mutant::SendTwice, "send-twice", "each attempt is sent twice"),
        MutantInfo::new(Mutant::ForgetRefusal, "forget-refusal", "refusals are not passed on"),
        MutantInfo::new(Mutant::Deaf, "deaf", "calls to discovery that fail are not made again"),
        MutantInfo::new(
            Mutant::ForgetGone,
            "forget-gone",
            "what a client that has left had asked for goes on",
        ),
    ];

    /// The mutant of a name.
    pub fn by_name(name: &str) -> Option<Mutant> {
        Self::ALL.iter().find(|info| info.name == name).map(|info| info.mutant)
    }
}

/// A mutant as the command line shows it.
#[derive(Debug, Clone, Copy)]
pub struct MutantInfo {
    /// The mutant.
    pub mutant: Mutant,
    /// The name by which it is chosen.
    pub name: &'static str,
    /// What it does.
    pub description: &'static str,
}

impl MutantInfo {
    const fn new(mutant: Mutant, name: &'static str, description: &'static str) -> MutantInfo {
        MutantInfo { mutant, name, description }
    }
}

/// Tells which faults a core has.
pub trait Faults {
    /// Whether it has this fault.
    fn injects(&self, mutant: Mutant) -> bool;
}

/// No faults.
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
