//! Charts of a setting: figures over time, and request times by percentile.

use stonevane_lab::chart::{curve, fault_spans, panel_over_time};
use stonevane_lab::plot::{COLOURS, Curve, Panel, picture};
use stonevane_lab::summary::{INTERVAL_US, Interval};

use super::Section;
use crate::results::{Build, RunResult};
use crate::runner::Folder;
use crate::stats::median;

/// The runs of one build.
struct BuildRuns<'a> {
    build: Build,
    runs: Vec<&'a RunResult>,
}

/// Renders the charts of a setting.
pub(super) fn charts(section: &Section, folder: &Folder) -> String {
    let builds: Vec<BuildRuns<'_>> = Build::ALL
        .into_iter()
        .zip(&section.runs)
        .map(|(build, _)| BuildRuns { build, runs: folder.runs_of(&section.setting, build) })
        .collect();
    over_time(&builds) + &latency(&builds)
}

fn over_time(builds: &[BuildRuns<'_>]) -> String {
    let intervals = builds.iter().flat_map(|build| &build.runs).map(|run| run.steps.len()).max();
    let seconds = intervals.unwrap_or(1) as f64 * INTERVAL_US as f64 / 1e6;
    let curves = |value: &dyn Fn(&Interval) -> f64| {
        let builds = builds.iter().enumerate();
        builds.map(|(colour, build)| median_curve(build, colour, value)).collect::<Vec<_>>()
    };
    let served = |interval: &Interval| match interval.asked {
        0 => f64::NAN,
        asked => interval.served as f64 / asked as f64,
    };
    let origin = curves(&|interval| interval.origin);
    let coldest = curves(&|interval| interval.coldest);
    let panels = [
        panel_over_time("served, median over seeds", "part of the requests", curves(&served), Some(1.0)),
        panel_over_time("origin, median over seeds", "sent / capacity", origin, Some(1.0)),
        panel_over_time("coldest server, median over seeds", "sent / limit", coldest, Some(1.0)),
    ];
    let first = builds.first().and_then(|build| build.runs.first());
    let spans = first.map(|run| fault_spans(&run.faults, seconds)).unwrap_or_default();
    picture("over time", &panels, &spans, seconds)
}

/// Returns the curve of the median of `value` over all runs, per interval. An interval that no run has
/// becomes NaN, a gap in the curve.
fn median_curve(build: &BuildRuns<'_>, colour: usize, value: &dyn Fn(&Interval) -> f64) -> Curve {
    let longest = build.runs.iter().map(|run| run.steps.len()).max().unwrap_or(0);
    let at = |index: usize| {
        let values: Vec<f64> = build.runs.iter().filter_map(|run| run.steps.get(index).map(value)).collect();
        median(&values).unwrap_or(f64::NAN)
    };
    let empty = vec![Interval::default(); longest];
    let mut curve = curve(&build.build.to_string(), colour, &empty, &|_| 0.0);
    for (index, point) in curve.points.iter_mut().enumerate() {
        point.1 = at(index);
    }
    curve
}

fn latency(builds: &[BuildRuns<'_>]) -> String {
    let mut curves = Vec::new();
    for (index, build) in builds.iter().enumerate() {
        let mut classes: Vec<&String> = build.runs.iter().flat_map(|run| run.marks_ms.keys()).collect();
        classes.sort();
        classes.dedup();
        for (number, class) in classes.into_iter().enumerate() {
            curves.push(Curve {
                name: format!("{class} {}", build.build),
                colour: COLOURS[(2 * number + index) % COLOURS.len()],
                points: percentile_points(&build.runs, class),
            });
        }
    }
    let panel = Panel {
        title: "time of served requests by percentile, median over seeds".to_owned(),
        x_label: "part of the requests, %",
        y_label: "ms",
        curves,
        bound: None,
    };
    picture("latency", &[panel], &[], 1.0)
}

/// Returns, for each percentile of the request times of a class, the median over all runs, as points
/// (percent, milliseconds).
fn percentile_points(runs: &[&RunResult], class: &str) -> Vec<(f64, f64)> {
    let count = runs.iter().filter_map(|run| run.marks_ms.get(class)).map(Vec::len).max().unwrap_or(0);
    let point = |index: usize| {
        let times: Vec<f64> =
            runs.iter().filter_map(|run| run.marks_ms.get(class)?.get(index).copied()).collect();
        let percent = 100.0 * index as f64 / count.saturating_sub(1).max(1) as f64;
        (percent, median(&times).unwrap_or(f64::NAN))
    };
    (0..count).map(point).collect()
}
