//! End-to-end tests of `stonevane scale run` with real processes and sockets on loopback. They wait for
//! events, so no result depends on the speed of the machine.
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

/// Arguments for a fast run: a short membership period and measurement window.
const FAST_RUN: &[&str] = &["scale", "run", "--period-ms", "200", "--seconds", "1", "--verbose"];
/// A budget that any machine keeps.
const AMPLE_BUDGET: &[&str] = &[
    "--budget-cpu-us",
    "1000000000",
    "--budget-memory-mb",
    "1000000",
    "--budget-bytes",
    "1000000000",
    "--budget-death-s",
    "1000000",
];

/// Returns the process ids of the workers from the output of `--verbose`.
fn workers(stderr: &str) -> Vec<u32> {
    let pid = |line: &str| line.split_once("worker process ")?.1.split(':').next()?.parse().ok();
    stderr.lines().filter_map(pid).collect()
}

/// Returns whether a process is running. A zombie, which has ended but was not waited for, is not.
fn is_running(process: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let state = stat.rsplit(") ").next().and_then(|rest| rest.chars().next());
    state.is_some_and(|state| state != 'Z')
}

/// Returns the lines of standard error that state an error.
fn reasons(stderr: &str) -> Vec<&str> {
    stderr.lines().filter(|line| line.starts_with("stonevane: ")).collect()
}

#[test]
fn a_fleet_in_two_processes_converges_learns_of_a_death_and_leaves_no_process() {
    let csv = Temp::new("scale.csv", "");
    let mut args = FAST_RUN.to_vec();
    args.extend(["--nodes", "6,12", "--workers", "2", "--json", "--csv", csv.path()]);
    let output = stonevane(&[&args, AMPLE_BUDGET].concat());
    let stderr = text(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{stderr}");
    let lines: Vec<serde_json::Value> =
        text(&output.stdout).lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 2, "one line per size");
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
    let workers = workers(&stderr);
    assert_eq!(workers.len(), 4, "{stderr}");
    assert!(!workers.into_iter().any(is_running));
}

#[test]
fn membership_per_region_learns_of_a_death_and_an_exceeded_budget_exits_with_1() {
    let mut args = FAST_RUN.to_vec();
    args.extend(["--nodes", "12", "--workers", "2", "--regions", "3", "--membership-per-region"]);
    // Any fleet sends more than one byte per node and second.
    let mut budget = AMPLE_BUDGET.to_vec();
    budget[5] = "1";
    let output = stonevane(&[args, budget].concat());
    let stderr = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    let line = text(&output.stdout);
    assert_eq!(line.lines().count(), 1);
    assert!(line.contains("nodes=12 regions=3 domain=4 ") && line.ends_with("budget=over\n"), "{line}");
    assert!(!line.contains("death_known_s=-"), "{line}");
    let reasons = reasons(&stderr);
    assert!(reasons.len() == 1 && reasons[0].contains("over budget: UDP and TCP"), "{stderr}");
}

#[test]
fn a_phase_that_times_out_is_over_the_budget_and_its_figure_is_missing() {
    // With a period of one minute no node can be declared dead within a second.
    let mut args = vec!["scale", "run", "--period-ms", "60000", "--phase-seconds", "1", "--nodes", "8"];
    args.extend(AMPLE_BUDGET);
    let output = stonevane(&args);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stdout).contains("converged_s=- rested_s=- "), "{}", text(&output.stdout));
    assert_eq!(reasons(&text(&output.stderr)).len(), 1);
}

#[test]
fn invalid_arguments_exit_with_2_and_one_line_before_any_fleet_starts() {
    let cases: [(&[&str], &str); 18] = [
        (&["--nodes", "0"], "--nodes is 0"),
        (&["--nodes", "1"], "a single node"),
        (&["--nodes", "many"], "invalid value 'many' for '--nodes"),
        (&["--nodes", "-3"], "unexpected argument"),
        (&["--nodes", "16,"], "invalid value"),
        (&["--nodes", "16,16"], "each size must be greater than the one before it"),
        (&["--nodes", "64,16"], "each size must be greater than the one before it"),
        (&[], "--nodes"),
        (&["--nodes", "4", "--regions", "5"], "some regions would have no node"),
        (&["--nodes", "4", "--regions", "0"], "--regions is 0"),
        (&["--nodes", "8", "--seed", "x"], "--seed"),
        (&["--nodes", "8", "--workers", "9"], "--workers is 9"),
        (&["--nodes", "8", "--period-ms", "1"], "period_ms"),
        (&["--nodes", "8", "--budget-death-s", "0"], "must be a finite number above 0"),
        (&["--nodes", "8", "--memory-mb", "1"], "the limit is 1 MiB"),
        (&["--nodes", "8", "--memory-mb", "18446744073709551615"], "half of this machine's memory"),
        (&["--nodes", "8,65536"], "at most 65535 can be named"),
        (&["--nodes", "8", "--csv", "/no/such/folder/x.csv"], "/no/such/folder/x.csv"),
    ];
    for (args, expected) in cases {
        let output = stonevane(&[&["scale", "run", "--verbose"], args].concat());
        let stderr = text(&output.stderr);
        assert_eq!((output.status.code(), stderr.lines().count()), (Some(2), 1), "{args:?}: {stderr}");
        assert!(stderr.starts_with("stonevane: ") && stderr.contains(expected), "{args:?}: {stderr}");
        assert!(output.stdout.is_empty());
    }
}

#[test]
fn more_nodes_than_the_descriptor_limit_allows_exit_with_2() {
    let command = format!("ulimit -S -n 128 && exec {STONEVANE} scale run --nodes 70 --workers 4");
    let output = Command::new("sh").args(["-c", &command]).output().unwrap();
    let stderr = text(&output.stderr);
    assert_eq!((output.status.code(), stderr.lines().count()), (Some(2), 1), "{stderr}");
    assert!(
        stderr.contains("70 hollow nodes: the coordinator needs 142 descriptors; the limit is 128"),
        "{stderr}"
    );
}

/// Starts a run that would take hours in two workers, and waits until it is at rest; returns the run, its
/// standard error and the process ids of the workers.
fn long_run() -> (Child, BufReader<ChildStderr>, Vec<u32>) {
    let args = ["scale", "run", "--nodes", "8", "--workers", "2", "--verbose", "--period-ms", "200"];
    let mut child = Command::new(STONEVANE)
        .args(args)
        .args(["--seconds", "36000", "--phase-seconds", "36000"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stderr = BufReader::new(child.stderr.take().unwrap());
    let mut text = String::new();
    while !text.contains("all are at rest") {
        assert_ne!(stderr.read_line(&mut text).unwrap(), 0, "the run ended early: {text}");
    }
    let workers = workers(&text);
    assert!(workers.len() == 2 && workers.iter().all(|worker| is_running(*worker)), "{text}");
    (child, stderr, workers)
}

/// Waits for the run's end and checks that no worker is left; returns its exit code and its remaining
/// standard error.
fn end_of(mut child: Child, stderr: BufReader<ChildStderr>, workers: Vec<u32>) -> (Option<i32>, Vec<String>) {
    let lines: Vec<String> = stderr.lines().map_while(Result::ok).collect();
    let status = child.wait().unwrap();
    assert!(!workers.into_iter().any(is_running), "{lines:?}");
    (status.code(), lines)
}

fn signal(name: &str, process: u32) {
    assert!(Command::new("kill").args([name, &process.to_string()]).status().unwrap().success());
}

#[test]
fn a_worker_that_dies_ends_the_run_with_exit_3_and_no_process_is_left() {
    let (child, stderr, workers) = long_run();
    signal("-KILL", workers[1]);
    let expected = format!("stonevane: the worker with process number {} has ended", workers[1]);
    let (code, lines) = end_of(child, stderr, workers);
    assert_eq!((code, lines.len()), (Some(3), 1), "{lines:?}");
    assert!(lines[0].starts_with(&expected), "{lines:?}");
}

#[test]
fn an_interrupt_ends_the_run_with_exit_3_and_no_process_is_left() {
    for name in ["-INT", "-TERM"] {
        let (child, stderr, workers) = long_run();
        signal(name, child.id());
        let ended = end_of(child, stderr, workers);
        assert_eq!(ended, (Some(3), vec!["stonevane: interrupted".to_owned()]));
    }
}

#[test]
fn workers_of_a_killed_run_end() {
    let (mut child, _told, workers) = long_run();
    child.kill().unwrap();
    child.wait().unwrap();
    let begun = Instant::now();
    while workers.iter().any(|worker| is_running(*worker)) {
        assert!(begun.elapsed() < Duration::from_secs(60), "workers are still running");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Returns a plan for eight nodes in two workers; `seconds` is the window and the limit of each phase.
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

/// Returns an environment with the given worker command. Its memory estimates are 0, so the check before the
/// start always passes.
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
fn a_run_that_exceeds_its_memory_limit_is_ended() {
    // The limit is also enforced if workers report without a pause, so that the coordinator always has an
    // event to handle.
    let reached = r#"{"nodes":0,"changed":0}"#;
    let flood = format!(
        "while :; do echo '{{\"progress\":{{\"complete\":{reached},\"rested\":{reached},\"informed\":{reached}}}}}'; done"
    );
    for (program, arguments) in [(STONEVANE, ["scale", "worker"]), ("/bin/sh", ["-c", flood.as_str()])] {
        // Any process has more resident memory than 1 MiB.
        let environment = environment(program, &arguments, MIB);
        let mut steps = String::new();
        let ended = run(&plan(36_000), &environment, &mut |step| steps.push_str(&(step + "\n"))).unwrap_err();
        assert!(
            matches!(&ended, RunError::MemoryLimitExceeded(LimitError::MemoryUsed { limit: MIB, .. })),
            "{program}: {ended}"
        );
        assert!(!ended.is_invalid_input());
        let workers = workers(&steps);
        assert!(workers.len() == 2 && !workers.into_iter().any(is_running), "{steps}");
    }
}

#[test]
fn a_broken_worker_program_is_a_runtime_error_and_not_invalid_input() {
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
fn a_worker_reports_an_invalid_message_and_exits_at_the_end_of_its_input() {
    for (input, code, expected) in
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
        assert!(text(&output.stdout).contains(expected));
    }
}
