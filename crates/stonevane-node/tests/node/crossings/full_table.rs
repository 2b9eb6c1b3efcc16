//! A crowd of idle clients fills the table of descriptors; an idle connection ends as it is used.

use super::*;

/// What one of a crowd says before it stays. Not half a command: who stands in the middle of one keeps its place for a
/// second, and so many that come again at once have newcomers refused (`tests/crowd.rs` of the core).
#[derive(Clone, Copy, Debug)]
enum Says {
    Nothing,
    Ping,
}

/// Clients that hold all the places that they can get, and come again for as long as it exists.
struct Crowd {
    stop: Arc<AtomicBool>,
    /// Those that were closed and came again.
    again: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    fn new(address: SocketAddr, size: usize, says: Says) -> Crowd {
        let (stop, again) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let (stops, came) = (stop.clone(), again.clone());
        let come = move || {
            let mut client = Client::connect(address);
            let words = match says {
                Says::Nothing => Vec::new(),
                Says::Ping => command(&["PING"]),
            };
            // It may have been shut unread.
            let _ = client.out.write_all(&words);
            client
        };
        let crowds = move || {
            let mut all: Vec<_> = (0..size).map(|_| come()).collect();
            while !stops.load(Ordering::Relaxed) {
                for client in &mut all {
                    // An answer to what it said is no end.
                    if client.has_ended() {
                        *client = come();
                        came.fetch_add(1, Ordering::Relaxed);
                    }
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        };
        Crowd { stop, again, thread: Some(std::thread::spawn(crowds)) }
    }

    /// Waits until many have had to give their places up.
    fn fills(&self) {
        let end = Instant::now() + LONG;
        while self.again.load(Ordering::Relaxed) < 40 {
            assert!(Instant::now() < end, "nobody has had to go");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

#[test]
fn while_idle_clients_fill_the_table_discovery_servers_and_honest_clients_get_their_places() {
    for says in [Says::Nothing, Says::Ping] {
        for silent in [false, true] {
            let (cache, origin, agent) = (cache(|_| Act::Say(hit("again"))), no_origin(), Agent::new());
            // The server that it knows is gone.
            let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
            // As many descriptors as it is told that it may hold, and no more.
            let before = "ulimit -n 64;";
            // Who says nothing for longer than a connection takes to open may have to go.
            let settings =
                settings().replace(r#""connectTimeoutUs":2000000"#, r#""connectTimeoutUs":250000"#);
            let known = pair(gone, origin.address);
            let node = Node::start_in(agent.address, &known, 64, before, &settings);
            let crowd = Crowd::new(node.address, 80, says);
            let down = Instant::now();
            let mut held = Vec::new();
            crowd.fills();
            // Down for longer than what was open before the crowd came can last.
            while down.elapsed() < Duration::from_millis(1_500) {
                if let Ok((_, call)) = agent.calls.recv_timeout(Duration::from_millis(10)) {
                    held.extend(Some(call).filter(|_| silent));
                }
            }
            // It is back; what it was asked while it was silent is never answered.
            while agent.calls.try_recv().is_ok() {}
            let servers = [
                entry("s-1", cache.address, "std", "active"),
                entry("o-1", origin.address, "origin", "active"),
            ];
            let _watch = agent.answer(&[listing(6, true, &servers)]);
            let (end, mut served) = (Instant::now() + LONG, 0);
            while served < 3 {
                assert!(Instant::now() < end, "{says:?}, silent: {silent}: {served} honest clients served");
                let mut client = node.client();
                let _ = client.out.write_all(&get("aa", &format!("{served}")));
                served += usize::from(client.answer().as_deref() == Some("again"));
            }
        }
    }
}

#[test]
fn a_kept_connection_that_ends_as_the_next_command_is_written_costs_no_request_of_any_class() {
    for sent_first in [false, true] {
        let (closes, ends) = (Latch::default(), Latch::default());
        let (at_cache, at_origin) = (closes.clone(), ends.clone());
        let cache = cache(move |words| Act::SayThenClose(at_cache.clone(), hit(&words[1])));
        let origin = origin(move |_| Act::SayThenClose(at_origin.clone(), http(200, "", "ok")));
        let (discovery, _say, _calls) = quiet();
        let node = Node::start(discovery, &pair(cache.address, origin.address));
        let mut client = node.client();
        assert_eq!(client.ask(&get("aa", "1")).unwrap(), "aa");
        assert_eq!(client.ask(&put("aa", "2", "v")).unwrap(), "ok");
        // Connections rest for 15 ms before they are used again; nothing tells from outside that they have.
        std::thread::sleep(Duration::from_millis(50));
        node.stop();
        let requests = [get("bb", "3"), put("bb", "4", "v")].concat();
        if sent_first {
            client.send(&requests);
        }
        closes.open();
        ends.open();
        cache.ended();
        origin.ended();
        if !sent_first {
            client.send(&requests);
        }
        node.kill("CONT");
        assert_eq!(client.answer().unwrap(), "bb");
        assert_eq!(
            client.answer().unwrap(),
            "ok",
            "it can't have run, so that it is sent on a fresh connection"
        );
    }
}
