//! Identifiers and the unit of time.
//!
//! Times are microseconds of the node's own clock, which may start anywhere and only advances.

/// A point in time or a span, in microseconds.
pub type Micros = u64;
/// Names one client request at this node; never used twice.
pub type RequestId = u64;
/// Names a server or the origin; stays the same over restarts of its process.
pub type ServerId = u32;
/// The key of a request; 0 means that it names none.
pub type Key = u64;
