//! The tables of `docs/CAPACITY.md` match the model and the measurements in `docs/capacity`. They fail to
//! match if a formula, a measurement or the page changes without the others.
#![allow(missing_docs)]

use std::path::{Path, PathBuf};

use stonevane_capacity::csv;
use stonevane_capacity::model::{Component, Measurements, Row, Situation, compare, rows, tables};
use stonevane_capacity::roles::Role;

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn lines() -> Vec<csv::Line> {
    let file = |role: Role| docs().join(format!("capacity/{}.csv", role.name()));
    Role::ALL.iter().flat_map(|role| csv::read(&read(&file(*role))).unwrap()).collect()
}

fn current_rows() -> Vec<Row> {
    rows(&Measurements::new(lines())).unwrap()
}

fn row<'r>(rows: &'r [Row], component: Component, label: &str) -> &'r Row {
    let found: Vec<_> = rows.iter().filter(|row| row.component == component && row.label == label).collect();
    assert!(!found.is_empty(), "no row {label:?} of {}", component.name());
    found[0]
}

#[test]
fn the_page_matches_the_formulas() {
    let rows = current_rows();
    let mismatches = compare(&read(&docs().join("CAPACITY.md")), &rows);
    let messages: Vec<_> = mismatches.iter().map(ToString::to_string).collect();
    assert!(
        mismatches.is_empty(),
        "update the page: `stonevane scale table` prints the current tables.\n{}",
        messages.join("\n")
    );
}

#[test]
fn a_changed_value_formula_or_row_in_the_page_is_detected() {
    let rows = current_rows();
    let page = tables(&rows);
    assert_eq!(compare(&page, &rows), []);
    let purges = row(&rows, Component::Node, "purges");
    assert_eq!(purges.value, 4_640.0);
    let changed = [
        (page.replacen("purges | 4640 B/s |", "purges | 4641 B/s |", 1), "over the budget"),
        (page.replacen("purges/s x 16 B", "purges/s x 61 B", 1), "node"),
        (page.replacen("| 3000 | 1.547 | missing", "| 3000 | 0.547 | missing", 1), "node"),
    ];
    for (changed_page, table) in changed {
        assert_ne!(changed_page, page);
        let mismatches: Vec<_> =
            compare(&changed_page, &rows).into_iter().map(|mismatch| mismatch.table).collect();
        assert_eq!(mismatches, [table]);
    }
    // A missing row, a surplus row, and missing tables.
    let page_lines: Vec<&str> = page.lines().collect();
    let with_missing_row = [&page_lines[..4], &page_lines[5..]].concat().join("\n");
    assert_eq!(compare(&with_missing_row, &rows).len(), 1);
    let with_surplus_row = [&page_lines[..4], &page_lines[3..]].concat().join("\n");
    assert_eq!(compare(&with_surplus_row, &rows).len(), 1);
    assert_eq!(compare("", &rows).len(), Component::ALL.len() + 1);
}

#[test]
fn a_changed_measurement_changes_the_rows_that_use_it() {
    let mut changed_lines = lines();
    let steady =
        changed_lines.iter_mut().filter(|line| line.role == "membership" && line.metric == "steady_bytes");
    steady.for_each(|line| line.value *= 1.5);
    let changed_rows = rows(&Measurements::new(changed_lines)).unwrap();
    let mismatches = compare(&tables(&current_rows()), &changed_rows);
    let tables: Vec<_> = mismatches.iter().map(|mismatch| mismatch.table).collect();
    assert_eq!(tables, ["over the budget", "node", "link between two regions"]);
}

#[test]
fn every_component_has_a_row_for_every_situation() {
    let rows = current_rows();
    let situations = [
        Situation::OrdinaryDay,
        Situation::BusiestSecond,
        Situation::ZoneLost,
        Situation::RegionStarts,
        Situation::RegionsCut,
        Situation::AllRestarted,
    ];
    for component in
        [Component::Node, Component::Server, Component::Discovery, Component::ControlMachine, Component::Link]
    {
        for situation in situations {
            let has_row = rows.iter().any(|row| row.component == component && row.situation == situation);
            assert!(has_row, "{} has no row for {}", component.name(), situation.name());
        }
    }
    assert!(rows.iter().all(|row| row.value.is_finite() && row.value >= 0.0));
}

/// Whether `found` differs from `expected` by at most a fraction of `expected`.
fn agree(found: f64, expected: f64, tolerance: f64) -> bool {
    (found / expected - 1.0).abs() <= tolerance
}

#[test]
fn rows_match_arithmetic_by_hand() {
    let rows = current_rows();
    let value = |component, label| row(&rows, component, label).value;
    assert!(agree(value(Component::Estimates, "purges at every node: 4.6 KB/s"), 4_640.0, 1e-9));
    let deliveries =
        value(Component::Estimates, "deliveries of changes at each control machine: 403 a second");
    assert!(agree(deliveries, 402.777_777, 1e-6));
    assert!(agree(value(Component::Estimates, "pairs of nodes and servers"), 75_600_000.0, 1e-9));
    assert!(agree(value(Component::Estimates, "requests of a node: 778 a second"), 777.777_777, 1e-6));
    assert!(agree(value(Component::Estimates, "bits of a node: 5.6 Gbit/s"), 5.555_555e9, 1e-6));
    assert!(agree(value(Component::Estimates, "an answer: 0.9 MB"), 892_857.1, 1e-6));
    // The operators' own estimates are rounded.
    assert!(agree(value(Component::Estimates, "the whole list: 630 KB"), 630e3, 0.05));
    assert!(agree(value(Component::Estimates, "whole lists at a zone's return: 200 MB"), 200e6, 0.05));
    let changes = value(Component::Node, "configuration if only the change travels");
    assert!(agree(changes, 58_000.0 / 86_400.0 * 1_024.0, 1e-9));
    let sockets = row(&rows, Component::Node, "connections to cache servers that would be held");
    assert_eq!(sockets.ratio(), Some(sockets.value / 1_024.0));
}

#[test]
fn the_first_table_lists_rows_over_budget_by_descending_ratio() {
    let rows = current_rows();
    let page = tables(&rows);
    let table = page.split("<!-- end of table -->").next().unwrap();
    let ratios: Vec<f64> =
        table.lines().filter_map(|line| line.split('|').nth(1)?.trim().parse().ok()).collect();
    let over =
        rows.iter().filter(|row| row.component != Component::Estimates && row.ratio() > Some(1.0)).count();
    assert_eq!(ratios.len(), over);
    assert!(over > 0 && ratios.is_sorted_by(|one, other| one >= other), "{ratios:?}");
    assert!(ratios.iter().all(|ratio| *ratio > 1.0));
}

#[test]
fn extrapolated_values_name_the_extrapolation_factor() {
    let rows = current_rows();
    let death = row(&rows, Component::Node, "until all know of a death");
    assert!(death.sources[0].contains("extrapolated, x6 beyond 3000"), "{:?}", death.sources);
    let largest = row(&rows, Component::Node, "connections with the 150 servers of its region");
    assert!(largest.sources[0].contains("at 18000 (measured; "), "{:?}", largest.sources);
}

#[test]
fn a_missing_metric_is_named_in_the_error() {
    let without = lines().into_iter().filter(|line| line.metric != "placement").collect();
    let missing = rows(&Measurements::new(without)).unwrap_err();
    assert_eq!(missing.to_string(), "the measurements lack placement of node-state");
}
