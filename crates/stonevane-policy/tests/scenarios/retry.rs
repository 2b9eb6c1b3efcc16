//! Retries and hedged requests: which attempts are resent, where and how often.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn rejected_attempts_and_failed_connects_are_retried_at_once_on_the_next_servers() {
    let mut node = Node::new(settings(), 4);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    let second = sent_to(&node.outcome(1, 0, first, AttemptStatus::Rejected)).unwrap();
    let third = sent_to(&node.outcome(1, 1, second, AttemptStatus::ConnectFailed)).unwrap();
    assert!(first != second && second != third && first != third);
    let fourth = sent_to(&node.outcome(1, 2, third, AttemptStatus::Rejected)).unwrap();
    let last = node.outcome(1, 3, fourth, AttemptStatus::Rejected);
    assert!(rejected(&last, 1), "not rejected after its last attempt");
}

#[test]
fn a_non_idempotent_request_is_resent_only_when_it_is_known_not_to_have_run() {
    let mut node = Node::new(settings(), 3);
    node.request(Request { time_left: SECOND, ..write(1, 2) });
    node.outcome(1, 0, ORIGIN, AttemptStatus::Rejected);
    assert_eq!(send_count(&node.advance(100 * MS)), 1, "a rejected attempt has not run and may be resent");
    let actions = node.outcome(1, 1, ORIGIN, AttemptStatus::Reset);
    assert!(
        failed(&actions, 1) && send_count(&actions) == 0,
        "a request that may have run must be failed, not resent"
    );
}

#[test]
fn malformed_responses_and_broken_connections_are_retried_and_eject_no_healthy_server() {
    for status in [AttemptStatus::Malformed, AttemptStatus::Reset] {
        let mut node = Node::new(settings(), 4);
        for id in 1..=40 {
            let first = sent_to(&node.request(read(id, id))).unwrap();
            let again = sent_to(&node.outcome(id, 0, first, status)).expect("the read is retried");
            assert_eq!(first, again, "the retry goes to the server that caches the key");
            let next = sent_to(&node.outcome(id, 1, again, status)).expect("the read is retried again");
            assert_ne!(first, next, "the second retry goes to another server");
            node.outcome(id, 2, next, AttemptStatus::Served);
            // The server that fails this request serves its other requests.
            for good in 1..=2 {
                let server = sent_to(&node.request(read(100 * id + good, id))).unwrap();
                assert_eq!(server, first, "the server was ejected or treated as in slow start");
                node.outcome(100 * id + good, 0, server, AttemptStatus::Served);
            }
        }
    }
}

#[test]
fn a_write_with_an_idempotency_key_is_retried_within_its_window_and_a_non_idempotent_one_fails() {
    let mut node = Node::new(settings(), 4);
    node.request(write(1, 1));
    assert_eq!(sent_to(&node.outcome(1, 0, ORIGIN, AttemptStatus::Malformed)), Some(ORIGIN));
    node.request(write(2, 1));
    node.advance(190 * MS);
    assert!(
        failed(&node.outcome(2, 0, ORIGIN, AttemptStatus::Malformed), 2),
        "outside its window a duplicate may no longer be detected"
    );
    node.request(write(3, 2));
    assert!(failed(&node.outcome(3, 0, ORIGIN, AttemptStatus::Malformed), 3));
}

#[test]
fn an_overtaken_and_overdue_response_counts_as_lost_and_its_request_is_resent() {
    let mut node = Node::new(Settings { may_cancel: true, ..settings() }, 1);
    // The server and the origin respond within 20 ms.
    let serve = |node: &mut Node, id: RequestId, write: bool| {
        let request = if write { self::write(id, 1) } else { read(id, id) };
        let server = sent_to(&node.request(request)).unwrap();
        node.advance(20 * MS);
        node.outcome(id, 0, server, AttemptStatus::Served);
    };
    (1..=20).for_each(|id| serve(&mut node, id, id % 2 == 0));
    node.request(read(100, 100));
    node.request(write(101, 1));
    (21..=24).for_each(|id| serve(&mut node, id, id % 2 == 0));
    let again = node.advance(300 * MS);
    let sent =
        |id| again.iter().filter(|a| matches!(a, Action::Send { request, .. } if *request == id)).count();
    assert_eq!((sent(100), sent(101)), (1, 1), "{again:?}");
    let actions = node.outcome(100, 1, 1, AttemptStatus::Served);
    assert!(
        actions.contains(&Action::Cancel { request: 100, attempt: 0 }),
        "the attempt whose response was lost is not cancelled"
    );
}

#[test]
fn a_slow_read_is_hedged_at_the_next_server_and_the_loser_is_cancelled() {
    // With 500 nodes a node sends to a slow server once in 20 s, too seldom to learn to avoid it. Hedging
    // limits the wait.
    let mut node = Node::new(Settings { may_cancel: true, ..settings() }, 5);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    let second = sent_to(&node.advance(310 * MS)).expect("a hedged request");
    assert_ne!(second, first);
    let after = node.outcome(1, 1, second, AttemptStatus::Served);
    assert!(after.contains(&Action::Cancel { request: 1, attempt: 0 }));
    let mut node = Node::new(Settings { may_duplicate: false, may_cancel: true, ..settings() }, 5);
    node.request(read(1, 9));
    assert_eq!(send_count(&node.advance(310 * MS)), 0, "hedged although duplicates are not allowed");
}

/// Sends 400 reads, of which one in `every` gets an error from its first server, or from every server if
/// `every` is 1. Returns the number of reads served and of attempts made.
fn served_with_errors(every: u64) -> (u64, u64) {
    let mut node = Node::new(settings(), 20);
    let (mut served, mut attempts) = (0, 0);
    for id in 1..=400u64 {
        node.advance(20 * MS);
        let mut actions = node.request(read(id, id));
        let mut attempt = 0;
        while let Some(server) = sent_to(&actions) {
            attempts += 1;
            node.advance(MS);
            let fails = id.is_multiple_of(every) && (every == 1 || attempt == 0);
            let status = if fails { AttemptStatus::Error } else { AttemptStatus::Served };
            served += u64::from(!fails);
            actions = node.outcome(id, attempt, server, status);
            attempt += 1;
        }
    }
    (served, attempts)
}

#[test]
fn reads_are_retried_after_occasional_errors_and_seldom_if_all_servers_fail() {
    let (served, attempts) = served_with_errors(8);
    assert!(served == 400, "{served} of 400 reads served if one in eight first gets an error");
    assert!(attempts == 450, "{attempts} attempts");
    let (_, attempts) = served_with_errors(1);
    assert!(attempts <= 400 * 5 / 4 + 40, "{attempts} attempts although all servers fail");
}
