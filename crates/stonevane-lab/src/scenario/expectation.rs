//! Expectations of a run: a figure, a comparison and a bound.

use stonevane_config::suggest;

/// Names of the figures that an expectation may use.
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

/// Expected range of a figure.
#[derive(Debug, Clone, PartialEq)]
pub struct Expectation {
    /// Name of the figure, one of [`FIGURES`].
    pub figure: String,
    /// Comparison of the figure with the bound.
    pub comparison: Comparison,
    /// Bound of the figure; finite.
    pub bound: f64,
}

/// Comparison of a figure with a bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// The figure is the bound or more, written `>=`.
    AtLeast,
    /// The figure is the bound or less, written `<=`.
    AtMost,
    /// The figure is the bound, written `=`.
    Equal,
}

impl Comparison {
    /// All comparisons in the order in which a line is searched for them: `=` last, as it is part of the
    /// other signs.
    const ALL: [Comparison; 3] = [Comparison::AtLeast, Comparison::AtMost, Comparison::Equal];

    fn sign(self) -> &'static str {
        match self {
            Comparison::AtLeast => ">=",
            Comparison::AtMost => "<=",
            Comparison::Equal => "=",
        }
    }
}

/// Error in the text of an expectation.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ExpectationError {
    /// The text has no comparison.
    #[error("`{0}` has no comparison (`>=`, `<=` or `=`); write an expectation like `served >= 0.9`")]
    Form(String),
    /// The bound is not a finite number.
    #[error("the bound `{0}` is not a finite number; write an expectation like `served >= 0.9`")]
    Bound(String),
    /// There is no such figure.
    #[error("there is no figure `{figure}`{}", suggest(figure, &FIGURES))]
    UnknownFigure {
        /// The name as written.
        figure: String,
    },
}

impl std::fmt::Display for Expectation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {} {}", self.figure, self.comparison.sign(), self.bound)
    }
}

impl Expectation {
    /// Returns whether a figure meets the expectation.
    pub fn holds(&self, figure: f64) -> bool {
        match self.comparison {
            Comparison::AtLeast => figure >= self.bound,
            Comparison::AtMost => figure <= self.bound,
            Comparison::Equal => figure == self.bound,
        }
    }

    /// Parses an expectation like `served >= 0.9`.
    ///
    /// # Errors
    /// [`ExpectationError`] if the text is not a valid expectation.
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
