//! Deliberate faults, for the simulator and the lab to find. A machine knows by its type whether it can have any: the
//! daemon's is [`Honest`], and nothing of them is left in it.

/// A fault that a member can be told to have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutant {
    /// It accuses whomever it probes, whatever comes back.
    AccusesAll,
    /// It does not object when it is accused.
    NeverRefutes,
    /// It says of the dead that they live, under an incarnation that they never had.
    LiesOfIncarnations,
    /// It sends datagrams again that it sent, or heard, long ago.
    Replays,
    /// It passes nothing on.
    ForwardsNothing,
    /// It speaks under the number of another.
    ClaimsAnother,
    /// A failed probe is a death.
    NoSuspicion,
    /// It asks nobody else before it accuses.
    NoIndirect,
    /// What is known of the dead is never compared or asked for again.
    NoRepair,
    /// It never takes a generation beyond its former life's.
    StaleLife,
    /// It never declares anybody dead.
    NeverDeclares,
    /// It never accuses anybody.
    NeverAccuses,
    /// It takes a relay's word that it is there for the member's own.
    NackIsAck,
}

impl Mutant {
    /// All of them, with the names by which they are played and what they do.
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

    /// The one of a name.
    pub fn named(name: &str) -> Option<Mutant> {
        Mutant::ALL.iter().find(|(_, known, _)| *known == name).map(|(mutant, _, _)| *mutant)
    }
}

/// Which faults a machine has.
pub trait Faults: Default {
    /// Whether it has this one.
    fn has(&self, mutant: Mutant) -> bool;
}

/// None.
#[derive(Debug, Default, Clone, Copy)]
pub struct Honest;

impl Faults for Honest {
    fn has(&self, _: Mutant) -> bool {
        false
    }
}

impl Faults for Option<Mutant> {
    fn has(&self, mutant: Mutant) -> bool {
        *self == Some(mutant)
    }
}
