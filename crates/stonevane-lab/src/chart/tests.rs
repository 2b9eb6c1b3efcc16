use super::*;

/// Guards against an end that closes the wrong span when faults with the same label overlap.
#[test]
fn each_span_ends_at_the_end_of_its_fault() {
    let faults =
        [(1.0, "kill a"), (2.0, "kill a"), (3.0, "end of kill a"), (4.0, "origin stopped"), (5.0, "stop")];
    let faults: Vec<_> = faults.into_iter().map(|(at, label)| (at, label.to_owned())).collect();
    let spans = fault_spans(&faults, 9.0);
    let ends: Vec<_> = spans.iter().map(|span| (span.from_s, span.until_s)).collect();
    assert_eq!(ends, [(1.0, 3.0), (2.0, 9.0), (4.0, 4.0), (5.0, 9.0)]);
}
