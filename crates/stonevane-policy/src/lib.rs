//! Decisions of a router in front of fleets of cache servers, as a pure and deterministic state machine.
//!
//! A [`Policy`] is one balancer's mind. It is told what happens ([`Event`]) and when, and answers with what
//! to do ([`Action`]). It has no clock, no threads and no I/O: the node that embeds it owns the sockets.
//!
//! ```
//! use stonevane_policy::{Action, Condition, Event, ListUpdate, Policy, Request, ServerEntry, Settings};
//!
//! let settings = Settings::default();
//! let mut policy = Policy::new(settings, 42);
//! let mut actions = Vec::new();
//!
//! // The balancer starts at some clock value (microseconds) with the server list it last held.
//! let servers = vec![
//!     ServerEntry { id: 7, condition: Condition::Ready, ..ServerEntry::default() },
//!     ServerEntry { id: 9, condition: Condition::Ready, ..ServerEntry::default() },
//! ];
//! policy.handle(1_000_000, Event::ServerList { kind: ListUpdate::Cached, servers }, &mut actions);
//!
//! // A client asks for a key; the policy names the cache server to try first.
//! let request = Request { id: 1, key: 0xfeed, time_left: 500_000, ..Request::default() };
//! policy.handle(1_000_100, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: 1, server: 7 | 9, .. })));
//! ```

mod action;
mod brain;
mod event;
pub mod hash;
mod ids;
mod outcome;
mod placement;
mod server_entry;
pub mod settings;
mod slow_start;
mod state;

pub use action::{Action, Reason};
pub use event::{Event, Request};
pub use ids::{Key, Micros, RequestId, ServerId};
pub use outcome::{AttemptStatus, CacheStatus, LoadReport, Outcome};
pub use server_entry::{Condition, ListUpdate, ServerEntry};
pub use settings::{DedupScope, Idempotency, LoadMetric, RequestClass, Settings, Tenant};
pub use state::Policy;

/// Runs the example of the README as a test.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
pub struct Readme;
