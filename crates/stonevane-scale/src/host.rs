//! This machine: its memory, descriptors and processors, the memory of processes, and signals.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rustix::process::{Resource, getrlimit};
use tokio::signal::unix::{SignalKind, signal};

use crate::limits::Host;

const BYTES_PER_KIB: u64 = 1_024;

/// Reads what this machine has.
///
/// # Errors
/// It cannot be read.
pub fn read() -> io::Result<Host> {
    let text = std::fs::read_to_string("/proc/meminfo")?;
    let memory =
        kibibytes(&text, "MemTotal:").ok_or_else(|| io::Error::other("no MemTotal in /proc/meminfo"))?;
    let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    Ok(Host { memory, descriptors, processors })
}

/// The bytes of a line of a file of `/proc` that counts in kibibytes.
fn kibibytes(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    let count: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(count * BYTES_PER_KIB)
}

/// Resident memory of a process, bytes; 0 where there is no such process any more.
pub fn resident(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    kibibytes(&text, "VmRSS:").unwrap_or(0)
}

/// Whether the run is to end before its time: SIGINT or SIGTERM has come.
#[derive(Debug, Clone, Default)]
pub struct Interrupt(Arc<AtomicBool>);

impl Interrupt {
    /// Listens to both signals from now on, to the end of the process.
    ///
    /// # Errors
    /// The signals cannot be handled.
    pub fn listen() -> io::Result<Interrupt> {
        let interrupt = Interrupt::default();
        let received = interrupt.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (mut int, mut term) = {
            let _entered = runtime.enter();
            (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?)
        };
        std::thread::Builder::new().name("signals".into()).spawn(move || {
            runtime.block_on(async {
                tokio::select! { _ = int.recv() => {}, _ = term.recv() => {} }
                received.0.store(true, Ordering::Relaxed);
                // Later ones change nothing: the run is on its way to its end.
                std::future::pending::<()>().await;
            });
        })?;
        Ok(interrupt)
    }

    /// Whether one has come.
    pub fn came(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
