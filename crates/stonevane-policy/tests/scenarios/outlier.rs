//! Outlier detection: which failures eject a server, and what admits it again.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn a_server_whose_connections_broke_is_not_presumed_cold_when_it_answers() {
    let mut node = Node::new(settings(), 1);
    let mut id = 0;
    while !node.actions.iter().any(|a| matches!(a, Action::Log(line) if line.contains("set aside"))) {
        id += 1;
        node.request(read(id, 9));
        (0..3).for_each(|attempt| drop(node.outcome(id, attempt, 1, AttemptStatus::Reset)));
        assert!(id < 100);
    }
    node.pass(SECOND);
    node.request(read(500, 9));
    node.outcome(500, 0, 1, AttemptStatus::Served);
    let sent = (501..=560).filter(|id| sent_to(&node.request(read(*id, *id))).is_some()).count();
    assert!(sent >= 30, "{sent} of 60: a cold one would get a part of its keys");
}

#[test]
fn a_silent_server_is_ejected_and_readmitted_when_it_answers_a_trial() {
    let mut node = Node::new(Settings { may_duplicate: false, ..settings() }, 4);
    let victim = sent_to(&node.request(read(1, 9))).unwrap();
    for id in 2..=3 {
        node.request(read(id, 9));
    }
    node.pass(1600 * MS);
    for id in 1..=3 {
        node.outcome(id, 0, victim, AttemptStatus::TimedOut);
    }
    assert_ne!(sent_to(&node.request(read(10, 9))), Some(victim), "set aside");
    node.pass(10 * SECOND);
    assert_eq!(sent_to(&node.request(read(11, 9))), Some(victim), "one trial");
    assert_ne!(sent_to(&node.request(read(12, 9))), Some(victim), "no more while it is out");
    node.outcome(11, 0, victim, AttemptStatus::Served);
    assert_eq!(sent_to(&node.request(read(13, 9))), Some(victim), "let back");
}

#[test]
fn one_slow_answer_ejects_no_server() {
    let mut node = Node::new(settings(), 4);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    node.pass(1600 * MS);
    node.outcome(1, 0, first, AttemptStatus::TimedOut);
    assert_eq!(sent_to(&node.request(read(2, 9))), Some(first));
}

#[test]
fn when_most_servers_fail_they_are_still_tried() {
    let mut node = Node::new(settings(), 4);
    for id in 1..=60 {
        let mut to = sent_to(&node.request(read(id, id)));
        let mut attempt = 0;
        while let Some(server) = to {
            to = sent_to(&node.outcome(id, attempt, server, AttemptStatus::ConnectFailed));
            attempt += 1;
        }
    }
    assert!(sent_to(&node.request(read(100, 3))).is_some(), "still tried, the cause is shared");
}

#[test]
fn a_server_that_refused_connections_and_answers_again_is_presumed_cold() {
    // Guards against an overload of a new process that the list learns of seconds later.
    let mut node = Node::new(settings(), 4);
    let victim = sent_to(&node.request(read(1, 9))).unwrap();
    for id in 1..=3 {
        let next = sent_to(&node.outcome(id, 0, victim, AttemptStatus::ConnectFailed)).unwrap();
        node.outcome(id, 1, next, AttemptStatus::Served);
        if id < 3 {
            node.request(read(id + 1, 9));
        }
    }
    node.pass(10 * SECOND);
    let mut on_trial = 0;
    for id in 10..200 {
        let to = sent_to(&node.request(read(id, id))).unwrap();
        on_trial += usize::from(to == victim);
        node.outcome(id, 0, to, AttemptStatus::Served);
    }
    assert!((1..30).contains(&on_trial), "few while presumed cold: {on_trial} of about 48");
}

#[test]
fn a_server_that_fails_each_request_at_once_is_ejected() {
    // Guards against quick errors that make a server look idle, so that it draws ever more requests.
    let mut node = Node::new(settings(), 4);
    let victim = sent_to(&node.request(read(1, 9))).unwrap();
    for id in 1..=8 {
        let status = if id % 4 == 0 { AttemptStatus::Served } else { AttemptStatus::Error };
        node.outcome(id, 0, victim, status);
        node.request(read(id + 1, 9));
    }
    assert!(node.actions.iter().any(|a| matches!(a, Action::Log(l) if l.contains("set aside"))));
}
