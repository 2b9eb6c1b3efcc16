//! The picture of a run: goodput, refusals, the origin and the coldest server over time, faults marked.

use std::fmt::Write as _;

use crate::run::Outcome;
use crate::summary::STEP_US;

const WIDTH: f64 = 900.0;
const PANEL: f64 = 120.0;
const LEFT: f64 = 60.0;

/// A name, a colour, and a value for each step.
type Curve = (&'static str, &'static str, Vec<f64>);

/// An SVG of a run.
pub fn svg(outcome: &Outcome) -> String {
    let steps = &outcome.summary.steps;
    let seconds = steps.len().max(1) as f64 * STEP_US as f64 / 1e6;
    let x = |at: f64| LEFT + at / seconds * (WIDTH - LEFT - 20.0);
    let rate = |count: u64| count as f64 * 1e6 / STEP_US as f64;
    let panels: [(&str, Vec<Curve>); 3] = [
        (
            "requests a second",
            vec![
                ("asked", "#999", steps.iter().map(|s| rate(s.asked)).collect()),
                ("served", "#197a3e", steps.iter().map(|s| rate(s.served)).collect()),
                ("refused", "#c77700", steps.iter().map(|s| rate(s.refused)).collect()),
                ("failed", "#b3261e", steps.iter().map(|s| rate(s.failed)).collect()),
            ],
        ),
        ("origin: work / capacity", vec![("origin", "#1a56a8", steps.iter().map(|s| s.origin).collect())]),
        (
            "coldest server: work / limit",
            vec![("coldest", "#6a3fa0", steps.iter().map(|s| s.coldest).collect())],
        ),
    ];
    let height = 50.0 + panels.len() as f64 * (PANEL + 40.0);
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" font-family=\"sans-serif\" \
         font-size=\"11\"><rect width=\"100%\" height=\"100%\" fill=\"#fff\"/>\
         <text x=\"{LEFT}\" y=\"20\" font-size=\"15\">{}, seed {}: {}</text>",
        escaped(&outcome.scenario),
        outcome.seed,
        if outcome.report.holds() { "all four rules hold" } else { "rules are broken" }
    );
    for (number, (title, lines)) in panels.iter().enumerate() {
        let top = 50.0 + number as f64 * (PANEL + 40.0);
        let most = lines
            .iter()
            .flat_map(|(_, _, v)| v)
            .fold(if number == 0 { 1.0 } else { 1.05 }, |a: f64, b| a.max(*b));
        let y = |value: f64| top + PANEL - value / most * PANEL;
        let _ = write!(
            out,
            "<text x=\"{LEFT}\" y=\"{}\">{title}</text><rect x=\"{LEFT}\" y=\"{top}\" width=\"{}\" height=\"{PANEL}\" \
             fill=\"none\" stroke=\"#ccc\"/><text x=\"5\" y=\"{}\">{most:.1}</text><text x=\"5\" y=\"{}\">0</text>",
            top - 6.0,
            WIDTH - LEFT - 20.0,
            top + 10.0,
            top + PANEL
        );
        if number > 0 {
            let _ = write!(
                out,
                "<line x1=\"{LEFT}\" x2=\"{}\" y1=\"{1}\" y2=\"{1}\" stroke=\"#b3261e\" stroke-dasharray=\"4 3\"/>",
                WIDTH - 20.0,
                y(1.0)
            );
        }
        let faults = outcome.summary.faults.iter().filter(|(_, words)| !words.starts_with("load"));
        for (row, (at, words)) in faults.enumerate() {
            let _ = write!(
                out,
                "<line x1=\"{0:.1}\" x2=\"{0:.1}\" y1=\"{top}\" y2=\"{1}\" stroke=\"#b3261e\" opacity=\"0.5\"/>",
                x(*at),
                top + PANEL
            );
            if number == 0 {
                let _ = write!(
                    out,
                    "<text x=\"{:.1}\" y=\"{}\" fill=\"#b3261e\" font-size=\"9\">{}</text>",
                    x(*at) + 2.0,
                    top + 10.0 + 10.0 * (row % 8) as f64,
                    escaped(words)
                );
            }
        }
        for (at, (name, colour, values)) in lines.iter().enumerate() {
            let points = values.iter().enumerate().map(|(step, value)| {
                format!("{:.1},{:.1}", x((step as f64 + 0.5) * STEP_US as f64 / 1e6), y(*value))
            });
            let _ = write!(
                out,
                "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\" points=\"{}\"/>\
                 <text x=\"{}\" y=\"{}\" fill=\"{colour}\">{name}</text>",
                points.collect::<Vec<_>>().join(" "),
                WIDTH - 330.0 + 80.0 * at as f64,
                top - 6.0
            );
        }
        let _ = write!(
            out,
            "<text x=\"{LEFT}\" y=\"{0}\">0 s</text><text x=\"{1}\" y=\"{0}\">{seconds:.1} s</text>",
            top + PANEL + 14.0,
            WIDTH - 50.0
        );
    }
    out.push_str("</svg>\n");
    out
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
