//! Server faults of overlapping steps: each step adds its own fault and removes only its own. No I/O, no
//! clock.

use std::collections::BTreeMap;

use stonevane_emulators::Fault;

/// A fault that a step has injected.
#[derive(Debug, Clone, PartialEq)]
struct ActiveFault {
    server: String,
    /// Node that observes the fault; `None` for all nodes.
    node: Option<String>,
    fault: Fault,
}

/// All server faults in force.
#[derive(Debug, Default)]
pub struct ActiveFaults {
    last_number: u64,
    active: BTreeMap<u64, ActiveFault>,
}

/// Returns the rank of a fault; if several faults are in force, the highest-ranked one is observed. A dead
/// process ranks above an unreachable machine, which ranks above refused connections. Among faults of equal
/// rank the newest is observed.
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
    /// Adds a fault. Returns the number to pass to [`ActiveFaults::end`].
    pub fn begin(&mut self, server: &str, node: Option<&str>, fault: Fault) -> u64 {
        self.last_number += 1;
        let active = ActiveFault { server: server.into(), node: node.map(str::to_owned), fault };
        self.active.insert(self.last_number, active);
        self.last_number
    }

    /// Removes the fault with the number that [`ActiveFaults::begin`] returned.
    pub fn end(&mut self, number: u64) {
        self.active.remove(&number);
    }

    /// Returns whether a server's process is dead for all nodes.
    pub fn is_dead(&self, server: &str) -> bool {
        self.active
            .values()
            .any(|active| active.server == server && active.node.is_none() && active.fault == Fault::Dead)
    }

    /// Returns the fault of a server that a node observes.
    pub fn seen_by(&self, server: &str, node: &str) -> Fault {
        let applies = |active: &&ActiveFault| {
            active.server == server && active.node.as_ref().is_none_or(|observer| observer == node)
        };
        let seen = self.active.values().filter(applies).map(|active| active.fault);
        seen.max_by_key(|fault| precedence(*fault)).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
