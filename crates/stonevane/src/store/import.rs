//! `stonevane store import`: reads zones from a CSV or JSON lines file into a store.

use std::path::PathBuf;

use clap::Args;
use stonevane_store::Edit;

use super::rows::{self, Row};
use super::{BATCH_ZONES, Progress, open_existing};
use crate::error::CommandError;

/// Arguments of `stonevane store import`.
#[derive(Args)]
pub struct Import {
    /// Store file; it must exist.
    file: PathBuf,
    /// Input file, `.csv` or `.jsonl`.
    from: PathBuf,
}

impl Import {
    pub(super) fn source_name(&self) -> String {
        self.from.display().to_string()
    }

    pub(super) async fn run(self) -> Result<(), CommandError> {
        let store = open_existing(&self.file)?;
        // A source is identified by its path and its length; if either has changed, the import starts over.
        let length = std::fs::metadata(&self.from)?.len();
        let name = self.from.canonicalize()?;
        let source = format!("{}#{length}", name.display());
        let done = store.imported(&source).await?;
        if done > 0 {
            errln!("resuming after line {done}");
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
            if batch.len() == BATCH_ZONES {
                count += batch.len() as u64;
                store.import(&source, last_line, std::mem::take(&mut batch)).await?;
                progress.update(count, "zones");
            }
        }
        count += batch.len() as u64;
        store.import(&source, last_line, batch).await?;
        outln!("{count} zones imported");
        Ok(())
    }
}
