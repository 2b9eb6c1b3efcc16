//! A change of the server list, or the end of a call to discovery, races with requests and other calls.

use super::*;

#[test]
fn a_server_drained_while_a_connection_to_it_opens_gets_no_request() {
    let (full_queue, second, origin) = (FullListenQueue::new(), named_cache("second"), failing_origin());
    let (discovery, updates, _calls) = quiet_discovery();
    let node = Node::start_with_mgmt_and_settings(
        discovery,
        &cache_and_origin(full_queue.address, origin.address),
        &long_connect_timeout(),
    );
    let mut client = node.client();
    client.send(&get("aa", "1"));
    node.wait_for_metric("in_flight", 1);
    let entries =
        [entry("s-1", full_queue.address, "std", "leaving"), entry("s-2", second.address, "std", "active")];
    updates.send(chunk(&server_list(6, false, &entries))).unwrap();
    // Once the second server is used, the update with both entries has taken effect.
    let mut other = node.client();
    let short = command(&["OBJ.GET", "bb", "2", "c=read,t=acme,d=100"]);
    assert!((0..50).any(|_| other.request(&short).unwrap() == "second"), "the list never took effect");
    assert_eq!(full_queue.received_bytes(), b"", "a draining server got bytes");
    assert_eq!(client.read_response().unwrap(), "second", "the request is served by the other server");
}

#[test]
fn a_silent_watch_is_replaced_at_once_also_after_a_watch_without_updates() {
    let (first, second) = (named_cache("first"), named_cache("second"));
    let discovery = ManualDiscovery::new();
    let known = server_list(5, true, &two_cache_entries(first.address, second.address, "active"));
    let node = Node::start_with_settings(discovery.address, &known, 256, "", &long_poll_interval());
    // Both watches stay open and silent.
    let _silent = discovery.open_watch(&[server_list(5, false, &[])]);
    let _without_updates = discovery.open_watch(&["\n".into()]);
    // An update that the silent watch missed counts as received six seconds after the watch fell silent.
    let _watch =
        discovery.open_watch(&[server_list(6, false, &[entry("s-1", first.address, "std", "leaving")])]);
    assert_drained(&node, "first");
}

#[test]
fn after_any_failure_discovery_is_called_again_soon_even_with_a_long_poll_interval() {
    let (first, second) = (named_cache("first"), named_cache("second"));
    let discovery = ManualDiscovery::new();
    let known = server_list(5, true, &two_cache_entries(first.address, second.address, "active"));
    // A retry after a fraction of `askWithinUs` would come after half a minute at the earliest.
    let node = Node::start_with_settings(discovery.address, &known, 256, "", &long_poll_interval());
    let call = || discovery.calls.recv_timeout(TEST_TIMEOUT).expect("a call to discovery").1;
    call().write_all(&http_response(503, "", "")).unwrap();
    let reset = call();
    set_socket_linger(&reset, Some(Duration::ZERO)).unwrap();
    drop(reset);
    call().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{{{").unwrap();
    // Two calls without an answer, which the node abandons.
    let _unanswered = (call(), call());
    let _watch =
        discovery.open_watch(&[server_list(6, false, &[entry("s-1", first.address, "std", "leaving")])]);
    assert_drained(&node, "first");
}

#[test]
fn a_call_answered_after_the_next_was_made_becomes_the_watch() {
    let (first, second) = (named_cache("first"), named_cache("second"));
    let discovery = ManualDiscovery::new();
    let known = server_list(5, true, &two_cache_entries(first.address, second.address, "active"));
    let node = Node::start(discovery.address, &known);
    let (_, mut late) = discovery.calls.recv_timeout(TEST_TIMEOUT).expect("a call to discovery");
    let (_, mut next) = discovery.calls.recv_timeout(TEST_TIMEOUT).expect("a second call beside the first");
    let drained = server_list(6, false, &[entry("s-1", first.address, "std", "leaving")]);
    // The answer arrives in pieces, the first of them before the node can tell which call is answered first.
    let answer = [watch_head(), chunk(&drained)].concat();
    late.write_all(&answer[..5]).unwrap();
    late.write_all(&answer[5..]).unwrap();
    assert_drained(&node, "first");
    next.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert_eq!(next.read(&mut [0]).unwrap(), 0, "the second call is closed");
}

#[test]
fn a_late_answer_to_a_call_from_before_a_reload_is_ignored() {
    let (first, second) = (named_cache("first"), named_cache("second"));
    let (old, new) = (ManualDiscovery::new(), ManualDiscovery::new());
    let known = server_list(5, true, &two_cache_entries(first.address, second.address, "active"));
    // The poll interval is long enough that no second call is made before the signal takes effect.
    let settings = settings().replace(r#""askWithinUs":1000000"#, r#""askWithinUs":3000000"#);
    let node = Node::start_with_settings(old.address, &known, 256, "", &settings);
    let (_, mut late) = old.calls.recv_timeout(TEST_TIMEOUT).unwrap();
    let mut logged = std::iter::from_fn(|| node.log.recv_timeout(TEST_TIMEOUT).ok());
    assert!(logged.any(|line| line.contains("no answer in time")));
    node.reload(Ok(new.address));
    let (_, mut watch) = new.calls.recv_timeout(TEST_TIMEOUT).unwrap();
    // The late answer comes before the answer of the new discovery.
    let again = server_list(99, true, &two_cache_entries(first.address, second.address, "active"));
    let _ = late.write_all(&[watch_head(), chunk(&again)].concat());
    watch.write_all(&watch_head()).unwrap();
    watch
        .write_all(&chunk(&server_list(
            2,
            true,
            &two_cache_entries(first.address, second.address, "leaving"),
        )))
        .unwrap();
    assert_drained(&node, "first");
}

#[test]
fn a_discovery_that_closes_watches_without_updates_is_called_again_without_delay() {
    let (first, second) = (named_cache("first"), named_cache("second"));
    let discovery = ManualDiscovery::new();
    let known = server_list(5, true, &two_cache_entries(first.address, second.address, "active"));
    let node = Node::start_with_pushed_lists(discovery.address, &known);
    let mut pauses = Vec::new();
    for _ in 0..8 {
        let watch = discovery.open_watch(&[]);
        let _ = watch.shutdown(Shutdown::Both);
        let ended = Instant::now();
        let (_, next) = discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap();
        pauses.push(ended.elapsed());
        let _ = next.shutdown(Shutdown::Both);
    }
    // The limit is half a second. A busy machine may exceed it in some pauses, but not in all.
    let shortest = pauses[4..].iter().min().unwrap();
    assert!(*shortest < Duration::from_millis(500), "{pauses:?}");
    let _watch =
        discovery.open_watch(&[server_list(6, false, &[entry("s-1", first.address, "std", "leaving")])]);
    assert_drained(&node, "first");
}

#[test]
fn a_discovery_that_was_silent_takes_effect_as_soon_as_it_answers_also_in_a_new_process() {
    let (first, second) = (named_cache("first"), named_cache("second"));
    let discovery = ManualDiscovery::new();
    let known = server_list(5, true, &two_cache_entries(first.address, second.address, "active"));
    let node = Node::start_with_pushed_lists(discovery.address, &known);
    // Discovery is down: each call is accepted and not answered. The next call does not wait for an answer.
    let mut held = Vec::new();
    let begun = Instant::now();
    while held.len() < 4 {
        held.push(discovery.calls.recv_timeout(TEST_TIMEOUT).expect("a call beside the unanswered ones").1);
    }
    assert!(begun.elapsed() < Duration::from_secs(8), "{:?} for four calls", begun.elapsed());
    // The process has just started and knows only an old list.
    let _watch =
        discovery.open_watch(&[server_list(6, false, &[entry("s-1", first.address, "std", "leaving")])]);
    assert_drained(&node, "first");
}

#[test]
fn messages_of_the_old_discovery_after_a_reload_are_ignored() {
    for pushed in [true, false] {
        let (first, second) = (named_cache("first"), named_cache("second"));
        let (old, new) = (ManualDiscovery::new(), ManualDiscovery::new());
        let known = server_list(5, true, &two_cache_entries(first.address, second.address, "active"));
        let node = match pushed {
            true => Node::start_with_pushed_lists(old.address, &known),
            false => Node::start(old.address, &known),
        };
        let mut old_watch = old.open_watch(&[]);
        node.reload(Ok(new.address));
        // Versions of the new discovery start anew. The old discovery sends a list after the node has called
        // the new one.
        let (call, mut watch) = new.calls.recv_timeout(TEST_TIMEOUT).unwrap();
        assert_eq!(call, "GET /v1/servers?watch=1 HTTP/1.1", "the node requests the whole list");
        let again = server_list(99, true, &two_cache_entries(first.address, second.address, "active"));
        let _ = old_watch.write_all(&chunk(&again));
        watch.write_all(&watch_head()).unwrap();
        let leaving = server_list(2, true, &two_cache_entries(first.address, second.address, "leaving"));
        watch.write_all(&chunk(&leaving)).unwrap();
        assert_drained(&node, "first");
        let _ = old_watch.write_all(&chunk(&again));
        assert_drained(&node, "first");
    }
}

#[test]
fn a_whole_list_older_than_a_drain_does_not_undo_it() {
    let (first, second, third) = (named_cache("first"), named_cache("second"), named_cache("third"));
    let discovery = ManualDiscovery::new();
    let known = server_list(5, true, &two_cache_entries(first.address, second.address, "active"));
    let node = Node::start(discovery.address, &known);
    let watch =
        discovery.open_watch(&[server_list(41, false, &[entry("s-1", first.address, "std", "leaving")])]);
    assert_drained(&node, "first");
    let _ = watch.shutdown(Shutdown::Both);
    let mut whole = two_cache_entries(first.address, second.address, "active");
    whole.push(entry("s-3", third.address, "std", "active"));
    let _watch = discovery.open_watch(&[server_list(40, true, &whole)]);
    // The list has taken effect once the third server, which only this list names, is used.
    let mut client = node.client();
    let mut keys = 0..100_000;
    assert!(
        keys.any(|key| client.request(&get(&format!("{key:x}"), "1")).unwrap() == "third"),
        "the list never took effect"
    );
    for key in 0..200 {
        assert_ne!(client.request(&get(&format!("{key:x}"), "1")).unwrap(), "first");
    }
}

#[test]
fn lists_on_a_watch_may_be_indented_and_split_anywhere() {
    let (first, second) = (named_cache("first"), named_cache("second"));
    let discovery = ManualDiscovery::new();
    let known = server_list(5, true, &two_cache_entries(first.address, second.address, "active"));
    let node = Node::start_with_settings(discovery.address, &known, 256, "", &long_poll_interval());
    let list = server_list(6, false, &[entry("s-1", first.address, "std", "leaving")]);
    let value: serde_json::Value = serde_json::from_str(&list).unwrap();
    let indented = serde_json::to_string_pretty(&value).unwrap() + "\n";
    assert!(indented.lines().count() > 5);
    let parts: Vec<_> =
        indented.as_bytes().chunks(7).map(|part| String::from_utf8_lossy(part).into()).collect();
    let _watch = discovery.open_watch(&parts);
    assert_drained(&node, "first");
}
