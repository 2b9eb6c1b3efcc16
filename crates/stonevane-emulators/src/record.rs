//! The machine's monotonic clock, and the recorder of the history that emulators write.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use stonevane_audit::{HistoryRecord, TimeInterval};

/// Period of the heartbeat. Data that an emulator reads has arrived within the last two periods.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(2);
/// Length above which the gathered lines are written without waiting for further ones, in bytes.
const WRITE_BATCH_BYTES: usize = 256 * 1024;

/// The monotonic clock that all processes of a machine share, and a heartbeat of this process's event loop.
///
/// The event loop polls its sockets between two heartbeats, so data that is read now arrived after the
/// heartbeat before the last one. This bounds the uncertainty of an event's time, even after the process was
/// paused.
#[derive(Clone)]
pub struct MonotonicClock {
    heartbeats: Arc<Heartbeats>,
}

/// Times of the last two heartbeats, in microseconds.
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
    /// Returns the current time, in microseconds.
    pub fn now() -> u64 {
        let time = clock_gettime(ClockId::Monotonic);
        (time.tv_sec as u64) * 1_000_000 + (time.tv_nsec as u64) / 1_000
    }

    /// Returns the current time as an interval of zero length, for an event that this process causes itself.
    pub fn moment() -> TimeInterval {
        let now = MonotonicClock::now();
        TimeInterval { earliest: now, latest: now }
    }

    /// Returns the interval within which data that has just been read arrived.
    pub fn arrival(&self) -> TimeInterval {
        TimeInterval {
            earliest: self.heartbeats.previous.load(Ordering::Relaxed),
            latest: MonotonicClock::now(),
        }
    }

    /// Runs the heartbeat until the future is dropped. Spawn it on the event loop that reads the sockets.
    pub async fn run_heartbeat(self) {
        let mut ticks = tokio::time::interval(HEARTBEAT_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let Heartbeats { last, previous } = &*self.heartbeats;
            previous.store(last.load(Ordering::Relaxed), Ordering::Relaxed);
            last.store(MonotonicClock::now(), Ordering::Relaxed);
        }
    }
}

/// Sends events to the thread that writes the history. A clone writes to the same history.
#[derive(Clone)]
pub struct Recorder {
    lines: Option<Sender<HistoryRecord>>,
}

/// The thread that writes a history.
pub struct Writer(JoinHandle<std::io::Result<u64>>);

impl Writer {
    /// Waits until all recorders are dropped and all lines are written; returns the number of lines.
    ///
    /// # Errors
    /// Returns the first write error.
    pub fn finish(self) -> std::io::Result<u64> {
        self.0.join().unwrap_or_else(|_| Err(std::io::Error::other("the history writer thread panicked")))
    }
}

impl Recorder {
    /// Returns a recorder that drops all lines.
    pub fn none() -> Self {
        Recorder { lines: None }
    }

    /// Returns a recorder that appends lines to `out` from a separate thread. Queued lines are written and
    /// flushed together: if the process is killed, at most the last line is incomplete.
    pub fn to(out: impl Write + Send + 'static) -> (Self, Writer) {
        let (lines, queue) = channel();
        let writer = std::thread::spawn(move || write_lines(out, &queue));
        (Recorder { lines: Some(lines) }, Writer(writer))
    }

    /// Queues the history line of an event.
    pub fn record(&self, line: HistoryRecord) {
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
            if text.len() > WRITE_BATCH_BYTES {
                break;
            }
        }
        out.write_all(text.as_bytes())?;
        out.flush()?;
    }
    Ok(count)
}
