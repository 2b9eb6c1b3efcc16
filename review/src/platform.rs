//! The platform of a case: node processes, discovery, cache servers, the origin, clients and the record. All
//! addresses are loopback addresses, the clock is the machine's. Only the standard library is used.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn recv(socket: i32, buffer: *mut u8, length: usize, flags: i32) -> isize;
}

const MSG_PEEK: i32 = 0x2;
const MSG_DONTWAIT: i32 = 0x40;

/// Whether bytes wait on a connection, or its end. Takes nothing from it.
pub fn has_input(stream: &TcpStream) -> bool {
    let mut byte = 0;
    // SAFETY: the buffer is one byte long, and the descriptor is open for as long as `stream` is borrowed.
    unsafe { recv(stream.as_raw_fd(), &mut byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 }
}

/// The end of a case: whether the rule was broken, or why the case could not run.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

/// The record of what was sent, answered and run, with the time since its start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, who: &str, what: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64() * 1e3;
        let line = format!("{at:10.1} ms  {who:<12} {}\n", what.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A private folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let path = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns a loopback address whose port is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---------------------------------------------------------------------------------------------------------
// Nodes

/// What a node is told in its configuration file.
pub struct NodeConfig {
    pub name: &'static str,
    pub me: usize,
    pub memory_mb: usize,
    pub sockets: usize,
    /// The list of cache servers that the node last had.
    pub known: String,
    /// `settings`, as JSON; `{ME}` stands for the number of the node.
    pub settings: String,
    /// Further arguments of the run command.
    pub arguments: String,
}

/// A node process that the deploy file's run command started. It is killed when it is dropped.
pub struct Node {
    pub name: &'static str,
    pub address: SocketAddr,
    child: Child,
    log: PathBuf,
    record: Record,
}

impl Node {
    /// Starts a node by `run` of the deploy file, and waits until it answers PING with PONG.
    pub fn start(
        config: &NodeConfig,
        discovery: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> Result<Node, String> {
        let address = free_address();
        let home = folder.join(config.name);
        let tmpdir = home.join("tmp");
        std::fs::create_dir_all(&tmpdir).map_err(|error| error.to_string())?;
        let settings = config.settings.replace("{ME}", &config.me.to_string());
        let text = format!(
            r#"{{"name":"{}","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be96{}",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"known":{},"settings":{settings}}}"#,
            config.name, config.me, config.memory_mb, config.sockets, config.known
        );
        let path = home.join("config.json");
        std::fs::write(&path, text).map_err(|error| error.to_string())?;
        let log = home.join("log");
        let output = File::create(&log).map_err(|error| error.to_string())?;
        let run = run_command()?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{run} {}", config.arguments))
            .env("ROUTER_NAME", config.name)
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONFIG", &path)
            .env("TMPDIR", &tmpdir)
            .env("SPARDEAL_TRACE", std::env::var("SPARDEAL_TRACE").unwrap_or_default())
            .stdin(Stdio::null())
            .stdout(output.try_clone().map_err(|error| error.to_string())?)
            .stderr(output)
            .spawn()
            .map_err(|error| format!("the node does not start: {error}"))?;
        let mut node = Node { name: config.name, address, child, log, record: record.clone() };
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if let Some(status) = node.ended() {
                return Err(format!("{} ended at its start: {status}", config.name));
            }
            if let Ok(mut client) = Client::connect(address)
                && client.send(b"*1\r\n$4\r\nPING\r\n").is_ok()
                && client.answer(Duration::from_millis(500)) == Answer::Line("+PONG".into())
            {
                record.line(config.name, format!("answers PING at {address}"));
                return Ok(node);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} is not ready within 10 s", config.name))
    }

    pub fn signal(&self, signal: i32) {
        self.record.line(self.name, format!("the platform sends signal {signal}"));
        // SAFETY: the process is a child of this one that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns how the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Private memory of the process, in bytes: resident pages without those of files.
    pub fn memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|kb| kb.parse::<usize>().ok()).unwrap_or(0) * 1024
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for line in std::fs::read_to_string(&self.log).unwrap_or_default().lines().take(400) {
            self.record.line(self.name, format!("log: {line}"));
        }
    }
}

/// Returns `run` of the deploy file in the current folder, which is the root of the repository.
fn run_command() -> Result<String, String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").map_err(|error| error.to_string())?;
    let line = text.lines().find(|line| line.starts_with("run = ")).ok_or("no run in the deploy file")?;
    Ok(line["run = ".len()..].trim().trim_matches('"').to_owned())
}

// ---------------------------------------------------------------------------------------------------------
// Discovery

#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub kind: &'static str,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    pub fn active(name: &str, address: SocketAddr, kind: &'static str) -> Entry {
        Entry { name: name.into(), address, kind, status: "active", since_ms: 0 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"a","type":"{}","group":0,"status":"{}","weight":1.0,"since_ms":{}}}"#,
            self.name, self.address, self.kind, self.status, self.since_ms
        )
    }
}

pub fn list_json(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

struct Roster {
    index: u64,
    entries: BTreeMap<String, Entry>,
    changes: Vec<(u64, Entry)>,
}

/// Discovery: answers calls for the whole list, and watches.
pub struct Discovery {
    pub address: SocketAddr,
    roster: Mutex<Roster>,
    changed: Condvar,
    record: Record,
}

impl Discovery {
    pub fn start(index: u64, entries: Vec<Entry>, record: &Record) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for discovery");
        let entries = entries.into_iter().map(|entry| (entry.name.clone(), entry)).collect();
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().unwrap(),
            roster: Mutex::new(Roster { index, entries, changes: Vec::new() }),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = served.clone();
                thread::spawn(move || {
                    let _ = discovery.serve(stream);
                });
            }
        });
        discovery
    }

    /// Makes a change of the list; one with the status `left` leaves the list.
    pub fn change(&self, entry: Entry) {
        let mut roster = self.roster.lock().unwrap();
        roster.index += 1;
        let index = roster.index;
        self.record.line("discovery", format!("version {index}: {} is {}", entry.name, entry.status));
        match entry.status {
            "left" => drop(roster.entries.remove(&entry.name)),
            _ => drop(roster.entries.insert(entry.name.clone(), entry.clone())),
        }
        roster.changes.push((index, entry));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut input = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        let mut first = String::new();
        input.read_line(&mut first)?;
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 || line == "\r\n" {
                break;
            }
        }
        let path = first.split(' ').nth(1).unwrap_or("").to_owned();
        self.record.line("discovery", format!("is called: {path}"));
        if !path.contains("watch=1") {
            let roster = self.roster.lock().unwrap();
            let entries: Vec<Entry> = roster.entries.values().cloned().collect();
            let body = list_json(roster.index, true, &entries);
            drop(roster);
            return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        }
        write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let after = path.split("after=").nth(1).and_then(|after| after.parse::<u64>().ok());
        let mut roster = self.roster.lock().unwrap();
        let mut told = roster.index;
        let oldest = roster.changes.first().map_or(roster.index, |(index, _)| index - 1);
        let text = match after.filter(|after| *after >= oldest && *after <= told) {
            Some(after) => {
                let changed: Vec<Entry> = roster
                    .changes
                    .iter()
                    .filter(|(at, _)| *at > after)
                    .map(|(_, entry)| entry.clone())
                    .collect();
                list_json(told, false, &changed)
            }
            None => list_json(told, true, &roster.entries.values().cloned().collect::<Vec<_>>()),
        };
        chunk(&mut stream, &text)?;
        self.record.line("discovery", format!("tells version {told}"));
        loop {
            let (next, timed_out) = self.changed.wait_timeout(roster, Duration::from_secs(2)).unwrap();
            roster = next;
            if roster.index > told {
                let changed: Vec<Entry> = roster
                    .changes
                    .iter()
                    .filter(|(at, _)| *at > told)
                    .map(|(_, entry)| entry.clone())
                    .collect();
                told = roster.index;
                chunk(&mut stream, &list_json(told, false, &changed))?;
                self.record.line("discovery", format!("tells version {told}"));
            } else if timed_out.timed_out() {
                chunk(&mut stream, "")?;
            }
        }
    }
}

fn chunk(stream: &mut TcpStream, line: &str) -> std::io::Result<()> {
    let text = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    stream.write_all(text.as_bytes())
}

// ---------------------------------------------------------------------------------------------------------
// Cache servers and the origin

/// A command of a node to a cache server.
pub struct CacheCommand {
    pub words: Vec<Vec<u8>>,
}

impl CacheCommand {
    pub fn word(&self, position: usize) -> String {
        self.words.get(position).map(|word| String::from_utf8_lossy(word).into_owned()).unwrap_or_default()
    }
}

/// Starts a cache server: `answer` writes the answer to each command.
pub fn start_cache<F>(answer: F) -> SocketAddr
where
    F: Fn(&CacheCommand, &mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a cache server");
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || -> std::io::Result<()> {
                stream.set_nodelay(true)?;
                let mut input = BufReader::new(stream.try_clone()?);
                let mut stream = stream;
                while let Some(words) = read_command(&mut input)? {
                    answer(&CacheCommand { words }, &mut stream)?;
                }
                Ok(())
            });
        }
    });
    address
}

fn read_line(input: &mut impl BufRead) -> std::io::Result<Option<String>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn bad() -> std::io::Error {
    std::io::Error::from(ErrorKind::InvalidData)
}

/// Reads a command of a node; `None` at the end of the connection.
pub fn read_command(input: &mut impl BufRead) -> std::io::Result<Option<Vec<Vec<u8>>>> {
    let Some(head) = read_line(input)? else { return Ok(None) };
    let count: usize = head.strip_prefix('*').and_then(|n| n.parse().ok()).ok_or_else(bad)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let line = read_line(input)?.ok_or_else(bad)?;
        let length: usize = line.strip_prefix('$').and_then(|n| n.parse().ok()).ok_or_else(bad)?;
        let mut word = vec![0; length + 2];
        input.read_exact(&mut word)?;
        word.truncate(length);
        words.push(word);
    }
    Ok(Some(words))
}

/// The array by which a cache server gives a value.
pub fn served(value: &[u8]) -> Vec<u8> {
    let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
    out
}

/// The array by which a cache server tells a miss.
pub const MISS: &[u8] = b"*3\r\n$-1\r\n$-1\r\n$-1\r\n";

/// A call of a node to the origin.
pub struct OriginCall {
    pub method: String,
    pub key: String,
    pub id: String,
}

/// Starts an origin: `answer` writes the answer to each call.
pub fn start_origin<F>(answer: F) -> SocketAddr
where
    F: Fn(&OriginCall, &mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the origin");
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || -> std::io::Result<()> {
                stream.set_nodelay(true)?;
                let mut input = BufReader::new(stream.try_clone()?);
                let mut stream = stream;
                while let Some(first) = read_line(&mut input)? {
                    let mut words = first.split(' ');
                    let method = words.next().unwrap_or("").to_owned();
                    let key = words.next().unwrap_or("").trim_start_matches('/').to_owned();
                    let (mut id, mut length) = (String::new(), 0);
                    while let Some(line) = read_line(&mut input)?.filter(|line| !line.is_empty()) {
                        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                        match name.to_ascii_lowercase().as_str() {
                            "x-correlation-id" => id = value.trim().to_owned(),
                            "content-length" => length = value.trim().parse().unwrap_or(0),
                            _ => {}
                        }
                    }
                    let mut body = vec![0; length];
                    input.read_exact(&mut body)?;
                    answer(&OriginCall { method, key, id }, &mut stream)?;
                }
                Ok(())
            });
        }
    });
    address
}

// ---------------------------------------------------------------------------------------------------------
// Clients

/// What a client reads for a command.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A whole value.
    Value(Vec<u8>),
    /// A value of which only so many bytes came before the connection ended.
    Cut { stated: usize, came: usize },
    /// A line, without its end.
    Line(String),
    /// The connection ended in order, with no answer.
    Ended,
    /// The connection was reset, with no answer.
    Reset,
    /// Nothing came in time.
    Silence,
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Answer::Value(value) if value.len() <= 64 => {
                format!("value {:?}", String::from_utf8_lossy(value))
            }
            Answer::Value(value) => format!("value of {} bytes", value.len()),
            Answer::Cut { stated, came } => format!("value cut off: {came} of {stated} bytes came"),
            Answer::Line(line) => line.clone(),
            Answer::Ended => "the connection ended with no answer".into(),
            Answer::Reset => "the connection was reset with no answer".into(),
            Answer::Silence => "nothing in time".into(),
        }
    }
}

pub struct Client {
    pub stream: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(node: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&node, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let input = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, input })
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads an answer. `patience` is how long the client waits for each further piece.
    pub fn answer(&mut self, patience: Duration) -> Answer {
        let _ = self.stream.set_read_timeout(Some(patience));
        let mut line = Vec::new();
        match self.input.read_until(b'\n', &mut line) {
            Ok(0) => return Answer::Ended,
            Ok(_) if line.ends_with(b"\n") => {}
            Ok(_) => return Answer::Ended,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Answer::Silence;
            }
            Err(_) => return Answer::Reset,
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        let Some(stated) = line.strip_prefix('$').and_then(|length| length.parse::<usize>().ok()) else {
            return Answer::Line(line);
        };
        let mut value = vec![0; stated + 2];
        let mut came = 0;
        while came < value.len() {
            match self.input.read(&mut value[came..]) {
                Ok(0) | Err(_) => return Answer::Cut { stated, came: came.min(stated) },
                Ok(count) => came += count,
            }
        }
        value.truncate(stated);
        Answer::Value(value)
    }
}

/// Encodes a command as clients send it.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

pub fn get(key: &str, id: &str, class: &str, deadline_ms: u64) -> Vec<u8> {
    let facts = format!("c={class},t=main,d={deadline_ms}");
    command(&[b"OBJ.GET", key.as_bytes(), id.as_bytes(), facts.as_bytes()])
}

pub fn set(key: &str, id: &str, class: &str, deadline_ms: u64, token: &str, value: &[u8]) -> Vec<u8> {
    let facts = format!("c={class},t=main,d={deadline_ms},k={token}");
    command(&[b"OBJ.SET", key.as_bytes(), id.as_bytes(), facts.as_bytes(), value])
}

/// Whether the case is played with its disruption (`TROUBLE` is not 0).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A flag that ends helper threads.
#[derive(Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The settings of a small deployment: two classes, one tenant, one zone, an origin.
pub fn settings(nodes: usize) -> String {
    settings_with_edits(nodes, 600, 1200, 2000)
}

/// The same, with times of the class of edits: aim, deadline and window for repeats, in milliseconds.
pub fn settings_with_edits(nodes: usize, aim_ms: u64, deadline_ms: u64, window_ms: u64) -> String {
    format!(
        r#"{{"balancers":{nodes},"me":{{ME}},"zone":0,"zones":["a"],"tiers":["cache"],"stage":0,"family":"cache",
"classes":[
{{"name":"lookup","effect":"pure","goalTimeUs":750000,"deadlineUs":1500000,"gain":1.0,"lateValue":0.5,"dedupScope":"all","dedupWindowUs":5000000,"streamed":false}},
{{"name":"edit","effect":"token","goalTimeUs":{aim_ms}000,"deadlineUs":{deadline_ms}000,"gain":1.0,"lateValue":0.3,"dedupScope":"all","dedupWindowUs":{window_ms}000,"streamed":false}}],
"realms":[{{"name":"main","fraction":1.0,"quotaPerS":400.0}}],
"machineTypes":["std","origin"],"discovery":"ask","weightSource":"silent","periodUs":2000,
"specifics":{{"mode":"aside","originKind":1,"originFallMultiple":2.5,"originFallUs":3000000}},
"limits":{{"connectTimeoutUs":75000,"idleCloseUs":15000000,"maxAttempts":4,"maxOpen":20000,"maxRetryAfterUs":1500000,"mayCancel":true,"mayDuplicate":true,"multiplex":32,"peers":false,"probes":false,"retryAfter":true}},
"guarantees":{{"askWithinUs":10000000,"coldShare":0.35,"coldUs":7500000,"drainGraceUs":500000,"fallMultiple":3.0,"graceToAnswerUs":8000,"tipAfterUs":2000000}},
"prices":{{"connection":0.0,"handshake":0.0}},"report":{{"fields":[],"via":"silent"}}}}"#
    )
}
