//! Experiments: a matrix of scenarios, seeds, fleets, loads and operator files is played against one or two builds of the
//! daemon, run after run, and can be resumed after an interruption. Results are JSON lines in a folder, from which a
//! report is made.
//!
//! [`matrix`], [`stats`] and [`results`] do no I/O of their own; [`runner`] plays, [`report`] words and draws.

pub mod matrix;
pub mod report;
pub mod results;
pub mod runner;
pub mod stats;
