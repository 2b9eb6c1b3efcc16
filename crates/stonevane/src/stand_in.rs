//! `stonevane stand-in`: one emulator by hand.

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

/// The name of the only node that an emulator by hand knows.
const ANY_NODE: &str = "any";
/// Changes of the list that wait to be carried out.
const QUEUED_CHANGES: usize = 16;

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
        #[arg(long, value_name = "NAME=ADDRESS", value_parser = named_address)]
        server: Vec<(String, SocketAddr)>,
        /// The origin.
        #[arg(long, value_name = "NAME=ADDRESS", value_parser = named_address)]
        origin: Vec<(String, SocketAddr)>,
    },
    /// Clients of one or more nodes, with a load drawn from a seed.
    #[command(after_help = "Example: stonevane stand-in client --node 127.0.0.1:6379 --per-s 200 --for-s 10")]
    Client(Client),
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

/// A recorder of a history that begins with the default rules.
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

/// Waits until a history is written.
fn finish(writer: Writer) -> io::Result<()> {
    warn!("{} lines of history", writer.finish()?);
    Ok(())
}

fn print_address(address: Option<SocketAddr>) {
    say!("listening on {}", address.map_or("?".into(), |address| address.to_string()));
}

impl StandIn {
    pub fn run(self) -> Result<(), CommandError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(CommandError::not_run)?;
        if let StandIn::Client(client) = self {
            return client.run(&runtime);
        }
        let writer = runtime.block_on(self.serve()).map_err(CommandError::not_run)?;
        // The emulator's tasks hold recorders.
        drop(runtime);
        writer.map_or(Ok(()), finish).map_err(CommandError::not_run)
    }

    /// Serves until it is interrupted; returns the writer of the history, where there is one.
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
                say!("{:?}", cache.counts());
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
                say!("{:?}", origin.counts());
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
            // Run by `run`.
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

/// Carries out changes from standard input until it ends.
async fn read_changes(discovery: &Arc<Discovery>) {
    let (lines, mut queue) = tokio::sync::mpsc::channel::<String>(QUEUED_CHANGES);
    // Standard input blocks: it has a thread of its own, which ends with the process.
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
            _ => warn!("stonevane: not like `NAME active|leaving|left`: {line}"),
        }
    }
}
