//! Decision module of a caching router in front of fleets of cache servers: a pure, deterministic state
//! machine.
//!
//! A [`Policy`] makes the decisions of one node. Its inputs are events ([`Event`]) with the time at which
//! they happened, in microseconds; its outputs are actions ([`Action`]) for the node to carry out. It has no
//! clock, no threads and no I/O: the embedding node owns the sockets.
//!
//! ```
//! use stonevane_policy::{Action, Condition, Event, ListUpdate, Policy, Request, ServerEntry, Settings};
//!
//! let settings = Settings::default();
//! let mut policy = Policy::new(settings, 42);
//! let mut actions = Vec::new();
//!
//! // The node starts at some clock value (microseconds) with its cached endpoint list.
//! let servers = vec![
//!     ServerEntry { id: 7, condition: Condition::Ready, ..ServerEntry::default() },
//!     ServerEntry { id: 9, condition: Condition::Ready, ..ServerEntry::default() },
//! ];
//! policy.handle(1_000_000, Event::ServerList { kind: ListUpdate::Cached, servers }, &mut actions);
//!
//! // A client requests a key; the policy names the cache server to try first.
//! let request = Request { id: 1, key: 0xfeed, time_left: 500_000, ..Request::default() };
//! policy.handle(1_000_100, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: 1, server: 7 | 9, .. })));
//! ```
//!
//! # Layout
//!
//! - `policy` dispatches events and timers. Its submodules carry requests, attempts, outcomes, calls to the
//!   origin and the endpoint list through the rules.
//! - One module per rule, which documents its decision, inputs, units and reason: `admission`, `balancing`,
//!   `coalescing`, `discovery_backoff`, `hedging`, `idle_connections`, `origin_limits`, `outlier`, `retry`,
//!   `slow_start`, `startup`.
//! - State that the rules work on: `pending_request`, `attempt`, `server`, `server_pool`, `key_history`.
//! - Interface: `event`, `outcome`, `server_entry`, `action`, [`settings`], `ids`.
//! - Utilities that decide nothing: `timers`, `token_bucket`, `statistics`, `random`, [`hash`],
//!   `log_message`.

mod action;
mod admission;
mod attempt;
mod balancing;
mod coalescing;
mod discovery_backoff;
mod event;
pub mod hash;
mod hedging;
mod idle_connections;
mod ids;
mod key_history;
mod log_message;
mod origin_limits;
mod outcome;
mod outlier;
mod pending_request;
mod policy;
mod random;
mod retry;
mod server;
mod server_entry;
mod server_pool;
pub mod settings;
mod slow_start;
mod startup;
mod statistics;
mod timers;
mod token_bucket;

pub use action::{Action, Reason};
pub use event::{Event, Request};
pub use ids::{Key, Micros, RequestId, ServerId};
pub use outcome::{AttemptStatus, CacheStatus, LoadReport, Outcome};
pub use policy::Policy;
pub use server_entry::{Condition, ListUpdate, ServerEntry};
pub use settings::{DedupScope, Idempotency, RequestClass, Settings, Tenant};

/// Runs the example of the README as a test.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
pub struct Readme;
