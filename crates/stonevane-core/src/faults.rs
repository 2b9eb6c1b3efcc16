//! Deliberate faults of the core, for the simulator to find. A core knows by its type whether it has any: the daemon's
//! is [`NoFaults`], and nothing of them is left in it.

/// A fault that a core can be told to have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutant {
    /// A request whose attempt was reset is given a second answer.
    AnswerTwice,
    /// What discovery says of drains and ends is taken for "active".
    ForgetDrain,
    /// A connection with bytes beyond its answer is used again.
    KeepNoise,
    /// An attempt that was reset counts as never sent.
    ResetNotRun,
    /// Connections to servers that are given up stay open.
    LeakConnection,
    /// Keyed requests count as remembered for far longer than they are.
    LongWindow,
    /// At SIGTERM clients' connections are closed whatever is owed.
    LoseAtTerm,
    /// Changes that are older than the list held are taken for new.
    OldList,
    /// Answers are written in the order in which they come.
    SwapAnswers,
    /// What a request holds of the memory is never given back.
    LeakMemory,
    /// The id of a request whose client left stays claimed.
    LeakId,
    /// A cache that lacks a key is taken to have said that it is empty.
    ServeMiss,
    /// What had come of an answer when its connection was reset is passed on.
    ServeTorn,
    /// Clients' connections are taken beyond the places for them.
    OverPlaces,
    /// Each attempt is sent twice.
    SendTwice,
    /// Refusals are not passed on, nor is the end of a client's time.
    ForgetRefusal,
    /// Discovery's calls that fail are not made again.
    Deaf,
    /// What a client that has left had asked for goes on.
    ForgetGone,
}

impl Mutant {
    /// All of them, with the names by which they are played and what they do.
    pub const ALL: [(Mutant, &'static str, &'static str); 18] = [
        (Mutant::AnswerTwice, "answer-twice", "a request whose attempt was reset gets a second answer"),
        (Mutant::ForgetDrain, "forget-drain", "drains and ends in the list count as active"),
        (Mutant::KeepNoise, "keep-noise", "a connection with bytes beyond its answer is used again"),
        (Mutant::ResetNotRun, "reset-not-run", "an attempt that was reset counts as never sent"),
        (Mutant::LeakConnection, "leak-connection", "connections to servers that are given up stay open"),
        (Mutant::LongWindow, "long-window", "keyed edits count as remembered for far too long"),
        (Mutant::LoseAtTerm, "lose-at-term", "SIGTERM closes clients whatever they are owed"),
        (Mutant::OldList, "old-list", "changes older than the list held are taken for new"),
        (Mutant::SwapAnswers, "swap-answers", "answers are written in the order in which they come"),
        (Mutant::LeakMemory, "leak-memory", "what a request holds of the memory is never given back"),
        (Mutant::LeakId, "leak-id", "the id of a request whose client left stays claimed"),
        (Mutant::ServeMiss, "serve-miss", "a miss is passed on as an empty value"),
        (Mutant::ServeTorn, "serve-torn", "half an answer is passed on when its connection is reset"),
        (Mutant::OverPlaces, "over-places", "more clients are taken than there are places"),
        (Mutant::SendTwice, "send-twice", "each attempt is sent twice"),
        (Mutant::ForgetRefusal, "forget-refusal", "refusals are not passed on"),
        (Mutant::Deaf, "deaf", "calls to discovery that fail are not made again"),
        (Mutant::ForgetGone, "forget-gone", "what a client that has left had asked for goes on"),
    ];

    /// A mutant by its name.
    pub fn by_name(name: &str) -> Option<Mutant> {
        Self::ALL.iter().find(|(_, known, _)| *known == name).map(|(mutant, ..)| *mutant)
    }
}

/// What a core does wrong on purpose.
pub trait Faults {
    /// Whether it has this fault.
    fn plays(&self, mutant: Mutant) -> bool;
}

/// Nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoFaults;

impl Faults for NoFaults {
    #[inline(always)]
    fn plays(&self, _: Mutant) -> bool {
        false
    }
}

impl Faults for Option<Mutant> {
    fn plays(&self, mutant: Mutant) -> bool {
        *self == Some(mutant)
    }
}
