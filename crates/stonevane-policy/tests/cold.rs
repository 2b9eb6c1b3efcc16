//! A cold server before many balancers that share nothing: what it is sent by all of them together, in every window.
#![allow(missing_docs)]

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use common::*;
use oorandom::Rand64;
use stonevane_policy::*;

/// When servers start, and how long requests come before and after.
const START: Micros = 100 * SECOND;
const AFTER: Micros = 12 * SECOND;
/// Keys that are asked for, and how many ranks the popularity of the first is flattened by.
const KEYS: u64 = 100_000;
const ZIPF_OFFSET: f64 = 10.0;
/// A cold server lacks all keys, the origin has them.
const ANSWERS: Micros = 15 * MS;

#[derive(Debug, Clone, Copy)]
struct Day {
    balancers: u32,
    servers: u32,
    /// Requests a second of all balancers together, and the part of what warm servers can do that this is.
    per_s: f64,
    used: f64,
    /// Servers that start cold, at one moment.
    cold: u32,
    /// Others that leave then, so that their keys go elsewhere.
    gone: u32,
    /// How much more comes from that moment on for two seconds.
    burst: f64,
    /// Whether balancers have lived before: else all start with the servers.
    lived: bool,
    cold_share: f64,
    window: Micros,
    /// How long requests come before the servers start.
    before: Micros,
    /// How long they come afterwards.
    after: Micros,
    /// How popular keys are: of equal popularity, or by Zipf's law with this exponent.
    zipf: Option<f64>,
}

impl Default for Day {
    fn default() -> Day {
        Day {
            balancers: 30,
            servers: 12,
            per_s: 600.0,
            used: 0.7,
            cold: 1,
            gone: 0,
            burst: 1.0,
            lived: true,
            cold_share: 0.25,
            window: 2 * SECOND,
            before: 10 * SECOND,
            after: AFTER,
            zipf: None,
        }
    }
}

/// Keys by their popularity: for each rank, the part of the requests that it and those before it get.
struct Keys(Vec<f64>);

impl Keys {
    fn new(zipf: Option<f64>) -> Keys {
        let exponent = zipf.unwrap_or(0.0);
        let mut sum = 0.0;
        let parts = (0..KEYS).map(|rank| {
            sum += (rank as f64 + ZIPF_OFFSET).powf(-exponent);
            sum
        });
        let parts: Vec<_> = parts.collect();
        Keys(parts.iter().map(|part| part / sum).collect())
    }

    fn draw(&self, rng: &mut Rand64) -> Key {
        let drawn = rng.rand_float();
        1 + self.0.partition_point(|part| *part < drawn) as Key
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer,
    Request,
    Answer(RequestId, u16, ServerId),
}

/// The largest part of its budget that a cold server is sent in any window: N and what is put down to chance.
fn worst_part(day: Day, seed: u64) -> f64 {
    let sent = sent_to_cold(day, seed);
    let settings = config(day);
    let capacity = day.per_s / day.used / f64::from(day.servers);
    let mut worst = 0.0f64;
    for server in 1..=day.cold {
        let times: Vec<_> = sent.iter().filter(|(_, to)| *to == server).map(|(at, _)| *at).collect();
        let mut from = 0;
        for (last, at) in times.iter().enumerate() {
            while times[from] + day.window <= *at {
                from += 1;
            }
            // As cold as it is when the window begins.
            let age = (times[from] - START) as f64 / settings.slow_start_duration as f64;
            let warmth = (day.cold_share + (1.0 - day.cold_share) * age).min(1.0);
            let allowed = settings.overload_multiple * capacity * warmth * day.window as f64 / 1e6;
            let budget = allowed + 2.0 * allowed.sqrt() + 2.0;
            worst = worst.max((last + 1 - from) as f64 / budget);
        }
    }
    worst
}

fn config(day: Day) -> Settings {
    let tenants = vec![Tenant { quota_per_s: day.per_s }];
    Settings {
        nodes: day.balancers,
        tenants,
        initial_capacity: day.cold_share,
        overload_window: day.window,
        ..settings()
    }
}

/// What servers that have started are sent, and when.
fn sent_to_cold(day: Day, seed: u64) -> Vec<(Micros, ServerId)> {
    let mut rng = Rand64::new(u128::from(seed));
    let keys = Keys::new(day.zipf);
    let mut nodes: Vec<_> =
        (0..day.balancers).map(|me| Policy::new(config(day), seed * 1_000 + u64::from(me))).collect();
    let mut due = BinaryHeap::new();
    let (mut sent, mut attempts) = (Vec::new(), std::collections::HashMap::new());
    let begin = if day.lived { START - day.before } else { START };
    let lines = |started| {
        let cold = |id| ServerEntry { started: if id <= day.cold { started } else { 0 }, ..server(id) };
        (1..=day.servers).map(cold).chain([ServerEntry { id: ServerId::MAX, ..origin() }]).collect::<Vec<_>>()
    };
    let mut told = !day.lived;
    for (id, policy) in nodes.iter_mut().enumerate() {
        let mut out = Vec::new();
        let servers = lines(if day.lived { 0 } else { START });
        policy.handle(begin, Event::ServerList { kind: ListUpdate::Full, servers }, &mut out);
        let timer = |a: &Action| if let Action::Timer { after, .. } = a { Some(*after) } else { None };
        due.extend(out.iter().filter_map(timer).map(|after| Reverse((begin + after, id, Due::Timer))));
    }
    due.push(Reverse((begin, 0, Due::Request)));
    let mut request = 0;
    while let Some(Reverse((now, id, what))) = due.pop() {
        if now > START + day.after {
            break;
        }
        if !told && now >= START {
            told = true;
            for policy in &mut nodes {
                let mut servers = lines(START);
                servers.retain(|line| line.kind != 0 || line.id <= day.servers - day.gone);
                let list = Event::ServerList { kind: ListUpdate::Full, servers };
                policy.handle(now, list, &mut Vec::new());
            }
        }
        let mut out = Vec::new();
        let (mut asks, mut node) = (None, id);
        match what {
            Due::Timer => nodes[id].handle(now, Event::Timer(0), &mut out),
            Due::Answer(request, attempt, server) => {
                let cold = server <= day.cold && now >= START;
                let status = if cold { AttemptStatus::Miss } else { AttemptStatus::Served };
                let (note, load, over) =
                    (CacheStatus::None, LoadReport::default(), status == AttemptStatus::Served);
                let outcome = Outcome {
                    request,
                    attempt,
                    server,
                    status,
                    request_finished: over,
                    cache_status: note,
                    elapsed: ANSWERS,
                    load,
                    first_on_connection: false,
                };
                nodes[id].handle(now, Event::Outcome(outcome), &mut out);
            }
            Due::Request => {
                request += 1;
                let more = if (START..START + 2 * SECOND).contains(&now) { day.burst } else { 1.0 };
                let wait = -(1.0 - rng.rand_float()).ln() / (day.per_s * more) * 1e6;
                due.push(Reverse((now + 1 + wait as Micros, 0, Due::Request)));
                // Some balancers get several times the mean.
                let uneven = rng.rand_float().powi(2);
                node = (uneven * f64::from(day.balancers)) as usize;
                asks = Some(read(request, keys.draw(&mut rng)));
            }
        }
        if let Some(read) = asks {
            nodes[node].handle(now, Event::Request(read), &mut out);
        }
        for action in out {
            match action {
                Action::Timer { after, .. } => due.push(Reverse((now + after.max(1), node, Due::Timer))),
                Action::Send { request, server, .. } => {
                    let attempt = attempts.entry(request).or_insert(0u16);
                    due.push(Reverse((now + ANSWERS, node, Due::Answer(request, *attempt, server))));
                    *attempt += 1;
                    if server <= day.cold && now >= START {
                        sent.push((now, server));
                    }
                }
                _ => {}
            }
        }
    }
    sent
}

#[test]
fn all_balancers_together_keep_to_a_cold_servers_budget_in_every_window() {
    let day = Day::default();
    let days = [
        ("one balancer", Day { balancers: 1, ..day }),
        ("thirty", day),
        ("thirty, little traffic", Day { per_s: 100.0, ..day }),
        ("thirty, burst", Day { burst: 1.5, ..day }),
        ("thirty, little traffic, burst", Day { per_s: 100.0, burst: 1.5, ..day }),
        ("thirty, four come back cold", Day { cold: 4, burst: 1.5, ..day }),
        ("thirty, one cold as four leave", Day { gone: 4, burst: 1.5, ..day }),
        ("thirty, one cold as six leave", Day { gone: 6, burst: 1.5, ..day }),
        ("thirty, seven of twelve replaced", Day { cold: 7, burst: 1.5, ..day }),
        ("thirty that start with it", Day { lived: false, burst: 1.5, ..day }),
        ("thirty, nearly full", Day { used: 0.95, burst: 1.5, ..day }),
        ("thirty, a short window", Day { window: SECOND / 2, burst: 1.5, ..day }),
        ("thirty, colder, little traffic", Day { cold_share: 0.1, per_s: 100.0, burst: 1.5, ..day }),
        ("three hundred, little traffic", Day { balancers: 300, per_s: 100.0, burst: 1.5, ..day }),
    ];
    check(&days, 5);
}

fn check(days: &[(&str, Day)], seeds: u64) {
    let mut over = Vec::new();
    for &(name, day) in days {
        let worst = (1..=seeds).map(|seed| worst_part(day, seed)).fold(0.0, f64::max);
        println!("{name}: {worst:.2} of the budget");
        if worst > 1.0 {
            over.push((name, worst));
        }
    }
    assert!(over.is_empty(), "{over:?}");
}

#[test]
fn a_cold_servers_budget_holds_for_any_number_of_balancers_and_servers() {
    let small = Day { balancers: 300, per_s: 3_900.0, burst: 1.5, before: 6 * SECOND, ..Day::default() };
    let small = Day { after: 6 * SECOND, ..small };
    let large = Day { servers: 2_700, cold: 900, gone: 900, ..small };
    check(
        &[
            ("three hundred before 170, fifty replaced", Day { servers: 170, cold: 50, gone: 50, ..small }),
            ("the same, popular keys", Day { servers: 170, cold: 50, gone: 50, zipf: Some(0.9), ..small }),
            ("three hundred before 2,700, 900 replaced", large),
            ("the same, popular keys", Day { zipf: Some(0.9), ..large }),
            ("the same, that start with them", Day { zipf: Some(0.9), lived: false, ..large }),
            (
                "ten cold as 1,800 leave, popular keys",
                Day { cold: 10, gone: 1_800, zipf: Some(0.9), ..large },
            ),
            (
                "eight before 3,200, popular keys",
                Day { balancers: 8, per_s: 120.0, servers: 3_200, zipf: Some(0.9), ..large },
            ),
            ("thirty before twelve, one cold as nine leave", Day { gone: 9, burst: 1.5, ..Day::default() }),
        ],
        2,
    );
}
