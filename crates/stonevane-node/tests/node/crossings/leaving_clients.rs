//! A client leaves while its requests are in progress.

use super::*;

#[test]
fn a_client_that_leaves_while_a_connection_opens_has_nothing_sent() {
    for reset in [false, true] {
        let (shut, origin) = (Shut::new(), no_origin());
        let (discovery, _say, _calls) = quiet();
        let node = Node::start_managed_with_settings(
            discovery,
            &pair(shut.address, origin.address),
            &slow_to_open(),
        );
        let mut client = node.client();
        client.send(&get("aa", "1"));
        node.until("in_flight", 1);
        leaves(client, reset);
        node.until("in_flight", 0);
        assert_eq!(shut.brings(), b"", "its client had left");
    }
}

#[test]
fn clients_that_leave_while_the_gate_holds_their_requests_back_have_nothing_sent() {
    let latch = Latch::default();
    let at_origin = latch.clone();
    let (cache, origin) =
        (says("hit"), origin(move |_| Act::SayWhen(at_origin.clone(), http(200, "", "ok"))));
    let (discovery, _say, _calls) = quiet();
    let node = Node::start_managed(discovery, &pair(cache.address, origin.address), &folder());
    let mut clients = Vec::new();
    // In this order: each is known to have been taken before the next is sent.
    for n in 1..=40 {
        let mut client = node.client();
        client.send(&put(&format!("{n:x}"), &n.to_string(), "v"));
        node.until("in_flight", n);
        clients.push(client);
    }
    // So many that the last ten wait; those that have gone out by now are with the origin, whose answers are held.
    for (place, client) in clients.split_off(30).into_iter().enumerate() {
        leaves(client, place % 2 == 0);
    }
    node.until("in_flight", 30);
    latch.open();
    for client in &mut clients {
        assert_eq!(client.answer().unwrap(), "ok");
    }
    // The gate is open, and what waits before it comes again after 13 ms at the most: an aim's twentieth.
    let (begun, mut last, mut more) = (Instant::now(), node.client(), 0);
    while begun.elapsed() < Duration::from_millis(300) {
        more += 1;
        assert_eq!(last.ask(&put("ff", &format!("{more}f"), "v")).unwrap(), "ok");
    }
    let seen: Vec<_> = std::iter::from_fn(|| origin.seen.try_recv().ok())
        .filter_map(|seen| seen.words.first()?.split(' ').nth(1).map(str::to_owned))
        .filter(|key| key != "/ff")
        .collect();
    assert_eq!(seen.len(), 30, "{seen:?}");
    assert!((31..=40).all(|n| !seen.contains(&format!("/{n:x}"))), "{seen:?}");
}

#[test]
fn a_client_that_sends_much_at_once_and_goes_has_the_rest_not_sent() {
    for reset in [false, true] {
        let latch = Latch::default();
        let at_cache = latch.clone();
        let cache = cache(move |_| Act::SayWhen(at_cache.clone(), hit("late")));
        let (origin, (discovery, _say, _calls)) = (no_origin(), quiet());
        // With more than a share of a start, or some would be refused, and the write to a client that has gone would tell.
        let operator = config_file("[start]\neach = 1000\n");
        let before = format!("set -- --operator {};", operator.display());
        let known = pair(cache.address, origin.address);
        let node = Node::start_managed_with(discovery, &known, &folder(), &before, |_| {});
        let mut client = node.client();
        // Their time is far longer than the test's: nothing but the client's leaving ends them.
        let ask = |n: u32| command(&["OBJ.GET", &format!("{n:x}"), &n.to_string(), "c=read,t=acme,d=60000"]);
        let all: Vec<u8> = (0..300).flat_map(ask).collect();
        client.send(&all);
        node.until("in_flight", 16);
        // Most of it stands in the socket, ahead of the end.
        leaves(client, reset);
        node.until("in_flight", 0);
        latch.open();
        let mut other = node.client();
        // The server has looked slow for a moment.
        let mut served = (0..10_000).map(|n| other.ask(&get("fff", &format!("{n}f"))).unwrap());
        assert!(served.any(|answer| answer == "late"));
        let mut seen = 0;
        while cache.next().words[1] != "fff" {
            seen += 1;
        }
        assert!(seen <= 16, "{seen} of 300 were sent on, some after it had left");
    }
}

#[test]
fn a_client_that_leaves_answers_it_does_not_take_has_the_rest_not_sent() {
    let long = "v".repeat(400_000);
    let cache = cache(move |words| Act::Say(hit(if words[1] == "fff" { "last" } else { &long })));
    let (origin, (discovery, _say, _calls)) = (no_origin(), quiet());
    let node = Node::start_managed(discovery, &pair(cache.address, origin.address), &folder());
    let mut client = node.client();
    let all: Vec<u8> = (0..60).flat_map(|n| get(&format!("{n:x}"), &n.to_string())).collect();
    client.send(&all);
    // It reads nothing, so that a writer stands, and what it sent behind waits.
    cache.next();
    leaves(client, true);
    node.until("in_flight", 0);
    assert_eq!(node.client().ask(&get("fff", "999")).unwrap(), "last");
    let mut seen = 1;
    while cache.next().words[1] != "fff" {
        seen += 1;
    }
    assert!(seen < 60, "all were sent on");
}

/// How an attempt ends, so that another begins.
#[derive(Clone, Copy, Debug)]
enum Ends {
    Busy,
    Reset,
    Miss,
    OriginBusy,
}

/// How many further attempts a request has, the first of which ends so; its client stays, or leaves by a reset or not
/// before that end.
fn further_attempts(how: Ends, left_by_reset: Option<bool>) -> usize {
    let (asked, latch) = (Arc::new(AtomicUsize::new(0)), Latch::default());
    let (counted, held) = (asked.clone(), latch.clone());
    let at_cache = move |words: &[String]| {
        if words[1] != "aa" {
            return Act::Say(hit("other"));
        }
        match how {
            _ if counted.fetch_add(1, Ordering::SeqCst) > 0 => Act::Say(hit("again")),
            Ends::Busy => Act::SayWhen(held.clone(), b"-BUSY\r\n".to_vec()),
            Ends::Reset => Act::SayThenClose(held.clone(), Vec::new()),
            Ends::Miss => Act::SayWhen(held.clone(), miss()),
            Ends::OriginBusy => Act::Say(miss()),
        }
    };
    let (counted, held) = (asked.clone(), latch.clone());
    let origin = origin(move |_| match (how, counted.fetch_add(1, Ordering::SeqCst)) {
        (Ends::OriginBusy, 1) => Act::SayWhen(held.clone(), http(503, "X-Unprocessed: 1\r\n", "")),
        _ => Act::Say(http(200, "", "again")),
    });
    let caches = [cache(at_cache.clone()), cache(at_cache)];
    let mut entries = two(caches[0].address, caches[1].address, "active");
    entries[2] = entry("o-1", origin.address, "origin", "active");
    let (discovery, _say, _calls) = quiet();
    let node = Node::start_managed(discovery, &listing(5, true, &entries), &folder());
    let mut client = node.client();
    client.send(&get("aa", "1"));
    let first = if matches!(how, Ends::OriginBusy) { 2 } else { 1 };
    let end = Instant::now() + LONG;
    while asked.load(Ordering::SeqCst) < first {
        assert!(Instant::now() < end, "{how:?}: no attempt");
        std::thread::sleep(Duration::from_millis(1));
    }
    if let Some(reset) = left_by_reset {
        leaves(client, reset);
        node.until("in_flight", 0);
        latch.open();
    } else {
        latch.open();
        assert_eq!(client.answer().unwrap(), "again", "{how:?}");
    }
    // A blocked call comes again after 13 ms at the most, all else at once.
    let (begun, mut other, mut more) = (Instant::now(), node.client(), 0);
    while begun.elapsed() < Duration::from_millis(200) {
        more += 1;
        assert!(other.ask(&get("bb", &format!("{more}f"))).is_some());
        // Within the tenant's quota.
        std::thread::sleep(Duration::from_millis(2));
    }
    asked.load(Ordering::SeqCst) - first
}

#[test]
fn no_further_attempt_begins_for_a_client_that_has_left() {
    let mut sent = Vec::new();
    for how in [Ends::Busy, Ends::Reset, Ends::Miss, Ends::OriginBusy] {
        assert_eq!(further_attempts(how, None), 1, "{how:?}: for one that stays there is one");
        for reset in [false, true] {
            if further_attempts(how, Some(reset)) > 0 {
                sent.push((how, reset));
            }
        }
    }
    assert!(sent.is_empty(), "sent on, and whether the client left by a reset: {sent:?}");
}

/// How many second copies a read has that a cache server never answers; `None` where the client left too late to tell,
/// since a busy machine may take its time.
fn second_copies(leaves_before: bool) -> Option<usize> {
    // A read is slow from two fifths of its goal on.
    const SLOW: Duration = Duration::from_secs(2);
    let settings = settings()
        .replacen(r#""goalTimeUs":250000"#, r#""goalTimeUs":5000000"#, 1)
        .replace(r#""mayDuplicate":false"#, r#""mayDuplicate":true"#);
    let hangs = |words: &[String]| if words[1] == "aa" { Act::Hang } else { Act::Say(hit("other")) };
    let (caches, origin) = ([cache(hangs), cache(hangs)], no_origin());
    let mut entries = two(caches[0].address, caches[1].address, "active");
    entries[2] = entry("o-1", origin.address, "origin", "active");
    let (discovery, _say, _calls) = quiet();
    let node = Node::start_managed_with_settings(discovery, &listing(5, true, &entries), &settings);
    let (begun, mut client) = (Instant::now(), node.client());
    client.send(&get("aa", "1"));
    node.until("attempts", 1);
    let stays = if leaves_before {
        leaves(client, false);
        node.until("in_flight", 0);
        None
    } else {
        Some(client)
    };
    if begun.elapsed() >= SLOW {
        return None;
    }
    if stays.is_some() {
        node.until("attempts", 2);
    }
    std::thread::sleep((SLOW + Duration::from_millis(300)).saturating_sub(begun.elapsed()));
    assert_eq!(node.client().ask(&get("bb", "2")).unwrap(), "other");
    let seen = caches.iter().flat_map(|cache| cache.seen.try_iter()).filter(|seen| !seen.words.is_empty());
    Some(seen.filter(|seen| seen.words[1] == "aa").count() - 1)
}

#[test]
fn no_second_copy_is_sent_for_a_client_that_has_left() {
    let copies = |leaves| (0..5).find_map(|_| second_copies(leaves)).expect("a client that leaves in time");
    assert_eq!(copies(false), 1, "for one that stays there is one");
    assert_eq!(copies(true), 0);
}
