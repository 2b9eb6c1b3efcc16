//! `stonevane stand-in`: runs a single emulator in the foreground.

mod client;

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use clap::{Args, Subcommand};
use stonevane_audit::{Event, HistoryRecord, Rules};
use stonevane_emulators::cache::{Cache, CacheSpec};
use stonevane_emulators::discovery::{Discovery, DiscoverySpec, Entry};
use stonevane_emulators::origin::{Origin, OriginSpec};
use stonevane_emulators::record::Writer;
use stonevane_emulators::{MonotonicClock, Recorder, relay};
use stonevane_lab::interrupted;
use tokio::net::TcpListener;

use self::client::Client;
use crate::arguments::named_address;
use crate::error::CommandError;

/// Node name of all clients: emulators listen on one address per node, and an emulator started by this
/// command has only one address.
const ANY_NODE: &str = "any";
/// Capacity, in lines, of the queue of list changes read from standard input.
const CHANGE_QUEUE_LENGTH: usize = 16;

/// Arguments that all emulators of servers share.
#[derive(Args)]
pub struct Common {
    /// Address to listen on; port 0 picks a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Record the events that this emulator observes as a history in this file (JSON lines).
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
}

impl Common {
    fn nodes(&self) -> Vec<(String, SocketAddr)> {
        vec![(ANY_NODE.to_owned(), self.listen)]
    }

    fn recorder(&self) -> io::Result<(Recorder, Option<Writer>)> {
        let Some(path) = &self.history else { return Ok((Recorder::none(), None)) };
        let (recorder, writer) = recorder(path)?;
        Ok((recorder, Some(writer)))
    }
}

/// The emulators, and the load client.
#[derive(Subcommand)]
pub enum StandIn {
    /// Run an emulated cache server with hits and misses, a queue, deduplication of retries and a connection
    /// limit.
    #[command(after_help = "Example: stonevane stand-in cache --listen 127.0.0.1:7001 --name s-1 --cold")]
    Cache {
        #[command(flatten)]
        common: Common,
        /// Name of the cache server.
        #[arg(long, default_value = "s-1")]
        name: String,
        /// Processing time of a read, in milliseconds.
        #[arg(long, default_value_t = 4)]
        work_ms: u64,
        /// Start cold, as after a restart.
        #[arg(long)]
        cold: bool,
    },
    /// Run an emulated origin with fixed capacity and a queue; it stops for a time when overloaded.
    #[command(
        after_help = "Example: stonevane stand-in origin --listen 127.0.0.1:7010 --cache 127.0.0.1:7001"
    )]
    Origin {
        #[command(flatten)]
        common: Common,
        /// Cache server whose copies this origin updates (repeatable).
        #[arg(long, value_name = "ADDRESS")]
        cache: Vec<SocketAddr>,
        /// Maximum number of concurrent requests.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=256))]
        slots: u64,
        /// Processing time of a read, in milliseconds.
        #[arg(long, default_value_t = 60)]
        read_ms: u64,
    },
    /// Run an emulated discovery server with a server list and a watch for its changes. Change the list on
    /// standard input, one line per change: `NAME active|leaving|left`.
    #[command(after_help = "Example:
  stonevane stand-in discovery --listen 127.0.0.1:8500 --server s-1=127.0.0.1:7001 --origin o=127.0.0.1:7010")]
    Discovery {
        #[command(flatten)]
        common: Common,
        /// Cache server in the list (repeatable).
        #[arg(long, value_name = "NAME=ADDRESS", value_parser = named_address)]
        server: Vec<(String, SocketAddr)>,
        /// Origin in the list (repeatable).
        #[arg(long, value_name = "NAME=ADDRESS", value_parser = named_address)]
        origin: Vec<(String, SocketAddr)>,
    },
    /// Send load to one or more nodes, drawn from a seed, and print a summary for each request class.
    #[command(after_help = "Example: stonevane stand-in client --node 127.0.0.1:6379 --per-s 200 --for-s 10")]
    Client(Client),
    /// Run a bare relay in place of a node: forward each read to one server, without any routing decision.
    Relay {
        /// Address to listen on; port 0 picks a free port.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Server to forward to.
        #[arg(long)]
        server: SocketAddr,
    },
}

/// Creates a history file; its first record holds the default audit rules.
fn recorder(path: &Path) -> io::Result<(Recorder, Writer)> {
    let (recorder, writer) = Recorder::to(File::create(path)?);
    recorder.record(HistoryRecord {
        time: MonotonicClock::moment(),
        recorder: "stand-in".into(),
        event: Event::Begin,
        rules: Some(Box::new(Rules::default())),
        ..HistoryRecord::default()
    });
    Ok((recorder, writer))
}

/// Waits until the history is written completely.
fn finish(writer: Writer) -> io::Result<()> {
    errln!("{} history lines written", writer.finish()?);
    Ok(())
}

fn print_address(address: Option<SocketAddr>) {
    outln!("listening on {}", address.map_or("?".into(), |address| address.to_string()));
}

impl StandIn {
    pub fn run(self) -> Result<(), CommandError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(CommandError::not_run)?;
        if let StandIn::Client(client) = self {
            return client.run(&runtime);
        }
        let writer = runtime.block_on(self.serve()).map_err(CommandError::not_run)?;
        // Ends the emulator's tasks, whose recorders would keep the writer running.
        drop(runtime);
        writer.map_or(Ok(()), finish).map_err(CommandError::not_run)
    }

    /// Serves until interrupted; returns the history's writer if one is recorded.
    async fn serve(self) -> io::Result<Option<Writer>> {
        let clock = MonotonicClock::default();
        let _heartbeat = tokio::spawn(clock.clone().run_heartbeat());
        match self {
            StandIn::Cache { common, name, work_ms, cold } => {
                let (recorder, writer) = common.recorder()?;
                let spec = CacheSpec { name, work_us: work_ms * 1_000, ..CacheSpec::default() };
                let cache = Cache::start(spec, &common.nodes(), &clock, recorder).await?;
                if cold {
                    cache.restart();
                }
                print_address(cache.address(ANY_NODE));
                interrupted().await;
                outln!("{:?}", cache.counts());
                Ok(writer)
            }
            StandIn::Origin { common, cache, slots, read_ms } => {
                let (recorder, writer) = common.recorder()?;
                let (slots, read_us) = (slots as usize, read_ms * 1_000);
                let spec = OriginSpec { slots, read_us, ..OriginSpec::default() };
                let origin = Origin::start(spec, &common.nodes(), &clock, recorder).await?;
                origin.attach_remote(&cache);
                print_address(origin.address(ANY_NODE));
                interrupted().await;
                outln!("{:?}", origin.counts());
                Ok(writer)
            }
            StandIn::Discovery { common, server, origin } => {
                let (recorder, writer) = common.recorder()?;
                let servers = server.iter().map(|server| entry("std", server));
                let entries = servers.chain(origin.iter().map(|origin| entry("origin", origin))).collect();
                let spec = DiscoverySpec::default();
                let discovery = Discovery::start(&common.nodes(), recorder, entries, spec).await?;
                print_address(discovery.address(ANY_NODE));
                tokio::select! {
                    () = interrupted() => {}
                    () = read_changes(&discovery) => interrupted().await,
                }
                Ok(writer)
            }
            StandIn::Relay { listen, server } => {
                let listener = TcpListener::bind(listen).await?;
                print_address(listener.local_addr().ok());
                tokio::select! { () = interrupted() => {}, () = relay::relay(listener, server) => {} }
                Ok(None)
            }
            // `run` handles the client without calling `serve`.
            StandIn::Client(_) => Ok(None),
        }
    }
}

fn entry(kind: &str, (name, address): &(String, SocketAddr)) -> Entry {
    Entry {
        name: name.clone(),
        addresses: BTreeMap::from([(ANY_NODE.to_owned(), *address)]),
        zone: "a".into(),
        kind: kind.into(),
        group: 0,
        status: "active".into(),
        weight: 1.0,
        since: 0,
        index: 1,
    }
}

/// Applies changes from standard input until its end.
async fn read_changes(discovery: &Arc<Discovery>) {
    let (lines, mut queue) = tokio::sync::mpsc::channel::<String>(CHANGE_QUEUE_LENGTH);
    // Reading standard input blocks, so a separate thread reads it; it ends with the process.
    std::thread::spawn(move || {
        let stdin = io::stdin();
        for line in io::BufRead::lines(stdin.lock()).map_while(Result::ok) {
            if lines.blocking_send(line).is_err() {
                return;
            }
        }
    });
    while let Some(line) = queue.recv().await {
        let words: Vec<_> = line.split_whitespace().collect();
        let since = Some(MonotonicClock::now());
        match words[..] {
            [name, "active"] => discovery.change(name, "active", since, Duration::ZERO),
            [name, "leaving"] => discovery.change(name, "leaving", None, Duration::ZERO),
            [name, "left"] => discovery.change(name, "left", None, Duration::ZERO),
            _ => errln!("stonevane: expected `NAME active|leaving|left`, found: {line}"),
        }
    }
}
