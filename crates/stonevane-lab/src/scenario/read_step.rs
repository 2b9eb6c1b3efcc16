//! Reads a step of a scenario from a `[[fault]]` table.

use std::time::Duration;

use stonevane_config::{Table, suggest};
use stonevane_emulators::Fault;
use stonevane_emulators::discovery::DiscoveryFault;
use stonevane_emulators::postgres::PgFault;

use super::read::MAX_DURATION_MS;
use super::{
    Action, DISCOVERY, NodeAction, NodeSelector, Scenario, Step, cache_name, node_name, successor_name,
};

/// Values of `do` besides the names of server faults.
const ACTIONS: [&str; 19] = [
    "drain",
    "replace",
    "stop",
    "node-kill",
    "node-term",
    "node-pause",
    "node-slow",
    "cut",
    "forge",
    "old-peers",
    "discovery-down",
    "discovery-failing",
    "discovery-silent",
    "discovery-dropping",
    "late",
    "clock",
    "peers",
    "partition",
    "flood",
];
/// Prefix of the values of `do` for faults of the store of record.
const STORE_PREFIX: &str = "store-";
/// Longest delay of one message or call, in milliseconds.
const MAX_DELAY_MS: u64 = 60_000;

/// Reads one step; errors are reported to the table.
pub(super) struct StepReader<'s, 'r, 't> {
    table: &'s Table<'r, 't>,
    nodes: Vec<String>,
    caches: Vec<String>,
    /// Names of the caches and the origin.
    servers: Vec<String>,
    has_store: bool,
}

impl<'s, 'r, 't> StepReader<'s, 'r, 't> {
    pub(super) fn new(scenario: &Scenario, table: &'s Table<'r, 't>) -> Self {
        let nodes = (0..scenario.nodes).map(node_name).collect();
        let caches: Vec<String> = (0..scenario.caches).map(cache_name).collect();
        let servers = caches.iter().chain([&scenario.origin.name]).cloned().collect();
        StepReader { table, nodes, caches, servers, has_store: scenario.store.is_some() }
    }

    pub(super) fn read(&self) -> Option<Step> {
        let table = self.table;
        let at = Duration::from_millis(table.integer("at_ms", 0, 0..=MAX_DURATION_MS));
        let duration = Duration::from_millis(table.integer("for_ms", 0, 0..=MAX_DURATION_MS));
        let word = table.required("do");
        let target = self.target_label(&word);
        let node = table.text("node");
        if node.is_some() {
            self.index_of("node", &self.nodes)?;
        }
        let action = self.action(&word, node.as_ref())?;
        let label = [Some(word), target, node].into_iter().flatten().collect::<Vec<_>>().join(" ");
        Some(Step { at, duration, action, label })
    }

    /// Returns the part of the step's label that names its targets.
    fn target_label(&self, word: &str) -> Option<String> {
        if !matches!(word, "cut" | "peers") {
            return self.table.text("to");
        }
        let list = |key| {
            let names = self.table.texts_or_text(key).into_iter().map(|(name, _)| name);
            names.collect::<Vec<_>>().join(",")
        };
        let label = format!("{} {}", list("from"), list("to")).trim().to_owned();
        (!label.is_empty()).then_some(label)
    }

    fn action(&self, word: &str, node: Option<&String>) -> Option<Action> {
        let table = self.table;
        Some(match word {
            "drain" => Action::Drain(self.cache()?),
            "replace" => {
                let server = self.cache()?;
                Action::Replace { successor: successor_name(&server), server }
            }
            "stop" => Action::OriginStop,
            _ if word.starts_with("node-") => return self.node_action(word),
            "cut" => {
                let (from, to) = (self.names("from"), self.names("to"));
                Action::Cut { from: from?, to: to? }
            }
            "forge" => Action::Forge {
                nodes: self.target_nodes()?,
                per_s: table.integer("per_s", 1_000, 1..=50_000),
            },
            "old-peers" => Action::OldPeers {
                node: self.required("to", &self.nodes)?,
                missing: table.integer("misses", 0, 0..=self.nodes.len() as u64 / 2) as usize,
                moved: self.selector("moved")?,
            },
            "discovery-down" => Action::DiscoveryFault(DiscoveryFault::Down),
            "discovery-failing" => Action::DiscoveryFault(DiscoveryFault::Failing),
            "discovery-silent" => Action::DiscoveryFault(DiscoveryFault::Silent),
            "discovery-dropping" => Action::DiscoveryFault(DiscoveryFault::Dropping),
            "late" => {
                let delay_ms = table.integer("by_ms", 1_000, 0..=MAX_DELAY_MS);
                Action::DiscoveryDelay(Duration::from_millis(delay_ms))
            }
            "clock" => {
                let back = table.flag("back", false);
                let by_ms = table.integer("by_ms", 1_000, 0..=86_400_000) as i64;
                Action::DiscoveryClock(if back { -by_ms } else { by_ms })
            }
            "peers" => return self.network(),
            "partition" => self.partition(),
            "flood" => Action::Flood {
                node: self.required("to", &self.nodes)?,
                count: table.integer("count", 300, 1..=2_000) as usize,
            },
            _ if word.starts_with(STORE_PREFIX) && self.has_store => return self.store_fault(word),
            _ => return self.server_fault(word, node),
        })
    }

    fn node_action(&self, word: &str) -> Option<Action> {
        let stagger = Duration::from_millis(self.table.integer("stagger_ms", 0, 0..=60_000));
        let action = match word {
            "node-kill" => NodeAction::Kill,
            "node-term" => NodeAction::Terminate,
            "node-pause" => NodeAction::Pause,
            "node-slow" => NodeAction::Slow(self.table.number("share", 0.1, 0.01..=0.9)),
            _ => return self.unknown_action(word),
        };
        Some(Action::Nodes { nodes: self.target_nodes()?, action, stagger })
    }

    fn network(&self) -> Option<Action> {
        let table = self.table;
        let delay = |key| Duration::from_millis(table.integer(key, 1, 0..=10_000));
        Some(Action::Network {
            from: self.selector("from")?,
            to: self.selector("to")?,
            loss: table.number("loss", 0.0, 0.0..=1.0),
            duplicate: table.number("duplicate", 0.0, 0.0..=1.0),
            min_delay: delay("least_ms"),
            max_delay: delay("most_ms"),
        })
    }

    fn partition(&self) -> Action {
        let known: Vec<&str> = self.nodes.iter().chain(&self.servers).map(String::as_str).collect();
        let group = |key| {
            let mut group = Vec::new();
            for (name, span) in self.table.texts(key) {
                if !known.contains(&name.as_str()) {
                    self.table.error(span, format!("there is no `{name}`{}", suggest(&name, &known)));
                }
                group.push(name);
            }
            group
        };
        Action::Partition(vec![group("one"), group("other")])
    }

    fn store_fault(&self, word: &str) -> Option<Action> {
        let Some(fault) = PgFault::from_name(word.trim_start_matches(STORE_PREFIX)) else {
            let known: Vec<_> =
                PgFault::ALL.iter().map(|fault| format!("{STORE_PREFIX}{}", fault.name())).collect();
            let known: Vec<&str> = known.iter().map(String::as_str).collect();
            self.unknown_value(word, &known);
            return None;
        };
        let delay_ms = |default| self.table.integer("by_ms", default, 1..=MAX_DELAY_MS);
        Some(Action::StoreFault(match fault {
            PgFault::Slow(default_ms) => PgFault::Slow(delay_ms(default_ms)),
            PgFault::Late(default_ms) => PgFault::Late(delay_ms(default_ms)),
            fault => fault,
        }))
    }

    fn server_fault(&self, word: &str, node: Option<&String>) -> Option<Action> {
        let Some(fault) = Fault::from_name(word) else { return self.unknown_action(word) };
        let server = self.servers[self.required("to", &self.servers)?].clone();
        Some(Action::ServerFault { server, fault, node: node.cloned() })
    }

    fn unknown_action(&self, word: &str) -> Option<Action> {
        let known: Vec<_> = Fault::ALL.iter().map(|fault| fault.name()).chain(ACTIONS).collect();
        self.unknown_value(word, &known);
        None
    }

    fn unknown_value(&self, word: &str, known: &[&str]) {
        self.table.unknown_value("do", word, known);
    }

    /// Returns the index in `names` of the name that a key holds. Reports an unknown name; returns `None` if
    /// the name is unknown or the key is absent.
    fn index_of(&self, key: &str, names: &[String]) -> Option<usize> {
        let name = self.table.text(key)?;
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let found = names.iter().position(|known| *known == name);
        if found.is_none() {
            let what = format!("there is no `{name}`{}", suggest(&name, &names));
            self.table.error(self.table.span_of(key), what);
        }
        found
    }

    /// Like [`Self::index_of`], for a required key: an absent key is reported too.
    fn required(&self, key: &str, names: &[String]) -> Option<usize> {
        if !self.table.has(key) {
            self.table.missing(key);
        }
        self.index_of(key, names)
    }

    fn cache(&self) -> Option<String> {
        Some(self.caches[self.required("to", &self.caches)?].clone())
    }

    /// Returns the nodes that `to` selects: one by name, or several by a word.
    fn target_nodes(&self) -> Option<NodeSelector> {
        let word = match self.table.text("to") {
            Some(word) if NodeSelector::is_word(&word) => word,
            _ => self.nodes[self.required("to", &self.nodes)?].clone(),
        };
        Some(NodeSelector(vec![word]))
    }

    /// Returns the nodes that an optional key selects.
    fn selector(&self, key: &str) -> Option<NodeSelector> {
        let names = if self.table.has(key) { self.names(key)? } else { Vec::new() };
        Some(NodeSelector(names))
    }

    /// Reads a name or a list of names from a required key: nodes, servers, discovery, or words that select
    /// nodes.
    fn names(&self, key: &str) -> Option<Vec<String>> {
        if !self.table.has(key) {
            self.table.missing(key);
            return None;
        }
        let known = self.nodes.iter().chain(&self.servers).map(String::as_str).chain([DISCOVERY]);
        let known: Vec<&str> = known.collect();
        let mut all_known = true;
        let listed = self.table.texts_or_text(key);
        for (name, span) in &listed {
            if !NodeSelector::is_word(name) && !known.contains(&name.as_str()) {
                self.table.error(span.clone(), format!("there is no `{name}`{}", suggest(name, &known)));
                all_known = false;
            }
        }
        all_known.then(|| listed.into_iter().map(|(name, _)| name).collect())
    }
}
