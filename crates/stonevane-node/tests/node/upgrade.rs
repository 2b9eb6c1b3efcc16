//! Upgrades: files that processes of two versions share keep their names and their form.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use crate::harness::*;
use crate::{no_origin, pair, quiet};

/// Another process of the node, of the released version: the files that it writes, and the lock that it holds.
struct ReleasedProcess {
    status: PathBuf,
    lock_path: PathBuf,
    lock: File,
}

impl ReleasedProcess {
    fn start(tmpdir: &Path, name: &str, line: &str) -> ReleasedProcess {
        let folder = tmpdir.join("spardeal-beside");
        std::fs::create_dir_all(&folder).unwrap();
        let lock_path = folder.join(format!("{name}.lock"));
        let lock = File::create(&lock_path).unwrap();
        lock.try_lock().unwrap();
        let process = ReleasedProcess { status: folder.join(name), lock_path, lock };
        process.say(line);
        process
    }

    /// Replaces its status as the released version does.
    fn say(&self, line: &str) {
        let fresh = self.status.with_extension("new");
        std::fs::write(&fresh, line).unwrap();
        std::fs::rename(&fresh, &self.status).unwrap();
    }

    /// Is killed: the kernel releases its lock, its files stay.
    fn kill(self) -> [PathBuf; 2] {
        drop(self.lock);
        [self.status, self.lock_path]
    }
}

/// What the released version reads of a process: its status file, of which the lock file has the same name.
fn published(tmpdir: &Path, process: u32) -> Option<(String, String)> {
    let suffix = format!("-{process}");
    let entries = std::fs::read_dir(tmpdir.join("spardeal-beside")).ok()?;
    let mut files = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    let name = files.find(|file| file.ends_with(&suffix))?;
    let line = std::fs::read_to_string(tmpdir.join("spardeal-beside").join(&name)).ok()?;
    Some((name, line))
}

/// The places of a status line `1 STAGE PLACES MEMORY OPEN\n`.
fn places(line: &str, stage: &str) -> Option<u64> {
    let figures = line.strip_prefix("1 ")?.strip_prefix(stage)?.strip_prefix(' ')?.strip_suffix('\n')?;
    let figures: Vec<u64> = figures.split(' ').map(|figure| figure.parse().ok()).collect::<Option<_>>()?;
    let [places, _memory, _open] = figures[..] else { return None };
    Some(places)
}

/// Waits until a process has published a status of this stage whose places are as they should be.
fn until_published(tmpdir: &Path, node: &Node, stage: &str, fits: impl Fn(u64) -> bool) -> u64 {
    let end = Instant::now() + LONG;
    loop {
        let last = published(tmpdir, node.id());
        let found = last.as_ref().and_then(|(_, line)| places(line, stage));
        if let Some(found) = found.filter(|places| fits(*places)) {
            return found;
        }
        assert!(Instant::now() < end, "published {last:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Starts a process that takes the clients' socket over.
fn successor(listener: &TcpListener, discovery: SocketAddr, known: &str, tmpdir: &Path) -> Node {
    let before = "exec 4<&0 </dev/null; ROUTER_LISTEN_FD=4";
    let socket = OwnedFd::from(listener.try_clone().unwrap());
    Node::start_managed_with(discovery, known, tmpdir, before, |command| {
        command.stdin(Stdio::from(socket));
    })
}

fn until_logged(node: &Node, line: &str) {
    let line = format!("stonevane-node: {line}");
    let logged = std::iter::from_fn(|| node.log.recv_timeout(LONG).ok()).any(|logged| logged == line);
    assert!(logged, "no line {line:?}");
}

#[test]
fn a_released_process_hands_over_to_a_new_one_by_the_files_of_the_released_version() {
    let cache = cache(|_| Act::Say(hit("value")));
    let (origin, (discovery, _say, _calls)) = (no_origin(), quiet());
    let (known, tmpdir) = (pair(cache.address, origin.address), folder());
    let released = ReleasedProcess::start(&tmpdir, "00000000000000000001-1", "1 serving 150 1000000 3\n");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut node = successor(&listener, discovery, &known, &tmpdir);
    until_logged(&node, "another process of this node stands beside");
    assert_eq!(node.call("GET", "/ready").0, 200);
    let beside = until_published(&tmpdir, &node, "serving", |places| places > 0);
    let (name, _) = published(&tmpdir, node.id()).unwrap();
    let (since, process) = name.split_once('-').unwrap();
    assert!(since.len() == 20 && since.bytes().all(|digit| digit.is_ascii_digit()), "{name}");
    assert_eq!(process, node.id().to_string());
    assert!(tmpdir.join("spardeal-beside").join(format!("{name}.lock")).exists());

    // What the released process lets go of, the new one takes.
    released.say("1 draining 20 1000 1\n");
    let draining = until_published(&tmpdir, &node, "serving", |places| places > beside);
    assert_eq!(draining - beside, 130);
    let files = released.kill();
    until_logged(&node, "this process is alone");
    until_published(&tmpdir, &node, "serving", |places| places > draining);
    assert!(!files.iter().any(|file| file.exists()), "what a dead process left is removed");
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
    assert_eq!(published(&tmpdir, node.id()), None, "its files go with it");
}

#[test]
fn a_new_process_hands_over_to_a_released_one_by_the_files_of_the_released_version() {
    let latch = Latch::default();
    let held = latch.clone();
    let cache = cache(move |_| Act::SayWhen(held.clone(), hit("value")));
    let (origin, (discovery, _say, _calls)) = (no_origin(), quiet());
    let (known, tmpdir) = (pair(cache.address, origin.address), folder());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut node = successor(&listener, discovery, &known, &tmpdir);
    assert_eq!(node.call("GET", "/ready").0, 200);
    let alone = until_published(&tmpdir, &node, "serving", |places| places > 0);

    let released = ReleasedProcess::start(&tmpdir, "09000000000000000000-7", "1 starting 0 0 0\n");
    until_logged(&node, "another process of this node stands beside");
    let beside = until_published(&tmpdir, &node, "serving", |places| places < alone);
    assert!(beside > 0);
    released.say("1 serving 20 1000000 0\n");
    // A request in flight keeps the process from its end.
    let mut client = Client::connect(listener.local_addr().unwrap());
    client.send(&get("aa", "1"));
    node.until("in_flight", 1);
    node.terminate();
    until_published(&tmpdir, &node, "draining", |_| true);
    until_not_accepting(&listener);
    latch.open();
    assert!(client.answer().is_some(), "what was accepted before is answered");
    assert_eq!(node.wait().code(), Some(0));
    assert_eq!(published(&tmpdir, node.id()), None, "its files go with it");
    assert!(released.status.exists() && released.lock_path.exists(), "those of a living process stay");
}

/// Waits until a connection stays in the socket's queue, where this process accepts it in the node's place.
fn until_not_accepting(listener: &TcpListener) {
    // The node's socket is the same one, and does not block either.
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let end = Instant::now() + LONG;
    loop {
        let _client = Client::connect(address);
        std::thread::sleep(Duration::from_millis(50));
        if listener.accept().is_ok() {
            return;
        }
        assert!(Instant::now() < end, "the node goes on to accept");
    }
}

#[test]
fn an_exclusion_of_the_released_version_holds_and_is_written_alike() {
    let cache = cache(|_| Act::Say(hit("value")));
    let (origin, (discovery, _say, _calls)) = (no_origin(), quiet());
    let (known, tmpdir) = (pair(cache.address, origin.address), folder());
    let excluded = tmpdir.join("spardeal-excluded");
    std::fs::create_dir_all(&excluded).unwrap();
    // The released version's file of the server `s-1`.
    std::fs::write(excluded.join("732d31"), "").unwrap();
    let node = Node::start_managed(discovery, &known, &tmpdir);
    node.until("cache_servers_excluded", 1);
    assert_eq!(node.call("PUT", "/cache-servers/enable/s-1").0, 200);
    node.until("cache_servers_excluded", 0);
    assert!(!excluded.join("732d31").exists());
    assert_eq!(node.call("PUT", "/cache-servers/disable/s-1").0, 200);
    node.until("cache_servers_excluded", 1);
    assert_eq!(std::fs::read(excluded.join("732d31")).unwrap(), b"");
}
