//! `stonevane bench`: what the lab itself can do, and what the store does beside what it is built on.

mod store;

use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::{Duration, Instant};

use clap::Subcommand;
use stonevane_audit::{Effect, Event, HistoryRecord, Outcome, Rules, TimeInterval, audit};
use stonevane_emulators::client::{Clients, plan};
use stonevane_emulators::{MonotonicClock, Recorder};
use stonevane_lab::{Fleet, NodeKind, Scenario, summarise};

use crate::{NOT_RUN, node};

/// Measurements; each prints its figures side by side from one run.
#[derive(Subcommand)]
pub enum Bench {
    /// The node and a bare relay in its place, in turn: requests a second, times, CPU of a request.
    #[command(after_help = "Example: stonevane bench lab --rounds 3 --for-s 2 --connections 16")]
    Lab {
        /// Turns of each.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=50))]
        rounds: u64,
        /// Seconds of each turn.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=60))]
        for_s: u64,
        /// Connections that ask as fast as answers come.
        #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u64).range(1..=64))]
        connections: u64,
        /// Sockets of the node. A connection rests after each answer, so that fewer make it open new ones.
        #[arg(long, default_value_t = 512, value_parser = clap::value_parser!(u64).range(128..=1024))]
        sockets: u64,
        /// The daemon's program; else the one beside this program.
        #[arg(long, value_name = "FILE")]
        node_program: Option<PathBuf>,
        /// Another daemon's program, an older one say, that has its turns too.
        #[arg(long, value_name = "FILE")]
        beside: Option<PathBuf>,
    },
    /// The store beside bare SQLite and a bare PostgreSQL client: reads, edits one by one, edits that share a
    /// transaction.
    #[command(after_help = "Example: stonevane bench store --rounds 3")]
    Store {
        /// Turns of each.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=50))]
        rounds: u64,
    },
    /// A stampede of misses on a fleet before a slow store of record, with and without shared fetches.
    #[command(after_help = "Example: stonevane bench stampede --rounds 3")]
    Stampede {
        /// Turns of each.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=50))]
        rounds: u64,
        /// The daemon's program; else the one beside this program.
        #[arg(long, value_name = "FILE")]
        node_program: Option<PathBuf>,
    },
    /// Writing a history down: events a second that the lab can tell of, and that its writer takes.
    #[command(after_help = "Example: stonevane bench record --events 1000000")]
    Record {
        /// Its events, about.
        #[arg(long, default_value_t = 1_000_000, value_parser = clap::value_parser!(u64).range(4..=10_000_000))]
        events: u64,
    },
    /// The auditor on a history that is made up, honest and large.
    #[command(after_help = "Example: stonevane bench audit --events 1000000")]
    Audit {
        /// Its events, about.
        #[arg(long, default_value_t = 1_000_000, value_parser = clap::value_parser!(u64).range(4..=100_000_000))]
        events: u64,
    },
}

impl Bench {
    /// Measures.
    pub fn run(self) -> ExitCode {
        let done = match self {
            Bench::Lab { rounds, for_s, connections, sockets, node_program, beside } => {
                let program = node::program(node_program.as_deref());
                program.and_then(|program| {
                    let whose = [Some(("node", program)), beside.map(|other| ("beside", other))];
                    let whose: Vec<_> = whose.into_iter().flatten().collect();
                    lab(rounds, for_s, connections as usize, sockets, &whose)
                })
            }
            Bench::Store { rounds } => store::run(rounds),
            Bench::Stampede { rounds, node_program } => {
                let program = node::program(node_program.as_deref());
                program.and_then(|program| store::stampede(rounds, &program))
            }
            Bench::Record { events } => recording(events),
            Bench::Audit { events } => auditor(events),
        };
        match done {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                warn!("stonevane: {e}");
                ExitCode::from(NOT_RUN)
            }
        }
    }
}

/// CPU that a process has used, in microseconds.
fn cpu_us(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    let nanos: u64 = text.split_whitespace().next()?.parse().ok()?;
    Some(nanos / 1_000)
}

struct Ended(Child);

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Caches that answer at once, all keys held, and a load that only reads.
const SCENARIO: &str = "name = \"bench\"\n[fleet]\nnodes = 1\ncaches = 1\nwarm_keys = 1\n[fleet.cache]\n\
    work_ms = 0\ncores = 64\n[load]\nper_s = 20000\nfor_ms = 1000\nedits = 0\nretries = 0\n";

struct Figures {
    per_s: f64,
    p50_ms: f64,
    p99_ms: f64,
    cpu_us: f64,
    own_us: f64,
    other: u64,
}

fn lab(
    rounds: u64,
    for_s: u64,
    connections: usize,
    sockets: u64,
    whose: &[(&str, PathBuf)],
) -> Result<(), String> {
    let mut scenario = Scenario::parse(SCENARIO).map_err(|e| format!("{e:?}"))?;
    scenario.sockets = sockets;
    say!("{connections} connections, {for_s} s a turn, {rounds} turns of each, history written");
    say!(
        "{:<7} {:>12} {:>9} {:>9} {:>14} {:>14} {:>7}",
        "",
        "requests/s",
        "p50 ms",
        "p99 ms",
        "its CPU us/r",
        "lab CPU us/r",
        "other"
    );
    let mut ratios = vec![Vec::new(); whose.len()];
    for _ in 0..rounds {
        let mut all = Vec::new();
        let programs = whose.iter().map(|(name, program)| (*name, Some(program.as_path())));
        for (name, program) in programs.chain([("relay", None)]) {
            let figures = turn(&scenario, for_s, connections, program)?;
            say!(
                "{:<7} {:>12.0} {:>9.2} {:>9.2} {:>14.1} {:>14.1} {:>7}",
                name,
                figures.per_s,
                figures.p50_ms,
                figures.p99_ms,
                figures.cpu_us,
                figures.own_us,
                figures.other
            );
            all.push(figures);
        }
        let Some(relay) = all.pop() else { continue };
        for (of, it) in ratios.iter_mut().zip(all) {
            of.push((it.per_s / relay.per_s, it.cpu_us / relay.cpu_us));
        }
    }
    for ((name, _), mut of) in whose.iter().zip(ratios) {
        of.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (rate, _) = of[of.len() / 2];
        of.sort_by(|a, b| a.1.total_cmp(&b.1));
        let (_, cpu) = of[of.len() / 2];
        say!("{name} / relay, median of pairs: requests a second {rate:.2}, CPU of a request {cpu:.2}");
    }
    Ok(())
}

fn turn(
    scenario: &Scenario,
    for_s: u64,
    connections: usize,
    program: Option<&std::path::Path>,
) -> Result<Figures, String> {
    let text = |e: std::io::Error| e.to_string();
    let path = std::env::temp_dir().join(format!("stonevane-bench-{}.jsonl", std::process::id()));
    let (recorder, writer) = Recorder::to(File::create(&path).map_err(text)?);
    let rules = Some(Box::new(Rules::default()));
    recorder.line(HistoryRecord {
        time: MonotonicClock::moment(),
        recorder: "bench".into(),
        event: Event::Begin,
        rules,
        ..HistoryRecord::default()
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(text)?;
    let own = std::process::id();
    // Behind a relay the node stands idle.
    let node = match program {
        Some(program) => program.to_owned(),
        None => std::env::current_exe().map_err(text)?.with_file_name("stonevane-node"),
    };
    let (cpu, own_cpu) = runtime.block_on(async {
        let mono = MonotonicClock::default();
        let _beat = tokio::spawn(mono.clone().run_heartbeat());
        let kind = NodeKind::Process(node.into());
        let fleet = Fleet::start(scenario, &kind, 1, &mono, &recorder).await.map_err(text)?;
        let (targets, pid, _relay) = if program.is_some() {
            (fleet.targets.clone(), fleet.pids()[0], None)
        } else {
            let server = fleet.caches[0].address("n0").ok_or("the cache has no door")?;
            let (relay, address) = start_relay(server).map_err(text)?;
            (vec![("relay".to_owned(), address)], relay.0.id(), Some(relay))
        };
        let clients = Clients::new(&targets, scenario.load.clone(), 1, &mono, recorder.clone());
        let planned = plan(&scenario.load, 1, 1);
        // Warm: connections are up and the pages are there.
        clients.hammer(&planned, connections, MonotonicClock::now() + 300_000).await;
        let asked = clients.asked();
        let begun = (cpu_us(pid).unwrap_or(0), cpu_us(own).unwrap_or(0));
        clients.hammer(&planned, connections, MonotonicClock::now() + for_s * 1_000_000).await;
        let count = (clients.asked() - asked).max(1) as f64;
        let ended = (cpu_us(pid).unwrap_or(0), cpu_us(own).unwrap_or(0));
        fleet.end().await;
        Ok::<_, String>(((ended.0 - begun.0) as f64 / count, (ended.1 - begun.1) as f64 / count))
    })?;
    drop((runtime, recorder));
    writer.finish().map_err(text)?;
    let file = BufReader::new(File::open(&path).map_err(text)?);
    let summary = summarise(file).map_err(|e| e.to_string());
    let _ = std::fs::remove_file(&path);
    let summary = summary?;
    let class = summary.classes.get("zone-lookup").ok_or("nothing was asked")?;
    let whole = for_s as f64 + 0.3;
    Ok(Figures {
        per_s: class.served as f64 / whole,
        p50_ms: class.p50_ms,
        p99_ms: class.p99_ms,
        cpu_us: cpu,
        own_us: own_cpu,
        other: class.refused + class.failed,
    })
}

/// A relay as a process of its own, as the node is one.
fn start_relay(server: SocketAddr) -> std::io::Result<(Ended, SocketAddr)> {
    let own = std::env::current_exe()?;
    let mut child = Command::new(own)
        .args(["stand-in", "relay", "--server", &server.to_string()])
        .stdout(Stdio::piped())
        .spawn()?;
    let out = child.stdout.take();
    let child = Ended(child);
    let mut line = String::new();
    if let Some(out) = out {
        std::io::BufRead::read_line(&mut BufReader::new(out), &mut line)?;
    }
    let address = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
    Ok((child, address.ok_or_else(|| std::io::Error::other("the relay did not start"))?))
}

/// Writes a history of reads that hit, four events each, and audits it.
/// An honest history of about so many events: four a request, two thousand requests a second.
fn made_up(events: u64, mut each: impl FnMut(HistoryRecord)) {
    each(HistoryRecord {
        event: Event::Begin,
        rules: Some(Box::new(Rules::default())),
        ..HistoryRecord::default()
    });
    let at = |us: u64| TimeInterval { earliest: us.saturating_sub(40), latest: us };
    for number in 0..events / 4 {
        let t = 1_000 + number * 500;
        let value = format!("v-{number:x}");
        let (node, class, key) = ("n0", "read", format!("{:016x}", number % 5_000));
        let base = |t, event, who: &str| HistoryRecord {
            time: at(t),
            event,
            recorder: who.into(),
            request: format!("r{number:x}"),
            ..HistoryRecord::default()
        };
        let asked = |line| HistoryRecord { node: node.into(), class: class.into(), key: key.clone(), ..line };
        each(HistoryRecord { deadline: t + 1_500_000, ..asked(base(t, Event::Request, "client")) });
        let attempt = asked(base(t + 50, Event::Attempt, "s-1"));
        each(HistoryRecord { effect: Some(Effect::Ran), number, work_us: 4_000, ..attempt });
        each(HistoryRecord { number, value: value.clone(), ..base(t + 100, Event::Reply, "s-1") });
        let answer = base(t + 150, Event::Answer, "client");
        each(HistoryRecord { node: node.into(), outcome: Some(Outcome::Served), value, ..answer });
    }
}

/// What writing events down costs: those who tell of them, and the thread that writes.
fn recording(events: u64) -> Result<(), String> {
    let path = std::env::temp_dir().join(format!("stonevane-record-{}.jsonl", std::process::id()));
    let (recorder, writer) = Recorder::to(File::create(&path).map_err(|e| e.to_string())?);
    let mut lines = Vec::new();
    made_up(events, |line| lines.push(line));
    let begun = Instant::now();
    lines.into_iter().for_each(|line| recorder.line(line));
    let told = begun.elapsed();
    drop(recorder);
    let written = writer.finish();
    let took = begun.elapsed();
    let bytes = std::fs::metadata(&path).map_or(0, |m| m.len());
    let _ = std::fs::remove_file(&path);
    let written = written.map_err(|e| e.to_string())?;
    say!(
        "{written} events, {:.0} MB: {:.0} a second told (the lab's own thread), {:.0} a second written",
        bytes as f64 / 1e6,
        written as f64 / told.as_secs_f64().max(1e-9),
        written as f64 / took.as_secs_f64().max(1e-9)
    );
    Ok(())
}

fn auditor(events: u64) -> Result<(), String> {
    let text = |e: std::io::Error| e.to_string();
    let path = std::env::temp_dir().join(format!("stonevane-audit-{}.jsonl", std::process::id()));
    let mut out = BufWriter::new(File::create(&path).map_err(text)?);
    let mut written = Ok(());
    made_up(events, |line| {
        if written.is_ok() {
            written = out.write_all(line.to_json_line().as_bytes());
        }
    });
    written.map_err(text)?;
    out.flush().map_err(text)?;
    drop(out);
    let bytes = std::fs::metadata(&path).map_err(text)?.len();
    let begun = Instant::now();
    let report = audit(BufReader::with_capacity(1 << 20, File::open(&path).map_err(text)?));
    let took = begun.elapsed().max(Duration::from_micros(1));
    let _ = std::fs::remove_file(&path);
    let report = report.map_err(|e| e.to_string())?;
    say!(
        "{} events, {:.0} MB: {:.2} s, {:.0} events/s; at most {} requests held; {} breaches",
        report.events,
        bytes as f64 / 1e6,
        took.as_secs_f64(),
        report.events as f64 / took.as_secs_f64(),
        report.peak_requests,
        report.broken
    );
    Ok(())
}
