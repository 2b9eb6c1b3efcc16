//! Parts that the drivers of cases 6 to 10 share: the record, stand-ins for discovery, cache servers and the origin, a
//! client, and the processes of real nodes. Standard library only; loopback addresses only; every port is a free one.
//!
//! A stand-in is a closure that is given each whole request and answers on the open connection. Where the users' pages
//! are silent it behaves soundly.
#![allow(dead_code)]

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;
/// A case that is not done by then ends its processes and could not run.
const WATCHDOG: Duration = Duration::from_secs(115);

/// What was sent, answered and run, a line each, with milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<RecordInner>);

struct RecordInner {
    start: Instant,
    file: Mutex<std::fs::File>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = std::fs::File::create(path).expect("record.txt can be written");
        Record(Arc::new(RecordInner { start: Instant::now(), file: Mutex::new(file) }))
    }

    pub fn ms(&self) -> f64 {
        self.0.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.1} {}\n", self.ms(), text.as_ref());
        let _ = self.0.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        self.line(text.as_ref());
        println!("{}", text.as_ref());
    }
}

/// What run.sh passes on: the command of the deploy file, a temporary folder, the record, and whether the disruption
/// happens.
pub struct Case {
    pub run: String,
    pub folder: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

/// Process ids of the nodes that run, for the watchdog.
static NODES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

impl Case {
    /// Arguments: RUN FOLDER RECORD. The environment's TROUBLE=0 leaves the disruption out.
    pub fn from_args() -> Case {
        let arguments: Vec<String> = std::env::args().collect();
        if arguments.len() != 4 {
            eprintln!("usage: {} RUN FOLDER RECORD", arguments[0]);
            std::process::exit(CANNOT_RUN);
        }
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        thread::spawn(|| {
            thread::sleep(WATCHDOG);
            eprintln!("the case is not done in time");
            end(CANNOT_RUN);
        });
        std::panic::set_hook(Box::new(|panic| {
            eprintln!("{panic}");
            if thread::current().name() == Some("main") {
                end(CANNOT_RUN);
            }
        }));
        let record = Record::create(Path::new(&arguments[3]));
        record.line(format!("disruption: {}", if trouble { "yes" } else { "no" }));
        Case { run: arguments[1].clone(), folder: arguments[2].clone().into(), record, trouble }
    }

    /// Ends all nodes, then this process: 1 if the rule was broken.
    pub fn finish(&self, breaks: &[String]) -> ! {
        for line in breaks.iter().take(20) {
            self.record.say(format!("broken: {line}"));
        }
        self.record.say(match breaks.len() {
            0 => "the rule held".to_owned(),
            count => format!("the rule was broken {count} times"),
        });
        end(if breaks.is_empty() { HELD } else { BROKEN });
    }

    /// Ends the case because it could not be played.
    pub fn cannot_run(&self, why: &str) -> ! {
        self.record.say(format!("could not run: {why}"));
        end(CANNOT_RUN);
    }
}

fn end(code: i32) -> ! {
    let nodes = std::mem::take(&mut *NODES.lock().unwrap_or_else(std::sync::PoisonError::into_inner));
    for node in nodes {
        signal(node, "KILL");
    }
    std::process::exit(code);
}

pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).stderr(Stdio::null()).status();
}

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal without a shell, which takes milliseconds to start.
pub fn signal_at_once(pid: u32, signal: i32) {
    unsafe extern "C" {
        fn kill(pid: i32, signal: i32) -> i32;
    }
    unsafe { kill(pid as i32, signal) };
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// A small generator of numbers (splitmix64), so that each run does the same.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// An address on which nobody listens now; the node binds it.
pub fn free_address() -> SocketAddr {
    listen().1
}

// ---- the platform's files -------------------------------------------------------------------------------------------

/// A class of the settings.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub goal_ms: u64,
    pub deadline_ms: u64,
    pub window_ms: u64,
}

/// The two classes of the deployment.
pub fn usual_classes() -> Vec<Class> {
    vec![
        Class { name: "zone-lookup", effect: "pure", goal_ms: 750, deadline_ms: 1500, window_ms: 0 },
        Class { name: "zone-edit", effect: "token", goal_ms: 150, deadline_ms: 300, window_ms: 200 },
    ]
}

/// The `settings` object of a deployment of `nodes` nodes.
pub fn settings(nodes: usize, me: usize, classes: &[Class], discovery: &str) -> String {
    let class = |class: &Class| {
        format!(
            r#"{{"name":"{}","effect":"{}","goalTimeUs":{},"deadlineUs":{},"dedupScope":"all","dedupWindowUs":{},"gain":1.0,"lateValue":0.4,"streamed":false}}"#,
            class.name, class.effect, class.goal_ms * 1000, class.deadline_ms * 1000, class.window_ms * 1000
        )
    };
    let classes: Vec<String> = classes.iter().map(class).collect();
    format!(
        r#"{{"balancers":{nodes},"me":{me},"zone":0,"zones":["north","south"],"machineTypes":["std","origin"],
"classes":[{}],"realms":[{{"name":"acme","fraction":1.0,"quotaPerS":4000.0}}],"clientHabits":{{"marksRetry":false}},
"countedBy":"request","discovery":"{discovery}","family":"cache","stage":0,"tiers":["cache"],"periodUs":2000,"overShareWorth":0.05,
"goal":{{"whole":1.0,"worstClass":0.0,"worstTenant":0.0,"worstWindow":0.0}},
"guarantees":{{"askWithinUs":10000000,"coldShare":0.35,"coldUs":7500000,"drainGraceUs":500000,"fallMultiple":3.0,"graceToAnswerUs":8000,"tipAfterUs":2000000}},
"limits":{{"connectTimeoutUs":75000,"cpuUsPerRequest":0.0,"cpuUsPerS":1000000,"idleCloseUs":15000000,"maxAttempts":4,"maxOpen":20000,"maxRetryAfterUs":1500000,"mayCancel":true,"mayDuplicate":true,"multiplex":32,"peers":false,"probes":false,"retryAfter":true}},
"prices":{{"connection":0.0,"handshake":0.0,"origin":0.1}},"report":{{"fields":[],"via":"silent"}},
"specifics":{{"mode":"aside","notes":"","originFallMultiple":2.5,"originFallUs":3000000,"originKind":1}},"weightSource":"silent"}}"#,
        classes.join(",")
    )
}

/// An entry of discovery's list.
#[derive(Clone)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub kind: &'static str,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Endpoint {
    pub fn cache(name: &str, address: SocketAddr) -> Endpoint {
        Endpoint { name: name.into(), address, kind: "std", status: "active", since_ms: 0 }
    }

    pub fn origin(address: SocketAddr) -> Endpoint {
        Endpoint { name: "origin".into(), address, kind: "origin", status: "active", since_ms: 0 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"north","type":"{}","group":0,"status":"{}","weight":1.0,"since_ms":{}}}"#,
            self.name, self.address, self.kind, self.status, self.since_ms
        )
    }
}

pub fn list_json(index: u64, snapshot: bool, endpoints: &[Endpoint]) -> String {
    let endpoints: Vec<String> = endpoints.iter().map(Endpoint::json).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, endpoints.join(","))
}

/// What DEPLOY's configuration file holds besides the settings.
pub struct Config<'a> {
    pub discovery: SocketAddr,
    pub settings: String,
    pub known: &'a [Endpoint],
    pub sockets: usize,
    pub memory_mb: usize,
    pub mgmt: Option<SocketAddr>,
}

// ---- the node -------------------------------------------------------------------------------------------------------

pub struct Node {
    pub child: Child,
    pub address: SocketAddr,
    pub config: PathBuf,
}

impl Node {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn write_config(path: &Path, name: &str, listen: SocketAddr, config: &Config<'_>) {
        let mgmt = config.mgmt.map_or(String::new(), |mgmt| format!(r#""mgmt":"{mgmt}","#));
        let text = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{}",{mgmt}"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"peers":[],"known":{},"settings":{}}}"#,
            config.discovery,
            config.memory_mb,
            config.sockets,
            list_json(1, true, config.known),
            config.settings
        );
        let temporary = path.with_extension("new");
        std::fs::write(&temporary, text).expect("the configuration can be written");
        std::fs::rename(&temporary, path).expect("the configuration can be replaced");
    }

    /// Starts the deploy file's `run` and waits until `PING` is answered `+PONG`.
    pub fn start(case: &Case, name: &str, config: &Config<'_>) -> Node {
        Node::start_at(case, name, free_address(), config)
    }

    pub fn start_at(case: &Case, name: &str, address: SocketAddr, config: &Config<'_>) -> Node {
        let path = case.folder.join(format!("{name}.json"));
        Node::write_config(&path, name, address, config);
        let tmpdir = case.folder.join(format!("{name}.tmp"));
        let _ = std::fs::remove_dir_all(&tmpdir);
        std::fs::create_dir_all(&tmpdir).expect("a temporary folder");
        let log = std::fs::File::create(case.folder.join(format!("{name}.log"))).expect("a log");
        let child = Command::new("/bin/sh")
            .args(["-c", &case.run])
            .env("ROUTER_NAME", name)
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", config.discovery.to_string())
            .env("ROUTER_CONFIG", &path)
            .env("TMPDIR", &tmpdir)
            .env_remove("ROUTER_LISTEN_FD")
            .env_remove("ROUTER_MGMT")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        let Ok(child) = child else { case.cannot_run("the node's command cannot be started") };
        NODES.lock().unwrap().push(child.id());
        let node = Node { child, address, config: path };
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if ping(address) {
                case.record.line(format!("node {name} is ready at {address}"));
                return node;
            }
            thread::sleep(Duration::from_millis(20));
        }
        case.cannot_run("the node is not ready within 20 s")
    }

    pub fn signal(&self, name: &str) {
        signal(self.pid(), name);
    }

    /// The exit status, once the process has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        let status = self.child.try_wait().ok().flatten();
        if status.is_some() {
            let pid = self.pid();
            NODES.lock().unwrap().retain(|other| *other != pid);
        }
        status
    }
}

pub fn ping(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let mut answer = [0; 7];
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && &answer == b"+PONG\r\n"
}

// ---- RESP2 ----------------------------------------------------------------------------------------------------------

pub fn command(arguments: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        out.extend_from_slice(format!("${}\r\n", argument.len()).as_bytes());
        out.extend_from_slice(argument);
        out.extend_from_slice(b"\r\n");
    }
    out
}

pub fn get(key: &str, id: &str, facts: &str) -> Vec<u8> {
    command(&[b"OBJ.GET", key.as_bytes(), id.as_bytes(), facts.as_bytes()])
}

pub fn set(key: &str, id: &str, facts: &str, value: &[u8]) -> Vec<u8> {
    command(&[b"OBJ.SET", key.as_bytes(), id.as_bytes(), facts.as_bytes(), value])
}

/// An answer of a cache server: the value, how it went, no load report.
pub fn cache_answer(value: Option<&[u8]>, how: &str) -> Vec<u8> {
    let mut out = b"*3\r\n".to_vec();
    match value {
        Some(value) => {
            out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
        None => out.extend_from_slice(b"$-1\r\n"),
    }
    out.extend_from_slice(format!("${}\r\n{how}\r\n$-1\r\n", how.len()).as_bytes());
    out
}

/// Bytes that have arrived on a connection and are not taken yet.
pub struct Input {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Input {
    pub fn new(stream: TcpStream) -> Input {
        let _ = stream.set_nodelay(true);
        Input { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; `false` at the end of the stream.
    pub fn fill(&mut self) -> Result<bool> {
        let mut chunk = [0; 65536];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Ok(false),
                Ok(count) => {
                    self.buffer.extend_from_slice(&chunk[..count]);
                    return Ok(true);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Takes a line without its end; `None` if the stream has ended.
    fn line(&mut self) -> Result<Option<Vec<u8>>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.buffer[..end].to_vec();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn bytes(&mut self, count: usize) -> Result<Option<Vec<u8>>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..count).collect()))
    }

    /// Takes the next command; `None` if the stream has ended or holds none.
    pub fn command(&mut self) -> Result<Option<Vec<Vec<u8>>>> {
        let Some(head) = self.line()? else { return Ok(None) };
        let Some(count) = number(&head, b'*') else { return Ok(None) };
        let mut arguments = Vec::new();
        for _ in 0..count {
            let Some(length) = self.line()? else { return Ok(None) };
            let Some(length) = number(&length, b'$') else { return Ok(None) };
            let Some(mut argument) = self.bytes(length + 2)? else { return Ok(None) };
            argument.truncate(length);
            arguments.push(argument);
        }
        Ok(Some(arguments))
    }

    /// Takes the next whole answer of a node.
    pub fn answer(&mut self) -> Answer {
        match self.line() {
            Err(error) if is_timeout(&error) => Answer::Nothing,
            Err(_) | Ok(None) => Answer::Closed { partial: self.buffer.len() },
            Ok(Some(line)) => match line.first() {
                Some(b'$') if line != b"$-1" => match self.bytes(number(&line, b'$').unwrap_or(0) + 2) {
                    Ok(Some(mut value)) => {
                        value.truncate(value.len() - 2);
                        Answer::Served(value)
                    }
                    Err(error) if is_timeout(&error) => Answer::Nothing,
                    _ => Answer::Closed { partial: line.len() + self.buffer.len() },
                },
                _ => {
                    let text = String::from_utf8_lossy(&line).into_owned();
                    if text.starts_with("-BUSY") { Answer::Refused(text) } else { Answer::Failed(text) }
                }
            },
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

fn number(line: &[u8], first: u8) -> Option<usize> {
    let text = std::str::from_utf8(line.strip_prefix(&[first])?).ok()?;
    text.parse().ok()
}

/// What a client is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused(String),
    Failed(String),
    /// The connection ended before a whole answer; `partial` bytes of one had come.
    Closed { partial: usize },
    /// Nothing came within the client's patience.
    Nothing,
}

impl Answer {
    pub fn name(&self) -> String {
        match self {
            Answer::Served(value) => format!("served, {} bytes", value.len()),
            Answer::Refused(text) => format!("refused ({text})"),
            Answer::Failed(text) => format!("failed ({text})"),
            Answer::Closed { partial } => format!("connection ended, {partial} bytes of an answer"),
            Answer::Nothing => "nothing in time".into(),
        }
    }
}

pub fn connect(address: SocketAddr, patience: Duration) -> Option<Input> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    stream.set_write_timeout(Some(patience)).ok()?;
    Some(Input::new(stream))
}

// ---- servers --------------------------------------------------------------------------------------------------------

/// A request as a cache server or the origin sees it, once its last byte has come.
pub struct Request {
    pub write: bool,
    pub key: String,
    pub id: String,
    pub facts: HashMap<String, String>,
    pub value: Vec<u8>,
    /// Number of the connection, from 1.
    pub connection: u64,
}

/// What a stand-in does with a connection after a request.
#[derive(PartialEq)]
pub enum Then {
    Continue,
    /// Ends the connection.
    Close,
}

pub type Handler = dyn Fn(&Request, &mut TcpStream) -> Then + Send + Sync;

/// Serves connections until the process ends, or until `stop` is set.
fn serve_connections(
    listener: TcpListener,
    stop: Arc<AtomicBool>,
    serve: Arc<dyn Fn(TcpStream, u64) + Send + Sync>,
) {
    thread::spawn(move || {
        for (number, stream) in (1..).zip(listener.incoming()) {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let serve = serve.clone();
            thread::spawn(move || serve(stream, number));
        }
    });
}

fn facts(text: &str) -> HashMap<String, String> {
    text.split(',').filter_map(|pair| pair.split_once('=')).map(|(name, value)| (name.into(), value.into())).collect()
}

/// Starts a cache server (RESP2). One that reads what is no request ends the connection.
pub fn start_cache(handler: impl Fn(&Request, &mut TcpStream) -> Then + Send + Sync + 'static) -> SocketAddr {
    let (listener, address) = listen();
    let handler: Arc<Handler> = Arc::new(handler);
    serve_connections(listener, Arc::default(), Arc::new(move |stream, number| {
        let mut input = Input::new(stream);
        while let Ok(Some(arguments)) = input.command() {
            let text = |at: usize| arguments.get(at).map(|text| String::from_utf8_lossy(text).into_owned()).unwrap_or_default();
            let then = match text(0).as_str() {
                "OBJ.GET" | "OBJ.SET" => {
                    let request = Request {
                        write: text(0) == "OBJ.SET",
                        key: text(1),
                        id: text(2),
                        facts: facts(&text(3)),
                        value: arguments.get(4).cloned().unwrap_or_default(),
                        connection: number,
                    };
                    handler(&request, &mut input.stream)
                }
                "PING" => {
                    let _ = input.stream.write_all(b"+PONG\r\n");
                    Then::Continue
                }
                "CLIENT" | "SELECT" => {
                    let _ = input.stream.write_all(b"+OK\r\n");
                    Then::Continue
                }
                _ => {
                    let _ = input.stream.write_all(b"-ERR unknown command\r\n");
                    Then::Continue
                }
            };
            if then == Then::Close {
                break;
            }
        }
        let _ = input.stream.shutdown(Shutdown::Both);
    }));
    address
}

/// Starts the origin (HTTP/1.1).
pub fn start_origin(handler: impl Fn(&Request, &mut TcpStream) -> Then + Send + Sync + 'static) -> SocketAddr {
    let (listener, address) = listen();
    let handler: Arc<Handler> = Arc::new(handler);
    serve_connections(listener, Arc::default(), Arc::new(move |stream, number| {
        let mut input = Input::new(stream);
        while let Ok(Some(request)) = http_request(&mut input, number) {
            if handler(&request, &mut input.stream) == Then::Close {
                break;
            }
        }
        let _ = input.stream.shutdown(Shutdown::Both);
    }));
    address
}

fn http_request(input: &mut Input, connection: u64) -> Result<Option<Request>> {
    let Some(first) = input.line()? else { return Ok(None) };
    let first = String::from_utf8_lossy(&first).into_owned();
    let mut words = first.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or("/"));
    let mut headers = HashMap::new();
    loop {
        let Some(line) = input.line()? else { return Ok(None) };
        if line.is_empty() {
            break;
        }
        let line = String::from_utf8_lossy(&line).into_owned();
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let Some(value) = input.bytes(length)? else { return Ok(None) };
    let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
    Ok(Some(Request {
        write: method == "PUT",
        key: target.trim_start_matches('/').into(),
        id: header("x-correlation-id"),
        facts: facts(&header("x-facts")),
        value,
        connection,
    }))
}

/// Whether a command has arrived that is not read yet: a second copy comes only "when nothing else waits".
pub fn has_input(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let found = stream.peek(&mut byte).is_ok();
    let _ = stream.set_nonblocking(false);
    found
}

pub fn origin_answer(value: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", value.len()).into_bytes();
    out.extend_from_slice(value);
    out
}

/// Discovery: the whole list, and watches on its changes.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

struct DiscoveryState {
    index: u64,
    endpoints: Vec<Endpoint>,
    /// Entries that changed, with the version since which they stand so.
    changes: Vec<(u64, Endpoint)>,
}

impl Discovery {
    pub fn start(endpoints: Vec<Endpoint>) -> Discovery {
        let (listener, address) = listen();
        let state = DiscoveryState { index: 10, endpoints, changes: Vec::new() };
        let discovery = Discovery { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let served = discovery.clone();
        serve_connections(listener, Arc::default(), Arc::new(move |stream, _| {
            let _ = served.serve(stream);
        }));
        discovery
    }

    /// Puts an entry into the list, or changes it; `left` takes it out.
    pub fn change(&self, endpoint: Endpoint) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.index += 1;
        let index = state.index;
        state.endpoints.retain(|other| other.name != endpoint.name);
        if endpoint.status != "left" {
            state.endpoints.push(endpoint.clone());
        }
        state.changes.push((index, endpoint));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        let mut input = Input::new(stream);
        let Some(first) = input.line()? else { return Ok(()) };
        while input.line()?.is_some_and(|line| !line.is_empty()) {}
        let first = String::from_utf8_lossy(&first).into_owned();
        let target = first.split(' ').nth(1).unwrap_or("").to_owned();
        let (state, changed) = &*self.state;
        if !target.contains("watch=1") {
            let state = state.lock().unwrap();
            let body = list_json(state.index, true, &state.endpoints);
            drop(state);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
            return input.stream.write_all((head + &body).as_bytes());
        }
        input.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut sent = {
            let state = state.lock().unwrap();
            let line = list_json(state.index, true, &state.endpoints) + "\n";
            let index = state.index;
            drop(state);
            chunk(&mut input.stream, &line)?;
            index
        };
        let mut last_line = Instant::now();
        loop {
            let state = state.lock().unwrap();
            let (state, _) = changed.wait_timeout_while(state, Duration::from_millis(200), |state| state.index == sent).unwrap();
            let news: Vec<Endpoint> =
                state.changes.iter().filter(|(index, _)| *index > sent).map(|(_, endpoint)| endpoint.clone()).collect();
            let index = state.index;
            drop(state);
            if index != sent {
                chunk(&mut input.stream, &(list_json(index, false, &news) + "\n"))?;
                sent = index;
                last_line = Instant::now();
            } else if last_line.elapsed() >= Duration::from_millis(1_900) {
                chunk(&mut input.stream, "\n")?;
                last_line = Instant::now();
            }
        }
    }
}

fn chunk(stream: &mut TcpStream, text: &str) -> Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
