//! Daily service: the second address, its figures, servers out by hand, new settings.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::harness::*;
use crate::{no_origin, pair, quiet};

/// Two caches and an origin.
fn trio(caches: [&EmulatedServer; 2], origin: &EmulatedServer) -> String {
    let entries = [
        entry("s-1", caches[0].address, "std", "active"),
        entry("s-2", caches[1].address, "std", "active"),
        entry("o-1", origin.address, "origin", "active"),
    ];
    listing(5, true, &entries)
}

#[test]
fn the_second_address_answers_beside_callers_that_hold_all_its_places() {
    let cache = cache(|words| Act::Say(hit(&words[1])));
    let (origin, (discovery, _say, _calls)) = (no_origin(), quiet());
    let node = Node::start_managed(discovery, &pair(cache.address, origin.address), &folder());
    assert_eq!(node.call("GET", "/ready").0, 200);
    let mgmt = node.mgmt.unwrap();
    let mut held: Vec<_> = (0..40).map(|_| TcpStream::connect(mgmt).unwrap()).collect();
    held.iter_mut().step_by(2).for_each(|stream| drop(stream.write_all(b"GET /rea")));
    let began = Instant::now();
    for _ in 0..20 {
        assert_eq!(node.call("GET", "/ready").0, 200);
    }
    assert!(began.elapsed() < Duration::from_secs(1), "{:?} for 20 calls", began.elapsed());
    // A call in pieces, cut anywhere, is one call.
    let mut stream = TcpStream::connect(mgmt).unwrap();
    stream.set_nodelay(true).unwrap();
    for byte in b"PUT /cache-servers/disable/nobody HTTP/1.1\r\n\r\n" {
        stream.write_all(&[*byte]).unwrap();
    }
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 404 "), "{text}");
    assert_eq!(node.call("POST", "/ready").0, 405);
    assert_eq!(node.call("GET", "/nothing").0, 404);
    assert_eq!(node.call_with(b"\x00\x01\r\n\r\n").0, 400);
    assert_eq!(node.call("GET", &"/x".repeat(4000)).0, 414);
    let pipelined = b"GET /ready HTTP/1.1\r\n\r\nPUT /cache-servers/disable/s-1 HTTP/1.1\r\n\r\n";
    assert_eq!(node.call_with(pipelined).0, 200);
    assert_eq!(node.figure("cache_servers_excluded"), 0, "one call to a connection");
}

#[test]
fn the_figures_tell_what_clients_were_told_and_what_servers_were_sent() {
    let (go, wait) = channel();
    let wait = Arc::new(Mutex::new(Some(wait)));
    let cache = cache(move |words| match words[1].as_str() {
        "ee" => Act::SayAfter(wait.lock().unwrap().take().unwrap(), hit("slow")),
        "bb" => Act::Say(miss()),
        key => Act::Say(hit(key)),
    });
    let origin =
        origin(|words| Act::Say(http(if words[0].starts_with("PUT") { 500 } else { 200 }, "", "made")));
    let (discovery, _say, _calls) = quiet();
    let mut node = Node::start_managed(discovery, &pair(cache.address, origin.address), &folder());
    assert_eq!(
        (node.figure("served.read"), node.figure("failed.put")),
        (0, 0),
        "classes never used stand there"
    );
    let mut client = node.client();
    assert_eq!(client.ask(&get("aa", "1")).unwrap(), "aa");
    assert_eq!(client.ask(&get("bb", "2")).unwrap(), "made");
    assert!(client.ask(&put("cc", "3", "new")).unwrap().starts_with("-ERR"));
    client.send(&get("ee", "4"));
    assert_eq!(cache.next().words[1], "aa");
    while cache.next().words[1] != "ee" {}
    node.until("in_flight", 1);
    go.send(()).unwrap();
    assert_eq!(client.answer().unwrap(), "slow");
    node.until("in_flight", 0);
    let told = ["served.read", "refused.read", "failed.read", "served.put", "refused.put", "failed.put"];
    assert_eq!(told.map(|name| node.figure(name)), [3, 0, 0, 0, 0, 1]);
    assert_eq!(node.figure("attempts"), 5, "three at the cache, a fetch and a write at the origin");
    assert_eq!(node.figure("cache_servers_known"), 1);
    // Once it drains it takes no clients, and says so.
    let mut held = node.client();
    held.send(b"*4\r\n");
    node.terminate();
    let end = Instant::now() + LONG;
    while node.call("GET", "/ready").0 != 503 {
        assert!(Instant::now() < end);
    }
    drop((client, held));
    assert_eq!(node.wait().code(), Some(0));
}

#[test]
fn a_cache_server_that_is_out_gets_nothing_whatever_lists_say_until_it_is_put_back() {
    let caches = [cache(|_| Act::Say(hit("one"))), cache(|_| Act::Say(hit("two")))];
    let (origin, (discovery, say, _calls)) = (no_origin(), quiet());
    let (known, kept) = (trio([&caches[0], &caches[1]], &origin), folder());
    let node = Node::start_managed(discovery, &known, &kept);
    let served = |node: &Node, from: u32| {
        let mut client = node.client();
        let mut all: Vec<_> =
            (from..from + 40).map(|i| client.ask(&get(&format!("k{i}"), &format!("{i}"))).unwrap()).collect();
        all.sort();
        all.dedup();
        all
    };
    assert_eq!(served(&node, 0), ["one", "two"]);
    assert_eq!(node.call("PUT", "/cache-servers/disable/nobody").0, 404);
    assert_eq!(node.call("PUT", "/cache-servers/disable/o-1").0, 404, "the origin is no cache server");
    assert_eq!(node.call("PUT", "/cache-servers/disable/s-1").0, 200);
    assert_eq!(node.call("PUT", "/cache-servers/disable/s-1").0, 200);
    assert_eq!(served(&node, 100), ["two"]);
    assert_eq!(node.figure("cache_servers_excluded"), 1);
    // It leaves the list, where it can be put back all the same, and comes again.
    let left = [entry("s-1", caches[0].address, "std", "left")];
    say.send(chunk(&listing(6, false, &left))).unwrap();
    node.until("cache_servers_known", 1);
    assert_eq!(node.call("PUT", "/cache-servers/disable/s-1").0, 200);
    let active = [entry("s-1", caches[0].address, "std", "active")];
    say.send(chunk(&listing(7, false, &active))).unwrap();
    node.until("cache_servers_known", 2);
    assert_eq!(served(&node, 200), ["two"]);
    // Nor does new settings' coming, or another process of the node, bring it back.
    node.reload(Err(&node.text));
    node.until("reloads_ok", 1);
    assert_eq!(served(&node, 300), ["two"]);
    drop(node);
    let node = Node::start_managed(discovery, &known, &kept);
    assert_eq!(served(&node, 400), ["two"]);
    assert_eq!(node.call("PUT", "/cache-servers/enable/s-1").0, 200);
    assert_eq!(served(&node, 500), ["one", "two"], "one call back undoes both");
    assert_eq!(node.figure("cache_servers_excluded"), 0);
    drop(node);
    let node = Node::start_managed(discovery, &known, &kept);
    assert_eq!(served(&node, 600), ["one", "two"]);
    // All out: nobody is kept waiting.
    for name in ["s-1", "s-2"] {
        assert_eq!(node.call("PUT", &format!("/cache-servers/disable/{name}")).0, 200);
    }
    assert!(node.client().ask(&get("k1", "1")).unwrap().starts_with("-BUSY"));
}

#[test]
fn new_settings_are_taken_whole_or_not_at_all() {
    let cache = cache(|words| Act::Say(hit(&words[1])));
    let (origin, (discovery, _say, _calls)) = (no_origin(), quiet());
    let node = Node::start_managed(discovery, &pair(cache.address, origin.address), &folder());
    let ask = |class: &str| {
        let facts = format!("c={class},t=acme,d=8000");
        node.client().ask(&command(&["OBJ.GET", "aa", "1", &facts])).unwrap()
    };
    let text = node.text.clone();
    let broken = [
        String::new(),
        text[..text.len() / 2].into(),
        text.replace(r#""deadlineUs":8000000"#, r#""deadlineUs":0"#),
        text.replace(r#""deadlineUs":8000000"#, r#""deadlineUs":-5"#),
        text.replace(r#""deadlineUs":8000000"#, r#""deadlineUs":"soon""#),
        text.replacen(r#""deadlineUs":8000000,"#, "", 1),
        text.replace(r#""maxAttempts":4"#, r#""maxAttempts":0"#),
        text.replace(r#""maxAttempts":4"#, r#""maxAttempts":-1"#),
        text.replace(r#""maxAttempts":4,"#, ""),
        text.replace(r#""name":"put","#, r#""name":"read","#),
        text.replace(r#""guarantees""#, r#""other""#),
    ];
    for (number, broken) in broken.iter().enumerate() {
        node.reload(Err(&broken.replace(r#""name":"put""#, r#""name":"new""#)));
        node.until("reloads_failed", number as u64 + 1);
        assert!(ask("new").starts_with("-ERR"), "nothing is taken of {broken}");
        assert_eq!(ask("read"), "aa");
    }
    node.reload(Err(&text.replace(r#""name":"put""#, r#""name":"new""#)));
    node.until("reloads_ok", 1);
    assert_eq!((ask("new").as_str(), ask("read").as_str()), ("aa", "aa"));
    assert_eq!(node.figure("served.new"), 1);
    // A dropped class is known for as long as clients may still name it, and then no more; its count stays.
    assert!(!ask("put").starts_with("-ERR unknown"));
    let end = Instant::now() + LONG;
    while !ask("put").starts_with("-ERR unknown") {
        assert!(Instant::now() < end, "a dropped class is still taken");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(node.figure("served.put") > 0);
    node.reload(Err(&text));
    node.until("reloads_ok", 2);
    assert_eq!(ask("put"), "aa");
}

#[test]
fn a_fleet_that_can_not_be_is_told_a_line_for_each_fault_and_exit_code_2() {
    let (discovery, _say, _calls) = quiet();
    let allowed = settings().replace(r#""maxAttempts":4,"#, r#""maxAttempts":4,"peers":true,"#);
    let text = config(discovery, &listing(1, true, &[]), 256, &allowed);
    let peers = r#"{"peer_listen":"nowhere","peers":["127.0.0.1:7001","127.0.0.1:70000","127.0.0.1:7001"],"#;
    let path = config_file(&text.replacen('{', peers, 1));
    let operator = std::env::temp_dir().join(format!("stonevane-membership-{}.toml", std::process::id()));
    std::fs::write(&operator, "[fleet]\n").unwrap();
    let run = std::process::Command::new(env!("CARGO_BIN_EXE_stonevane-node"))
        .arg("--operator")
        .arg(&operator)
        .env("ROUTER_CONFIG", &path)
        .output()
        .unwrap();
    std::fs::remove_file(path).unwrap();
    std::fs::remove_file(operator).unwrap();
    assert_eq!(run.status.code(), Some(2));
    let lines = String::from_utf8_lossy(&run.stderr).into_owned();
    for fault in
        ["peer_listen in the configuration: \"nowhere\"", "peers[1]", "names 127.0.0.1:7001 twice, as 0 and "]
    {
        assert!(
            lines.lines().any(|line| line.contains("[fleet]") && line.contains(fault)),
            "{fault}: {lines}"
        );
    }
}

#[test]
fn a_second_address_that_is_none_or_is_taken_is_one_line_and_exit_code_2() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for mgmt in ["nowhere".to_owned(), taken.local_addr().unwrap().to_string()] {
        let (discovery, _say, _calls) = quiet();
        let path = config_file(&config(discovery, &listing(1, true, &[]), 256, settings()));
        let run = std::process::Command::new(env!("CARGO_BIN_EXE_stonevane-node"))
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_MGMT", &mgmt)
            .output()
            .unwrap();
        assert_eq!(run.status.code(), Some(2), "{mgmt}");
        let lines = String::from_utf8_lossy(&run.stderr).into_owned();
        assert!(lines.lines().last().unwrap().contains(&mgmt), "{lines}");
        std::fs::remove_file(path).unwrap();
    }
}

/// Starts a process that takes a socket over, as the platform passes it on.
fn successor(listener: &TcpListener, discovery: SocketAddr, known: &str, folder: &Path) -> Node {
    let before = "exec 4<&0 </dev/null; ROUTER_LISTEN_FD=4";
    let socket = OwnedFd::from(listener.try_clone().unwrap());
    Node::start_managed_with(discovery, known, folder, before, |command| {
        command.stdin(Stdio::from(socket));
    })
}

/// What clients saw while a node was replaced.
#[derive(Debug, Default)]
struct Seen {
    served: usize,
    other: Vec<String>,
    /// Requests whose connection ended with no answer.
    door: usize,
}

/// Clients that ask one thing after the other until told to stop; half of them keep their connections.
fn clients(address: SocketAddr, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<Seen>> {
    let client = |number: usize| {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let mut seen = Seen::default();
            let mut conn: Option<Client> = None;
            for request in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let mut client = conn.take().unwrap_or_else(|| Client::connect(address));
                let id = format!("{number}-{request}");
                client.send(&get(&format!("k{}", (number * 31 + request) % 97), &id));
                match client.answer() {
                    None => seen.door += 1,
                    Some(answer) if answer == "value" => seen.served += 1,
                    Some(answer) => seen.other.push(answer),
                }
                // Within the tenant's quota.
                std::thread::sleep(Duration::from_millis(30 + number as u64 % 7));
                // One that has been closed is not written to: its client has learned of it with its answer.
                conn = Some(client).filter(|client| number.is_multiple_of(2) && client.stands());
            }
            seen
        })
    };
    (0..24).map(client).collect()
}

#[test]
fn a_process_is_replaced_twice_under_load_and_no_request_ends_at_the_door() {
    let caches = [cache(|_| Act::Say(hit("value"))), cache(|_| Act::Say(hit("value")))];
    let (origin, (discovery, _say, _calls)) = (no_origin(), quiet());
    let (known, kept) = (trio([&caches[0], &caches[1]], &origin), folder());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut old = successor(&listener, discovery, &known, &kept);
    let stop = Arc::new(AtomicBool::new(false));
    let clients = clients(address, &stop);
    for _ in 0..2 {
        old.until_some("served.read");
        // Out by hand at one of them: the other knows within a second.
        let name = "s-1";
        assert_eq!(old.call("PUT", &format!("/cache-servers/disable/{name}")).0, 200);
        let new = successor(&listener, discovery, &known, &kept);
        assert_eq!(new.figure("cache_servers_excluded"), 1, "it knows before it says yes");
        assert_eq!(new.call("GET", "/ready").0, 200);
        assert_eq!(new.call("PUT", &format!("/cache-servers/enable/{name}")).0, 200);
        let began = Instant::now();
        old.until("cache_servers_excluded", 0);
        assert!(began.elapsed() < Duration::from_secs(1));
        old.terminate();
        assert_eq!(old.wait().code(), Some(0));
        new.until_some("served.read");
        old = new;
    }
    stop.store(true, Ordering::Relaxed);
    let seen: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let (served, door) =
        (seen.iter().map(|s| s.served).sum::<usize>(), seen.iter().map(|s| s.door).sum::<usize>());
    let other: Vec<_> = seen.iter().flat_map(|s| &s.other).collect();
    assert_eq!((door, other.len()), (0, 0), "{served} served, first {:?}", other.first());
    assert!(served > 100, "{served}");
}

#[test]
fn a_predecessor_that_is_stopped_dead_or_never_was_holds_nobody_up() {
    let cache = cache(|_| Act::Say(hit("value")));
    let (origin, (discovery, _say, _calls)) = (no_origin(), quiet());
    let (known, kept) = (pair(cache.address, origin.address), folder());
    let beside = kept.join("spardeal-beside");
    std::fs::create_dir_all(&beside).unwrap();
    for (file, text) in [("00000000000000000001-1.lock", ""), ("00000000000000000001-1", "1 serving 9 9 9\n")]
    {
        std::fs::write(beside.join(file), text).unwrap();
    }
    for (file, text) in [("noise", "x"), ("1-.lock", ""), ("9999999999999999999999-1.lock", "")] {
        std::fs::write(beside.join(file), text).unwrap();
    }
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let old = successor(&listener, discovery, &known, &kept);
    assert_eq!(old.call("GET", "/ready").0, 200);
    assert!(!beside.join("00000000000000000001-1").exists(), "what a dead process left is removed");
    old.kill("STOP");
    let mut new = successor(&listener, discovery, &known, &kept);
    let began = Instant::now();
    assert_eq!(new.call("GET", "/ready").0, 200);
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    drop(old);
    // Alone again it drains as any other: those who come meanwhile are served.
    assert_eq!(Client::connect(listener.local_addr().unwrap()).ask(&get("aa", "1")).unwrap(), "value");
    new.terminate();
    assert_eq!(Client::connect(listener.local_addr().unwrap()).ask(&get("aa", "2")).unwrap(), "value");
    assert_eq!(new.wait().code(), Some(0));
    let left = std::fs::read_dir(&beside).unwrap().flatten().filter(|e| e.file_name() != "noise").count();
    assert!(left <= 2, "its files go with it: {left}");
}

#[test]
fn what_is_passed_on_as_the_clients_socket_and_is_none_is_one_line_and_exit_code_2() {
    let plain = TcpListener::bind("127.0.0.1:0").unwrap();
    let connected = TcpStream::connect(plain.local_addr().unwrap()).unwrap();
    let udp = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let sockets = [Some(OwnedFd::from(connected)), Some(OwnedFd::from(udp)), None];
    for (socket, number) in sockets.into_iter().zip(["4", "4", "77"]).chain([(None, "four"), (None, "0")]) {
        let (discovery, _say, _calls) = quiet();
        let path = config_file(&config(discovery, &listing(1, true, &[]), 256, settings()));
        let run = std::process::Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("exec 4<&0 </dev/null; exec {}", env!("CARGO_BIN_EXE_stonevane-node")))
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_LISTEN_FD", number)
            .stdin(socket.map_or_else(Stdio::null, Stdio::from))
            .output()
            .unwrap();
        assert_eq!(run.status.code(), Some(2), "{number}");
        let lines = String::from_utf8_lossy(&run.stderr).into_owned();
        assert!(lines.lines().count() == 1 && lines.contains("ROUTER_LISTEN_FD"), "{lines}");
        std::fs::remove_file(path).unwrap();
    }
}

#[test]
fn two_hundred_slow_readers_of_4_mib_get_their_values_within_the_memory_of_a_small_node() {
    const LONG: usize = 4 << 20;
    let long: Arc<str> = "0123456789abcdef".repeat(LONG / 16).into();
    let sent = long.clone();
    let cache = cache(move |words| Act::Say(hit(if words[1].starts_with("big") { &sent } else { "small" })));
    let (origin, (discovery, _say, _calls)) = (no_origin(), quiet());
    let known = pair(cache.address, origin.address);
    let settings = settings().replace("8000000", "60000000").replace("1000.0", "1000000.0");
    let text = config(discovery, &known, 1024, &settings).replace(r#""memory_mb":16"#, r#""memory_mb":80"#);
    let node = Node::start_text(discovery, &text);
    for warm in 0..40 {
        assert_eq!(node.client().ask(&get("aa", &format!("w{warm}"))).unwrap(), "small");
    }
    let before = node.resident_kib();
    // They come one after the other, as far as a server's queue goes, and read nothing yet.
    let mut readers: Vec<Client> = Vec::new();
    let mut turned_away = 0;
    while readers.len() < 200 {
        let number = readers.len();
        let mut client = node.client();
        client.send(&get(&format!("big{number}"), &format!("r{number}-{turned_away}")));
        let mut first = [0];
        client.input.get_ref().peek(&mut first).unwrap();
        match first {
            [b'$'] => readers.push(client),
            _ => turned_away += 1,
        }
        assert!(turned_away < 400, "{turned_away} turned away at {number} readers");
    }
    assert_eq!(node.client().ask(&get("aa", "last")).unwrap(), "small", "others are served beside them");
    let held = node.resident_kib() - before;
    assert!(held < 200 * 160, "{held} KiB for 200 values of 4 MiB");
    // A node with hardly any memory passes it on as well.
    let small = Node::start_text(discovery, &config(discovery, &known, 256, &settings));
    for warm in 0..40 {
        assert_eq!(small.client().ask(&get("aa", &format!("w{warm}"))).unwrap(), "small");
    }
    assert!(small.client().ask(&get("big", "1")).unwrap() == *long);
    for mut reader in readers {
        let value = reader.answer().unwrap();
        assert!(value.len() == LONG && value == *long);
    }
}

#[test]
fn each_step_of_a_request_and_each_close_is_told_with_its_reason() {
    let cache = cache(|words| match words[1].as_str() {
        "bb" => Act::Say(miss()),
        "cc" => Act::Close,
        key => Act::Say(hit(key)),
    });
    let origin = origin(|_| Act::Say(http(200, "", "made")));
    let (discovery, _say, _calls) = quiet();
    let known = pair(cache.address, origin.address);
    let node = Node::start_managed_with(discovery, &known, &folder(), "export SPARDEAL_TRACE=1;", |_| {});
    let mut client = node.client();
    assert_eq!(client.ask(&get("bb", "id-missed")).unwrap(), "made");
    assert!(client.ask(&get("cc", "id-reset")).unwrap().starts_with('-'));
    node.until_some("decisions.retry-after-miss");
    node.until_some("decisions.retry-after-reset");
    node.until_some("closes.lost");
    let mut lines = Vec::new();
    let mut next = |wanted: &str| {
        while !lines.iter().any(|line: &String| line.contains(wanted)) {
            let line = node.log.recv_timeout(LONG);
            lines.push(line.unwrap_or_else(|_| panic!("no {wanted:?} in {lines:#?}")));
        }
    };
    for wanted in [
        "list: version 5 (Cached), 2 lines: 2 ready",
        "request id-missed (1) attempt 0 to s-1",
        "request id-missed (1) attempt 0 at s-1 ended: Miss",
        "request id-missed (1) retry-after-miss",
        "request id-missed (1) attempt 1 to o-1",
        "request id-missed (1) answered: served",
        "request id-reset (2) attempt 0 at s-1 ended: Reset",
        "closed: lost",
    ] {
        next(wanted);
    }
}
