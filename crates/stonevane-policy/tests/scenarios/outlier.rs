//! Outlier detection: failures that eject a server, and the trial requests that readmit it.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn a_server_ejected_for_broken_connections_does_not_return_in_slow_start() {
    let mut node = Node::new(settings(), 1);
    let mut id = 0;
    while !node.actions.iter().any(|a| matches!(a, Action::Log(line) if line.contains("set aside"))) {
        id += 1;
        node.request(read(id, 9));
        (0..3).for_each(|attempt| drop(node.outcome(id, attempt, 1, AttemptStatus::Reset)));
        assert!(id < 100);
    }
    node.advance(SECOND);
    node.request(read(500, 9));
    node.outcome(500, 0, 1, AttemptStatus::Served);
    let sent = (501..=560).filter(|id| sent_to(&node.request(read(*id, *id))).is_some()).count();
    assert!(sent >= 30, "{sent} of 60 reads sent: the server is treated as in slow start");
}

#[test]
fn a_silent_server_is_ejected_and_readmitted_when_it_answers_a_trial() {
    let mut node = Node::new(Settings { may_duplicate: false, ..settings() }, 4);
    let failing = sent_to(&node.request(read(1, 9))).unwrap();
    for id in 2..=3 {
        node.request(read(id, 9));
    }
    node.advance(1600 * MS);
    for id in 1..=3 {
        node.outcome(id, 0, failing, AttemptStatus::TimedOut);
    }
    assert_ne!(sent_to(&node.request(read(10, 9))), Some(failing), "the server was not ejected");
    node.advance(10 * SECOND);
    assert_eq!(sent_to(&node.request(read(11, 9))), Some(failing), "no trial request");
    assert_ne!(
        sent_to(&node.request(read(12, 9))),
        Some(failing),
        "a second request while the trial is in flight"
    );
    node.outcome(11, 0, failing, AttemptStatus::Served);
    assert_eq!(sent_to(&node.request(read(13, 9))), Some(failing), "not readmitted");
}

#[test]
fn one_timeout_ejects_no_server() {
    let mut node = Node::new(settings(), 4);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    node.advance(1600 * MS);
    node.outcome(1, 0, first, AttemptStatus::TimedOut);
    assert_eq!(sent_to(&node.request(read(2, 9))), Some(first));
}

#[test]
fn servers_are_still_tried_if_most_of_them_fail() {
    let mut node = Node::new(settings(), 4);
    for id in 1..=60 {
        let mut to = sent_to(&node.request(read(id, id)));
        let mut attempt = 0;
        while let Some(server) = to {
            to = sent_to(&node.outcome(id, attempt, server, AttemptStatus::ConnectFailed));
            attempt += 1;
        }
    }
    assert!(
        sent_to(&node.request(read(100, 3))).is_some(),
        "no server is tried, although the cause is shared"
    );
}

#[test]
fn a_server_ejected_for_failed_connects_returns_in_slow_start() {
    // Guards against an overload of a restarted server, whose restart the list reports only seconds later.
    let mut node = Node::new(settings(), 4);
    let failing = sent_to(&node.request(read(1, 9))).unwrap();
    for id in 1..=3 {
        let next = sent_to(&node.outcome(id, 0, failing, AttemptStatus::ConnectFailed)).unwrap();
        node.outcome(id, 1, next, AttemptStatus::Served);
        if id < 3 {
            node.request(read(id + 1, 9));
        }
    }
    node.advance(10 * SECOND);
    let mut at_failing = 0;
    for id in 10..200 {
        let to = sent_to(&node.request(read(id, id))).unwrap();
        at_failing += usize::from(to == failing);
        node.outcome(id, 0, to, AttemptStatus::Served);
    }
    assert!((1..30).contains(&at_failing), "{at_failing} of about 48 reads went to a server in slow start");
}

#[test]
fn a_server_that_fails_each_request_at_once_is_ejected() {
    // Guards against fast errors, which make a server look idle, so that it gets more and more requests.
    let mut node = Node::new(settings(), 4);
    let failing = sent_to(&node.request(read(1, 9))).unwrap();
    for id in 1..=8 {
        let status = if id % 4 == 0 { AttemptStatus::Served } else { AttemptStatus::Error };
        node.outcome(id, 0, failing, status);
        node.request(read(id + 1, 9));
    }
    assert!(node.actions.iter().any(|a| matches!(a, Action::Log(l) if l.contains("set aside"))));
}
