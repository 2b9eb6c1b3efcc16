//! Byte-level tests of action and event records.

use super::actions::ACTION_RECORD_BYTES;
use super::events::EVENT_RECORD_BYTES;
use super::*;
use stonevane_policy::*;

fn encode(action: &Action) -> (Vec<u8>, Vec<u8>) {
    let (mut reply, mut frame) = (Reply::default(), Vec::new());
    reply.push(3, action);
    reply.finish(12, &mut frame);
    assert_eq!(u32_at(&frame, 0), 1);
    assert_eq!(u32_at(&frame, 4) as usize, frame.len() - 12);
    assert_eq!(u32_at(&frame, 8), 12);
    (frame[12..36].to_vec(), frame[36..].to_vec())
}

fn expected_record(code: u8, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut record = vec![0; ACTION_RECORD_BYTES];
    (record[0], record[1]) = (code, 3);
    for (at, bytes) in fields {
        record[*at..at + bytes.len()].copy_from_slice(bytes);
    }
    record
}

#[test]
fn each_action_is_encoded_with_its_code_and_its_fields_at_their_offsets() {
    let (id, server, tail_range) = (0x0002_dd71_5d3a_91c4u64, 0x0312_4a07u32, vec![0, 0, 0, 0, 2, 0, 0, 0]);
    let (id_bytes, server_bytes) = (id.to_le_bytes(), server.to_le_bytes());
    let cases = [
        (
            Action::Send { request: id, server, give_up_after: 80_000 },
            expected_record(1, &[(3, &id_bytes), (11, &server_bytes), (15, &80_000u32.to_le_bytes())]),
        ),
        (
            Action::Reject { request: id, retry_after: 7 },
            expected_record(2, &[(3, &id_bytes), (11, &7u32.to_le_bytes())]),
        ),
        (Action::Fail(id), expected_record(3, &[(3, &id_bytes)])),
        (Action::Cancel { request: id, attempt: 2 }, expected_record(4, &[(3, &id_bytes), (11, &[2])])),
        (
            Action::Timer { after: 500_000, token: 77 },
            expected_record(5, &[(3, &500_000u32.to_le_bytes()), (7, &[77])]),
        ),
        (Action::HealthCheck(server), expected_record(6, &[(3, &server_bytes)])),
        (Action::CloseIdle(server), expected_record(7, &[(3, &server_bytes)])),
        (
            Action::SendToPeer { to: None, bytes: b"hi".to_vec() },
            expected_record(8, &[(3, &[0xff; 4]), (7, &tail_range)]),
        ),
        (
            Action::SendToPeer { to: Some(4), bytes: b"hi".to_vec() },
            expected_record(8, &[(3, &[4]), (7, &tail_range)]),
        ),
        (Action::Log("hi".into()), expected_record(9, &[(3, &tail_range)])),
        (Action::Fault("hi".into()), expected_record(10, &[(3, &tail_range)])),
        (Action::Subscribe(true), expected_record(11, &[(3, &[1])])),
        (Action::Subscribe(false), expected_record(11, &[])),
        (Action::FetchList, expected_record(12, &[])),
    ];
    for (action, expected) in cases {
        let (got, tail) = encode(&action);
        assert_eq!(got, expected, "{action:?}");
        let has_tail = matches!(action, Action::SendToPeer { .. } | Action::Log(_) | Action::Fault(_));
        assert_eq!(tail, if has_tail { b"hi".to_vec() } else { Vec::new() });
    }
}

#[test]
fn request_and_outcome_records_are_decoded_from_their_offsets() {
    let mut body = vec![0u8; 2 * EVENT_RECORD_BYTES];
    body[0] = 4;
    body[3] = 9; // id
    body[11] = 1; // tenant
    body[13] = 7; // flags: has cost, is retry, write
    body[14] = 2; // class
    body[15] = 50; // cost
    body[19] = 5; // key
    body[32] = 1; // time left: 256 us
    let second = EVENT_RECORD_BYTES;
    (body[second], body[second + 3], body[second + 11], body[second + 15], body[second + 19]) =
        (3, 9, 3, 40, 1);
    body[second + 21] = 1;
    body[second + 22..second + 24].copy_from_slice(&429u16.to_le_bytes());
    (body[second + 24], body[second + 28]) = (6, 1);
    body[second + 29..second + 33].copy_from_slice(&1.5f32.to_le_bytes());
    let request = Request {
        id: 9,
        class: 2,
        tenant: 1,
        key: 5,
        write: true,
        is_retry: true,
        time_left: 256,
        cost: Some(50),
        size: 0.0,
    };
    assert_eq!(read_record(&body, 2, 0), Ok(Record::Event(0, stonevane_policy::Event::Request(request))));
    let load = LoadReport { count: 1, values: [1.5, 0.0, 0.0, 0.0] };
    let outcome = Outcome {
        request: 9,
        attempt: 1,
        server: 6,
        status: AttemptStatus::Rejected,
        request_finished: true,
        cache_status: CacheStatus::MissBeingFetched,
        elapsed: 40,
        load,
        first_on_connection: false,
    };
    assert_eq!(read_record(&body, 2, 1), Ok(Record::Event(0, stonevane_policy::Event::Outcome(outcome))));
}
