//! The clock of a machine, and the history that emulators write.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use stonevane_audit::{HistoryRecord, TimeInterval};

/// The period of the heartbeat: what an emulator reads has arrived within the last two periods.
const HEARTBEAT: Duration = Duration::from_millis(2);
/// Lines are written once this much text has gathered, in bytes.
const WRITE_BATCH: usize = 256 * 1024;

/// The monotonic clock that all processes of a machine share, and a heartbeat of this process's event loop.
///
/// A socket that becomes readable is seen at the next turn of the loop that watches it. The loop has turned at each
/// heartbeat, so that what is read now arrived after the heartbeat before the last: that is how uncertain the moment
/// of an event is, also when the process was held up.
#[derive(Clone)]
pub struct MonotonicClock {
    heartbeats: Arc<Heartbeats>,
}

/// The last two heartbeats, in microseconds.
struct Heartbeats {
    last: AtomicU64,
    previous: AtomicU64,
}

impl Default for MonotonicClock {
    fn default() -> Self {
        let now = MonotonicClock::now();
        let heartbeats = Heartbeats { last: AtomicU64::new(now), previous: AtomicU64::new(now) };
        MonotonicClock { heartbeats: Arc::new(heartbeats) }
    }
}

impl MonotonicClock {
    /// The time, in microseconds.
    pub fn now() -> u64 {
        let time = clock_gettime(ClockId::Monotonic);
        (time.tv_sec as u64) * 1_000_000 + (time.tv_nsec as u64) / 1_000
    }

    /// The present moment, for an event that this process causes itself.
    pub fn moment() -> TimeInterval {
        let now = MonotonicClock::now();
        TimeInterval { earliest: now, latest: now }
    }

    /// The span within which what has just been read must have arrived.
    pub fn arrival(&self) -> TimeInterval {
        TimeInterval {
            earliest: self.heartbeats.previous.load(Ordering::Relaxed),
            latest: MonotonicClock::now(),
        }
    }

    /// Runs the heartbeat until it is dropped; to be spawned on the loop that reads the sockets.
    pub async fn run_heartbeat(self) {
        let mut ticks = tokio::time::interval(HEARTBEAT);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let Heartbeats { last, previous } = &*self.heartbeats;
            previous.store(last.load(Ordering::Relaxed), Ordering::Relaxed);
            last.store(MonotonicClock::now(), Ordering::Relaxed);
        }
    }
}

/// Where events are recorded. A clone writes to the same history.
#[derive(Clone)]
pub struct Recorder {
    lines: Option<Sender<HistoryRecord>>,
}

/// The thread that writes a history.
pub struct Writer(JoinHandle<std::io::Result<u64>>);

impl Writer {
    /// Waits until all recorders are dropped and all lines are written; returns how many they were.
    ///
    /// # Errors
    /// The first write error.
    pub fn finish(self) -> std::io::Result<u64> {
        self.0.join().unwrap_or_else(|_| Err(std::io::Error::other("the writer of the history has ended")))
    }
}

impl Recorder {
    /// A recorder that drops all lines.
    pub fn none() -> Self {
        Recorder { lines: None }
    }

    /// A recorder that appends lines to `out` from a thread of its own. Lines that wait together are written and
    /// flushed together: a kill leaves at most the last one cut off.
    pub fn to(out: impl Write + Send + 'static) -> (Self, Writer) {
        let (lines, queue) = channel();
        let writer = std::thread::spawn(move || write_lines(out, &queue));
        (Recorder { lines: Some(lines) }, Writer(writer))
    }

    /// Records an event.
    pub fn line(&self, line: HistoryRecord) {
        if let Some(lines) = &self.lines {
            let _ = lines.send(line);
        }
    }
}

fn write_lines(mut out: impl Write, queue: &Receiver<HistoryRecord>) -> std::io::Result<u64> {
    let (mut text, mut count) = (String::new(), 0);
    while let Ok(line) = queue.recv() {
        text.clear();
        text.push_str(&line.to_json_line());
        count += 1;
        while let Ok(line) = queue.try_recv() {
            text.push_str(&line.to_json_line());
            count += 1;
            if text.len() > WRITE_BATCH {
                break;
            }
        }
        out.write_all(text.as_bytes())?;
        out.flush()?;
    }
    Ok(count)
}
