//! Many node processes in front of one server in slow start. They share one budget of calls to this server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::*;

const PROCESSES: usize = 40;
const SERVERS: usize = 20;
/// Requests per second of all processes and tenants together; the capacity of the servers is twice that.
const QUOTA_PER_S: f64 = 20.0;
const SLOW_START_SHARE: f64 = 0.25;
const SLOW_START_DURATION: Duration = Duration::from_secs(60);
const OVERLOAD_WINDOW: Duration = Duration::from_secs(10);
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Number of keys that every process requests.
const POPULAR_KEYS: usize = 3;

/// Number of calls that a server at the beginning of its slow start can handle within `OVERLOAD_WINDOW`, with
/// an allowance for random variation.
fn budget() -> f64 {
    let capacity = 2.0 * QUOTA_PER_S / SERVERS as f64;
    let calls = OVERLOAD_MULTIPLE * capacity * SLOW_START_SHARE * OVERLOAD_WINDOW.as_secs_f64();
    calls + if calls < 30.0 { 3.0 * (calls + 3.0).sqrt() } else { 2.0 * (calls + 2.0).sqrt() }
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// A list whose last cache server started at `started_ms` (Unix time in ms, 0 for long ago). The others are
/// warmed up and share one address.
fn list(warm: SocketAddr, last: SocketAddr, origin: SocketAddr, started_ms: u128) -> String {
    let mut entries: Vec<_> =
        (1..SERVERS).map(|number| entry(&format!("s-{number}"), warm, "std", "active")).collect();
    let started = format!("\"since_ms\":{started_ms}");
    entries.push(entry("s-last", last, "std", "active").replace("\"since_ms\":0", &started));
    entries.push(entry("o-1", origin, "origin", "active"));
    server_list(5, true, &entries)
}

fn fleet_settings(processes: usize, number: usize, quota: f64) -> String {
    settings()
        .replace("\"balancers\":1,\"me\":0", &format!("\"balancers\":{processes},\"me\":{number}"))
        .replace("\"quotaPerS\":1000.0", &format!("\"quotaPerS\":{quota}"))
        .replace(
            "\"drainGraceUs\":500000",
            &format!(
                "\"drainGraceUs\":500000,\"coldShare\":{SLOW_START_SHARE},\"coldUs\":{},\"fallMultiple\":{OVERLOAD_MULTIPLE},\
                 \"tipAfterUs\":{}",
                SLOW_START_DURATION.as_micros(),
                OVERLOAD_WINDOW.as_micros()
            ),
        )
}

/// Arrival time and key of each read at an emulated server.
type Arrivals = Arc<Mutex<Vec<(Instant, String)>>>;

fn recording_cache() -> (EmulatedServer, Arrivals) {
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let cache = cache(move |words| {
        if words[0] == "OBJ.GET" {
            recorded.lock().unwrap().push((Instant::now(), words[1].clone()));
        }
        Action::Respond(hit("value"))
    });
    (cache, arrivals)
}

/// The most reads that arrived within any `OVERLOAD_WINDOW`.
fn most_in_a_window(arrivals: &Arrivals) -> usize {
    let times: Vec<_> = arrivals.lock().unwrap().iter().map(|(at, _)| *at).collect();
    let within =
        |from: &Instant| times.iter().filter(|at| (*from..*from + OVERLOAD_WINDOW).contains(at)).count();
    times.iter().map(within).max().unwrap_or(0)
}

/// Keys whose first choice is the last server, found by a single process with a quota too high to limit it.
fn keys_of_the_last_server(known: &str, arrivals: &Arrivals) -> Vec<String> {
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start_with_settings(discovery, known, 256, "", &fleet_settings(1, 0, 1e6));
    let mut client = node.client();
    for number in 0..2_000 {
        client.request(&get(&format!("key-{number}"), &number.to_string())).unwrap();
        if arrivals.lock().unwrap().len() >= POPULAR_KEYS {
            break;
        }
    }
    let keys: Vec<_> = arrivals.lock().unwrap().drain(..).map(|(_, key)| key).collect();
    assert!(keys.len() >= POPULAR_KEYS, "{keys:?}");
    keys
}

/// Requests a few keys of the last server once from each of many processes, and returns the most reads that
/// this server received in a window.
fn popular_keys_at_many_processes(started_ms: u128) -> usize {
    let warm = cache(|_| Action::Respond(hit("value")));
    let (last, arrivals) = recording_cache();
    let origin = failing_origin();
    let keys =
        keys_of_the_last_server(&list(warm.address, last.address, origin.address, unix_ms()), &arrivals);
    let known = list(warm.address, last.address, origin.address, started_ms);
    let quiet_discoveries: Vec<_> = (0..PROCESSES).map(|_| quiet_discovery()).collect();
    let processes: Vec<_> = quiet_discoveries
        .iter()
        .enumerate()
        .map(|(number, (discovery, ..))| {
            Node::start_with_settings(
                *discovery,
                &known,
                256,
                "",
                &fleet_settings(PROCESSES, number, QUOTA_PER_S),
            )
        })
        .collect();
    let mut answers = HashMap::new();
    for (turn, key) in keys.iter().enumerate() {
        for process in &processes {
            let answer = process.client().request(&get(key, &format!("{turn}"))).unwrap();
            *answers.entry(answer).or_insert(0) += 1;
        }
    }
    assert!(answers.get("value").copied().unwrap_or(0) > PROCESSES, "too few are served: {answers:?}");
    most_in_a_window(&arrivals)
}

#[test]
fn many_processes_together_stay_within_the_budget_of_a_server_in_slow_start() {
    let sent = popular_keys_at_many_processes(unix_ms());
    println!("{sent} calls in a window, {:.1} are allowed", budget());
    assert!(sent as f64 <= budget(), "{sent} calls in a window, {:.1} are allowed", budget());
}

#[test]
fn control_many_processes_exceed_the_slow_start_budget_at_a_warmed_up_server() {
    let sent = popular_keys_at_many_processes(0);
    assert!(
        sent as f64 > budget(),
        "{sent} calls are within the budget: the keys do not belong to this server"
    );
}
