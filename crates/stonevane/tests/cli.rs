//! End-to-end tests of the command line: configuration, lab, logs, histories and emulators.
#![allow(missing_docs)]

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};

mod common;

use common::{STONEVANE, Temp, node, run, stonevane, text};

#[test]
fn config_check_prints_a_line_for_each_error() {
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.toml");
    let good = stonevane(&["config", "check", shipped]);
    assert!(good.status.success() && text(&good.stdout).ends_with("good\n"), "{good:?}");
    let bad = Temp::new("bad.toml", "[clients]\nidel_ms = 3\nfirst_ms = 0\n");
    let checked = stonevane(&["config", "check", bad.path()]);
    assert_eq!(checked.status.code(), Some(2));
    let lines: Vec<_> = text(&checked.stderr).lines().map(str::to_owned).collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(
        lines[0].ends_with("line 2, column 1: unknown key `idel_ms` in [clients]; did you mean `idle_ms`?")
    );
    let missing = stonevane(&["config", "check", "/no/such/file"]);
    assert_eq!((missing.status.code(), text(&missing.stderr).lines().count()), (Some(2), 1));
}

#[test]
fn lab_list_prints_a_scenario_per_line_and_calm_first() {
    let listed = stonevane(&["lab", "list"]);
    let listed = text(&listed.stdout);
    assert!(listed.lines().count() >= 10);
    assert_eq!(listed.lines().next().unwrap().split_whitespace().next(), Some("calm"));
}

#[test]
fn an_invalid_scenario_or_history_exits_with_2_and_names_the_places() {
    let bad = Temp::new("bad-scenario.toml", "name = 'x'\n[load]\nper_sec = 3\n[[fault]]\ndo = 'kil'\n");
    let run = stonevane(&["lab", "run", bad.path()]);
    assert_eq!(run.status.code(), Some(2));
    let printed = text(&run.stderr);
    assert!(
        printed.contains("line 3, column 1: unknown key `per_sec` in [load]; did you mean `per_s`?"),
        "{printed}"
    );
    assert!(printed.contains("line 5, column 6: `do` has no `kil`; did you mean `kill`?"), "{printed}");
    let unknown = stonevane(&["lab", "run", "clam"]);
    assert_eq!(unknown.status.code(), Some(2));
    assert!(text(&unknown.stderr).contains("did you mean `calm`?"));
    let history = Temp::new("bad.jsonl", "{\"event\":\"begin\",\"rules\":{}}\n{\"event\":\"aks\"}\n{}\n");
    let audited = stonevane(&["lab", "audit", history.path()]);
    assert_eq!(audited.status.code(), Some(2));
    assert!(text(&audited.stderr).contains("line 2: column"), "{}", text(&audited.stderr));
    assert_eq!(stonevane(&["lab", "audit", "/no/such/file"]).status.code(), Some(2));
}

#[test]
fn a_seed_determines_load_and_verdict_and_another_seed_changes_the_load() {
    let short = Temp::new(
        "short.toml",
        "name = 'short'\nexpect = ['served >= 0.9']\n[load]\nfor_ms = 800\n[[fault]]\ndo = 'vanish'\nto = 'cache-1'\nat_ms = 300\nfor_ms = 200\n",
    );
    let (code, one, _) = run(short.path(), &["--seed", "7"]);
    let (again, two, _) = run(short.path(), &["--seed", "7"]);
    let (_, other, _) = run(short.path(), &["--seed", "8"]);
    assert_eq!((code, again), (Some(0), Some(0)));
    for part in ["load", "seed", "holds", "scenario"] {
        assert_eq!(one[part], two[part], "{part}");
    }
    let fault_names = |run: &serde_json::Value| {
        let faults = run["summary"]["faults"].as_array().unwrap().clone();
        faults.into_iter().map(|fault| fault[1].clone()).collect::<Vec<_>>()
    };
    assert_eq!(fault_names(&one), fault_names(&two));
    assert_ne!(one["load"], other["load"]);
}

#[test]
fn log_json_writes_logs_as_json_lines() {
    let args = ["--log", "info", "--log-json", "lab", "run", "calm", "--crooked", "honest", "--load", "0.1"];
    let run = stonevane(&args);
    let printed = text(&run.stderr);
    let logs: Vec<serde_json::Value> =
        printed.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
    let ready = logs.iter().filter(|l| l["fields"]["state"] == "ready").count();
    assert_eq!(ready, 2, "{printed}");
    assert!(
        logs.iter().any(|l| l["fields"]["message"] == "history audited" && l["fields"]["broken"] == 0),
        "{printed}"
    );
    assert_eq!(stonevane(&["--log", "x=loud", "lab", "list"]).status.code(), Some(2));
}

#[test]
fn a_broken_expectation_exits_with_1() {
    let hard = Temp::new("hard.toml", "name = 'hard'\nexpect = ['asked <= 3']\n[load]\nfor_ms = 300\n");
    let (code, json, _) = run(hard.path(), &[]);
    assert_eq!((code, &json["holds"]), (Some(1), &serde_json::Value::Bool(false)));
    assert_eq!(json["report"]["broken"], 0);
}

#[test]
fn a_faulty_node_exits_with_1_and_an_audit_of_its_history_agrees() {
    let history = Temp::new("crooked.jsonl", "");
    let chart = Temp::new("crooked.svg", "");
    let args = [
        "lab",
        "run",
        "calm",
        "--crooked",
        "answers-twice",
        "--history",
        history.path(),
        "--chart",
        chart.path(),
    ];
    let run = stonevane(&args);
    assert_eq!(run.status.code(), Some(1));
    let printed = text(&run.stdout);
    assert!(printed.contains("rule 1") && printed.contains("twice"), "{printed}");
    let audited = stonevane(&["lab", "audit", history.path()]);
    assert_eq!(audited.status.code(), Some(1));
    let last = |text: &str| text.lines().last().map(str::to_owned);
    assert_eq!(last(&text(&audited.stdout)), last(&printed));
    let lines = std::fs::read_to_string(&history.0).unwrap();
    let answers = lines.lines().filter(|l| l.contains("\"event\":\"answer\""));
    assert!(answers.clone().count() > 100 && answers.clone().all(|l| l.contains("\"outcome\":")));
    let svg = std::fs::read_to_string(&chart.0).unwrap();
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
}

#[test]
fn a_history_of_a_killed_lab_is_readable_up_to_any_cut() {
    let history = Temp::new("killed.jsonl", "");
    // Stub nodes run in the lab's process, so the kill leaves no process behind.
    let args = ["lab", "run", "calm", "--crooked", "honest", "--history", history.path()];
    let mut lab =
        Command::new(STONEVANE).args(args).stderr(Stdio::null()).stdout(Stdio::null()).spawn().unwrap();
    wait_for(|| std::fs::read_to_string(&history.0).is_ok_and(|text| text.lines().count() > 300));
    lab.kill().unwrap();
    lab.wait().unwrap();
    let whole = std::fs::read(&history.0).unwrap();
    for cut in 0..40 {
        std::fs::write(&history.0, &whole[..whole.len() - cut]).unwrap();
        let audited = stonevane(&["lab", "audit", history.path()]);
        assert_eq!(audited.status.code(), Some(0), "{cut} bytes cut off: {}", text(&audited.stdout));
    }
}

#[test]
fn an_interrupted_lab_ends_every_process_that_it_started() {
    for signal in ["INT", "TERM"] {
        let program = node();
        let mut lab = Command::new(STONEVANE)
            .args(["lab", "run", "calm", "--node-program", program])
            .stderr(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        // The first line of progress is printed once the nodes run.
        let mut line = String::new();
        BufReader::new(lab.stderr.take().unwrap()).read_line(&mut line).unwrap();
        let nodes = children(lab.id());
        assert!(nodes.len() >= 2, "{nodes:?}");
        let kill = format!("kill -{signal} {}", lab.id());
        assert!(Command::new("/bin/sh").arg("-c").arg(kill).status().unwrap().success());
        assert_eq!(lab.wait().unwrap().code(), Some(3), "SIG{signal}");
        wait_for(|| nodes.iter().all(|pid| !Path::new(&format!("/proc/{pid}")).exists()));
    }
}

fn children(pid: u32) -> Vec<u32> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/children")).unwrap_or_default();
    text.split_whitespace().filter_map(|pid| pid.parse().ok()).collect()
}

fn wait_for(done: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if done() {
            return;
        }
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    panic!("condition not met within 20 s");
}

/// An emulator or node process, killed when dropped, and the address that an emulator listens on.
struct ServerProcess(Child, String);

impl ServerProcess {
    fn start(args: &[&str]) -> ServerProcess {
        let mut child = Command::new(STONEVANE)
            .arg("stand-in")
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = line.trim().rsplit(' ').next().unwrap().to_owned();
        ServerProcess(child, address)
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn a_node_serves_reads_among_emulators_that_run_as_processes() {
    let cache = ServerProcess::start(&["cache", "--name", "s-1", "--cold"]);
    let origin = ServerProcess::start(&["origin", "--cache", &cache.1, "--read-ms", "5"]);
    let (server, store) = (format!("s-1={}", cache.1), format!("o-1={}", origin.1));
    let discovery = ServerProcess::start(&["discovery", "--server", &server, "--origin", &store]);
    let settings = r#"{"balancers":1,"me":0,"zone":0,"zones":["a"],"machineTypes":["std","origin"],"discovery":"ask",
        "classes":[{"name":"zone-lookup","goalTimeUs":750000,"deadlineUs":1500000,"effect":"pure"},
          {"name":"zone-edit","goalTimeUs":150000,"deadlineUs":300000,"effect":"token","dedupScope":"all","dedupWindowUs":200000}],
        "realms":[{"name":"coastline","quotaPerS":500},{"name":"dishdash","quotaPerS":500},{"name":"reef-eats","quotaPerS":500}],
        "specifics":{"mode":"aside","originKind":1},"limits":{"maxAttempts":4,"mayCancel":true}}"#;
    let listen = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let config = format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{}","seed":"1","settings":{settings}}}"#,
        discovery.1
    );
    let config = Temp::new("by-hand.json", &config);
    let child =
        Command::new(node()).env("ROUTER_CONFIG", config.path()).stderr(Stdio::null()).spawn().unwrap();
    let _node = ServerProcess(child, String::new());
    let ready = || {
        use std::io::{Read, Write};
        let Ok(mut stream) = std::net::TcpStream::connect(listen) else { return false };
        let mut answer = [0; 5];
        stream.write_all(b"*1\r\n$4\r\nPING\r\n").is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && &answer == b"+PONG"
    };
    wait_for(ready);
    let node = listen.to_string();
    let client = stonevane(&["stand-in", "client", "--node", &node, "--per-s", "60", "--for-s", "2"]);
    let printed = text(&client.stdout);
    assert!(client.status.success(), "{printed} {}", text(&client.stderr));
    let reads = printed.lines().find(|l| l.starts_with("zone-lookup")).unwrap_or_default();
    let number = |label: &str| -> f64 {
        let before = reads.split(label).next().unwrap_or("").trim();
        before.rsplit(' ').next().unwrap_or("").parse().unwrap_or(0.0)
    };
    assert!(number(" asked") > 60.0 && number(" served") >= 0.9 * number(" asked"), "{printed}");
}
