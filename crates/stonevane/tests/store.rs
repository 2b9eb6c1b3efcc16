//! End-to-end tests of `stonevane store`.
#![allow(missing_docs)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

mod common;

use common::text;

fn store(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_stonevane")).arg("store").args(args).output().unwrap()
}

/// A temporary folder, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("stonevane-store-cli-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn zones_survive_import_and_export_in_both_formats() {
    let folder = Folder::new("round");
    let (file, from) = (folder.path("zones.db"), folder.path("in.csv"));
    let rows: Vec<_> = (0..2_500).map(|at| format!("key-{at:05},\"a \"\"{at}\"\", b\nc é\"\n")).collect();
    let csv = format!("key,value\n{}", rows.concat());
    std::fs::write(&from, &csv).unwrap();
    assert!(store(&["init", &file]).status.success());
    let done = store(&["import", &file, &from]);
    assert_eq!(text(&done.stdout), "2500 zones imported\n", "{}", text(&done.stderr));
    let (out, lines) = (folder.path("out.csv"), folder.path("out.jsonl"));
    assert!(store(&["export", &file, &out]).status.success());
    assert_eq!(std::fs::read_to_string(&out).unwrap(), csv);
    assert!(store(&["export", &file, &lines]).status.success());
    let other = folder.path("other.db");
    assert!(store(&["init", &other]).status.success() && store(&["import", &other, &lines]).status.success());
    let again = folder.path("again.csv");
    assert!(store(&["export", &other, &again]).status.success());
    assert_eq!(std::fs::read_to_string(&again).unwrap(), csv);
    assert_eq!(text(&store(&["check", &file]).stdout), format!("{file}: good, 2500 zones\n"));
}

#[test]
fn an_interrupted_import_resumes_where_it_stopped() {
    let folder = Folder::new("resume");
    let (file, from) = (folder.path("zones.db"), folder.path("in.jsonl"));
    let line = |at: usize, value: &str| format!("{{\"key\":\"k{at:05}\",\"value\":\"{value}\"}}\n");
    let good = |value| (0..1_500).map(|at| line(at, value)).collect::<String>();
    // An invalid line of the same length as its correction: the file's length, which identifies the source,
    // is unchanged.
    let bad = line(1_500, "x").replace("\"key\":", "\"kex\":");
    std::fs::write(&from, good("1") + &bad).unwrap();
    assert!(store(&["init", &file]).status.success());
    let broken = store(&["import", &file, &from]);
    assert_eq!(broken.status.code(), Some(2));
    assert!(text(&broken.stderr).contains("line 1501: not an object"), "{}", text(&broken.stderr));
    // The first 1,000 lines were committed and are skipped: their new values are not imported.
    std::fs::write(&from, good("2") + &line(1_500, "x")).unwrap();
    let resumed = store(&["import", &file, &from]);
    assert!(text(&resumed.stderr).contains("resuming after line 1000"), "{}", text(&resumed.stderr));
    assert_eq!(text(&resumed.stdout), "501 zones imported\n");
    let out = folder.path("out.jsonl");
    assert!(store(&["export", &file, &out]).status.success());
    let out = std::fs::read_to_string(&out).unwrap();
    assert_eq!(out.lines().count(), 1_501);
    assert!(out.lines().nth(999).unwrap().contains("\"value\":\"1\""));
    assert!(out.lines().nth(1_000).unwrap().contains("\"value\":\"2\""));
}

#[test]
fn unusable_input_exits_with_2_and_one_line_and_is_not_modified() {
    let folder = Folder::new("bad");
    let (file, foreign) = (folder.path("zones.db"), folder.path("foreign.db"));
    std::fs::write(&foreign, "not a store").unwrap();
    for args in [["check", &foreign], ["init", &foreign], ["check", &file]] {
        let rejected = store(&args);
        assert_eq!(
            (rejected.status.code(), text(&rejected.stderr).lines().count()),
            (Some(2), 1),
            "{args:?}"
        );
    }
    assert_eq!(std::fs::read(&foreign).unwrap(), b"not a store");
    assert!(!Path::new(&file).exists(), "check creates no store");
    assert!(store(&["init", &file]).status.success());
    for (name, bytes, expected) in [
        ("header.csv", &b"zone,area\na,1\n"[..], "line 1: the header must be key,value"),
        ("columns.csv", b"key,value\na,1\nb\n", "line 3: expected two columns, key and value"),
        ("utf8.csv", b"key,value\na\xff,1\n", "line 2: the key is not UTF-8"),
        ("control.csv", b"key,value\na\x07,1\n", "line 2: the key is past its bounds"),
        ("ending.txt", b"key,value\n", "the file name must end in .csv, .jsonl or .ndjson"),
    ] {
        let from = folder.path(name);
        std::fs::write(&from, bytes).unwrap();
        let rejected = store(&["import", &file, &from]);
        assert_eq!(rejected.status.code(), Some(2), "{name}");
        assert!(text(&rejected.stderr).contains(expected), "{name}: {}", text(&rejected.stderr));
    }
    assert_eq!(text(&store(&["check", &file]).stdout), format!("{file}: good, 0 zones\n"));
}

#[test]
fn kills_at_random_times_lose_no_receipt_and_apply_no_edit_twice() {
    let folder = Folder::new("kill");
    let done = store(&["torture", &folder.path("scratch.db"), "--kills", "60"]);
    assert!(done.status.success(), "{}", text(&done.stderr));
    assert!(text(&done.stdout).starts_with("60 kills, "), "{}", text(&done.stdout));
}

#[test]
fn put_prints_a_result_for_each_line() {
    use std::io::Write as _;
    let file = std::env::temp_dir().join(format!("stonevane-put-{}.db", std::process::id()));
    let mut put = Command::new(env!("CARGO_BIN_EXE_stonevane"))
        .args(["store", "put"])
        .arg(&file)
        .stdin(std::process::Stdio::piped())
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    put.stdin.take().unwrap().write_all(b"t1 aa one\nt1 aa other\nnonsense\nt2 bb two\nt1 aa one\n").unwrap();
    let done = put.wait_with_output().unwrap();
    let printed = String::from_utf8_lossy(&done.stdout).into_owned();
    let lines: Vec<_> = printed.lines().collect();
    assert_eq!(lines.len(), 5, "{printed}");
    assert_eq!((lines[0], lines[3], lines[4]), ("t1 1 false", "t2 2 false", "t1 1 true"));
    assert!(
        lines[1].starts_with("line 2 failed, not done: t1 aa: the idempotency key was used"),
        "{printed}"
    );
    assert!(lines[2].starts_with("line 3 failed, not done"), "{printed}");
    let last = String::from_utf8_lossy(&done.stderr).into_owned();
    assert!(last.contains("2 of 5 lines failed") && done.status.code() == Some(1), "{last}");
    for end in ["", "-wal", "-shm"] {
        let _ = std::fs::remove_file(format!("{}{end}", file.display()));
    }
}

#[test]
fn a_damaged_file_is_reported_in_one_line_and_its_readable_zones_are_salvaged() {
    let folder = std::env::temp_dir().join(format!("stonevane-damage-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = |name: &str| folder.join(name).display().to_string();
    let rows: Vec<_> = (0..5_000).map(|n| format!("key-{n:05},{}\n", "v".repeat(100))).collect();
    std::fs::write(path("zones.csv"), format!("key,value\n{}", rows.concat())).unwrap();
    assert!(store(&["init", &path("zones.db")]).status.success());
    assert!(store(&["import", &path("zones.db"), &path("zones.csv")]).status.success());
    // Overwrites eight pages in the middle of the file.
    let mut bytes = std::fs::read(path("zones.db")).unwrap();
    let middle = bytes.len() / 2 / 4096 * 4096;
    bytes[middle..middle + 8 * 4096].fill(0xa5);
    std::fs::write(path("zones.db"), &bytes).unwrap();
    for args in [vec!["check", "zones.db"], vec!["export", "zones.db", "out.csv"]] {
        let args: Vec<String> =
            args.iter().map(|a| if a.contains('.') { path(a) } else { (*a).to_owned() }).collect();
        let done = store(&args.iter().map(String::as_str).collect::<Vec<_>>());
        let printed = String::from_utf8_lossy(&done.stderr).into_owned();
        assert_eq!((printed.lines().count(), done.status.code()), (1, Some(1)), "{printed}");
        assert!(
            printed.contains("zones.db: the file is damaged") && printed.contains("more faults"),
            "{printed}"
        );
    }
    assert!(!folder.join("out.csv").exists());
    let saved = store(&["export", "--salvage", &path("zones.db"), &path("saved.csv")]);
    assert!(saved.status.success(), "{saved:?}");
    let text = std::fs::read_to_string(path("saved.csv")).unwrap();
    let keys: std::collections::BTreeSet<_> =
        text.lines().skip(1).map(|l| l.split(',').next().unwrap()).collect();
    assert!((2_000..5_000).contains(&keys.len()), "{} of 5,000", keys.len());
    assert_eq!(keys.len(), text.lines().count() - 1, "no key occurs twice");
    assert_eq!(std::fs::read(path("zones.db")).unwrap(), bytes, "the damaged file is not modified");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn top_shows_the_activity_of_a_store_and_reports_when_it_does_not_answer() {
    let folder = Folder::new("top");
    let file = folder.path("zones.db");
    let none = store(&["top", &file, "--looks", "1"]);
    assert_eq!((none.status.code(), Path::new(&file).exists()), (Some(2), false), "{}", text(&none.stderr));
    assert!(store(&["init", &file]).status.success());
    std::fs::write(folder.path("in.csv"), "key,value\na,1\nb,2\n").unwrap();
    assert!(store(&["import", &file, &folder.path("in.csv")]).status.success());
    // Polls the store while another process writes to it.
    let mut top = Command::new(env!("CARGO_BIN_EXE_stonevane"))
        .args(["store", "top", &file, "--every-ms", "50", "--json"])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = std::io::BufRead::lines(std::io::BufReader::new(top.stdout.take().unwrap()));
    let mut next = || serde_json::from_str::<serde_json::Value>(&lines.next().unwrap().unwrap()).unwrap();
    let first = next();
    assert_eq!(
        (&first["zones"], &first["version"], &first["edits_per_s"]),
        (&2.into(), &2.into(), &().into())
    );
    std::fs::write(folder.path("more.csv"), "key,value\nc,3\n").unwrap();
    assert!(store(&["import", &file, &folder.path("more.csv")]).status.success());
    let seen = std::iter::repeat_with(&mut next)
        .take(400)
        .find(|line| line["version"] == 3)
        .expect("the import appears");
    assert!(seen["edits_per_s"].as_f64().unwrap() > 0.0 && seen["changed_last"][0] == "c", "{seen}");
    assert!(seen["file_bytes"].as_u64().unwrap() > 0 && seen["error"].is_null());
    top.kill().unwrap();
    top.wait().unwrap();
    let shown = text(&store(&["top", &file, "--looks", "2", "--every-ms", "50"]).stdout);
    assert!(shown.lines().count() == 3 && shown.contains("edits/s") && shown.contains("log MB"), "{shown}");
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let unreachable =
        store(&["top", &format!("postgres://u@{closed}/zones"), "--looks", "2", "--every-ms", "50"]);
    let printed = text(&unreachable.stdout);
    assert_eq!(
        (unreachable.status.code(), printed.matches("can't be reached").count()),
        (Some(1), 2),
        "{printed}"
    );
}

#[test]
fn a_cache_hit_sends_no_query_to_the_store() {
    let folder = Folder::new("hits");
    let path = folder.path("hits.toml");
    let scenario = "name = 'hits'\nexpect = ['served >= 0.98', 'store_queries = 0']\n\
        [fleet]\nnodes = 2\ncaches = 4\nwarm_keys = 1.0\n[store]\nholds = 200\n\
        [load]\nper_s = 200\nfor_ms = 1500\nedits = 0.0\nkeys = 200\nquota = 4.0\n";
    std::fs::write(&path, scenario).unwrap();
    let (code, json, printed) = common::run(&path, &[]);
    assert_eq!(code, Some(0), "{:?}\n{printed}", json["expects"]);
}
