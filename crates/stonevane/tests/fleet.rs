//! End-to-end tests of membership with real processes: faulty members are detected, membership does not
//! reduce the served share, and a killed lab leaves no process behind.
#![allow(missing_docs)]

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

mod common;

use common::{STONEVANE, Temp, node, stonevane, text};

/// Five nodes, one of which (n1) can be replaced by a faulty member. A real node is killed and stays down,
/// and n1 is cut off from the others for a while.
const FAULTY_MEMBER_SCENARIO: &str = "name = \"crooked\"\n[fleet]\nnodes = 5\n[load]\nper_s = 20\nfor_ms = 3000\n\
    [membership]\nperiod_ms = 200\ndetect = 14\n\
    [[fault]]\ndo = \"node-kill\"\nto = \"n2\"\nat_ms = 1500\nfor_ms = 8000\n\
    [[fault]]\ndo = \"cut\"\nfrom = \"nodes\"\nto = \"n1\"\nat_ms = 1500\nfor_ms = 6000\n\
    [[fault]]\ndo = \"cut\"\nfrom = \"n1\"\nto = \"nodes\"\nat_ms = 1500\nfor_ms = 6000\n";

/// Runs the scenario with a faulty member; returns the distinct codes of the findings, and the outcome.
fn finding_codes(mutant: Option<&str>) -> (Vec<String>, serde_json::Value) {
    let file = Temp::new(&format!("crooked-{}.toml", mutant.unwrap_or("none")), FAULTY_MEMBER_SCENARIO);
    let mut args = vec!["lab", "run", file.path(), "--json", "-", "--node-program", node()];
    args.extend(mutant.iter().flat_map(|mutant| ["--crooked-member", mutant]));
    let output = stonevane(&args);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    let findings = json["report"]["findings"].as_array().cloned();
    let findings = findings.unwrap_or_else(|| panic!("{}", text(&output.stderr)));
    let mut codes: Vec<String> = findings
        .iter()
        .map(|finding| {
            assert_eq!(finding["rule"], "members", "{finding}");
            assert!(!finding["evidence"].as_array().unwrap().is_empty());
            finding["code"].as_str().unwrap().to_owned()
        })
        .collect();
    codes.sort();
    codes.dedup();
    (codes, json)
}

#[test]
fn faulty_members_among_real_processes_are_detected_and_correct_ones_are_not() {
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let mutants = [
            None,
            Some("accuses-all"),
            Some("never-refutes"),
            Some("lies-of-incarnations"),
            Some("replays"),
            Some("claims-another"),
            Some("forwards-nothing"),
        ];
        let runs: Vec<_> =
            mutants.into_iter().map(|mutant| (mutant, scope.spawn(move || finding_codes(mutant)))).collect();
        runs.into_iter().map(|(mutant, run)| (mutant, run.join().unwrap())).collect()
    });
    for (mutant, (codes, json)) in outcomes {
        assert!(json["report"]["membership"]["views"].as_u64().unwrap() > 50);
        // Two faulty members are harmless: replayed datagrams are ignored, and updates that one member does
        // not forward reach the fleet through the other members.
        let harmless = matches!(mutant, None | Some("replays" | "forwards-nothing"));
        assert_eq!(codes.is_empty(), harmless, "{mutant:?}: {codes:?}");
        if mutant == Some("lies-of-incarnations") {
            assert!(codes.iter().any(|code| code == "risen" || code == "undetected"), "{codes:?}");
        }
    }
}

#[test]
fn membership_does_not_reduce_the_served_share() {
    let served = |more: &[&str]| {
        let mut args = vec!["lab", "run", "fleet-crash", "--json", "-", "--node-program", node()];
        args.extend(more);
        let output = stonevane(&args);
        let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
        assert_eq!(json["report"]["broken"], 0, "{more:?}: {:#}", json["report"]["findings"]);
        let classes: Vec<_> = json["summary"]["classes"].as_object().unwrap().values().cloned().collect();
        let sum = |key: &str| classes.iter().map(|class| class[key].as_u64().unwrap()).sum::<u64>() as f64;
        (sum("served") / sum("asked"), json["report"]["membership"]["views"].as_u64().unwrap())
    };
    let ((on, views), (off, none)) = std::thread::scope(|scope| {
        let off = scope.spawn(|| served(&["--without-fleet"]));
        (served(&[]), off.join().unwrap())
    });
    assert!(views > 100 && none == 0, "{views} views with it, {none} without");
    assert!(on >= off - 0.03, "served {on} with membership, {off} without");
}

/// Returns the number of processes whose command line contains a text.
fn count_processes(part: &str) -> usize {
    let entries = std::fs::read_dir("/proc").unwrap().flatten();
    let lines = entries.filter_map(|entry| std::fs::read(entry.path().join("cmdline")).ok());
    lines.filter(|line| String::from_utf8_lossy(line).contains(part)).count()
}

#[test]
fn a_killed_lab_leaves_no_process_behind_not_even_a_paused_one() {
    let scenario = Temp::new(
        "killed.toml",
        "name = \"killed\"\n[fleet]\nnodes = 4\n[load]\nper_s = 5\nfor_ms = 60000\n\
         [[fault]]\ndo = \"node-pause\"\nto = \"n1\"\nat_ms = 0\nfor_ms = 50000\n",
    );
    // A copy of the program under a unique name identifies the nodes of this lab.
    let program = Temp::new("own-node", "");
    std::fs::copy(node(), program.path()).unwrap();
    let args = ["lab", "run", scenario.path(), "--node-program", program.path()];
    let mut lab =
        Command::new(STONEVANE).args(args).stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
    let wait = |event: &str, condition: &dyn Fn() -> bool| {
        let end = Instant::now() + Duration::from_secs(60);
        while !condition() {
            assert!(Instant::now() < end, "timed out: {event}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let count = || count_processes(program.path());
    // Four nodes, and the lab itself, whose arguments name the program.
    wait("its nodes start", &|| count() == 5);
    std::thread::sleep(Duration::from_millis(500));
    lab.kill().unwrap();
    lab.wait().unwrap();
    wait("its nodes end", &|| count() == 0);
}

#[test]
fn mutants_are_listed_and_detected_and_a_failing_seed_is_shrunk() {
    let list = text(&stonevane(&["fleet", "simulate", "--mutants"]).stdout);
    assert!(list.lines().count() >= 8 && list.lines().all(|line| line.contains("  ")), "{list}");
    let found =
        stonevane(&["fleet", "simulate", "--seeds", "1..10", "--mutant", "never-declares", "--shrink"]);
    assert_eq!(found.status.code(), Some(1));
    assert!(text(&found.stdout).contains("\"faults\""), "{}", text(&found.stdout));
    assert_eq!(stonevane(&["fleet", "simulate", "--mutant", "nobody"]).status.code(), Some(2));
}
