//! Stub nodes: a correct one, and one for each way of breaking a rule. They exist so that the auditor can be seen to
//! catch, over real sockets, what it must, and nothing else.

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

use self::memory::Memory;
use self::upstream::{CacheAnswer, ask_cache, ask_origin, follow_endpoints};

pub use self::fault::NodeFault;

/// What is left of a request's deadline for the answer's way back, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 20;
/// How far past the deadline [`NodeFault::AnswersLate`] answers, in milliseconds.
const LATE_MS: u64 = 120;
/// The pause before a listener tries again to bind its address.
const REBIND_PAUSE: Duration = Duration::from_millis(2);
/// Additional reads of [`NodeFault::Floods`]: more than a cold server can do.
const FLOOD: usize = 80;
/// Additional reads of [`NodeFault::FloodsTogether`]: too much from two nodes only.
const SHARED_FLOOD: usize = 20;
/// Additional reads of [`NodeFault::AsksTooOften`].
const EXCESS_ATTEMPTS: usize = 4;

/// A cache as one node sees it.
#[derive(Debug, Clone)]
pub struct KnownCache {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
}

/// A stub node and what it knows.
#[derive(Debug, Clone)]
pub struct StubNode {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The caches.
    pub caches: Vec<KnownCache>,
    /// The origin.
    pub origin: SocketAddr,
    /// Where it watches the endpoint list.
    pub discovery: SocketAddr,
}

impl StubNode {
    /// Serves until it is terminated.
    pub async fn run(self, fault: NodeFault, mut terminate: watch::Receiver<bool>) {
        let listener = loop {
            // The previous incarnation may hold the address for a moment yet.
            match TcpListener::bind(self.listen).await {
                Ok(listener) => break listener,
                Err(_) if *terminate.borrow() || terminate.has_changed().is_err() => return,
                Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
            }
        };
        let memory: Arc<Mutex<Memory>> = Arc::default();
        let terminated = terminate.clone();
        let watch = tokio::spawn(follow_endpoints(self.discovery, memory.clone()));
        let server = Arc::new(Server { node: self, fault, memory });
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
    memory: Arc<Mutex<Memory>>,
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
            tokio::time::sleep(Duration::from_millis(request.deadline_ms + LATE_MS)).await;
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

    /// The value that the client gets for the one that was fetched.
    fn answered_value(&self, request: &Request, fetched: Bytes) -> Bytes {
        let mut memory = lock(&self.memory);
        let previous = memory.last_value.replace(fetched.clone());
        match self.fault {
            NodeFault::OtherValue => previous.unwrap_or(fetched),
            NodeFault::StaleValue if !request.write => {
                memory.values.entry(request.key.clone()).or_insert(fetched).clone()
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
        let receipt = ask_origin(self.node.origin, request, &facts, &value).await;
        if self.fault == NodeFault::ResendsUnsafe && request.token.is_empty() {
            return ask_origin(self.node.origin, request, &facts, &value).await;
        }
        receipt
    }

    async fn read(&self, request: &Request, facts: &str, words: &[Bytes]) -> Option<Bytes> {
        let server = self.cache_for(&request.key)?;
        let mut words = words.to_vec();
        match self.fault {
            NodeFault::MixesKeys => {
                let previous = lock(&self.memory).last_key.replace(words[1].clone());
                words[1] = previous.unwrap_or_else(|| words[1].clone());
            }
            NodeFault::Invents => {
                let mut invented = words.clone();
                invented[2] = Bytes::from(format!("{}-again", request.id));
                ask_cache(server, &invented).await;
            }
            NodeFault::AsksTooOften => {
                for _ in 0..EXCESS_ATTEMPTS {
                    ask_cache(server, &words).await;
                }
            }
            NodeFault::Floods => self.flood(&words, FLOOD).await,
            NodeFault::FloodsTogether => self.flood(&words, SHARED_FLOOD).await,
            _ => {}
        }
        match ask_cache(server, &words).await {
            CacheAnswer::Value(value) => Some(value),
            // The origin has it, also where the cache was busy.
            CacheAnswer::NoValue => ask_origin(self.node.origin, request, facts, b"").await,
            CacheAnswer::Unreachable => None,
        }
    }

    /// The cache that is asked for a key: its own, or the next that is not away.
    fn cache_for(&self, key: &str) -> Option<SocketAddr> {
        let caches = &self.node.caches;
        let own = (u64::from_str_radix(key, 16).unwrap_or(0) >> 7) as usize % caches.len();
        let away = lock(&self.memory).away.clone();
        let usable =
            |cache: &&KnownCache| self.fault == NodeFault::IgnoresDrains || !away.contains(&cache.name);
        let mut order = (0..caches.len()).map(|offset| &caches[(own + offset) % caches.len()]);
        order.find(usable).map(|cache| cache.address)
    }

    /// Sends a read many times to the first cache, which has just started where this is a fault.
    async fn flood(&self, words: &[Bytes], count: usize) {
        let server = self.node.caches[0].address;
        let mut reads = JoinSet::new();
        for _ in 0..count {
            let words = words.to_vec();
            reads.spawn(async move { ask_cache(server, &words).await });
        }
        while reads.join_next().await.is_some() {}
    }
}
