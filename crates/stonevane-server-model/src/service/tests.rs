use super::*;

#[test]
fn calls_run_in_order_and_are_rejected_if_too_much_work_is_queued() {
    let mut calls = CallQueue::default();
    assert_eq!(
        (0..3).map(|_| calls.enqueue(100, 10, 20)).collect::<Vec<_>>(),
        [Some(110), Some(120), Some(130)]
    );
    assert_eq!(calls.enqueue(100, 10, 20), None, "30 us of work are queued ahead of it");
    assert_eq!(calls.enqueue(110, 5, 20), Some(135), "a rejected call takes none of the service's time");
    assert_eq!(calls.enqueue(500, 7, 0), Some(507));
}
