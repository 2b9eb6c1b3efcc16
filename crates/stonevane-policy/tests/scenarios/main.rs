//! Tests of the policy of one node, event by event: one test per behavior and per failure found.
#![allow(missing_docs)]

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod balancing;
mod coalescing;
mod deadlines;
mod discovery;
mod origin_limits;
mod outlier;
mod retry;
mod robustness;
mod slow_start;
mod startup;
