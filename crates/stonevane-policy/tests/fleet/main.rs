//! Fleet tests: many independent nodes in front of shared servers, with assertions on the sums over all
//! nodes.
#![allow(missing_docs)]

#[path = "../common/mod.rs"]
mod common;

mod discovery;
mod origin;
mod slow_start;
mod startup;
