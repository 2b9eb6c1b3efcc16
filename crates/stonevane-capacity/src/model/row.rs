//! Table rows: the load on one component of the fleet in one situation.

use super::figures::Value;

/// Component of the fleet; each has its own table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Component {
    /// One node, which runs the daemon.
    Node,
    /// One cache server, under the load that all nodes put on it.
    Server,
    /// Discovery service as a whole.
    Discovery,
    /// One control machine; the load is divided evenly among them.
    ControlMachine,
    /// Link between two regions, in one direction.
    Link,
    /// Not a component: the operators' own estimates, recomputed from the measurements.
    Estimates,
}

impl Component {
    /// All components, in the order of the page.
    pub const ALL: [Component; 6] = [
        Component::Node,
        Component::Server,
        Component::Discovery,
        Component::ControlMachine,
        Component::Link,
        Component::Estimates,
    ];

    /// Returns the title of the component's table in the page.
    pub fn name(self) -> &'static str {
        match self {
            Component::Node => "node",
            Component::Server => "cache server",
            Component::Discovery => "discovery",
            Component::ControlMachine => "control machine",
            Component::Link => "link between two regions",
            Component::Estimates => "reckonings",
        }
    }
}

/// Situation in which a load occurs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Situation {
    /// Mean over an ordinary day.
    OrdinaryDay,
    /// Busiest second.
    BusiestSecond,
    /// A zone fails and returns.
    ZoneLost,
    /// All nodes of a region start at once.
    RegionStarts,
    /// Two regions are partitioned from each other for ten minutes.
    RegionsCut,
    /// All machines restart at once.
    AllRestarted,
}

impl Situation {
    /// Returns the name of the situation in the page.
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

/// Kind of a load; it determines what the value of a row counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quantity {
    /// Number of records or connections held.
    State,
    /// Number or rate of messages, calls or deliveries.
    Messages,
    /// Bytes transferred, or bytes per second.
    Bytes,
    /// Processor time, in microseconds or microseconds per second.
    Processor,
    /// Memory, in bytes.
    Memory,
    /// Duration, in seconds.
    Time,
}

impl Quantity {
    /// Returns the word for the kind in the page.
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

/// Mechanism that carries a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// The mechanism exists; the text names it.
    Today(&'static str),
    /// No mechanism exists yet; the text names the one that would be needed.
    Missing(&'static str),
}

impl Mechanism {
    /// Returns the text for the mechanism in the page, which also says whether the mechanism exists.
    pub fn description(self) -> String {
        match self {
            Mechanism::Today(label) => label.into(),
            Mechanism::Missing(label) => format!("missing: {label}"),
        }
    }
}

/// Row of a table: one load with its formula and budget.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Component whose table holds the row.
    pub component: Component,
    /// Situation in which the load occurs.
    pub situation: Situation,
    /// Kind of the load.
    pub quantity: Quantity,
    /// Description of the load, as the table prints it.
    pub label: &'static str,
    /// Computed load, in `unit`.
    pub value: f64,
    /// Unit of `value` and `budget`.
    pub unit: &'static str,
    /// Formula of `value`, in words.
    pub formula: &'static str,
    /// Sources of the measured values that the formula uses; empty if it uses only the target.
    pub sources: Vec<String>,
    /// Largest allowed value, in `unit`; `None` if the load has no budget.
    pub budget: Option<f64>,
    /// Mechanism that carries the load.
    pub mechanism: Mechanism,
}

impl Row {
    /// Returns the value as a fraction of the budget, above 1 if it exceeds the budget; `None` if the load
    /// has no budget.
    pub fn ratio(&self) -> Option<f64> {
        self.budget.map(|budget| self.value / budget)
    }
}

/// Builder of the rows of one component.
pub(super) struct Rows {
    component: Component,
    situation: Situation,
    rows: Vec<Row>,
}

/// Amount of a row with its kind, description, unit and formula.
#[derive(Clone, Copy)]
pub(super) struct Amount {
    pub quantity: Quantity,
    pub label: &'static str,
    pub value: f64,
    pub unit: &'static str,
    pub formula: &'static str,
}

impl Rows {
    pub fn new(component: Component) -> Rows {
        Rows { component, situation: Situation::OrdinaryDay, rows: Vec::new() }
    }

    /// Sets the situation of the rows that later calls of `add` create.
    pub fn set_situation(&mut self, situation: Situation) {
        self.situation = situation;
    }

    /// Adds a row; `sources` are the measured values that the formula uses.
    pub fn add(&mut self, amount: Amount, sources: &[&Value], budget: Option<f64>, mechanism: Mechanism) {
        let Amount { quantity, label, value, unit, formula } = amount;
        let sources = sources.iter().map(|value| value.source.clone()).collect();
        let (component, situation) = (self.component, self.situation);
        self.rows.push(Row {
            component,
            situation,
            quantity,
            label,
            value,
            unit,
            formula,
            sources,
            budget,
            mechanism,
        });
    }

    pub fn finish(self) -> Vec<Row> {
        self.rows
    }
}

pub(super) fn amount(
    quantity: Quantity,
    label: &'static str,
    value: f64,
    unit: &'static str,
    formula: &'static str,
) -> Amount {
    Amount { quantity, label, value, unit, formula }
}
