//! Capacity: descriptors and memory, and who is evicted when there is none left.

use std::io::Write;
use std::time::Duration;

use crate::harness::*;
use crate::{no_origin, pair, quiet};

/// A client that has been served stays for longer than the test takes; by default it gives way to newcomers after 10 ms, and
/// a machine may take them later than that.
const SERVED_STAY: &str = "version = 1\n[clients]\nspare_ms = 15000\n";

#[test]
fn clients_that_say_nothing_or_half_a_command_give_their_places_back_in_time() {
    let cache = cache(|words| Act::Say(hit(&words[1])));
    let origin = no_origin();
    let (discovery, _say, _calls) = quiet();
    let text = config(discovery, &pair(cache.address, origin.address), 64, settings());
    let node = Node::start_text_with_operator(discovery, &text, SERVED_STAY);
    let mut kept = node.client();
    assert_eq!(kept.ask(&get("aa", "1")).unwrap(), "aa");
    // However late the others come.
    std::thread::sleep(Duration::from_millis(30));
    let begun = std::time::Instant::now();
    // More than the table holds, so that the last of them wait with the machine.
    let mut silent: Vec<_> = (0..40).map(|_| node.client()).collect();
    let mut dribbles = silent.pop().unwrap().out;
    let dribble = std::thread::spawn(move || {
        let bytes = get("aa", "2");
        let took = bytes.chunks(1).take_while(|byte| {
            std::thread::sleep(Duration::from_millis(100));
            begun.elapsed() < LONG && dribbles.write_all(byte).is_ok()
        });
        took.count() < bytes.len()
    });
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(kept.ask(&get("bb", "3")).unwrap(), "bb", "a client that is known is still served");
    for client in &mut silent {
        assert!(client.answer().is_none_or(|line| line.starts_with("-ERR")), "told or closed");
        assert!(begun.elapsed() > Duration::from_millis(1_900) && begun.elapsed() < LONG / 2);
    }
    assert_eq!(node.client().ask(&get("cc", "4")).unwrap(), "cc", "and there is room again");
    assert!(dribble.join().unwrap(), "bytes that trickle move no limit");
}

#[test]
fn half_sent_values_hold_no_more_memory_than_there_is() {
    let cache = cache(|_| Act::Say(miss()));
    let origin = origin(|_| Act::Say(http(200, "", "ok")));
    let (discovery, _say, _calls) = quiet();
    let node = Node::start_with(discovery, &pair(cache.address, origin.address), 512, "");
    let long = put("aa", "1", &"v".repeat(64 * 1024));
    let mut clients: Vec<_> = (0..250).map(|_| node.client()).collect();
    for client in &clients {
        let mut out = client.out.try_clone().unwrap();
        out.set_write_timeout(Some(Duration::from_millis(20))).unwrap();
        let _ = out.write_all(&long[..long.len() - 100]);
    }
    let most = (0..20).map(|_| {
        std::thread::sleep(Duration::from_millis(20));
        node.resident_kib()
    });
    let most = most.max().unwrap();
    assert!(most < 16 * 1024, "{most} KiB of the 16 MiB that it may have");
    let told = clients.iter_mut().take(20).map(Client::answer);
    assert!(told.into_iter().all(|line| line.is_none_or(|line| line.starts_with('-'))));
    drop(clients);
    assert_eq!(node.client().ask(&put("bb", "2", &"v".repeat(64 * 1024))).unwrap(), "ok");
}

#[test]
fn a_table_of_descriptors_that_is_full_does_not_end_the_node() {
    let cache = cache(|words| Act::Say(hit(&words[1])));
    let origin = no_origin();
    let (discovery, _say, _calls) = quiet();
    // The platform allows fewer than the configuration says.
    let known = pair(cache.address, origin.address);
    let node = Node::start_with(discovery, &known, 256, "ulimit -n 24;");
    let held: Vec<_> = (0..60).map(|_| node.client()).collect();
    drop(held);
    let mut client = node.client();
    assert_eq!(client.ask(&get("aa", "1")).unwrap(), "aa");
}

#[test]
fn in_a_full_table_an_idle_client_makes_room_for_a_new_one() {
    let cache = cache(|words| Act::Say(hit(&words[1])));
    let origin = no_origin();
    let (discovery, _say, _calls) = quiet();
    let node = Node::start_with(discovery, &pair(cache.address, origin.address), 64, "");
    let mut clients = Vec::new();
    for _ in 0..60 {
        let mut client = node.client();
        assert_eq!(client.ask(&command(&["PING"])).unwrap(), "+PONG", "taken, though all others stay");
        clients.push(client);
    }
    assert_eq!(clients[0].answer(), None, "the one idle for longest was closed");
}

#[test]
fn in_a_full_table_of_busy_clients_a_new_one_is_refused_at_once() {
    // Found on a day at full size with 128 sockets: what waited for a place was lost.
    let cache = cache(|_| Act::Hang);
    let origin = no_origin();
    let (discovery, _say, _calls) = quiet();
    let node = Node::start_with(discovery, &pair(cache.address, origin.address), 64, "");
    let minute = |id: &str| command(&["OBJ.GET", "aa", id, "c=read,t=acme,d=60000"]);
    // More than there are places that are not for refusals.
    let mut busy: Vec<_> = (0..28).map(|_| node.client()).collect();
    busy.iter_mut().enumerate().for_each(|(id, client)| client.send(&minute(&id.to_string())));
    for _ in 0..20 {
        let mut late = node.client();
        assert_eq!(late.ask(&minute("late")).unwrap(), "-BUSY");
        assert_eq!(late.answer(), None, "and its place is free again");
    }
}
