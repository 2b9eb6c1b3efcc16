//! A change of the endpoint list, or the end of a call to discovery, crosses requests and other calls.

use super::*;

#[test]
fn a_drain_told_while_a_connection_opens_sends_nothing_there() {
    let (shut, second, origin) = (Shut::new(), says("second"), no_origin());
    let (discovery, say, _calls) = quiet();
    let node =
        Node::start_managed_with_settings(discovery, &pair(shut.address, origin.address), &slow_to_open());
    let mut client = node.client();
    client.send(&get("aa", "1"));
    node.until("in_flight", 1);
    let entries =
        [entry("s-1", shut.address, "std", "leaving"), entry("s-2", second.address, "std", "active")];
    say.send(chunk(&listing(6, false, &entries))).unwrap();
    // Once the second server is used, the list that tells of both is in force.
    let mut other = node.client();
    let brief = command(&["OBJ.GET", "bb", "2", "c=read,t=acme,d=100"]);
    assert!((0..50).any(|_| other.ask(&brief).unwrap() == "second"), "the list never took effect");
    assert_eq!(shut.brings(), b"", "not a byte once it is told to leave");
    assert_eq!(client.answer().unwrap(), "second", "and it was not lost");
}

#[test]
fn a_watch_that_falls_silent_is_made_anew_at_once_also_behind_one_that_told_nothing() {
    let (first, second) = (says("first"), says("second"));
    let agent = Agent::new();
    let known = listing(5, true, &two(first.address, second.address, "active"));
    let node = Node::start_in(agent.address, &known, 256, "", &patient());
    // Each stays open, and brings nothing more.
    let _silent = agent.answer(&[listing(5, false, &[])]);
    let _quiet = agent.answer(&["\n".into()]);
    // What it missed counts as told six seconds after it fell silent.
    let _watch = agent.answer(&[listing(6, false, &[entry("s-1", first.address, "std", "leaving")])]);
    left(&node, "first");
}

#[test]
fn however_calls_to_discovery_fail_the_next_comes_before_long_also_where_all_are_asked_seldom() {
    let (first, second) = (says("first"), says("second"));
    let agent = Agent::new();
    let known = listing(5, true, &two(first.address, second.address, "active"));
    // A part of `askWithinUs` would be half a minute at the least.
    let node = Node::start_in(agent.address, &known, 256, "", &patient());
    let call = || agent.calls.recv_timeout(LONG).expect("a call to discovery").1;
    call().write_all(&http(503, "", "")).unwrap();
    let reset = call();
    set_socket_linger(&reset, Some(Duration::ZERO)).unwrap();
    drop(reset);
    call().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{{{").unwrap();
    // Given up.
    let _unanswered = (call(), call());
    let _watch = agent.answer(&[listing(6, false, &[entry("s-1", first.address, "std", "leaving")])]);
    left(&node, "first");
}

#[test]
fn a_call_that_gets_its_turn_after_the_next_was_made_is_the_watch() {
    let (first, second) = (says("first"), says("second"));
    let agent = Agent::new();
    let known = listing(5, true, &two(first.address, second.address, "active"));
    let node = Node::start(agent.address, &known);
    let (_, mut late) = agent.calls.recv_timeout(LONG).expect("a call to discovery");
    let (_, mut next) = agent.calls.recv_timeout(LONG).expect("another beside it");
    let drained = listing(6, false, &[entry("s-1", first.address, "std", "leaving")]);
    // In pieces, the first of which comes while it is not yet known which of them is answered first.
    let answer = [watch_head(), chunk(&drained)].concat();
    late.write_all(&answer[..5]).unwrap();
    late.write_all(&answer[5..]).unwrap();
    left(&node, "first");
    next.set_read_timeout(Some(LONG)).unwrap();
    assert_eq!(next.read(&mut [0]).unwrap(), 0, "the next one is over");
}

#[test]
fn a_call_that_was_not_answered_before_a_move_counts_for_nothing_after_it() {
    let (first, second) = (says("first"), says("second"));
    let (old, new) = (Agent::new(), Agent::new());
    let known = listing(5, true, &two(first.address, second.address, "active"));
    // For longer than a signal takes, no other call is made behind the first.
    let settings = settings().replace(r#""askWithinUs":1000000"#, r#""askWithinUs":3000000"#);
    let node = Node::start_in(old.address, &known, 256, "", &settings);
    let (_, mut late) = old.calls.recv_timeout(LONG).unwrap();
    let mut told = std::iter::from_fn(|| node.log.recv_timeout(LONG).ok());
    assert!(told.any(|line| line.contains("no answer in time")));
    node.reload(Ok(new.address));
    let (_, mut watch) = new.calls.recv_timeout(LONG).unwrap();
    // Its turn comes while the new one has not answered yet.
    let again = listing(99, true, &two(first.address, second.address, "active"));
    let _ = late.write_all(&[watch_head(), chunk(&again)].concat());
    watch.write_all(&watch_head()).unwrap();
    watch.write_all(&chunk(&listing(2, true, &two(first.address, second.address, "leaving")))).unwrap();
    left(&node, "first");
}

#[test]
fn an_agent_that_resets_quiet_watches_is_called_again_without_delay() {
    let (first, second) = (says("first"), says("second"));
    let agent = Agent::new();
    let known = listing(5, true, &two(first.address, second.address, "active"));
    let node = Node::start_pushed(agent.address, &known);
    let mut pauses = Vec::new();
    for _ in 0..8 {
        let watch = agent.answer(&[]);
        let _ = watch.shutdown(Shutdown::Both);
        let ended = Instant::now();
        let (_, next) = agent.calls.recv_timeout(LONG).unwrap();
        pauses.push(ended.elapsed());
        let _ = next.shutdown(Shutdown::Both);
    }
    // The grace is half a second; a machine that is busy may miss it now and then, not each time.
    let least = pauses[4..].iter().min().unwrap();
    assert!(*least < Duration::from_millis(500), "{pauses:?}");
    let _watch = agent.answer(&[listing(6, false, &[entry("s-1", first.address, "std", "leaving")])]);
    left(&node, "first");
}

#[test]
fn an_agent_that_was_silent_is_heard_at_once_when_it_is_back_and_by_a_process_that_just_started() {
    let (first, second) = (says("first"), says("second"));
    let agent = Agent::new();
    let known = listing(5, true, &two(first.address, second.address, "active"));
    let node = Node::start_pushed(agent.address, &known);
    // Down: each call comes up, and is not answered. The next is not held back until it is.
    let mut held = Vec::new();
    let begun = Instant::now();
    while held.len() < 4 {
        held.push(agent.calls.recv_timeout(LONG).expect("a call beside those that hang").1);
    }
    assert!(begun.elapsed() < Duration::from_secs(8), "{:?} for four calls", begun.elapsed());
    // A new process hears the same, with an old list of its own.
    let _watch = agent.answer(&[listing(6, false, &[entry("s-1", first.address, "std", "leaving")])]);
    left(&node, "first");
}

#[test]
fn after_a_move_what_the_last_discovery_still_says_counts_for_nothing() {
    for pushed in [true, false] {
        let (first, second) = (says("first"), says("second"));
        let (old, new) = (Agent::new(), Agent::new());
        let known = listing(5, true, &two(first.address, second.address, "active"));
        let node = match pushed {
            true => Node::start_pushed(old.address, &known),
            false => Node::start(old.address, &known),
        };
        let mut before = old.answer(&[]);
        node.reload(Ok(new.address));
        // The new one counts anew; the old one speaks once the new one has been called.
        let (call, mut watch) = new.calls.recv_timeout(LONG).unwrap();
        assert_eq!(call, "GET /v1/servers?watch=1 HTTP/1.1", "the whole list");
        let again = listing(99, true, &two(first.address, second.address, "active"));
        let _ = before.write_all(&chunk(&again));
        watch.write_all(&watch_head()).unwrap();
        let leaving = listing(2, true, &two(first.address, second.address, "leaving"));
        watch.write_all(&chunk(&leaving)).unwrap();
        left(&node, "first");
        let _ = before.write_all(&chunk(&again));
        left(&node, "first");
    }
}

#[test]
fn a_whole_list_from_before_a_drain_that_comes_after_it_does_not_undo_it() {
    let (first, second, third) = (says("first"), says("second"), says("third"));
    let agent = Agent::new();
    let known = listing(5, true, &two(first.address, second.address, "active"));
    let node = Node::start(agent.address, &known);
    let watch = agent.answer(&[listing(41, false, &[entry("s-1", first.address, "std", "leaving")])]);
    left(&node, "first");
    let _ = watch.shutdown(Shutdown::Both);
    let mut whole = two(first.address, second.address, "active");
    whole.push(entry("s-3", third.address, "std", "active"));
    let _watch = agent.answer(&[listing(40, true, &whole)]);
    // It is in force once the third, which only this list names, is used.
    let mut client = node.client();
    let mut keys = 0..100_000;
    assert!(
        keys.any(|key| client.ask(&get(&format!("{key:x}"), "1")).unwrap() == "third"),
        "the list never took effect"
    );
    for key in 0..200 {
        assert_ne!(client.ask(&get(&format!("{key:x}"), "1")).unwrap(), "first");
    }
}

#[test]
fn lists_on_a_watch_may_come_indented_and_cut_anywhere() {
    let (first, second) = (says("first"), says("second"));
    let agent = Agent::new();
    let known = listing(5, true, &two(first.address, second.address, "active"));
    let node = Node::start_in(agent.address, &known, 256, "", &patient());
    let list = listing(6, false, &[entry("s-1", first.address, "std", "leaving")]);
    let value: serde_json::Value = serde_json::from_str(&list).unwrap();
    let indented = serde_json::to_string_pretty(&value).unwrap() + "\n";
    assert!(indented.lines().count() > 5);
    let parts: Vec<_> =
        indented.as_bytes().chunks(7).map(|part| String::from_utf8_lossy(part).into()).collect();
    let _watch = agent.answer(&parts);
    left(&node, "first");
}
