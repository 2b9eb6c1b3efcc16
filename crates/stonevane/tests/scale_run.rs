//! `stonevane scale run` as its users meet it: real processes and sockets on loopback. What is waited for are events;
//! no verdict here depends on how fast the machine is.
#![allow(missing_docs)]

use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

use stonevane_scale::coordinator::{Environment, RunError, run};
use stonevane_scale::host::Interrupt;
use stonevane_scale::limits::{LimitError, MIB, MemoryCosts};
use stonevane_scale::plan::{Membership, Plan};

mod common;

use common::{STONEVANE, Temp, stonevane, text};

/// A short period, and a budget that any machine keeps.
const QUICK: &[&str] = &["scale", "run", "--period-ms", "200", "--seconds", "1", "--verbose"];
const KEPT: &[&str] = &[
    "--budget-cpu-us",
    "1000000000",
    "--budget-memory-mb",
    "1000000",
    "--budget-bytes",
    "1000000000",
    "--budget-death-s",
    "1000000",
];

/// The numbers of the workers' processes among what `--verbose` tells.
fn workers(told: &str) -> Vec<u32> {
    let number = |line: &str| line.split_once("worker process ")?.1.split(':').next()?.parse().ok();
    told.lines().filter_map(number).collect()
}

/// Whether a process runs; one that has ended and waits for its parent's look does not.
fn runs(process: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let state = stat.rsplit(") ").next().and_then(|rest| rest.chars().next());
    state.is_some_and(|state| state != 'Z')
}

/// Lines of standard error that say why it ended.
fn reasons(told: &str) -> Vec<&str> {
    told.lines().filter(|line| line.starts_with("stonevane: ")).collect()
}

#[test]
fn a_fleet_in_two_processes_converges_all_learn_of_a_death_and_nothing_is_left() {
    let csv = Temp::new("scale.csv", "");
    let mut args = QUICK.to_vec();
    args.extend(["--nodes", "6,12", "--workers", "2", "--json", "--csv", csv.path()]);
    let output = stonevane(&[&args, KEPT].concat());
    let told = text(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{told}");
    let lines: Vec<serde_json::Value> =
        text(&output.stdout).lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 2, "one line a size");
    for (line, nodes) in lines.iter().zip([6, 12]) {
        assert_eq!((&line["nodes"], &line["workers"]), (&nodes.into(), &2.into()));
        assert_eq!(line["within_budget"], true);
        for figure in ["converged_s", "rested_s", "udp_bytes_s", "datagrams_s", "cpu_us_s", "death_known_s"] {
            assert!(line[figure].as_f64().is_some_and(|figure| figure > 0.0), "{figure}: {line}");
        }
        assert!(line["memory_bytes"].as_u64().unwrap() > 0);
    }
    let table = std::fs::read_to_string(csv.path()).unwrap();
    assert_eq!(table.lines().count(), 3);
    assert!(table.starts_with("nodes,regions,domain,workers,seed,converged_s,"), "{table}");
    let workers = workers(&told);
    assert_eq!(workers.len(), 4, "{told}");
    assert!(!workers.into_iter().any(runs));
}

#[test]
fn regions_of_their_own_membership_learn_of_their_own_dead_and_too_much_is_exit_1() {
    let mut args = QUICK.to_vec();
    args.extend(["--nodes", "12", "--workers", "2", "--regions", "3", "--membership-per-region"]);
    // Any fleet sends more than a byte.
    let mut budget = KEPT.to_vec();
    budget[5] = "1";
    let output = stonevane(&[args, budget].concat());
    let told = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{told}");
    let line = text(&output.stdout);
    assert_eq!(line.lines().count(), 1);
    assert!(line.contains("nodes=12 regions=3 domain=4 ") && line.ends_with("budget=over\n"), "{line}");
    assert!(!line.contains("death_known_s=-"), "{line}");
    let reasons = reasons(&told);
    assert!(reasons.len() == 1 && reasons[0].contains("over budget: UDP and TCP"), "{told}");
}

#[test]
fn what_is_not_reached_in_time_is_over_the_budget_and_the_line_says_so() {
    // A period of a minute: nobody can be held dead within a second.
    let mut args = vec!["scale", "run", "--period-ms", "60000", "--phase-seconds", "1", "--nodes", "8"];
    args.extend(KEPT);
    let output = stonevane(&args);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stdout).contains("converged_s=- rested_s=- "), "{}", text(&output.stdout));
    assert_eq!(reasons(&text(&output.stderr)).len(), 1);
}

#[test]
fn what_can_not_be_used_is_one_line_and_exit_2_and_nothing_is_started() {
    let cases: [(&[&str], &str); 18] = [
        (&["--nodes", "0"], "--nodes is 0"),
        (&["--nodes", "1"], "a single node"),
        (&["--nodes", "many"], "invalid value 'many' for '--nodes"),
        (&["--nodes", "-3"], "unexpected argument"),
        (&["--nodes", "16,"], "invalid value"),
        (&["--nodes", "16,16"], "rise"),
        (&["--nodes", "64,16"], "rise"),
        (&[], "--nodes"),
        (&["--nodes", "4", "--regions", "5"], "some regions would have no node"),
        (&["--nodes", "4", "--regions", "0"], "--regions is 0"),
        (&["--nodes", "8", "--seed", "x"], "--seed"),
        (&["--nodes", "8", "--workers", "9"], "--workers is 9"),
        (&["--nodes", "8", "--period-ms", "1"], "period_ms"),
        (&["--nodes", "8", "--budget-death-s", "0"], "a number above 0"),
        (&["--nodes", "8", "--memory-mb", "1"], "the limit is 1 MiB"),
        (&["--nodes", "8", "--memory-mb", "18446744073709551615"], "half of this machine's memory"),
        (&["--nodes", "8,65536"], "at most 65535 can be named"),
        (&["--nodes", "8", "--csv", "/no/such/folder/x.csv"], "/no/such/folder/x.csv"),
    ];
    for (args, expected) in cases {
        let output = stonevane(&[&["scale", "run", "--verbose"], args].concat());
        let told = text(&output.stderr);
        assert_eq!((output.status.code(), told.lines().count()), (Some(2), 1), "{args:?}: {told}");
        assert!(told.starts_with("stonevane: ") && told.contains(expected), "{args:?}: {told}");
        assert!(output.stdout.is_empty());
    }
}

#[test]
fn more_nodes_than_descriptors_allow_is_exit_2() {
    let command = format!("ulimit -S -n 128 && exec {STONEVANE} scale run --nodes 70 --workers 4");
    let output = Command::new("sh").args(["-c", &command]).output().unwrap();
    let told = text(&output.stderr);
    assert_eq!((output.status.code(), told.lines().count()), (Some(2), 1), "{told}");
    assert!(
        told.contains("70 hollow nodes: the coordinator needs 142 descriptors; the limit is 128"),
        "{told}"
    );
}

/// A run that would go on for hours, at rest in two workers, with their processes.
fn long_run() -> (Child, BufReader<ChildStderr>, Vec<u32>) {
    let args = ["scale", "run", "--nodes", "8", "--workers", "2", "--verbose", "--period-ms", "200"];
    let mut child = Command::new(STONEVANE)
        .args(args)
        .args(["--seconds", "36000", "--phase-seconds", "36000"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut told = BufReader::new(child.stderr.take().unwrap());
    let mut text = String::new();
    while !text.contains("all are at rest") {
        assert_ne!(told.read_line(&mut text).unwrap(), 0, "it has ended: {text}");
    }
    let workers = workers(&text);
    assert!(workers.len() == 2 && workers.iter().all(|worker| runs(*worker)), "{text}");
    (child, told, workers)
}

/// Its exit code, and why it ended; no process is left.
fn end_of(mut child: Child, told: BufReader<ChildStderr>, workers: Vec<u32>) -> (Option<i32>, Vec<String>) {
    let lines: Vec<String> = told.lines().map_while(Result::ok).collect();
    let status = child.wait().unwrap();
    assert!(!workers.into_iter().any(runs), "{lines:?}");
    (status.code(), lines)
}

fn signal(name: &str, process: u32) {
    assert!(Command::new("kill").args([name, &process.to_string()]).status().unwrap().success());
}

#[test]
fn a_worker_that_dies_ends_the_run_with_exit_3_and_nothing_is_left() {
    let (child, told, workers) = long_run();
    signal("-KILL", workers[1]);
    let expected = format!("stonevane: the worker with process number {} has ended", workers[1]);
    let (code, lines) = end_of(child, told, workers);
    assert_eq!((code, lines.len()), (Some(3), 1), "{lines:?}");
    assert!(lines[0].starts_with(&expected), "{lines:?}");
}

#[test]
fn an_interrupt_ends_the_run_with_exit_3_and_nothing_is_left() {
    for name in ["-INT", "-TERM"] {
        let (child, told, workers) = long_run();
        signal(name, child.id());
        let ended = end_of(child, told, workers);
        assert_eq!(ended, (Some(3), vec!["stonevane: interrupted".to_owned()]));
    }
}

#[test]
fn workers_end_with_a_run_that_is_killed() {
    let (mut child, _told, workers) = long_run();
    child.kill().unwrap();
    child.wait().unwrap();
    let begun = Instant::now();
    while workers.iter().any(|worker| runs(*worker)) {
        assert!(begun.elapsed() < Duration::from_secs(60), "they run on");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Eight nodes in two workers.
fn plan(seconds: u64) -> Plan {
    Plan {
        nodes: 8,
        regions: 1,
        domain_per_region: false,
        workers: 2,
        seed: 1,
        caches: 1,
        membership: Membership::with_period(Duration::from_millis(200)).unwrap(),
        window: Duration::from_secs(seconds),
        phase: Duration::from_secs(seconds),
    }
}

/// Workers are this program; they are held to need nothing, so that they start in any case.
fn environment(program: &str, arguments: &[&str], memory_limit: u64) -> Environment {
    Environment {
        worker: (PathBuf::from(program), arguments.iter().map(ToString::to_string).collect()),
        memory_limit_bytes: memory_limit,
        max_descriptors: 1_024,
        costs: MemoryCosts { process_bytes: 0, node_bytes: 0, member_bytes: 0 },
        interrupt: Interrupt::default(),
    }
}

#[test]
fn a_run_that_takes_more_memory_than_it_may_is_ended() {
    // One whose workers report without a pause, so that there is an event at any time, is looked at as well.
    let reached = r#"{"nodes":0,"changed":0}"#;
    let flood = format!(
        "while :; do echo '{{\"progress\":{{\"complete\":{reached},\"rested\":{reached},\"informed\":{reached}}}}}'; done"
    );
    for (program, arguments) in [(STONEVANE, ["scale", "worker"]), ("/bin/sh", ["-c", flood.as_str()])] {
        // Any process has more than this resident.
        let environment = environment(program, &arguments, MIB);
        let mut told = String::new();
        let ended = run(&plan(36_000), &environment, &mut |step| told.push_str(&(step + "\n"))).unwrap_err();
        assert!(
            matches!(&ended, RunError::MemoryLimitExceeded(LimitError::MemoryUsed { limit: MIB, .. })),
            "{program}: {ended}"
        );
        assert!(!ended.is_invalid_input());
        let workers = workers(&told);
        assert!(workers.len() == 2 && !workers.into_iter().any(runs), "{told}");
    }
}

#[test]
fn a_worker_that_is_none_is_an_error_and_not_the_inputs() {
    let cases = [
        ("/no/such/program", "", "can't be run"),
        ("/bin/sh", "true", "has ended"),
        ("/bin/sh", "echo hello; exec sleep 600", "can't be understood"),
        ("/bin/sh", r#"echo '{"failed":{"why":"no ports"}}'; exec sleep 600"#, "has ended (no ports)"),
        ("/bin/sh", r#"echo '{"killed":{"at":1}}'; exec sleep 600"#, "not asked for"),
    ];
    for (program, script, expected) in cases {
        let ended = run(&plan(1), &environment(program, &["-c", script], u64::MAX), &mut |_| ()).unwrap_err();
        assert!(ended.to_string().contains(expected) && !ended.is_invalid_input(), "{script}: {ended}");
    }
}

#[test]
fn a_worker_that_is_told_nonsense_says_so_and_one_that_is_told_nothing_ends() {
    for (input, code, said) in
        [("", 0, ""), ("dance\n", 3, "failed"), ("{\"kill\":{\"number\":0}}\n", 3, "failed")]
    {
        let mut worker = Command::new(STONEVANE)
            .args(["scale", "worker"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        worker.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
        let output = worker.wait_with_output().unwrap();
        assert_eq!(output.status.code(), Some(code), "{input}");
        assert!(text(&output.stdout).contains(said));
    }
}
