//! Faults of stub nodes, each of which breaks one audit rule.

/// A fault of a stub node. The variants name the broken rule first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeFault {
    /// No fault: a correct node.
    None,
    /// Final answers: answers twice.
    AnswersTwice,
    /// Final answers: answers late.
    AnswersLate,
    /// Final answers: answers with the value of another request.
    OtherValue,
    /// Final answers: caches values, and answers with one that a write has made stale.
    StaleValue,
    /// Final answers: drops requests in flight at SIGTERM.
    LosesAtTerm,
    /// Duplicate effects: resends a write that is not idempotent.
    ResendsUnsafe,
    /// Draining: still sends to a server that drains.
    IgnoresDrains,
    /// Slow start: one node's reads exceed the capacity of a cold server.
    Floods,
    /// Slow start: the reads of one node stay within the capacity of a cold server, but those of two nodes
    /// together exceed it.
    FloodsTogether,
    /// Attempt integrity: sends a read with the key of the previous one.
    MixesKeys,
    /// Attempt integrity: sends a read that no client requested.
    SendsUnrequested,
    /// Attempt integrity: sends a write under another class.
    OtherClass,
    /// Attempt integrity: writes a different value from the client's.
    OtherBody,
    /// Limits: makes too many attempts.
    ExceedsAttemptLimit,
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
        NodeFault::SendsUnrequested,
        NodeFault::OtherClass,
        NodeFault::OtherBody,
        NodeFault::ExceedsAttemptLimit,
    ];

    /// Returns the name on the command line.
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
            NodeFault::SendsUnrequested => "invents",
            NodeFault::OtherClass => "other-class",
            NodeFault::OtherBody => "other-body",
            NodeFault::ExceedsAttemptLimit => "asks-too-often",
        }
    }

    /// Returns the fault with this name on the command line.
    pub fn from_name(name: &str) -> Option<NodeFault> {
        NodeFault::ALL.into_iter().find(|fault| fault.name() == name)
    }
}
