//! A process of the daemon, its configuration file and its management address.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use super::{Client, TEST_TIMEOUT};

/// A node under test; killed when dropped.
pub struct Node {
    child: Child,
    pub address: SocketAddr,
    pub mgmt: Option<SocketAddr>,
    pub log: Receiver<String>,
    config_path: PathBuf,
    pub config_text: String,
    discovery: SocketAddr,
}

/// A configuration whose initial server list is `known` and whose limit of sockets is `sockets`.
pub fn config(discovery: SocketAddr, known: &str, sockets: usize, settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"0a","limits":{{"sockets":{sockets},"memory_mb":16}},"known":{known},"settings":{settings}}}"#
    )
}

/// Operator file that disables the startup limit, under which a node that has just started may send little.
pub const NO_STARTUP_LIMIT: &str = "version = 1\n[start]\nramp = false\n";

/// Adds a management address to a configuration.
pub fn with_mgmt_address(text: &str) -> String {
    text.replacen('{', r#"{"mgmt":"127.0.0.1:0","#, 1)
}

/// Creates an empty folder that no other test uses.
pub fn temp_folder() -> PathBuf {
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("stonevane-node-test-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

static NEXT_FILE_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Writes a text to a new file that no other node uses.
pub fn config_file(text: &str) -> PathBuf {
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
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
        Node::start_with_shell_prefix(discovery, known, 256, "")
    }

    /// Starts a node after a shell command, such as one that sets a limit.
    pub fn start_with_shell_prefix(
        discovery: SocketAddr,
        known: &str,
        sockets: usize,
        shell_prefix: &str,
    ) -> Node {
        Node::start_with_settings(discovery, known, sockets, shell_prefix, settings())
    }

    /// Starts a node whose discovery service pushes server lists to it.
    pub fn start_with_pushed_lists(discovery: SocketAddr, known: &str) -> Node {
        let settings = settings().replace(r#""discovery":"ask""#, r#""discovery":"push""#);
        Node::start_with_settings(discovery, known, 256, "", &settings)
    }

    pub fn start_with_settings(
        discovery: SocketAddr,
        known: &str,
        sockets: usize,
        shell_prefix: &str,
        settings: &str,
    ) -> Node {
        Node::launch(&config(discovery, known, sockets, settings), discovery, shell_prefix, |_| {})
    }

    /// Starts a node with other settings and an operator file.
    pub fn start_with_operator_file(
        discovery: SocketAddr,
        known: &str,
        settings: &str,
        operator: &str,
    ) -> Node {
        let text = config(discovery, known, 256, settings);
        Node::start_with_config_and_operator_file(discovery, &text, operator)
    }

    /// Starts a node with any configuration and an operator file.
    pub fn start_with_config_and_operator_file(discovery: SocketAddr, text: &str, operator: &str) -> Node {
        let path = temp_folder().join("operator.toml");
        std::fs::write(&path, operator).unwrap();
        Node::launch(text, discovery, "", |command| {
            command.arg("sh").arg("--operator").arg(path);
        })
    }

    /// Starts a node with any configuration.
    pub fn start_with_config(discovery: SocketAddr, text: &str) -> Node {
        Node::launch(text, discovery, "", |_| {})
    }

    /// Starts a node with any configuration after a shell command, such as one that sets its arguments.
    pub fn start_with_config_and_shell_prefix(discovery: SocketAddr, text: &str, shell_prefix: &str) -> Node {
        Node::launch(text, discovery, shell_prefix, |_| {})
    }

    /// Starts a node with a management address, and with a `TMPDIR` that may outlive it.
    pub fn start_with_mgmt(discovery: SocketAddr, known: &str, folder: &Path) -> Node {
        Node::start_with_mgmt_and_command(discovery, known, folder, "", |_| {})
    }

    /// Like [`Self::start_with_mgmt`], after a shell command and with a changed process command.
    pub fn start_with_mgmt_and_command(
        discovery: SocketAddr,
        known: &str,
        folder: &Path,
        shell_prefix: &str,
        change: impl FnOnce(&mut Command),
    ) -> Node {
        Node::launch(
            &with_mgmt_address(&config(discovery, known, 256, settings())),
            discovery,
            shell_prefix,
            |command| {
                command.env("TMPDIR", folder);
                change(command);
            },
        )
    }

    /// Starts a node with a management address and other settings.
    pub fn start_with_mgmt_and_settings(discovery: SocketAddr, known: &str, settings: &str) -> Node {
        Node::launch(&with_mgmt_address(&config(discovery, known, 256, settings)), discovery, "", |_| {})
    }

    fn launch(
        text: &str,
        discovery: SocketAddr,
        shell_prefix: &str,
        change: impl FnOnce(&mut Command),
    ) -> Node {
        let path = config_file(text);
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(format!("{shell_prefix} exec \"{}\" \"$@\"", env!("CARGO_BIN_EXE_stonevane-node")))
            .env("ROUTER_CONFIG", &path)
            .env_remove("ROUTER_LISTEN")
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .stderr(Stdio::piped());
        change(&mut command);
        let mut child = command.spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
        let mut logged_address = |name: &str| {
            let line = lines.next().unwrap_or_else(|| panic!("no log line with {name}"));
            line.rsplit(' ').next().and_then(|a| a.parse().ok()).unwrap_or_else(|| panic!("{line}"))
        };
        let address = logged_address("the clients' address");
        let mgmt = text.contains("\"mgmt\"").then(|| logged_address("the management address"));
        let (log_sender, log) = channel();
        std::thread::spawn(move || lines.for_each(|line| drop(log_sender.send(line))));
        Node { child, address, mgmt, log, config_path: path, config_text: text.into(), discovery }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Calls the management address and returns the status and body of the response.
    pub fn mgmt_call(&self, method: &str, path: &str) -> (u16, String) {
        self.mgmt_call_raw(format!("{method} {path} HTTP/1.1\r\nHost: n0\r\n\r\n").as_bytes())
    }

    /// Sends these bytes to the management address and returns the status and body of the response.
    pub fn mgmt_call_raw(&self, bytes: &[u8]) -> (u16, String) {
        let mut stream = TcpStream::connect(self.mgmt.expect("a management address")).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.write_all(bytes).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        (status, text.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.into()))
    }

    /// The value of a metric, named by its path in `/metrics`, such as `served.read`.
    pub fn metric(&self, name: &str) -> u64 {
        let (status, body) = self.mgmt_call("GET", "/metrics");
        assert_eq!(status, 200, "{body}");
        let value: serde_json::Value = serde_json::from_str(&body).unwrap();
        let found = name.split('.').try_fold(&value, |value, part| value.get(part));
        found.and_then(serde_json::Value::as_u64).unwrap_or_else(|| panic!("no {name} in {body}"))
    }

    /// Waits until a metric is more than 0.
    pub fn wait_until_nonzero(&self, name: &str) {
        let end = std::time::Instant::now() + TEST_TIMEOUT;
        while self.metric(name) == 0 {
            assert!(std::time::Instant::now() < end, "{name} stays 0");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until a metric has the expected value.
    pub fn wait_for_metric(&self, name: &str, expected: u64) {
        let end = std::time::Instant::now() + TEST_TIMEOUT;
        while self.metric(name) != expected {
            assert!(std::time::Instant::now() < end, "{name} is {}, not {expected}", self.metric(name));
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Replaces the discovery address in the configuration (`Ok`) or the whole file (`Err`), and sends
    /// SIGHUP.
    pub fn reload(&self, change: Result<SocketAddr, &str>) {
        let text = match change {
            Ok(address) => self.config_text.replace(&self.discovery.to_string(), &address.to_string()),
            Err(text) => text.into(),
        };
        std::fs::write(&self.config_path, text).unwrap();
        self.send_signal("HUP");
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Resident memory of the process, in KiB.
    pub fn resident_kib(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    pub fn terminate(&self) {
        self.send_signal("TERM");
    }

    /// Sends SIGSTOP and waits until the process is stopped; SIGCONT resumes it.
    pub fn pause(&self) {
        self.send_signal("STOP");
        let stopped = || {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
            stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
        };
        let end = std::time::Instant::now() + TEST_TIMEOUT;
        while !stopped() {
            assert!(std::time::Instant::now() < end, "the process does not stop");
            std::thread::yield_now();
        }
    }

    pub fn send_signal(&self, signal: &str) {
        let command = format!("kill -{signal} {}", self.child.id());
        assert!(Command::new("/bin/sh").arg("-c").arg(command).status().unwrap().success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}
