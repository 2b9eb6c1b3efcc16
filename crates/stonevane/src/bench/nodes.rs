//! `stonevane bench lab`: measures the node, and a bare relay in the node's place, in turns under the same
//! load.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use stonevane_audit::{Event, HistoryRecord, Rules};
use stonevane_emulators::client::{Clients, plan};
use stonevane_emulators::{MonotonicClock, Recorder};
use stonevane_lab::{Fleet, NodeKind, Scenario, summarise};

use super::{BenchResult, median};

/// A cache server that responds without delay, all keys preloaded, and a read-only load.
const SCENARIO: &str = "name = \"bench\"\n[fleet]\nnodes = 1\ncaches = 1\nwarm_keys = 1\n[fleet.cache]\n\
    work_ms = 0\ncores = 64\n[load]\nper_s = 20000\nfor_ms = 1000\nedits = 0\nretries = 0\n";
/// Duration of the load before the measurement starts, during which connections are opened.
const WARM_UP_US: u64 = 300_000;
const SEED: u64 = 1;

/// A build of the daemon that is compared with the relay.
pub(super) struct Candidate {
    name: &'static str,
    program: PathBuf,
}

impl Candidate {
    /// Returns the daemon's program and, where one is given, another build of it.
    pub(super) fn list(program: PathBuf, beside: Option<PathBuf>) -> Vec<Candidate> {
        let node = Candidate { name: "node", program };
        let beside = beside.map(|program| Candidate { name: "beside", program });
        std::iter::once(node).chain(beside).collect()
    }
}

/// Settings of the comparison.
pub(super) struct Comparison {
    pub(super) rounds: u64,
    /// Duration of each measurement, in seconds.
    pub(super) for_s: u64,
    pub(super) connections: usize,
    /// Socket limit of the node.
    pub(super) sockets: u64,
}

/// Figures of one measurement.
struct Figures {
    per_s: f64,
    p50_ms: f64,
    p99_ms: f64,
    /// CPU time of the measured process per request, in microseconds.
    cpu_us: f64,
    /// CPU time of the lab (this process: clients and emulators) per request, in microseconds.
    lab_cpu_us: f64,
    /// Requests that were not served.
    other: u64,
}

/// A candidate's figures divided by the relay's figures of the same round, one entry per round.
#[derive(Default)]
struct Ratios {
    rates: Vec<f64>,
    cpu: Vec<f64>,
}

/// CPU time used so far by the measured process and by the lab, in microseconds.
#[derive(Clone, Copy)]
struct CpuTimes {
    measured: u64,
    lab: u64,
}

impl CpuTimes {
    fn read(pid: u32) -> CpuTimes {
        CpuTimes { measured: cpu_us(pid).unwrap_or(0), lab: cpu_us(std::process::id()).unwrap_or(0) }
    }
}

/// Returns the CPU time that a process has used, in microseconds.
fn cpu_us(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    let nanos: u64 = text.split_whitespace().next()?.parse().ok()?;
    Some(nanos / 1_000)
}

/// A process that is killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Comparison {
    pub(super) fn run(&self, candidates: &[Candidate]) -> BenchResult {
        let scenario = Scenario::parse(SCENARIO).map_err(|errors| format!("{errors:?}"))?;
        let scenario = Scenario { sockets: self.sockets, ..scenario };
        self.print_header();
        let mut ratios: Vec<Ratios> = candidates.iter().map(|_| Ratios::default()).collect();
        for _ in 0..self.rounds {
            let mut figures = Vec::new();
            for candidate in candidates {
                figures.push(self.measure(&scenario, candidate.name, Some(&candidate.program))?);
            }
            let relay = self.measure(&scenario, "relay", None)?;
            for (ratios, figures) in ratios.iter_mut().zip(figures) {
                ratios.rates.push(figures.per_s / relay.per_s);
                ratios.cpu.push(figures.cpu_us / relay.cpu_us);
            }
        }
        for (candidate, ratios) in candidates.iter().zip(ratios) {
            let (rate, cpu) = (median(ratios.rates), median(ratios.cpu));
            outln!(
                "{} / relay, median of pairs: requests a second {rate:.2}, CPU of a request {cpu:.2}",
                candidate.name
            );
        }
        Ok(())
    }

    fn print_header(&self) {
        outln!(
            "{} connections, {} s a turn, {} turns of each, history written",
            self.connections,
            self.for_s,
            self.rounds
        );
        outln!(
            "{:<7} {:>12} {:>9} {:>9} {:>14} {:>14} {:>7}",
            "",
            "requests/s",
            "p50 ms",
            "p99 ms",
            "its CPU us/r",
            "lab CPU us/r",
            "other"
        );
    }

    /// Measures a program, or the relay if `program` is `None`, and prints the figures.
    fn measure(&self, scenario: &Scenario, name: &str, program: Option<&Path>) -> BenchResult<Figures> {
        let path = std::env::temp_dir().join(format!("stonevane-bench-{}.jsonl", std::process::id()));
        let (recorder, writer) = Recorder::to(File::create(&path)?);
        recorder.record(HistoryRecord {
            time: MonotonicClock::moment(),
            recorder: "bench".into(),
            event: Event::Begin,
            rules: Some(Box::new(Rules::default())),
            ..HistoryRecord::default()
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (cpu_us, lab_cpu_us) = runtime.block_on(self.run_load(scenario, program, &recorder))?;
        drop((runtime, recorder));
        writer.finish()?;
        let summary = summarise(BufReader::new(File::open(&path)?));
        let _ = std::fs::remove_file(&path);
        let summary = summary?;
        let class = summary.classes.get("zone-lookup").ok_or("no request of class `zone-lookup` was sent")?;
        let figures = Figures {
            per_s: class.served as f64 / (self.for_s as f64 + WARM_UP_US as f64 / 1e6),
            p50_ms: class.p50_ms,
            p99_ms: class.p99_ms,
            cpu_us,
            lab_cpu_us,
            other: class.refused + class.failed,
        };
        figures.print(name);
        Ok(figures)
    }

    /// Runs the load; returns the CPU time per request of the measured process and of the lab, in
    /// microseconds.
    async fn run_load(
        &self,
        scenario: &Scenario,
        program: Option<&Path>,
        recorder: &Recorder,
    ) -> BenchResult<(f64, f64)> {
        let clock = MonotonicClock::default();
        let _heartbeat = tokio::spawn(clock.clone().run_heartbeat());
        // The fleet has a node even when the relay is measured; that node is idle then.
        let node = match program {
            Some(program) => program.to_owned(),
            None => std::env::current_exe()?.with_file_name("stonevane-node"),
        };
        let fleet = Fleet::start(scenario, &NodeKind::Process(node.into()), SEED, &clock, recorder).await?;
        let (targets, pid, _relay) = if program.is_some() {
            (fleet.targets.clone(), fleet.pids()[0], None)
        } else {
            let server = fleet.caches[0].address("n0").ok_or("cache server has no address for node n0")?;
            let (relay, address) = start_relay(server)?;
            (vec![("relay".to_owned(), address)], relay.0.id(), Some(relay))
        };
        let clients = Clients::new(&targets, scenario.load.clone(), SEED, &clock, recorder.clone());
        let planned = plan(&scenario.load, 1, SEED);
        clients.run_closed_loop(&planned, self.connections, MonotonicClock::now() + WARM_UP_US).await;
        let (requests_before, begun) = (clients.attempts_sent(), CpuTimes::read(pid));
        let end = MonotonicClock::now() + self.for_s * 1_000_000;
        clients.run_closed_loop(&planned, self.connections, end).await;
        let requests = (clients.attempts_sent() - requests_before).max(1) as f64;
        let ended = CpuTimes::read(pid);
        fleet.end().await;
        let measured = (ended.measured - begun.measured) as f64 / requests;
        Ok((measured, (ended.lab - begun.lab) as f64 / requests))
    }
}

impl Figures {
    fn print(&self, name: &str) {
        outln!(
            "{:<7} {:>12.0} {:>9.2} {:>9.2} {:>14.1} {:>14.1} {:>7}",
            name,
            self.per_s,
            self.p50_ms,
            self.p99_ms,
            self.cpu_us,
            self.lab_cpu_us,
            self.other
        );
    }
}

/// Starts the relay in a separate process, so that its CPU time can be read separately from the lab's.
fn start_relay(server: SocketAddr) -> std::io::Result<(Process, SocketAddr)> {
    let mut child = Command::new(std::env::current_exe()?)
        .args(["stand-in", "relay", "--server", &server.to_string()])
        .stdout(Stdio::piped())
        .spawn()?;
    let output = child.stdout.take();
    let process = Process(child);
    let mut line = String::new();
    if let Some(output) = output {
        BufReader::new(output).read_line(&mut line)?;
    }
    let address = line.trim().rsplit(' ').next().and_then(|address| address.parse().ok());
    Ok((process, address.ok_or_else(|| std::io::Error::other("the relay printed no address"))?))
}
