//! `stonevane stand-in`: one stand-in by hand.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::{Args, Subcommand};
use stonevane_audit::{Event, HistoryRecord, Rules};
use stonevane_emulators::cache::{Cache, CacheSpec};
use stonevane_emulators::client::{Clients, plan};
use stonevane_emulators::discovery::{Discovery, DiscoverySpec, Entry};
use stonevane_emulators::origin::{Origin, OriginSpec};
use stonevane_emulators::record::Writer;
use stonevane_emulators::{MonotonicClock, Recorder, relay};
use stonevane_lab::{Scenario, interrupted};
use tokio::net::TcpListener;

use crate::{NOT_RUN, UNUSABLE, faults};

/// What every stand-in can be told.
#[derive(Args)]
pub struct Common {
    /// Where it listens.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Keeps what it sees as a history.
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
}

/// The stand-ins.
#[derive(Subcommand)]
pub enum StandIn {
    /// A cache server: stores, misses, queues, drops repeats, limits connections.
    #[command(after_help = "Example: stonevane stand-in cache --listen 127.0.0.1:7001 --name s-1 --cold")]
    Cache {
        #[command(flatten)]
        common: Common,
        /// Its name.
        #[arg(long, default_value = "s-1")]
        name: String,
        /// Work of a read, milliseconds.
        #[arg(long, default_value_t = 4)]
        work_ms: u64,
        /// Starts cold, as after a restart.
        #[arg(long)]
        cold: bool,
    },
    /// The origin: fixed capacity, a queue, stops when overrun.
    #[command(
        after_help = "Example: stonevane stand-in origin --listen 127.0.0.1:7010 --cache 127.0.0.1:7001"
    )]
    Origin {
        #[command(flatten)]
        common: Common,
        /// A cache whose copies follow it; may be given again.
        #[arg(long, value_name = "ADDRESS")]
        cache: Vec<SocketAddr>,
        /// Requests at once.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=256))]
        slots: u64,
        /// Work of a read, milliseconds.
        #[arg(long, default_value_t = 60)]
        read_ms: u64,
    },
    /// Discovery: the list and its watch; changes are read from standard input as `NAME active|leaving|left`.
    #[command(after_help = "Example:
  stonevane stand-in discovery --listen 127.0.0.1:8500 --server s-1=127.0.0.1:7001 --origin o=127.0.0.1:7010")]
    Discovery {
        #[command(flatten)]
        common: Common,
        /// A cache server; may be given again.
        #[arg(long, value_name = "NAME=ADDRESS", value_parser = named)]
        server: Vec<(String, SocketAddr)>,
        /// The origin.
        #[arg(long, value_name = "NAME=ADDRESS", value_parser = named)]
        origin: Vec<(String, SocketAddr)>,
    },
    /// Clients of one or more nodes, with a load drawn from a seed.
    #[command(after_help = "Example: stonevane stand-in client --node 127.0.0.1:6379 --per-s 200 --for-s 10")]
    Client {
        /// A node; may be given again.
        #[arg(long, value_name = "ADDRESS", required = true)]
        node: Vec<SocketAddr>,
        /// Requests a second.
        #[arg(long, default_value_t = 100.0)]
        per_s: f64,
        /// For so many seconds.
        #[arg(long, default_value_t = 5)]
        for_s: u64,
        /// Of the load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Keeps what it sees as a history.
        #[arg(long, value_name = "FILE")]
        history: Option<PathBuf>,
    },
    /// A bare relay in a node's place: passes each read on to one server, and decides nothing.
    Relay {
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// The server.
        #[arg(long)]
        server: SocketAddr,
    },
}

fn named(text: &str) -> Result<(String, SocketAddr), String> {
    let (name, address) = text.split_once('=').ok_or("not like NAME=ADDRESS")?;
    Ok((name.into(), address.parse().map_err(|_| format!("`{address}` is no address"))?))
}

/// A recorder for a history that begins with plain rules.
fn recorder(history: Option<&Path>) -> io::Result<(Recorder, Option<Writer>)> {
    let Some(path) = history else { return Ok((Recorder::none(), None)) };
    let (recorder, writer) = Recorder::to(File::create(path)?);
    let (t, who, rules) = (MonotonicClock::moment(), "stand-in".into(), Some(Box::new(Rules::default())));
    recorder.line(HistoryRecord {
        time: t,
        recorder: who,
        event: Event::Begin,
        rules,
        ..HistoryRecord::default()
    });
    Ok((recorder, Some(writer)))
}

fn finish(writer: Option<Writer>) -> io::Result<()> {
    if let Some(writer) = writer {
        warn!("{} lines of history", writer.finish()?);
    }
    Ok(())
}

impl StandIn {
    /// Runs it.
    pub fn run(self) -> ExitCode {
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(e) => return failed(&e),
        };
        if let StandIn::Client { node, per_s, for_s, seed, history } = self {
            return client(&runtime, &node, per_s, for_s, seed, history.as_deref());
        }
        match runtime.block_on(self.serve()) {
            Ok(writer) => {
                drop(runtime);
                finish(writer).map_or_else(|e| failed(&e), |()| ExitCode::SUCCESS)
            }
            Err(e) => failed(&e),
        }
    }

    async fn serve(self) -> io::Result<Option<Writer>> {
        let mono = MonotonicClock::default();
        let _beat = tokio::spawn(mono.clone().run_heartbeat());
        let any = |listen: SocketAddr| vec![("any".to_owned(), listen)];
        let at = |address: Option<SocketAddr>| {
            say!("listening on {}", address.map_or("?".into(), |a| a.to_string()));
        };
        match self {
            StandIn::Cache { common, name, work_ms, cold } => {
                let (recorder, writer) = recorder(common.history.as_deref())?;
                let spec = CacheSpec { name, work_us: work_ms * 1_000, ..CacheSpec::default() };
                let cache = Cache::start(spec, &any(common.listen), &mono, recorder).await?;
                if cold {
                    cache.restart();
                }
                at(cache.address("any"));
                interrupted().await;
                say!("{:?}", cache.counts());
                Ok(writer)
            }
            StandIn::Origin { common, cache, slots, read_ms } => {
                let (recorder, writer) = recorder(common.history.as_deref())?;
                let spec =
                    OriginSpec { slots: slots as usize, read_us: read_ms * 1_000, ..OriginSpec::default() };
                let origin = Origin::start(spec, &any(common.listen), &mono, recorder).await?;
                origin.attach_remote(&cache);
                at(origin.address("any"));
                interrupted().await;
                say!("{:?}", origin.counts());
                Ok(writer)
            }
            StandIn::Discovery { common, server, origin } => {
                let (recorder, writer) = recorder(common.history.as_deref())?;
                let entry = |kind: &str, (name, address): &(String, SocketAddr)| Entry {
                    name: name.clone(),
                    addresses: BTreeMap::from([("any".to_owned(), *address)]),
                    zone: "a".into(),
                    kind: kind.into(),
                    group: 0,
                    status: "active".into(),
                    weight: 1.0,
                    since: 0,
                    index: 1,
                };
                let mut entries: Vec<_> = server.iter().map(|s| entry("std", s)).collect();
                entries.extend(origin.iter().map(|o| entry("origin", o)));
                let any = any(common.listen);
                let discovery = Discovery::start(&any, recorder, entries, DiscoverySpec::default()).await?;
                at(discovery.address("any"));
                tokio::select! { () = interrupted() => {}, () = changes(&discovery) => interrupted().await }
                Ok(writer)
            }
            StandIn::Relay { listen, server } => {
                let listener = TcpListener::bind(listen).await?;
                at(listener.local_addr().ok());
                tokio::select! { () = interrupted() => {}, () = relay::relay(listener, server) => {} }
                Ok(None)
            }
            StandIn::Client { .. } => Ok(None),
        }
    }
}

fn failed(e: &io::Error) -> ExitCode {
    warn!("stonevane: {e}");
    ExitCode::from(NOT_RUN)
}

/// Reads changes from standard input until it ends.
async fn changes(discovery: &Arc<Discovery>) {
    let (lines, mut take) = tokio::sync::mpsc::channel::<String>(16);
    // Standard input blocks: it has a thread of its own, which goes with the process.
    std::thread::spawn(move || {
        let stdin = io::stdin();
        for line in io::BufRead::lines(stdin.lock()).map_while(Result::ok) {
            if lines.blocking_send(line).is_err() {
                return;
            }
        }
    });
    while let Some(line) = take.recv().await {
        let words: Vec<_> = line.split_whitespace().collect();
        let since = Some(MonotonicClock::now());
        match words[..] {
            [name, "active"] => discovery.change(name, "active", since, Duration::ZERO),
            [name, "leaving"] => discovery.change(name, "leaving", None, Duration::ZERO),
            [name, "left"] => discovery.change(name, "left", None, Duration::ZERO),
            _ => warn!("stonevane: not like `NAME active|leaving|left`: {line}"),
        }
    }
}

fn client(
    runtime: &tokio::runtime::Runtime,
    nodes: &[SocketAddr],
    per_s: f64,
    for_s: u64,
    seed: u64,
    history: Option<&Path>,
) -> ExitCode {
    let text =
        format!("name = \"by hand\"\n[load]\nper_s = {per_s:?}\nfor_ms = {}\n", for_s.saturating_mul(1_000));
    let scenario = match Scenario::parse(&text) {
        Ok(scenario) => scenario,
        Err(wrong) => {
            let _ = faults("the load", &wrong);
            return ExitCode::from(UNUSABLE);
        }
    };
    // Its figures come from what it writes down, also where nobody keeps that.
    let path = history.map_or_else(
        || std::env::temp_dir().join(format!("stonevane-client-{}.jsonl", std::process::id())),
        Path::to_path_buf,
    );
    let played = || -> io::Result<()> {
        let (recorder, writer) = recorder(Some(&path))?;
        runtime.block_on(async {
            let mono = MonotonicClock::default();
            let _beat = tokio::spawn(mono.clone().run_heartbeat());
            let targets = nodes.iter().enumerate().map(|(at, address)| (format!("n{at}"), *address));
            let targets: Vec<_> = targets.collect();
            let clients = Clients::new(&targets, scenario.load.clone(), seed, &mono, recorder);
            let planned = plan(&scenario.load, targets.len(), seed);
            warn!("{} requests in {for_s} s ...", planned.len());
            clients.play(planned, MonotonicClock::now()).await;
        });
        finish(writer)
    };
    if let Err(e) = played() {
        return failed(&e);
    }
    let file = File::open(&path).map(io::BufReader::new);
    let summary =
        file.map_err(|e| e.to_string()).and_then(|f| stonevane_lab::summarise(f).map_err(|e| e.to_string()));
    if history.is_none() {
        let _ = std::fs::remove_file(&path);
    }
    match summary {
        Ok(summary) => {
            for (name, c) in &summary.classes {
                say!(
                    "{name}: {} asked, {} served, {} refused, {} failed; p50 {:.1} ms, p99 {:.1} ms",
                    c.asked,
                    c.served,
                    c.refused,
                    c.failed,
                    c.p50_ms,
                    c.p99_ms
                );
            }
            ExitCode::SUCCESS
        }
        Err(e) => {
            warn!("stonevane: {e}");
            ExitCode::from(NOT_RUN)
        }
    }
}
