//! Discovery for the stub nodes: the lab's discovery emulator on its own thread, with a list of cache
//! servers that does not change.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc;
use std::thread::JoinHandle;

use stonevane_emulators::Recorder;
use stonevane_emulators::discovery::{Discovery, DiscoverySpec, Entry};
use tokio::sync::oneshot;

use crate::plan::Plan;

/// Name of the single address of the emulator, which all nodes use.
const ADDRESS_NAME: &str = "nodes";

/// A discovery emulator that runs until it is dropped.
pub struct DiscoveryService {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl DiscoveryService {
    /// Starts the emulator with the plan's cache servers as its list.
    ///
    /// # Errors
    /// The emulator cannot listen, or its thread cannot be started.
    pub fn start(plan: &Plan) -> io::Result<DiscoveryService> {
        let entries = (0..plan.caches).map(|cache| entry(plan, cache)).collect();
        let (stop, stopped) = oneshot::channel();
        let (started, start) = mpsc::channel();
        let thread = std::thread::Builder::new().name("discovery".into()).spawn(move || {
            if let Err(e) = serve(entries, stopped, &started) {
                let _ = started.send(Err(e));
            }
        })?;
        let address = start.recv().map_err(io::Error::other)??;
        Ok(DiscoveryService { address, stop: Some(stop), thread: Some(thread) })
    }

    /// Address on which the emulator listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for DiscoveryService {
    fn drop(&mut self) {
        drop(self.stop.take());
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

fn entry(plan: &Plan, cache: u32) -> Entry {
    Entry {
        name: format!("cache-{cache}"),
        addresses: BTreeMap::from([(ADDRESS_NAME.to_owned(), plan.cache_address(cache))]),
        zone: "z".into(),
        kind: "cache".into(),
        group: 0,
        status: "active".into(),
        weight: 1.0,
        since: 0,
        index: 1,
    }
}

/// Sends the address of the emulator to `started`, and serves until the sender of `stopped` is dropped.
fn serve(
    entries: Vec<Entry>,
    stopped: oneshot::Receiver<()>,
    started: &mpsc::Sender<io::Result<SocketAddr>>,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let addresses = [(ADDRESS_NAME.to_owned(), SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))];
        let discovery =
            Discovery::start(&addresses, Recorder::none(), entries, DiscoverySpec::default()).await?;
        let address = discovery
            .address(ADDRESS_NAME)
            .ok_or_else(|| io::Error::other("the discovery emulator has no address"))?;
        let _ = started.send(Ok(address));
        let _ = stopped.await;
        Ok(())
    })
}
