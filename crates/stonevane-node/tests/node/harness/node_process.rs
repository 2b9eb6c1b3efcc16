//! A process of the daemon, its configuration and its management address.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use super::{Client, LONG};

/// A node under test; killed when dropped.
pub struct Node {
    child: Child,
    pub address: SocketAddr,
    pub mgmt: Option<SocketAddr>,
    pub log: Receiver<String>,
    path: PathBuf,
    pub text: String,
    discovery: SocketAddr,
}

/// A configuration.
pub fn config(discovery: SocketAddr, known: &str, sockets: usize, settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"0a","limits":{{"sockets":{sockets},"memory_mb":16}},"known":{known},"settings":{settings}}}"#
    )
}

/// The same with a second address.
pub fn managed(text: &str) -> String {
    text.replacen('{', r#"{"mgmt":"127.0.0.1:0","#, 1)
}

/// An empty folder of its own.
pub fn folder() -> PathBuf {
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("stonevane-node-test-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

static FILES: AtomicU32 = AtomicU32::new(0);

/// Writes a file of its own for each node.
pub fn config_file(text: &str) -> PathBuf {
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let name = format!("stonevane-node-test-{}-{number}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    path
}

pub fn settings() -> &'static str {
    r#"{"balancers":1,"me":0,"zone":0,"zones":["a"],"machineTypes":["std","origin"],"discovery":"ask",
    "classes":[{"name":"read","goalTimeUs":250000,"deadlineUs":8000000,"effect":"pure","lateValue":0.5,"gain":1.0},
      {"name":"put","goalTimeUs":250000,"deadlineUs":8000000,"effect":"side_effect","lateValue":0.5,"gain":1.0}],
    "realms":[{"name":"acme","quotaPerS":1000.0}],"specifics":{"mode":"aside","originKind":1},
    "limits":{"maxAttempts":4,"mayCancel":true,"mayDuplicate":false,"connectTimeoutUs":2000000,"idleCloseUs":15000000},
    "guarantees":{"askWithinUs":1000000,"drainGraceUs":500000},"periodUs":2000}"#
}

impl Node {
    pub fn start(discovery: SocketAddr, known: &str) -> Node {
        Node::start_with(discovery, known, 256, "")
    }

    /// Starts a node behind a shell command, such as a limit.
    pub fn start_with(discovery: SocketAddr, known: &str, sockets: usize, before: &str) -> Node {
        Node::start_in(discovery, known, sockets, before, settings())
    }

    /// Starts a node where lists are pushed.
    pub fn start_pushed(discovery: SocketAddr, known: &str) -> Node {
        let settings = settings().replace(r#""discovery":"ask""#, r#""discovery":"push""#);
        Node::start_in(discovery, known, 256, "", &settings)
    }

    pub fn start_in(
        discovery: SocketAddr,
        known: &str,
        sockets: usize,
        before: &str,
        settings: &str,
    ) -> Node {
        Node::launch(&config(discovery, known, sockets, settings), discovery, before, |_| {})
    }

    /// Starts a node with other settings and an operator file.
    pub fn start_with_operator(discovery: SocketAddr, known: &str, settings: &str, operator: &str) -> Node {
        let text = config(discovery, known, 256, settings);
        Node::start_text_with_operator(discovery, &text, operator)
    }

    /// Starts a node with any configuration and an operator file.
    pub fn start_text_with_operator(discovery: SocketAddr, text: &str, operator: &str) -> Node {
        let path = folder().join("operator.toml");
        std::fs::write(&path, operator).unwrap();
        Node::launch(text, discovery, "", |command| {
            command.arg("sh").arg("--operator").arg(path);
        })
    }

    /// Starts a node with any configuration.
    pub fn start_text(discovery: SocketAddr, text: &str) -> Node {
        Node::launch(text, discovery, "", |_| {})
    }

    /// Starts a node with any configuration behind a shell command, such as one that gives it arguments.
    pub fn start_text_after(discovery: SocketAddr, text: &str, before: &str) -> Node {
        Node::launch(text, discovery, before, |_| {})
    }

    /// Starts a node with a second address, and a folder that may outlive it.
    pub fn start_managed(discovery: SocketAddr, known: &str, folder: &Path) -> Node {
        Node::start_managed_with(discovery, known, folder, "", |_| {})
    }

    /// The same behind a shell command, and with other changes.
    pub fn start_managed_with(
        discovery: SocketAddr,
        known: &str,
        folder: &Path,
        before: &str,
        change: impl FnOnce(&mut Command),
    ) -> Node {
        Node::launch(&managed(&config(discovery, known, 256, settings())), discovery, before, |command| {
            command.env("TMPDIR", folder);
            change(command);
        })
    }

    /// Starts a node with a second address and other settings.
    pub fn start_managed_with_settings(discovery: SocketAddr, known: &str, settings: &str) -> Node {
        Node::launch(&managed(&config(discovery, known, 256, settings)), discovery, "", |_| {})
    }

    fn launch(text: &str, discovery: SocketAddr, before: &str, change: impl FnOnce(&mut Command)) -> Node {
        let path = config_file(text);
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(format!("{before} exec \"{}\" \"$@\"", env!("CARGO_BIN_EXE_stonevane-node")))
            .env("ROUTER_CONFIG", &path)
            .env_remove("ROUTER_LISTEN")
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .stderr(Stdio::piped());
        change(&mut command);
        let mut child = command.spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
        let mut place = |what: &str| {
            let line = lines.next().unwrap_or_else(|| panic!("no line that tells {what}"));
            line.rsplit(' ').next().and_then(|a| a.parse().ok()).unwrap_or_else(|| panic!("{line}"))
        };
        let address = place("where it listens");
        let mgmt = text.contains("\"mgmt\"").then(|| place("the second address"));
        let (tell, log) = channel();
        std::thread::spawn(move || lines.for_each(|line| drop(tell.send(line))));
        Node { child, address, mgmt, log, path, text: text.into(), discovery }
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// A call on the second address: its status and body.
    pub fn call(&self, method: &str, path: &str) -> (u16, String) {
        self.call_with(format!("{method} {path} HTTP/1.1\r\nHost: n0\r\n\r\n").as_bytes())
    }

    pub fn call_with(&self, bytes: &[u8]) -> (u16, String) {
        let mut stream = TcpStream::connect(self.mgmt.expect("a second address")).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.write_all(bytes).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        (status, text.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.into()))
    }

    /// One of the figures, or one of a class: `served.read`.
    pub fn figure(&self, name: &str) -> u64 {
        let (status, body) = self.call("GET", "/metrics");
        assert_eq!(status, 200, "{body}");
        let value: serde_json::Value = serde_json::from_str(&body).unwrap();
        let found = name.split('.').try_fold(&value, |value, part| value.get(part));
        found.and_then(serde_json::Value::as_u64).unwrap_or_else(|| panic!("no {name} in {body}"))
    }

    /// Waits until a figure is more than 0.
    pub fn until_some(&self, name: &str) {
        let end = std::time::Instant::now() + LONG;
        while self.figure(name) == 0 {
            assert!(std::time::Instant::now() < end, "{name} stays 0");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until a figure has a value.
    pub fn until(&self, name: &str, is: u64) {
        let end = std::time::Instant::now() + LONG;
        while self.figure(name) != is {
            assert!(std::time::Instant::now() < end, "{name} is {}, not {is}", self.figure(name));
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Replaces the configuration by one that names another discovery, or by any text, and sends SIGHUP.
    pub fn reload(&self, with: Result<SocketAddr, &str>) {
        let text = match with {
            Ok(address) => self.text.replace(&self.discovery.to_string(), &address.to_string()),
            Err(text) => text.into(),
        };
        std::fs::write(&self.path, text).unwrap();
        self.kill("HUP");
    }

    /// Connects a client.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// The memory that it holds, in KiB.
    pub fn resident_kib(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    pub fn terminate(&self) {
        self.kill("TERM");
    }

    /// Stops it, until SIGCONT.
    pub fn stop(&self) {
        self.kill("STOP");
        let stands = || {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
            stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
        };
        let end = std::time::Instant::now() + LONG;
        while !stands() {
            assert!(std::time::Instant::now() < end, "it does not stop");
            std::thread::yield_now();
        }
    }

    pub fn kill(&self, signal: &str) {
        let kill = format!("kill -{signal} {}", self.child.id());
        assert!(Command::new("/bin/sh").arg("-c").arg(kill).status().unwrap().success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}
