//! Stub nodes: a correct one, and one for each [`NodeFault`]. Tests use them to show that the auditor detects
//! each rule violation over real sockets, and reports nothing else.

mod fault;
mod memory;
mod upstream;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use stonevane_codec::resp;
use stonevane_emulators::lock;
use stonevane_emulators::request::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use self::memory::StubState;
use self::upstream::{CacheAnswer, follow_endpoints, send_to_cache, send_to_origin};

pub use self::fault::NodeFault;

/// Part of a request's deadline reserved for sending the answer, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 20;
/// Time after the deadline at which [`NodeFault::AnswersLate`] answers, in milliseconds.
const LATENESS_MS: u64 = 120;
/// Pause before a listener tries again to bind its address.
const REBIND_PAUSE: Duration = Duration::from_millis(2);
/// Extra reads that [`NodeFault::Floods`] sends: more than the capacity of a cold server.
const FLOOD_READS: usize = 80;
/// Extra reads that [`NodeFault::FloodsTogether`] sends. The reads of one node are within the capacity of a
/// cold server; the reads of two nodes together exceed it.
const SHARED_FLOOD_READS: usize = 20;
/// Extra attempts that [`NodeFault::ExceedsAttemptLimit`] makes.
const EXCESS_ATTEMPTS: usize = 4;

/// A cache server with its address for one node.
#[derive(Debug, Clone)]
pub struct KnownCache {
    /// Name of the cache server.
    pub name: String,
    /// Address at which this node reaches it.
    pub address: SocketAddr,
}

/// Configuration of a stub node.
#[derive(Debug, Clone)]
pub struct StubNode {
    /// Name of the node.
    pub name: String,
    /// Address to which clients connect.
    pub listen: SocketAddr,
    /// Cache servers, in the order in which keys are assigned to them.
    pub caches: Vec<KnownCache>,
    /// Address of the origin.
    pub origin: SocketAddr,
    /// Address of discovery, where the node watches the endpoint list.
    pub discovery: SocketAddr,
}

impl StubNode {
    /// Serves clients until `terminate` holds `true`.
    pub async fn run(self, fault: NodeFault, mut terminate: watch::Receiver<bool>) {
        let listener = loop {
            // The listener of the previous incarnation may still hold the address for a moment.
            match TcpListener::bind(self.listen).await {
                Ok(listener) => break listener,
                Err(_) if *terminate.borrow() || terminate.has_changed().is_err() => return,
                Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
            }
        };
        let state: Arc<Mutex<StubState>> = Arc::default();
        let terminated = terminate.clone();
        let watch = tokio::spawn(follow_endpoints(self.discovery, state.clone()));
        let server = Arc::new(Server { node: self, fault, state });
        loop {
            tokio::select! {
                _ = terminate.wait_for(|terminate| *terminate) => break,
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(server.clone().serve(stream, terminated.clone()));
                    }
                }
            }
        }
        watch.abort();
    }
}

struct Server {
    node: StubNode,
    fault: NodeFault,
    state: Arc<Mutex<StubState>>,
}

impl Server {
    async fn serve(self: Arc<Self>, stream: TcpStream, mut terminate: watch::Receiver<bool>) {
        let connection = self.connection(stream);
        if self.fault == NodeFault::LosesAtTerm {
            tokio::select! { _ = terminate.wait_for(|terminate| *terminate) => {}, _ = connection => {} }
        } else {
            let _ = connection.await;
        }
    }

    async fn connection(&self, mut client: TcpStream) -> std::io::Result<()> {
        client.set_nodelay(true)?;
        let mut input = BytesMut::new();
        loop {
            while let Ok(Some(words)) = resp::take_command(&mut input) {
                let Some(request) = Request::from_command(&words) else {
                    client.write_all(b"+PONG\r\n").await?;
                    continue;
                };
                let answer = self.answer(&request, &words).await;
                client.write_all(&answer).await?;
            }
            if client.read_buf(&mut input).await? == 0 {
                return Ok(());
            }
        }
    }

    async fn answer(&self, request: &Request, words: &[Bytes]) -> BytesMut {
        let timeout = Duration::from_millis(request.deadline_ms.saturating_sub(ANSWER_MARGIN_MS));
        let fetched = tokio::time::timeout(timeout, self.fetch(request, words)).await;
        let value = fetched.ok().flatten().map(|value| self.answered_value(request, value));
        if self.fault == NodeFault::AnswersLate {
            tokio::time::sleep(Duration::from_millis(request.deadline_ms + LATENESS_MS)).await;
        }
        let mut answer = BytesMut::new();
        match value {
            Some(value) => resp::put_bulk(&mut answer, &value),
            None => answer.extend_from_slice(b"-ERR failed\r\n"),
        }
        if self.fault == NodeFault::AnswersTwice {
            answer.extend_from_slice(b"-ERR failed\r\n");
        }
        answer
    }

    /// Returns the value sent to the client, which depends on the fault and the fetched value.
    fn answered_value(&self, request: &Request, fetched: Bytes) -> Bytes {
        let mut state = lock(&self.state);
        let previous = state.last_value.replace(fetched.clone());
        match self.fault {
            NodeFault::OtherValue => previous.unwrap_or(fetched),
            NodeFault::StaleValue if !request.write => {
                state.values.entry(request.key.clone()).or_insert(fetched).clone()
            }
            _ => fetched,
        }
    }

    async fn fetch(&self, request: &Request, words: &[Bytes]) -> Option<Bytes> {
        let facts = String::from_utf8_lossy(&words[3]).into_owned();
        if request.write {
            self.write(request, facts, words).await
        } else {
            self.read(request, &facts, words).await
        }
    }

    async fn write(&self, request: &Request, mut facts: String, words: &[Bytes]) -> Option<Bytes> {
        let mut value = words[4].clone();
        match self.fault {
            NodeFault::OtherClass => facts = facts.replace("zone-edit", "zone-lookup"),
            NodeFault::OtherBody => value = Bytes::from_static(b"another"),
            _ => {}
        }
        let receipt = send_to_origin(self.node.origin, request, &facts, &value).await;
        if self.fault == NodeFault::ResendsUnsafe && request.token.is_empty() {
            return send_to_origin(self.node.origin, request, &facts, &value).await;
        }
        receipt
    }

    async fn read(&self, request: &Request, facts: &str, words: &[Bytes]) -> Option<Bytes> {
        let server = self.cache_for(&request.key)?;
        let mut words = words.to_vec();
        match self.fault {
            NodeFault::MixesKeys => {
                let previous = lock(&self.state).last_key.replace(words[1].clone());
                words[1] = previous.unwrap_or_else(|| words[1].clone());
            }
            NodeFault::SendsUnrequested => {
                let mut unrequested = words.clone();
                unrequested[2] = Bytes::from(format!("{}-again", request.id));
                send_to_cache(server, &unrequested).await;
            }
            NodeFault::ExceedsAttemptLimit => {
                for _ in 0..EXCESS_ATTEMPTS {
                    send_to_cache(server, &words).await;
                }
            }
            NodeFault::Floods => self.flood(&words, FLOOD_READS).await,
            NodeFault::FloodsTogether => self.flood(&words, SHARED_FLOOD_READS).await,
            _ => {}
        }
        match send_to_cache(server, &words).await {
            CacheAnswer::Value(value) => Some(value),
            // The origin has the value; the cache missed or was busy.
            CacheAnswer::NoValue => send_to_origin(self.node.origin, request, facts, b"").await,
            CacheAnswer::Unreachable => None,
        }
    }

    /// Returns the cache to which a read of a key is sent: the cache to which the key is assigned, or else
    /// the next available one in order.
    fn cache_for(&self, key: &str) -> Option<SocketAddr> {
        let caches = &self.node.caches;
        let own = (u64::from_str_radix(key, 16).unwrap_or(0) >> 7) as usize % caches.len();
        let unavailable = lock(&self.state).unavailable.clone();
        let usable = |cache: &&KnownCache| {
            self.fault == NodeFault::IgnoresDrains || !unavailable.contains(&cache.name)
        };
        let mut order = (0..caches.len()).map(|offset| &caches[(own + offset) % caches.len()]);
        order.find(usable).map(|cache| cache.address)
    }

    /// Sends a read to the first cache, `count` times concurrently. This breaks the slow-start rule if the
    /// cache is cold.
    async fn flood(&self, words: &[Bytes], count: usize) {
        let server = self.node.caches[0].address;
        let mut reads = JoinSet::new();
        for _ in 0..count {
            let words = words.to_vec();
            reads.spawn(async move { send_to_cache(server, &words).await });
        }
        while reads.join_next().await.is_some() {}
    }
}
