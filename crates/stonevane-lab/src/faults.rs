//! What is wrong with servers while steps overlap: each step adds its own fault and takes only that away. No I/O,
//! no clock.

use std::collections::BTreeMap;

use stonevane_emulators::Fault;

/// A fault that a step has put in.
#[derive(Debug, Clone, PartialEq)]
struct Active {
    server: String,
    /// Where it shows; `None` for all nodes.
    node: Option<String>,
    fault: Fault,
}

/// The faults that are in force.
#[derive(Debug, Default)]
pub struct Faults {
    next: u64,
    active: BTreeMap<u64, Active>,
}

/// Which fault shows where several are in force: a process that is gone before all, then a machine that can't be
/// reached, then what refuses; of the rest the newest.
fn rank(fault: Fault) -> u8 {
    match fault {
        Fault::Dead => 4,
        Fault::Silent => 3,
        Fault::Refuse => 2,
        Fault::None => 0,
        _ => 1,
    }
}

impl Faults {
    /// Puts a fault in; the number by which it is taken away.
    pub fn begin(&mut self, server: &str, node: Option<&str>, fault: Fault) -> u64 {
        self.next += 1;
        let active = Active { server: server.into(), node: node.map(str::to_owned), fault };
        self.active.insert(self.next, active);
        self.next
    }

    /// Takes one away.
    pub fn end(&mut self, number: u64) {
        self.active.remove(&number);
    }

    /// Whether a server's process is gone, for all nodes.
    pub fn dead(&self, server: &str) -> bool {
        self.active.values().any(|a| a.server == server && a.node.is_none() && a.fault == Fault::Dead)
    }

    /// What shows at a node.
    pub fn at(&self, server: &str, node: &str) -> Fault {
        let here = |a: &&Active| a.server == server && a.node.as_ref().is_none_or(|at| at == node);
        let shown = self.active.values().filter(here).map(|a| a.fault);
        shown.max_by_key(|fault| rank(*fault)).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_partition_that_heals_while_a_cache_is_dead_does_not_wake_it() {
        let mut faults = Faults::default();
        let apart = faults.begin("c", Some("n0"), Fault::Silent);
        let killed = faults.begin("c", None, Fault::Dead);
        assert_eq!((faults.at("c", "n0"), faults.at("c", "n1")), (Fault::Dead, Fault::Dead));
        faults.end(apart);
        assert!(faults.dead("c") && faults.at("c", "n0") == Fault::Dead);
        faults.end(killed);
        assert!(!faults.dead("c") && faults.at("c", "n0") == Fault::None);
    }

    #[test]
    fn a_cache_that_comes_back_within_a_partition_is_still_cut_off_and_two_kills_are_one_death() {
        let mut faults = Faults::default();
        let (one, other) = (faults.begin("c", None, Fault::Dead), faults.begin("c", None, Fault::Dead));
        let apart = faults.begin("c", Some("n0"), Fault::Silent);
        faults.end(one);
        assert!(faults.dead("c"));
        faults.end(other);
        assert_eq!((faults.at("c", "n0"), faults.at("c", "n1")), (Fault::Silent, Fault::None));
        let slow = faults.begin("c", None, Fault::Slow);
        faults.begin("c", None, Fault::Noise);
        assert_eq!(faults.at("c", "n1"), Fault::Noise, "the newest of equals");
        faults.end(apart);
        faults.end(slow);
        assert_eq!(faults.at("d", "n1"), Fault::None);
    }
}
