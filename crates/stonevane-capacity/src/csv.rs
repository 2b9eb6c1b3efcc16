//! Measurements as CSV, one metric value per line.

use serde::{Deserialize, Serialize};

use crate::roles::{Basis, Measurement, MetricValue, Role};

/// A CSV line: one metric value of one role at one size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Name of the role, as [`Role::name`] returns it.
    pub role: String,
    /// Size that was measured, in the role's unit ([`Role::size_unit`]).
    pub size: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Name of the metric.
    pub metric: String,
    /// Unit of `value`.
    pub unit: String,
    /// How the value was obtained.
    pub basis: Basis,
    /// Value of the metric; NaN if the measured event did not occur in time.
    pub value: f64,
}

/// Error in a CSV file of measurements.
#[derive(Debug)]
pub struct CsvError(String);

impl std::fmt::Display for CsvError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::error::Error for CsvError {}

/// Returns one line for each metric of a measurement.
pub fn lines(measurement: &Measurement) -> Vec<Line> {
    let line = |figure: &MetricValue| Line {
        role: measurement.role.name().to_owned(),
        size: measurement.size,
        seed: measurement.seed,
        metric: figure.metric.to_string(),
        unit: figure.unit.to_string(),
        basis: figure.basis,
        value: figure.value,
    };
    measurement.values.iter().map(line).collect()
}

/// Rebuilds a measurement from its lines.
///
/// # Errors
/// If there are no lines, the role is unknown, or the lines differ in role, size or seed.
pub fn measurement(lines: &[Line]) -> Result<Measurement, CsvError> {
    let first = lines.first().ok_or_else(|| CsvError("the measurements hold no lines".into()))?;
    let role =
        Role::from_name(&first.role).ok_or_else(|| CsvError(format!("unknown role {:?}", first.role)))?;
    let same_measurement =
        |line: &Line| (&line.role, line.size, line.seed) == (&first.role, first.size, first.seed);
    if !lines.iter().all(same_measurement) {
        return Err(CsvError("all lines must have the same role, size and seed".into()));
    }
    let figure = |line: &Line| MetricValue {
        metric: line.metric.clone().into(),
        unit: line.unit.clone().into(),
        basis: line.basis,
        value: line.value,
    };
    Ok(Measurement { role, size: first.size, seed: first.seed, values: lines.iter().map(figure).collect() })
}

/// Writes lines as CSV text with a header.
pub fn write(lines: &[Line]) -> String {
    let mut writer = ::csv::Writer::from_writer(Vec::new());
    for line in lines {
        // Writing to a vector does not fail.
        let _ = writer.serialize(line);
    }
    String::from_utf8(writer.into_inner().unwrap_or_default()).unwrap_or_default()
}

/// Reads CSV text with a header.
///
/// # Errors
/// If a line does not have the form that [`write()`] produces.
pub fn read(text: &str) -> Result<Vec<Line>, CsvError> {
    let mut reader = ::csv::Reader::from_reader(text.as_bytes());
    reader.deserialize().map(|line| line.map_err(|e| CsvError(e.to_string()))).collect()
}
