//! Formats the outcome of a run for people.

use stonevane_audit::MembershipMeasurements;
use stonevane_lab::{Outcome, Summary};

/// Prints the figures, the expectations and the verdict of a run.
pub(super) fn print(outcome: &Outcome) {
    outln!("{}, seed {}, load {}", outcome.scenario, outcome.seed, outcome.load);
    print_classes(&outcome.summary);
    print_servers(&outcome.summary);
    if outcome.report.membership.views > 0 {
        print_membership(&outcome.report.membership);
    }
    outln!("");
    for expected in &outcome.expects {
        let found = expected.found.map_or("no measurement".into(), |found| format!("{found:.4}"));
        let verdict = if expected.holds { "holds " } else { "BROKEN" };
        outln!("{verdict} {:<28} found {found}", expected.line);
    }
    outln!("{}", outcome.report);
}

fn print_classes(summary: &Summary) {
    outln!(
        "\n{:<14} {:>7} {:>7} {:>7} {:>7} {:>9} {:>9} {:>9}",
        "class",
        "asked",
        "served",
        "refused",
        "failed",
        "p50 ms",
        "p99 ms",
        "p99.9 ms"
    );
    for (name, class) in &summary.classes {
        outln!(
            "{name:<14} {:>7} {:>7} {:>7} {:>7} {:>9.1} {:>9.1} {:>9.1}",
            class.asked,
            class.served,
            class.refused,
            class.failed,
            class.p50_ms,
            class.p99_ms,
            class.p999_ms
        );
    }
}

fn print_servers(summary: &Summary) {
    outln!(
        "\n{:<14} {:>8} {:>7} {:>7} {:>11} {:>11} {:>6}",
        "server",
        "attempts",
        "busy",
        "misses",
        "peak load",
        "cold/limit",
        "falls"
    );
    for (name, server) in &summary.servers {
        outln!(
            "{name:<14} {:>8} {:>7} {:>7} {:>11.2} {:>11.2} {:>6}",
            server.attempts,
            server.busy,
            server.misses,
            server.peak,
            server.cold_peak,
            server.falls
        );
    }
}

fn print_membership(members: &MembershipMeasurements) {
    let quantile = |times: &[u64], quantile| {
        let us = MembershipMeasurements::quantile(times, quantile);
        us.map_or("-".into(), |us| format!("{:.1}", us as f64 / 1e6))
    };
    outln!(
        "\nmembership: {} views, {} deaths; time until the first member sees a death: {} s (median), {} s \
         (maximum), until all see it: {} s, {} s ({} deaths); {} false deaths",
        members.views,
        members.deaths,
        quantile(&members.first_us, 0.5),
        quantile(&members.first_us, 1.0),
        quantile(&members.last_us, 0.5),
        quantile(&members.last_us, 1.0),
        members.last_us.len(),
        members.false_deaths
    );
}
