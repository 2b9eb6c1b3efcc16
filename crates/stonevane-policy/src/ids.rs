//! Identifiers and the unit of time.
//!
//! Times are microseconds of the node's own clock. It may start at any value and never goes back.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
/// Identifies one client request at this node; never reused.
pub type RequestId = u64;
/// Identifies a cache server or the origin. It stays the same when the server's process restarts.
pub type ServerId = u32;
/// Key of a request; 0 stands for no key.
pub type Key = u64;
