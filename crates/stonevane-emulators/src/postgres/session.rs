//! A session: its start-up, and the messages of the simple and the extended query protocol.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedMutexGuard, broadcast};

use super::error::{SessionError, SqlError};
use super::message::{
    BackendKey, Format, HEADER_BYTES, LENGTH_BYTES, MAX_MESSAGE_BYTES, Outgoing, backend, frontend, get_i16,
    get_string, get_value, startup,
};
use super::statement::{Portal, Statement};
use super::{PgFault, Postgres};
use crate::server::lock;

/// Cancel secret, the same for all sessions; cancel requests identify a session by its process id.
const CANCEL_SECRET: i32 = 7;
/// Length of the length field and the code of the first message, in bytes.
const STARTUP_HEADER_BYTES: usize = 8;

/// Protocol by which a statement was received. Only the simple protocol describes the rows with the result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryProtocol {
    Simple,
    Extended,
}

/// The next event of a session: a message of the client, or a notification to send.
enum Received {
    Message { kind: u8, body: Bytes },
    Notification(String),
}

/// A session, with the state that the protocol keeps for it.
pub(super) struct Session {
    pub(super) server: Arc<Postgres>,
    pub(super) stream: TcpStream,
    input: BytesMut,
    pub(super) output: Outgoing,
    statements: HashMap<String, Statement>,
    portals: HashMap<String, Portal>,
    /// Held while a transaction is open.
    pub(super) transaction: Option<OwnedMutexGuard<()>>,
    /// A statement of the open transaction has failed; only COMMIT and ROLLBACK are accepted.
    pub(super) transaction_failed: bool,
    /// An extended query has failed; messages are skipped up to Sync.
    skip_to_sync: bool,
    /// Timeout that the client has set with SET; zero for none.
    pub(super) statement_timeout: Duration,
    pub(super) cancelled: Arc<Notify>,
    key: BackendKey,
    pub(super) notifications: Option<broadcast::Receiver<String>>,
}

impl Session {
    pub(super) fn new(server: Arc<Postgres>, stream: TcpStream) -> Session {
        let process_id = server.next_session.fetch_add(1, Ordering::Relaxed);
        Session {
            server,
            stream,
            input: BytesMut::new(),
            output: Outgoing::default(),
            statements: HashMap::new(),
            portals: HashMap::new(),
            transaction: None,
            transaction_failed: false,
            skip_to_sync: false,
            statement_timeout: Duration::ZERO,
            cancelled: Arc::default(),
            key: BackendKey { process_id, secret: CANCEL_SECRET },
            notifications: None,
        }
    }

    pub(super) fn key(&self) -> BackendKey {
        self.key
    }

    pub(super) fn fault(&self) -> PgFault {
        *self.server.fault.borrow()
    }

    /// Sets the socket to send a TCP reset when it is dropped.
    pub(super) fn reset(&self) {
        let _ = self.stream.set_zero_linger();
    }

    /// Serves the session until it ends.
    pub(super) async fn run(&mut self) -> Result<(), SessionError> {
        if !self.start_up().await? {
            return Ok(());
        }
        loop {
            match self.receive().await? {
                Received::Notification(payload) => {
                    self.output.notification(&payload);
                    self.flush().await?;
                }
                Received::Message { kind, body } => {
                    self.wait_while_stalled().await;
                    if self.fault() == PgFault::Shutdown {
                        let message = "terminating connection due to administrator command";
                        self.output.error(&SqlError::new("57P01", message));
                        return self.flush().await;
                    }
                    self.handle_message(kind, body).await?;
                }
            }
        }
    }

    /// Waits for the next message, or for a notification that arrives between messages.
    async fn receive(&mut self) -> Result<Received, SessionError> {
        while self.input.len() < HEADER_BYTES {
            let (notifications, stream, input) = (&mut self.notifications, &mut self.stream, &mut self.input);
            let notification = async {
                match notifications {
                    Some(notifications) => notifications.recv().await.ok(),
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                read = stream.read_buf(input) => {
                    if read? == 0 {
                        return Err(SessionError::Ended);
                    }
                }
                payload = notification => {
                    if let Some(payload) = payload {
                        return Ok(Received::Notification(payload));
                    }
                }
            }
        }
        let length = (&self.input[1..HEADER_BYTES]).get_u32() as usize;
        if !(LENGTH_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
            return Err(SessionError::Ended);
        }
        self.read_at_least(1 + length).await?;
        let mut message = self.input.split_to(1 + length);
        let kind = message[0];
        message.advance(HEADER_BYTES);
        Ok(Received::Message { kind, body: message.freeze() })
    }

    async fn read_at_least(&mut self, length: usize) -> Result<(), SessionError> {
        while self.input.len() < length {
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Err(SessionError::Ended);
            }
        }
        Ok(())
    }

    pub(super) async fn flush(&mut self) -> Result<(), SessionError> {
        self.wait_while_stalled().await;
        let output = self.output.take();
        Ok(self.stream.write_all(&output).await?)
    }

    async fn wait_while_stalled(&self) {
        let mut fault = self.server.fault.subscribe();
        let _ = fault.wait_for(|fault| *fault != PgFault::Stall).await;
    }

    /// Performs the start-up; `false` if no session is established.
    async fn start_up(&mut self) -> Result<bool, SessionError> {
        if !self.negotiate().await? {
            return Ok(false);
        }
        self.wait_while_stalled().await;
        let rejection = match self.fault() {
            PgFault::Shutdown => Some(SqlError::new("57P03", "the database system is shutting down")),
            PgFault::TooMany => Some(SqlError::new("53300", "sorry, too many clients already")),
            _ => None,
        };
        if let Some(rejection) = rejection {
            self.output.error(&rejection);
            self.flush().await?;
            return Ok(false);
        }
        lock(&self.server.cancel_signals).insert(self.key, self.cancelled.clone());
        self.output.authentication_ok();
        self.output.parameter_status("server_version", "15.0");
        self.output.parameter_status("client_encoding", "UTF8");
        self.output.backend_key(self.key);
        self.ready_for_query();
        self.flush().await?;
        Ok(true)
    }

    /// Reads messages up to the start-up message; `false` if the connection carried a cancel request.
    async fn negotiate(&mut self) -> Result<bool, SessionError> {
        loop {
            self.read_at_least(STARTUP_HEADER_BYTES).await?;
            let length = (&self.input[..LENGTH_BYTES]).get_u32() as usize;
            let code = (&self.input[LENGTH_BYTES..STARTUP_HEADER_BYTES]).get_u32();
            if !(STARTUP_HEADER_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
                return Err(SessionError::Ended);
            }
            self.read_at_least(length).await?;
            let mut message = self.input.split_to(length);
            message.advance(STARTUP_HEADER_BYTES);
            match code {
                // TLS is not supported.
                startup::SSL_REQUEST => self.stream.write_all(b"N").await?,
                startup::CANCEL_REQUEST if message.len() >= 2 * size_of::<i32>() => {
                    let key = BackendKey { process_id: message.get_i32(), secret: message.get_i32() };
                    self.cancel(key);
                    return Ok(false);
                }
                startup::VERSION_3 => return Ok(true),
                _ => return Err(SessionError::Ended),
            }
        }
    }

    fn cancel(&self, key: BackendKey) {
        self.server.counters.cancels.fetch_add(1, Ordering::Relaxed);
        if let Some(cancelled) = lock(&self.server.cancel_signals).get(&key) {
            cancelled.notify_one();
        }
    }

    async fn handle_message(&mut self, kind: u8, body: Bytes) -> Result<(), SessionError> {
        if self.skip_to_sync && kind != frontend::SYNC && kind != frontend::TERMINATE {
            return Ok(());
        }
        match self.dispatch(kind, body).await {
            Err(SessionError::Sql(error)) => {
                self.fail(&error);
                self.skip_to_sync = true;
                Ok(())
            }
            result => result,
        }
    }

    async fn dispatch(&mut self, kind: u8, mut body: Bytes) -> Result<(), SessionError> {
        match kind {
            frontend::QUERY => self.simple_query(&get_string(&mut body)?).await,
            frontend::PARSE => self.prepare(&mut body),
            frontend::DESCRIBE => self.describe(&mut body),
            frontend::BIND => self.bind(&mut body),
            frontend::EXECUTE => self.execute_portal(&get_string(&mut body)?).await,
            frontend::CLOSE => self.close(&mut body),
            frontend::SYNC => {
                self.skip_to_sync = false;
                self.ready_for_query();
                self.flush().await
            }
            frontend::FLUSH => self.flush().await,
            frontend::TERMINATE => Err(SessionError::Ended),
            _ => Err(SqlError::new("08P01", format!("message {kind} is not known here")).into()),
        }
    }

    async fn simple_query(&mut self, script: &str) -> Result<(), SessionError> {
        for sql in script.split(';').map(str::trim).filter(|sql| !sql.is_empty()) {
            match self.run_simple(sql).await {
                Err(SessionError::Sql(error)) => {
                    self.fail(&error);
                    break;
                }
                result => result?,
            }
        }
        self.ready_for_query();
        self.flush().await
    }

    async fn run_simple(&mut self, sql: &str) -> Result<(), SessionError> {
        let statement = self.parse(sql)?;
        self.run_statement(&statement, &[], Format::Text, QueryProtocol::Simple).await
    }

    fn prepare(&mut self, body: &mut Bytes) -> Result<(), SessionError> {
        let (name, sql) = (get_string(body)?, get_string(body)?);
        let statement = self.parse(&sql)?;
        self.statements.insert(name, statement);
        self.output.message(backend::PARSE_COMPLETE, b"");
        Ok(())
    }

    fn parse(&self, sql: &str) -> Result<Statement, SqlError> {
        let database = lock(&self.server.database);
        Ok(Statement::parse(sql, database.connection(self.transaction.is_some()))?)
    }

    fn describe(&mut self, body: &mut Bytes) -> Result<(), SessionError> {
        let kind = if body.has_remaining() { body.get_u8() } else { return Err(SessionError::Ended) };
        let name = get_string(body)?;
        let statement = match kind {
            frontend::STATEMENT => self.statements.get(&name),
            _ => self.portals.get(&name).map(|portal| &portal.statement),
        };
        let Some(statement) = statement else {
            return Err(SqlError::new("26000", format!("there is no `{name}`")).into());
        };
        if kind == frontend::STATEMENT {
            self.output.parameter_description(&statement.parameter_types);
        }
        self.output.row_description(&statement.columns, Format::Binary);
        Ok(())
    }

    fn bind(&mut self, body: &mut Bytes) -> Result<(), SessionError> {
        let (portal, name) = (get_string(body)?, get_string(body)?);
        let formats = get_formats(body)?;
        let mut values = Vec::new();
        for _ in 0..get_i16(body)? {
            values.push(get_value(body)?);
        }
        let result_formats = get_formats(body)?;
        let Some(statement) = self.statements.get(&name).cloned() else {
            return Err(SqlError::new("26000", format!("there is no statement `{name}`")).into());
        };
        // A single format code applies to all parameters.
        let format = |index| formats.get(index).or(formats.first()).copied().unwrap_or(Format::Text);
        let values = values.into_iter().enumerate();
        let parameters =
            values.map(|(index, value)| statement.decode_parameter(index, format(index), value)).collect();
        let result_format = result_formats.first().copied().unwrap_or(Format::Text);
        self.portals.insert(portal, Portal { statement, parameters, result_format });
        self.output.message(backend::BIND_COMPLETE, b"");
        Ok(())
    }

    async fn execute_portal(&mut self, name: &str) -> Result<(), SessionError> {
        let Some(portal) = self.portals.remove(name) else {
            return Err(SqlError::new("34000", format!("there is no portal `{name}`")).into());
        };
        let Portal { statement, parameters, result_format } = portal;
        self.run_statement(&statement, &parameters, result_format, QueryProtocol::Extended).await
    }

    fn close(&mut self, body: &mut Bytes) -> Result<(), SessionError> {
        if body.has_remaining() && body.get_u8() == frontend::STATEMENT {
            let name = get_string(body)?;
            self.statements.remove(&name);
        }
        self.output.message(backend::CLOSE_COMPLETE, b"");
        Ok(())
    }

    /// Sends an error to the client, and marks an open transaction as failed.
    fn fail(&mut self, error: &SqlError) {
        self.output.error(error);
        self.transaction_failed = self.transaction.is_some();
    }

    fn ready_for_query(&mut self) {
        let status = match (&self.transaction, self.transaction_failed) {
            (None, _) => b'I',
            (Some(_), false) => b'T',
            (Some(_), true) => b'E',
        };
        self.output.message(backend::READY_FOR_QUERY, &[status]);
    }
}

fn get_formats(body: &mut Bytes) -> Result<Vec<Format>, SessionError> {
    let count = get_i16(body)?;
    (0..count).map(|_| get_i16(body).map(Format::of_code)).collect()
}
