//! Membership of the nodes of a fleet: detects which members are alive, suspected or dead over a network that
//! loses, delays and duplicates datagrams or blocks them in one direction. Implements SWIM (Das, Gupta,
//! Motivala, 2002) with suspicion and incarnations, and the local health of Lifeguard (Dadgar, Phillips,
//! Currey, 2017).
//!
//! There is no I/O and no clock: the caller passes in datagrams and times, and receives datagrams to send,
//! the time of the next wake-up and membership changes. Members are numbered by their index in one closed
//! list, `peers`, which all nodes share; a node may still have an older, shorter version of it. Datagrams from
//! senders outside the list are rejected.
//!
//! ```
//! use stonevane_membership::{Input, Machine, MemberConfig, NoFaults, Outputs, State};
//!
//! let config = |number| MemberConfig {
//!     number,
//!     members: 2,
//!     seed: 7 + u64::from(number),
//!     nonce: 100 + u32::from(number),
//!     ..MemberConfig::default()
//! };
//! let mut members = [Machine::<NoFaults>::new(0, config(0)), Machine::new(0, config(1))];
//! let mut outputs = Outputs::default();
//! members[0].handle(0, Input::Wake, &mut outputs);
//! let (to, bytes) = outputs.sends.pop_front().unwrap();
//! members[usize::from(to)].handle(1_000, Input::Datagram(0, &bytes), &mut outputs);
//! assert_eq!(members[1].state(0), Some(State::Alive)); // by its own datagram
//! ```

pub mod dissemination;
mod faults;
pub mod health;
mod machine;
mod record;
mod status;
pub mod wire;

pub use faults::{Faults, Mutant, NoFaults};
pub use machine::{Input, Machine, MemberConfig, MemberEvent, Outputs};
pub use record::{Instance, MemberId, Record, State};
pub use status::{Counts, MemberStatus, Status};

/// Time or duration in microseconds of one monotonic clock.
pub type Micros = u64;
