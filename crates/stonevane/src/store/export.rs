//! `stonevane store export`.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

use stonevane_store::Zone;
use stonevane_store::sqlite::salvage as salvage_zones;

use super::rows::Format;
use super::{BATCH, Progress, open_existing};
use crate::error::CommandError;

/// A file beside its place, which gets its name once it is complete.
struct Export<'a> {
    to: &'a Path,
    temporary: PathBuf,
    out: BufWriter<File>,
    format: Format,
    count: u64,
    progress: Progress,
}

impl<'a> Export<'a> {
    fn begin(to: &'a Path) -> Result<Export<'a>, CommandError> {
        let (format, temporary) = (Format::of(to)?, to.with_extension("part"));
        let at_target = |error: io::Error| CommandError::unusable_file(to, error);
        let mut out = BufWriter::new(File::create(&temporary).map_err(at_target)?);
        if format == Format::Csv {
            out.write_all(b"key,value\n").map_err(at_target)?;
        }
        Ok(Export { to, temporary, out, format, count: 0, progress: Progress::new() })
    }

    fn write(&mut self, zone: &Zone) -> io::Result<()> {
        match self.format {
            Format::Csv => {
                let mut writer = csv::Writer::from_writer(&mut self.out);
                writer.write_record([zone.key.as_bytes(), &zone.value])?;
                writer.flush()?;
            }
            Format::JsonLines => {
                let no_text = |_| io::Error::other(format!("the value of {} is no text", zone.key));
                let value = std::str::from_utf8(&zone.value).map_err(no_text)?;
                let row = serde_json::json!({"key": zone.key, "value": value, "version": zone.version});
                writeln!(self.out, "{row}")?;
            }
        }
        self.count += 1;
        self.progress.update(self.count, "zones");
        Ok(())
    }

    /// Gives the file its name; returns the number of its zones.
    fn finish(mut self) -> Result<u64, CommandError> {
        let synced = self.out.flush().and_then(|()| self.out.get_ref().sync_all());
        let renamed = synced.and_then(|()| std::fs::rename(&self.temporary, self.to));
        renamed.map_err(|error| CommandError::unusable_file(self.to, error))?;
        Ok(self.count)
    }
}

/// Exports all zones of a store.
pub(super) async fn export(file: &Path, to: &Path) -> Result<(), CommandError> {
    Format::of(to)?;
    let store = open_existing(file)?;
    let mut out = Export::begin(to)?;
    let mut after = String::new();
    loop {
        let zones = store.page(&after, BATCH).await?;
        let Some(last) = zones.last() else { break };
        after.clone_from(&last.key);
        for zone in &zones {
            out.write(zone).map_err(|error| CommandError::unusable_file(to, error))?;
        }
    }
    say!("{} zones exported", out.finish()?);
    Ok(())
}

/// Exports what can be read of a damaged file.
pub(super) fn salvage(file: &Path, to: &Path) -> Result<(), CommandError> {
    let mut out = Export::begin(to)?;
    let (count, errors) = salvage_zones(file, |zone| out.write(&zone))?;
    out.finish()?;
    for error in &errors {
        warn!("stonevane: {}: {error}", file.display());
    }
    say!("{count} zones saved{}", if errors.is_empty() { "" } else { "; there were others" });
    Ok(())
}
