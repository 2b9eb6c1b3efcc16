//! Exactly one final answer in time, and the excuses for a request without one.

use crate::builder::{History, MS};

#[test]
pub fn a_correct_run_has_no_findings() {
    let history = (0..50).fold(History::new(), |history, i| history.read(i * 10 * MS, &format!("r{i}")));
    history
        .request(9, "b", "read")
        .answered(90, "b", "refused")
        .request(9, "f", "once")
        .answered(99, "f", "failed")
        .has_findings(&[]);
}

#[test]
pub fn a_repeated_late_or_missing_answer_is_a_finding() {
    History::new().read(0, "a").answered(50, "a", "failed").has_findings(&["twice"]);
    History::new()
        .read(0, "a")
        .at(60, r#""event":"stray","request":"a","node":"n0""#)
        .has_findings(&["twice"]);
    History::new().request(0, "a", "read").answered(1_050 * MS + 1, "a", "failed").has_findings(&["late"]);
    History::new().request(0, "a", "read").has_findings(&["unanswered"]);
    History::new()
        .request(0, "a", "read")
        .at(9, r#""event":"closed","request":"a","node":"n0""#)
        .has_findings(&["lost"]);
    History::new().at(5, r#""event":"node","node":"n0","state":"exited""#).has_findings(&["crashed"]);
    let term = History::new().at(5, r#""event":"node","node":"n0","state":"term""#);
    term.at(6, r#""event":"node","node":"n0","state":"crashed""#).has_findings(&["crashed"]);
}

#[test]
pub fn answers_within_each_bound_and_clients_that_left_are_no_findings() {
    History::new().request(0, "a", "read").answered(1_050 * MS, "a", "failed").has_findings(&[]);
    // The answer may have come in time, because the interval of its record begins at the latest permitted
    // moment; so nothing is proven.
    let rest = r#""event":"answer","request":"a","outcome":"failed""#;
    History::new().request(0, "a", "read").between((1_050 * MS, 1_400 * MS), rest).has_findings(&[]);
    History::new().request(0, "a", "read").at(500, r#""event":"gone","request":"a""#).has_findings(&[]);
    // The client left, and its answer still arrived.
    let gone = History::new().request(0, "a", "read").at(500, r#""event":"gone","request":"a""#);
    gone.answered(600, "a", "failed").has_findings(&[]);
    let term = r#""event":"node","node":"n0","state":"term""#;
    let killed = r#""event":"node","node":"n0","state":"killed""#;
    History::new().request(0, "a", "read").at(900 * MS, killed).has_findings(&[]);
    History::new().request(0, "a", "read").at(100 * MS, term).at(800 * MS, killed).has_findings(&[]);
    History::new()
        .request(0, "a", "read")
        .at(100 * MS, term)
        .at(800 * MS + 1, killed)
        .has_findings(&["unanswered"]);
    // The node was killed before the request and was ready again, so the new process must answer.
    History::new().at(1, killed).node(2, "ready").request(3, "a", "read").has_findings(&["unanswered"]);
    let exited = r#""event":"node","node":"n0","state":"exited""#;
    History::new().request(0, "a", "read").at(1, term).at(700 * MS, exited).has_findings(&["unanswered"]);
}

#[test]
pub fn a_close_that_crosses_a_request_is_no_finding_and_one_after_reading_it_is() {
    let closed = r#""event":"closed","request":"a","node":"n0","kept":true"#;
    let again =
        r#""event":"ask","request":"a","node":"n0","class":"read","key":"k","until":1000000,"again":true"#;
    let crossed = History::new().request(0, "a", "read").at(50, closed).at(60, again);
    crossed.attempt(70, "a", "s1", "ran").reply(80, "a", "s1", "v", 0).served(90, "a", "v").has_findings(&[]);
    let read =
        History::new().request(0, "a", "read").attempt(20, "a", "s1", "ran").at(50, closed).at(60, again);
    read.reply(80, "a", "s1", "v", 0).served(90, "a", "v").has_findings(&["lost"]);
    // The second send of the request, not the first, may have caused the attempt.
    let either = History::new().request(0, "a", "read").at(50, closed).between((58, 70), again);
    let either = either.attempt(62, "a", "s1", "ran").reply(80, "a", "s1", "v", 0);
    either.served(90, "a", "v").has_findings(&[]);
}

#[test]
pub fn an_attempt_after_the_final_answer_is_a_finding() {
    let late =
        |t| History::new().request(0, "a", "read").answered(10, "a", "failed").attempt(t, "a", "s1", "ran");
    late(10 + 50 * MS).has_findings(&[]);
    late(11 + 50 * MS).has_findings(&["sent-after-answer"]);
}

#[test]
pub fn requests_to_a_process_that_ended_or_is_not_ready_are_excused() {
    // The client reuses a connection and has not yet noticed that it is closed.
    let closed = r#""event":"closed","request":"a","node":"n0","kept":true"#;
    let dead =
        |state| History::new().node(1, "ready").node(10, state).request(810, "a", "read").at(820, closed);
    dead("killed").has_findings(&[]);
    let term = History::new().node(1, "ready").node(2, "term").node(10, "exited");
    term.clone().request(810, "a", "read").at(820, closed).has_findings(&[]);
    // A starting node need not answer; a ready one must.
    let starting = History::new().node(1, "killed").node(2, "starting");
    starting.clone().request(810, "a", "read").node(900, "ready").has_findings(&[]);
    starting.clone().node(800, "ready").request(810, "a", "read").has_findings(&["unanswered"]);
    // The node never became ready again, so it need not answer.
    starting.request(810, "a", "read").at(820, closed).has_findings(&[]);
    // The process may have ended before the request was written; one microsecond earlier it certainly ran.
    let ended = r#""event":"node","node":"n0","state":"exited""#;
    let ended_around =
        |ask| History::new().node(1, "term").request(ask, "a", "read").between((500, 900), ended);
    ended_around(500).has_findings(&[]);
    ended_around(499).has_findings(&["unanswered"]);
    // The end of another node excuses nothing.
    let other = r#""event":"node","node":"n1","state":"killed""#;
    History::new().at(10, other).request(810, "a", "read").at(820, closed).has_findings(&["lost"]);
    // The node is killed again while it starts: its outage lasts from the first kill until it is ready.
    let twice = History::new().node(1, "killed").node(5, "starting").node(9, "killed").node(11, "starting");
    twice.request(20, "a", "read").node(30, "ready").has_findings(&[]);
}
