//! The faults of servers while steps overlap: each step adds its own fault and removes only that. No I/O, no clock.

use std::collections::BTreeMap;

use stonevane_emulators::Fault;

/// A fault that a step has injected.
#[derive(Debug, Clone, PartialEq)]
struct ActiveFault {
    server: String,
    /// The node that sees it; `None` for all nodes.
    node: Option<String>,
    fault: Fault,
}

/// The faults in force.
#[derive(Debug, Default)]
pub struct ActiveFaults {
    last_number: u64,
    active: BTreeMap<u64, ActiveFault>,
}

/// Which fault shows where several are in force: a process that is gone, then a machine that can't be reached, then
/// refused connections; of the rest the newest.
fn precedence(fault: Fault) -> u8 {
    match fault {
        Fault::Dead => 4,
        Fault::Silent => 3,
        Fault::Refuse => 2,
        Fault::None => 0,
        _ => 1,
    }
}

impl ActiveFaults {
    /// Adds a fault; returns the number by which it is removed.
    pub fn begin(&mut self, server: &str, node: Option<&str>, fault: Fault) -> u64 {
        self.last_number += 1;
        let active = ActiveFault { server: server.into(), node: node.map(str::to_owned), fault };
        self.active.insert(self.last_number, active);
        self.last_number
    }

    /// Removes a fault.
    pub fn end(&mut self, number: u64) {
        self.active.remove(&number);
    }

    /// Whether a server's process is gone, for all nodes.
    pub fn is_dead(&self, server: &str) -> bool {
        self.active
            .values()
            .any(|active| active.server == server && active.node.is_none() && active.fault == Fault::Dead)
    }

    /// The fault that a node sees.
    pub fn seen_by(&self, server: &str, node: &str) -> Fault {
        let concerns = |active: &&ActiveFault| {
            active.server == server && active.node.as_ref().is_none_or(|concerned| concerned == node)
        };
        let seen = self.active.values().filter(concerns).map(|active| active.fault);
        seen.max_by_key(|fault| precedence(*fault)).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
