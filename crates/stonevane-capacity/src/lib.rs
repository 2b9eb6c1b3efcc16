//! Capacity model: measures the cost of each role of the fleet at several sizes, fits its growth, and
//! computes the cost at the target size.
//!
//! [`roles`] runs and measures the daemon's own code. [`fit`] fits lines through the measured points.
//! [`model`] turns the measurements into the tables of `docs/CAPACITY.md`. Only `roles`, `cpu` and the
//! readers in [`limits`] touch the machine; everything else is pure.

pub mod cpu;
pub mod csv;
pub mod fit;
pub mod limits;
pub mod model;
pub mod report;
pub mod roles;
