//! Another process of this node beside this one, while one replaces the other: files in `$TMPDIR` tell each of the
//! other. Who may take what is `stonevane_core::beside`'s to say.
//!
//! A process holds the lock of `SINCE-PID.lock` for as long as it lives, whatever ends it, and says in `SINCE-PID` what
//! it may take, written anew by rename. A lock that can be had belongs to nobody: both files are removed.

use std::fs::{File, TryLockError};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use spardeal::Micros;
use stonevane_core::Input;
use stonevane_core::beside::{Room, Stage, Standing, divide};
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
    own: Standing,
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
        let own = Standing { since, stage: Stage::Starting, room: Room::default(), open: 0 };
        Ok(Beside { folder, own, _lock: lock, said: String::new() })
    }

    /// What the others that live have said. One that has said nothing that can be read may hold all but the spare.
    fn others(&self, whole: Room) -> Vec<Standing> {
        let entries = std::fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let files = entries.filter_map(|entry| entry.file_name().into_string().ok());
        let mut others = Vec::new();
        for since in files.filter_map(|file| read_name(&file)).filter(|since| *since != self.own.since) {
            let path = self.folder.join(name(since));
            let lock = path.with_extension("lock");
            let Ok(file) = File::open(&lock) else { continue };
            if !matches!(file.try_lock(), Err(TryLockError::WouldBlock)) {
                // Its process is gone.
                let _ = std::fs::remove_file(&path);
                let _ = std::fs::remove_file(&lock);
                continue;
            }
            let text = std::fs::read_to_string(&path).unwrap_or_default();
            let unread = Standing { since, stage: Stage::Starting, room: whole, open: 0 };
            // One that is older than this one and has not spoken may hold all, a newer one holds only what is left.
            let silent =
                if since < self.own.since { unread } else { Standing { room: Room::default(), ..unread } };
            others.push(Standing::read(since, &text).unwrap_or(silent));
            if others.len() == MOST {
                break;
            }
        }
        others
    }

    fn say(&mut self, room: Room) {
        self.own.room = room;
        let line = self.own.line();
        if line == self.said {
            return;
        }
        let path = self.folder.join(name(self.own.since));
        let fresh = path.with_extension("new");
        match std::fs::write(&fresh, &line).and_then(|()| std::fs::rename(&fresh, &path)) {
            Ok(()) => self.said = line,
            Err(e) => log(&format!("cannot say what this process takes: {e}")),
        }
    }

    /// Looks once at the others, and has the driver hold to what that leaves; whether there are any.
    pub fn look(&mut self, driver: &Arc<Driver>) -> bool {
        let (held, open, stage, whole) = driver.standing();
        (self.own.stage, self.own.open) = (stage, open);
        let others = self.others(whole);
        let grant = divide(whole, &self.own, held, &others);
        let room = grant.room;
        // What is more is said before it is taken, what is less is let go before that is said.
        let more = Room {
            places: room.places.max(self.own.room.places),
            memory: room.memory.max(self.own.room.memory),
        };
        self.say(more);
        driver.input(Input::Beside(grant));
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
        let path = self.folder.join(name(self.own.since));
        let _ = std::fs::remove_file(&path);
        let _ = std::fs::remove_file(path.with_extension("lock"));
    }
}
