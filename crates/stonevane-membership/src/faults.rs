//! Mutants: deliberate faults that the simulator and the lab have to detect. The type parameter `F` of
//! `Machine` decides whether a member can have faults: the daemon uses [`NoFaults`], for which the compiler
//! removes all fault branches.

/// Deliberate fault of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutant {
    /// Declares every probed member dead, even after an ack.
    DeclaresAllDead,
    /// Does not refute suspicions of itself.
    NeverRefutes,
    /// Reports dead members as alive, under an incarnation that they never had.
    ForgesIncarnations,
    /// Sends its own old datagrams again.
    Replays,
    /// Disseminates no updates, and answers neither ping-reqs nor digests.
    ForwardsNothing,
    /// Sends under the number of another member.
    ClaimsAnother,
    /// Declares a member dead as soon as a probe fails.
    NoSuspicion,
    /// Requests no indirect probes before it suspects a member, and ignores that other datagrams of the
    /// member arrive.
    NoIndirect,
    /// Runs neither anti-entropy nor, while another member is live, reconnection.
    NoRepair,
    /// Never takes the generation after that of its own earlier instance, so it cannot supersede the records
    /// of that instance.
    StaleGeneration,
    /// Never declares a suspected member dead.
    NeverDeclares,
    /// Never suspects a member.
    NeverSuspects,
    /// Treats a nack as an ack.
    NackIsAck,
}

impl Mutant {
    /// All faults, each with its name on the command line and a description.
    pub const ALL: [(Mutant, &'static str, &'static str); 13] = [
        (Mutant::DeclaresAllDead, "accuses-all", "declares every probed member dead, even after an ack"),
        (Mutant::NeverRefutes, "never-refutes", "does not refute suspicions of itself"),
        (
            Mutant::ForgesIncarnations,
            "lies-of-incarnations",
            "reports dead members as alive, under an incarnation that they never had",
        ),
        (Mutant::Replays, "replays", "sends its own old datagrams again"),
        (
            Mutant::ForwardsNothing,
            "forwards-nothing",
            "disseminates no updates, and answers neither ping-reqs nor digests",
        ),
        (Mutant::ClaimsAnother, "claims-another", "sends under the number of another member"),
        (Mutant::NoSuspicion, "no-suspicion", "declares a member dead as soon as a probe fails"),
        (
            Mutant::NoIndirect,
            "no-indirect",
            "suspects without indirect probes, and ignores other datagrams of the member",
        ),
        (Mutant::NoRepair, "no-repair", "runs neither anti-entropy nor reconnection"),
        (
            Mutant::StaleGeneration,
            "stale-life",
            "never takes a generation after that of its earlier instance",
        ),
        (Mutant::NeverDeclares, "never-declares", "never declares a suspected member dead"),
        (Mutant::NeverSuspects, "never-accuses", "never suspects a member"),
        (Mutant::NackIsAck, "nack-is-ack", "treats a relay's nack as the probed member's ack"),
    ];

    /// Returns the fault with this name on the command line.
    pub fn named(name: &str) -> Option<Mutant> {
        Mutant::ALL.iter().find(|(_, known, _)| *known == name).map(|(mutant, _, _)| *mutant)
    }
}

/// Set of the deliberate faults that a machine has.
pub trait Faults: Default {
    /// Returns whether the machine has this fault.
    fn has(&self, mutant: Mutant) -> bool;
}

/// Faults of a correct machine: none.
#[derive(Debug, Default, Clone, Copy)]
pub struct NoFaults;

impl Faults for NoFaults {
    fn has(&self, _: Mutant) -> bool {
        false
    }
}

impl Faults for Option<Mutant> {
    fn has(&self, mutant: Mutant) -> bool {
        *self == Some(mutant)
    }
}
