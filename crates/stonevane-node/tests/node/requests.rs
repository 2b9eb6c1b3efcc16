//! Requests and responses: which requests are served, in which order, and which are rejected.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::Duration;

use crate::harness::*;
use crate::{cache_and_origin, failing_origin, quiet_discovery};

#[test]
fn a_hit_a_miss_and_a_write_are_served_and_only_the_time_left_is_changed_on_the_way() {
    let cache = cache(|words| Action::Respond(if words[1] == "aa" { hit("kept") } else { miss() }));
    let origin = origin(|_| Action::Respond(http_response(200, "", "made")));
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    assert_eq!(client.request(&command(&["PING"])).unwrap(), "+PONG");
    assert_eq!(client.request(&get("aa", "1d")).unwrap(), "kept");
    let seen = cache.next_request();
    assert_eq!(seen.words[..3], ["OBJ.GET", "aa", "1d"]);
    let (before, d) = seen.words[3].split_once("d=").unwrap();
    assert_eq!(before, "c=read,t=acme,");
    assert!((1..=8000).contains(&d.parse::<u32>().unwrap()), "{d}");
    assert_eq!(client.request(&get("bb", "2d")).unwrap(), "made");
    let fetched = origin.next_request().words;
    assert_eq!(fetched[0], "GET /bb HTTP/1.1");
    assert!(fetched.contains(&"X-Correlation-Id: 2d".to_string()));
    let facts = fetched.iter().find_map(|line| line.strip_prefix("X-Facts: ")).unwrap();
    let (before, d) = facts.split_once("d=").unwrap();
    assert_eq!(before, "c=read,t=acme,");
    assert!((1..=8000).contains(&d.parse::<u32>().unwrap()), "{d}");
    assert_eq!(client.request(&put("cc", "3d", "new")).unwrap(), "made");
    let written = origin.next_request().words;
    assert_eq!((written[0].as_str(), written.last().unwrap().as_str()), ("PUT /cc HTTP/1.1", "new"));
}

#[test]
fn responses_keep_command_order_with_pipelining_and_split_reads_and_a_slow_one_stalls_no_other() {
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(Some(released)));
    let cache = cache(move |words| match words[1].as_str() {
        "ee" => Action::RespondAfter(released.lock().unwrap().take().unwrap(), hit("slow")),
        key => Action::Respond(hit(key)),
    });
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    let all = [get("ee", "1"), get("f1", "2"), command(&["PING"]), get("f2", "3")].concat();
    for part in all.chunks(7) {
        client.send(part);
    }
    let mut seen: Vec<_> = (0..3).map(|_| cache.next_request().words[1].clone()).collect();
    seen.sort();
    assert_eq!(seen, ["ee", "f1", "f2"], "none waits for the slow response");
    assert_eq!(node.client().request(&get("f3", "4")).unwrap(), "f3", "nor does another client");
    release.send(()).unwrap();
    for expected in ["slow", "f1", "+PONG", "f2"] {
        assert_eq!(client.read_response().unwrap(), expected);
    }
}

#[test]
fn malformed_input_ends_in_an_error_and_a_close_and_harms_no_other_client() {
    let cache = cache(|words| Action::Respond(hit(&words[1])));
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut other = node.client();
    let flood = b"*0\r\n".repeat(20);
    for bad in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &flood[..],
        b"*-1\r\n",
        b"*2\r\n$99999999\r\n",
        b"*-5\r\n",
        b"*1\r\n$2\r\nabcd\r\n",
    ] {
        let mut client = node.client();
        client.send(&get("aa", "1"));
        client.send(bad);
        assert_eq!(client.read_response().unwrap(), "aa", "the command before it is served");
        assert!(client.read_response().unwrap().starts_with("-ERR"), "{bad:?}");
        assert_eq!(client.read_response(), None, "closed after {bad:?}");
        assert_eq!(other.request(&get("bb", "2")).unwrap(), "bb");
    }
    let unknown_class = command(&["OBJ.GET", "aa", "9", "c=nope,t=acme,d=100"]);
    let too_few_words = command(&["OBJ.GET", "aa"]);
    let key_with_line_break = command(&["OBJ.GET", "a\r\nb", "9", "c=read,t=acme,d=100"]);
    for bad in [unknown_class, too_few_words, key_with_line_break, command(&["FLUSHALL"])] {
        assert!(other.request(&bad).unwrap().starts_with("-ERR"), "well framed, so an error response");
        assert_eq!(other.request(&get("cc", "3")).unwrap(), "cc", "the connection stays usable");
    }
}

#[test]
fn a_command_with_invalid_facts_is_rejected_and_not_sent_on() {
    let cache = cache(|words| Action::Respond(hit(&words[1])));
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let settings = settings().replace("side_effect", "token");
    let node = Node::start_with_settings(
        discovery,
        &cache_and_origin(cache.address, origin.address),
        256,
        "",
        &settings,
    );
    let mut client = node.client();
    for facts in [
        "c=read,t=acme",
        "c=read,d=100",
        "t=acme,d=100",
        "c=read,t=nobody,d=100",
        "c=read,t=acme,d=nan",
        "c=read,t=acme,d=inf",
        "c=read,t=acme,d=-5",
        "c=read,t=acme,d=1e3",
        "c=read,t=acme,d=",
        "c=read,t=acme,d=99999999999",
        "c=read,t=acme,d=100,d=200",
        "c=read,c=put,t=acme,d=100",
        "c=read,t=acme,d=100,r=yes",
        "c=read,t=acme,d=100,h=-1",
        "c=read,t=acme,d=100,size=NaN",
        "c=read,t=acme,d=100,what",
        "c=read,,t=acme,d=100",
        "",
    ] {
        let answer = client.request(&command(&["OBJ.GET", "bad", "1", facts])).unwrap();
        assert!(answer.starts_with("-ERR"), "{facts}: {answer}");
    }
    let without_k = command(&["OBJ.SET", "bad", "1", "c=put,t=acme,d=100", "v"]);
    assert!(client.request(&without_k).unwrap().starts_with("-ERR"));
    assert!(
        client.request(&command(&["OBJ.GET", "bad", "", "c=read,t=acme,d=100"])).unwrap().starts_with("-ERR")
    );
    let valid = command(&["OBJ.GET", "good", "1", "c=read,t=acme,d=480.5,r=1,h=1200,size=10.5,new=1"]);
    assert_eq!(client.request(&valid).unwrap(), "good");
    assert_eq!(cache.next_request().words[1], "good", "the only command that was sent on");
}

#[test]
fn the_id_of_another_clients_pending_request_is_rejected() {
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(Some(released)));
    let cache = cache(move |words| match released.lock().unwrap().take() {
        Some(released) => Action::RespondAfter(released, hit("mine")),
        None => Action::Respond(hit(&words[1])),
    });
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    client.send(&get("aa", "7"));
    cache.next_request();
    let mut other = node.client();
    assert!(other.request(&get("aa", "7")).unwrap().starts_with("-ERR"));
    assert_eq!(other.request(&get("bb", "8")).unwrap(), "bb", "the next request that reaches the server");
    assert_eq!(cache.next_request().words[2], "8");
    release.send(()).unwrap();
    assert_eq!(client.read_response().unwrap(), "mine");
    assert_eq!(other.request(&get("cc", "7")).unwrap(), "cc", "an id is free once its request is answered");
}

#[test]
fn values_longer_than_clients_may_send_are_passed_on() {
    // Guards against a node that treats responses with such long values as malformed, as seen in a run with
    // slow clients, where a quarter of the responses were longer than clients may send.
    let long = "v".repeat(400_000);
    let value = long.clone();
    let cache = cache(move |words| Action::Respond(if words[1] == "aa" { hit(&value) } else { miss() }));
    let value = long.clone();
    let origin = origin(move |_| Action::Respond(http_response(200, "", &value)));
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    for (key, id) in [("aa", "1"), ("bb", "2"), ("aa", "3")] {
        assert!(client.request(&get(key, id)).unwrap() == long, "{key}");
    }
}

#[test]
fn a_client_that_reads_no_responses_stalls_no_other() {
    let value = "x".repeat(60_000);
    let cache = cache(move |_| Action::Respond(hit(&value)));
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut slow = node.client();
    // The slow client requests far more than the buffers hold, in its own thread because its writes may
    // block.
    let mut out = slow.out.try_clone().unwrap();
    let writer =
        std::thread::spawn(move || (0..200).try_for_each(|id| out.write_all(&get("aa", &id.to_string()))));
    let mut other = node.client();
    // The decision module may reject requests while the only cache server seems full. A stalled node would
    // send no response at all.
    let served =
        (0..100_000).filter(|id| other.request(&get("bb", &format!("o{id}"))).unwrap().len() == 60_000);
    assert_eq!(served.take(5).count(), 5);
    for _ in 0..200 {
        let answer = slow.read_response().unwrap();
        assert!(answer.len() == 60_000 || answer == "-BUSY", "complete or rejected");
    }
    writer.join().unwrap().unwrap();
    let _ = node.log.recv_timeout(Duration::ZERO);
}
