//! Small stand-ins for cache servers, the origin and discovery, and the node between them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Longer than anything here takes, on the busiest machine.
pub const LONG: Duration = Duration::from_secs(20);

/// What a stand-in does with a request.
pub enum Act {
    /// Answers with these bytes.
    Say(Vec<u8>),
    /// Answers with these bytes once something comes through the channel.
    SayAfter(Receiver<()>, Vec<u8>),
    /// Answers with these bytes and ends the connection.
    SayAndClose(Vec<u8>),
    /// Answers with these bytes, and a moment later with the others.
    SayMore(Vec<u8>, Vec<u8>),
    /// Answers with these bytes once the latch is open.
    SayWhen(Latch, Vec<u8>),
    /// Answers with these bytes, and ends the connection once the latch is open.
    SayThenClose(Latch, Vec<u8>),
    /// Ends the connection.
    Close,
    /// Says nothing, and keeps the connection.
    Hang,
}

/// Holds back what waits for it until it is opened, for any number.
#[derive(Clone, Default)]
pub struct Latch(Arc<(Mutex<bool>, Condvar)>);

impl Latch {
    pub fn open(&self) {
        *self.0.0.lock().unwrap() = true;
        self.0.1.notify_all();
    }

    fn wait(&self) {
        let shut = self.0.0.lock().unwrap();
        let _ = self.0.1.wait_timeout_while(shut, LONG, |open| !*open);
    }
}

/// A request that reached a stand-in: its words, and the number of its connection; without words, the end
/// of that connection.
pub struct Seen {
    pub words: Vec<String>,
    pub conn: u32,
}

pub struct StandIn {
    pub address: SocketAddr,
    pub seen: Receiver<Seen>,
}

impl StandIn {
    /// The next request that reaches it.
    pub fn next(&self) -> Seen {
        std::iter::from_fn(|| self.seen.recv_timeout(LONG).ok())
            .find(|seen| !seen.words.is_empty())
            .expect("a request")
    }

    /// Waits until a connection has ended.
    pub fn ended(&self) {
        let end = std::iter::from_fn(|| self.seen.recv_timeout(LONG).ok()).find(|seen| seen.words.is_empty());
        assert!(end.is_some(), "no connection has ended");
    }
}

fn serve(
    read: fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>,
    act: impl FnMut(&[String]) -> Act + Send + Clone + 'static,
) -> StandIn {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, seen) = channel();
    std::thread::spawn(move || {
        for (conn, stream) in listener.incoming().flatten().enumerate() {
            let (mut act, tell) = (act.clone(), tell.clone());
            std::thread::spawn(move || {
                connection(stream, conn as u32, read, &mut act, &tell);
                let _ = tell.send(Seen { words: Vec::new(), conn: conn as u32 });
            });
        }
    });
    StandIn { address, seen }
}

fn connection(
    stream: TcpStream,
    conn: u32,
    read: fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>,
    act: &mut impl FnMut(&[String]) -> Act,
    tell: &Sender<Seen>,
) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(words) = read(&mut input) {
        let does = act(&words);
        let _ = tell.send(Seen { words, conn });
        let (said, close) = match does {
            Act::Say(bytes) => (bytes, false),
            Act::SayAfter(wait, bytes) => {
                let _ = wait.recv_timeout(LONG);
                (bytes, false)
            }
            Act::SayMore(bytes, more) => {
                if out.write_all(&bytes).is_err() {
                    return;
                }
                std::thread::sleep(Duration::from_millis(3));
                (more, false)
            }
            Act::SayWhen(latch, bytes) => {
                latch.wait();
                (bytes, false)
            }
            Act::SayThenClose(latch, bytes) => {
                if out.write_all(&bytes).is_err() {
                    return;
                }
                latch.wait();
                (Vec::new(), true)
            }
            Act::SayAndClose(bytes) => (bytes, true),
            Act::Close => (Vec::new(), true),
            Act::Hang => (Vec::new(), false),
        };
        if out.write_all(&said).is_err() || close {
            // Shut down, not only dropped: a process that another test is just starting may hold it too.
            let _ = out.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Reads a command, an array of bulk strings.
pub fn read_command(input: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let count: usize = line(input)?.strip_prefix('*')?.parse().ok()?;
    (0..count).map(|_| bulk(input)).collect()
}

fn bulk(input: &mut BufReader<TcpStream>) -> Option<String> {
    let size: usize = line(input)?.strip_prefix('$')?.parse().ok()?;
    let mut bytes = vec![0; size + 2];
    input.read_exact(&mut bytes).ok()?;
    Some(String::from_utf8_lossy(&bytes[..size]).into_owned())
}

fn line(input: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = String::new();
    let count = input.read_line(&mut text).ok()?;
    (count > 0).then(|| text.trim_end().to_string())
}

/// Reads an HTTP request: its first line, its headers, its body.
pub fn read_http(input: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let mut words = vec![line(input)?];
    let mut length = 0;
    loop {
        let header = line(input)?;
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("Content-Length: ") {
            length = value.parse().ok()?;
        }
        words.push(header);
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    words.push(String::from_utf8_lossy(&body).into_owned());
    Some(words)
}

/// A cache server that does with each command what it is told.
pub fn cache(act: impl FnMut(&[String]) -> Act + Send + Clone + 'static) -> StandIn {
    serve(read_command, act)
}

/// An origin that does with each request what it is told.
pub fn origin(act: impl FnMut(&[String]) -> Act + Send + Clone + 'static) -> StandIn {
    serve(read_http, act)
}

pub fn hit(value: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes()
}

pub fn miss() -> Vec<u8> {
    b"*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_vec()
}

pub fn http(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Discovery: each call is answered with the next of these scripts, the last one stays open and silent but
/// for what comes through the channel.
pub fn discovery(scripts: Vec<Vec<u8>>) -> (SocketAddr, Sender<Vec<u8>>, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (say, said) = channel::<Vec<u8>>();
    let (tell, calls) = channel();
    std::thread::spawn(move || {
        let count = scripts.len();
        for (number, (script, stream)) in scripts.into_iter().zip(listener.incoming().flatten()).enumerate() {
            let mut out = stream.try_clone().unwrap();
            let mut input = BufReader::new(stream);
            let request = read_http(&mut input).unwrap_or_default();
            let _ = tell.send(request.first().cloned().unwrap_or_default());
            let _ = out.write_all(&script);
            if number + 1 < count {
                continue;
            }
            loop {
                let bytes = match said.recv_timeout(Duration::from_secs(1)) {
                    Ok(bytes) => bytes,
                    Err(std::sync::mpsc::RecvTimeoutError::Timeout) => chunk("\n"),
                    Err(_) => return,
                };
                if out.write_all(&bytes).is_err() {
                    return;
                }
            }
        }
    });
    (address, say, calls)
}

/// The head of a watch.
pub fn watch_head() -> Vec<u8> {
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec()
}

pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// A line of the list.
pub fn entry(name: &str, address: SocketAddr, kind: &str, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"{kind}","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

pub fn listing(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(",")) + "\n"
}

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

/// A client of the node.
pub struct Client {
    pub out: TcpStream,
    pub input: BufReader<TcpStream>,
}

pub fn command(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend(format!("${}\r\n{word}\r\n", word.len()).into_bytes());
    }
    bytes
}

pub fn get(key: &str, id: &str) -> Vec<u8> {
    command(&["OBJ.GET", key, id, "c=read,t=acme,d=8000"])
}

pub fn put(key: &str, id: &str, value: &str) -> Vec<u8> {
    command(&["OBJ.SET", key, id, "c=put,t=acme,d=8000,k=77", value])
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Client { out: stream.try_clone().unwrap(), input: BufReader::new(stream) }
    }

    /// Whether the node has not ended it.
    pub fn stands(&self) -> bool {
        self.out.set_nonblocking(true).unwrap();
        let stands = matches!(self.out.peek(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        self.out.set_nonblocking(false).unwrap();
        stands
    }

    /// Whether the node has ended it, whatever it has said before.
    pub fn has_ended(&mut self) -> bool {
        self.out.set_nonblocking(true).unwrap();
        let mut said = [0; 64];
        let ended = loop {
            match self.out.read(&mut said) {
                Ok(0) => break true,
                Ok(_) => {}
                Err(e) => break e.kind() != std::io::ErrorKind::WouldBlock,
            }
        };
        self.out.set_nonblocking(false).unwrap();
        ended
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.out.write_all(bytes).unwrap();
    }

    /// The next answer: a line as it is, a bulk string as its content; `None` at the connection's end.
    pub fn answer(&mut self) -> Option<String> {
        let first = line(&mut self.input)?;
        let Some(size) = first.strip_prefix('$') else { return Some(first) };
        let mut bytes = vec![0; size.parse::<usize>().unwrap() + 2];
        self.input.read_exact(&mut bytes).ok()?;
        bytes.truncate(bytes.len() - 2);
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }

    pub fn ask(&mut self, bytes: &[u8]) -> Option<String> {
        self.send(bytes);
        self.answer()
    }
}
