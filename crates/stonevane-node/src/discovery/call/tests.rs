use super::*;

use bytes::BufMut;

fn body(memory: &MemoryAccount) -> Body {
    let head = ResponseHead { chunked: true, ..ResponseHead::default() };
    Body::new(&head, Some(memory.clone()))
}

/// Guards against lists that take memory outside the budget.
#[test]
fn a_long_list_is_counted_in_the_memory_budget_until_it_is_taken() {
    let memory = MemoryAccount::with_capacity(2 * MAX_LIST_BYTES);
    let (mut first, mut second) = (body(&memory), body(&memory));
    while first.bytes.len() < MAX_LIST_BYTES {
        first.bytes.put_slice(&[b'x'; READ_RESERVE_BYTES]);
        let unreserved = first.bytes.len().saturating_sub(UNRESERVED_LIST_BYTES);
        first.update_reservation().unwrap();
        assert!(memory.reserved() >= RESERVED_PER_LIST_BYTE * unreserved);
    }
    second.bytes.put_bytes(b'x', UNRESERVED_LIST_BYTES - LIST_RESERVATION_STEP_BYTES);
    second.update_reservation().unwrap();
    second.bytes.put_bytes(b'x', MAX_LIST_BYTES / 2);
    assert!(matches!(second.update_reservation(), Err(CallError::OutOfMemory)));
    first.bytes.clear();
    first.update_reservation().unwrap();
    assert_eq!((memory.reserved(), first.bytes.capacity()), (0, 0));
    second.update_reservation().unwrap();
}
