//! `stonevane bench stampede`: queries to the store of record per served read, with and without shared
//! fetches.

use std::path::Path;

use stonevane_lab::{NodeKind, Options, Outcome, Scenario, run as run_scenario};

use super::{BenchResult, median};

/// Empty caches that are never filled, and a store that takes 100 ms per statement: every read of the three
/// keys is a miss.
const SCENARIO: &str = "name = \"stampede\"\nabout = \"\"\n[fleet]\nnodes = 4\ncaches = 8\nwarm_keys = 0.0\nsockets = 512\n\
    [store]\nstall_ms = 1000\nholds = 100\nfills = false\nedit_visibility = \"store\"\nshare_fetches = SHARES\n\
    [load]\nper_s = 300\nfor_ms = 4000\nedits = 0.0\nkeys = 3\nzipf = 0.9\nquota = 4.0\nretries = 0\n\
    [[fault]]\ndo = \"store-slow\"\nby_ms = 100\nat_ms = 0\nfor_ms = 4000\n";

/// Runs the scenario with and without shared fetches, once each per round; the round's number is the seed.
pub(super) fn run(rounds: u64, program: &Path) -> BenchResult {
    outln!(
        "{:<16} {:>8} {:>8} {:>9} {:>9} {:>14}",
        "",
        "asked",
        "served",
        "p50 ms",
        "p99 ms",
        "store queries"
    );
    let mut ratios = Vec::new();
    for seed in 1..=rounds {
        let shared = queries_per_read(seed, program, true)?;
        let separate = queries_per_read(seed, program, false)?;
        ratios.push(shared / separate);
    }
    outln!("queries per served read, shared / each its own, median: {:.2}", median(ratios));
    Ok(())
}

/// Runs the scenario once and prints the figures; returns the store's queries per served read.
fn queries_per_read(seed: u64, program: &Path, shares_fetches: bool) -> BenchResult<f64> {
    let text = SCENARIO.replace("SHARES", if shares_fetches { "true" } else { "false" });
    let scenario = Scenario::parse(&text).map_err(|errors| format!("{errors:?}"))?;
    let kind = NodeKind::Process(program.to_path_buf().into());
    let options = Options { seed: Some(seed), ..Options::of(kind) };
    let outcome = run_scenario(&scenario, &options)?;
    if outcome.report.finding_count > 0 {
        return Err(format!("a rule is broken at seed {seed}: {:?}", outcome.report).into());
    }
    let queries = outcome.summary.store_queries.unwrap_or(0);
    let figure = |name| figure(&outcome, name);
    outln!(
        "{:<16} {:>8.0} {:>8.3} {:>9.1} {:>9.1} {:>14}",
        if shares_fetches { "shared" } else { "each its own" },
        figure("asked"),
        figure("served"),
        figure("p50_ms"),
        figure("p99_ms"),
        queries
    );
    Ok(queries as f64 / (figure("served") * figure("asked")).max(1.0))
}

fn figure(outcome: &Outcome, name: &str) -> f64 {
    outcome.summary.figure(name, &outcome.report).unwrap_or(f64::NAN)
}
