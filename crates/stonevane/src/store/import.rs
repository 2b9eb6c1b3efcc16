//! `stonevane store import`.

use std::path::PathBuf;

use clap::Args;
use stonevane_store::Edit;

use super::rows::{self, Row};
use super::{BATCH, Progress, open_existing};
use crate::error::CommandError;

/// An import.
#[derive(Args)]
pub struct Import {
    /// The store.
    file: PathBuf,
    /// What is imported, `.csv` or `.jsonl`.
    from: PathBuf,
}

impl Import {
    pub(super) fn source_name(&self) -> String {
        self.from.display().to_string()
    }

    pub(super) async fn run(self) -> Result<(), CommandError> {
        let store = open_existing(&self.file)?;
        // A source is known by its name and its length: one that has changed begins anew.
        let length = std::fs::metadata(&self.from)?.len();
        let name = self.from.canonicalize()?;
        let source = format!("{}#{length}", name.display());
        let done = store.imported(&source).await?;
        if done > 0 {
            warn!("goes on after line {done}");
        }
        let (mut batch, mut count, mut last_line) = (Vec::new(), 0, done);
        let mut progress = Progress::new();
        for row in rows::read(&self.from)? {
            let Row { line, key, value } = row?;
            if line <= done {
                continue;
            }
            let edit = Edit { key, value, token: None, remember_ms: 0 };
            edit.check().map_err(|error| CommandError::unusable(format!("line {line}: {error}")))?;
            batch.push((edit.key, edit.value));
            last_line = line;
            if batch.len() == BATCH {
                count += batch.len() as u64;
                store.import(&source, last_line, std::mem::take(&mut batch)).await?;
                progress.update(count, "zones");
            }
        }
        count += batch.len() as u64;
        store.import(&source, last_line, batch).await?;
        say!("{count} zones imported");
        Ok(())
    }
}
