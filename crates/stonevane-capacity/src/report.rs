//! Text report of a run of measurements: one line for each size, and one line for the growth of each metric.

use crate::fit::{self, Point};
use crate::roles::{Basis, Measurement};

/// Number of significant digits that [`number`] prints.
const SIGNIFICANT_DIGITS: i32 = 4;

/// Formats a number with four significant digits, without trailing zeros; "not reached" if it is not finite.
pub fn number(value: f64) -> String {
    if !value.is_finite() {
        return "not reached".into();
    }
    if value == 0.0 {
        return "0".into();
    }
    let places = (SIGNIFICANT_DIGITS - 1 - value.abs().log10().floor() as i32).clamp(0, 9) as usize;
    let text = format!("{value:.places$}");
    if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.').to_owned() } else { text }
}

/// Formats all metrics of a measurement on one line.
pub fn size_line(measurement: &Measurement) -> String {
    let (role, size, unit) = (measurement.role.name(), measurement.size, measurement.role.size_unit());
    let values = measurement.values.iter().map(|figure| {
        let mark = if figure.basis == Basis::Measured { "" } else { figure.basis.name() };
        let space = if mark.is_empty() { "" } else { " " };
        format!("{} {} {}{space}{mark}", figure.metric, number(figure.value), figure.unit)
    });
    format!("{role} {size} {unit}: {}", values.collect::<Vec<_>>().join(", "))
}

/// Points (size, value) of one metric; values that are not finite are left out.
fn points(measurements: &[Measurement], metric: &str) -> Vec<Point> {
    let value = |measurement: &Measurement| {
        let figure = measurement.values.iter().find(|figure| figure.metric == metric)?;
        figure.value.is_finite().then_some((measurement.size as f64, figure.value))
    };
    measurements.iter().filter_map(value).collect()
}

/// Describes how a metric was obtained, and from which size on it is sampled or counted instead of measured.
fn basis(measurements: &[Measurement], metric: &str) -> String {
    let basis = |measurement: &Measurement| {
        let figure = measurement.values.iter().find(|figure| figure.metric == metric);
        figure.map(|figure| (measurement.size, figure.basis))
    };
    let all: Vec<_> = measurements.iter().filter_map(basis).collect();
    match all.iter().find(|(_, basis)| *basis != Basis::Measured) {
        None => "measured".into(),
        Some((size, basis)) if all.first().is_some_and(|(first, _)| first == size) => basis.name().into(),
        Some((size, basis)) => format!("measured, from {size} on {}", basis.name()),
    }
}

fn growth(measurements: &[Measurement], metric: &str, unit: &str, tolerance: f64) -> String {
    let points = points(measurements, metric);
    let basis = basis(measurements, metric);
    let Some(line) = fit::line(&points) else {
        return format!("{metric}: too few sizes for a line ({basis})");
    };
    let exponent = fit::exponent(&points).map_or("none".into(), number);
    let linearity = match fit::first_deviation(&points, tolerance) {
        Some(deviation) => format!(
            "leaves its line at {}: {} where {} was expected",
            deviation.size,
            number(deviation.found),
            number(deviation.expected)
        ),
        None if points.len() < 3 => "too few sizes to see a bend".into(),
        None => format!("straight to {}", points.last().map_or(0.0, |point| point.0)),
    };
    let (slope, intercept, residual) = (number(line.slope), number(line.intercept), number(line.residual));
    format!(
        "{metric}: {intercept} + {slope} a size, residual {residual} {unit}, exponent {exponent}, {linearity} ({basis})"
    )
}

/// Formats one line for each metric: slope, residual, exponent, and the first size that deviates from the
/// line.
pub fn growth_lines(measurements: &[Measurement], tolerance: f64) -> Vec<String> {
    let Some(first) = measurements.first() else { return Vec::new() };
    let line =
        |figure: &crate::roles::MetricValue| growth(measurements, &figure.metric, &figure.unit, tolerance);
    first.values.iter().map(line).collect()
}
