//! Experiments: a matrix of scenarios, seeds, fleet sizes, loads and operator files is run against one or two
//! builds of the daemon. The lab runs are sequential, and an interrupted experiment can be resumed. Results
//! are JSON lines in a folder, from which a report is generated.
//!
//! [`matrix`], [`stats`] and [`results`] do no I/O of their own; [`runner`] executes the runs, [`report`]
//! formats the results as text and HTML.

pub mod matrix;
pub mod report;
pub mod results;
pub mod runner;
pub mod stats;
