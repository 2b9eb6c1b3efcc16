//! A PostgreSQL server for the statements of a store of record, on loopback: the published protocol, version 3
//! (PostgreSQL, "Frontend/Backend Protocol"), over a SQLite file, with faults by script.
//!
//! Transactions are one after another, which is stricter than READ COMMITTED; what is read outside of one is what
//! was committed. Types of parameters are read from their casts (`$1::bigint`), those of columns from the schema.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicI32, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use rusqlite::types::Value;
use rusqlite::{Connection, functions::FunctionFlags};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex as Turn, Notify, OwnedMutexGuard, broadcast, watch};

use stonevane_audit::{Event, HistoryRecord, TimeInterval};

use crate::record::{Mono, Recorder};
use crate::server::lock;

/// The longest message that is read, in bytes.
const MAX_MESSAGE: usize = 1 << 20;
const INT8: u32 = 20;
const TEXT: u32 = 25;
const BYTEA: u32 = 17;

/// What is wrong with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PgFault {
    /// Nothing.
    #[default]
    None,
    /// It takes connections and says nothing more, on any.
    Stall,
    /// It refuses connections, and resets those that stand.
    Refuse,
    /// It ends sessions in the middle of a row.
    MidRow,
    /// Each statement takes this long, milliseconds; a time limit or a cancel ends it with `57014`.
    Slow(u64),
    /// Each statement is done at once and answered this much later, milliseconds.
    Late(u64),
    /// Sessions end with `57P01`; new ones are told `57P03`.
    Shutdown,
    /// Each COMMIT ends with `40001`.
    Serialization,
    /// New sessions are told `53300`.
    TooMany,
    /// COMMIT is done, and its session ends without an answer.
    CommitLost,
    /// COMMIT is done, and its session stands without an answer.
    CommitSilent,
}

/// A session without an answer ends by itself after this.
const SILENT: Duration = Duration::from_secs(20);

impl PgFault {
    /// The names of the faults in scripts.
    pub const NAMES: [(&'static str, PgFault); 10] = [
        ("stall", PgFault::Stall),
        ("refuse", PgFault::Refuse),
        ("mid-row", PgFault::MidRow),
        ("slow", PgFault::Slow(100)),
        ("late", PgFault::Late(100)),
        ("shutdown", PgFault::Shutdown),
        ("serialization", PgFault::Serialization),
        ("too-many", PgFault::TooMany),
        ("commit-lost", PgFault::CommitLost),
        ("commit-silent", PgFault::CommitSilent),
    ];
}

/// What it has counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections taken.
    pub connections: u64,
    /// Statements run, those that begin or end a transaction left out.
    pub statements: u64,
    /// Statements that are SELECTs of zones.
    pub reads: u64,
    /// Transactions that were committed.
    pub commits: u64,
    /// Cancel requests.
    pub cancels: u64,
}

/// The data: one connection for the transaction whose turn it is, one for all that is read outside of one.
struct Data {
    writer: Connection,
    reader: Connection,
}

#[derive(Default)]
struct Counters {
    connections: AtomicU64,
    statements: AtomicU64,
    reads: AtomicU64,
    commits: AtomicU64,
    cancels: AtomicU64,
}

/// What is called with the data after each commit, in the order of commits, with the moment before it.
type Witness = Box<dyn Fn(&Connection, u64) + Send + Sync>;

/// The server.
pub struct Postgres {
    witness: OnceLock<Witness>,
    folder: PathBuf,
    data: Mutex<Data>,
    turn: Arc<Turn<()>>,
    fault: watch::Sender<PgFault>,
    counters: Counters,
    cancels: Mutex<HashMap<(i32, i32), Arc<Notify>>>,
    next: AtomicI32,
    notices: broadcast::Sender<String>,
    /// What the transaction under way will tell when it is committed.
    pending: Arc<Mutex<Vec<String>>>,
    address: SocketAddr,
}

impl Drop for Postgres {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn open(file: &Path, pending: &Arc<Mutex<Vec<String>>>) -> rusqlite::Result<Data> {
    let connect = || -> rusqlite::Result<Connection> {
        let db = Connection::open(file)?;
        db.pragma_update(None, "journal_mode", "WAL")?;
        db.pragma_update(None, "synchronous", "OFF")?;
        let flags = FunctionFlags::SQLITE_UTF8;
        db.create_scalar_function("pg_advisory_xact_lock", 1, flags, |_| Ok(Value::Null))?;
        let tell = pending.clone();
        db.create_scalar_function("pg_notify", 2, flags, move |args| {
            lock(&tell).push(args.get(1)?);
            Ok(Value::Text(String::new()))
        })?;
        Ok(db)
    };
    Ok(Data { writer: connect()?, reader: connect()? })
}

impl Postgres {
    /// Starts one with empty data, at a port of its own.
    ///
    /// # Errors
    /// Where no port or no file can be had.
    pub async fn start(ip: std::net::IpAddr) -> std::io::Result<Arc<Postgres>> {
        static SERVERS: AtomicU64 = AtomicU64::new(0);
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let number = SERVERS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("stonevane-pg-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let pending = Arc::default();
        let data = open(&folder.join("main.db"), &pending).map_err(std::io::Error::other)?;
        let server = Arc::new(Postgres {
            witness: OnceLock::new(),
            folder,
            data: Mutex::new(data),
            turn: Arc::default(),
            fault: watch::Sender::new(PgFault::None),
            counters: Counters::default(),
            cancels: Mutex::default(),
            next: AtomicI32::new(1),
            notices: broadcast::Sender::new(1_024),
            pending,
            address,
        });
        tokio::spawn(listen(server.clone(), Some(listener)));
        Ok(server)
    }

    /// The URL that a client is given.
    pub fn url(&self) -> String {
        format!("postgres://stonevane@{}/zones", self.address)
    }

    /// Puts a fault in, or takes it away.
    pub fn fault(&self, fault: PgFault) {
        self.fault.send_replace(fault);
    }

    /// What it has counted.
    pub fn counts(&self) -> Counts {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let counters = &self.counters;
        Counts {
            connections: count(&counters.connections),
            statements: count(&counters.statements),
            reads: count(&counters.reads),
            commits: count(&counters.commits),
            cancels: count(&counters.cancels),
        }
    }

    /// Writes each version of a zone that is committed down in a history, from now on.
    pub fn record(&self, recorder: Recorder) {
        let newest = AtomicI64::new(0);
        let _ = self.witness.set(Box::new(move |db, begun| {
            let query = "SELECT z.key, z.value, z.version, COALESCE(e.token, '') FROM zones z \
                         LEFT JOIN edits e ON e.version = z.version WHERE z.version > ?1 ORDER BY z.version";
            let Ok(mut statement) = db.prepare_cached(query) else { return };
            let line = |row: &rusqlite::Row<'_>| -> rusqlite::Result<HistoryRecord> {
                let (value, version): (Vec<u8>, i64) = (row.get(1)?, row.get(2)?);
                newest.fetch_max(version, Ordering::Relaxed);
                let value = String::from_utf8_lossy(&value).split(' ').next().unwrap_or_default().to_owned();
                Ok(HistoryRecord {
                    time: TimeInterval { earliest: begun, latest: Mono::now() },
                    recorder: "store".into(),
                    event: Event::Committed,
                    key: row.get(0)?,
                    idempotency_key: row.get(3)?,
                    value,
                    version: version.max(0) as u64,
                    ..HistoryRecord::default()
                })
            };
            if let Ok(lines) = statement.query_map([newest.load(Ordering::Relaxed)], line) {
                lines.flatten().for_each(|line| recorder.line(line));
            }
        }));
    }

    /// Keeps a copy of its data as it is now, for a failover to it later.
    ///
    /// # Errors
    /// What SQLite says.
    pub fn copy(&self) -> rusqlite::Result<()> {
        let copy = self.folder.join("copy.db");
        let _ = std::fs::remove_file(&copy);
        lock(&self.data).reader.execute("VACUUM INTO ?1", [copy.display().to_string()]).map(drop)
    }

    /// The copy takes over: all sessions are reset, and what was committed since is not there.
    ///
    /// # Errors
    /// What SQLite says.
    pub fn fail_over(&self) -> rusqlite::Result<()> {
        self.fault(PgFault::Refuse);
        *lock(&self.data) = open(&self.folder.join("copy.db"), &self.pending)?;
        Ok(())
    }

    /// Runs a query on its data as it is committed, and returns the first column of each row.
    ///
    /// # Errors
    /// What SQLite says.
    pub fn look(&self, query: &str) -> rusqlite::Result<Vec<Value>> {
        let data = lock(&self.data);
        let mut statement = data.reader.prepare(query)?;
        statement.query_map([], |row| row.get(0))?.collect()
    }
}

async fn listen(server: Arc<Postgres>, mut listener: Option<TcpListener>) {
    let mut fault = server.fault.subscribe();
    let weak = Arc::downgrade(&server);
    let address = server.address;
    drop(server);
    loop {
        if *fault.borrow_and_update() == PgFault::Refuse {
            listener = None;
            if fault.changed().await.is_err() {
                return;
            }
            continue;
        }
        if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
            if listener.is_none() {
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            }
        }
        let Some(open) = &listener else { continue };
        tokio::select! {
            changed = fault.changed() => if changed.is_err() { return },
            accepted = open.accept() => {
                let (Ok((stream, _)), Some(server)) = (accepted, weak.upgrade()) else { return };
                let _ = stream.set_nodelay(true);
                server.counters.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(server, stream));
            }
        }
    }
}

/// Serves a connection; a session that is cut off by a fault is reset, and its transaction rolled back.
async fn serve(server: Arc<Postgres>, stream: TcpStream) {
    let mut fault = server.fault.subscribe();
    let mut session = Session {
        server: server.clone(),
        stream,
        buffer: BytesMut::new(),
        out: BytesMut::new(),
        prepared: HashMap::new(),
        portals: HashMap::new(),
        transaction: None,
        broken: false,
        skipping: false,
        limit: Duration::ZERO,
        cancelled: Arc::default(),
        key: (server.next.fetch_add(1, Ordering::Relaxed), 7),
        listens: None,
    };
    tokio::select! {
        _ = session.run() => {}
        () = async {
            while *fault.borrow_and_update() != PgFault::Refuse {
                if fault.changed().await.is_err() {
                    return;
                }
            }
        } => drop(session.stream.set_zero_linger()),
    }
    lock(&server.cancels).remove(&session.key);
    session.roll_back();
}

/// A statement as it was parsed.
#[derive(Clone)]
struct Prepared {
    sql: String,
    /// Types of its parameters, by their numbers from 1.
    parameters: Vec<u32>,
    columns: Vec<(String, u32)>,
}

struct Portal {
    statement: Prepared,
    values: Vec<Value>,
    /// Whether columns go out in their binary form.
    binary: bool,
}

/// An error as a client is told: its SQLSTATE and words.
struct Refused(&'static str, String);

/// The session is over.
struct Over;

impl From<std::io::Error> for Over {
    fn from(_: std::io::Error) -> Over {
        Over
    }
}

struct Session {
    server: Arc<Postgres>,
    stream: TcpStream,
    buffer: BytesMut,
    out: BytesMut,
    prepared: HashMap<String, Prepared>,
    portals: HashMap<String, Portal>,
    transaction: Option<OwnedMutexGuard<()>>,
    /// The transaction has failed: nothing but its end is taken.
    broken: bool,
    /// After an error in the extended protocol all is passed over until Sync.
    skipping: bool,
    limit: Duration,
    cancelled: Arc<Notify>,
    key: (i32, i32),
    listens: Option<broadcast::Receiver<String>>,
}

impl Session {
    fn fault(&self) -> PgFault {
        *self.server.fault.borrow()
    }

    /// What a stalled machine does: nothing, until it goes on.
    async fn stalled(&self) {
        let mut fault = self.server.fault.subscribe();
        while *fault.borrow_and_update() == PgFault::Stall {
            if fault.changed().await.is_err() {
                return;
            }
        }
    }

    /// Reads until so much stands in the buffer.
    async fn need(&mut self, length: usize) -> Result<(), Over> {
        while self.buffer.len() < length {
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(Over);
            }
        }
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), Over> {
        self.stalled().await;
        let out = self.out.split();
        Ok(self.stream.write_all(&out).await?)
    }

    async fn run(&mut self) -> Result<(), Over> {
        if !self.greet().await? {
            return Ok(());
        }
        loop {
            if self.buffer.len() < 5 {
                // Notices go out between messages.
                let (listens, stream, buffer) = (&mut self.listens, &mut self.stream, &mut self.buffer);
                let notice = async {
                    match listens {
                        Some(listens) => listens.recv().await.ok(),
                        None => std::future::pending().await,
                    }
                };
                let said = tokio::select! {
                    read = stream.read_buf(buffer) => {
                        if read? == 0 {
                            return Err(Over);
                        }
                        None
                    }
                    said = notice => said,
                };
                if let Some(said) = said {
                    let mut body = BytesMut::new();
                    body.put_i32(1);
                    text(&mut body, "stonevane");
                    text(&mut body, &said);
                    self.message(b'A', &body);
                    self.flush().await?;
                }
                continue;
            }
            let length = (&self.buffer[1..5]).get_u32() as usize;
            if !(4..=MAX_MESSAGE).contains(&length) {
                return Err(Over);
            }
            self.need(1 + length).await?;
            let mut message = self.buffer.split_to(1 + length);
            let kind = message[0];
            message.advance(5);
            self.stalled().await;
            if self.fault() == PgFault::Shutdown {
                self.error(&Refused("57P01", "terminating connection due to administrator command".into()));
                return self.flush().await;
            }
            self.take(kind, message.freeze()).await?;
        }
    }

    /// The start-up; `false` where the connection was for something else.
    async fn greet(&mut self) -> Result<bool, Over> {
        loop {
            self.need(8).await?;
            let (length, code) = ((&self.buffer[..4]).get_u32() as usize, (&self.buffer[4..8]).get_u32());
            if !(8..=MAX_MESSAGE).contains(&length) {
                return Err(Over);
            }
            self.need(length).await?;
            let mut message = self.buffer.split_to(length);
            message.advance(8);
            match code {
                80_877_103 => self.stream.write_all(b"N").await?, // No TLS here.
                80_877_102 if message.len() >= 8 => {
                    let key = (message.get_i32(), message.get_i32());
                    self.server.counters.cancels.fetch_add(1, Ordering::Relaxed);
                    if let Some(cancelled) = lock(&self.server.cancels).get(&key) {
                        cancelled.notify_one();
                    }
                    return Ok(false);
                }
                196_608 => break,
                _ => return Err(Over),
            }
        }
        self.stalled().await;
        let refused = match self.fault() {
            PgFault::Shutdown => Some(Refused("57P03", "the database system is shutting down".into())),
            PgFault::TooMany => Some(Refused("53300", "sorry, too many clients already".into())),
            _ => None,
        };
        if let Some(refused) = refused {
            self.error(&refused);
            self.flush().await?;
            return Ok(false);
        }
        lock(&self.server.cancels).insert(self.key, self.cancelled.clone());
        self.message(b'R', &0u32.to_be_bytes());
        for (name, value) in [("server_version", "15.0"), ("client_encoding", "UTF8")] {
            let mut body = BytesMut::new();
            text(&mut body, name);
            text(&mut body, value);
            self.message(b'S', &body);
        }
        let mut body = BytesMut::new();
        body.put_i32(self.key.0);
        body.put_i32(self.key.1);
        self.message(b'K', &body);
        self.ready();
        self.flush().await?;
        Ok(true)
    }

    async fn take(&mut self, kind: u8, mut body: Bytes) -> Result<(), Over> {
        if self.skipping && kind != b'S' && kind != b'X' {
            return Ok(());
        }
        let done = match kind {
            b'Q' => {
                let all = string(&mut body)?;
                for sql in all.split(';').map(str::trim).filter(|sql| !sql.is_empty()) {
                    let run = match self.parse(sql) {
                        Ok(statement) => self.run_statement(&statement, Vec::new(), false, true).await?,
                        Err(e) => Err(e),
                    };
                    if let Err(e) = run {
                        self.fail(&e);
                        break;
                    }
                }
                self.ready();
                return self.flush().await;
            }
            b'P' => {
                let (name, sql) = (string(&mut body)?, string(&mut body)?);
                self.parse(&sql).map(|statement| {
                    self.prepared.insert(name, statement);
                    self.message(b'1', b"");
                })
            }
            b'D' => {
                let of = if body.has_remaining() { body.get_u8() } else { return Err(Over) };
                let name = string(&mut body)?;
                let statement = match of {
                    b'S' => self.prepared.get(&name),
                    _ => self.portals.get(&name).map(|portal| &portal.statement),
                };
                match statement.cloned() {
                    Some(statement) => {
                        self.describe(&statement, of == b'S');
                        Ok(())
                    }
                    None => Err(Refused("26000", format!("there is no `{name}`"))),
                }
            }
            b'B' => self.bind(&mut body)?,
            b'E' => {
                let name = string(&mut body)?;
                match self.portals.remove(&name) {
                    Some(portal) => {
                        self.run_statement(&portal.statement, portal.values, portal.binary, false).await?
                    }
                    None => Err(Refused("34000", format!("there is no portal `{name}`"))),
                }
            }
            b'C' => {
                if body.has_remaining() && body.get_u8() == b'S' {
                    let name = string(&mut body)?;
                    self.prepared.remove(&name);
                }
                self.message(b'3', b"");
                Ok(())
            }
            b'S' => {
                self.skipping = false;
                self.ready();
                return self.flush().await;
            }
            b'H' => return self.flush().await,
            b'X' => return Err(Over),
            _ => Err(Refused("08P01", format!("message {kind} is not known here"))),
        };
        if let Err(e) = done {
            self.fail(&e);
            self.skipping = true;
        }
        Ok(())
    }

    fn bind(&mut self, body: &mut Bytes) -> Result<Result<(), Refused>, Over> {
        let (portal, name) = (string(body)?, string(body)?);
        let short = |body: &mut Bytes| (body.remaining() >= 2).then(|| body.get_i16()).ok_or(Over);
        let formats = (0..short(body)?).map(|_| short(body)).collect::<Result<Vec<_>, _>>()?;
        let mut raw = Vec::new();
        for _ in 0..short(body)? {
            if body.remaining() < 4 {
                return Err(Over);
            }
            let length = body.get_i32();
            let value = match usize::try_from(length) {
                Err(_) => None,
                Ok(length) if length <= body.remaining() => Some(body.split_to(length)),
                Ok(_) => return Err(Over),
            };
            raw.push(value);
        }
        let results = (0..short(body)?).map(|_| short(body)).collect::<Result<Vec<_>, _>>()?;
        let Some(statement) = self.prepared.get(&name).cloned() else {
            return Ok(Err(Refused("26000", format!("there is no statement `{name}`"))));
        };
        let mut values = Vec::new();
        for (at, value) in raw.into_iter().enumerate() {
            let binary = formats.get(at).or(formats.first()).copied().unwrap_or(0) == 1;
            let value = match (value, statement.parameters.get(at).copied().unwrap_or(TEXT)) {
                (None, _) => Value::Null,
                (Some(bytes), BYTEA) if binary => Value::Blob(bytes.to_vec()),
                (Some(mut bytes), INT8) if binary && bytes.len() == 8 => Value::Integer(bytes.get_i64()),
                (Some(bytes), kind) => {
                    let text = String::from_utf8_lossy(&bytes).into_owned();
                    match kind {
                        INT8 => text.parse().map_or(Value::Null, Value::Integer),
                        _ => Value::Text(text),
                    }
                }
            };
            values.push(value);
        }
        let binary = results.first().copied().unwrap_or(0) == 1;
        self.portals.insert(portal, Portal { statement, values, binary });
        self.message(b'2', b"");
        Ok(Ok(()))
    }

    /// Reads a statement: casts give the types of parameters and go; SQLite tells the columns.
    fn parse(&self, sql: &str) -> Result<Prepared, Refused> {
        let mut types = BTreeMap::new();
        let (mut plain, mut rest) = (String::new(), sql);
        while let Some(at) = rest.find("::") {
            let head = &rest[..at];
            let cast: String = rest[at + 2..].chars().take_while(char::is_ascii_alphanumeric).collect();
            let number = head.rsplit_once('$').and_then(|(_, number)| number.parse::<usize>().ok());
            if let Some(number) = number.filter(|number| (1..=64).contains(number)) {
                types.insert(number, oid(&cast));
            }
            plain.push_str(head);
            rest = &rest[at + 2 + cast.len()..];
        }
        plain.push_str(rest);
        let parameters = (1..=types.keys().max().copied().unwrap_or(0))
            .map(|number| types.get(&number).copied().unwrap_or(TEXT))
            .collect();
        // PostgreSQL's `$1` is SQLite's `?1`.
        let plain = plain.replace('$', "?");
        let columns = match verb(&plain).as_str() {
            "SELECT" | "UPDATE" | "INSERT" | "DELETE" => self.columns(&plain)?,
            _ => Vec::new(),
        };
        Ok(Prepared { sql: plain, parameters, columns })
    }

    fn columns(&self, sql: &str) -> Result<Vec<(String, u32)>, Refused> {
        let data = lock(&self.server.data);
        let db = if self.transaction.is_some() { &data.writer } else { &data.reader };
        let statement = db.prepare(sql).map_err(|e| refused(&e))?;
        let columns = statement.columns();
        let columns = columns.map(|column| (column.name().to_owned(), column.decl_type().map(oid)));
        let named = "SELECT p.type FROM sqlite_master m JOIN pragma_table_info(m.name) p WHERE p.name = ?1";
        let of_name = |name: &str| {
            let kind = db.query_row(named, [name], |row| row.get::<_, String>(0));
            kind.map_or(TEXT, |kind| oid(&kind))
        };
        Ok(columns.map(|(name, kind)| (name.clone(), kind.unwrap_or_else(|| of_name(&name)))).collect())
    }

    fn describe(&mut self, statement: &Prepared, parameters: bool) {
        if parameters {
            let mut body = BytesMut::new();
            body.put_i16(statement.parameters.len() as i16);
            statement.parameters.iter().for_each(|kind| body.put_u32(*kind));
            self.message(b't', &body);
        }
        self.row_description(&statement.columns, true);
    }

    fn row_description(&mut self, columns: &[(String, u32)], binary: bool) {
        if columns.is_empty() {
            return self.message(b'n', b"");
        }
        let mut body = BytesMut::new();
        body.put_i16(columns.len() as i16);
        for (name, kind) in columns {
            text(&mut body, name);
            body.put_u32(0);
            body.put_i16(0);
            body.put_u32(*kind);
            body.put_i16(-1);
            body.put_i32(-1);
            body.put_i16(binary.into());
        }
        self.message(b'T', &body);
    }

    /// Runs a statement and says its rows and its end; an error is the caller's to say.
    async fn run_statement(
        &mut self,
        statement: &Prepared,
        values: Vec<Value>,
        binary: bool,
        simple: bool,
    ) -> Result<Result<(), Refused>, Over> {
        let verb = verb(&statement.sql);
        if self.broken && !matches!(verb.as_str(), "ROLLBACK" | "COMMIT") {
            return Ok(Err(Refused("25P02", "current transaction is aborted".into())));
        }
        match verb.as_str() {
            "SET" => {
                if let Some((_, limit)) = statement.sql.split_once("statement_timeout = ") {
                    self.limit = Duration::from_millis(limit.trim().parse().unwrap_or(0));
                }
                self.complete("SET");
                return Ok(Ok(()));
            }
            "LISTEN" => {
                self.listens = Some(self.server.notices.subscribe());
                self.complete("LISTEN");
                return Ok(Ok(()));
            }
            "BEGIN" => {
                if self.transaction.is_none() {
                    self.transaction = Some(self.server.turn.clone().lock_owned().await);
                    self.broken = false;
                    lock(&self.server.pending).clear();
                    if let Err(e) = lock(&self.server.data).writer.execute_batch("BEGIN IMMEDIATE") {
                        self.transaction = None;
                        return Ok(Err(refused(&e)));
                    }
                }
                self.complete("BEGIN");
                return Ok(Ok(()));
            }
            "COMMIT" if !self.broken => return self.commit().await,
            "COMMIT" | "ROLLBACK" => {
                self.roll_back();
                self.complete("ROLLBACK");
                return Ok(Ok(()));
            }
            _ => {}
        }
        self.server.counters.statements.fetch_add(1, Ordering::Relaxed);
        if verb == "SELECT" && statement.sql.contains(" zones ") {
            self.server.counters.reads.fetch_add(1, Ordering::Relaxed);
        }
        if let PgFault::Slow(ms) = self.fault() {
            let work = tokio::time::sleep(Duration::from_millis(ms));
            let limit = async {
                match self.limit.is_zero() {
                    true => std::future::pending().await,
                    false => tokio::time::sleep(self.limit).await,
                }
            };
            let cancelled = || Ok(Err(Refused("57014", "canceling statement".into())));
            tokio::select! {
                () = work => {}
                () = limit => return cancelled(),
                () = self.cancelled.notified() => return cancelled(),
            }
        }
        let ran = {
            let data = lock(&self.server.data);
            let db = if self.transaction.is_some() { &data.writer } else { &data.reader };
            rows(db, &statement.sql, &values, &statement.columns, binary)
        };
        if let PgFault::Late(ms) = self.fault() {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        let (rows, changed) = match ran {
            Ok(ran) => ran,
            Err(e) => return Ok(Err(refused(&e))),
        };
        if simple && !statement.columns.is_empty() {
            self.row_description(&statement.columns, false);
        }
        let count = rows.len();
        for row in &rows {
            self.message(b'D', row);
            if self.fault() == PgFault::MidRow {
                let half = self.out.len() - row.len() / 2;
                self.out.truncate(half);
                self.flush().await?;
                let _ = self.stream.set_zero_linger();
                return Err(Over);
            }
        }
        match verb.as_str() {
            "SELECT" => self.complete(&format!("SELECT {count}")),
            "INSERT" => self.complete(&format!("INSERT 0 {changed}")),
            "UPDATE" | "DELETE" => self.complete(&format!("{verb} {changed}")),
            other => self.complete(other),
        }
        Ok(Ok(()))
    }

    async fn commit(&mut self) -> Result<Result<(), Refused>, Over> {
        if self.fault() == PgFault::Serialization {
            self.roll_back();
            return Ok(Err(Refused("40001", "could not serialize access".into())));
        }
        let done = {
            let (data, begun) = (lock(&self.server.data), Mono::now());
            let done = data.writer.execute_batch("COMMIT");
            if let (Ok(()), Some(witness)) = (&done, self.server.witness.get()) {
                witness(&data.writer, begun);
            }
            done
        };
        if let Err(e) = done {
            self.roll_back();
            return Ok(Err(refused(&e)));
        }
        self.server.counters.commits.fetch_add(1, Ordering::Relaxed);
        let pending = std::mem::take(&mut *lock(&self.server.pending));
        for notice in pending {
            let _ = self.server.notices.send(notice);
        }
        self.transaction = None;
        if self.fault() == PgFault::CommitLost {
            let _ = self.stream.set_zero_linger();
            return Err(Over);
        }
        if self.fault() == PgFault::CommitSilent {
            tokio::time::sleep(SILENT).await;
            return Err(Over);
        }
        self.complete("COMMIT");
        Ok(Ok(()))
    }

    fn roll_back(&mut self) {
        if self.transaction.take().is_some() {
            let _ = lock(&self.server.data).writer.execute_batch("ROLLBACK");
        }
        self.broken = false;
    }

    fn fail(&mut self, e: &Refused) {
        self.error(e);
        self.broken = self.transaction.is_some();
    }

    fn error(&mut self, Refused(code, words): &Refused) {
        let mut body = BytesMut::new();
        for (field, value) in [(b'S', "ERROR"), (b'V', "ERROR"), (b'C', code), (b'M', words.as_str())] {
            body.put_u8(field);
            text(&mut body, value);
        }
        body.put_u8(0);
        self.message(b'E', &body);
    }

    fn complete(&mut self, tag: &str) {
        let mut body = BytesMut::new();
        text(&mut body, tag);
        self.message(b'C', &body);
    }

    fn ready(&mut self) {
        let state = match (&self.transaction, self.broken) {
            (None, _) => b'I',
            (Some(_), false) => b'T',
            (Some(_), true) => b'E',
        };
        self.message(b'Z', &[state]);
    }

    fn message(&mut self, kind: u8, body: &[u8]) {
        self.out.put_u8(kind);
        self.out.put_u32(body.len() as u32 + 4);
        self.out.put_slice(body);
    }
}

fn text(body: &mut BytesMut, value: &str) {
    body.put_slice(value.as_bytes());
    body.put_u8(0);
}

fn string(body: &mut Bytes) -> Result<String, Over> {
    let end = body.iter().position(|byte| *byte == 0).ok_or(Over)?;
    let text = body.split_to(end);
    body.advance(1);
    String::from_utf8(text.to_vec()).map_err(|_| Over)
}

fn oid(kind: &str) -> u32 {
    match kind.to_ascii_lowercase().as_str() {
        "bigint" | "int8" => INT8,
        "bytea" => BYTEA,
        _ => TEXT,
    }
}

fn verb(sql: &str) -> String {
    sql.split_whitespace().next().unwrap_or_default().to_ascii_uppercase()
}

fn refused(e: &rusqlite::Error) -> Refused {
    let words = e.to_string();
    let code = match &words {
        words if words.contains("no such table") => "42P01",
        words if words.contains("already exists") => "42P07",
        words if words.contains("locked") => "55P03",
        _ => "42601",
    };
    Refused(code, words)
}

/// The rows of a statement as they go out, and how many it changed.
fn rows(
    db: &Connection,
    sql: &str,
    values: &[Value],
    columns: &[(String, u32)],
    binary: bool,
) -> rusqlite::Result<(Vec<BytesMut>, usize)> {
    let mut statement = db.prepare_cached(sql)?;
    let parameters = rusqlite::params_from_iter(values);
    if columns.is_empty() {
        return Ok((Vec::new(), statement.execute(parameters)?));
    }
    let mut found = statement.query(parameters)?;
    let mut rows = Vec::new();
    while let Some(row) = found.next()? {
        let mut body = BytesMut::new();
        body.put_i16(columns.len() as i16);
        for at in 0..columns.len() {
            let bytes = match (row.get::<_, Value>(at)?, binary) {
                (Value::Null, _) => {
                    body.put_i32(-1);
                    continue;
                }
                (Value::Integer(number), true) => number.to_be_bytes().to_vec(),
                (Value::Integer(number), false) => number.to_string().into_bytes(),
                (Value::Real(number), _) => number.to_string().into_bytes(),
                (Value::Text(text), _) => text.into_bytes(),
                (Value::Blob(bytes), true) => bytes,
                (Value::Blob(bytes), false) => {
                    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
                    format!("\\x{hex}").into_bytes()
                }
            };
            body.put_i32(bytes.len() as i32);
            body.put_slice(&bytes);
        }
        rows.push(body);
    }
    let changed = rows.len();
    Ok((rows, changed))
}
