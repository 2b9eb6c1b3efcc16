//! The worker processes of a run: starts them, sends them commands over pipes, reads their reports, and kills
//! them on every path out of the run.

use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel};
use std::thread::Builder;

use crate::host;
use crate::message::{Command as WorkerCommand, Report};

/// An event of a worker, with the index of the worker.
#[derive(Debug)]
pub enum Event {
    /// The worker has sent a report.
    Report(usize, Report),
    /// The worker has sent a line that is not a report; the text is the parse error.
    Malformed(usize, String),
    /// The output of the worker has ended: its process has exited, or [`Processes::wait`] kills it.
    Ended(usize),
}

/// Stack size of a thread that serves a pipe.
const STACK_BYTES: usize = 256 << 10;

struct Worker {
    child: Child,
    /// Queue of the thread that writes to the worker's input. If the worker does not read, only this thread
    /// blocks.
    commands: Sender<Vec<u8>>,
}

/// The worker processes; dropping this kills those that still run and waits for them.
pub struct Processes {
    workers: Vec<Worker>,
}

impl Processes {
    /// Starts `count` workers: `program` with `arguments`.
    ///
    /// # Errors
    /// A process or thread cannot be started; the workers that have been started are killed.
    pub fn start(
        count: u32,
        program: &Path,
        arguments: &[String],
        events: &SyncSender<Event>,
    ) -> io::Result<Processes> {
        let mut processes = Processes { workers: Vec::new() };
        for index in 0..count as usize {
            let mut child = Command::new(program)
                .args(arguments)
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .stderr(Stdio::null())
                // A terminal sends SIGINT to the whole process group: only the coordinator, which ends its
                // workers itself, is to receive it.
                .process_group(0)
                .spawn()?;
            let (input, output) = (child.stdin.take(), child.stdout.take());
            let (commands, lines) = channel();
            // Before any step that can fail: from here on dropping `processes` kills this worker too.
            processes.workers.push(Worker { child, commands });
            let no_pipe = || io::Error::other("a worker has no standard input or output pipe");
            let (input, output) = (input.ok_or_else(no_pipe)?, output.ok_or_else(no_pipe)?);
            let events = events.clone();
            let thread = |name: &str| Builder::new().name(format!("{name}-{index}")).stack_size(STACK_BYTES);
            thread("commands").spawn(move || write_commands(input, &lines))?;
            thread("reports").spawn(move || read_reports(index, BufReader::new(output), &events))?;
        }
        Ok(processes)
    }

    /// Process ids of all workers.
    pub fn ids(&self) -> impl Iterator<Item = u32> {
        self.workers.iter().map(|worker| worker.child.id())
    }

    /// Process id of a worker; 0 if the index is out of range.
    pub fn id(&self, worker: usize) -> u32 {
        self.workers.get(worker).map_or(0, |worker| worker.child.id())
    }

    /// Resident memory of all workers, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        self.ids().map(host::resident_bytes).sum()
    }

    /// Queues a command for a worker. A worker that has ended is reported by [`Event::Ended`], not here.
    ///
    /// # Errors
    /// The command cannot be serialized as JSON.
    pub fn send(&self, worker: usize, command: &WorkerCommand) -> io::Result<()> {
        let mut line = serde_json::to_vec(command)?;
        line.push(b'\n');
        if let Some(worker) = self.workers.get(worker) {
            let _ = worker.commands.send(line);
        }
        Ok(())
    }

    /// Queues a command for all workers.
    ///
    /// # Errors
    /// The command cannot be serialized as JSON.
    pub fn send_all(&self, command: &WorkerCommand) -> io::Result<()> {
        (0..self.workers.len()).try_for_each(|worker| self.send(worker, command))
    }

    /// Kills a worker whose output has ended, waits for its process and returns the exit status.
    pub fn wait(&mut self, worker: usize) -> Option<ExitStatus> {
        let worker = self.workers.get_mut(worker)?;
        // The process may have closed its output and still run.
        let _ = worker.child.kill();
        worker.child.wait().ok()
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for worker in &mut self.workers {
            let _ = worker.child.kill();
        }
        for worker in &mut self.workers {
            let _ = worker.child.wait();
        }
    }
}

fn write_commands(mut input: impl Write, lines: &Receiver<Vec<u8>>) {
    while let Ok(line) = lines.recv() {
        if input.write_all(&line).is_err() {
            return;
        }
    }
}

fn read_reports(index: usize, output: impl BufRead, events: &SyncSender<Event>) {
    for line in output.lines() {
        let Ok(line) = line else { break };
        let event = match serde_json::from_str(&line) {
            Ok(report) => Event::Report(index, report),
            Err(e) => Event::Malformed(index, e.to_string()),
        };
        if events.send(event).is_err() {
            return;
        }
    }
    let _ = events.send(Event::Ended(index));
}
