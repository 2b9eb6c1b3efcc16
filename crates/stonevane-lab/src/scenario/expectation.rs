//! Expectations: a figure, a comparison and a bound.

use stonevane_config::suggest;

/// The figures that can be expected.
pub const FIGURES: [&str; 26] = [
    "asked",
    "served",
    "served_first",
    "served_after",
    "served_worst_10s",
    "refused",
    "failed",
    "unanswered",
    "excused",
    "served_reads",
    "served_edits",
    "p50_ms",
    "p99_ms",
    "attempts",
    "attempts_per_request",
    "origin_fetches",
    "store_queries",
    "origin_peak",
    "origin_falls",
    "cache_falls",
    "cold_peak",
    "cache_peak",
    "list_turned_away",
    "list_turned_away_again",
    "edits_run_twice",
    "recovery_ms",
];

/// What is expected of a figure.
#[derive(Debug, Clone, PartialEq)]
pub struct Expectation {
    /// The figure.
    pub figure: String,
    /// How it is compared.
    pub comparison: Comparison,
    /// Its bound.
    pub bound: f64,
}

/// How a figure is compared with its bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// It is this or more.
    AtLeast,
    /// It is this or less.
    AtMost,
    /// It is this.
    Equal,
}

impl Comparison {
    /// In the order in which they are looked for: `=` is part of the others.
    const ALL: [Comparison; 3] = [Comparison::AtLeast, Comparison::AtMost, Comparison::Equal];

    fn sign(self) -> &'static str {
        match self {
            Comparison::AtLeast => ">=",
            Comparison::AtMost => "<=",
            Comparison::Equal => "=",
        }
    }
}

/// Why a line is no expectation.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ExpectationError {
    /// It has no comparison.
    #[error("`{0}` is not like `served >= 0.9`")]
    Form(String),
    /// Its bound is no number.
    #[error("`{0}` is no number")]
    Bound(String),
    /// There is no such figure.
    #[error("there is no figure `{figure}`{}", suggest(figure, &FIGURES))]
    UnknownFigure {
        /// The unknown name.
        figure: String,
    },
}

impl std::fmt::Display for Expectation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {} {}", self.figure, self.comparison.sign(), self.bound)
    }
}

impl Expectation {
    /// Whether a figure is as expected.
    pub fn holds(&self, figure: f64) -> bool {
        match self.comparison {
            Comparison::AtLeast => figure >= self.bound,
            Comparison::AtMost => figure <= self.bound,
            Comparison::Equal => figure == self.bound,
        }
    }

    /// Reads a line like `served >= 0.9`.
    ///
    /// # Errors
    /// [`ExpectationError`] where it is none.
    pub fn parse(text: &str) -> Result<Expectation, ExpectationError> {
        let split = |comparison: Comparison| Some((comparison, text.split_once(comparison.sign())?));
        let found = Comparison::ALL.into_iter().find_map(split);
        let Some((comparison, (figure, bound))) = found else {
            return Err(ExpectationError::Form(text.to_owned()));
        };
        let (figure, bound) = (figure.trim(), bound.trim());
        let number = bound.parse().ok().filter(|bound: &f64| bound.is_finite());
        let bound = number.ok_or_else(|| ExpectationError::Bound(bound.to_owned()))?;
        let figure = figure.to_owned();
        if !FIGURES.contains(&figure.as_str()) {
            return Err(ExpectationError::UnknownFigure { figure });
        }
        Ok(Expectation { figure, comparison, bound })
    }
}
