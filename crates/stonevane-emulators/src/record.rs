//! The clock of a machine, and the history that stand-ins write.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use stonevane_audit::{HistoryRecord, TimeInterval};

/// How often the heartbeat comes: what a stand-in sees had not happened two beats before.
const BEAT: Duration = Duration::from_millis(2);

/// The monotonic clock that all processes of a machine share, and a heartbeat of this process's loop.
///
/// A socket that becomes readable is seen at the next turn of the loop that watches it. The loop has turned at
/// each beat, so that what is seen now came after the beat before the last: that is how uncertain the moment
/// of an event is, also when the process was held up.
#[derive(Clone)]
pub struct Mono {
    beats: Arc<[AtomicU64; 2]>,
}

impl Default for Mono {
    fn default() -> Self {
        let now = Mono::now();
        Mono { beats: Arc::new([AtomicU64::new(now), AtomicU64::new(now)]) }
    }
}

impl Mono {
    /// The time, in microseconds.
    pub fn now() -> u64 {
        let time = clock_gettime(ClockId::Monotonic);
        (time.tv_sec as u64) * 1_000_000 + (time.tv_nsec as u64) / 1_000
    }

    /// This moment.
    pub fn at() -> TimeInterval {
        let now = Mono::now();
        TimeInterval { earliest: now, latest: now }
    }

    /// The moments between which what has just been read must have come.
    pub fn seen(&self) -> TimeInterval {
        TimeInterval { earliest: self.beats[1].load(Ordering::Relaxed), latest: Mono::now() }
    }

    /// Beats until it is dropped; to be spawned on the loop that reads the sockets.
    pub async fn beat(self) {
        let mut ticks = tokio::time::interval(BEAT);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.beats[1].store(self.beats[0].load(Ordering::Relaxed), Ordering::Relaxed);
            self.beats[0].store(Mono::now(), Ordering::Relaxed);
        }
    }
}

/// Where events are written down. A clone writes to the same history.
#[derive(Clone)]
pub struct Recorder {
    lines: Option<Sender<HistoryRecord>>,
}

/// The thread that writes a history.
pub struct Writer(JoinHandle<std::io::Result<u64>>);

impl Writer {
    /// Waits until all recorders are dropped and all lines are written; how many they were.
    ///
    /// # Errors
    /// What the first write that failed said.
    pub fn finish(self) -> std::io::Result<u64> {
        self.0.join().unwrap_or_else(|_| Err(std::io::Error::other("the writer of the history has ended")))
    }
}

impl Recorder {
    /// A recorder that forgets what it is told.
    pub fn none() -> Self {
        Recorder { lines: None }
    }

    /// A recorder that appends whole lines to a file or the like, from a thread of its own. Lines that are
    /// there are written and flushed together: a kill leaves at most the last one cut off.
    pub fn to(out: impl Write + Send + 'static) -> (Self, Writer) {
        let (lines, take) = channel();
        let writer = std::thread::spawn(move || write(out, &take));
        (Recorder { lines: Some(lines) }, Writer(writer))
    }

    /// Writes an event down.
    pub fn line(&self, line: HistoryRecord) {
        if let Some(lines) = &self.lines {
            let _ = lines.send(line);
        }
    }
}

fn write(mut out: impl Write, take: &Receiver<HistoryRecord>) -> std::io::Result<u64> {
    let (mut text, mut count) = (String::new(), 0);
    while let Ok(line) = take.recv() {
        text.clear();
        text.push_str(&line.to_json_line());
        count += 1;
        while let Ok(line) = take.try_recv() {
            text.push_str(&line.to_json_line());
            count += 1;
            if text.len() > 256 * 1024 {
                break;
            }
        }
        out.write_all(text.as_bytes())?;
        out.flush()?;
    }
    Ok(count)
}
