//! The worker processes of a run: started, sent commands over pipes, and ended by their process ids whatever happens.

use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel};
use std::thread::Builder;

use crate::host;
use crate::message::{Command as WorkerCommand, Report};

/// An event of a worker.
#[derive(Debug)]
pub enum Event {
    /// It has sent a report.
    Report(usize, Report),
    /// It has sent what is no report.
    Malformed(usize, String),
    /// Its output has ended: so has the process, or it will.
    Ended(usize),
}

/// The stack of a thread that serves a pipe, in bytes.
const STACK_BYTES: usize = 256 << 10;

struct Worker {
    child: Child,
    /// To the thread that writes: a worker that does not read holds nobody else up.
    commands: Sender<Vec<u8>>,
}

/// The worker processes; none is left when this is dropped.
pub struct Processes {
    workers: Vec<Worker>,
}

impl Processes {
    /// Starts so many workers: `program` with `arguments`.
    ///
    /// # Errors
    /// One cannot be started; those that were are ended.
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
                // An interrupt at a terminal is for the coordinator, which ends its workers itself.
                .process_group(0)
                .spawn()?;
            let (input, output) = (child.stdin.take(), child.stdout.take());
            let (commands, lines) = channel();
            // First of all: from here on it is ended with the others.
            processes.workers.push(Worker { child, commands });
            let missing = || io::Error::other("a worker has no pipe");
            let (input, output) = (input.ok_or_else(missing)?, output.ok_or_else(missing)?);
            let events = events.clone();
            let thread = |job: &str| Builder::new().name(format!("{job}-{index}")).stack_size(STACK_BYTES);
            thread("commands").spawn(move || write_commands(input, &lines))?;
            thread("reports").spawn(move || read_reports(index, BufReader::new(output), &events))?;
        }
        Ok(processes)
    }

    /// The process ids.
    pub fn ids(&self) -> impl Iterator<Item = u32> {
        self.workers.iter().map(|worker| worker.child.id())
    }

    /// The process id of a worker.
    pub fn id(&self, worker: usize) -> u32 {
        self.workers.get(worker).map_or(0, |worker| worker.child.id())
    }

    /// Resident memory of all workers, bytes.
    pub fn resident(&self) -> u64 {
        self.ids().map(host::resident).sum()
    }

    /// Sends a command to a worker; one that has ended is reported by its [`Event::Ended`].
    ///
    /// # Errors
    /// The command cannot be written as JSON.
    pub fn send(&self, worker: usize, command: &WorkerCommand) -> io::Result<()> {
        let mut line = serde_json::to_vec(command)?;
        line.push(b'\n');
        if let Some(worker) = self.workers.get(worker) {
            let _ = worker.commands.send(line);
        }
        Ok(())
    }

    /// Sends a command to all workers.
    ///
    /// # Errors
    /// The command cannot be written as JSON.
    pub fn send_all(&self, command: &WorkerCommand) -> io::Result<()> {
        (0..self.workers.len()).try_for_each(|worker| self.send(worker, command))
    }

    /// Waits for a worker whose output has ended; how its process did.
    pub fn ended(&mut self, worker: usize) -> Option<ExitStatus> {
        let worker = self.workers.get_mut(worker)?;
        // It may have closed its output and live on.
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
