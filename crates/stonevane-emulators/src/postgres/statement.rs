//! Statements: the subset of PostgreSQL's SQL that the store of record uses, translated to SQLite's SQL.

use std::collections::BTreeMap;

use bytes::{Buf, Bytes};
use rusqlite::Connection;
use rusqlite::types::Value;

use super::message::{Format, oid};

/// Highest parameter number whose cast sets a type.
const MAX_PARAMETERS: usize = 64;

/// A column of a result.
#[derive(Debug, Clone)]
pub(super) struct Column {
    pub(super) name: String,
    pub(super) oid: u32,
}

/// A parsed statement.
#[derive(Debug, Clone)]
pub(super) struct Statement {
    /// The statement for SQLite: without casts, and with `?1` for `$1`.
    pub(super) sql: String,
    /// Object ids of the types of the parameters `$1`, `$2`, ...
    pub(super) parameter_types: Vec<u32>,
    /// Columns of the result; empty if the statement returns no rows.
    pub(super) columns: Vec<Column>,
}

/// A statement with its parameters bound.
pub(super) struct Portal {
    pub(super) statement: Statement,
    pub(super) parameters: Vec<Value>,
    pub(super) result_format: Format,
}

impl Statement {
    /// Translates a statement, and takes the names of its result columns from SQLite.
    pub(super) fn parse(sql: &str, connection: &Connection) -> rusqlite::Result<Statement> {
        let mut statement = strip_casts(sql);
        if matches!(statement.command().as_str(), "SELECT" | "UPDATE" | "INSERT" | "DELETE") {
            statement.columns = result_columns(&statement.sql, connection)?;
        }
        Ok(statement)
    }

    /// Returns the first word of the statement in upper case.
    pub(super) fn command(&self) -> String {
        self.sql.split_whitespace().next().unwrap_or_default().to_ascii_uppercase()
    }

    /// Decodes the value of a bound parameter.
    pub(super) fn decode_parameter(&self, index: usize, format: Format, value: Option<Bytes>) -> Value {
        let Some(mut bytes) = value else { return Value::Null };
        let kind = self.parameter_types.get(index).copied().unwrap_or(oid::TEXT);
        match (kind, format) {
            (oid::BYTEA, Format::Binary) => Value::Blob(bytes.to_vec()),
            (oid::INT8, Format::Binary) if bytes.len() == size_of::<i64>() => Value::Integer(bytes.get_i64()),
            (oid::INT8, _) => {
                let text = String::from_utf8_lossy(&bytes);
                text.parse().map_or(Value::Null, Value::Integer)
            }
            _ => Value::Text(String::from_utf8_lossy(&bytes).into_owned()),
        }
    }
}

/// Removes all casts, and takes the types of the parameters from the casts applied to them.
fn strip_casts(sql: &str) -> Statement {
    let mut types = BTreeMap::new();
    let (mut plain, mut rest) = (String::new(), sql);
    while let Some(at) = rest.find("::") {
        let (head, tail) = (&rest[..at], &rest[at + 2..]);
        let cast: String = tail.chars().take_while(char::is_ascii_alphanumeric).collect();
        let number = head.rsplit_once('$').and_then(|(_, number)| number.parse::<usize>().ok());
        if let Some(number) = number.filter(|number| (1..=MAX_PARAMETERS).contains(number)) {
            types.insert(number, oid::of_type(&cast));
        }
        plain.push_str(head);
        rest = &tail[cast.len()..];
    }
    plain.push_str(rest);
    let highest = types.keys().max().copied().unwrap_or(0);
    let parameter_types =
        (1..=highest).map(|number| types.get(&number).copied().unwrap_or(oid::TEXT)).collect();
    Statement { sql: plain.replace('$', "?"), parameter_types, columns: Vec::new() }
}

fn result_columns(sql: &str, connection: &Connection) -> rusqlite::Result<Vec<Column>> {
    let statement = connection.prepare(sql)?;
    let columns = statement.columns();
    let column = |column: &rusqlite::Column<'_>| {
        let name = column.name().to_owned();
        let oid = column.decl_type().map_or_else(|| type_of_name(&name, connection), oid::of_type);
        Column { name, oid }
    };
    Ok(columns.map(|each| column(&each)).collect())
}

/// Returns the type of a column that SQLite reports without a declared type, as it does for RETURNING.
fn type_of_name(name: &str, connection: &Connection) -> u32 {
    let query = "SELECT p.type FROM sqlite_master m JOIN pragma_table_info(m.name) p WHERE p.name = ?1";
    let declared = connection.query_row(query, [name], |row| row.get::<_, String>(0));
    declared.map_or(oid::TEXT, |declared| oid::of_type(&declared))
}
