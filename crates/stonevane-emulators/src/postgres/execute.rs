//! Execution of statements in a session: transactions, queries, and the faults injected into them.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use rusqlite::types::Value;

use super::PgFault;
use super::database::{self, QueryResult};
use super::error::{SessionError, SqlError};
use super::message::{Format, backend};
use super::session::{QueryProtocol, Session};
use super::statement::Statement;
use crate::record::MonotonicClock;
use crate::server::lock;

/// Time after which a session without an answer to its commit ends ([`PgFault::CommitSilent`]).
const SILENT_SESSION_TIMEOUT: Duration = Duration::from_secs(20);

impl Session {
    /// Runs a statement, and queues its rows and its `CommandComplete`.
    pub(super) async fn run_statement(
        &mut self,
        statement: &Statement,
        parameters: &[Value],
        format: Format,
        protocol: QueryProtocol,
    ) -> Result<(), SessionError> {
        let command = statement.command();
        if self.transaction_failed && !matches!(command.as_str(), "ROLLBACK" | "COMMIT") {
            return Err(SqlError::new("25P02", "current transaction is aborted").into());
        }
        match command.as_str() {
            "SET" => self.set(&statement.sql),
            "LISTEN" => {
                self.notifications = Some(self.server.notifications.subscribe());
                self.output.command_complete("LISTEN");
            }
            "BEGIN" => self.begin().await?,
            "COMMIT" if !self.transaction_failed => self.commit().await?,
            "COMMIT" | "ROLLBACK" => {
                self.roll_back();
                self.output.command_complete("ROLLBACK");
            }
            _ => self.query(statement, parameters, format, protocol).await?,
        }
        Ok(())
    }

    fn set(&mut self, sql: &str) {
        if let Some((_, timeout)) = sql.split_once("statement_timeout = ") {
            self.statement_timeout = Duration::from_millis(timeout.trim().parse().unwrap_or(0));
        }
        self.output.command_complete("SET");
    }

    async fn begin(&mut self) -> Result<(), SessionError> {
        if self.transaction.is_none() {
            self.transaction = Some(self.server.transaction_lock.clone().lock_owned().await);
            self.transaction_failed = false;
            lock(&self.server.pending_notifications).clear();
            if let Err(error) = lock(&self.server.database).writer.execute_batch("BEGIN IMMEDIATE") {
                self.transaction = None;
                return Err(error.into());
            }
        }
        self.output.command_complete("BEGIN");
        Ok(())
    }

    async fn commit(&mut self) -> Result<(), SessionError> {
        if self.fault() == PgFault::Serialization {
            self.roll_back();
            return Err(SqlError::new("40001", "could not serialize access").into());
        }
        if let Err(error) = self.commit_database() {
            self.roll_back();
            return Err(error.into());
        }
        self.server.counters.commits.fetch_add(1, Ordering::Relaxed);
        let notifications = std::mem::take(&mut *lock(&self.server.pending_notifications));
        for notification in notifications {
            let _ = self.server.notifications.send(notification);
        }
        self.transaction = None;
        match self.fault() {
            PgFault::CommitLost => {
                self.reset();
                Err(SessionError::Ended)
            }
            PgFault::CommitSilent => {
                tokio::time::sleep(SILENT_SESSION_TIMEOUT).await;
                Err(SessionError::Ended)
            }
            _ => {
                self.output.command_complete("COMMIT");
                Ok(())
            }
        }
    }

    fn commit_database(&self) -> rusqlite::Result<()> {
        let database = lock(&self.server.database);
        let started_us = MonotonicClock::now();
        database.writer.execute_batch("COMMIT")?;
        if let Some(observe) = self.server.commit_observer.get() {
            observe(&database.writer, started_us);
        }
        Ok(())
    }

    /// Rolls back the open transaction, if there is one.
    pub(super) fn roll_back(&mut self) {
        if self.transaction.take().is_some() {
            let _ = lock(&self.server.database).writer.execute_batch("ROLLBACK");
        }
        self.transaction_failed = false;
    }

    async fn query(
        &mut self,
        statement: &Statement,
        parameters: &[Value],
        format: Format,
        protocol: QueryProtocol,
    ) -> Result<(), SessionError> {
        let command = statement.command();
        self.count_statement(&command, &statement.sql);
        self.apply_slow_fault().await?;
        let result = self.execute(statement, parameters, format);
        if let PgFault::Late(ms) = self.fault() {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        let QueryResult { rows, affected } = result?;
        if protocol == QueryProtocol::Simple && !statement.columns.is_empty() {
            self.output.row_description(&statement.columns, Format::Text);
        }
        self.send_rows(&rows).await?;
        self.output.command_complete(&match command.as_str() {
            "SELECT" => format!("SELECT {}", rows.len()),
            "INSERT" => format!("INSERT 0 {affected}"),
            "UPDATE" | "DELETE" => format!("{command} {affected}"),
            other => other.to_owned(),
        });
        Ok(())
    }

    fn count_statement(&self, command: &str, sql: &str) {
        let counters = &self.server.counters;
        counters.statements.fetch_add(1, Ordering::Relaxed);
        if command == "SELECT" && sql.contains(" zones ") {
            counters.reads.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits for the delay of [`PgFault::Slow`]; fails on the statement timeout or a cancel request.
    async fn apply_slow_fault(&self) -> Result<(), SqlError> {
        let PgFault::Slow(ms) = self.fault() else { return Ok(()) };
        let timeout = async {
            match self.statement_timeout.is_zero() {
                true => std::future::pending().await,
                false => tokio::time::sleep(self.statement_timeout).await,
            }
        };
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(ms)) => return Ok(()),
            () = timeout => {}
            () = self.cancelled.notified() => {}
        }
        Err(SqlError::new("57014", "canceling statement"))
    }

    fn execute(
        &self,
        statement: &Statement,
        parameters: &[Value],
        format: Format,
    ) -> rusqlite::Result<QueryResult> {
        let database = lock(&self.server.database);
        let connection = database.connection(self.transaction.is_some());
        database::execute(connection, statement, parameters, format)
    }

    async fn send_rows(&mut self, rows: &[BytesMut]) -> Result<(), SessionError> {
        for row in rows {
            self.output.message(backend::DATA_ROW, row);
            if self.fault() == PgFault::MidRow {
                self.output.truncate_by(row.len() / 2);
                self.flush().await?;
                self.reset();
                return Err(SessionError::Ended);
            }
        }
        Ok(())
    }
}
