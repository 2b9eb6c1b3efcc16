//! Rates computed from samples, the format of figures, and the check against the budget.
#![allow(missing_docs)]

use stonevane_scale::budget::{Budget, BudgetItem, excesses};
use stonevane_scale::figures::{Figures, Sample, rates};

/// Figures that are equal to the bounds of the default budget.
fn figures_at_budget() -> Figures {
    Figures {
        nodes: 16,
        converged_s: Some(100.0),
        rested_s: Some(200.0),
        udp_bytes_s: Some(3_000.0),
        tcp_bytes_s: Some(72.0),
        datagrams_s: Some(1e9),
        cpu_us_s: Some(17_000.0),
        memory_bytes: Some(64 << 20),
        death_known_s: Some(8.0),
        ..Figures::default()
    }
}

fn items(figures: &Figures) -> Vec<BudgetItem> {
    let excesses = excesses(&Budget::default(), figures);
    assert!(excesses.iter().all(|excess| excess.to_string().lines().count() == 1));
    excesses.into_iter().map(|excess| excess.item).collect()
}

#[test]
fn a_value_at_the_bound_is_within_the_budget_and_one_above_it_is_reported() {
    let base = figures_at_budget();
    assert_eq!(items(&base), []);
    assert_eq!(items(&Figures { cpu_us_s: Some(17_000.1), ..base.clone() }), [BudgetItem::Cpu]);
    assert_eq!(items(&Figures { memory_bytes: Some((64 << 20) + 1), ..base.clone() }), [BudgetItem::Memory]);
    assert_eq!(items(&Figures { tcp_bytes_s: Some(72.1), ..base.clone() }), [BudgetItem::Bytes]);
    let late = Figures { death_known_s: Some(8.1), udp_bytes_s: Some(4_000.0), ..base };
    assert_eq!(items(&late), [BudgetItem::Bytes, BudgetItem::DeathKnown]);
}

#[test]
fn a_phase_that_timed_out_exceeds_the_budget() {
    let base = figures_at_budget();
    assert_eq!(items(&Figures { death_known_s: None, ..base.clone() }), [BudgetItem::DeathKnown]);
    assert_eq!(items(&Figures { rested_s: None, death_known_s: None, ..base.clone() }), [BudgetItem::Rested]);
    assert_eq!(items(&Figures { converged_s: None, ..base }), [BudgetItem::Converged]);
    assert_eq!(items(&Figures::default()), [BudgetItem::Converged]);
}

#[test]
fn rates_divide_by_each_workers_own_window_and_by_all_nodes() {
    let start = [Sample { at: 1_000_000, cpu: 500, ..Sample::default() }, Sample::default()];
    let first =
        Sample { at: 3_000_000, cpu: 8_500, datagrams: 80, udp_bytes: 800, tcp_bytes: 40, ..start[0] };
    let second = Sample { at: 1_000_000, cpu: 4_000, datagrams: 40, ..Sample::default() };
    let rates = rates(&start, &[first, second], 4);
    assert_eq!(rates.cpu_us, (4_000.0 + 4_000.0) / 4.0);
    assert_eq!(rates.datagrams, (40.0 + 40.0) / 4.0);
    assert_eq!((rates.udp_bytes, rates.tcp_bytes), (100.0, 5.0));
}

#[test]
fn a_line_has_all_figures_and_a_dash_for_each_missing_one() {
    let line = Figures { within_budget: true, ..figures_at_budget() }.to_string();
    assert_eq!(line.lines().count(), 1);
    for part in ["nodes=16 ", "cpu_us_s=17000 ", "memory_mb=64.000 ", "death_known_s=8.00 ", "budget=kept"] {
        assert!(line.contains(part), "{part}: {line}");
    }
    let line = Figures::default().to_string();
    assert!(line.contains("death_known_s=- ") && line.ends_with("budget=over"), "{line}");
}
