//! Tests of the emulators over real sockets: their protocols, limits and injected faults.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use stonevane_codec::resp::{self, Reply};
use stonevane_emulators::cache::{Cache, CacheSpec};
use stonevane_emulators::client::{Clients, Load, LoadClass, plan};
use stonevane_emulators::discovery::{Discovery, DiscoveryFault, DiscoverySpec, Entry};
use stonevane_emulators::origin::{Origin, OriginSpec};
use stonevane_emulators::peers::{NetworkConditions, PeerNetwork};
use stonevane_emulators::{Fault, MonotonicClock, Recorder};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

const TIMEOUT: Duration = Duration::from_secs(10);

fn listen_addresses() -> Vec<(String, SocketAddr)> {
    ["n0", "n1"].map(|node| (node.to_owned(), "127.0.0.1:0".parse().unwrap())).to_vec()
}

async fn cache(spec: CacheSpec) -> Arc<Cache> {
    Cache::start(spec, &listen_addresses(), &MonotonicClock::default(), Recorder::none()).await.unwrap()
}

async fn origin(spec: OriginSpec) -> Arc<Origin> {
    Origin::start(spec, &listen_addresses(), &MonotonicClock::default(), Recorder::none()).await.unwrap()
}

struct Client {
    stream: TcpStream,
    input: BytesMut,
}

impl Client {
    async fn to(address: Option<SocketAddr>) -> Client {
        // A listener that is being reopened refuses connections for a short time.
        let connected = async {
            loop {
                if let Ok(stream) = TcpStream::connect(address.unwrap()).await {
                    return stream;
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let stream = tokio::time::timeout(TIMEOUT, connected).await.unwrap();
        Client { stream, input: BytesMut::new() }
    }

    async fn send(&mut self, words: &[&str]) {
        let words: Vec<&[u8]> = words.iter().map(|w| w.as_bytes()).collect();
        self.stream.write_all(&resp::encode_command(&words)).await.unwrap();
    }

    /// Returns the next answer; `None` at the end of the connection.
    async fn answer(&mut self) -> Option<Reply> {
        loop {
            match resp::take_reply(&mut self.input, resp::MAX_ARG_BYTES) {
                Ok(Some(value)) => return Some(value),
                Ok(None) => {}
                Err(_) => return Some(Reply::Error("malformed".into())),
            }
            let read = tokio::time::timeout(TIMEOUT, self.stream.read_buf(&mut self.input))
                .await
                .expect("answer within the time limit");
            if !matches!(read, Ok(count) if count > 0) {
                return None;
            }
        }
    }

    async fn get(&mut self, key: &str, id: &str) -> Option<Reply> {
        self.send(&["OBJ.GET", key, id, "c=read,d=1000"]).await;
        self.answer().await
    }
}

fn value(answer: Option<Reply>) -> Option<String> {
    match answer? {
        Reply::Array(items) => match &items[0] {
            Reply::Bulk(Some(value)) => Some(String::from_utf8_lossy(value).split(' ').next()?.to_owned()),
            _ => None,
        },
        other => Some(format!("{other:?}")),
    }
}

#[expect(clippy::unnecessary_wraps, reason = "compared with answers, which may be missing")]
fn busy() -> Option<Reply> {
    Some(Reply::Error(Bytes::from_static(b"BUSY")))
}

/// Sends a request to an HTTP server and returns the response.
async fn http(address: Option<SocketAddr>, request: &str) -> String {
    let mut stream = TcpStream::connect(address.unwrap()).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut text = Vec::new();
    loop {
        let response_head = stonevane_codec::http::response_head(&text).ok().flatten();
        if response_head.is_some_and(|head| text.len() >= head.length + head.content_length.unwrap_or(0)) {
            return String::from_utf8_lossy(&text).into_owned();
        }
        let read = tokio::time::timeout(TIMEOUT, stream.read_buf(&mut text))
            .await
            .expect("answer within the time limit");
        if read.unwrap_or(0) == 0 {
            return String::from_utf8_lossy(&text).into_owned();
        }
    }
}

fn fetch(key: &str, id: &str) -> String {
    format!("GET /{key} HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: {id}\r\nX-Facts: c=read\r\n\r\n")
}

fn edit(key: &str, id: &str, token: &str) -> String {
    format!(
        "PUT /{key} HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: {id}\r\nX-Facts: c=edit,k={token}\r\nContent-Length: 2\r\n\r\nvv"
    )
}

#[tokio::test]
async fn a_fetch_fills_the_cache_that_missed_and_an_edit_invalidates_its_copy() {
    let (cache, origin) = (cache(CacheSpec::default()).await, origin(OriginSpec::default()).await);
    origin.attach(std::slice::from_ref(&cache));
    let mut client = Client::to(cache.address("n0")).await;
    assert_eq!(value(client.get("k", "r1").await), None, "there is no copy of the key yet");
    assert!(http(origin.address("n0"), &fetch("k", "r1")).await.contains("k.0.r1."));
    let held = value(client.get("k", "r2").await).unwrap();
    assert!(held.starts_with("k.0.r2.s-1."), "not made for this request: {held}");
    let receipt = http(origin.address("n1"), &edit("k", "e1", "t")).await;
    assert!(receipt.contains("k.1.e1."));
    assert_eq!(value(client.get("k", "r3").await), None, "the edit has not invalidated the copy");
    // A repeat within the deduplication window gets the version of the first write, and is not applied again.
    assert!(http(origin.address("n1"), &edit("k", "e2", "t")).await.contains("k.1.e2."));
    assert!(http(origin.address("n1"), &edit("k", "e3", "u")).await.contains("k.2.e3."));
    assert_eq!((cache.counts().hits, cache.counts().misses), (1, 2));
}

#[tokio::test]
async fn a_cache_answers_in_request_order_and_handles_the_other_commands() {
    let cache = cache(CacheSpec { work_us: 30_000, ..CacheSpec::default() }).await;
    cache.preload("a", 0);
    let mut client = Client::to(cache.address("n0")).await;
    client.send(&["OBJ.GET", "a", "1", "c=read"]).await;
    client.send(&["OBJ.GET", "b", "2", "c=read"]).await;
    for command in ["PING", "CLIENT", "SELECT", "INFO", "HELLO"] {
        client.send(&[command, "x"]).await;
    }
    client.send(&["OBJ.GET", "a"]).await;
    assert!(
        value(client.answer().await).unwrap().starts_with("a.0.1."),
        "the slow hit is not answered first"
    );
    assert_eq!(value(client.answer().await), None, "the fast miss is not answered second");
    for (kind, text) in [
        ("SimpleString(", "PONG"),
        ("SimpleString(", "OK"),
        ("SimpleString(", "OK"),
        ("Error(", "NOPERM"),
        ("Error(", "ERR"),
        ("Error(", "SYNTAX"),
    ] {
        let answer = format!("{:?}", client.answer().await.unwrap());
        assert!(answer.starts_with(kind) && answer.contains(text), "{answer}");
    }
}

#[tokio::test]
async fn a_restarted_cache_has_no_copies_becomes_overloaded_in_slow_start_and_rejects_while_draining() {
    let spec = CacheSpec { cores: 1, work_us: 1_000_000, queue_us: u64::MAX / 2, ..CacheSpec::default() };
    let cache = cache(spec).await;
    cache.preload("a", 0);
    cache.restart();
    let mut client = Client::to(cache.address("n0")).await;
    // A miss takes 100 ms of work, a tenth of the work of a read. In slow start the cache is overloaded by
    // more than about 2.6 s of work in 2 s.
    for at in 0..40 {
        client.send(&["OBJ.GET", "a", &at.to_string(), "c=read"]).await;
    }
    while cache.counts().attempts < 40 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let counts = cache.counts();
    assert_eq!(counts.falls, 1);
    assert!((20..30).contains(&counts.misses) && counts.busy == 40 - counts.misses, "{counts:?}");
    cache.restart();
    cache.set_draining(true);
    let mut client = Client::to(cache.address("n0")).await;
    assert_eq!(client.get("a", "x").await, busy());
    cache.set_draining(false);
    assert_eq!(value(client.get("a", "y").await), None);
}

#[tokio::test]
async fn a_cache_rejects_attempts_above_its_queue_limit_and_connections_above_its_connection_limit() {
    let cache =
        cache(CacheSpec { cores: 1, work_us: 200_000, queue_us: 0, connections: 2, ..CacheSpec::default() })
            .await;
    cache.preload("a", 0);
    let (mut one, mut two) = (Client::to(cache.address("n0")).await, Client::to(cache.address("n1")).await);
    one.send(&["OBJ.GET", "a", "1", "c=read"]).await;
    while cache.counts().attempts < 1 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(two.get("a", "2").await, busy(), "the attempt above the queue limit was accepted");
    let mut three = Client::to(cache.address("n0")).await;
    assert_eq!(three.answer().await, None, "the third connection was accepted");
    assert!(value(one.answer().await).is_some());
}

#[tokio::test]
async fn each_fault_has_its_effect_on_the_selected_node_only() {
    let cache = cache(CacheSpec { work_us: 1_000, ..CacheSpec::default() }).await;
    cache.preload("a", 0);
    let is_correct = |value: Option<String>| value.is_some_and(|value| value.starts_with("a.0."));
    for (fault, delivers) in
        [(Fault::Reset, false), (Fault::Truncate, false), (Fault::Noise, false), (Fault::Slow, true)]
    {
        cache.set_fault(Some("n0"), fault);
        let mut client = Client::to(cache.address("n0")).await;
        assert_eq!(is_correct(value(client.get("a", "1").await)), delivers, "{fault:?}");
        let mut other = Client::to(cache.address("n1")).await;
        assert!(is_correct(value(other.get("a", "2").await)), "{fault:?} for n0 affects n1");
        cache.set_fault(None, Fault::None);
    }
    cache.set_fault(Some("n0"), Fault::Tail);
    let mut client = Client::to(cache.address("n0")).await;
    assert!(is_correct(value(client.get("a", "1").await)));
    assert_eq!(client.answer().await, Some(Reply::Bulk(Some(Bytes::from_static(b"other")))));
    cache.set_fault(Some("n0"), Fault::Stall);
    client.send(&["OBJ.GET", "a", "3", "c=read"]).await;
    let stalled = tokio::time::timeout(Duration::from_millis(100), client.answer()).await;
    assert!(stalled.is_err(), "the answer was completed or the connection closed");
    cache.set_fault(None, Fault::Dead);
    assert!(TcpStream::connect(cache.address("n0").unwrap()).await.is_err());
    cache.restart();
    let mut back = Client::to(cache.address("n0")).await;
    assert_eq!(value(back.get("a", "4").await), None, "the restarted cache has a copy");
}

#[tokio::test]
async fn a_silent_machine_neither_answers_nor_accepts_connections_until_the_fault_is_cleared() {
    let cache = cache(CacheSpec::default()).await;
    cache.preload("a", 0);
    let mut before = Client::to(cache.address("n0")).await;
    assert!(value(before.get("a", "1").await).is_some());
    cache.set_fault(Some("n0"), Fault::Silent);
    before.send(&["OBJ.GET", "a", "2", "c=read"]).await;
    assert!(
        tokio::time::timeout(Duration::from_millis(100), before.answer()).await.is_err(),
        "the machine answered"
    );
    // The first connections may still enter the accept queue; once it is full, none is established.
    let address = cache.address("n0").unwrap();
    let mut timed_out = 0;
    for _ in 0..20 {
        let connect = tokio::time::timeout(Duration::from_millis(60), TcpStream::connect(address)).await;
        timed_out += i32::from(connect.is_err());
        if timed_out >= 3 {
            break;
        }
    }
    assert!(timed_out >= 3, "new connections are established");
    cache.set_fault(Some("n0"), Fault::None);
    assert_eq!(before.answer().await, None, "the connection is not reset when the fault is cleared");
    let mut after = Client::to(Some(address)).await;
    assert!(value(after.get("a", "3").await).is_some());
}

#[tokio::test]
async fn an_origin_rejects_requests_above_its_queue_limit_and_stops_when_overloaded() {
    let spec = OriginSpec {
        slots: 1,
        read_us: 100_000,
        queue_us: 0,
        overload_window_us: 1_000_000,
        overload_stop_us: 400_000,
        ..OriginSpec::default()
    };
    let origin = origin(spec).await;
    let (address, one) = (origin.address("n0"), fetch("k", "1"));
    let first = tokio::spawn(async move { http(address, &one).await });
    while origin.counts().reads < 1 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let second = http(address, &fetch("k", "2")).await;
    assert!(second.starts_with("HTTP/1.1 503") && second.contains("X-Unprocessed: 1"), "{second}");
    assert!(first.await.unwrap().starts_with("HTTP/1.1 200"));
    // 3 s of work within 1 s exceed the limit of 2.5 times the capacity, so the origin stops.
    let mut all = tokio::task::JoinSet::new();
    for at in 0..30 {
        all.spawn(async move { http(address, &fetch("k", &at.to_string())).await });
    }
    while all.join_next().await.is_some() {}
    let counts = origin.counts();
    assert!(counts.falls >= 1 && counts.peak > 2.4, "{counts:?}");
    assert!(http(address, "BREW /k HTTP/1.1\r\n\r\n").await.starts_with("HTTP/1.1 405"));
    assert!(http(address, "GET /k HTTP/1.1\r\n\r\n").await.starts_with("HTTP/1.1 400"));
}

fn entry(name: &str) -> Entry {
    Entry {
        name: name.into(),
        addresses: [("n0".to_owned(), "127.0.0.1:9".parse().unwrap())].into(),
        zone: "a".into(),
        kind: "std".into(),
        group: 0,
        status: "active".into(),
        weight: 1.0,
        since: 0,
        index: 1,
    }
}

/// A connection that watches discovery, and the text received on it so far.
struct Watch(TcpStream, String);

impl Watch {
    async fn open(address: Option<SocketAddr>, query: &str) -> Watch {
        let mut stream = TcpStream::connect(address.unwrap()).await.unwrap();
        let request = format!("GET /v1/servers?watch=1{query} HTTP/1.1\r\nHost: d\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        Watch(stream, String::new())
    }

    /// Reads until the received text contains `text`; `false` at the end of the connection.
    async fn until(&mut self, text: &str) -> bool {
        let mut buffer = [0; 4096];
        while !self.1.contains(text) {
            let read = tokio::time::timeout(TIMEOUT, self.0.read(&mut buffer))
                .await
                .expect("answer within the time limit")
                .unwrap_or(0);
            if read == 0 {
                return false;
            }
            self.1.push_str(&String::from_utf8_lossy(&buffer[..read]));
        }
        true
    }
}

#[tokio::test]
async fn discovery_applies_changes_late_drops_watches_and_goes_down() {
    let nodes = listen_addresses();
    let entries = vec![entry("s-1"), entry("s-2")];
    let discovery =
        Discovery::start(&nodes, Recorder::none(), entries, DiscoverySpec::default()).await.unwrap();
    let snapshot = http(discovery.address("n0"), "GET /v1/servers HTTP/1.1\r\nHost: d\r\n\r\n").await;
    assert!(
        snapshot.contains(r#""snapshot":true"#) && snapshot.contains("s-1") && snapshot.contains("s-2"),
        "{snapshot}"
    );
    let mut watch = Watch::open(discovery.address("n0"), "&after=1").await;
    let started = tokio::time::Instant::now();
    discovery.change("s-1", "leaving", None, Duration::from_millis(150));
    assert!(watch.until(r#""status":"leaving""#).await);
    assert!(started.elapsed() >= Duration::from_millis(150), "the change was applied before its delay");
    assert!(
        watch.1.contains(r#""snapshot":false"#) && !watch.1.contains("s-2"),
        "not only the changed entry: {}",
        watch.1
    );
    discovery.set_fault(DiscoveryFault::Dropping);
    discovery.change("s-2", "left", None, Duration::ZERO);
    assert!(watch.until(r#""status":"left""#).await);
    assert!(!watch.until("nothing more").await, "the watch was not closed after the update");
    let snapshot = http(discovery.address("n1"), "GET /v1/servers HTTP/1.1\r\nHost: d\r\n\r\n").await;
    assert!(snapshot.contains("s-1") && !snapshot.contains("s-2"), "{snapshot}");
    discovery.set_fault(DiscoveryFault::Failing);
    assert!(
        http(discovery.address("n0"), "GET /v1/servers HTTP/1.1\r\n\r\n").await.starts_with("HTTP/1.1 503")
    );
    discovery.set_fault(DiscoveryFault::None);
    let mut open = Watch::open(discovery.address("n0"), "").await;
    assert!(open.until("snapshot").await);
    discovery.set_fault(DiscoveryFault::Down);
    assert!(!open.until("nothing more").await, "the watch was not closed");
    while TcpStream::connect(discovery.address("n0").unwrap()).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    // A change that is announced while discovery is down is applied when it is up again.
    discovery.change("s-2", "active", Some(MonotonicClock::now()), Duration::ZERO);
    discovery.set_fault(DiscoveryFault::None);
    let mut back = loop {
        if TcpStream::connect(discovery.address("n0").unwrap()).await.is_ok() {
            break Watch::open(discovery.address("n0"), "&after=3").await;
        }
    };
    assert!(back.until(r#""status":"active""#).await);
    let since: u64 =
        back.1.split(r#""since_ms":"#).nth(1).unwrap().split([',', '}']).next().unwrap().parse().unwrap();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    assert!(since.abs_diff(now) < 60_000, "not the current Unix time: {since}");
    discovery.step_clock(-3_600_000);
    let stepped = http(discovery.address("n0"), "GET /v1/servers HTTP/1.1\r\n\r\n").await;
    assert!(!stepped.contains(&format!("{since}")), "the clock of the reports has not stepped");
}

async fn network(seed: u64) -> (PeerNetwork, Vec<UdpSocket>) {
    let mut sockets = Vec::new();
    for _ in 0..3 {
        sockets.push(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    }
    let nodes: Vec<_> =
        sockets.iter().enumerate().map(|(i, s)| (format!("n{i}"), s.local_addr().unwrap())).collect();
    (PeerNetwork::start(&nodes, "127.0.0.1".parse().unwrap(), seed).await.unwrap(), sockets)
}

/// Receives datagrams until none arrives for 300 ms; returns the first byte and the sender of each.
async fn received(socket: &UdpSocket) -> Vec<(u8, SocketAddr)> {
    let (mut all, mut buffer) = (Vec::new(), [0; 512]);
    while let Ok(Ok((_, from))) =
        tokio::time::timeout(Duration::from_millis(300), socket.recv_from(&mut buffer)).await
    {
        all.push((buffer[0], from));
    }
    all
}

#[tokio::test]
async fn datagrams_are_lost_and_duplicated_alike_for_the_same_seed_and_cut_off_in_one_direction() {
    let mut runs = Vec::new();
    for seed in [5, 5, 6] {
        let (net, sockets) = network(seed).await;
        let (min_delay, max_delay) = (Duration::from_millis(1), Duration::from_millis(80));
        net.apply(NetworkConditions {
            loss: 0.4,
            duplicate: 0.2,
            min_delay,
            max_delay,
            ..NetworkConditions::default()
        });
        for number in 0..100u8 {
            sockets[0].send_to(&[number], net.peers(0)[1]).await.unwrap();
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let datagrams = received(&sockets[1]).await;
        assert!(
            datagrams.iter().all(|(_, from)| *from == net.peers(1)[0]),
            "a datagram came from an address at which the receiver does not reach the sender"
        );
        let counts = net.counts();
        assert!((20..60).contains(&counts.lost) && counts.duplicated > 5, "{counts:?}");
        assert!(datagrams.windows(2).any(|pair| pair[0].0 > pair[1].0), "no datagram was reordered");
        let mut numbers: Vec<_> = datagrams.iter().map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        runs.push(numbers);
    }
    assert_eq!(runs[0], runs[1]);
    assert_ne!(runs[0], runs[2]);
    let (net, sockets) = network(1).await;
    let cut = NetworkConditions {
        from: vec!["n0".into()],
        to: vec!["n2".into()],
        loss: 1.0,
        ..NetworkConditions::default()
    };
    let cut = net.apply(cut);
    sockets[2].send_to(&[6], net.peers(2)[0]).await.unwrap();
    assert_eq!(received(&sockets[0]).await.len(), 1, "the reverse direction is cut too");
    sockets[0].send_to(&[7], net.broadcast()).await.unwrap();
    sockets[0].send_to(&[0; 300], net.peers(0)[1]).await.unwrap();
    assert_eq!(
        received(&sockets[1]).await.len(),
        1,
        "not exactly the datagram of up to 256 bytes arrived on the open path"
    );
    assert!(received(&sockets[2]).await.is_empty(), "a datagram passed the cut path");
    net.lift(cut);
    sockets[0].send_to(&[8], net.broadcast()).await.unwrap();
    assert_eq!(received(&sockets[2]).await.len(), 1, "the path is still cut");
    assert_eq!(net.counts().too_long, 1);
}

/// Sends edits of `value_len` bytes to a node that resets each connection after a few bytes; returns the
/// clients' history lines.
async fn history_of_reset_edits(value_len: usize) -> Vec<String> {
    let node = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let targets = [("n0".to_owned(), node.local_addr().unwrap())];
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = node.accept().await {
            let _ = stream.read_exact(&mut [0; 4]).await;
            let _ = stream.set_zero_linger();
        }
    });
    let class = LoadClass {
        name: "zone-edit".into(),
        share: 1.0,
        deadline_ms: 500,
        write: true,
        idempotent: true,
        retries_failures: true,
        value_len,
    };
    let load =
        Load { requests_per_s: 8.0, duration_ms: 500, classes: vec![class], retries: 0, ..Load::default() };
    let path = std::env::temp_dir().join(format!("stonevane-reset-{}-{value_len}", std::process::id()));
    let (recorder, writer) = Recorder::to(std::fs::File::create(&path).unwrap());
    let clock = MonotonicClock::default();
    let heartbeat = tokio::spawn(clock.clone().run_heartbeat());
    let planned = plan(&load, 1, 3);
    assert!(!planned.is_empty());
    let clients = Clients::new(&targets, load, 3, &clock, recorder);
    clients.run_planned(planned, MonotonicClock::now()).await;
    heartbeat.abort();
    drop(clients);
    tokio::task::spawn_blocking(move || writer.finish()).await.unwrap().unwrap();
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    text.lines().map(str::to_owned).collect()
}

#[tokio::test]
async fn a_request_is_recorded_as_sent_only_if_its_last_byte_was_written() {
    // A value larger than the socket buffers: its last byte is never written, so no answer is owed and no
    // request may be recorded.
    let incomplete = history_of_reset_edits(16 << 20).await;
    assert!(!incomplete.iter().any(|line| line.contains(r#""event":"ask""#)), "{incomplete:?}");
    // A request that was written completely and then reset must be recorded as sent and as closed.
    let complete = history_of_reset_edits(10).await;
    let count =
        |event: &str| complete.iter().filter(|line| line.contains(&format!(r#""event":"{event}""#))).count();
    assert!(count("ask") > 0 && count("closed") == count("ask"), "{complete:?}");
}
