//! Tests of the dissemination queue.
#![allow(missing_docs)]

use stonevane_membership::dissemination::UpdateQueue;

#[test]
fn each_update_is_transmitted_up_to_its_limit_and_new_ones_go_first() {
    let mut queue = UpdateQueue::new(10);
    (0..4).for_each(|member| queue.push(member));
    let mut counts = [0; 10];
    for datagram in 0.. {
        if queue.is_empty() {
            break;
        }
        if datagram == 2 {
            queue.push(9);
            assert!(queue.take(3, 3).contains(&9));
            counts[9] += 1;
            continue;
        }
        queue.take(3, 3).into_iter().for_each(|member| counts[usize::from(member)] += 1);
    }
    assert_eq!(counts[9], 3);
    queue.push(0);
    queue.push(0);
    assert_eq!(queue.take(5, 1), [0]);
    assert!(queue.is_empty() && queue.take(5, 1).is_empty());
}
