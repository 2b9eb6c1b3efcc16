//! Generates small random histories.

use proptest::prelude::*;
use stonevane_audit::*;

/// Microseconds in a millisecond.
pub const MS: u64 = 1_000;
/// The default of `answer_slack_us`.
pub const ANSWER_SLACK_US: u64 = 50 * MS;

pub fn rules() -> Rules {
    let class = |name: &str, kind, scope| ClassRule { name: name.into(), kind, scope, window_us: 200 * MS };
    Rules {
        classes: vec![
            class("read", Idempotency::Idempotent, DedupScope::All),
            class("edit", Idempotency::WithKey, DedupScope::All),
            class("near", Idempotency::WithKey, DedupScope::Zone),
            class("once", Idempotency::NonIdempotent, DedupScope::All),
        ],
        assumed_notified_us: 0,
        max_attempts: 2,
        hedging: false,
        origin: OriginRule { capacity_us_per_s: 100_000.0, ..OriginRule::default() },
        ..Rules::default()
    }
}

/// A random event: its kind, its place (the server, modulo 3, and the node), its request, its earliest moment
/// and the width of its interval in microseconds, and a number from which the remaining fields follow.
pub type EventDraw = (u8, u8, u8, u64, u64, u8);

pub const CLASSES: [&str; 4] = ["read", "edit", "near", "once"];

pub fn line((kind, place, request, earliest, width, variant): EventDraw, number: u64) -> HistoryRecord {
    let server = ["s0", "s1", "o"][usize::from(place % 3)];
    let (earliest, latest) = (earliest, earliest + width);
    let base = HistoryRecord {
        time: TimeInterval::from((earliest, latest)),
        recorder: "x".into(),
        request: format!("r{request}"),
        node: format!("n{}", place / 3 % 2),
        ..HistoryRecord::default()
    };
    let at_server = |base| HistoryRecord { server: server.into(), ..base };
    match kind {
        0..3 => {
            let class = CLASSES[usize::from(request) % 4].into();
            let (key, digest) = (format!("k{}", variant / 20), "d".into());
            HistoryRecord { event: Event::Request, class, key, digest, deadline: latest + 400 * MS, ..base }
        }
        3..6 => {
            let outcome = [Outcome::Served, Outcome::Rejected, Outcome::Failed][usize::from(variant % 3)];
            let value = if outcome == Outcome::Served { format!("v{}", variant % 8) } else { String::new() };
            HistoryRecord { event: Event::Answer, outcome: Some(outcome), value, ..base }
        }
        6..10 => {
            let effect = [
                Effect::Ran,
                Effect::Busy,
                Effect::Miss,
                Effect::NotReceived,
                Effect::Deduplicated,
                Effect::Ran,
            ];
            let effect = Some(effect[usize::from(variant % 6)]);
            let (origin, work_us) = (server == "o", 150 * MS);
            // The class in the attempt's record counts if that record precedes the request's. In variant 19
            // the two records differ in their class.
            let class = CLASSES[usize::from(request + u8::from(variant == 19)) % 4].into();
            let token = if variant == 18 { "t".into() } else { String::new() };
            let digest = if variant == 17 { String::new() } else { "d".into() };
            let key = format!("k{}", variant / 20);
            let sent = HistoryRecord { class, idempotency_key: token, digest, key, ..base };
            at_server(HistoryRecord { event: Event::Attempt, effect, number, origin, work_us, ..sent })
        }
        10 => {
            let (value, number) = (format!("v{}", variant % 8), u64::from(variant));
            at_server(HistoryRecord {
                event: Event::Reply,
                value,
                version: u64::from(variant % 4),
                number,
                ..base
            })
        }
        11 => HistoryRecord { event: Event::ClientLeft, ..base },
        12 => HistoryRecord { event: Event::Closed, reused_connection: true, ..base },
        13 => {
            let status = ["active", "leaving", "left"][usize::from(variant % 3)].into();
            at_server(HistoryRecord { event: Event::Notified, status, started_at: 1, ..base })
        }
        14 => HistoryRecord { event: Event::Node, node: "n1".into(), state: "killed".into(), ..base },
        15 => HistoryRecord { event: Event::Node, node: "n1".into(), state: "ready".into(), ..base },
        _ => at_server(HistoryRecord { event: Event::AttemptEnded, number: u64::from(variant), ..base }),
    }
}

pub fn history(draws: Vec<EventDraw>) -> Vec<HistoryRecord> {
    let start = |server: &str, zone: &str, warm_us| HistoryRecord {
        event: Event::Start,
        server: server.into(),
        zone: zone.into(),
        started_at: 1,
        capacity_us_per_s: 200_000.0,
        cold_share: 0.35,
        warm_us,
        ..HistoryRecord::default()
    };
    let mut lines = vec![start("s0", "a", 7_500 * MS), start("s1", "b", 0)];
    let drawn: Vec<_> =
        draws.into_iter().enumerate().map(|(index, draw)| line(draw, index as u64 % 64)).collect();
    lines.extend(drawn);
    lines.sort_by_key(|line| line.time.latest);
    lines.push(HistoryRecord {
        event: Event::End,
        time: TimeInterval::from((60_000 * MS, 60_000 * MS)),
        ..HistoryRecord::default()
    });
    lines
}

/// Kind of events that most of a history consists of.
#[derive(Clone, Copy, PartialEq)]
pub enum Focus {
    Everything,
    Load,
    Values,
}

pub fn draws(focus: Focus) -> impl Strategy<Value = Vec<EventDraw>> {
    // Moments at most 2 us past the points of a coarse grid, so that bounds are hit to the microsecond.
    let moment = (0u64..80, 0u64..3).prop_map(|(slot, off)| 10_000 + slot * 50 * MS + off);
    let width = prop_oneof![Just(0u64), Just(1), Just(30 * MS), Just(200 * MS)];
    let kind = match focus {
        Focus::Everything => (0u8..17).boxed(),
        Focus::Load => prop_oneof![8 => 6u8..10, 1 => Just(13u8)].boxed(),
        Focus::Values => prop_oneof![Just(0u8), Just(3), Just(10)].boxed(),
    };
    let place = match focus {
        Focus::Load => prop_oneof![Just(0u8), Just(2), Just(3)].boxed(),
        _ => (0u8..6).boxed(),
    };
    let requests = match focus {
        Focus::Everything => 0u8..4,
        Focus::Load => 0u8..40,
        Focus::Values => 0u8..2,
    };
    let variant = match focus {
        Focus::Values => prop_oneof![Just(0u8), Just(6), Just(18)].boxed(),
        _ => (0u8..24).boxed(),
    };
    let event = (kind, place, requests, moment, width, variant);
    if focus == Focus::Values {
        // An edit and then a read, each with its request, reply and answer, in roughly this order.
        let steps = [(0u8, 1u8), (10, 1), (3, 1), (0, 0), (10, 0), (3, 0)];
        let drawn =
            proptest::collection::vec((0u64..5, 0u64..3, prop_oneof![Just(0u8), Just(18)]), steps.len());
        let skeleton = drawn.prop_map(move |drawn| {
            let moments = steps.into_iter().zip(drawn).enumerate();
            let event = |(step, ((kind, request), (late, off, variant)))| {
                (kind, 0, request, 10_000 + (2 * step as u64 + late) * 50 * MS + off, 0, variant)
            };
            moments.map(event).collect::<Vec<EventDraw>>()
        });
        let noise = proptest::collection::vec(event, 0..3);
        return (skeleton, noise)
            .prop_map(|(mut all, noise)| {
                all.extend(noise);
                all
            })
            .boxed();
    }
    proptest::collection::vec(event, 1..40).boxed()
}
