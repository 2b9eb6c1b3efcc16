//! Real nodes in two regions, each before the cache servers of its own. The judge is what the emulated servers saw.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::process::Command;
use std::sync::mpsc::{Receiver, Sender};

use crate::harness::*;
use crate::no_origin;

const READS: usize = 120;

/// A server of the list in a zone.
fn in_zone(name: &str, address: SocketAddr, zone: &str, status: &str) -> String {
    let kind = if name.starts_with('o') { "origin" } else { "std" };
    entry(name, address, kind, status).replace(r#""zone":"a""#, &format!(r#""zone":"{zone}""#))
}

/// An operator file with a region of two zones and one of one.
fn operator_file(home: &str, nodes: u32) -> std::path::PathBuf {
    write_operator_file(&format!(
        "[regions]\nhome = \"{home}\"\nnodes = {nodes}\nleast = 1\n\
         [regions.zones]\nsouth = [\"a\", \"b\"]\nnorth = [\"c\"]\n"
    ))
}

fn write_operator_file(text: &str) -> std::path::PathBuf {
    let path = folder().join("operator.toml");
    std::fs::write(&path, text).unwrap();
    path
}

fn settings_of(me: usize, zones: &str) -> String {
    let me = format!(r#""balancers":3,"me":{me}"#);
    let zones = format!(r#""zones":[{zones}]"#);
    // What is asked here one after the other is within the quota on the quickest machine.
    let quota = (r#""quotaPerS":1000.0"#, r#""quotaPerS":1000000.0"#);
    // A connection that ends was not merely idle for long.
    let idle = (r#""idleCloseUs":15000000"#, r#""idleCloseUs":600000000"#);
    let settings = settings().replace(r#""balancers":1,"me":0"#, &me).replace(r#""zones":["a"]"#, &zones);
    settings.replace(quota.0, quota.1).replace(idle.0, idle.1)
}

const ZONES: &str = r#""a","b","c""#;

/// A node with its own discovery, and a client that asks it.
struct Member {
    name: &'static str,
    node: Node,
    client: Client,
    say: Sender<Vec<u8>>,
    _calls: Receiver<String>,
    asked: usize,
}

impl Member {
    /// `operator`: the operator file, if it has one.
    fn start(name: &'static str, me: usize, known: &str, operator: Option<&std::path::Path>) -> Member {
        let (discovery, say, calls) = discovery(vec![watch_head()]);
        let text = managed(&config(discovery, known, 256, &settings_of(me, ZONES)));
        let arguments = operator.map(|file| format!("set -- --operator {};", file.display()));
        let node = Node::start_text_after(discovery, &text, &arguments.unwrap_or_default());
        let client = node.client();
        Member { name, node, client, say, _calls: calls, asked: 0 }
    }

    /// Asks so many keys of its own, and returns which cache servers have answered.
    fn read(&mut self, count: usize) -> BTreeSet<String> {
        let mut by = BTreeSet::new();
        for _ in 0..count {
            self.asked += 1;
            let id = format!("{}{}", self.name, self.asked);
            let answer = self.client.ask(&get(&format!("k{id}"), &id)).expect("an answer");
            assert!(!answer.starts_with('-'), "{} is not served: {answer}", self.name);
            by.insert(answer);
        }
        by
    }

    fn tell(&self, index: u64, snapshot: bool, entries: &[String]) {
        self.say.send(chunk(&listing(index, snapshot, entries))).unwrap();
    }

    /// Waits until a line of the log tells of something.
    fn until_logged(&self, what: &str) {
        let line = std::iter::from_fn(|| self.node.log.recv_timeout(LONG).ok()).find(|l| l.contains(what));
        assert!(line.is_some(), "{} never logs {what:?}", self.name);
    }
}

/// The cache servers of a site, each of which answers with its name.
struct Site {
    caches: BTreeMap<&'static str, (EmulatedServer, &'static str)>,
    origin: EmulatedServer,
}

impl Site {
    fn new() -> Site {
        let caches = [("s-1", "a"), ("s-2", "b"), ("n-1", "c"), ("n-2", "c")];
        let caches = caches.map(|(name, zone)| (name, (cache(move |_| Act::Say(hit(name))), zone)));
        Site { caches: caches.into(), origin: no_origin() }
    }

    fn line(&self, name: &str, status: &str) -> String {
        let (cache, zone) = &self.caches[name];
        in_zone(name, cache.address, zone, status)
    }

    fn moved(&self, name: &str, zone: &str) -> String {
        in_zone(name, self.caches[name].0.address, zone, "active")
    }

    fn list(&self) -> Vec<String> {
        let mut lines: Vec<_> = self.caches.keys().map(|name| self.line(name, "active")).collect();
        lines.push(in_zone("o-1", self.origin.address, "b", "active"));
        lines
    }

    fn known(&self) -> String {
        listing(5, true, &self.list())
    }

    /// The requests that a cache server has seen by now: which member's each was.
    fn seen(&self, name: &str) -> Vec<(u32, String)> {
        let seen = self.caches[name].0.seen.try_iter().filter(|seen| !seen.words.is_empty());
        seen.map(|seen| (seen.conn, member_of(&seen.words))).collect()
    }

    /// Whose requests a cache server has seen, and that it had no other connection. Only once the nodes have ended.
    fn heard_from(&self, name: &str) -> BTreeSet<String> {
        let cache = &self.caches[name].0;
        let mut last = Client::connect(cache.address);
        assert_eq!(last.ask(&get("last", "last")).as_deref(), Some("*3"));
        let mut members = BTreeSet::new();
        let mut used = BTreeSet::new();
        loop {
            let seen = cache.next();
            if seen.words[2] == "last" {
                assert_eq!(used, (0..seen.conn).collect(), "{name}: each connection has brought requests");
                return members;
            }
            used.insert(seen.conn);
            members.insert(member_of(&seen.words));
        }
    }
}

/// The member whose request this is: its id without the number.
fn member_of(words: &[String]) -> String {
    words[2].trim_end_matches(|c: char| c.is_ascii_digit()).to_owned()
}

fn names<const N: usize>(names: [&str; N]) -> BTreeSet<String> {
    names.map(String::from).into()
}

/// Two nodes in the south and one in the north.
fn members(site: &Site, regions: bool) -> Vec<Member> {
    let known = site.known();
    let nodes = [("west", "south", 2), ("east", "south", 2), ("far", "north", 1)];
    let nodes = nodes.into_iter().enumerate().map(|(me, (name, home, count))| {
        let operator = regions.then(|| operator_file(home, count));
        Member::start(name, me, &known, operator.as_deref())
    });
    nodes.collect()
}

#[test]
fn each_cache_server_hears_only_from_the_nodes_of_its_region() {
    let site = Site::new();
    let mut members = members(&site, true);
    for member in &mut members {
        member.read(READS);
    }
    drop(members);
    for (name, from) in [("s-1", names(["east", "west"])), ("s-2", names(["east", "west"]))] {
        assert_eq!(site.heard_from(name), from, "{name}");
    }
    for name in ["n-1", "n-2"] {
        assert_eq!(site.heard_from(name), names(["far"]), "{name}");
    }
}

#[test]
fn without_the_section_each_cache_server_hears_from_all_nodes() {
    let site = Site::new();
    let mut members = members(&site, false);
    for member in &mut members {
        member.read(READS);
    }
    let (status, figures) = members[0].node.call("GET", "/metrics");
    assert!(status == 200 && !figures.contains("regions"), "{figures}");
    drop(members);
    for name in ["s-1", "s-2", "n-1", "n-2"] {
        assert_eq!(site.heard_from(name), names(["east", "far", "west"]), "{name}");
    }
}

#[test]
fn nodes_of_a_lost_region_are_served_by_another_and_return() {
    let site = Site::new();
    let mut members = members(&site, true);
    for member in &mut members {
        member.read(READS);
    }
    for member in &mut members[..2] {
        assert_eq!(member.node.figure("regions.regions_in_use"), 1);
        member.tell(6, false, &[site.line("s-1", "left")]);
        member.tell(7, false, &[site.line("s-2", "leaving")]);
        member.until_logged("south has 0 usable cache servers, too few");
        assert_eq!(member.read(READS), names(["n-1", "n-2"]), "{}", member.name);
        assert_eq!(member.node.figure("regions.regions_in_use"), 2);
        assert_eq!(member.node.figure("regions.fallbacks"), 1);
    }
    for member in &mut members[..2] {
        member.tell(8, false, &[site.line("s-2", "active"), site.line("s-1", "active")]);
        member.until_logged("south has 2 usable cache servers: no other region is used");
    }
    for name in ["n-1", "n-2"] {
        // The idle connections of either node.
        (0..2).for_each(|_| site.caches[name].0.ended());
        site.seen(name);
    }
    for member in &mut members {
        member.read(READS);
    }
    for name in ["n-1", "n-2"] {
        let from: BTreeSet<_> = site.seen(name).into_iter().map(|(_, member)| member).collect();
        assert_eq!(from, names(["far"]), "{name} gets nothing new from the south");
    }
    assert_eq!(members[0].read(READS), names(["s-1", "s-2"]));
}

#[test]
fn what_a_server_still_works_on_when_the_node_returns_is_answered_and_its_connection_closed() {
    let site = Site::new();
    let held = Latch::default();
    let (wait, slow) = (held.clone(), "n-3");
    let north = cache(move |_| Act::SayWhen(wait.clone(), hit(slow)));
    let mut known = vec![site.line("s-1", "leaving"), in_zone(slow, north.address, "c", "active")];
    known.push(in_zone("o-1", site.origin.address, "a", "active"));
    let operator = operator_file("south", 2);
    let mut member = Member::start("west", 0, &listing(5, true, &known), Some(&operator));
    member.client.send(&get("kk", "west1"));
    let seen = north.next();
    member.tell(6, false, &[site.line("s-2", "active")]);
    member.until_logged("south has 1 usable cache server: no other region is used");
    held.open();
    assert_eq!(member.client.answer().as_deref(), Some(slow));
    north.ended();
    assert_eq!(seen.conn, 0);
    assert_eq!(member.read(READS), names(["s-2"]));
}

#[test]
fn a_drain_told_while_a_server_is_outside_the_subset_holds_in_a_fallback() {
    let site = Site::new();
    let operator = operator_file("south", 2);
    let mut member = Member::start("west", 0, &site.known(), Some(&operator));
    member.tell(6, false, &[site.line("n-1", "leaving")]);
    assert_eq!(member.read(READS), names(["s-1", "s-2"]));
    // Nor does a whole list that was written before the drain was told undo it, whether it comes while the server is
    // outside ...
    member.tell(4, true, &site.list());
    member.tell(7, false, &[site.line("s-1", "left"), site.line("s-2", "left")]);
    member.until_logged("south has 0 usable cache servers, too few");
    assert_eq!(member.read(READS), names(["n-2"]));
    // ... or inside.
    let before = [site.line("n-1", "active"), site.line("n-2", "active")];
    member.tell(4, true, &before);
    member.tell(9, false, &[site.line("s-1", "active"), site.line("s-2", "left")]);
    member.node.until("regions.usable", 2);
    assert!(!member.read(READS).contains("n-1"));
    drop(member);
    assert_eq!(site.heard_from("n-1"), BTreeSet::new(), "it never heard from the node");
}

#[test]
fn a_server_that_moves_to_another_region_is_not_moved_back_by_a_whole_list_from_before() {
    let site = Site::new();
    let operator = operator_file("south", 2);
    let mut member = Member::start("west", 0, &site.known(), Some(&operator));
    assert_eq!(member.read(READS), names(["s-1", "s-2"]));
    member.tell(6, false, &[site.moved("s-2", "c")]);
    member.node.until("regions.usable", 1);
    assert_eq!(member.read(READS), names(["s-1"]));
    member.tell(4, true, &site.list());
    member.tell(7, false, &[site.moved("n-1", "b")]);
    member.node.until("regions.usable", 2);
    assert_eq!(member.read(READS), names(["s-1", "n-1"]), "s-2 stays where it is");
    let newer = [site.line("s-2", "active"), site.line("n-1", "active"), site.line("n-2", "active")];
    member.tell(8, true, &newer);
    member.node.until("regions.usable", 1);
    assert_eq!(member.read(READS), names(["s-2"]), "a whole list that is newer holds");
}

#[test]
fn other_settings_with_zones_in_another_order_leave_the_subset_as_it_is() {
    let site = Site::new();
    let operator = operator_file("south", 2);
    let mut member = Member::start("west", 0, &site.known(), Some(&operator));
    assert_eq!(member.read(READS), names(["s-1", "s-2"]));
    let zones = format!(r#""zones":[{ZONES}]"#);
    let text = member.node.text.replace(&zones, r#""zones":["c","b","d","a"]"#);
    member.node.reload(Err(&text));
    member.node.until("reloads_ok", 1);
    assert_eq!(member.read(READS), names(["s-1", "s-2"]));
}

/// What a node that can't be started says, a line for each fault.
fn refused(operator: &str) -> Vec<String> {
    let file = config_file(&config(([127, 0, 0, 1], 9).into(), "null", 64, &settings_of(0, ZONES)));
    let operator = write_operator_file(operator);
    // One that starts all the same ends by the limit, with another status.
    let said = Command::new("timeout")
        .arg(LONG.as_secs().to_string())
        .arg(env!("CARGO_BIN_EXE_stonevane-node"))
        .arg("--operator")
        .arg(&operator)
        .env("ROUTER_CONFIG", &file)
        .env_remove("ROUTER_LISTEN")
        .env_remove("ROUTER_DISCOVERY")
        .output()
        .unwrap();
    let _ = std::fs::remove_file(file);
    assert_eq!(said.status.code(), Some(2), "{said:?}");
    String::from_utf8(said.stderr).unwrap().lines().map(str::to_owned).collect()
}

#[test]
fn regions_that_can_not_be_are_told_in_one_line_each_with_exit_2() {
    let zones = "[regions.zones]\nsouth = [\"a\", \"b\"]\nnorth = [\"c\"]\n";
    let section = |head: &str| format!("[regions]\n{head}\n{zones}");
    for (operator, says) in [
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
        let lines = refused(&operator);
        assert!(lines.len() == 1 && lines[0].contains(says), "{operator}: {lines:?}");
    }
}
