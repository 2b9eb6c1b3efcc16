//! Tables of `docs/CAPACITY.md`: writes them as Markdown, and compares the tables in a page with the computed
//! rows.

use crate::report::number;

use super::row::{Component, Row};

/// Column titles of a component's table, as a Markdown line.
const HEADER: &str =
    "| when | kind | what | at the target | formula | measured figures | budget | ratio | carried by |";
const SEPARATOR: &str = "| --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// Column titles of the table of loads that exceed their budgets, as a Markdown line.
const OVER_BUDGET_HEADER: &str = "| ratio | whom | when | what | at the target | budget | carried by |";
const OVER_BUDGET_SEPARATOR: &str = "| --- | --- | --- | --- | --- | --- | --- |";
const OVER_BUDGET: &str = "over the budget";

/// Difference between a table in the page and the computed rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mismatch {
    /// Name of the table.
    pub table: &'static str,
    /// Computed line; empty if the page has a surplus line.
    pub expected: String,
    /// Line in the page; empty if the page lacks a line.
    pub found: String,
}

impl std::fmt::Display for Mismatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "table {:?}:\n  formulas: {}\n  page:     {}", self.table, self.expected, self.found)
    }
}

fn begin_mark(name: &str) -> String {
    format!("<!-- table: {name} -->")
}

const END_MARK: &str = "<!-- end of table -->";

fn line(row: &Row) -> String {
    let optional = |value: Option<f64>| value.map_or("-".into(), number);
    let sources = if row.sources.is_empty() { "none: arithmetic".into() } else { row.sources.join("; ") };
    format!(
        "| {} | {} | {} | {} {} | {} | {} | {} | {} | {} |",
        row.situation.name(),
        row.quantity.name(),
        row.label,
        number(row.value),
        row.unit,
        row.formula,
        sources,
        optional(row.budget),
        optional(row.ratio()),
        row.mechanism.description()
    )
}

/// Formats the table of one component, header included, as Markdown lines.
fn lines(component: Component, rows: &[Row]) -> Vec<String> {
    let own = rows.iter().filter(|row| row.component == component).map(line);
    [HEADER.to_owned(), SEPARATOR.to_owned()].into_iter().chain(own).collect()
}

/// Formats the table of the rows that exceed their budgets, highest ratio first. Rows of
/// [`Component::Estimates`] are left out.
fn over_budget_lines(rows: &[Row]) -> Vec<String> {
    let over_budget =
        |row: &&Row| row.component != Component::Estimates && row.ratio().is_some_and(|ratio| ratio > 1.0);
    let mut over_budget: Vec<&Row> = rows.iter().filter(over_budget).collect();
    over_budget.sort_by(|one, other| other.ratio().unwrap_or(0.0).total_cmp(&one.ratio().unwrap_or(0.0)));
    let line = |row: &Row| {
        format!(
            "| {} | {} | {} | {}: {} | {} {} | {} | {} |",
            number(row.ratio().unwrap_or(0.0)),
            row.component.name(),
            row.situation.name(),
            row.quantity.name(),
            row.label,
            number(row.value),
            row.unit,
            number(row.budget.unwrap_or(0.0)),
            row.mechanism.description()
        )
    };
    [OVER_BUDGET_HEADER.to_owned(), OVER_BUDGET_SEPARATOR.to_owned()]
        .into_iter()
        .chain(over_budget.into_iter().map(line))
        .collect()
}

/// Returns the name and the Markdown lines of every table, in the order of the page.
fn all_lines(rows: &[Row]) -> Vec<(&'static str, Vec<String>)> {
    let components = Component::ALL.into_iter().map(|component| (component.name(), lines(component, rows)));
    [(OVER_BUDGET, over_budget_lines(rows))].into_iter().chain(components).collect()
}

/// Formats all tables as Markdown, each between the marks that delimit it in the page.
pub fn tables(rows: &[Row]) -> String {
    let block = |(name, lines): (&str, Vec<String>)| {
        format!("{}\n{}\n{END_MARK}\n", begin_mark(name), lines.join("\n"))
    };
    all_lines(rows).into_iter().map(block).collect::<Vec<_>>().join("\n")
}

/// Compares the tables in a page with the computed rows; returns the first difference of each table.
pub fn compare(page: &str, rows: &[Row]) -> Vec<Mismatch> {
    all_lines(rows).into_iter().filter_map(|(name, expected)| compare_table(page, name, &expected)).collect()
}

fn compare_table(page: &str, name: &'static str, expected: &[String]) -> Option<Mismatch> {
    let begin = begin_mark(name);
    let found: Vec<&str> =
        page.lines().skip_while(|line| *line != begin).skip(1).take_while(|line| *line != END_MARK).collect();
    let count = expected.len().max(found.len());
    (0..count).find_map(|index| {
        let expected = expected.get(index).map_or("", String::as_str);
        let found = found.get(index).copied().unwrap_or("");
        let differ = expected != found;
        differ.then(|| Mismatch { table: name, expected: expected.into(), found: found.into() })
    })
}
