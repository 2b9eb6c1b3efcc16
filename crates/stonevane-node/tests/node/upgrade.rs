//! Upgrades: files that processes of two versions share keep their names and their format.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use crate::harness::*;
use crate::{cache_and_origin, failing_origin, quiet_discovery};

/// An emulated process of the released version of the node: the files that it writes, and the lock that it
/// holds.
struct ReleasedProcess {
    status: PathBuf,
    lock_path: PathBuf,
    lock: File,
}

impl ReleasedProcess {
    fn start(tmpdir: &Path, name: &str, status_line: &str) -> ReleasedProcess {
        let folder = tmpdir.join("spardeal-beside");
        std::fs::create_dir_all(&folder).unwrap();
        let lock_path = folder.join(format!("{name}.lock"));
        let lock = File::create(&lock_path).unwrap();
        lock.try_lock().unwrap();
        let process = ReleasedProcess { status: folder.join(name), lock_path, lock };
        process.write_status(status_line);
        process
    }

    /// Replaces the status file atomically, as the released version does.
    fn write_status(&self, line: &str) {
        let fresh = self.status.with_extension("new");
        std::fs::write(&fresh, line).unwrap();
        std::fs::rename(&fresh, &self.status).unwrap();
    }

    /// Emulates a killed process: the kernel releases its lock, its files stay.
    fn kill(self) -> [PathBuf; 2] {
        drop(self.lock);
        [self.status, self.lock_path]
    }
}

/// Name and content of the status file of a process, which the released version reads. Its lock file has the
/// same name with `.lock` appended.
fn published(tmpdir: &Path, process: u32) -> Option<(String, String)> {
    let suffix = format!("-{process}");
    let entries = std::fs::read_dir(tmpdir.join("spardeal-beside")).ok()?;
    let mut files = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    let name = files.find(|file| file.ends_with(&suffix))?;
    let line = std::fs::read_to_string(tmpdir.join("spardeal-beside").join(&name)).ok()?;
    Some((name, line))
}

/// The number of connections in a status line `1 STAGE CONNECTIONS MEMORY IN_FLIGHT\n`; `None` in another
/// stage.
fn connections(line: &str, stage: &str) -> Option<u64> {
    let numbers = line.strip_prefix("1 ")?.strip_prefix(stage)?.strip_prefix(' ')?.strip_suffix('\n')?;
    let numbers: Vec<u64> = numbers.split(' ').map(|number| number.parse().ok()).collect::<Option<_>>()?;
    let [connections, _memory, _in_flight] = numbers[..] else { return None };
    Some(connections)
}

/// Waits until a process has published a status of this stage with a matching number of connections, and
/// returns this number.
fn wait_until_published(tmpdir: &Path, node: &Node, stage: &str, matches: impl Fn(u64) -> bool) -> u64 {
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        let last = published(tmpdir, node.pid());
        let found = last.as_ref().and_then(|(_, line)| connections(line, stage));
        if let Some(found) = found.filter(|connections| matches(*connections)) {
            return found;
        }
        assert!(Instant::now() < end, "the last published status is {last:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Starts a process that inherits the clients' socket.
fn start_successor(listener: &TcpListener, discovery: SocketAddr, known: &str, tmpdir: &Path) -> Node {
    let shell_prefix = "exec 4<&0 </dev/null; ROUTER_LISTEN_FD=4";
    let socket = OwnedFd::from(listener.try_clone().unwrap());
    Node::start_with_mgmt_and_command(discovery, known, tmpdir, shell_prefix, |command| {
        command.stdin(Stdio::from(socket));
    })
}

fn wait_until_logged(node: &Node, line: &str) {
    let line = format!("stonevane-node: {line}");
    let logged = std::iter::from_fn(|| node.log.recv_timeout(TEST_TIMEOUT).ok()).any(|logged| logged == line);
    assert!(logged, "no log line {line:?}");
}

#[test]
fn a_released_process_hands_over_to_a_new_one_through_the_released_file_format() {
    let cache = cache(|_| Action::Respond(hit("value")));
    let (origin, (discovery, _updates, _calls)) = (failing_origin(), quiet_discovery());
    let (known, tmpdir) = (cache_and_origin(cache.address, origin.address), temp_folder());
    let released = ReleasedProcess::start(&tmpdir, "00000000000000000001-1", "1 serving 150 1000000 3\n");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut node = start_successor(&listener, discovery, &known, &tmpdir);
    wait_until_logged(&node, "another process of this node stands beside");
    assert_eq!(node.mgmt_call("GET", "/ready").0, 200);
    let beside = wait_until_published(&tmpdir, &node, "serving", |connections| connections > 0);
    let (name, _) = published(&tmpdir, node.pid()).unwrap();
    let (since, process) = name.split_once('-').unwrap();
    assert!(since.len() == 20 && since.bytes().all(|digit| digit.is_ascii_digit()), "{name}");
    assert_eq!(process, node.pid().to_string());
    assert!(tmpdir.join("spardeal-beside").join(format!("{name}.lock")).exists());

    // The new process takes over the capacity that the released process gives up: 130 connections.
    released.write_status("1 draining 20 1000 1\n");
    let draining = wait_until_published(&tmpdir, &node, "serving", |connections| connections > beside);
    assert_eq!(draining - beside, 130);
    let files = released.kill();
    wait_until_logged(&node, "this process is alone");
    wait_until_published(&tmpdir, &node, "serving", |connections| connections > draining);
    assert!(!files.iter().any(|file| file.exists()), "the files of a dead process are removed");
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
    assert_eq!(published(&tmpdir, node.pid()), None, "a process removes its files when it ends");
}

#[test]
fn a_new_process_hands_over_to_a_released_one_through_the_released_file_format() {
    let latch = Latch::default();
    let held = latch.clone();
    let cache = cache(move |_| Action::RespondWhenOpen(held.clone(), hit("value")));
    let (origin, (discovery, _updates, _calls)) = (failing_origin(), quiet_discovery());
    let (known, tmpdir) = (cache_and_origin(cache.address, origin.address), temp_folder());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut node = start_successor(&listener, discovery, &known, &tmpdir);
    assert_eq!(node.mgmt_call("GET", "/ready").0, 200);
    let alone = wait_until_published(&tmpdir, &node, "serving", |connections| connections > 0);

    let released = ReleasedProcess::start(&tmpdir, "09000000000000000000-7", "1 starting 0 0 0\n");
    wait_until_logged(&node, "another process of this node stands beside");
    let beside = wait_until_published(&tmpdir, &node, "serving", |connections| connections < alone);
    assert!(beside > 0);
    released.write_status("1 serving 20 1000000 0\n");
    // A request in flight keeps the process from exiting.
    let mut client = Client::connect(listener.local_addr().unwrap());
    client.send(&get("aa", "1"));
    node.wait_for_metric("in_flight", 1);
    node.terminate();
    wait_until_published(&tmpdir, &node, "draining", |_| true);
    wait_until_not_accepting(&listener);
    latch.open();
    assert!(client.read_response().is_some(), "a request accepted before is answered");
    assert_eq!(node.wait().code(), Some(0));
    assert_eq!(published(&tmpdir, node.pid()), None, "a process removes its files when it ends");
    assert!(released.status.exists() && released.lock_path.exists(), "the files of a living process stay");
}

/// Waits until the node stops accepting: a new connection stays in the queue of the shared socket, and this
/// process can accept it.
fn wait_until_not_accepting(listener: &TcpListener) {
    // The node shares this socket, so the socket becomes non-blocking in the node too.
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        let _client = Client::connect(address);
        std::thread::sleep(Duration::from_millis(50));
        if listener.accept().is_ok() {
            return;
        }
        assert!(Instant::now() < end, "the node still accepts");
    }
}

#[test]
fn exclusions_of_the_released_version_are_kept_and_written_in_the_same_form() {
    let cache = cache(|_| Action::Respond(hit("value")));
    let (origin, (discovery, _updates, _calls)) = (failing_origin(), quiet_discovery());
    let (known, tmpdir) = (cache_and_origin(cache.address, origin.address), temp_folder());
    let excluded = tmpdir.join("spardeal-excluded");
    std::fs::create_dir_all(&excluded).unwrap();
    // The file by which the released version excludes the server `s-1`.
    std::fs::write(excluded.join("732d31"), "").unwrap();
    let node = Node::start_with_mgmt(discovery, &known, &tmpdir);
    node.wait_for_metric("cache_servers_excluded", 1);
    assert_eq!(node.mgmt_call("PUT", "/cache-servers/enable/s-1").0, 200);
    node.wait_for_metric("cache_servers_excluded", 0);
    assert!(!excluded.join("732d31").exists());
    assert_eq!(node.mgmt_call("PUT", "/cache-servers/disable/s-1").0, 200);
    node.wait_for_metric("cache_servers_excluded", 1);
    assert_eq!(std::fs::read(excluded.join("732d31")).unwrap(), b"");
}
