//! Value of a metric at a size: as measured at that size, or on the line through the measured sizes.

use crate::csv::Line;
use crate::fit::{self, Point};
use crate::report::number;
use crate::roles::{Basis, Role};

/// Error for a metric that a formula needs and that was not measured at enough sizes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingMetric {
    /// Name of the role.
    pub role: &'static str,
    /// Name of the metric.
    pub metric: &'static str,
}

impl std::fmt::Display for MissingMetric {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the measurements lack {} of {}", self.metric, self.role)
    }
}

impl std::error::Error for MissingMetric {}

/// Value of a metric at a size.
#[derive(Debug, Clone, PartialEq)]
pub struct Value {
    /// Value, in the unit of the metric.
    pub value: f64,
    /// Text that the tables print for the source of the value: the measurement or the fitted line.
    pub source: String,
}

/// Measurements of all roles, the input of the model.
#[derive(Debug, Clone, Default)]
pub struct Measurements {
    lines: Vec<Line>,
}

impl Measurements {
    /// Creates the measurements from the lines of all CSV files.
    pub fn new(lines: Vec<Line>) -> Measurements {
        Measurements { lines }
    }

    /// Lines of a metric whose value is finite.
    fn finite_lines(&self, role: Role, metric: &str) -> impl Iterator<Item = &Line> {
        let same = move |line: &&Line| line.role == role.name() && line.metric == metric;
        self.lines.iter().filter(same).filter(|line| line.value.is_finite())
    }

    /// Returns the value of a metric at `size`: the recorded value, or if there is none, the value on
    /// the line through all recorded sizes.
    ///
    /// # Errors
    /// If `size` is not recorded and fewer than two sizes are, so that no line can be fitted.
    pub fn at(&self, role: Role, metric: &'static str, size: f64) -> Result<Value, MissingMetric> {
        let exact = self.finite_lines(role, metric).find(|line| line.size as f64 == size);
        if let Some(line) = exact {
            let basis = line.basis.name();
            let slope = self.slope(role, metric);
            let source = format!("{}.{metric} at {} ({basis}{slope})", role.name(), line.size);
            return Ok(Value { value: line.value, source });
        }
        self.on_line(role, metric, size, |size| size, |_| true)
    }

    /// Formats the slope of the line through all sizes of a metric; empty if there are fewer than two sizes.
    fn slope(&self, role: Role, metric: &str) -> String {
        let points: Vec<Point> =
            self.finite_lines(role, metric).map(|line| (line.size as f64, line.value)).collect();
        fit::line(&points).map_or(String::new(), |line| format!("; {} a size", number(line.slope)))
    }

    /// Returns the value of a metric at `size`, on the line through the sizes that were measured with every
    /// participant running.
    ///
    /// # Errors
    /// If there are fewer than two such sizes.
    pub fn at_measured(&self, role: Role, metric: &'static str, size: f64) -> Result<Value, MissingMetric> {
        self.on_line(role, metric, size, |size| size, |line| line.basis == Basis::Measured)
    }

    /// Returns the value at `size` of a metric that grows with the logarithm of the size, on the line through
    /// the sizes that were measured with every participant running.
    ///
    /// # Errors
    /// If there are fewer than two such sizes.
    pub fn at_logarithm(&self, role: Role, metric: &'static str, size: f64) -> Result<Value, MissingMetric> {
        self.on_line(role, metric, size, f64::log10, |line| line.basis == Basis::Measured)
    }

    fn on_line(
        &self,
        role: Role,
        metric: &'static str,
        size: f64,
        scale: fn(f64) -> f64,
        include: fn(&Line) -> bool,
    ) -> Result<Value, MissingMetric> {
        let lines: Vec<&Line> = self.finite_lines(role, metric).filter(|line| include(line)).collect();
        let points: Vec<Point> = lines.iter().map(|line| (scale(line.size as f64), line.value)).collect();
        let fitted = fit::line(&points).ok_or(MissingMetric { role: role.name(), metric })?;
        let largest = lines.iter().map(|line| line.size).max().unwrap_or(0) as f64;
        let range = match size > largest {
            true => format!("extrapolated, x{} beyond {largest}", number(size / largest)),
            false => format!("between measured sizes, to {largest}"),
        };
        let (slope, intercept) = (number(fitted.slope), number(fitted.intercept));
        let name = format!("{}.{metric}", role.name());
        let source = format!("{name} = {intercept} + {slope} a {}; {range}", slope_unit(scale));
        Ok(Value { value: fitted.at(scale(size)), source })
    }
}

/// Unit of size that a slope refers to; `scale` maps a size to the horizontal axis of the fit.
fn slope_unit(scale: fn(f64) -> f64) -> &'static str {
    if scale(10.0) == 10.0 { "size" } else { "power of ten" }
}
