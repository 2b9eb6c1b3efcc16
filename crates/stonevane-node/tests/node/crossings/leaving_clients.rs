//! A client disconnects while its requests are in progress.

use super::*;

#[test]
fn a_request_is_not_sent_if_its_client_disconnects_while_the_connection_opens() {
    for reset in [false, true] {
        let (full_queue, origin) = (FullListenQueue::new(), failing_origin());
        let (discovery, _updates, _calls) = quiet_discovery();
        let node = Node::start_with_mgmt_and_settings(
            discovery,
            &cache_and_origin(full_queue.address, origin.address),
            &long_connect_timeout(),
        );
        let mut client = node.client();
        client.send(&get("aa", "1"));
        node.wait_for_metric("in_flight", 1);
        disconnect(client, reset);
        node.wait_for_metric("in_flight", 0);
        assert_eq!(full_queue.received_bytes(), b"", "a request was sent after its client had disconnected");
    }
}

#[test]
fn requests_held_back_by_the_origin_limits_are_not_sent_after_their_clients_disconnect() {
    let latch = Latch::default();
    let at_origin = latch.clone();
    let (cache, origin) = (
        named_cache("hit"),
        origin(move |_| Action::RespondWhenOpen(at_origin.clone(), http_response(200, "", "ok"))),
    );
    let (discovery, _updates, _calls) = quiet_discovery();
    let node =
        Node::start_with_mgmt(discovery, &cache_and_origin(cache.address, origin.address), &temp_folder());
    let mut clients = Vec::new();
    // The order is fixed: the node accepts each request before the next is sent.
    for n in 1..=40 {
        let mut client = node.client();
        client.send(&put(&format!("{n:x}"), &n.to_string(), "v"));
        node.wait_for_metric("in_flight", n);
        clients.push(client);
    }
    // The last ten wait in the node. The others are at the origin, which holds its responses back.
    for (index, client) in clients.split_off(30).into_iter().enumerate() {
        disconnect(client, index % 2 == 0);
    }
    node.wait_for_metric("in_flight", 30);
    latch.open();
    for client in &mut clients {
        assert_eq!(client.read_response().unwrap(), "ok");
    }
    // The origin limits admit requests again. A waiting request is retried after at most 13 ms, a twentieth
    // of a latency objective.
    let (begun, mut last, mut more) = (Instant::now(), node.client(), 0);
    while begun.elapsed() < Duration::from_millis(300) {
        more += 1;
        assert_eq!(last.request(&put("ff", &format!("{more}f"), "v")).unwrap(), "ok");
    }
    let seen: Vec<_> = std::iter::from_fn(|| origin.received.try_recv().ok())
        .filter_map(|seen| seen.words.first()?.split(' ').nth(1).map(str::to_owned))
        .filter(|key| key != "/ff")
        .collect();
    assert_eq!(seen.len(), 30, "{seen:?}");
    assert!((31..=40).all(|n| !seen.contains(&format!("/{n:x}"))), "{seen:?}");
}

#[test]
fn pipelined_requests_are_not_sent_on_after_their_client_disconnects() {
    for reset in [false, true] {
        let latch = Latch::default();
        let at_cache = latch.clone();
        let cache = cache(move |_| Action::RespondWhenOpen(at_cache.clone(), hit("late")));
        let (origin, (discovery, _updates, _calls)) = (failing_origin(), quiet_discovery());
        // Raises the limit of attempts in flight after a start. Otherwise some requests would be rejected,
        // and writing a rejection would reveal that the client has disconnected.
        let operator = config_file("[start]\neach = 1000\n");
        let shell_prefix = format!("set -- --operator {};", operator.display());
        let known = cache_and_origin(cache.address, origin.address);
        let node =
            Node::start_with_mgmt_and_command(discovery, &known, &temp_folder(), &shell_prefix, |_| {});
        let mut client = node.client();
        // The deadline of these reads is far later than the end of the test, so only the disconnect ends
        // them.
        let read = |n: u32| command(&["OBJ.GET", &format!("{n:x}"), &n.to_string(), "c=read,t=acme,d=60000"]);
        let all: Vec<u8> = (0..300).flat_map(read).collect();
        client.send(&all);
        node.wait_for_metric("in_flight", 16);
        // Most of the requests are still unread in the socket when the client disconnects.
        disconnect(client, reset);
        node.wait_for_metric("in_flight", 0);
        latch.open();
        let mut other = node.client();
        // The server has looked slow for a moment, so the first requests may be rejected.
        let mut served = (0..10_000).map(|n| other.request(&get("fff", &format!("{n}f"))).unwrap());
        assert!(served.any(|answer| answer == "late"));
        let mut seen = 0;
        while cache.next_request().words[1] != "fff" {
            seen += 1;
        }
        assert!(seen <= 16, "{seen} of 300 were sent on, some after the disconnect");
    }
}

#[test]
fn requests_behind_unread_responses_are_not_sent_on_after_their_client_disconnects() {
    let long = "v".repeat(400_000);
    let cache = cache(move |words| Action::Respond(hit(if words[1] == "fff" { "last" } else { &long })));
    let (origin, (discovery, _updates, _calls)) = (failing_origin(), quiet_discovery());
    // Attempts of a client that has left would count against the startup limit of the last request.
    let known = cache_and_origin(cache.address, origin.address);
    let config = with_mgmt_address(&config(discovery, &known, 256, settings()));
    let node = Node::start_with_config_and_operator_file(discovery, &config, NO_STARTUP_LIMIT);
    let mut client = node.client();
    let all: Vec<u8> = (0..60).flat_map(|n| get(&format!("{n:x}"), &n.to_string())).collect();
    client.send(&all);
    // The client reads nothing, so the writer of its responses blocks and its further requests wait.
    cache.next_request();
    disconnect(client, true);
    node.wait_for_metric("in_flight", 0);
    assert_eq!(node.client().request(&get("fff", "999")).unwrap(), "last");
    let mut seen = 1;
    while cache.next_request().words[1] != "fff" {
        seen += 1;
    }
    assert!(seen < 60, "all requests were sent on");
}

/// How a first attempt ends, so that another attempt follows.
#[derive(Clone, Copy, Debug)]
enum FirstEnd {
    Busy,
    Reset,
    Miss,
    OriginBusy,
}

/// Number of further attempts of a request whose first attempt ends as `first_end`. Before that end the
/// client stays connected (`None`) or disconnects, by a reset (`Some(true)`) or a close (`Some(false)`).
fn further_attempts(first_end: FirstEnd, disconnect_by_reset: Option<bool>) -> usize {
    let (attempts, latch) = (Arc::new(AtomicUsize::new(0)), Latch::default());
    let (counted, held) = (attempts.clone(), latch.clone());
    let at_cache = move |words: &[String]| {
        if words[1] != "aa" {
            return Action::Respond(hit("other"));
        }
        match first_end {
            _ if counted.fetch_add(1, Ordering::SeqCst) > 0 => Action::Respond(hit("again")),
            FirstEnd::Busy => Action::RespondWhenOpen(held.clone(), b"-BUSY\r\n".to_vec()),
            FirstEnd::Reset => Action::RespondThenClose(held.clone(), Vec::new()),
            FirstEnd::Miss => Action::RespondWhenOpen(held.clone(), miss()),
            FirstEnd::OriginBusy => Action::Respond(miss()),
        }
    };
    let (counted, held) = (attempts.clone(), latch.clone());
    let origin = origin(move |_| match (first_end, counted.fetch_add(1, Ordering::SeqCst)) {
        (FirstEnd::OriginBusy, 1) => {
            Action::RespondWhenOpen(held.clone(), http_response(503, "X-Unprocessed: 1\r\n", ""))
        }
        _ => Action::Respond(http_response(200, "", "again")),
    });
    let caches = [cache(at_cache.clone()), cache(at_cache)];
    let mut entries = two_cache_entries(caches[0].address, caches[1].address, "active");
    entries[2] = entry("o-1", origin.address, "origin", "active");
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start_with_mgmt(discovery, &server_list(5, true, &entries), &temp_folder());
    let mut client = node.client();
    client.send(&get("aa", "1"));
    let first = if matches!(first_end, FirstEnd::OriginBusy) { 2 } else { 1 };
    let end = Instant::now() + TEST_TIMEOUT;
    while attempts.load(Ordering::SeqCst) < first {
        assert!(Instant::now() < end, "{first_end:?}: no attempt");
        std::thread::sleep(Duration::from_millis(1));
    }
    if let Some(reset) = disconnect_by_reset {
        disconnect(client, reset);
        node.wait_for_metric("in_flight", 0);
        latch.open();
    } else {
        latch.open();
        assert_eq!(client.read_response().unwrap(), "again", "{first_end:?}");
    }
    // A call that is held back is retried after at most 13 ms, any other one at once.
    let (begun, mut other, mut more) = (Instant::now(), node.client(), 0);
    while begun.elapsed() < Duration::from_millis(200) {
        more += 1;
        assert!(other.request(&get("bb", &format!("{more}f"))).is_some());
        // Stays within the tenant's quota.
        std::thread::sleep(Duration::from_millis(2));
    }
    attempts.load(Ordering::SeqCst) - first
}

#[test]
fn no_further_attempt_follows_for_a_client_that_has_disconnected() {
    let mut sent = Vec::new();
    for first_end in [FirstEnd::Busy, FirstEnd::Reset, FirstEnd::Miss, FirstEnd::OriginBusy] {
        assert_eq!(
            further_attempts(first_end, None),
            1,
            "{first_end:?}: a client that stays has one further attempt"
        );
        for reset in [false, true] {
            if further_attempts(first_end, Some(reset)) > 0 {
                sent.push((first_end, reset));
            }
        }
    }
    assert!(sent.is_empty(), "further attempts were sent (end of the first, disconnect by reset): {sent:?}");
}

/// Number of hedged copies of a read that a cache server never answers. `None`: the client disconnected too
/// late for a result, which a busy machine can cause.
fn hedged_copies(disconnects_before: bool) -> Option<usize> {
    // A read is hedged after two fifths of its latency objective.
    const HEDGE_DELAY: Duration = Duration::from_secs(2);
    let settings = settings()
        .replacen(r#""goalTimeUs":250000"#, r#""goalTimeUs":5000000"#, 1)
        .replace(r#""mayDuplicate":false"#, r#""mayDuplicate":true"#);
    let hangs =
        |words: &[String]| if words[1] == "aa" { Action::Hang } else { Action::Respond(hit("other")) };
    let (caches, origin) = ([cache(hangs), cache(hangs)], failing_origin());
    let mut entries = two_cache_entries(caches[0].address, caches[1].address, "active");
    entries[2] = entry("o-1", origin.address, "origin", "active");
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start_with_mgmt_and_settings(discovery, &server_list(5, true, &entries), &settings);
    let (begun, mut client) = (Instant::now(), node.client());
    client.send(&get("aa", "1"));
    node.wait_for_metric("attempts", 1);
    let connected_client = if disconnects_before {
        disconnect(client, false);
        node.wait_for_metric("in_flight", 0);
        None
    } else {
        Some(client)
    };
    if begun.elapsed() >= HEDGE_DELAY {
        return None;
    }
    if connected_client.is_some() {
        node.wait_for_metric("attempts", 2);
    }
    std::thread::sleep((HEDGE_DELAY + Duration::from_millis(300)).saturating_sub(begun.elapsed()));
    assert_eq!(node.client().request(&get("bb", "2")).unwrap(), "other");
    let seen =
        caches.iter().flat_map(|cache| cache.received.try_iter()).filter(|seen| !seen.words.is_empty());
    Some(seen.filter(|seen| seen.words[1] == "aa").count() - 1)
}

#[test]
fn no_hedged_copy_is_sent_for_a_client_that_has_disconnected() {
    let copies = |disconnects| {
        (0..5).find_map(|_| hedged_copies(disconnects)).expect("a client that disconnects in time")
    };
    assert_eq!(copies(false), 1, "a client that stays has one hedged copy");
    assert_eq!(copies(true), 0);
}
