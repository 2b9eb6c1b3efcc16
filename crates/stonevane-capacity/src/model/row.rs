//! A row of a table: what a part of the fleet bears in a situation.

use super::figures::Value;

/// A part of the fleet, with a table of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Party {
    /// A node.
    Node,
    /// A cache server.
    Server,
    /// The discovery service.
    Discovery,
    /// One of the control machines.
    ControlMachine,
    /// The link between two regions, in one direction.
    Link,
    /// What the operators reckoned, checked.
    Reckonings,
}

impl Party {
    /// All of them, in the order of the page.
    pub const ALL: [Party; 6] =
        [Party::Node, Party::Server, Party::Discovery, Party::ControlMachine, Party::Link, Party::Reckonings];

    /// Its name in the page.
    pub fn name(self) -> &'static str {
        match self {
            Party::Node => "node",
            Party::Server => "cache server",
            Party::Discovery => "discovery",
            Party::ControlMachine => "control machine",
            Party::Link => "link between two regions",
            Party::Reckonings => "reckonings",
        }
    }
}

/// When something is borne.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Situation {
    /// The mean of an ordinary day.
    OrdinaryDay,
    /// The busiest second.
    BusiestSecond,
    /// A zone is lost, and comes back.
    ZoneLost,
    /// All nodes of a region start at once.
    RegionStarts,
    /// Two regions lose one another for ten minutes.
    RegionsCut,
    /// Everything is restarted.
    AllRestarted,
}

impl Situation {
    /// Its words in the page.
    pub fn name(self) -> &'static str {
        match self {
            Situation::OrdinaryDay => "ordinary day",
            Situation::BusiestSecond => "busiest second",
            Situation::ZoneLost => "zone lost and back",
            Situation::RegionStarts => "643 nodes of a region start",
            Situation::RegionsCut => "two regions cut for 10 min",
            Situation::AllRestarted => "everything restarted",
        }
    }
}

/// What is borne.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quantity {
    /// Things that are held: records, connections.
    State,
    /// Messages, calls, deliveries.
    Messages,
    /// Bytes that travel.
    Bytes,
    /// Processor time.
    Processor,
    /// Memory.
    Memory,
    /// How long something lasts.
    Time,
}

impl Quantity {
    /// Its word in the page.
    pub fn name(self) -> &'static str {
        match self {
            Quantity::State => "state",
            Quantity::Messages => "messages",
            Quantity::Bytes => "bytes",
            Quantity::Processor => "processor",
            Quantity::Memory => "memory",
            Quantity::Time => "time",
        }
    }
}

/// What carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Something that the fleet has today.
    Today(&'static str),
    /// Nothing yet; what it would take, in a few words.
    Missing(&'static str),
}

impl Mechanism {
    /// Its words in the page.
    pub fn words(self) -> String {
        match self {
            Mechanism::Today(what) => what.into(),
            Mechanism::Missing(what) => format!("missing: {what}"),
        }
    }
}

/// A row.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Whose table it stands in.
    pub party: Party,
    /// When.
    pub situation: Situation,
    /// What kind of thing.
    pub quantity: Quantity,
    /// What, in words.
    pub what: &'static str,
    /// How much.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// How it is reckoned.
    pub formula: &'static str,
    /// The measured figures in it; empty where it is arithmetic on the target alone.
    pub sources: Vec<String>,
    /// What it may be.
    pub budget: Option<f64>,
    /// What carries it.
    pub mechanism: Mechanism,
}

impl Row {
    /// The value as a part of its budget.
    pub fn ratio(&self) -> Option<f64> {
        self.budget.map(|budget| self.value / budget)
    }
}

/// Rows of one party that are being written.
pub(super) struct Rows {
    party: Party,
    situation: Situation,
    rows: Vec<Row>,
}

/// An amount, its unit and formula.
#[derive(Clone, Copy)]
pub(super) struct Amount {
    pub quantity: Quantity,
    pub what: &'static str,
    pub value: f64,
    pub unit: &'static str,
    pub formula: &'static str,
}

impl Rows {
    pub fn of(party: Party) -> Rows {
        Rows { party, situation: Situation::OrdinaryDay, rows: Vec::new() }
    }

    /// What is added from now on is of another situation.
    pub fn during(&mut self, situation: Situation) {
        self.situation = situation;
    }

    /// Adds a row that rests on measured figures.
    pub fn add(&mut self, amount: Amount, sources: &[&Value], budget: Option<f64>, mechanism: Mechanism) {
        let Amount { quantity, what, value, unit, formula } = amount;
        let sources = sources.iter().map(|value| value.source.clone()).collect();
        let (party, situation) = (self.party, self.situation);
        self.rows.push(Row {
            party,
            situation,
            quantity,
            what,
            value,
            unit,
            formula,
            sources,
            budget,
            mechanism,
        });
    }

    pub fn done(self) -> Vec<Row> {
        self.rows
    }
}

/// Shorthand of an amount.
pub(super) fn amount(
    quantity: Quantity,
    what: &'static str,
    value: f64,
    unit: &'static str,
    formula: &'static str,
) -> Amount {
    Amount { quantity, what, value, unit, formula }
}
