//! A scenario: a fleet, a load, faults on a timeline, and what is expected of it.

use std::collections::BTreeMap;
use std::time::Duration;

use stonevane_config::{Document, Fault as Wrong, Table, suggest};
use stonevane_emulators::Fault;
use stonevane_emulators::cache::CacheSpec;
use stonevane_emulators::client::{Crowd, Load, LoadClass, Tenant};
use stonevane_emulators::discovery::{DiscoveryFault, DiscoverySpec};
use stonevane_emulators::origin::OriginSpec;
use stonevane_emulators::postgres::PgFault;
use stonevane_membership::Mutant;

/// A scenario.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Its name, and what it shows.
    pub name: String,
    /// What it shows.
    pub about: String,
    /// Its seed, where none is given.
    pub seed: u64,
    /// How many nodes and cache servers there are.
    pub nodes: usize,
    /// How many cache servers there are.
    pub caches: usize,
    /// Figures of each cache server and of the origin; names are set for each.
    pub cache: CacheSpec,
    /// The origin's figures.
    pub origin: OriginSpec,
    /// What stands in the origin's place, where something does.
    pub store: Option<StoreSpec>,
    /// Part of the keys, the most popular first, that the caches hold at the start.
    pub warm_keys: f64,
    /// Sites, and the delay one way between two of them, the shortest and the longest. Nodes and caches are dealt
    /// to them in turn; the origin stands in the first.
    pub sites: Vec<String>,
    /// The delay one way between two sites, the shortest and the longest, microseconds.
    pub between_us: (u64, u64),
    /// How late discovery learns of a change.
    pub late: Duration,
    /// What discovery can do.
    pub list_service: DiscoverySpec,
    /// Whether lists are pushed.
    pub pushed: bool,
    /// Attempts for a request, at most; 0: as many as a node likes.
    pub max_attempts: u32,
    /// Whether second copies may be sent.
    pub second_copies: bool,
    /// Limits of each node.
    pub sockets: u64,
    /// Memory of each node, in megabytes.
    pub memory_mb: u64,
    /// The load.
    pub load: Load,
    /// Each tenant's share of what the fleet can do, in the order of the load's tenants.
    pub shares: Vec<f64>,
    /// A tenant's quota, as a multiple of its share of the rate.
    pub quota: f64,
    /// The part of its time that the short form takes, and what must hold then besides the rules.
    pub short: f64,
    /// What must hold of the short form.
    pub short_expects: Vec<Expect>,
    /// Faults, in the order of their times.
    pub steps: Vec<Step>,
    /// What must hold besides the rules.
    pub expects: Vec<Expect>,
    /// How nodes know of one another, where they do.
    pub membership: Option<MembersSpec>,
    /// Whether nodes that start together hold back: off in a control run.
    pub ramp: bool,
}

/// Membership among the nodes, and the bounds that it is held to: in protocol periods, for few nodes; more are given
/// more by their number.
#[derive(Debug, Clone, PartialEq)]
pub struct MembersSpec {
    /// The protocol period.
    pub period: Duration,
    /// Whether nodes share a key.
    pub keyed: bool,
    /// Whether nodes heed their own health.
    pub heeds_health: bool,
    /// Nodes that send the first form of messages, as before an upgrade.
    pub speak_first: Who,
    /// Bounds on detection, accuracy, refutation and convergence.
    pub bounds: [u64; 4],
    /// Nodes, the last ones, that never start: nobody may hold them alive.
    pub strangers: usize,
    /// A member in the place of a node that breaks a rule of membership: its number and what it does.
    pub crooked: Option<(usize, Mutant)>,
}

impl MembersSpec {
    /// The bounds for so many nodes, in periods.
    pub fn bounds(&self, nodes: usize) -> [u64; 4] {
        let spread = (nodes.max(2) as f64).log2().ceil() as u64;
        let [detect, accuse, refute, converge] = self.bounds;
        [detect + spread, accuse + spread, refute + spread, converge + spread + nodes as u64 / 12]
    }
}

/// Nodes by name, or by a word for some of them: `nodes`, `first-half`, `second-half`, `every-3` and the like.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Who(pub Vec<String>);

impl Who {
    /// Their numbers in a fleet of so many; names of servers are nobody.
    pub fn numbers(&self, nodes: usize) -> Vec<usize> {
        let mut all: Vec<usize> = self.0.iter().flat_map(|word| Self::word(word, nodes)).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    fn word(word: &str, nodes: usize) -> Vec<usize> {
        match word {
            "nodes" => (0..nodes).collect(),
            "first-half" => (0..nodes / 2).collect(),
            "second-half" => (nodes / 2..nodes).collect(),
            _ => match word.strip_prefix("every-").and_then(|every| every.parse().ok()) {
                Some(every) => (0..nodes).step_by(std::cmp::max(every, 1)).collect(),
                None => (0..nodes).filter(|number| node_name(*number) == word).collect(),
            },
        }
    }

    /// Whether a word is one for some nodes.
    fn is_word(word: &str) -> bool {
        let every =
            |word: &str| word.strip_prefix("every-").is_some_and(|n| n.parse::<usize>().is_ok_and(|n| n > 0));
        matches!(word, "nodes" | "first-half" | "second-half") || every(word)
    }
}

/// What is done to nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ToNode {
    /// They are killed, and come back with the list of their start.
    Kill,
    /// They get SIGTERM, and come back once they have ended.
    Term,
    /// Their processes are stopped, and go on.
    Pause,
    /// They get this part of their time, in turns of a tenth of a second.
    Slow(f64),
}

/// A store of record in the origin's place: a PostgreSQL stand-in behind the nodes' own store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSpec {
    /// A SQLite file in the place of PostgreSQL. Nothing outside the nodes sees its commits, so that such a fleet is for
    /// trying out and not for the auditor.
    pub sqlite: bool,
    /// The time limit of a call.
    pub stall_ms: u64,
    /// How long caches keep copies.
    pub copy_ms: u64,
    /// Whether an edit's receipt waits until no cache holds an older copy.
    pub placement: bool,
    /// Keys that it holds at the start, the most popular first.
    pub holds: usize,
    /// Whether nodes fill caches, and void their copies.
    pub fills: bool,
    /// Whether fetches of one key share a query.
    pub shares: bool,
}

/// Something that is done at a time.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// When, from the start of the load.
    pub at: Duration,
    /// For how long; zero: to the end.
    pub lasts: Duration,
    /// What.
    pub what: Act,
    /// The words of the scenario, for the history and the chart.
    pub words: String,
}

/// What a step does.
#[derive(Debug, Clone, PartialEq)]
pub enum Act {
    /// Something is wrong with a server (by its name), for one node or all.
    Server {
        /// Its name.
        server: String,
        /// What is wrong.
        fault: Fault,
        /// Where it shows; `None` for all nodes.
        node: Option<String>,
    },
    /// A cache server drains, and is gone at the step's end.
    Drain(String),
    /// A cache server drains and is gone at the step's end, while a cold one takes its place.
    Replace {
        /// The name of the old one.
        server: String,
        /// The name of the new one.
        successor: String,
    },
    /// The origin does nothing.
    OriginStop,
    /// Something is wrong with the store of record.
    Store(PgFault),
    /// Something is done to nodes.
    Nodes {
        /// To whom.
        who: Who,
        /// What.
        what: ToNode,
        /// Each begins this long after the one before.
        stagger: Duration,
    },
    /// What some send does not come to others: datagrams between nodes; between nodes and servers or discovery the whole
    /// connection, or what is answered.
    Cut {
        /// From whom.
        from: Vec<String>,
        /// To whom.
        to: Vec<String>,
    },
    /// So many datagrams a second of nonsense, or of no peer's, come to a node.
    Forge {
        /// To whom.
        who: Who,
        /// How many a second, to each.
        per_s: u64,
    },
    /// A node starts with an old list of peers, and is told the present one at the step's end.
    OldPeers {
        /// Which.
        node: usize,
        /// So many of the last nodes are not in it.
        misses: usize,
        /// Nodes that it has at an address where nobody is.
        moved: Who,
    },
    /// Discovery is in trouble.
    Discovery(DiscoveryFault),
    /// Discovery learns of changes this late.
    Late(Duration),
    /// The clock of discovery's reports steps.
    Clock(i64),
    /// Datagrams between nodes are lost, doubled and late, by these parts and delays.
    Peers {
        /// From whom; nobody named: from all.
        from: Who,
        /// To whom; nobody named: to all.
        to: Who,
        /// Part that is lost.
        loss: f64,
        /// Part that is doubled.
        duplicate: f64,
        /// The shortest and the longest delay.
        delay_ms: (u64, u64),
    },
    /// Nodes and servers of different groups can't reach each other.
    Partition(Vec<Vec<String>>),
    /// So many connections that say nothing are opened to a node.
    Flood {
        /// The node.
        node: usize,
        /// How many.
        count: usize,
    },
}

/// A line of what is expected: a figure, a comparison and a bound.
#[derive(Debug, Clone, PartialEq)]
pub struct Expect {
    /// The figure.
    pub figure: String,
    /// How it is compared.
    pub compare: Compare,
    /// Its bound.
    pub bound: f64,
}

/// How a figure is compared with its bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Compare {
    /// It is this or more.
    AtLeast,
    /// It is this or less.
    AtMost,
    /// It is this.
    Equal,
}

impl std::fmt::Display for Expect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let sign = match self.compare {
            Compare::AtLeast => ">=",
            Compare::AtMost => "<=",
            Compare::Equal => "=",
        };
        write!(f, "{} {sign} {}", self.figure, self.bound)
    }
}

impl Expect {
    /// Whether a figure is as expected.
    pub fn holds(&self, figure: f64) -> bool {
        match self.compare {
            Compare::AtLeast => figure >= self.bound,
            Compare::AtMost => figure <= self.bound,
            Compare::Equal => figure == self.bound,
        }
    }

    /// Reads a line like `served >= 0.9`.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn parse(text: &str) -> Result<Expect, String> {
        let signs = [(">=", Compare::AtLeast), ("<=", Compare::AtMost), ("=", Compare::Equal)];
        let found = signs.into_iter().find_map(|(sign, compare)| Some((text.split_once(sign)?, compare)));
        let Some(((figure, bound), compare)) = found else {
            return Err(format!("`{text}` is not like `served >= 0.9`"));
        };
        let (figure, bound) = (figure.trim(), bound.trim());
        let number: Option<f64> = bound.parse().ok().filter(|bound: &f64| bound.is_finite());
        let Some(bound) = number else { return Err(format!("`{bound}` is no number")) };
        if !FIGURES.contains(&figure) {
            return Err(format!("there is no figure `{figure}`{}", suggest(figure, &FIGURES)));
        }
        Ok(Expect { figure: figure.into(), compare, bound })
    }
}

/// The figures that can be expected.
pub const FIGURES: [&str; 26] = [
    "asked",
    "served",
    "served_first",
    "served_after",
    "served_worst_10s",
    "refused",
    "failed",
    "unanswered",
    "excused",
    "served_reads",
    "served_edits",
    "p50_ms",
    "p99_ms",
    "attempts",
    "attempts_per_request",
    "origin_fetches",
    "store_queries",
    "origin_peak",
    "origin_falls",
    "cache_falls",
    "cold_peak",
    "cache_peak",
    "list_turned_away",
    "list_turned_away_again",
    "edits_run_twice",
    "recovery_ms",
];

/// The longest load, and the most of each.
const MAX_FOR_MS: u64 = 600_000;
const MAX_NODES: u64 = 400;
const MAX_CACHES: u64 = 200;

/// What a step can do beside the faults of a server.
const DOS: [&str; 19] = [
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

impl Scenario {
    /// Reads a scenario whole.
    ///
    /// # Errors
    /// All that is wrong with it, in the order of the text.
    pub fn parse(text: &str) -> Result<Scenario, Vec<Wrong>> {
        let mut document = Document::parse(text);
        let root = document.root();
        let name = root.required("name");
        let about = root.text("about").unwrap_or_default();
        let seed = root.integer("seed", 1, 0..=u64::MAX >> 1);
        let mut scenario = Scenario {
            name,
            about,
            seed,
            nodes: 2,
            caches: 4,
            cache: CacheSpec::default(),
            origin: OriginSpec::default(),
            store: None,
            warm_keys: 0.8,
            sites: Vec::new(),
            between_us: (1_400, 2_600),
            late: Duration::from_millis(300),
            list_service: DiscoverySpec::default(),
            pushed: false,
            max_attempts: 4,
            second_copies: true,
            sockets: 256,
            memory_mb: 48,
            load: Load::default(),
            shares: Vec::new(),
            quota: 2.0,
            short: root.number("short", 1.0, 0.05..=1.0),
            short_expects: Vec::new(),
            steps: Vec::new(),
            expects: Vec::new(),
            membership: None,
            ramp: true,
        };
        if let Some(table) = root.table("fleet") {
            scenario.fleet(&table);
            table.finish();
        }
        if let Some(table) = root.table("store") {
            scenario.store = Some(StoreSpec {
                sqlite: false,
                stall_ms: table.integer("stall_ms", 300, 10..=60_000),
                copy_ms: table.integer("copy_ms", 10_000, 100..=600_000),
                placement: table
                    .one_of("edit_visibility", &[("store", false), ("placement", true)])
                    .unwrap_or(true),
                holds: table.integer("holds", 500, 0..=20_000) as usize,
                fills: table.flag("fills", true),
                shares: table.flag("share_fetches", true),
            });
            table.finish();
        }
        if let Some(table) = root.table("membership") {
            let periods = |key, default| table.integer(key, default, 1..=10_000);
            let crooked = table.text("crooked").and_then(|name| {
                let found = Mutant::named(&name);
                if found.is_none() {
                    let names: Vec<&str> = Mutant::ALL.iter().map(|(_, name, _)| *name).collect();
                    let what = format!("`crooked` has no `{name}`{}", suggest(&name, &names));
                    table.fault(table.place_of("crooked"), what);
                }
                found
            });
            scenario.membership = Some(MembersSpec {
                period: Duration::from_millis(table.integer("period_ms", 400, 50..=10_000)),
                keyed: table.flag("keyed", false),
                heeds_health: table.flag("heeds_health", true),
                speak_first: {
                    let named = table.texts_or_text("speak_first");
                    for (word, place) in &named {
                        if !Who::is_word(word) {
                            table.fault(place.clone(), format!("`{word}` is not like `nodes` or `every-3`"));
                        }
                    }
                    Who(named.into_iter().map(|(word, _)| word).collect())
                },
                bounds: [
                    periods("detect", 16),
                    periods("accuse", 12),
                    periods("refute", 16),
                    periods("converge", 30),
                ],
                strangers: table.integer("strangers", 0, 0..=10) as usize,
                crooked: crooked
                    .map(|mutant| (table.integer("crooked_node", 0, 0..=MAX_NODES) as usize, mutant)),
            });
            table.finish();
        }
        let table = root.table("load");
        scenario.read_load(table.as_ref());
        scenario.read_tenants(&mut root.tables("tenant").into_iter());
        for table in root.tables("crowd") {
            let ms = |key| table.integer(key, 1_000, 0..=MAX_FOR_MS);
            let (at_ms, for_ms) = (ms("at_ms"), ms("for_ms"));
            scenario.load.crowds.push(Crowd { at_ms, for_ms, times: table.number("times", 1.5, 1.0..=20.0) });
            table.finish();
        }
        if let Some(table) = table {
            table.finish();
        }
        for table in root.tables("fault") {
            let step = scenario.step(&table);
            scenario.steps.extend(step);
            table.finish();
        }
        scenario.steps.sort_by_key(|step| step.at);
        for (key, expects) in
            [("expect", &mut scenario.expects), ("short_expect", &mut scenario.short_expects)]
        {
            for (line, place) in root.texts(key) {
                match Expect::parse(&line) {
                    Ok(expect) => expects.push(expect),
                    Err(what) => root.fault(place, what),
                }
            }
        }
        root.finish();
        let faults = document.faults();
        if faults.is_empty() { Ok(scenario) } else { Err(faults) }
    }

    /// Its short form: all times of the load and of the steps cut to a part, what is expected replaced.
    pub fn shortened(&self) -> Scenario {
        let cut = |time: Duration| time.mul_f64(self.short);
        let cut_ms = |ms: u64| (ms as f64 * self.short) as u64;
        let mut short = self.clone();
        short.load.for_ms = cut_ms(self.load.for_ms);
        for crowd in &mut short.load.crowds {
            (crowd.at_ms, crowd.for_ms) = (cut_ms(crowd.at_ms), cut_ms(crowd.for_ms));
        }
        short.steps.iter_mut().for_each(|step| (step.at, step.lasts) = (cut(step.at), cut(step.lasts)));
        short.expects.clone_from(&self.short_expects);
        short
    }

    /// The site of a node or a cache server; `a` where there is only one.
    pub fn zone(&self, number: usize) -> String {
        let at = number.checked_rem(self.sites.len());
        at.map_or_else(|| "a".into(), |at| self.sites[at].clone())
    }

    /// All sites.
    pub fn zones(&self) -> Vec<String> {
        (0..self.sites.len().max(1)).map(|number| self.zone(number)).collect()
    }

    /// The round trips from a server's site to the nodes of others: spread evenly over the pairs of sites.
    pub fn far(&self, zone: &str, nodes: &[String]) -> BTreeMap<String, u64> {
        let zones = self.zones();
        let at = |zone: &str| zones.iter().position(|known| known == zone).unwrap_or(0);
        let pairs = zones.len() * zones.len().saturating_sub(1) / 2;
        let one_way = |one: usize, other: usize| {
            let (low, high) = (one.min(other), one.max(other));
            let pair = high * (high - 1) / 2 + low;
            let (least, most) = self.between_us;
            least + (most.saturating_sub(least)) * pair as u64 / (pairs.max(2) as u64 - 1)
        };
        let far = nodes.iter().enumerate().map(|(number, name)| (name, at(&self.zone(number))));
        let far = far.filter(|(_, other)| *other != at(zone));
        far.map(|(name, other)| (name.clone(), 2 * one_way(at(zone), other))).collect()
    }

    /// Cache servers that start in the course of it: the number of the one whose place they take, and their names.
    pub fn successors(&self) -> Vec<(usize, String)> {
        let replaced = |step: &Step| match &step.what {
            Act::Replace { server, successor } => {
                Some(((0..self.caches).find(|n| cache_name(*n) == *server)?, successor.clone()))
            }
            _ => None,
        };
        let mut successors: Vec<_> = self.steps.iter().filter_map(replaced).collect();
        successors.sort();
        successors.dedup();
        successors
    }

    fn fleet(&mut self, table: &Table<'_, '_>) {
        let ms = |table: &Table<'_, '_>, key: &str, default: u64| {
            1_000 * table.integer(key, default / 1_000, 0..=600_000)
        };
        self.nodes = table.integer("nodes", 2, 1..=MAX_NODES) as usize;
        self.caches = table.integer("caches", 4, 1..=MAX_CACHES) as usize;
        self.warm_keys = table.number("warm_keys", self.warm_keys, 0.0..=1.0);
        self.late = Duration::from_millis(table.integer("late_ms", 300, 0..=60_000));
        self.list_service = DiscoverySpec {
            call: Duration::from_millis(table.integer("call_ms", 2, 0..=5_000)),
            line: Duration::from_micros(table.integer("line_us", 0, 0..=1_000_000)),
            most_ahead: Duration::from_millis(table.integer("overbooked_ms", 8_000, 0..=600_000)),
        };
        self.pushed = table.flag("pushed", false);
        self.sites = table.texts("sites").into_iter().map(|(name, _)| name).collect();
        self.between_us.0 = table.integer("between_least_us", self.between_us.0, 0..=1_000_000);
        self.between_us.1 = table.integer("between_most_us", self.between_us.1, 0..=1_000_000);
        self.max_attempts = table.integer("max_attempts", 4, 0..=100) as u32;
        self.second_copies = table.flag("second_copies", true);
        self.sockets = table.integer("sockets", self.sockets, 32..=1024);
        self.memory_mb = table.integer("memory_mb", self.memory_mb, 16..=4096);
        if let Some(inner) = table.table("cache") {
            let spec = &mut self.cache;
            spec.cores = inner.integer("cores", spec.cores as u64, 1..=256) as usize;
            spec.work_us = ms(&inner, "work_ms", spec.work_us);
            spec.work_cv = inner.number("work_cv", spec.work_cv, 0.0..=4.0);
            spec.queue_us = ms(&inner, "queue_ms", spec.queue_us);
            spec.cold_share = inner.number("cold_share", spec.cold_share, 0.01..=1.0);
            spec.warm_us = ms(&inner, "warm_ms", spec.warm_us);
            spec.fall_multiple = inner.number("fall_multiple", spec.fall_multiple, 1.0..=100.0);
            spec.fall_us = ms(&inner, "fall_ms", spec.fall_us);
            spec.objects = inner.integer("objects", spec.objects as u64, 1..=1_000_000) as usize;
            spec.connections = inner.integer("connections", spec.connections as u64, 1..=10_000) as usize;
            spec.idle_us = ms(&inner, "idle_ms", spec.idle_us);
            spec.value_len = inner.integer("value_len", spec.value_len as u64, 1..=65_536) as usize;
            inner.finish();
        }
        if let Some(inner) = table.table("origin") {
            let spec = &mut self.origin;
            spec.slots = inner.integer("slots", spec.slots as u64, 1..=256) as usize;
            spec.read_us = ms(&inner, "read_ms", spec.read_us);
            spec.write_us = ms(&inner, "write_ms", spec.write_us);
            spec.work_cv = inner.number("work_cv", spec.work_cv, 0.0..=4.0);
            spec.queue_us = ms(&inner, "queue_ms", spec.queue_us);
            spec.fall_multiple = inner.number("fall_multiple", spec.fall_multiple, 1.0..=100.0);
            spec.fall_us = ms(&inner, "fall_ms", spec.fall_us);
            spec.stop_us = ms(&inner, "stop_ms", spec.stop_us);
            inner.finish();
        }
    }

    fn read_load(&mut self, table: Option<&Table<'_, '_>>) {
        let base = Load::default();
        let integer = |key, default, bounds| table.map_or(default, |t| t.integer(key, default, bounds));
        let number = |key, default, bounds| table.map_or(default, |t| t.number(key, default, bounds));
        self.quota = number("quota", self.quota, 0.0..=100.0);
        let edits = number("edits", 0.05, 0.0..=1.0);
        let moves = number("moves", 0.0, 0.0..=1.0);
        let class = |name: &str, share, deadline_ms, write, keyed| LoadClass {
            name: name.into(),
            share,
            deadline_ms,
            write,
            idempotent: keyed,
            retries_failures: !write || keyed,
            value_len: 24,
        };
        let read = class(
            "zone-lookup",
            (1.0 - edits - moves).max(0.0),
            integer("deadline_ms", 1_500, 50..=60_000),
            false,
            false,
        );
        let edit = class("zone-edit", edits, integer("edit_deadline_ms", 300, 50..=60_000), true, true);
        // A class whose effect happens again: no part of the platform's, and all the harder for it.
        let unsafe_ = class("zone-move", moves, integer("edit_deadline_ms", 300, 50..=60_000), true, false);
        let tenant = |name: &str, share| Tenant { name: name.to_owned(), share };
        self.load = Load {
            per_s: number("per_s", base.per_s, 0.0..=50_000.0),
            for_ms: integer("for_ms", base.for_ms, 100..=MAX_FOR_MS),
            crowds: Vec::new(),
            keys: integer("keys", base.keys as u64, 1..=1_000_000) as usize,
            zipf: number("zipf", base.zipf, 0.0..=3.0),
            offset: number("offset", base.offset, 0.0..=1_000.0),
            classes: vec![read, edit, unsafe_],
            tenants: vec![tenant("coastline", 0.43), tenant("dishdash", 0.30), tenant("reef-eats", 0.27)],
            retries: integer("retries", 1, 0..=10) as u32,
            obeys_retry_after: number("honour", base.obeys_retry_after, 0.0..=1.0),
            backoff_ms: integer("backoff_ms", base.backoff_ms, 1..=10_000),
            impatient: number("impatient", base.impatient, 0.0..=1.0),
        };
    }

    /// Tenants with their shares, and how much of theirs they send.
    fn read_tenants(&mut self, tables: &mut dyn Iterator<Item = Table<'_, '_>>) {
        self.shares = self.load.tenants.iter().map(|tenant| tenant.share).collect();
        let (mut tenants, mut shares) = (Vec::new(), Vec::new());
        for table in tables {
            let name = table.required("name");
            let share = table.number("share", 0.1, 0.0..=1.0);
            tenants.push(Tenant { name, share: share * table.number("sends", 1.0, 0.0..=100.0) });
            shares.push(share);
            table.finish();
        }
        if !tenants.is_empty() {
            (self.load.tenants, self.shares) = (tenants, shares);
        }
    }

    fn step(&self, table: &Table<'_, '_>) -> Option<Step> {
        let at = Duration::from_millis(table.integer("at_ms", 0, 0..=MAX_FOR_MS));
        let lasts = Duration::from_millis(table.integer("for_ms", 0, 0..=MAX_FOR_MS));
        let what = table.required("do");
        let listed = matches!(what.as_str(), "cut" | "peers");
        let to = if listed {
            let list =
                |key| table.texts_or_text(key).into_iter().map(|(n, _)| n).collect::<Vec<_>>().join(",");
            Some(format!("{} {}", list("from"), list("to")).trim().to_owned())
                .filter(|words| !words.is_empty())
        } else {
            table.text("to")
        };
        let node = table.text("node");
        let caches: Vec<String> = (0..self.caches).map(cache_name).collect();
        let nodes: Vec<String> = (0..self.nodes).map(node_name).collect();
        let mut servers = caches.clone();
        servers.push(self.origin.name.clone());
        let discovery = [DISCOVERY.to_owned()];
        let known = |names: &[String], key: &str| {
            let name = table.text(key)?;
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            let found = names.iter().position(|known| *known == name);
            if found.is_none() {
                table.fault(table.place_of(key), format!("there is no `{name}`{}", suggest(&name, &names)));
            }
            found
        };
        let need = |names: &[String], key: &str| {
            if !table.has(key) {
                table.fault(table.place(), format!("`{key}` is missing in [{}]", table.name()));
            }
            known(names, key)
        };
        if node.is_some() {
            known(&nodes, "node")?;
        }
        // Names in a list or alone: of nodes, of servers, or words for some nodes.
        let named = |key: &str| -> Option<Vec<String>> {
            if !table.has(key) {
                table.fault(table.place(), format!("`{key}` is missing in [{}]", table.name()));
                return None;
            }
            let all = nodes.iter().chain(&servers).chain(&discovery).map(String::as_str);
            let all: Vec<&str> = all.collect();
            let mut good = true;
            let listed = table.texts_or_text(key);
            for (name, place) in &listed {
                if !Who::is_word(name) && !all.contains(&name.as_str()) {
                    table.fault(place.clone(), format!("there is no `{name}`{}", suggest(name, &all)));
                    good = false;
                }
            }
            good.then(|| listed.into_iter().map(|(name, _)| name).collect())
        };
        let stagger = match what.starts_with("node-") {
            true => Duration::from_millis(table.integer("stagger_ms", 0, 0..=60_000)),
            false => Duration::ZERO,
        };
        let some = || -> Option<Who> {
            match table.text("to") {
                Some(word) if Who::is_word(&word) => Some(Who(vec![word])),
                _ => Some(Who(vec![nodes[need(&nodes, "to")?].clone()])),
            }
        };
        let act = match what.as_str() {
            "drain" => Act::Drain(caches[need(&caches, "to")?].clone()),
            "replace" => {
                let server = caches[need(&caches, "to")?].clone();
                Act::Replace { successor: successor(&server), server }
            }
            "stop" => Act::OriginStop,
            "node-kill" => Act::Nodes { who: some()?, what: ToNode::Kill, stagger },
            "node-term" => Act::Nodes { who: some()?, what: ToNode::Term, stagger },
            "node-pause" => Act::Nodes { who: some()?, what: ToNode::Pause, stagger },
            "node-slow" => {
                let share = table.number("share", 0.1, 0.01..=0.9);
                Act::Nodes { who: some()?, what: ToNode::Slow(share), stagger }
            }
            "cut" => {
                let [from, to] = ["from", "to"].map(&named);
                Act::Cut { from: from?, to: to? }
            }
            "forge" => Act::Forge { who: some()?, per_s: table.integer("per_s", 1_000, 1..=50_000) },
            "old-peers" => Act::OldPeers {
                node: need(&nodes, "to")?,
                misses: table.integer("misses", 0, 0..=self.nodes as u64 / 2) as usize,
                moved: Who(if table.has("moved") { named("moved")? } else { Vec::new() }),
            },
            "discovery-down" => Act::Discovery(DiscoveryFault::Down),
            "discovery-failing" => Act::Discovery(DiscoveryFault::Failing),
            "discovery-silent" => Act::Discovery(DiscoveryFault::Silent),
            "discovery-dropping" => Act::Discovery(DiscoveryFault::Dropping),
            "late" => Act::Late(Duration::from_millis(table.integer("by_ms", 1_000, 0..=60_000))),
            "clock" => {
                let back = table.flag("back", false);
                let by = table.integer("by_ms", 1_000, 0..=86_400_000) as i64;
                Act::Clock(if back { -by } else { by })
            }
            "peers" => Act::Peers {
                from: Who(if table.has("from") { named("from")? } else { Vec::new() }),
                to: Who(if table.has("to") { named("to")? } else { Vec::new() }),
                loss: table.number("loss", 0.0, 0.0..=1.0),
                duplicate: table.number("duplicate", 0.0, 0.0..=1.0),
                delay_ms: (table.integer("least_ms", 1, 0..=10_000), table.integer("most_ms", 1, 0..=10_000)),
            },
            "partition" => {
                let mut groups: Vec<Vec<String>> = vec![Vec::new(), Vec::new()];
                let all: Vec<String> = nodes.iter().chain(&servers).cloned().collect();
                let names: Vec<&str> = all.iter().map(String::as_str).collect();
                for (key, group) in ["one", "other"].into_iter().zip(&mut groups) {
                    for (name, place) in table.texts(key) {
                        if !all.contains(&name) {
                            table.fault(place, format!("there is no `{name}`{}", suggest(&name, &names)));
                        }
                        group.push(name);
                    }
                }
                Act::Partition(groups)
            }
            "flood" => Act::Flood {
                node: need(&nodes, "to")?,
                count: table.integer("count", 300, 1..=2_000) as usize,
            },
            store if store.starts_with("store-") && self.store.is_some() => {
                let name = store.trim_start_matches("store-");
                let Some(fault) = PgFault::from_name(name) else {
                    let known: Vec<_> =
                        PgFault::ALL.iter().map(|fault| format!("store-{}", fault.name())).collect();
                    let known: Vec<&str> = known.iter().map(String::as_str).collect();
                    let what = format!("`do` has no `{store}`{}", suggest(store, &known));
                    table.fault(table.place_of("do"), what);
                    return None;
                };
                match fault {
                    PgFault::Slow(ms) => Act::Store(PgFault::Slow(table.integer("by_ms", ms, 1..=60_000))),
                    PgFault::Late(ms) => Act::Store(PgFault::Late(table.integer("by_ms", ms, 1..=60_000))),
                    fault => Act::Store(fault),
                }
            }
            other => {
                if let Some(fault) = Fault::from_name(other) {
                    Act::Server { server: servers[need(&servers, "to")?].clone(), fault, node: node.clone() }
                } else {
                    let faults = Fault::ALL.iter().map(|fault| fault.name());
                    let known: Vec<_> = faults.chain(DOS).collect();
                    table.fault(
                        table.place_of("do"),
                        format!("`do` has no `{other}`{}", suggest(other, &known)),
                    );
                    return None;
                }
            }
        };
        let words = [Some(what), to, node].into_iter().flatten().collect::<Vec<_>>().join(" ");
        Some(Step { at, lasts, what: act, words })
    }
}

/// The name of the cache server that takes another's place.
pub fn successor(server: &str) -> String {
    format!("{server}-next")
}

/// The name of discovery.
pub const DISCOVERY: &str = "discovery";

/// The name of a node.
pub fn node_name(number: usize) -> String {
    format!("n{number}")
}

/// The name of a cache server.
pub fn cache_name(number: usize) -> String {
    format!("cache-{number}")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_scenario_that_comes_along_can_be_read_and_bears_its_name() {
        for (name, text) in crate::SCENARIOS {
            let scenario = Scenario::parse(text).unwrap_or_else(|e| panic!("{name}: {e:?}"));
            assert_eq!(scenario.name, name);
            assert!(!scenario.about.is_empty() && !scenario.expects.is_empty(), "{name}");
        }
        assert_eq!(crate::SCENARIOS[0].0, "calm");
    }

    #[test]
    fn every_fault_of_a_bad_scenario_is_told_with_its_place() {
        let text = "nme = 'x'\nexpect = ['served > 0', 'srved >= 1', 'served >= many']\n[fleet]\nnodes = 0\n\
                    [[fault]]\ndo = 'vanich'\nto = 'cache-1'\n[[fault]]\ndo = 'kill'\nto = 'cache-9'\n[[fault]]\n\
                    do = 'node-kill'\n";
        let faults: Vec<_> = Scenario::parse(text).unwrap_err().iter().map(ToString::to_string).collect();
        let has = |part: &str| assert!(faults.iter().any(|f| f.contains(part)), "{part}: {faults:#?}");
        has("line 1, column 1: unknown key `nme` in the file; did you mean `name`?");
        has("line 2, column 11: `served > 0` is not like");
        has("line 2, column 25: there is no figure `srved`; did you mean `served`?");
        has("`many` is no number");
        has("line 4, column 9: `nodes` is to be from 1 to 400");
        has("line 6, column 6: `do` has no `vanich`; did you mean `vanish`?");
        has("line 10, column 6: there is no `cache-9`; did you mean `cache-0`?");
        has("`to` is missing in [fault]");
        has("`name` is missing in the file");
    }

    #[test]
    fn expectations_compare_as_they_read() {
        let expect = |text| Expect::parse(text).unwrap();
        assert!(expect("served >= 0.9").holds(0.9) && !expect("served >= 0.9").holds(0.89));
        assert!(expect("p99_ms <= 5").holds(5.0) && !expect("p99_ms <= 5").holds(5.1));
        assert!(expect("cache_falls = 0").holds(0.0) && !expect("cache_falls = 0").holds(1.0));
    }
}
