//! Admission: tenant quotas and load shedding.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn under_overload_the_tenant_over_its_quota_is_rejected_and_the_other_is_served() {
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota_per_s: 50.0 }, Tenant { quota_per_s: 50.0 }];
    let mut node = Node::new(settings, 20);
    let (mut served, mut requested) = ([0, 0], [0, 0]);
    for id in 1..=3000u64 {
        node.advance(5 * MS);
        let tenant = usize::from(id % 6 == 0);
        let actions = node.request(Request { tenant, ..read(id, id) });
        if id > 1000 {
            requested[tenant] += 1;
            served[tenant] += send_count(&actions);
        }
        let (status, to) =
            (if id % 16 == 0 { AttemptStatus::Rejected } else { AttemptStatus::Served }, sent_to(&actions));
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
fn far_too_slow_servers_get_well_under_half_of_the_quotas() {
    // Guards against a minimum of 0.6 of the quotas for the admission level: servers that have become eight
    // times slower then stay overloaded.
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota_per_s: 50.0 }];
    let mut node = Node::new(settings, 300);
    let (mut out, mut late) = (std::collections::VecDeque::new(), 0);
    for id in 1..=800u64 {
        node.advance(20 * MS);
        if let Some(to) = sent_to(&node.request(read(id, id))) {
            out.push_back((id, to, node.now));
            late += u32::from(id > 600);
        }
        while out.front().is_some_and(|(_, _, sent)| node.now - sent > 900 * MS) {
            let (id, to, _) = out.pop_front().unwrap();
            node.outcome(id, 0, to, AttemptStatus::Served);
        }
    }
    // Also guards against counting an attempt twice as an overload signal: once when slow and once when
    // nearly late.
    assert!((30..80).contains(&late), "{late} of the last 200 requests sent");
}

#[test]
fn slow_responses_within_the_latency_objective_reject_no_tenant_within_its_quota() {
    // Guards against counting responses at half of the latency objective as an overload signal.
    let mut settings = Settings { may_duplicate: false, ..settings() };
    settings.tenants = vec![Tenant { quota_per_s: 100.0 }];
    let mut node = Node::new(settings, 3000);
    let mut out = std::collections::VecDeque::new();
    for id in 1..=400u64 {
        node.advance(20 * MS);
        if let Some(to) = sent_to(&node.request(read(id, id))) {
            out.push_back((id, to));
        }
        if out.len() > 22 {
            let (id, to) = out.pop_front().unwrap();
            node.outcome(id, 0, to, AttemptStatus::Served);
        }
    }
    let rejections = node.actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    assert!(rejections < 8, "{rejections} of 400 requests rejected at 50 per second within a quota of 100");
}

#[test]
fn a_rejected_client_gets_a_short_retry_after() {
    // Guards against long retry delays: clients that wait 2 s retry too late and take the tokens of timely
    // requests.
    let retry_afters = |max_retry_after: Micros| {
        let mut settings = Settings { max_retry_after, nodes: 400, ..settings() };
        settings.tenants = vec![Tenant { quota_per_s: 1.0 }];
        let mut node = Node::just_started(settings, 20);
        (1..=40).for_each(|id| {
            node.request(read(id, id));
        });
        let retry_after = |a: &Action| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        };
        node.actions.iter().filter_map(retry_after).collect::<Vec<_>>()
    };
    let delays = retry_afters(SECOND);
    assert!(delays.len() > 20 && delays.iter().all(|delay| (12 * MS..38 * MS).contains(delay)), "{delays:?}");
    assert!(retry_afters(0).iter().all(|delay| *delay == 0), "clients ignore retry-after, yet one is given");
}

#[test]
fn one_of_many_nodes_admits_a_tenant_within_its_quota_and_limits_one_at_three_times_its_quota() {
    // Guards against a rate extrapolated from one request per second, which rejects tenants within their
    // quotas.
    let settings = Settings {
        nodes: 500,
        tenants: vec![Tenant { quota_per_s: 500.0 }, Tenant { quota_per_s: 500.0 }],
        may_duplicate: false,
        ..settings()
    };
    let mut node = Node::just_started(settings, 70);
    let (mut sent, mut requested) = ([0, 0], [0, 0]);
    for id in 1..=400u64 {
        node.advance(250 * MS);
        // The tenants send 3.3 and 0.67 requests per second; the node's share of each quota is 1 request per
        // second.
        let tenant = usize::from(id % 6 == 0);
        let actions = node.request(Request { tenant, ..read(id, id) });
        (requested[tenant], sent[tenant]) = (requested[tenant] + 1, sent[tenant] + send_count(&actions));
        if let Some(to) = sent_to(&actions) {
            // One in five is nearly late, which signals overload.
            node.advance(650 * MS * u64::from(id % 5 == 0));
            node.outcome(id, 0, to, AttemptStatus::Served);
        }
    }
    assert!(sent[1] * 100 >= requested[1] * 95, "within its quota: {sent:?} of {requested:?}");
    assert!(sent[0] * 10 < requested[0] * 8, "over its quota: {sent:?} of {requested:?}");
}

#[test]
fn full_token_buckets_do_not_prolong_an_overload() {
    // Guards against the full token buckets of many nodes, which admit 15 s of traffic with the admission
    // level at its floor.
    let mut settings = Settings { nodes: 1000, may_duplicate: false, ..settings() };
    settings.tenants = vec![Tenant { quota_per_s: 100.0 }; 9];
    let mut node = Node::just_started(settings, 500);
    let mut sent = Vec::new();
    for id in 1..=45u64 {
        node.advance(200 * MS);
        // No server answers.
        sent.push(send_count(&node.request(Request { tenant: id as usize % 9, ..read(id, id) })));
    }
    let (early, late) = (sent[..10].iter().sum::<usize>(), sent[25..].iter().sum::<usize>());
    assert!(early == 10 && late <= 2, "{early} of the first 10 requests sent, {late} of the last 20");
}
