//! The data of the server: a SQLite file, with the PostgreSQL functions that SQLite lacks.

use std::fmt::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};

use bytes::{BufMut, BytesMut};
use rusqlite::functions::FunctionFlags;
use rusqlite::types::Value;
use rusqlite::{Connection, Row};

use super::message::Format;
use super::statement::{Column, Statement};
use crate::server::lock;

/// Length field of a NULL value on the wire.
const NULL_LENGTH: i32 = -1;

/// Two connections to one file, so that reads outside a transaction don't see its uncommitted changes.
pub(super) struct Database {
    /// Connection for the open transaction.
    pub(super) writer: Connection,
    /// Connection for statements outside a transaction.
    pub(super) reader: Connection,
}

/// Result of a statement.
pub(super) struct QueryResult {
    /// Rows, each encoded as the body of a `DataRow` message.
    pub(super) rows: Vec<BytesMut>,
    /// Number of rows returned, or changed if the statement returns none.
    pub(super) affected: usize,
}

impl Database {
    /// Opens a file; `pg_notify` adds its payload to `pending`.
    pub(super) fn open(file: &Path, pending: &Arc<Mutex<Vec<String>>>) -> rusqlite::Result<Database> {
        Ok(Database { writer: connect(file, pending)?, reader: connect(file, pending)? })
    }

    /// Returns the connection for a statement inside or outside a transaction.
    pub(super) fn connection(&self, in_transaction: bool) -> &Connection {
        if in_transaction { &self.writer } else { &self.reader }
    }
}

fn connect(file: &Path, pending: &Arc<Mutex<Vec<String>>>) -> rusqlite::Result<Connection> {
    let connection = Connection::open(file)?;
    connection.pragma_update(None, "journal_mode", "WAL")?;
    connection.pragma_update(None, "synchronous", "OFF")?;
    let flags = FunctionFlags::SQLITE_UTF8;
    // Transactions run one after another, so an advisory lock has no effect.
    connection.create_scalar_function("pg_advisory_xact_lock", 1, flags, |_| Ok(Value::Null))?;
    let pending = pending.clone();
    connection.create_scalar_function("pg_notify", 2, flags, move |args| {
        lock(&pending).push(args.get(1)?);
        Ok(Value::Text(String::new()))
    })?;
    Ok(connection)
}

/// Runs a statement and encodes its rows.
pub(super) fn execute(
    connection: &Connection,
    statement: &Statement,
    parameters: &[Value],
    format: Format,
) -> rusqlite::Result<QueryResult> {
    let mut prepared = connection.prepare_cached(&statement.sql)?;
    let parameters = rusqlite::params_from_iter(parameters);
    if statement.columns.is_empty() {
        return Ok(QueryResult { rows: Vec::new(), affected: prepared.execute(parameters)? });
    }
    let mut cursor = prepared.query(parameters)?;
    let mut rows = Vec::new();
    while let Some(row) = cursor.next()? {
        rows.push(encode_row(row, &statement.columns, format)?);
    }
    Ok(QueryResult { affected: rows.len(), rows })
}

fn encode_row(row: &Row<'_>, columns: &[Column], format: Format) -> rusqlite::Result<BytesMut> {
    let mut body = BytesMut::new();
    body.put_i16(columns.len() as i16);
    for index in 0..columns.len() {
        match encode_value(row.get(index)?, format) {
            Some(bytes) => {
                body.put_i32(bytes.len() as i32);
                body.put_slice(&bytes);
            }
            None => body.put_i32(NULL_LENGTH),
        }
    }
    Ok(body)
}

/// Encodes a value in a format; `None` for NULL.
fn encode_value(value: Value, format: Format) -> Option<Vec<u8>> {
    match (value, format) {
        (Value::Null, _) => None,
        (Value::Integer(number), Format::Binary) => Some(number.to_be_bytes().to_vec()),
        (Value::Integer(number), Format::Text) => Some(number.to_string().into_bytes()),
        (Value::Real(number), _) => Some(number.to_string().into_bytes()),
        (Value::Text(text), _) => Some(text.into_bytes()),
        (Value::Blob(bytes), Format::Binary) => Some(bytes),
        (Value::Blob(bytes), Format::Text) => Some(bytea_text(&bytes).into_bytes()),
    }
}

/// Returns the text form of a `bytea` value.
fn bytea_text(bytes: &[u8]) -> String {
    let mut text = String::from("\\x");
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
