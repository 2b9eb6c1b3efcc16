//! Many nodes that share nothing before what all of them share: sums over the fleet.
#![allow(missing_docs)]

#[path = "../common/mod.rs"]
mod common;

mod discovery;
mod origin;
mod slow_start;
mod startup;
