//! Races in a full descriptor table: idle clients fill it, or a kept connection ends while it is being used.

use super::*;

/// Bytes that an idle client sends first. Half a command is not a variant: it protects the connection from
/// eviction for a second, and with so many clients reconnecting at once the node rejects new clients
/// (`tests/crowd.rs` of the core).
#[derive(Clone, Copy, Debug)]
enum FirstBytes {
    Nothing,
    Ping,
}

/// Clients that hold all the connections that they can get, and reconnect when evicted, until the value is
/// dropped.
struct IdleClients {
    stop: Arc<AtomicBool>,
    /// Number of reconnects after an eviction.
    reconnects: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl IdleClients {
    fn new(address: SocketAddr, size: usize, first_bytes: FirstBytes) -> IdleClients {
        let (stop, reconnects) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let (stopped, counter) = (stop.clone(), reconnects.clone());
        let connect = move || {
            let mut client = Client::connect(address);
            let bytes = match first_bytes {
                FirstBytes::Nothing => Vec::new(),
                FirstBytes::Ping => command(&["PING"]),
            };
            // The node may have closed the connection already.
            let _ = client.out.write_all(&bytes);
            client
        };
        let run = move || {
            let mut clients: Vec<_> = (0..size).map(|_| connect()).collect();
            while !stopped.load(Ordering::Relaxed) {
                for client in &mut clients {
                    // Responses are discarded; only a close counts.
                    if client.is_closed() {
                        *client = connect();
                        counter.fetch_add(1, Ordering::Relaxed);
                    }
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        };
        IdleClients { stop, reconnects, thread: Some(std::thread::spawn(run)) }
    }

    /// Waits until 40 clients have been evicted.
    fn wait_for_evictions(&self) {
        let end = Instant::now() + TEST_TIMEOUT;
        while self.reconnects.load(Ordering::Relaxed) < 40 {
            assert!(Instant::now() < end, "too few clients were evicted");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

#[test]
fn while_idle_clients_fill_the_table_discovery_servers_and_active_clients_get_connections() {
    for first_bytes in [FirstBytes::Nothing, FirstBytes::Ping] {
        for silent in [false, true] {
            let (cache, origin, discovery) =
                (cache(|_| Action::Respond(hit("again"))), failing_origin(), ManualDiscovery::new());
            // The server of the known list no longer listens.
            let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
            // Exactly as many descriptors as the configuration allows.
            let shell_prefix = "ulimit -n 64;";
            // A connection that is silent for longer than this limit may be evicted.
            let settings =
                settings().replace(r#""connectTimeoutUs":2000000"#, r#""connectTimeoutUs":250000"#);
            let known = cache_and_origin(gone, origin.address);
            let node = Node::start_with_settings(discovery.address, &known, 64, shell_prefix, &settings);
            let idle_clients = IdleClients::new(node.address, 80, first_bytes);
            let down = Instant::now();
            let mut held = Vec::new();
            idle_clients.wait_for_evictions();
            // Discovery is down for longer than connections from before the idle clients can last.
            while down.elapsed() < Duration::from_millis(1_500) {
                if let Ok((_, call)) = discovery.calls.recv_timeout(Duration::from_millis(10)) {
                    held.extend(Some(call).filter(|_| silent));
                }
            }
            // Discovery is back. Calls that the node made while discovery was silent are never answered.
            while discovery.calls.try_recv().is_ok() {}
            let servers = [
                entry("s-1", cache.address, "std", "active"),
                entry("o-1", origin.address, "origin", "active"),
            ];
            let _watch = discovery.open_watch(&[server_list(6, true, &servers)]);
            let (end, mut served) = (Instant::now() + TEST_TIMEOUT, 0);
            while served < 3 {
                assert!(
                    Instant::now() < end,
                    "{first_bytes:?}, silent: {silent}: {served} active clients served"
                );
                let mut client = node.client();
                let _ = client.out.write_all(&get("aa", &format!("{served}")));
                served += usize::from(client.read_response().as_deref() == Some("again"));
            }
        }
    }
}

#[test]
fn a_kept_connection_that_ends_as_the_next_command_is_written_fails_no_request_of_any_class() {
    for sent_first in [false, true] {
        let (cache_latch, origin_latch) = (Latch::default(), Latch::default());
        let (at_cache, at_origin) = (cache_latch.clone(), origin_latch.clone());
        let cache = cache(move |words| Action::RespondThenClose(at_cache.clone(), hit(&words[1])));
        let origin =
            origin(move |_| Action::RespondThenClose(at_origin.clone(), http_response(200, "", "ok")));
        let (discovery, _updates, _calls) = quiet_discovery();
        let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
        let mut client = node.client();
        assert_eq!(client.request(&get("aa", "1")).unwrap(), "aa");
        assert_eq!(client.request(&put("aa", "2", "v")).unwrap(), "ok");
        // The node reuses a connection only 15 ms after the response, which can't be observed from outside.
        std::thread::sleep(Duration::from_millis(50));
        node.pause();
        let requests = [get("bb", "3"), put("bb", "4", "v")].concat();
        if sent_first {
            client.send(&requests);
        }
        cache_latch.open();
        origin_latch.open();
        cache.wait_for_closed_connection();
        origin.wait_for_closed_connection();
        if !sent_first {
            client.send(&requests);
        }
        node.send_signal("CONT");
        assert_eq!(client.read_response().unwrap(), "bb");
        assert_eq!(
            client.read_response().unwrap(),
            "ok",
            "the write can't have run, so it is sent again over a new connection"
        );
    }
}
