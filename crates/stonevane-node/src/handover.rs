//! Another process of this node beside this one, while one replaces the other: files in `$TMPDIR` tell each of the
//! other. Who may take what is `stonevane_core::handover`'s to say.
//!
//! A process holds the lock of `SINCE-PID.lock` for as long as it lives, whatever ends it, and says in `SINCE-PID` what
//! it may take, written anew by rename. A lock that can be had belongs to nobody: both files are removed.

use std::fs::{File, TryLockError};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use stonevane_core::Input;
use stonevane_core::handover::{Capacity, ProcessStage, ProcessStatus, divide};
use stonevane_policy::Micros;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::clock::log;
use crate::driver::Driver;

/// How often the others are looked for while there are none, and looked at while there are some.
const LOOKS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(50));
/// Other processes that are looked at, at most.
const MOST: usize = 8;

/// This process among those of its node.
pub struct Beside {
    folder: PathBuf,
    own: ProcessStatus,
    /// Held for as long as the process lives.
    _lock: File,
    said: String,
}

type Since = (Micros, u32);

fn name(since: Since) -> String {
    format!("{:020}-{}", since.0, since.1)
}

fn read_name(file: &str) -> Option<Since> {
    let (since, number) = file.strip_suffix(".lock")?.split_once('-')?;
    Some((since.parse().ok()?, number.parse().ok()?))
}

impl Beside {
    /// Takes its place among the processes of a node; `since`: the time, and the number of this process.
    pub fn new(tmpdir: &Path, since: Since) -> std::io::Result<Beside> {
        let folder = tmpdir.join("spardeal-beside");
        std::fs::create_dir_all(&folder)?;
        let lock = File::create(folder.join(name(since) + ".lock"))?;
        lock.try_lock().map_err(std::io::Error::other)?;
        let own = ProcessStatus {
            started: since,
            stage: ProcessStage::Starting,
            capacity: Capacity::default(),
            in_flight: 0,
        };
        Ok(Beside { folder, own, _lock: lock, said: String::new() })
    }

    /// What the others that live have said. One that has said nothing that can be read may hold all but the spare.
    fn others(&self, whole: Capacity) -> Vec<ProcessStatus> {
        let entries = std::fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let files = entries.filter_map(|entry| entry.file_name().into_string().ok());
        let mut others = Vec::new();
        for since in files.filter_map(|file| read_name(&file)).filter(|since| *since != self.own.started) {
            let lock = self.folder.join(name(since)).with_extension("lock");
            let Ok(file) = File::open(lock) else { continue };
            let Some(said) = self.said_by(since, &file, whole) else { continue };
            others.push(said);
            if others.len() == MOST {
                break;
            }
        }
        others
    }

    /// What another has said, by its lock; nothing where it has gone.
    fn said_by(&self, since: Since, file: &File, whole: Capacity) -> Option<ProcessStatus> {
        let path = self.folder.join(name(since));
        let lock = path.with_extension("lock");
        if !matches!(file.try_lock(), Err(TryLockError::WouldBlock)) {
            // Its process is gone.
            let _ = std::fs::remove_file(&path);
            let _ = std::fs::remove_file(&lock);
            return None;
        }
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        // One that ends takes the name of its lock away before what it said, and holds the lock to its very end: taken for one
        // that has not spoken, it would leave nothing to who has its clients now.
        if text.is_empty() && !lock.exists() {
            return None;
        }
        let unread =
            ProcessStatus { started: since, stage: ProcessStage::Starting, capacity: whole, in_flight: 0 };
        // One that is older than this one and has not spoken may hold all, a newer one holds only what is left.
        let silent = if since < self.own.started {
            unread
        } else {
            ProcessStatus { capacity: Capacity::default(), ..unread }
        };
        Some(ProcessStatus::read(since, &text).unwrap_or(silent))
    }

    fn say(&mut self, room: Capacity) {
        self.own.capacity = room;
        let line = self.own.line();
        if line == self.said {
            return;
        }
        let path = self.folder.join(name(self.own.started));
        let fresh = path.with_extension("new");
        match std::fs::write(&fresh, &line).and_then(|()| std::fs::rename(&fresh, &path)) {
            Ok(()) => self.said = line,
            Err(e) => log(&format!("cannot say what this process takes: {e}")),
        }
    }

    /// Looks once at the others, and has the driver hold to what that leaves; whether there are any.
    pub fn look(&mut self, driver: &Arc<Driver>) -> bool {
        let (held, open, stage, whole) = driver.standing();
        (self.own.stage, self.own.in_flight) = (stage, open);
        let others = self.others(whole);
        let grant = divide(whole, &self.own, held, &others);
        let room = grant.capacity;
        // What is more is said before it is taken, what is less is let go before that is said.
        let more = Capacity {
            connections: room.connections.max(self.own.capacity.connections),
            memory: room.memory.max(self.own.capacity.memory),
        };
        self.say(more);
        driver.input(Input::Handover(grant));
        self.say(room);
        !others.is_empty()
    }

    /// Looks at the others for as long as the process lives, and at once when told to; what people say to either reaches
    /// both.
    pub async fn run(mut self, driver: Arc<Driver>, mut at_once: mpsc::Receiver<oneshot::Sender<()>>) {
        let mut was = false;
        loop {
            let others = self.look(&driver);
            if others || was {
                driver.recall();
            }
            if others != was {
                log(if others {
                    "another process of this node stands beside"
                } else {
                    "this process is alone"
                });
            }
            was = others;
            tokio::select! {
                () = sleep(if others { LOOKS.1 } else { LOOKS.0 }) => {}
                Some(done) = at_once.recv() => {
                    self.look(&driver);
                    let _ = done.send(());
                }
            }
        }
    }
}

impl Drop for Beside {
    fn drop(&mut self) {
        let path = self.folder.join(name(self.own.started));
        let _ = std::fs::remove_file(path.with_extension("lock"));
        let _ = std::fs::remove_file(&path);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::atomic::{AtomicBool, Ordering};

    const WHOLE: Capacity = Capacity { connections: 320, memory: 16_000 };

    #[test]
    fn one_that_ends_leaves_all_that_it_held_at_every_moment_of_its_end() {
        // Found where files are slow: its successor read nothing of it and took it for one that holds all, closed
        // clients and refused others.
        let folder = std::env::temp_dir().join(format!("spardeal-beside-test-{}", std::process::id()));
        let own = Beside::new(&folder, (1_000, 0)).unwrap();
        for turn in 0..300 {
            let mut old = Beside::new(&folder, (turn, 0)).unwrap();
            old.say(Capacity { connections: 20, memory: 1_000 });
            let ends = AtomicBool::new(false);
            std::thread::scope(|scope| {
                let ended = scope.spawn(|| {
                    while !ends.load(Ordering::Relaxed) {
                        std::hint::spin_loop();
                    }
                    drop(old);
                });
                ends.store(true, Ordering::Relaxed);
                loop {
                    let done = ended.is_finished();
                    for other in own.others(WHOLE) {
                        assert_eq!(other.capacity.connections, 20, "in turn {turn}");
                    }
                    if done {
                        break;
                    }
                }
            });
            assert!(own.others(WHOLE).is_empty(), "it has gone");
        }
        // Its lock is open here already when it takes all away, and is still held: by the time that it is read it has gone.
        let mut old = Beside::new(&folder, (998, 0)).unwrap();
        old.say(Capacity { connections: 20, memory: 1_000 });
        let lock = File::open(own.folder.join(name((998, 0)) + ".lock")).unwrap();
        assert!(own.said_by((998, 0), &lock, WHOLE).is_some());
        for file in [name((998, 0)) + ".lock", name((998, 0))] {
            std::fs::remove_file(own.folder.join(file)).unwrap();
        }
        assert_eq!(own.said_by((998, 0), &lock, WHOLE), None);
        // One that has its place and has said nothing yet may hold all.
        let _starts = Beside::new(&folder, (999, 0)).unwrap();
        assert_eq!(own.others(WHOLE).iter().map(|other| other.capacity).collect::<Vec<_>>(), [WHOLE]);
        let _ = std::fs::remove_dir_all(&folder);
    }
}
