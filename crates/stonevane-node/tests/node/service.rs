//! Operation: management address, metrics, exclusion of servers, reload of settings, and replacement of the
//! process.

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
use crate::{cache_and_origin, failing_origin, quiet_discovery};

/// A whole list of two cache servers and an origin.
fn two_caches_and_origin(caches: [&EmulatedServer; 2], origin: &EmulatedServer) -> String {
    let entries = [
        entry("s-1", caches[0].address, "std", "active"),
        entry("s-2", caches[1].address, "std", "active"),
        entry("o-1", origin.address, "origin", "active"),
    ];
    server_list(5, true, &entries)
}

#[test]
fn the_management_address_answers_while_other_callers_hold_all_its_connections() {
    let cache = cache(|words| Action::Respond(hit(&words[1])));
    let (origin, (discovery, _updates, _calls)) = (failing_origin(), quiet_discovery());
    let node =
        Node::start_with_mgmt(discovery, &cache_and_origin(cache.address, origin.address), &temp_folder());
    assert_eq!(node.mgmt_call("GET", "/ready").0, 200);
    let mgmt = node.mgmt.unwrap();
    let mut held: Vec<_> = (0..40).map(|_| TcpStream::connect(mgmt).unwrap()).collect();
    held.iter_mut().step_by(2).for_each(|stream| drop(stream.write_all(b"GET /rea")));
    let began = Instant::now();
    for _ in 0..20 {
        assert_eq!(node.mgmt_call("GET", "/ready").0, 200);
    }
    assert!(began.elapsed() < Duration::from_secs(1), "{:?} for 20 calls", began.elapsed());
    // The management address handles a call that arrives byte by byte as one call.
    let mut stream = TcpStream::connect(mgmt).unwrap();
    stream.set_nodelay(true).unwrap();
    for byte in b"PUT /cache-servers/disable/nobody HTTP/1.1\r\n\r\n" {
        stream.write_all(&[*byte]).unwrap();
    }
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 404 "), "{text}");
    assert_eq!(node.mgmt_call("POST", "/ready").0, 405);
    assert_eq!(node.mgmt_call("GET", "/nothing").0, 404);
    assert_eq!(node.mgmt_call_raw(b"\x00\x01\r\n\r\n").0, 400);
    assert_eq!(node.mgmt_call("GET", &"/x".repeat(4000)).0, 414);
    let pipelined = b"GET /ready HTTP/1.1\r\n\r\nPUT /cache-servers/disable/s-1 HTTP/1.1\r\n\r\n";
    assert_eq!(node.mgmt_call_raw(pipelined).0, 200);
    assert_eq!(node.metric("cache_servers_excluded"), 0, "only one call per connection is served");
}

#[test]
fn metrics_count_responses_to_clients_and_attempts_at_servers() {
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(Some(released)));
    let cache = cache(move |words| match words[1].as_str() {
        "ee" => Action::RespondAfter(released.lock().unwrap().take().unwrap(), hit("slow")),
        "bb" => Action::Respond(miss()),
        key => Action::Respond(hit(key)),
    });
    let origin = origin(|words| {
        Action::Respond(http_response(if words[0].starts_with("PUT") { 500 } else { 200 }, "", "made"))
    });
    let (discovery, _updates, _calls) = quiet_discovery();
    let mut node =
        Node::start_with_mgmt(discovery, &cache_and_origin(cache.address, origin.address), &temp_folder());
    assert_eq!(
        (node.metric("served.read"), node.metric("failed.put")),
        (0, 0),
        "unused classes are reported as 0"
    );
    let mut client = node.client();
    assert_eq!(client.request(&get("aa", "1")).unwrap(), "aa");
    assert_eq!(client.request(&get("bb", "2")).unwrap(), "made");
    assert!(client.request(&put("cc", "3", "new")).unwrap().starts_with("-ERR"));
    client.send(&get("ee", "4"));
    assert_eq!(cache.next_request().words[1], "aa");
    while cache.next_request().words[1] != "ee" {}
    node.wait_for_metric("in_flight", 1);
    release.send(()).unwrap();
    assert_eq!(client.read_response().unwrap(), "slow");
    node.wait_for_metric("in_flight", 0);
    let names = ["served.read", "refused.read", "failed.read", "served.put", "refused.put", "failed.put"];
    assert_eq!(names.map(|name| node.metric(name)), [3, 0, 0, 0, 0, 1]);
    assert_eq!(node.metric("attempts"), 5, "three at the cache server, a fetch and a write at the origin");
    assert_eq!(node.metric("cache_servers_known"), 1);
    // A draining node reports that it is not ready.
    let mut held = node.client();
    held.send(b"*4\r\n");
    node.terminate();
    let end = Instant::now() + TEST_TIMEOUT;
    while node.mgmt_call("GET", "/ready").0 != 503 {
        assert!(Instant::now() < end);
    }
    drop((client, held));
    assert_eq!(node.wait().code(), Some(0));
}

#[test]
fn an_excluded_cache_server_gets_no_requests_until_it_is_reinstated_whatever_the_lists_contain() {
    let caches = [cache(|_| Action::Respond(hit("one"))), cache(|_| Action::Respond(hit("two")))];
    let (origin, (discovery, updates, _calls)) = (failing_origin(), quiet_discovery());
    let (known, tmpdir) = (two_caches_and_origin([&caches[0], &caches[1]], &origin), temp_folder());
    let node = Node::start_with_mgmt(discovery, &known, &tmpdir);
    let served = |node: &Node, from: u32| {
        let mut client = node.client();
        let mut all: Vec<_> = (from..from + 40)
            .map(|i| client.request(&get(&format!("k{i}"), &format!("{i}"))).unwrap())
            .collect();
        all.sort();
        all.dedup();
        all
    };
    assert_eq!(served(&node, 0), ["one", "two"]);
    assert_eq!(node.mgmt_call("PUT", "/cache-servers/disable/nobody").0, 404);
    assert_eq!(node.mgmt_call("PUT", "/cache-servers/disable/o-1").0, 404, "the origin is no cache server");
    assert_eq!(node.mgmt_call("PUT", "/cache-servers/disable/s-1").0, 200);
    assert_eq!(node.mgmt_call("PUT", "/cache-servers/disable/s-1").0, 200);
    assert_eq!(served(&node, 100), ["two"]);
    assert_eq!(node.metric("cache_servers_excluded"), 1);
    // The server leaves the list, where its exclusion can still be changed, and returns to it.
    let left = [entry("s-1", caches[0].address, "std", "left")];
    updates.send(chunk(&server_list(6, false, &left))).unwrap();
    node.wait_for_metric("cache_servers_known", 1);
    assert_eq!(node.mgmt_call("PUT", "/cache-servers/disable/s-1").0, 200);
    let active = [entry("s-1", caches[0].address, "std", "active")];
    updates.send(chunk(&server_list(7, false, &active))).unwrap();
    node.wait_for_metric("cache_servers_known", 2);
    assert_eq!(served(&node, 200), ["two"]);
    // Neither a reload of the settings nor a new process of the node reinstates the excluded server.
    node.reload(Err(&node.config_text));
    node.wait_for_metric("reloads_ok", 1);
    assert_eq!(served(&node, 300), ["two"]);
    drop(node);
    let node = Node::start_with_mgmt(discovery, &known, &tmpdir);
    assert_eq!(served(&node, 400), ["two"]);
    assert_eq!(node.mgmt_call("PUT", "/cache-servers/enable/s-1").0, 200);
    assert_eq!(served(&node, 500), ["one", "two"], "one call to reinstate undoes both exclusions");
    assert_eq!(node.metric("cache_servers_excluded"), 0);
    drop(node);
    let node = Node::start_with_mgmt(discovery, &known, &tmpdir);
    assert_eq!(served(&node, 600), ["one", "two"]);
    // With all servers excluded, requests are rejected at once.
    for name in ["s-1", "s-2"] {
        assert_eq!(node.mgmt_call("PUT", &format!("/cache-servers/disable/{name}")).0, 200);
    }
    assert!(node.client().request(&get("k1", "1")).unwrap().starts_with("-BUSY"));
}

#[test]
fn new_settings_take_effect_as_a_whole_or_not_at_all() {
    let cache = cache(|words| Action::Respond(hit(&words[1])));
    let (origin, (discovery, _updates, _calls)) = (failing_origin(), quiet_discovery());
    let node =
        Node::start_with_mgmt(discovery, &cache_and_origin(cache.address, origin.address), &temp_folder());
    let read = |class: &str| {
        let facts = format!("c={class},t=acme,d=8000");
        node.client().request(&command(&["OBJ.GET", "aa", "1", &facts])).unwrap()
    };
    let text = node.config_text.clone();
    let invalid_configs = [
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
    for (number, invalid) in invalid_configs.iter().enumerate() {
        node.reload(Err(&invalid.replace(r#""name":"put""#, r#""name":"new""#)));
        node.wait_for_metric("reloads_failed", number as u64 + 1);
        assert!(read("new").starts_with("-ERR"), "a part of invalid settings took effect: {invalid}");
        assert_eq!(read("read"), "aa");
    }
    node.reload(Err(&text.replace(r#""name":"put""#, r#""name":"new""#)));
    node.wait_for_metric("reloads_ok", 1);
    assert_eq!((read("new").as_str(), read("read").as_str()), ("aa", "aa"));
    assert_eq!(node.metric("served.new"), 1);
    // A removed class is accepted for as long as clients may still name it, and then rejected. Its metric
    // stays.
    assert!(!read("put").starts_with("-ERR unknown"));
    let end = Instant::now() + TEST_TIMEOUT;
    while !read("put").starts_with("-ERR unknown") {
        assert!(Instant::now() < end, "a removed class is still accepted");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(node.metric("served.put") > 0);
    node.reload(Err(&text));
    node.wait_for_metric("reloads_ok", 2);
    assert_eq!(read("put"), "aa");
}

#[test]
fn an_invalid_fleet_ends_with_one_error_line_per_fault_and_exit_code_2() {
    let (discovery, _updates, _calls) = quiet_discovery();
    let allowed = settings().replace(r#""maxAttempts":4,"#, r#""maxAttempts":4,"peers":true,"#);
    let text = config(discovery, &server_list(1, true, &[]), 256, &allowed);
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
fn an_invalid_or_occupied_management_address_ends_with_an_error_line_and_exit_code_2() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for mgmt in ["nowhere".to_owned(), taken.local_addr().unwrap().to_string()] {
        let (discovery, _updates, _calls) = quiet_discovery();
        let path = config_file(&config(discovery, &server_list(1, true, &[]), 256, settings()));
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

/// Starts a process that inherits the clients' socket, as the platform passes it on.
fn start_successor(listener: &TcpListener, discovery: SocketAddr, known: &str, folder: &Path) -> Node {
    let shell_prefix = "exec 4<&0 </dev/null; ROUTER_LISTEN_FD=4";
    let socket = OwnedFd::from(listener.try_clone().unwrap());
    Node::start_with_mgmt_and_command(discovery, known, folder, shell_prefix, |command| {
        command.stdin(Stdio::from(socket));
    })
}

/// Results of the requests of a client while a node was replaced.
#[derive(Debug, Default)]
struct ClientResults {
    served: usize,
    other_responses: Vec<String>,
    /// Requests whose connection ended without a response.
    closed_unanswered: usize,
}

/// Starts clients that send one request after another until `stop` is set. Half of them keep their
/// connections.
fn spawn_clients(address: SocketAddr, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<ClientResults>> {
    let client = |number: usize| {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let mut results = ClientResults::default();
            let mut conn: Option<Client> = None;
            for request in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let mut client = conn.take().unwrap_or_else(|| Client::connect(address));
                let id = format!("{number}-{request}");
                client.send(&get(&format!("k{}", (number * 31 + request) % 97), &id));
                match client.read_response() {
                    None => results.closed_unanswered += 1,
                    Some(answer) if answer == "value" => results.served += 1,
                    Some(answer) => results.other_responses.push(answer),
                }
                // Stays within the tenant's quota.
                std::thread::sleep(Duration::from_millis(30 + number as u64 % 7));
                // A client does not write to a connection whose close came with its last response.
                conn = Some(client).filter(|client| number.is_multiple_of(2) && client.is_open());
            }
            results
        })
    };
    (0..24).map(client).collect()
}

#[test]
fn a_process_is_replaced_twice_under_load_without_a_request_left_unanswered() {
    let caches = [cache(|_| Action::Respond(hit("value"))), cache(|_| Action::Respond(hit("value")))];
    let (origin, (discovery, _updates, _calls)) = (failing_origin(), quiet_discovery());
    let (known, tmpdir) = (two_caches_and_origin([&caches[0], &caches[1]], &origin), temp_folder());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut old = start_successor(&listener, discovery, &known, &tmpdir);
    let stop = Arc::new(AtomicBool::new(false));
    let clients = spawn_clients(address, &stop);
    for _ in 0..2 {
        old.wait_until_nonzero("served.read");
        // The server is excluded and reinstated at one process. The other process follows within a second.
        let name = "s-1";
        assert_eq!(old.mgmt_call("PUT", &format!("/cache-servers/disable/{name}")).0, 200);
        let new = start_successor(&listener, discovery, &known, &tmpdir);
        assert_eq!(
            new.metric("cache_servers_excluded"),
            1,
            "the exclusion is known before the process is ready"
        );
        assert_eq!(new.mgmt_call("GET", "/ready").0, 200);
        assert_eq!(new.mgmt_call("PUT", &format!("/cache-servers/enable/{name}")).0, 200);
        let began = Instant::now();
        old.wait_for_metric("cache_servers_excluded", 0);
        assert!(began.elapsed() < Duration::from_secs(1));
        old.terminate();
        assert_eq!(old.wait().code(), Some(0));
        new.wait_until_nonzero("served.read");
        old = new;
    }
    stop.store(true, Ordering::Relaxed);
    let results: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let (served, closed_unanswered) = (
        results.iter().map(|r| r.served).sum::<usize>(),
        results.iter().map(|r| r.closed_unanswered).sum::<usize>(),
    );
    let other: Vec<_> = results.iter().flat_map(|r| &r.other_responses).collect();
    assert_eq!(
        (closed_unanswered, other.len()),
        (0, 0),
        "{served} served, first other response {:?}",
        other.first()
    );
    assert!(served > 100, "only {served} served");
}

#[test]
fn a_paused_dead_or_invalid_predecessor_delays_no_startup_or_drain() {
    let cache = cache(|_| Action::Respond(hit("value")));
    let (origin, (discovery, _updates, _calls)) = (failing_origin(), quiet_discovery());
    let (known, tmpdir) = (cache_and_origin(cache.address, origin.address), temp_folder());
    let status_folder = tmpdir.join("spardeal-beside");
    std::fs::create_dir_all(&status_folder).unwrap();
    for (file, text) in [("00000000000000000001-1.lock", ""), ("00000000000000000001-1", "1 serving 9 9 9\n")]
    {
        std::fs::write(status_folder.join(file), text).unwrap();
    }
    for (file, text) in [("noise", "x"), ("1-.lock", ""), ("9999999999999999999999-1.lock", "")] {
        std::fs::write(status_folder.join(file), text).unwrap();
    }
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let old = start_successor(&listener, discovery, &known, &tmpdir);
    assert_eq!(old.mgmt_call("GET", "/ready").0, 200);
    assert!(
        !status_folder.join("00000000000000000001-1").exists(),
        "the files of a dead process are removed"
    );
    old.send_signal("STOP");
    let mut new = start_successor(&listener, discovery, &known, &tmpdir);
    let began = Instant::now();
    assert_eq!(new.mgmt_call("GET", "/ready").0, 200);
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    drop(old);
    // This process is now the only one and drains as usual: new clients are still served meanwhile.
    assert_eq!(Client::connect(listener.local_addr().unwrap()).request(&get("aa", "1")).unwrap(), "value");
    new.terminate();
    assert_eq!(Client::connect(listener.local_addr().unwrap()).request(&get("aa", "2")).unwrap(), "value");
    assert_eq!(new.wait().code(), Some(0));
    let left =
        std::fs::read_dir(&status_folder).unwrap().flatten().filter(|e| e.file_name() != "noise").count();
    assert!(left <= 2, "a process removes its files when it ends: {left}");
}

#[test]
fn an_inherited_descriptor_that_is_no_listening_socket_ends_with_one_error_line_and_exit_code_2() {
    let plain = TcpListener::bind("127.0.0.1:0").unwrap();
    let connected = TcpStream::connect(plain.local_addr().unwrap()).unwrap();
    let udp = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let sockets = [Some(OwnedFd::from(connected)), Some(OwnedFd::from(udp)), None];
    for (socket, number) in sockets.into_iter().zip(["4", "4", "77"]).chain([(None, "four"), (None, "0")]) {
        let (discovery, _updates, _calls) = quiet_discovery();
        let path = config_file(&config(discovery, &server_list(1, true, &[]), 256, settings()));
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
fn two_hundred_slow_readers_get_values_of_4_mib_from_a_node_with_little_memory() {
    const VALUE_BYTES: usize = 4 << 20;
    let long: Arc<str> = "0123456789abcdef".repeat(VALUE_BYTES / 16).into();
    let sent = long.clone();
    let cache =
        cache(move |words| Action::Respond(hit(if words[1].starts_with("big") { &sent } else { "small" })));
    let (origin, (discovery, _updates, _calls)) = (failing_origin(), quiet_discovery());
    let known = cache_and_origin(cache.address, origin.address);
    let settings = settings().replace("8000000", "60000000").replace("1000.0", "1000000.0");
    let text = config(discovery, &known, 1024, &settings).replace(r#""memory_mb":16"#, r#""memory_mb":80"#);
    let node = Node::start_with_config(discovery, &text);
    for warm in 0..40 {
        assert_eq!(node.client().request(&get("aa", &format!("w{warm}"))).unwrap(), "small");
    }
    let before = node.resident_kib();
    // The readers come one after another, as the limits of the server allow, and read nothing yet.
    let mut readers: Vec<Client> = Vec::new();
    let mut rejected = 0;
    while readers.len() < 200 {
        let number = readers.len();
        let mut client = node.client();
        client.send(&get(&format!("big{number}"), &format!("r{number}-{rejected}")));
        let mut first = [0];
        client.input.get_ref().peek(&mut first).unwrap();
        match first {
            [b'$'] => readers.push(client),
            _ => rejected += 1,
        }
        assert!(rejected < 400, "{rejected} rejected at {number} readers");
    }
    assert_eq!(node.client().request(&get("aa", "last")).unwrap(), "small", "other clients are still served");
    let held = node.resident_kib() - before;
    assert!(held < 200 * 160, "{held} KiB for 200 values of 4 MiB");
    // A node with even less memory passes the value on as well.
    let small = Node::start_with_config(discovery, &config(discovery, &known, 256, &settings));
    for warm in 0..40 {
        assert_eq!(small.client().request(&get("aa", &format!("w{warm}"))).unwrap(), "small");
    }
    assert!(small.client().request(&get("big", "1")).unwrap() == *long);
    for mut reader in readers {
        let value = reader.read_response().unwrap();
        assert!(value.len() == VALUE_BYTES && value == *long);
    }
}

#[test]
fn the_trace_contains_each_step_of_a_request_and_each_close_with_its_reason() {
    let cache = cache(|words| match words[1].as_str() {
        "bb" => Action::Respond(miss()),
        "cc" => Action::Close,
        key => Action::Respond(hit(key)),
    });
    let origin = origin(|_| Action::Respond(http_response(200, "", "made")));
    let (discovery, _updates, _calls) = quiet_discovery();
    let known = cache_and_origin(cache.address, origin.address);
    let node = Node::start_with_mgmt_and_command(
        discovery,
        &known,
        &temp_folder(),
        "export SPARDEAL_TRACE=1;",
        |_| {},
    );
    let mut client = node.client();
    assert_eq!(client.request(&get("bb", "id-missed")).unwrap(), "made");
    assert!(client.request(&get("cc", "id-reset")).unwrap().starts_with('-'));
    node.wait_until_nonzero("decisions.retry-after-miss");
    node.wait_until_nonzero("decisions.retry-after-reset");
    node.wait_until_nonzero("closes.lost");
    let mut lines = Vec::new();
    let mut wait_for_line = |expected: &str| {
        while !lines.iter().any(|line: &String| line.contains(expected)) {
            let line = node.log.recv_timeout(TEST_TIMEOUT);
            lines.push(line.unwrap_or_else(|_| panic!("no {expected:?} in {lines:#?}")));
        }
    };
    for expected in [
        "list: version 5 (Cached), 2 lines: 2 ready",
        "request id-missed (1) attempt 0 to s-1",
        "request id-missed (1) attempt 0 at s-1 ended: Miss",
        "request id-missed (1) retry-after-miss",
        "request id-missed (1) attempt 1 to o-1",
        "request id-missed (1) answered: served",
        "request id-reset (2) attempt 0 at s-1 ended: Reset",
        "closed: lost",
    ] {
        wait_for_line(expected);
    }
}
