//! The node with the store of record in the origin's place, over real sockets.
#![allow(missing_docs)]

#[allow(dead_code, unused_imports)]
#[path = "node/stand_in.rs"]
mod stand_in;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use stand_in::*;
use stonevane_store::sqlite::Options;
use stonevane_store::{Edit, Sqlite};

/// A folder that goes when its test ends.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static FOLDERS: AtomicU32 = AtomicU32::new(0);
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("stonevane-node-store-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn file(&self) -> PathBuf {
        self.0.join("zones.db")
    }

    /// What the shell does before it starts a node with this store.
    fn operator(&self, more: &str) -> String {
        let path = self.0.join("operator.toml");
        std::fs::write(&path, format!("[store]\nsqlite = \"{}\"\n{more}", self.file().display())).unwrap();
        format!("set -- --operator {};", path.display())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A list with one cache, and an origin at an address where nobody listens.
fn list(cache: SocketAddr) -> String {
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    listing(1, true, &[entry("s-1", cache, "std", "active"), entry("o", nobody, "origin", "active")])
}

fn hold(file: &Path, zones: &[(&str, &str)]) {
    let store = Sqlite::open(file, &Options::default()).unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    for (key, value) in zones {
        let edit = Edit { key: (*key).into(), value: (*value).into(), token: None, remember_ms: 0 };
        runtime.block_on(store.edit(edit)).unwrap();
    }
}

fn start(folder: &Folder, cache: SocketAddr) -> Node {
    let (discovery, ..) = discovery(vec![]);
    Node::start_with(discovery, &list(cache), 256, &folder.operator(""))
}

/// The line that a node logs of its store when it ends.
fn ended(node: &mut Node) -> String {
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
    let lines = std::iter::from_fn(|| node.log.recv_timeout(Duration::from_secs(5)).ok());
    lines.into_iter().find(|line| line.contains("store: ")).expect("a line of the store")
}

#[test]
fn a_miss_ends_in_the_file_an_edit_is_there_after_a_restart_and_a_keyed_repeat_is_given_the_first_receipt() {
    let folder = Folder::new();
    hold(&folder.file(), &[("aa", "area-1")]);
    let cache = cache(|_| Act::Say(miss()));
    let mut node = start(&folder, cache.address);
    let mut client = node.client();
    assert_eq!(client.ask(&get("aa", "1")).unwrap(), "area-1");
    assert_eq!(client.ask(&get("bb", "2")).unwrap(), "", "an area with nothing in it");
    let receipt = client.ask(&put("aa", "3", "area-2")).unwrap();
    assert_eq!(client.ask(&get("aa", "4")).unwrap(), "area-2");
    assert_eq!(client.ask(&put("aa", "5", "area-2")).unwrap(), receipt, "the same key: the first receipt");
    assert_eq!(client.ask(&put("aa", "6", "area-3")).unwrap(), "-ERR failed", "a key used for another edit");
    assert!(ended(&mut node).contains("3 queries"));
    let again = start(&folder, cache.address);
    assert_eq!(again.client().ask(&get("aa", "7")).unwrap(), "area-2");
    // Another node on the same file.
    let other = start(&folder, cache.address);
    assert_eq!(other.client().ask(&put("aa", "8", "area-2")).unwrap(), receipt, "on any node");
}

#[test]
fn misses_of_one_key_that_are_out_together_share_their_queries() {
    let folder = Folder::new();
    hold(&folder.file(), &[("aa", "area")]);
    let cache = cache(|_| Act::Say(miss()));
    let mut node = start(&folder, cache.address);
    let mut clients: Vec<_> = (0..30).map(|_| node.client()).collect();
    let mut served = 0;
    for round in 0..5 {
        for (id, client) in clients.iter_mut().enumerate() {
            client.send(&get("aa", &format!("{round}-{id}")));
        }
        for client in &mut clients {
            match client.answer().unwrap().as_str() {
                "area" => served += 1,
                // The decision module's word: a crowd at once before one cache.
                other => assert!(other.starts_with("-BUSY"), "{other}"),
            }
        }
    }
    drop(clients);
    let line = ended(&mut node);
    let numbers = line.split("store: ").nth(1).unwrap().split(|c: char| !c.is_ascii_digit());
    let numbers: Vec<u32> = numbers.filter_map(|n| n.parse().ok()).collect();
    let (queries, joined) = (numbers[0], numbers[1]);
    assert_eq!((queries + joined, numbers[2]), (served, 0), "each fetch once: {line}");
    assert!(joined > 0 && served > 30, "{line}");
}

#[test]
fn a_store_that_cannot_be_used_is_one_line_and_exit_code_2_and_is_not_touched() {
    let folder = Folder::new();
    let text = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":SETTINGS}"#;
    let config = config_file(&text.replace("SETTINGS", settings()));
    let foreign = b"these are somebody's notes".to_vec();
    std::fs::write(folder.file(), &foreign).unwrap();
    folder.operator("");
    let mut run = Command::new(env!("CARGO_BIN_EXE_spardeal-node"));
    run.arg("--operator").arg(folder.0.join("operator.toml")).env("ROUTER_CONFIG", &config);
    let done = run.env_remove("ROUTER_LISTEN").env_remove("ROUTER_DISCOVERY").output().unwrap();
    let _ = std::fs::remove_file(&config);
    let said = String::from_utf8_lossy(&done.stderr).into_owned();
    assert_eq!((done.status.code(), said.lines().count()), (Some(2), 1), "{said}");
    assert!(said.contains("zones.db") && said.contains("not a store of this program"), "{said}");
    assert_eq!(std::fs::read(folder.file()).unwrap(), foreign);
}
