//! Handover between two processes of this node while one replaces the other: files in a folder of `$TMPDIR` show each
//! process the status of the others. `stonevane_core::handover` decides how they divide the node's capacity.
//!
//! A process holds the lock of `STARTED-PID.lock` for as long as it lives, and publishes its status in `STARTED-PID`,
//! replaced by rename. A lock that can be taken belongs to a process that has ended: both its files are removed.

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

/// The folder within `$TMPDIR`; released versions meet there too.
const FOLDER: &str = "spardeal-beside";
/// Suffix of the lock's file name.
const LOCK_SUFFIX: &str = ".lock";
/// How often the folder is read while this process is the only one.
const POLL_INTERVAL_ALONE: Duration = Duration::from_millis(200);
/// How often the folder is read while there are other processes.
const POLL_INTERVAL_SHARED: Duration = Duration::from_millis(50);
/// At most so many other processes are considered.
const MAX_OTHER_PROCESSES: usize = 8;

/// Identity of a process: its start time and its process id. The newest is the last in this order.
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

/// Replaces a file as one step, so that no reader sees a part of it.
fn replace_file(path: &Path, text: &str) -> std::io::Result<()> {
    let temporary = path.with_extension("new");
    std::fs::write(&temporary, text)?;
    std::fs::rename(&temporary, path)
}

/// This process among those of its node.
pub struct Handover {
    folder: PathBuf,
    own: ProcessStatus,
    /// Held for as long as the process lives.
    _lock: File,
    /// The status line as it was last written.
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

    /// Reads the status of the other processes once and has the driver hold to the capacity that they leave. Returns
    /// whether there are any.
    pub fn poll(&mut self, driver: &Arc<Driver>) -> bool {
        let status = driver.handover_status();
        self.own.stage = status.stage;
        self.own.in_flight = status.in_flight;
        let others = self.others(status.node_capacity);
        let grant = divide(status.node_capacity, &self.own, status.used, &others);
        let granted = grant.capacity;
        // A gain is published before it is used, a loss after it has been given up: the sum never exceeds the total.
        let at_most = Capacity {
            connections: granted.connections.max(self.own.capacity.connections),
            memory: granted.memory.max(self.own.capacity.memory),
        };
        self.publish(at_most);
        driver.input(Input::Handover(grant));
        self.publish(granted);
        !others.is_empty()
    }

    /// Starts to poll the folder until the task ends.
    pub fn spawn(self, driver: Arc<Driver>) -> HandoverTask {
        let (requests, polls) = mpsc::channel(1);
        let task = tokio::spawn(self.run(driver, polls));
        HandoverTask { task, poller: HandoverPoller { requests } }
    }

    /// Polls at an interval, and at once on request. Exclusions that an operator sets at either process reach both.
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

    /// The status of the other processes that live.
    fn others(&self, total: Capacity) -> Vec<ProcessStatus> {
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

    /// The status of another process, by its lock; `None` if it has ended.
    fn status_of(&self, process: ProcessId, lock: &File, total: Capacity) -> Option<ProcessStatus> {
        let status_path = self.folder.join(status_file_name(process));
        let lock_path = self.folder.join(lock_file_name(process));
        if !matches!(lock.try_lock(), Err(TryLockError::WouldBlock)) {
            let _ = std::fs::remove_file(&status_path);
            let _ = std::fs::remove_file(&lock_path);
            return None;
        }
        let text = std::fs::read_to_string(&status_path).unwrap_or_default();
        // A process that ends removes its lock's name before its status, and holds the lock to its very end: taken for one
        // that has published nothing yet, it would be granted the whole capacity.
        if text.is_empty() && !lock_path.exists() {
            return None;
        }
        Some(ProcessStatus::read(process, &text).unwrap_or_else(|| self.unpublished_status(process, total)))
    }

    /// What is assumed of a process without a readable status: an older one may hold the whole capacity, a newer one
    /// holds only what is left.
    fn unpublished_status(&self, process: ProcessId, total: Capacity) -> ProcessStatus {
        let capacity = if process < self.own.started { total } else { Capacity::default() };
        ProcessStatus { started: process, stage: ProcessStage::Starting, capacity, in_flight: 0 }
    }

    fn publish(&mut self, capacity: Capacity) {
        self.own.capacity = capacity;
        let line = self.own.line();
        if line == self.published {
            return;
        }
        match replace_file(&self.folder.join(status_file_name(self.own.started)), &line) {
            Ok(()) => self.published = line,
            Err(error) => log(&format!("cannot say what this process takes: {error}")),
        }
    }
}

impl Drop for Handover {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(self.folder.join(lock_file_name(self.own.started)));
        let _ = std::fs::remove_file(self.folder.join(status_file_name(self.own.started)));
    }
}

/// The task that polls for other processes.
pub struct HandoverTask {
    task: JoinHandle<()>,
    poller: HandoverPoller,
}

impl HandoverTask {
    /// Requests polls of this task.
    pub fn poller(&self) -> HandoverPoller {
        self.poller.clone()
    }

    /// Ends the task and removes the files of this process.
    pub async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// Requests polls between the intervals.
#[derive(Clone)]
pub struct HandoverPoller {
    requests: mpsc::Sender<oneshot::Sender<()>>,
}

impl HandoverPoller {
    /// Has the folder read now, and waits until that is done.
    pub async fn poll_now(&self) {
        let (polled, done) = oneshot::channel();
        if self.requests.send(polled).await.is_ok() {
            let _ = done.await;
        }
    }
}

#[cfg(test)]
mod tests;
