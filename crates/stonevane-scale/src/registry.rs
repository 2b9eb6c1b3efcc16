//! Discovery for the hollow nodes: the stand-in of the lab on a thread of its own, with a list that does not change.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc;
use std::thread::JoinHandle;

use stonevane_emulators::Recorder;
use stonevane_emulators::discovery::{Discovery, DiscoverySpec, Entry};
use tokio::sync::oneshot;

use crate::plan::Plan;

/// The one door, which all nodes share.
const DOOR: &str = "nodes";

/// Discovery that runs until it is dropped.
pub struct Registry {
    address: SocketAddr,
    end: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Registry {
    /// Starts it, with the list of a plan.
    ///
    /// # Errors
    /// Where there is no port or no thread for it.
    pub fn start(plan: &Plan) -> io::Result<Registry> {
        let entries = (0..plan.caches).map(|cache| entry(plan, cache)).collect();
        let (end, ended) = oneshot::channel();
        let (told, tells) = mpsc::channel();
        let thread = std::thread::Builder::new().name("discovery".into()).spawn(move || {
            if let Err(e) = serve(entries, ended, &told) {
                let _ = told.send(Err(e));
            }
        })?;
        let address = tells.recv().map_err(io::Error::other)??;
        Ok(Registry { address, end: Some(end), thread: Some(thread) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Registry {
    fn drop(&mut self) {
        drop(self.end.take());
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

fn entry(plan: &Plan, cache: u32) -> Entry {
    Entry {
        name: format!("cache-{cache}"),
        addresses: BTreeMap::from([(DOOR.to_owned(), plan.cache_address(cache))]),
        zone: "z".into(),
        kind: "cache".into(),
        group: 0,
        status: "active".into(),
        weight: 1.0,
        since: 0,
        index: 1,
    }
}

/// Serves until the end is told; says where it listens first.
fn serve(
    entries: Vec<Entry>,
    ended: oneshot::Receiver<()>,
    told: &mpsc::Sender<io::Result<SocketAddr>>,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let doors = [(DOOR.to_owned(), SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))];
        let discovery = Discovery::start(&doors, Recorder::none(), entries, DiscoverySpec::default()).await?;
        let address = discovery.address(DOOR).ok_or_else(|| io::Error::other("discovery has no door"))?;
        let _ = told.send(Ok(address));
        let _ = ended.await;
        Ok(())
    })
}
