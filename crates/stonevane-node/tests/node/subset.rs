//! Real nodes in two regions, each in front of the cache servers of its own region. Tests check the requests
//! that the emulated servers received.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::process::Command;
use std::sync::mpsc::{Receiver, Sender};

use crate::failing_origin;
use crate::harness::*;

const READS_PER_NODE: usize = 120;

/// An entry of a server list in a zone. Names of origins begin with `o`.
fn entry_in_zone(name: &str, address: SocketAddr, zone: &str, status: &str) -> String {
    let kind = if name.starts_with('o') { "origin" } else { "std" };
    entry(name, address, kind, status).replace(r#""zone":"a""#, &format!(r#""zone":"{zone}""#))
}

/// Writes an operator file with a region of two zones and a region of one zone.
fn operator_file(home: &str, nodes: u32) -> std::path::PathBuf {
    write_operator_file(&format!(
        "[regions]\nhome = \"{home}\"\nnodes = {nodes}\nleast = 1\n\
         [regions.zones]\nsouth = [\"a\", \"b\"]\nnorth = [\"c\"]\n"
    ))
}

fn write_operator_file(text: &str) -> std::path::PathBuf {
    let path = temp_folder().join("operator.toml");
    std::fs::write(&path, text).unwrap();
    path
}

/// Settings of node number `me` of three.
fn settings_of_node(me: usize, zones: &str) -> String {
    let me = format!(r#""balancers":3,"me":{me}"#);
    let zones = format!(r#""zones":[{zones}]"#);
    // A quota that sequential requests don't exceed, even on a fast machine.
    let quota = (r#""quotaPerS":1000.0"#, r#""quotaPerS":1000000.0"#);
    // An idle limit so long that a connection never ends because of it.
    let idle = (r#""idleCloseUs":15000000"#, r#""idleCloseUs":600000000"#);
    let settings = settings().replace(r#""balancers":1,"me":0"#, &me).replace(r#""zones":["a"]"#, &zones);
    settings.replace(quota.0, quota.1).replace(idle.0, idle.1)
}

const ZONES: &str = r#""a","b","c""#;

/// A node with its own discovery, and a client of it.
struct RegionNode {
    name: &'static str,
    process: Node,
    client: Client,
    updates: Sender<Vec<u8>>,
    _calls: Receiver<String>,
    /// Number of reads so far. It is a part of each key and id, so that they are unique.
    reads: usize,
}

impl RegionNode {
    /// Starts node number `me` with the list `known` and an operator file, if given.
    fn start(name: &'static str, me: usize, known: &str, operator: Option<&std::path::Path>) -> RegionNode {
        let (discovery, updates, calls) = discovery(vec![watch_head()]);
        let text = with_mgmt_address(&config(discovery, known, 256, &settings_of_node(me, ZONES)));
        let arguments = operator.map(|file| format!("set -- --operator {};", file.display()));
        let process =
            Node::start_with_config_and_shell_prefix(discovery, &text, &arguments.unwrap_or_default());
        let client = process.client();
        RegionNode { name, process, client, updates, _calls: calls, reads: 0 }
    }

    /// Reads `count` keys that no other node reads, and returns the names of the cache servers that answered.
    fn read(&mut self, count: usize) -> BTreeSet<String> {
        let mut servers = BTreeSet::new();
        for _ in 0..count {
            self.reads += 1;
            let id = format!("{}{}", self.name, self.reads);
            let answer = self.client.request(&get(&format!("k{id}"), &id)).expect("a response");
            assert!(!answer.starts_with('-'), "{} is not served: {answer}", self.name);
            servers.insert(answer);
        }
        servers
    }

    fn send_update(&self, index: u64, snapshot: bool, entries: &[String]) {
        self.updates.send(chunk(&server_list(index, snapshot, entries))).unwrap();
    }

    fn wait_until_logged(&self, text: &str) {
        let line = std::iter::from_fn(|| self.process.log.recv_timeout(TEST_TIMEOUT).ok())
            .find(|l| l.contains(text));
        assert!(line.is_some(), "{} never logs {text:?}", self.name);
    }
}

/// The servers of both regions. Each cache server answers with its name.
struct Servers {
    /// Name, emulated server and zone of each cache server.
    caches: BTreeMap<&'static str, (EmulatedServer, &'static str)>,
    origin: EmulatedServer,
}

impl Servers {
    fn new() -> Servers {
        let caches = [("s-1", "a"), ("s-2", "b"), ("n-1", "c"), ("n-2", "c")];
        let caches = caches.map(|(name, zone)| (name, (cache(move |_| Action::Respond(hit(name))), zone)));
        Servers { caches: caches.into(), origin: failing_origin() }
    }

    fn entry_with_status(&self, name: &str, status: &str) -> String {
        let (cache, zone) = &self.caches[name];
        entry_in_zone(name, cache.address, zone, status)
    }

    fn entry_moved_to(&self, name: &str, zone: &str) -> String {
        entry_in_zone(name, self.caches[name].0.address, zone, "active")
    }

    fn entries(&self) -> Vec<String> {
        let mut entries: Vec<_> =
            self.caches.keys().map(|name| self.entry_with_status(name, "active")).collect();
        entries.push(entry_in_zone("o-1", self.origin.address, "b", "active"));
        entries
    }

    fn whole_list(&self) -> String {
        server_list(5, true, &self.entries())
    }

    /// Connection number and node of each request that a cache server has received since the last call.
    fn new_requests(&self, name: &str) -> Vec<(u32, String)> {
        let seen = self.caches[name].0.received.try_iter().filter(|seen| !seen.words.is_empty());
        seen.map(|seen| (seen.conn, requesting_node(&seen.words))).collect()
    }

    /// Names of the nodes whose requests a cache server has received. Checks that each connection carried a
    /// request. Call it only after the nodes have ended.
    fn requesting_nodes(&self, name: &str) -> BTreeSet<String> {
        let cache = &self.caches[name].0;
        let mut last = Client::connect(cache.address);
        assert_eq!(last.request(&get("last", "last")).as_deref(), Some("*3"));
        let mut nodes = BTreeSet::new();
        let mut used = BTreeSet::new();
        loop {
            let seen = cache.next_request();
            if seen.words[2] == "last" {
                assert_eq!(used, (0..seen.conn).collect(), "{name}: a connection carried no request");
                return nodes;
            }
            used.insert(seen.conn);
            nodes.insert(requesting_node(&seen.words));
        }
    }
}

/// Name of the node that sent a request: the id without the number.
fn requesting_node(words: &[String]) -> String {
    words[2].trim_end_matches(|c: char| c.is_ascii_digit()).to_owned()
}

fn names<const N: usize>(names: [&str; N]) -> BTreeSet<String> {
    names.map(String::from).into()
}

/// Two nodes in the south and one in the north.
fn start_nodes(servers: &Servers, with_regions: bool) -> Vec<RegionNode> {
    let known = servers.whole_list();
    let nodes = [("west", "south", 2), ("east", "south", 2), ("far", "north", 1)];
    let nodes = nodes.into_iter().enumerate().map(|(me, (name, home, count))| {
        let operator = with_regions.then(|| operator_file(home, count));
        RegionNode::start(name, me, &known, operator.as_deref())
    });
    nodes.collect()
}

#[test]
fn each_cache_server_gets_requests_only_from_nodes_of_its_region() {
    let servers = Servers::new();
    let mut nodes = start_nodes(&servers, true);
    for node in &mut nodes {
        node.read(READS_PER_NODE);
    }
    drop(nodes);
    for (name, from) in [("s-1", names(["east", "west"])), ("s-2", names(["east", "west"]))] {
        assert_eq!(servers.requesting_nodes(name), from, "{name}");
    }
    for name in ["n-1", "n-2"] {
        assert_eq!(servers.requesting_nodes(name), names(["far"]), "{name}");
    }
}

#[test]
fn without_the_regions_section_each_cache_server_gets_requests_from_all_nodes() {
    let servers = Servers::new();
    let mut nodes = start_nodes(&servers, false);
    for node in &mut nodes {
        node.read(READS_PER_NODE);
    }
    let (status, metrics) = nodes[0].process.mgmt_call("GET", "/metrics");
    assert!(status == 200 && !metrics.contains("regions"), "{metrics}");
    drop(nodes);
    for name in ["s-1", "s-2", "n-1", "n-2"] {
        assert_eq!(servers.requesting_nodes(name), names(["east", "far", "west"]), "{name}");
    }
}

#[test]
fn nodes_use_another_region_while_their_own_has_no_servers_and_return_to_it() {
    let servers = Servers::new();
    let mut nodes = start_nodes(&servers, true);
    for node in &mut nodes {
        node.read(READS_PER_NODE);
    }
    for node in &mut nodes[..2] {
        assert_eq!(node.process.metric("regions.regions_in_use"), 1);
        node.send_update(6, false, &[servers.entry_with_status("s-1", "left")]);
        node.send_update(7, false, &[servers.entry_with_status("s-2", "leaving")]);
        node.wait_until_logged("south has 0 usable cache servers, too few");
        assert_eq!(node.read(READS_PER_NODE), names(["n-1", "n-2"]), "{}", node.name);
        assert_eq!(node.process.metric("regions.regions_in_use"), 2);
        assert_eq!(node.process.metric("regions.fallbacks"), 1);
    }
    for node in &mut nodes[..2] {
        node.send_update(
            8,
            false,
            &[servers.entry_with_status("s-2", "active"), servers.entry_with_status("s-1", "active")],
        );
        node.wait_until_logged("south has 2 usable cache servers: no other region is used");
    }
    for name in ["n-1", "n-2"] {
        // Both nodes close their idle connections.
        (0..2).for_each(|_| servers.caches[name].0.wait_for_closed_connection());
        servers.new_requests(name);
    }
    for node in &mut nodes {
        node.read(READS_PER_NODE);
    }
    for name in ["n-1", "n-2"] {
        let from: BTreeSet<_> = servers.new_requests(name).into_iter().map(|(_, node)| node).collect();
        assert_eq!(from, names(["far"]), "{name} gets new requests from the south");
    }
    assert_eq!(nodes[0].read(READS_PER_NODE), names(["s-1", "s-2"]));
}

#[test]
fn a_request_in_flight_at_a_fallback_server_is_answered_after_the_return_and_its_connection_closed() {
    let servers = Servers::new();
    let held = Latch::default();
    let (wait, slow) = (held.clone(), "n-3");
    let north = cache(move |_| Action::RespondWhenOpen(wait.clone(), hit(slow)));
    let mut known =
        vec![servers.entry_with_status("s-1", "leaving"), entry_in_zone(slow, north.address, "c", "active")];
    known.push(entry_in_zone("o-1", servers.origin.address, "a", "active"));
    let operator = operator_file("south", 2);
    let mut node = RegionNode::start("west", 0, &server_list(5, true, &known), Some(&operator));
    node.client.send(&get("kk", "west1"));
    let seen = north.next_request();
    node.send_update(6, false, &[servers.entry_with_status("s-2", "active")]);
    node.wait_until_logged("south has 1 usable cache server: no other region is used");
    held.open();
    assert_eq!(node.client.read_response().as_deref(), Some(slow));
    north.wait_for_closed_connection();
    assert_eq!(seen.conn, 0);
    assert_eq!(node.read(READS_PER_NODE), names(["s-2"]));
}

#[test]
fn a_drain_of_a_server_outside_the_subset_applies_in_a_fallback() {
    let servers = Servers::new();
    let operator = operator_file("south", 2);
    let mut node = RegionNode::start("west", 0, &servers.whole_list(), Some(&operator));
    node.send_update(6, false, &[servers.entry_with_status("n-1", "leaving")]);
    assert_eq!(node.read(READS_PER_NODE), names(["s-1", "s-2"]));
    // A whole list older than the drain does not undo it, whether it comes while the server is outside the
    // subset ...
    node.send_update(4, true, &servers.entries());
    node.send_update(
        7,
        false,
        &[servers.entry_with_status("s-1", "left"), servers.entry_with_status("s-2", "left")],
    );
    node.wait_until_logged("south has 0 usable cache servers, too few");
    assert_eq!(node.read(READS_PER_NODE), names(["n-2"]));
    // ... or inside the subset.
    let older = [servers.entry_with_status("n-1", "active"), servers.entry_with_status("n-2", "active")];
    node.send_update(4, true, &older);
    node.send_update(
        9,
        false,
        &[servers.entry_with_status("s-1", "active"), servers.entry_with_status("s-2", "left")],
    );
    node.process.wait_for_metric("regions.usable", 2);
    assert!(!node.read(READS_PER_NODE).contains("n-1"));
    drop(node);
    assert_eq!(servers.requesting_nodes("n-1"), BTreeSet::new(), "the draining server got requests");
}

#[test]
fn a_server_that_moved_to_another_region_is_not_moved_back_by_an_older_whole_list() {
    let servers = Servers::new();
    let operator = operator_file("south", 2);
    let mut node = RegionNode::start("west", 0, &servers.whole_list(), Some(&operator));
    assert_eq!(node.read(READS_PER_NODE), names(["s-1", "s-2"]));
    node.send_update(6, false, &[servers.entry_moved_to("s-2", "c")]);
    node.process.wait_for_metric("regions.usable", 1);
    assert_eq!(node.read(READS_PER_NODE), names(["s-1"]));
    node.send_update(4, true, &servers.entries());
    node.send_update(7, false, &[servers.entry_moved_to("n-1", "b")]);
    node.process.wait_for_metric("regions.usable", 2);
    assert_eq!(node.read(READS_PER_NODE), names(["s-1", "n-1"]), "s-2 stays in its new region");
    let newer = [
        servers.entry_with_status("s-2", "active"),
        servers.entry_with_status("n-1", "active"),
        servers.entry_with_status("n-2", "active"),
    ];
    node.send_update(8, true, &newer);
    node.process.wait_for_metric("regions.usable", 1);
    assert_eq!(node.read(READS_PER_NODE), names(["s-2"]), "a newer whole list takes effect");
}

#[test]
fn a_reload_with_zones_in_another_order_leaves_the_subset_unchanged() {
    let servers = Servers::new();
    let operator = operator_file("south", 2);
    let mut node = RegionNode::start("west", 0, &servers.whole_list(), Some(&operator));
    assert_eq!(node.read(READS_PER_NODE), names(["s-1", "s-2"]));
    let zones = format!(r#""zones":[{ZONES}]"#);
    let text = node.process.config_text.replace(&zones, r#""zones":["c","b","d","a"]"#);
    node.process.reload(Err(&text));
    node.process.wait_for_metric("reloads_ok", 1);
    assert_eq!(node.read(READS_PER_NODE), names(["s-1", "s-2"]));
}

/// Starts a node that must fail with exit code 2, and returns the lines of its error output.
fn startup_errors(operator: &str) -> Vec<String> {
    let file = config_file(&config(([127, 0, 0, 1], 9).into(), "null", 64, &settings_of_node(0, ZONES)));
    let operator = write_operator_file(operator);
    // A node that starts in spite of the fault ends by the timeout, with another status.
    let output = Command::new("timeout")
        .arg(TEST_TIMEOUT.as_secs().to_string())
        .arg(env!("CARGO_BIN_EXE_stonevane-node"))
        .arg("--operator")
        .arg(&operator)
        .env("ROUTER_CONFIG", &file)
        .env_remove("ROUTER_LISTEN")
        .env_remove("ROUTER_DISCOVERY")
        .output()
        .unwrap();
    let _ = std::fs::remove_file(file);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    String::from_utf8(output.stderr).unwrap().lines().map(str::to_owned).collect()
}

#[test]
fn invalid_regions_end_with_one_error_line_and_exit_code_2() {
    let zones = "[regions.zones]\nsouth = [\"a\", \"b\"]\nnorth = [\"c\"]\n";
    let section = |head: &str| format!("[regions]\n{head}\n{zones}");
    for (operator, expected) in [
        (section("home = \"sout\"\nnodes = 2"), "`home` is no region of [regions.zones]; did you mean `south`?"),
        (section("home = \"south\"\nnodes = 0"), "`nodes` is to be from 1 to 1000000"),
        (section("home = \"south\""), "`nodes` is missing in [regions]"),
        (section("nodes = 2"), "`home` is missing in [regions]"),
        (section("home = \"south\"\nnodes = 2\nleast = 0"), "`least` is to be from 1 to 100000"),
        (section("home = \"south\"\nnodes = 2\nlest = 3"), "unknown key `lest` in [regions]; did you mean `least`?"),
        (section("home = \"south\"\nnodes = 4"), "[regions] `nodes` is 4, and the settings have 3 balancers"),
        ("[regions]\nhome = \"south\"\nnodes = 2\n".into(), "[regions.zones] is missing"),
        (
            "[regions]\nhome = \"south\"\nnodes = 2\n[regions.zones]\nsouth = []\n".into(),
            "the region `south` has no zone",
        ),
        (
            "[regions]\nhome = \"south\"\nnodes = 2\n[regions.zones]\nsouth = [\"a\"]\nnorth = [\"a\"]\neast = [\"b\"]\n"
                .into(),
            "the zone `a` is in the region `south` already",
        ),
        (
            "[regions]\nhome = \"south\"\nnodes = 2\n[regions.zones]\nsouth = [\"a\", \"x\"]\n".into(),
            "[regions.zones] `south` has the zone `x`, which the settings do not have",
        ),
    ] {
        let lines = startup_errors(&operator);
        assert!(lines.len() == 1 && lines[0].contains(expected), "{operator}: {lines:?}");
    }
}
