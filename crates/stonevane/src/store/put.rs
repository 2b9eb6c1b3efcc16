//! `stonevane store put`: applies edits from standard input.

use std::io::{BufRead, Read, Write};
use std::path::Path;

use stonevane_store::{Edit, StoreError};

use super::open;
use crate::error::CommandError;

/// Maximum input in bytes; the rest is ignored.
const MAX_INPUT_BYTES: u64 = 1 << 30;
/// Retention of idempotency keys (tokens), in milliseconds.
const REMEMBER_MS: u64 = 3_600_000;

/// Applies edits line by line, and prints each receipt as soon as it arrives.
pub(super) async fn put(file: &Path) -> Result<(), CommandError> {
    let store = open(file)?;
    let stdin = std::io::stdin();
    let mut out = std::io::stdout();
    let (mut lines, mut failed) = (0u64, 0u64);
    for line in stdin.lock().take(MAX_INPUT_BYTES).lines() {
        let line = line?;
        lines += 1;
        let mut words = line.splitn(3, ' ');
        let (Some(token), Some(key), Some(value)) = (words.next(), words.next(), words.next()) else {
            failed += 1;
            writeln!(out, "line {lines} failed, not done: not like `TOKEN KEY VALUE`")?;
            continue;
        };
        let edit = Edit {
            key: key.into(),
            value: value.into(),
            token: Some(token.into()),
            remember_ms: REMEMBER_MS,
        };
        match store.edit(edit).await {
            Ok(receipt) => writeln!(out, "{token} {} {}", receipt.version, receipt.repeat)?,
            Err(error) => {
                failed += 1;
                writeln!(out, "line {lines} failed, {}: {token} {key}: {error}", effect(&error))?;
            }
        }
        out.flush()?;
    }
    match failed {
        0 => Ok(()),
        _ => Err(CommandError::Damaged(format!("{failed} of {lines} lines failed; each is named above"))),
    }
}

/// Describes whether a failed edit may have been applied.
fn effect(error: &StoreError) -> &'static str {
    if error.is_certainly_not_applied() { "not done" } else { "may be done" }
}
