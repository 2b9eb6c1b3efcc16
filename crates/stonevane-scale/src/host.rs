//! Resources of this machine (memory, file descriptors, processors), resident memory of processes, and
//! signals.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rustix::process::{Resource, getrlimit};
use tokio::signal::unix::{SignalKind, signal};

use crate::limits::Host;

const BYTES_PER_KIB: u64 = 1_024;

/// Reads the resources of this machine.
///
/// # Errors
/// `/proc/meminfo` cannot be read or has no total.
pub fn read() -> io::Result<Host> {
    let text = std::fs::read_to_string("/proc/meminfo")?;
    let memory_bytes =
        kibibytes(&text, "MemTotal:").ok_or_else(|| io::Error::other("no MemTotal in /proc/meminfo"))?;
    let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    Ok(Host { memory_bytes, descriptors, processors })
}

/// Returns, in bytes, the value of the line `name` of a `/proc` file that counts in kibibytes.
fn kibibytes(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    let count: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(count * BYTES_PER_KIB)
}

/// Resident memory of a process, in bytes; 0 if the process has exited.
pub fn resident_bytes(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    kibibytes(&text, "VmRSS:").unwrap_or(0)
}

/// A flag that SIGINT or SIGTERM sets, to interrupt a run.
#[derive(Debug, Clone, Default)]
pub struct Interrupt(Arc<AtomicBool>);

impl Interrupt {
    /// Handles both signals from now on, until the process exits.
    ///
    /// # Errors
    /// The signals cannot be handled.
    pub fn listen() -> io::Result<Interrupt> {
        let interrupt = Interrupt::default();
        let flag = interrupt.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (mut int, mut term) = {
            let _entered = runtime.enter();
            (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?)
        };
        std::thread::Builder::new().name("signals".into()).spawn(move || {
            runtime.block_on(async {
                tokio::select! { _ = int.recv() => {}, _ = term.recv() => {} }
                flag.0.store(true, Ordering::Relaxed);
                // Keeps the handlers installed: further signals are ignored while the run is being ended.
                std::future::pending::<()>().await;
            });
        })?;
        Ok(interrupt)
    }

    /// Whether a signal has been received.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
