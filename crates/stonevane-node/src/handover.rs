//! Handover between processes of this node while one replaces another: files in a folder of `$TMPDIR` publish
//! the status of each process to the others. `stonevane_core::handover` decides how they divide the node's
//! capacity.
//!
//! A process holds the lock on `STARTED-PID.lock` while it lives and publishes its status in `STARTED-PID`,
//! which it replaces by rename. A lock that can be taken belongs to a process that has ended: both its files
//! are removed.

use std::fs::{File, TryLockError};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use stonevane_core::Input;
use stonevane_core::handover::{Capacity, ProcessStage, ProcessStatus, divide};
use stonevane_policy::Micros;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::driver::Driver;
use crate::log::log;

/// Folder within `$TMPDIR`, shared with released versions.
const FOLDER: &str = "spardeal-beside";
/// Suffix of the lock file's name.
const LOCK_SUFFIX: &str = ".lock";
/// Interval at which the folder is read while this process is the only one.
const POLL_INTERVAL_ALONE: Duration = Duration::from_millis(200);
/// Interval at which the folder is read while there are other processes.
const POLL_INTERVAL_SHARED: Duration = Duration::from_millis(50);
/// Maximum number of other processes that are taken into account.
const MAX_OTHER_PROCESSES: usize = 8;

/// Identity of a process: its start time in microseconds of Unix time and its process id. A newer process
/// sorts after an older one.
type ProcessId = (Micros, u32);

fn status_file_name((started, pid): ProcessId) -> String {
    format!("{started:020}-{pid}")
}

fn lock_file_name(process: ProcessId) -> String {
    status_file_name(process) + LOCK_SUFFIX
}

fn parse_lock_file_name(file: &str) -> Option<ProcessId> {
    let (started, pid) = file.strip_suffix(LOCK_SUFFIX)?.split_once('-')?;
    Some((started.parse().ok()?, pid.parse().ok()?))
}

/// Replaces a file atomically, so that no reader sees a partial file.
fn replace_file(path: &Path, text: &str) -> std::io::Result<()> {
    let temporary = path.with_extension("new");
    std::fs::write(&temporary, text)?;
    std::fs::rename(&temporary, path)
}

/// Registration of this process among the processes of its node.
pub struct Handover {
    folder: PathBuf,
    own: ProcessStatus,
    /// Held while the process lives.
    _lock: File,
    /// Status line that was last written.
    published: String,
}

impl Handover {
    /// Registers a process, by its start time and process id, among the processes of its node.
    ///
    /// # Errors
    /// The folder or the lock cannot be created.
    pub fn join(tmpdir: &Path, process: ProcessId) -> std::io::Result<Handover> {
        let folder = tmpdir.join(FOLDER);
        std::fs::create_dir_all(&folder)?;
        let lock = File::create(folder.join(lock_file_name(process)))?;
        lock.try_lock().map_err(std::io::Error::other)?;
        let own = ProcessStatus {
            started: process,
            stage: ProcessStage::Starting,
            capacity: Capacity::default(),
            in_flight: 0,
        };
        Ok(Handover { folder, own, _lock: lock, published: String::new() })
    }

    /// Reads the status of the other processes once and limits the driver to the capacity that they leave.
    /// Returns whether there are other processes.
    pub fn poll(&mut self, driver: &Arc<Driver>) -> bool {
        let status = driver.handover_status();
        self.own.stage = status.stage;
        self.own.in_flight = status.in_flight;
        let others = self.other_processes(status.node_capacity);
        let grant = divide(status.node_capacity, &self.own, status.used, &others);
        let granted = grant.capacity;
        // Gained capacity is published before it is used, lost capacity after it has been given up: the sum
        // over all processes never exceeds the total.
        let at_most = Capacity {
            connections: granted.connections.max(self.own.capacity.connections),
            memory: granted.memory.max(self.own.capacity.memory),
        };
        self.publish(at_most);
        driver.input(Input::Handover(grant));
        self.publish(granted);
        !others.is_empty()
    }

    /// Starts a task that polls the folder until the task is stopped.
    pub fn spawn(self, driver: Arc<Driver>) -> HandoverTask {
        let (requests, polls) = mpsc::channel(1);
        let task = tokio::spawn(self.run(driver, polls));
        HandoverTask { task, poller: HandoverPoller { requests } }
    }

    /// Polls at an interval, and at once on request. While there are several processes, exclusions that an
    /// operator sets at one of them reach all.
    async fn run(mut self, driver: Arc<Driver>, mut requests: mpsc::Receiver<oneshot::Sender<()>>) {
        let mut was_shared = false;
        loop {
            let shared = self.poll(&driver);
            if shared || was_shared {
                driver.reload_exclusions();
            }
            if shared != was_shared {
                log(if shared {
                    "another process of this node stands beside"
                } else {
                    "this process is alone"
                });
            }
            was_shared = shared;
            let interval = if shared { POLL_INTERVAL_SHARED } else { POLL_INTERVAL_ALONE };
            tokio::select! {
                () = sleep(interval) => {}
                Some(polled) = requests.recv() => {
                    self.poll(&driver);
                    let _ = polled.send(());
                }
            }
        }
    }

    /// Returns the status of the other processes that are alive.
    fn other_processes(&self, total: Capacity) -> Vec<ProcessStatus> {
        let entries = std::fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let files = entries.filter_map(|entry| entry.file_name().into_string().ok());
        let processes = files.filter_map(|file| parse_lock_file_name(&file));
        processes
            .filter(|process| *process != self.own.started)
            .filter_map(|process| {
                let lock = File::open(self.folder.join(lock_file_name(process))).ok()?;
                self.status_of(process, &lock, total)
            })
            .take(MAX_OTHER_PROCESSES)
            .collect()
    }

    /// Returns the status of another process, given its open lock file; `None` if the process has ended.
    fn status_of(&self, process: ProcessId, lock: &File, total: Capacity) -> Option<ProcessStatus> {
        let status_path = self.folder.join(status_file_name(process));
        let lock_path = self.folder.join(lock_file_name(process));
        if !matches!(lock.try_lock(), Err(TryLockError::WouldBlock)) {
            let _ = std::fs::remove_file(&status_path);
            let _ = std::fs::remove_file(&lock_path);
            return None;
        }
        let text = std::fs::read_to_string(&status_path).unwrap_or_default();
        // An ending process removes its lock file before its status file and holds the lock until it exits.
        // If it were taken for a process that has not published yet, it would be assumed to hold the whole
        // capacity.
        if text.is_empty() && !lock_path.exists() {
            return None;
        }
        Some(ProcessStatus::decode(process, &text).unwrap_or_else(|| self.unpublished_status(process, total)))
    }

    /// Returns the status that is assumed of a process without a readable one: an older process may hold the
    /// whole capacity; a newer one takes only what is left, so it counts as holding none.
    fn unpublished_status(&self, process: ProcessId, total: Capacity) -> ProcessStatus {
        let capacity = if process < self.own.started { total } else { Capacity::default() };
        ProcessStatus { started: process, stage: ProcessStage::Starting, capacity, in_flight: 0 }
    }

    fn publish(&mut self, capacity: Capacity) {
        self.own.capacity = capacity;
        let line = self.own.encode();
        if line == self.published {
            return;
        }
        match replace_file(&self.folder.join(status_file_name(self.own.started)), &line) {
            Ok(()) => self.published = line,
            Err(error) => log(&format!("cannot publish the handover status of this process: {error}")),
        }
    }
}

impl Drop for Handover {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(self.folder.join(lock_file_name(self.own.started)));
        let _ = std::fs::remove_file(self.folder.join(status_file_name(self.own.started)));
    }
}

/// Handle of the task that polls for other processes of this node.
pub struct HandoverTask {
    task: JoinHandle<()>,
    poller: HandoverPoller,
}

impl HandoverTask {
    /// Returns a handle that requests polls from this task.
    pub fn poller(&self) -> HandoverPoller {
        self.poller.clone()
    }

    /// Ends the task and removes the files of this process.
    pub async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// Handle that requests polls between the intervals.
#[derive(Clone)]
pub struct HandoverPoller {
    requests: mpsc::Sender<oneshot::Sender<()>>,
}

impl HandoverPoller {
    /// Requests a poll and waits until it has been done.
    pub async fn poll_now(&self) {
        let (polled, done) = oneshot::channel();
        if self.requests.send(polled).await.is_ok() {
            let _ = done.await;
        }
    }
}

#[cfg(test)]
mod tests;
