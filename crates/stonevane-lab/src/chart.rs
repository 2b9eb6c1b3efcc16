//! Chart of a run: request outcomes, origin load and the load of the coldest server over time, and the
//! faults.

use crate::plot::{COLOURS, Curve, Panel, Span, picture};
use crate::run::Outcome;
use crate::summary::{INTERVAL_US, Interval};

/// Renders the chart of a run as SVG.
pub fn svg(outcome: &Outcome) -> String {
    let intervals = &outcome.summary.steps;
    let seconds = intervals.len().max(1) as f64 * INTERVAL_US as f64 / 1e6;
    let verdict = if outcome.report.holds() { "all four rules hold" } else { "rules are broken" };
    let title = format!("{}, seed {}: {verdict}", outcome.scenario, outcome.seed);
    picture(&title, &panels(intervals), &fault_spans(&outcome.summary.faults, seconds), seconds)
}

/// Returns a curve of one figure over the intervals of a run, with a point in the middle of each interval.
pub fn curve(name: &str, colour: usize, intervals: &[Interval], figure: &dyn Fn(&Interval) -> f64) -> Curve {
    let middle = |index: usize| (index as f64 + 0.5) * INTERVAL_US as f64 / 1e6;
    let points =
        intervals.iter().enumerate().map(|(index, interval)| (middle(index), figure(interval))).collect();
    Curve { name: name.into(), colour: COLOURS[colour % COLOURS.len()], points }
}

/// Returns a panel of curves over time in seconds.
pub fn panel_over_time(title: &str, y_label: &'static str, curves: Vec<Curve>, bound: Option<f64>) -> Panel {
    Panel { title: title.into(), x_label: "s", y_label, curves, bound }
}

fn panels(intervals: &[Interval]) -> Vec<Panel> {
    let rate = |count: u64| count as f64 * 1e6 / INTERVAL_US as f64;
    let requests = vec![
        curve("asked", 5, intervals, &|interval| rate(interval.asked)),
        curve("served", 2, intervals, &|interval| rate(interval.served)),
        curve("refused", 1, intervals, &|interval| rate(interval.refused)),
        curve("failed", 4, intervals, &|interval| rate(interval.failed)),
    ];
    let origin = vec![curve("sent", 0, intervals, &|interval| interval.origin)];
    let coldest = vec![curve("sent", 3, intervals, &|interval| interval.coldest)];
    vec![
        panel_over_time("requests", "a second", requests, None),
        panel_over_time("origin", "sent / capacity", origin, Some(1.0)),
        panel_over_time("coldest server", "sent / limit", coldest, Some(1.0)),
    ]
}

/// Returns a span for each recorded fault. A fault without a recorded end lasts until `seconds`.
pub fn fault_spans(faults: &[(f64, String)], seconds: f64) -> Vec<Span> {
    let mut spans: Vec<Span> = Vec::new();
    for (at, label) in faults.iter().filter(|(_, label)| !label.starts_with("load")) {
        if let Some(begun) = label.strip_prefix("end of ") {
            let open = spans.iter_mut().find(|span| span.label == begun && span.until_s == f64::INFINITY);
            if let Some(open) = open {
                open.until_s = *at;
            }
            continue;
        }
        // The overload or stop of a server by itself is recorded without an end.
        let momentary = label.ends_with("fell over") || label.ends_with("stopped");
        let until_s = if momentary { *at } else { f64::INFINITY };
        spans.push(Span { from_s: *at, until_s, label: label.clone() });
    }
    for span in &mut spans {
        span.until_s = span.until_s.min(seconds);
    }
    spans
}

#[cfg(test)]
mod tests;
