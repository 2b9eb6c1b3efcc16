//! Discovery for the stub nodes: the lab's emulator on a thread of its own, with a list that does not change.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc;
use std::thread::JoinHandle;

use stonevane_emulators::Recorder;
use stonevane_emulators::discovery::{Discovery, DiscoverySpec, Entry};
use tokio::sync::oneshot;

use crate::plan::Plan;

/// The name of the one address, which all nodes share.
const ADDRESS_NAME: &str = "nodes";

/// Discovery that runs until it is dropped.
pub struct DiscoveryService {
    address: SocketAddr,
    end: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl DiscoveryService {
    /// Starts it, with the list of a plan.
    ///
    /// # Errors
    /// There is no port or no thread for it.
    pub fn start(plan: &Plan) -> io::Result<DiscoveryService> {
        let entries = (0..plan.caches).map(|cache| entry(plan, cache)).collect();
        let (end, ended) = oneshot::channel();
        let (started, starts) = mpsc::channel();
        let thread = std::thread::Builder::new().name("discovery".into()).spawn(move || {
            if let Err(e) = serve(entries, ended, &started) {
                let _ = started.send(Err(e));
            }
        })?;
        let address = starts.recv().map_err(io::Error::other)??;
        Ok(DiscoveryService { address, end: Some(end), thread: Some(thread) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for DiscoveryService {
    fn drop(&mut self) {
        drop(self.end.take());
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

/// Reports where it listens, and serves until `ended`.
fn serve(
    entries: Vec<Entry>,
    ended: oneshot::Receiver<()>,
    started: &mpsc::Sender<io::Result<SocketAddr>>,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let addresses = [(ADDRESS_NAME.to_owned(), SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))];
        let discovery =
            Discovery::start(&addresses, Recorder::none(), entries, DiscoverySpec::default()).await?;
        let address =
            discovery.address(ADDRESS_NAME).ok_or_else(|| io::Error::other("discovery has no door"))?;
        let _ = started.send(Ok(address));
        let _ = ended.await;
        Ok(())
    })
}
