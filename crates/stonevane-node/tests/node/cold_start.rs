//! Many processes before one server in slow start: its budget is one for all of them together.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::*;

const PROCESSES: usize = 40;
const SERVERS: usize = 20;
/// Of all processes and tenants together, requests a second. Servers can do twice that.
const QUOTA: f64 = 20.0;
const COLD_SHARE: f64 = 0.25;
const WARM_UP: Duration = Duration::from_secs(60);
const FALL_AFTER: Duration = Duration::from_secs(10);
const FALL_MULTIPLE: f64 = 3.0;
/// Popular keys that every process is asked for.
const POPULAR: usize = 3;

/// What a server at the beginning of its slow start bears within `FALL_AFTER`, with what is put down to chance.
fn budget() -> f64 {
    let capacity = 2.0 * QUOTA / SERVERS as f64;
    let calls = FALL_MULTIPLE * capacity * COLD_SHARE * FALL_AFTER.as_secs_f64();
    calls + if calls < 30.0 { 3.0 * (calls + 3.0).sqrt() } else { 2.0 * (calls + 2.0).sqrt() }
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// A list of which the last cache server started at a time, 0 for long ago; the others share an address.
fn list(warm: SocketAddr, last: SocketAddr, origin: SocketAddr, started_ms: u128) -> String {
    let mut entries: Vec<_> =
        (1..SERVERS).map(|number| entry(&format!("s-{number}"), warm, "std", "active")).collect();
    let started = format!("\"since_ms\":{started_ms}");
    entries.push(entry("s-last", last, "std", "active").replace("\"since_ms\":0", &started));
    entries.push(entry("o-1", origin, "origin", "active"));
    listing(5, true, &entries)
}

fn fleet_settings(processes: usize, number: usize, quota: f64) -> String {
    settings()
        .replace("\"balancers\":1,\"me\":0", &format!("\"balancers\":{processes},\"me\":{number}"))
        .replace("\"quotaPerS\":1000.0", &format!("\"quotaPerS\":{quota}"))
        .replace(
            "\"drainGraceUs\":500000",
            &format!(
                "\"drainGraceUs\":500000,\"coldShare\":{COLD_SHARE},\"coldUs\":{},\"fallMultiple\":{FALL_MULTIPLE},\
                 \"tipAfterUs\":{}",
                WARM_UP.as_micros(),
                FALL_AFTER.as_micros()
            ),
        )
}

/// When a emulated server was sent which keys.
type Arrivals = Arc<Mutex<Vec<(Instant, String)>>>;

fn recording_cache() -> (EmulatedServer, Arrivals) {
    let arrivals = Arrivals::default();
    let seen = arrivals.clone();
    let cache = cache(move |words| {
        if words[0] == "OBJ.GET" {
            seen.lock().unwrap().push((Instant::now(), words[1].clone()));
        }
        Act::Say(hit("value"))
    });
    (cache, arrivals)
}

/// The most that arrived within `FALL_AFTER`.
fn most_in_a_window(arrivals: &Arrivals) -> usize {
    let times: Vec<_> = arrivals.lock().unwrap().iter().map(|(at, _)| *at).collect();
    let within = |from: &Instant| times.iter().filter(|at| (*from..*from + FALL_AFTER).contains(at)).count();
    times.iter().map(within).max().unwrap_or(0)
}

/// Keys that come to the last server first, found by a process that is alone and may send it much.
fn keys_of_the_last_server(known: &str, arrivals: &Arrivals) -> Vec<String> {
    let (discovery, _say, _calls) = quiet();
    let scout = Node::start_in(discovery, known, 256, "", &fleet_settings(1, 0, 1e6));
    let mut client = scout.client();
    for number in 0..2_000 {
        client.ask(&get(&format!("key-{number}"), &number.to_string())).unwrap();
        if arrivals.lock().unwrap().len() >= POPULAR {
            break;
        }
    }
    let keys: Vec<_> = arrivals.lock().unwrap().drain(..).map(|(_, key)| key).collect();
    assert!(keys.len() >= POPULAR, "{keys:?}");
    keys
}

/// Asks each of many processes once for each of a few keys that belong to the last server; the most that this got in a
/// window.
fn popular_keys_at_many_processes(started_ms: u128) -> usize {
    let warm = cache(|_| Act::Say(hit("value")));
    let (last, arrivals) = recording_cache();
    let origin = no_origin();
    let keys =
        keys_of_the_last_server(&list(warm.address, last.address, origin.address, unix_ms()), &arrivals);
    let known = list(warm.address, last.address, origin.address, started_ms);
    let quiet_discoveries: Vec<_> = (0..PROCESSES).map(|_| quiet()).collect();
    let processes: Vec<_> = quiet_discoveries
        .iter()
        .enumerate()
        .map(|(number, (discovery, ..))| {
            Node::start_in(*discovery, &known, 256, "", &fleet_settings(PROCESSES, number, QUOTA))
        })
        .collect();
    let mut answers = HashMap::new();
    for (turn, key) in keys.iter().enumerate() {
        for process in &processes {
            let answer = process.client().ask(&get(key, &format!("{turn}"))).unwrap();
            *answers.entry(answer).or_insert(0) += 1;
        }
    }
    assert!(answers.get("value").copied().unwrap_or(0) > PROCESSES, "most are served: {answers:?}");
    most_in_a_window(&arrivals)
}

#[test]
fn many_processes_together_keep_to_the_budget_of_a_server_in_slow_start() {
    let sent = popular_keys_at_many_processes(unix_ms());
    println!("{sent} calls in a window, {:.1} are allowed", budget());
    assert!(sent as f64 <= budget(), "{sent} calls in a window, {:.1} are allowed", budget());
}

#[test]
fn control_many_processes_send_a_warm_server_all_of_its_popular_keys() {
    let sent = popular_keys_at_many_processes(0);
    assert!(sent as f64 > budget(), "{sent} calls: the keys do not belong to this server");
}
