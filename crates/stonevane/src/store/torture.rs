//! `stonevane store torture`: crash test of the SQLite store.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::time::Duration;

use stonevane_store::sqlite::{Options, check};

use super::Progress;
use crate::error::CommandError;

/// Number of distinct keys that are written.
const KEYS: u64 = 50;
/// Number of edits requested from a process that is killed: more than it can make before the kill.
const EDITS_UNTIL_KILLED: u64 = 1_000_000;
/// Upper bound of the time from a process's start to its kill: kills range from before it has opened the file
/// to after some hundred edits.
const LATEST_KILL_US: u64 = 40_000;

/// Receipts of all processes so far.
#[derive(Default)]
struct Receipts {
    /// Versions from the receipts, by token.
    versions: BTreeMap<u64, u64>,
    /// Number of edits that were applied although their process was killed before the receipt arrived.
    repeats: u64,
    /// Next token. An edit without a receipt is sent again with the same token.
    next: u64,
}

/// A process that writes, and the thread that kills it.
struct Writer {
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    killer: std::thread::JoinHandle<Child>,
}

impl Writer {
    fn start(file: &Path, kill_after: Option<Duration>) -> Result<Writer, CommandError> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["store", "put"])
            .arg(file)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let (Some(input), Some(output)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(CommandError::not_run("the writing process has no pipes"));
        };
        let killer = std::thread::spawn(move || {
            if let Some(delay) = kill_after {
                std::thread::sleep(delay);
                let _ = child.kill();
            }
            child
        });
        Ok(Writer { input, output: BufReader::new(output), killer })
    }

    /// Sends one edit and returns its receipt; `None` if the process was killed before it printed a complete
    /// line.
    fn write(&mut self, token: u64) -> Option<String> {
        let sent = writeln!(self.input, "{token} key-{} value-{token}", token % KEYS);
        sent.and_then(|()| self.input.flush()).ok()?;
        let mut line = String::new();
        let read = self.output.read_line(&mut line).unwrap_or(0);
        (read > 0 && line.ends_with('\n')).then_some(line)
    }

    /// Waits until the process has ended.
    fn finish(self) {
        drop(self.input);
        if let Ok(mut child) = self.killer.join() {
            let _ = child.wait();
        }
    }
}

impl Receipts {
    /// Sends edits until the process is killed or `count` receipts have arrived.
    fn collect(&mut self, writer: &mut Writer, count: u64) -> Result<(), CommandError> {
        let end = self.next + count;
        while self.next < end {
            let Some(line) = writer.write(self.next) else { break };
            let words: Vec<_> = line.split_whitespace().collect();
            let version = words.get(1).and_then(|word| word.parse().ok());
            let version =
                version.ok_or_else(|| CommandError::Damaged(format!("unexpected receipt {line:?}")))?;
            self.repeats += u64::from(words.get(2) == Some(&"true"));
            self.versions.insert(self.next, version);
            self.next += 1;
        }
        Ok(())
    }

    /// Checks that each edit made exactly one version: no version is missing or occurs twice, and they are in
    /// order.
    fn check(&self) -> Result<(), CommandError> {
        let receipts = self.versions.len();
        let distinct: BTreeSet<_> = self.versions.values().collect();
        let newest = self.versions.values().max().copied().unwrap_or(0);
        let in_order = self.versions.values().is_sorted_by(|one, other| one < other);
        if distinct.len() == receipts && newest == receipts as u64 && in_order {
            return Ok(());
        }
        let counts = format!("{receipts} receipts, {} versions, the newest {newest}", distinct.len());
        Err(CommandError::Damaged(format!("an edit was lost or applied twice: {counts}")))
    }
}

/// Kills writing processes one after another, and checks their receipts and the store.
pub(super) fn torture(file: &Path, kills: u64, seed: u64) -> Result<(), CommandError> {
    if file.exists() {
        return Err(CommandError::unusable("already exists; torture needs a new file"));
    }
    let (mut receipts, mut progress) = (Receipts::default(), Progress::new());
    let mut random = seed | 1;
    for kill in 0..=kills {
        // Knuth's linear congruential generator.
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let delay = Duration::from_micros((random >> 33) % LATEST_KILL_US);
        // The last process is not killed: it repeats the edit whose receipt may be missing.
        let last = kill == kills;
        let mut writer = Writer::start(file, (!last).then_some(delay))?;
        receipts.collect(&mut writer, if last { 1 } else { EDITS_UNTIL_KILLED })?;
        writer.finish();
        progress.update(kill, "kills");
    }
    let zones = check(file, &Options::default())?;
    receipts.check()?;
    outln!(
        "{kills} kills, {} edits: every receipt kept, none applied twice; {} were applied but their receipt was lost in the kill; {zones} zones",
        receipts.versions.len(),
        receipts.repeats
    );
    Ok(())
}
