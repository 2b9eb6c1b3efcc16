//! Capacity: descriptors and memory, and which client is evicted when none are left.

use std::io::Write;
use std::time::Duration;

use crate::harness::*;
use crate::{cache_and_origin, failing_origin, quiet_discovery};

/// Keeps idle clients that have been served for longer than the test takes. By default they may be evicted
/// for new clients after 10 ms, and a busy machine may accept the new clients later than that.
const KEEP_SERVED_CLIENTS: &str = "version = 1\n[clients]\nspare_ms = 15000\n";

#[test]
fn clients_that_send_nothing_or_half_a_command_are_closed_by_a_deadline() {
    let cache = cache(|words| Action::Respond(hit(&words[1])));
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let text = config(discovery, &cache_and_origin(cache.address, origin.address), 64, settings());
    let node = Node::start_with_config_and_operator_file(discovery, &text, KEEP_SERVED_CLIENTS);
    let mut kept = node.client();
    assert_eq!(kept.request(&get("aa", "1")).unwrap(), "aa");
    // Longer than the default of 10 ms, so that the outcome does not depend on when the others connect.
    std::thread::sleep(Duration::from_millis(30));
    let begun = std::time::Instant::now();
    // More clients than the connection table holds, so that the last of them wait in the listen queue.
    let mut silent: Vec<_> = (0..40).map(|_| node.client()).collect();
    let mut trickling = silent.pop().unwrap().out;
    let trickle = std::thread::spawn(move || {
        let bytes = get("aa", "2");
        let written = bytes.chunks(1).take_while(|byte| {
            std::thread::sleep(Duration::from_millis(100));
            begun.elapsed() < TEST_TIMEOUT && trickling.write_all(byte).is_ok()
        });
        written.count() < bytes.len()
    });
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(
        kept.request(&get("bb", "3")).unwrap(),
        "bb",
        "a client that was served before is still served"
    );
    for client in &mut silent {
        assert!(client.read_response().is_none_or(|line| line.starts_with("-ERR")), "an error or a close");
        assert!(begun.elapsed() > Duration::from_millis(1_900) && begun.elapsed() < TEST_TIMEOUT / 2);
    }
    assert_eq!(node.client().request(&get("cc", "4")).unwrap(), "cc", "capacity is free again");
    assert!(trickle.join().unwrap(), "trickling bytes do not extend the deadline");
}

#[test]
fn half_sent_values_stay_within_the_memory_limit() {
    let cache = cache(|_| Action::Respond(miss()));
    let origin = origin(|_| Action::Respond(http_response(200, "", "ok")));
    let (discovery, _updates, _calls) = quiet_discovery();
    let node =
        Node::start_with_shell_prefix(discovery, &cache_and_origin(cache.address, origin.address), 512, "");
    let long = put("aa", "1", &"v".repeat(64 * 1024));
    let mut clients: Vec<_> = (0..250).map(|_| node.client()).collect();
    for client in &clients {
        let mut out = client.out.try_clone().unwrap();
        out.set_write_timeout(Some(Duration::from_millis(20))).unwrap();
        let _ = out.write_all(&long[..long.len() - 100]);
    }
    let samples = (0..20).map(|_| {
        std::thread::sleep(Duration::from_millis(20));
        node.resident_kib()
    });
    let most = samples.max().unwrap();
    assert!(most < 16 * 1024, "{most} KiB resident, the limit is 16 MiB");
    let responses = clients.iter_mut().take(20).map(Client::read_response);
    assert!(responses.into_iter().all(|line| line.is_none_or(|line| line.starts_with('-'))));
    drop(clients);
    assert_eq!(node.client().request(&put("bb", "2", &"v".repeat(64 * 1024))).unwrap(), "ok");
}

#[test]
fn a_full_descriptor_table_does_not_end_the_node() {
    let cache = cache(|words| Action::Respond(hit(&words[1])));
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    // The platform allows fewer descriptors than the configuration.
    let known = cache_and_origin(cache.address, origin.address);
    let node = Node::start_with_shell_prefix(discovery, &known, 256, "ulimit -n 24;");
    let held: Vec<_> = (0..60).map(|_| node.client()).collect();
    drop(held);
    let mut client = node.client();
    assert_eq!(client.request(&get("aa", "1")).unwrap(), "aa");
}

#[test]
fn in_a_full_table_an_idle_client_is_evicted_for_a_new_one() {
    let cache = cache(|words| Action::Respond(hit(&words[1])));
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let node =
        Node::start_with_shell_prefix(discovery, &cache_and_origin(cache.address, origin.address), 64, "");
    let mut clients = Vec::new();
    for _ in 0..60 {
        let mut client = node.client();
        assert_eq!(
            client.request(&command(&["PING"])).unwrap(),
            "+PONG",
            "accepted while all others stay connected"
        );
        clients.push(client);
    }
    assert_eq!(clients[0].read_response(), None, "the client that was idle for longest is closed");
}

#[test]
fn in_a_full_table_of_busy_clients_a_new_one_is_refused_at_once() {
    // Guards against the loss of requests that wait for a connection, as seen with a limit of 128 sockets.
    let cache = cache(|_| Action::Hang);
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let node =
        Node::start_with_shell_prefix(discovery, &cache_and_origin(cache.address, origin.address), 64, "");
    let one_minute_read = |id: &str| command(&["OBJ.GET", "aa", id, "c=read,t=acme,d=60000"]);
    // More clients than there are connections that are not reserved for rejections.
    let mut busy: Vec<_> = (0..28).map(|_| node.client()).collect();
    busy.iter_mut().enumerate().for_each(|(id, client)| client.send(&one_minute_read(&id.to_string())));
    for _ in 0..20 {
        let mut rejected = node.client();
        assert_eq!(rejected.request(&one_minute_read("late")).unwrap(), "-BUSY");
        assert_eq!(rejected.read_response(), None, "its connection is closed");
    }
}
