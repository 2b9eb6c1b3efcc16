//! Admission: tenant quotas and load shedding.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn under_overload_the_tenant_over_its_quota_is_rejected_and_the_other_is_served() {
    let mut config = settings();
    config.tenants = vec![Tenant { quota_per_s: 50.0 }, Tenant { quota_per_s: 50.0 }];
    let mut node = Node::new(config, 20);
    let (mut served, mut requested) = ([0, 0], [0, 0]);
    for id in 1..=3000u64 {
        node.pass(5 * MS);
        let tenant = usize::from(id % 6 == 0);
        let answer = node.request(Request { tenant, ..read(id, id) });
        if id > 1000 {
            requested[tenant] += 1;
            served[tenant] += sends(&answer);
        }
        let (status, to) =
            (if id % 16 == 0 { AttemptStatus::Rejected } else { AttemptStatus::Served }, sent_to(&answer));
        if let Some(mut to) = to {
            let mut attempt = 0;
            while let Some(next) = sent_to(&node.outcome(id, attempt, to, status)) {
                (to, attempt) = (next, attempt + 1);
            }
        }
    }
    assert!(served[1] * 100 >= requested[1] * 98, "within its quota: {} of {}", served[1], requested[1]);
    assert!(served[0] * 2 < requested[0], "at three times its quota: {} of {}", served[0], requested[0]);
}

#[test]
fn a_fleet_many_times_too_slow_is_sent_well_under_half_of_the_quotas() {
    // Guards against a floor of 0.6 of the quotas, which kept servers that are eight times slower overloaded.
    let mut config = settings();
    config.tenants = vec![Tenant { quota_per_s: 50.0 }];
    let mut node = Node::new(config, 300);
    let (mut out, mut late) = (std::collections::VecDeque::new(), 0);
    for id in 1..=800u64 {
        node.pass(20 * MS);
        if let Some(to) = sent_to(&node.request(read(id, id))) {
            out.push_back((id, to, node.now));
            late += u32::from(id > 600);
        }
        while out.front().is_some_and(|(_, _, sent)| node.now - sent > 900 * MS) {
            let (id, to, _) = out.pop_front().unwrap();
            node.outcome(id, 0, to, AttemptStatus::Served);
        }
    }
    // Also guards against counting one attempt twice, when slow and when nearly late.
    assert!((30..80).contains(&late), "{late} of the last 200 sent");
}

#[test]
fn slow_answers_within_the_latency_objective_reject_no_tenant_within_its_quota() {
    // Guards against counting answers at half of the objective as overload.
    let mut config = Settings { may_duplicate: false, ..settings() };
    config.tenants = vec![Tenant { quota_per_s: 100.0 }];
    let mut node = Node::new(config, 3000);
    let mut out = std::collections::VecDeque::new();
    for id in 1..=400u64 {
        node.pass(20 * MS);
        if let Some(to) = sent_to(&node.request(read(id, id))) {
            out.push_back((id, to));
        }
        if out.len() > 22 {
            let (id, to) = out.pop_front().unwrap();
            node.outcome(id, 0, to, AttemptStatus::Served);
        }
    }
    let refusals = node.actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    assert!(refusals < 8, "{refusals} of 400 refused at 50 a second within a quota of 100");
}

#[test]
fn a_rejected_client_gets_a_short_retry_after() {
    // Guards against long hints: clients that wait 2 s retry too late and take tokens of timely requests.
    let hints = |max_retry_after: Micros| {
        let mut config = Settings { max_retry_after, nodes: 400, ..settings() };
        config.tenants = vec![Tenant { quota_per_s: 1.0 }];
        let mut node = Node::just_started(config, 20);
        (1..=40).for_each(|id| {
            node.request(read(id, id));
        });
        let hint = |a: &Action| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        };
        node.actions.iter().filter_map(hint).collect::<Vec<_>>()
    };
    let retry_afters = hints(SECOND);
    assert!(
        retry_afters.len() > 20 && retry_afters.iter().all(|h| (12 * MS..38 * MS).contains(h)),
        "{retry_afters:?}"
    );
    assert!(hints(0).iter().all(|h| *h == 0), "where clients honour none, none is given");
}

#[test]
fn one_of_many_nodes_admits_a_tenant_within_its_quota_and_limits_one_three_times_over() {
    // Guards against a rate scaled up from one request a second, which rejects tenants within their quotas.
    let config = Settings {
        nodes: 500,
        tenants: vec![Tenant { quota_per_s: 500.0 }, Tenant { quota_per_s: 500.0 }],
        may_duplicate: false,
        ..settings()
    };
    let mut node = Node::just_started(config, 70);
    let (mut sent, mut requested) = ([0, 0], [0, 0]);
    for id in 1..=400u64 {
        node.pass(250 * MS);
        let tenant = usize::from(id % 6 == 0); // 3.3 a second of the first, 0.67 of the other, quota 1 each.
        let answer = node.request(Request { tenant, ..read(id, id) });
        (requested[tenant], sent[tenant]) = (requested[tenant] + 1, sent[tenant] + sends(&answer));
        if let Some(to) = sent_to(&answer) {
            node.pass(650 * MS * u64::from(id % 5 == 0)); // One in five nearly late: some strain.
            node.outcome(id, 0, to, AttemptStatus::Served);
        }
    }
    assert!(sent[1] * 100 >= requested[1] * 95, "within its quota: {sent:?} of {requested:?}");
    assert!(sent[0] * 10 < requested[0] * 8, "over its quota: {sent:?} of {requested:?}");
}

#[test]
fn saved_tokens_do_not_prolong_an_overload() {
    // Guards against full buckets at many nodes: 15 s of traffic with the level at its floor.
    let mut config = Settings { nodes: 1000, may_duplicate: false, ..settings() };
    config.tenants = vec![Tenant { quota_per_s: 100.0 }; 9];
    let mut node = Node::just_started(config, 500);
    let mut sent = Vec::new();
    for id in 1..=45u64 {
        node.pass(200 * MS);
        sent.push(sends(&node.request(Request { tenant: id as usize % 9, ..read(id, id) }))); // None answers.
    }
    let (early, late) = (sent[..10].iter().sum::<usize>(), sent[25..].iter().sum::<usize>());
    assert!(early == 10 && late <= 2, "{early} of the first 10 sent, {late} of the last 20");
}
