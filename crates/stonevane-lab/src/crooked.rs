//! Little nodes: an honest one, and one for each way of breaking a rule. They exist so that the auditor can be
//! seen to catch, over real sockets, what it must, and nothing else.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use stonevane_codec::{http, resp};
use stonevane_emulators::lock;
use stonevane_emulators::request::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A way of breaking a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Crime {
    /// None.
    Honest,
    /// Rule 1: answers twice.
    AnswersTwice,
    /// Rule 1: answers late.
    AnswersLate,
    /// Rule 1: gives the value of another request.
    OtherValue,
    /// Rule 1: keeps values, and gives one that an edit has made old.
    StaleValue,
    /// Rule 1: drops what it holds at SIGTERM.
    LosesAtTerm,
    /// Rule 2: sends an unsafe write again.
    ResendsUnsafe,
    /// Rule 3: goes on sending to a server that drains.
    IgnoresDrains,
    /// Rule 4: floods a cold server alone.
    Floods,
    /// Rule 4: sends a cold server what is too much only together with another node.
    FloodsTogether,
    /// Ties: sends a read with the key of the one before.
    MixesKeys,
    /// Ties: sends what nobody asked for.
    Invents,
    /// Ties: sends an edit as another class.
    OtherClass,
    /// Ties: writes another value than the client's.
    OtherBody,
    /// Limits: asks again and again.
    AsksTooOften,
}

impl Crime {
    /// All of them, by name.
    pub const NAMES: [(&'static str, Crime); 15] = [
        ("honest", Crime::Honest),
        ("answers-twice", Crime::AnswersTwice),
        ("answers-late", Crime::AnswersLate),
        ("other-value", Crime::OtherValue),
        ("stale-value", Crime::StaleValue),
        ("loses-at-term", Crime::LosesAtTerm),
        ("resends-unsafe", Crime::ResendsUnsafe),
        ("ignores-drains", Crime::IgnoresDrains),
        ("floods", Crime::Floods),
        ("floods-together", Crime::FloodsTogether),
        ("mixes-keys", Crime::MixesKeys),
        ("invents", Crime::Invents),
        ("other-class", Crime::OtherClass),
        ("other-body", Crime::OtherBody),
        ("asks-too-often", Crime::AsksTooOften),
    ];
}

/// What a little node knows.
#[derive(Debug, Clone)]
pub struct Little {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The caches and the origin, as it sees them.
    pub caches: Vec<(String, SocketAddr)>,
    pub origin: SocketAddr,
    /// Where it watches the list.
    pub discovery: SocketAddr,
}

#[derive(Default)]
struct Shared {
    /// Servers that drain or are gone.
    away: Vec<String>,
    /// The last value given, and values by key.
    last: Option<Bytes>,
    kept: std::collections::HashMap<String, Bytes>,
    /// The last key that was read.
    key: Option<Bytes>,
}

type Memory = Arc<Mutex<Shared>>;

impl Little {
    /// Serves until it is told to end.
    pub async fn run(self, listen: SocketAddr, crime: Crime, mut end: watch::Receiver<bool>) {
        let listener = loop {
            // The life before may hold the address for a moment yet.
            match TcpListener::bind(listen).await {
                Ok(listener) => break listener,
                Err(_) if *end.borrow() || end.has_changed().is_err() => return,
                Err(_) => tokio::time::sleep(Duration::from_millis(2)).await,
            }
        };
        let memory = Memory::default();
        let own = Arc::new(self);
        let ending = end.clone();
        let watch = tokio::spawn(follow(own.clone(), memory.clone()));
        loop {
            tokio::select! {
                _ = end.wait_for(|end| *end) => break,
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let (own, memory, mut end) = (own.clone(), memory.clone(), ending.clone());
                    tokio::spawn(async move {
                        let serving = own.connection(stream, crime, &memory);
                        if crime == Crime::LosesAtTerm {
                            tokio::select! { _ = end.wait_for(|end| *end) => {}, _ = serving => {} }
                        } else {
                            let _ = serving.await;
                        }
                    });
                }
            }
        }
        watch.abort();
    }

    async fn connection(&self, mut client: TcpStream, crime: Crime, memory: &Memory) -> std::io::Result<()> {
        client.set_nodelay(true)?;
        let mut input = BytesMut::new();
        loop {
            while let Ok(Some(words)) = resp::take_command(&mut input) {
                let Some(request) = Request::from_command(&words) else {
                    client.write_all(b"+PONG\r\n").await?;
                    continue;
                };
                let wait = Duration::from_millis(request.deadline_ms.saturating_sub(20));
                let made = tokio::time::timeout(wait, self.fetch(&request, &words, crime, memory)).await;
                let mut value = made.ok().flatten();
                if let Some(made) = value.clone() {
                    let mut memory = lock(memory);
                    let key = request.key.clone();
                    match crime {
                        Crime::OtherValue if memory.last.is_some() => value = memory.last.clone(),
                        Crime::StaleValue if !request.write => {
                            value = Some(memory.kept.entry(key).or_insert(made.clone()).clone());
                        }
                        _ => {}
                    }
                    memory.last = Some(made);
                }
                if crime == Crime::AnswersLate {
                    tokio::time::sleep(Duration::from_millis(request.deadline_ms + 120)).await;
                }
                let mut answer = BytesMut::new();
                match value {
                    Some(value) => resp::put_bulk(&mut answer, &value),
                    None => answer.extend_from_slice(b"-ERR failed\r\n"),
                }
                if crime == Crime::AnswersTwice {
                    answer.extend_from_slice(b"-ERR failed\r\n");
                }
                client.write_all(&answer).await?;
            }
            if client.read_buf(&mut input).await? == 0 {
                return Ok(());
            }
        }
    }

    async fn fetch(
        &self,
        request: &Request,
        words: &[Bytes],
        crime: Crime,
        memory: &Memory,
    ) -> Option<Bytes> {
        let mut facts = String::from_utf8_lossy(&words[3]).into_owned();
        let mut words = words.to_vec();
        if request.write {
            match crime {
                Crime::OtherClass => facts = facts.replace("zone-edit", "zone-lookup"),
                Crime::OtherBody => words[4] = Bytes::from_static(b"another"),
                _ => {}
            }
            let made = self.ask_origin(request, &facts, words.get(4)).await;
            if crime == Crime::ResendsUnsafe && request.token.is_empty() {
                return self.ask_origin(request, &facts, words.get(4)).await;
            }
            return made;
        }
        let at = (u64::from_str_radix(&request.key, 16).unwrap_or(0) >> 7) as usize % self.caches.len();
        let away = lock(memory).away.clone();
        let usable =
            |(name, _): &&(String, SocketAddr)| crime == Crime::IgnoresDrains || !away.contains(name);
        let order = (0..self.caches.len()).map(|by| &self.caches[(at + by) % self.caches.len()]);
        let (_, server) = order.clone().find(usable)?;
        let copies = match crime {
            Crime::Floods => 80,
            Crime::FloodsTogether => 20,
            _ => 0,
        };
        match crime {
            Crime::MixesKeys => {
                let before = lock(memory).key.replace(words[1].clone());
                words[1] = before.unwrap_or_else(|| words[1].clone());
            }
            Crime::Invents => {
                let mut made_up = words.clone();
                made_up[2] = Bytes::from(format!("{}-again", request.id));
                ask_cache(*server, &made_up).await;
            }
            Crime::AsksTooOften => {
                for _ in 0..4 {
                    ask_cache(*server, &words).await;
                }
            }
            _ => {}
        }
        // All that it can't do itself, and more, to the server that has just started.
        let mut flood = tokio::task::JoinSet::new();
        for _ in 0..copies {
            let (words, server) = (words.clone(), self.caches[0].1);
            flood.spawn(async move { ask_cache(server, &words).await });
        }
        while flood.join_next().await.is_some() {}
        match ask_cache(*server, &words).await {
            Some(Some(value)) => Some(value),
            // A miss; or turned away, and the origin has it too.
            Some(None) => self.ask_origin(request, &facts, None).await,
            None => None,
        }
    }

    async fn ask_origin(&self, request: &Request, facts: &str, body: Option<&Bytes>) -> Option<Bytes> {
        let mut stream = TcpStream::connect(self.origin).await.ok()?;
        let body: &[u8] = body.map_or(b"", |body| body);
        let method = if request.write { "PUT" } else { "GET" };
        let head = format!(
            "{method} /{} HTTP/1.1\r\nHost: origin\r\nX-Correlation-Id: {}\r\nX-Facts: {facts}\r\nContent-Length: {}\r\n\r\n",
            request.key,
            request.id,
            body.len()
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.write_all(body).await.ok()?;
        let mut buffer = BytesMut::new();
        loop {
            if let Some(head) = http::head(&buffer).ok()? {
                let length = head.content_length?;
                if buffer.len() >= head.length + length {
                    let _ = buffer.split_to(head.length);
                    return (head.status == 200).then(|| buffer.split_to(length).freeze());
                }
            }
            if stream.read_buf(&mut buffer).await.ok()? == 0 {
                return None;
            }
        }
    }
}

/// What a cache holds: `None` where it can't be asked, `Some(None)` where it holds nothing.
async fn ask_cache(server: SocketAddr, words: &[Bytes]) -> Option<Option<Bytes>> {
    let mut stream = TcpStream::connect(server).await.ok()?;
    let words: Vec<&[u8]> = words.iter().map(Bytes::as_ref).collect();
    stream.write_all(&resp::command(&words)).await.ok()?;
    let mut buffer = BytesMut::new();
    loop {
        match resp::take_value(&mut buffer, resp::MAX_VALUE).ok()? {
            Some(resp::Value::Array(items)) => match items.into_iter().next() {
                Some(resp::Value::Bulk(value)) => return Some(value),
                _ => return None,
            },
            Some(_) => return Some(None),
            None => {}
        }
        if stream.read_buf(&mut buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// Watches the list, and notes who is away.
async fn follow(own: Arc<Little>, memory: Memory) -> std::io::Result<()> {
    loop {
        let mut stream = TcpStream::connect(own.discovery).await?;
        stream.write_all(b"GET /v1/servers?watch=1 HTTP/1.1\r\nHost: d\r\n\r\n").await?;
        let mut text = BytesMut::new();
        while stream.read_buf(&mut text).await? > 0 {
            while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
                let line = text.split_to(end + 1);
                let Ok(list) = serde_json::from_slice::<serde_json::Value>(&line) else { continue };
                let mut memory = lock(&memory);
                for entry in list["endpoints"].as_array().into_iter().flatten() {
                    let name = entry["name"].as_str().unwrap_or("").to_owned();
                    memory.away.retain(|other| *other != name);
                    if entry["status"] != "active" {
                        memory.away.push(name);
                    }
                }
            }
        }
    }
}
