//! Log messages of the policy. [`Action::Log`] carries their texts out of the process, also over the
//! simulator's wire, and operators' pages quote some of them.

use std::fmt;

use crate::action::Action;
use crate::ids::ServerId;

/// An event that the policy logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogMessage {
    /// Outlier detection has ejected a server.
    ServerEjected(ServerId),
    /// An ejected server has responded and is readmitted.
    ServerReadmitted(ServerId),
    /// The origin is known to be unavailable for a time.
    OriginUnavailable,
    /// The origin is known to be available again.
    OriginAvailable,
    /// The concurrency limit of the origin has fallen below the threshold for logging.
    OriginLimitLowered,
    /// The concurrency limit of the origin has risen to the threshold for logging again.
    OriginLimitRestored,
    /// Load shedding has begun.
    SheddingBegan,
    /// Load shedding has ended.
    SheddingEnded,
    /// A call to discovery has failed, or the subscription was lost.
    DiscoveryFailed,
}

// Server numbers in the texts are hashes of server names: `server_id` in the core's `node/endpoints.rs`.

impl fmt::Display for LogMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogMessage::ServerEjected(server) => write!(f, "server {server} fails or is silent: set aside"),
            LogMessage::ServerReadmitted(server) => write!(f, "server {server} responds again: readmitted"),
            LogMessage::OriginUnavailable => f.write_str("origin unavailable: calls to it suspended"),
            LogMessage::OriginAvailable => f.write_str("origin available again"),
            LogMessage::OriginLimitLowered => f.write_str("gate lowered: origin slow"),
            LogMessage::OriginLimitRestored => f.write_str("gate restored"),
            LogMessage::SheddingBegan => f.write_str("shedding over quota has begun"),
            LogMessage::SheddingEnded => f.write_str("shedding has ended"),
            LogMessage::DiscoveryFailed => {
                f.write_str("discovery call failed or subscription lost: retrying after backoff")
            }
        }
    }
}

impl From<LogMessage> for Action {
    fn from(message: LogMessage) -> Action {
        Action::Log(message.to_string())
    }
}

/// A value before and after a change.
#[derive(Clone, Copy)]
pub struct ValueChange {
    pub before: f64,
    pub after: f64,
}

impl ValueChange {
    /// Returns `fell` if the value fell below a threshold, and `rose` if it rose to it again.
    pub fn crossing(self, threshold: f64, fell: LogMessage, rose: LogMessage) -> Option<LogMessage> {
        match (self.before < threshold, self.after < threshold) {
            (false, true) => Some(fell),
            (true, false) => Some(rose),
            _ => None,
        }
    }
}
