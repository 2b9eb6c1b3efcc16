//! `stonevane store export`: writes a store's zones to a CSV or JSON lines file.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

use stonevane_store::Zone;
use stonevane_store::sqlite::salvage as salvage_zones;

use super::rows::Format;
use super::{BATCH_ZONES, Progress, open_existing};
use crate::error::CommandError;

/// An output file, written under a temporary name and renamed once it is complete.
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
                let not_utf8 = |_| {
                    io::Error::other(format!("the value of {} is not UTF-8, which JSON requires", zone.key))
                };
                let value = std::str::from_utf8(&zone.value).map_err(not_utf8)?;
                let row = serde_json::json!({"key": zone.key, "value": value, "version": zone.version});
                writeln!(self.out, "{row}")?;
            }
        }
        self.count += 1;
        self.progress.update(self.count, "zones");
        Ok(())
    }

    /// Syncs and renames the file; returns the number of zones in it.
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
        let zones = store.page(&after, BATCH_ZONES).await?;
        let Some(last) = zones.last() else { break };
        after.clone_from(&last.key);
        for zone in &zones {
            out.write(zone).map_err(|error| CommandError::unusable_file(to, error))?;
        }
    }
    outln!("{} zones exported", out.finish()?);
    Ok(())
}

/// Exports the readable zones of a damaged file.
pub(super) fn salvage(file: &Path, to: &Path) -> Result<(), CommandError> {
    let mut out = Export::begin(to)?;
    let (count, errors) = salvage_zones(file, |zone| out.write(&zone))?;
    out.finish()?;
    for error in &errors {
        errln!("stonevane: {}: {error}", file.display());
    }
    outln!("{count} zones saved{}", if errors.is_empty() { "" } else { "; some could not be read" });
    Ok(())
}
