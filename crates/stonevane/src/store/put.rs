//! `stonevane store put`.

use std::io::{BufRead, Read, Write};
use std::path::Path;

use stonevane_store::{Edit, StoreError};

use super::open;
use crate::error::CommandError;

/// The most that is read, in bytes.
const MAX_INPUT: u64 = 1 << 30;
/// How long tokens are remembered, in milliseconds.
const REMEMBER_MS: u64 = 3_600_000;

/// Carries out the writes that are read, and prints each receipt at once.
pub(super) async fn put(file: &Path) -> Result<(), CommandError> {
    let store = open(file)?;
    let stdin = std::io::stdin();
    let mut out = std::io::stdout();
    let (mut lines, mut failed) = (0u64, 0u64);
    for line in stdin.lock().take(MAX_INPUT).lines() {
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

/// Whether a write that failed may have been done.
fn effect(error: &StoreError) -> &'static str {
    if error.is_certainly_not_applied() { "not done" } else { "may be done" }
}
