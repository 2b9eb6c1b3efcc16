//! Log lines of the policy. Their texts cross the simulator's wire and stay as they are.

use std::fmt;

use crate::action::Action;
use crate::ids::ServerId;

/// A line for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogMessage {
    /// The outlier rule has ejected a server.
    ServerEjected(ServerId),
    /// An ejected server has answered and is admitted again.
    ServerReadmitted(ServerId),
    /// The origin is known to have stopped.
    OriginStopped,
    /// The origin is known to answer again.
    OriginRestored,
    /// The concurrency limit of the origin has fallen low.
    OriginLimitLowered,
    /// The concurrency limit of the origin has risen again.
    OriginLimitRestored,
    /// Load shedding has begun.
    SheddingBegan,
    /// Load shedding has ended.
    SheddingEnded,
    /// A call to discovery failed.
    DiscoveryFailed,
}

// A server's number is a hash of its name: `server_id` in the core's `node/endpoints.rs`.

impl fmt::Display for LogMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogMessage::ServerEjected(server) => write!(f, "server {server} fails or is silent: set aside"),
            LogMessage::ServerReadmitted(server) => write!(f, "server {server} answers again: let back"),
            LogMessage::OriginStopped => f.write_str("origin has stopped: no call to it for a time"),
            LogMessage::OriginRestored => f.write_str("origin answers again"),
            LogMessage::OriginLimitLowered => f.write_str("gate lowered: origin slow"),
            LogMessage::OriginLimitRestored => f.write_str("gate restored"),
            LogMessage::SheddingBegan => f.write_str("shedding over quota has begun"),
            LogMessage::SheddingEnded => f.write_str("shedding has ended"),
            LogMessage::DiscoveryFailed => {
                f.write_str("discovery call failed or subscription lost: asking again")
            }
        }
    }
}

impl From<LogMessage> for Action {
    fn from(message: LogMessage) -> Action {
        Action::Log(message.to_string())
    }
}

/// A figure before and after a change.
#[derive(Clone, Copy)]
pub struct Change {
    pub before: f64,
    pub after: f64,
}

impl Change {
    /// One message where the figure fell below a threshold, another where it rose to it again.
    pub fn crossing(self, threshold: f64, fell: LogMessage, rose: LogMessage) -> Option<LogMessage> {
        match (self.before < threshold, self.after < threshold) {
            (false, true) => Some(fell),
            (true, false) => Some(rose),
            _ => None,
        }
    }
}
