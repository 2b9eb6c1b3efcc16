//! Ways in which a stub node breaks a rule.

/// A way of breaking a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeFault {
    /// None.
    None,
    /// Final answers: answers twice.
    AnswersTwice,
    /// Final answers: answers late.
    AnswersLate,
    /// Final answers: gives the value of another request.
    OtherValue,
    /// Final answers: caches values, and gives one that a write has made stale.
    StaleValue,
    /// Final answers: drops requests in flight at SIGTERM.
    LosesAtTerm,
    /// Duplicate effects: sends a write that is not idempotent again.
    ResendsUnsafe,
    /// Draining: goes on sending to a server that drains.
    IgnoresDrains,
    /// Slow start: floods a cold server alone.
    Floods,
    /// Slow start: sends a cold server what is too much only together with another node.
    FloodsTogether,
    /// Attempt integrity: sends a read with the key of the one before.
    MixesKeys,
    /// Attempt integrity: sends what no client requested.
    Invents,
    /// Attempt integrity: sends a write as another class.
    OtherClass,
    /// Attempt integrity: writes another value than the client's.
    OtherBody,
    /// Limits: makes too many attempts.
    AsksTooOften,
}

impl NodeFault {
    /// All faults, the correct node first.
    pub const ALL: [NodeFault; 15] = [
        NodeFault::None,
        NodeFault::AnswersTwice,
        NodeFault::AnswersLate,
        NodeFault::OtherValue,
        NodeFault::StaleValue,
        NodeFault::LosesAtTerm,
        NodeFault::ResendsUnsafe,
        NodeFault::IgnoresDrains,
        NodeFault::Floods,
        NodeFault::FloodsTogether,
        NodeFault::MixesKeys,
        NodeFault::Invents,
        NodeFault::OtherClass,
        NodeFault::OtherBody,
        NodeFault::AsksTooOften,
    ];

    /// The name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            NodeFault::None => "honest",
            NodeFault::AnswersTwice => "answers-twice",
            NodeFault::AnswersLate => "answers-late",
            NodeFault::OtherValue => "other-value",
            NodeFault::StaleValue => "stale-value",
            NodeFault::LosesAtTerm => "loses-at-term",
            NodeFault::ResendsUnsafe => "resends-unsafe",
            NodeFault::IgnoresDrains => "ignores-drains",
            NodeFault::Floods => "floods",
            NodeFault::FloodsTogether => "floods-together",
            NodeFault::MixesKeys => "mixes-keys",
            NodeFault::Invents => "invents",
            NodeFault::OtherClass => "other-class",
            NodeFault::OtherBody => "other-body",
            NodeFault::AsksTooOften => "asks-too-often",
        }
    }

    /// The fault of a name on the command line.
    pub fn from_name(name: &str) -> Option<NodeFault> {
        NodeFault::ALL.into_iter().find(|fault| fault.name() == name)
    }
}
