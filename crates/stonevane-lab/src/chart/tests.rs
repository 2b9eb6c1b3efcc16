use super::*;

#[test]
fn each_fault_lasts_from_its_beginning_to_its_own_end() {
    let told =
        [(1.0, "kill a"), (2.0, "kill a"), (3.0, "end of kill a"), (4.0, "origin stopped"), (5.0, "stop")];
    let told: Vec<_> = told.into_iter().map(|(at, words)| (at, words.to_owned())).collect();
    let spans = fault_spans(&told, 9.0);
    let ends: Vec<_> = spans.iter().map(|span| (span.from_s, span.until_s)).collect();
    assert_eq!(ends, [(1.0, 3.0), (2.0, 9.0), (4.0, 4.0), (5.0, 9.0)]);
}
