//! Deliberate faults, for the simulator and the lab to detect. The type of a machine decides whether it can have any: the
//! daemon's is [`NoFaults`], and the compiler removes them from it.

/// A fault that a member can be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutant {
    /// It declares every member dead that it probes, whatever the answer.
    AccusesAll,
    /// It does not refute suspicions of itself.
    NeverRefutes,
    /// It states that dead members are alive, under an incarnation that they never had.
    LiesOfIncarnations,
    /// It sends its old datagrams again.
    Replays,
    /// It disseminates no updates, and answers neither ping-reqs nor digests.
    ForwardsNothing,
    /// It sends under the number of another member.
    ClaimsAnother,
    /// It declares a member dead as soon as a probe fails.
    NoSuspicion,
    /// It requests no indirect probes before it suspects.
    NoIndirect,
    /// It runs neither anti-entropy nor reconnection.
    NoRepair,
    /// It never takes a generation after that of its earlier instance.
    StaleLife,
    /// It never declares a suspected member dead.
    NeverDeclares,
    /// It never suspects anybody.
    NeverAccuses,
    /// It takes a nack for an ack.
    NackIsAck,
}

impl Mutant {
    /// All faults, each with its name on the command line and a description.
    pub const ALL: [(Mutant, &'static str, &'static str); 13] = [
        (Mutant::AccusesAll, "accuses-all", "accuses whomever it probes, whatever comes back"),
        (Mutant::NeverRefutes, "never-refutes", "does not object when it is accused"),
        (
            Mutant::LiesOfIncarnations,
            "lies-of-incarnations",
            "says of the dead that they live, one incarnation on",
        ),
        (Mutant::Replays, "replays", "sends what it heard of lives that have ended, as if it were new"),
        (Mutant::ForwardsNothing, "forwards-nothing", "passes no news on and answers no comparison"),
        (Mutant::ClaimsAnother, "claims-another", "speaks under the number of another member"),
        (Mutant::NoSuspicion, "no-suspicion", "a failed probe is a death"),
        (
            Mutant::NoIndirect,
            "no-indirect",
            "asks nobody else before it accuses, and hears no other evidence",
        ),
        (Mutant::NoRepair, "no-repair", "compares no tables and speaks to no dead"),
        (Mutant::StaleLife, "stale-life", "a new life never goes beyond the former one"),
        (Mutant::NeverDeclares, "never-declares", "a suspicion never ends"),
        (Mutant::NeverAccuses, "never-accuses", "a failed probe is nothing"),
        (Mutant::NackIsAck, "nack-is-ack", "takes a relay's word that it is there for the member's own"),
    ];

    /// The fault of a name.
    pub fn named(name: &str) -> Option<Mutant> {
        Mutant::ALL.iter().find(|(_, known, _)| *known == name).map(|(mutant, _, _)| *mutant)
    }
}

/// The faults that a machine has.
pub trait Faults: Default {
    /// Whether it has this fault.
    fn has(&self, mutant: Mutant) -> bool;
}

/// No faults.
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
