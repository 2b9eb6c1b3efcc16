//! End-to-end tests of `stonevane lab experiment` and `stonevane lab report`.
#![allow(missing_docs)]

mod common;

use std::io::{BufRead, BufReader};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use common::{STONEVANE, node, stonevane, text};

/// A temporary folder with a tiny scenario, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("stonevane-experiment-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        std::fs::write(
            path.join("tiny.toml"),
            "name = 'tiny'\nexpect = ['served >= 0.9']\n[load]\nfor_ms = 300\nper_s = 100\n",
        )
        .unwrap();
        Folder(path)
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    fn out(&self) -> String {
        self.0.join("out").display().to_string()
    }

    fn results(&self) -> Vec<serde_json::Value> {
        let text = std::fs::read_to_string(self.0.join("out/results.jsonl")).unwrap_or_default();
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
    }

    fn run(&self, file: &str, more: &[&str]) -> Output {
        let out = self.out();
        stonevane(&[&["lab", "experiment", file, "--out", &out, "--node-program", node()], more].concat())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const TWO_BUILDS: &str = "name = 'two'\nscenarios = ['tiny.toml']\nseeds = 3\n[[operator]]\nname = 'quick'\n\
                   text = \"version = 1\\n[servers]\\nrest_ms = 5\\n\"\n";

#[test]
fn two_builds_are_paired_by_seed_and_completed_runs_are_not_repeated() {
    let folder = Folder::new("two");
    let file = folder.file("two.toml", TWO_BUILDS);
    let more = ["--against", node()];
    let output = folder.run(&file, &more);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let results = folder.results();
    assert_eq!(results.len(), 6);
    assert!(results.iter().all(|r| r["error"].is_null() && r["holds"] == true), "{results:?}");
    let builds: Vec<_> = results.iter().map(|r| r["build"].as_str().unwrap()).collect();
    assert_eq!(builds, ["A", "B", "A", "B", "A", "B"]);
    let printed = text(&output.stdout);
    assert!(
        printed.contains("tiny.toml, quick") && printed.contains("served") && printed.contains("noise"),
        "{printed}"
    );
    assert!(text(&output.stderr).contains("s left)"), "an estimate: {}", text(&output.stderr));

    // Only the run whose result line was cut off is repeated.
    let path = folder.0.join("out/results.jsonl");
    let whole = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, &whole[..whole.len() - 9]).unwrap();
    let again = folder.run(&file, &more);
    assert_eq!(again.status.code(), Some(0));
    assert_eq!((folder.results().len(), text(&again.stderr).matches(" of 6: ").count()), (6, 1));

    // A folder with results of another experiment or another build is rejected.
    let other = folder.file("two.toml", &TWO_BUILDS.replace("seeds = 3", "seeds = 4"));
    let rejected = folder.run(&other, &more);
    assert_eq!(rejected.status.code(), Some(2));
    assert!(text(&rejected.stderr).contains("holds another experiment"), "{}", text(&rejected.stderr));
    let rejected = folder.run(&folder.file("two.toml", TWO_BUILDS), &["--against", STONEVANE]);
    assert!(text(&rejected.stderr).contains("results of other builds"), "{}", text(&rejected.stderr));

    let report = stonevane(&["lab", "report", &folder.out(), "--json"]);
    let json: serde_json::Value = serde_json::from_slice(&report.stdout).unwrap();
    assert_eq!(json["sections"][0]["runs"][1][0], 3);
    let command = json["sections"][0]["worst"][0][3].as_str().unwrap();
    assert!(
        command.contains("/out/scenario-tiny.toml --seed") && command.contains("--operator"),
        "{command}"
    );
    let page = std::fs::read_to_string(folder.0.join("out/report.html")).unwrap();
    assert!(page.matches("<svg").count() == 2 && !page.contains("src=") && page.ends_with("</html>\n"));
}

#[test]
fn a_build_that_crashes_at_start_is_recorded_and_the_experiment_continues() {
    let folder = Folder::new("crash");
    let broken = folder.file("broken", "#!/bin/sh\necho cannot bind >&2\nexit 3\n");
    std::fs::set_permissions(&broken, PermissionsExt::from_mode(0o755)).unwrap();
    let file = folder.file("crash.toml", "name = 'crash'\nscenarios = ['tiny.toml']\nseeds = 2\n");
    let output = folder.run(&file, &["--against", &broken]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let errors: Vec<_> = folder.results().iter().map(|r| r["error"].as_str().map(str::to_owned)).collect();
    assert!(errors[0].is_none() && errors[2].is_none());
    assert!(errors[1].as_ref().is_some_and(|e| e.contains("cannot bind")), "{errors:?}");
    let printed = text(&output.stdout);
    assert!(printed.contains("B: 2 runs, 0 hold, 0 break a rule, 2 not run"), "{printed}");
}

#[test]
fn an_interrupted_experiment_resumes_while_another_one_runs() {
    let folder = Folder::new("stopped");
    let file = folder.file("stopped.toml", "name = 'stopped'\nscenarios = ['tiny.toml']\nseeds = 4\n");
    let mut first = Command::new(STONEVANE)
        .args(["lab", "experiment", &file, "--out", &folder.out(), "--node-program", node()])
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(first.stderr.take().unwrap()).lines();
    assert!(lines.next().unwrap().unwrap().contains("1 of 4"));
    let kill = Command::new("kill").args(["-INT", &first.id().to_string()]).status().unwrap();
    assert!(kill.success());
    let code = first.wait().unwrap().code();
    // The signal arrives during a run (exit code 3) or between two runs, where it may terminate the process.
    assert!(code == Some(3) || code.is_none(), "{code:?}");
    let done = folder.results().len();
    assert!((1..4).contains(&done), "{done} of 4");

    // The first experiment resumes while another one runs at the same time.
    let other_folder = Folder::new("beside");
    let other = other_folder.file("beside.toml", "name = 'beside'\nscenarios = ['tiny.toml']\nseeds = 3\n");
    std::thread::scope(|scope| {
        let resumed = scope.spawn(|| folder.run(&file, &[]));
        let concurrent = scope.spawn(|| other_folder.run(&other, &[]));
        assert_eq!(resumed.join().unwrap().status.code(), Some(0));
        assert_eq!(concurrent.join().unwrap().status.code(), Some(0));
    });
    assert_eq!((folder.results().len(), other_folder.results().len()), (4, 3));
    assert!(folder.results().iter().chain(&other_folder.results()).all(|r| r["holds"] == true));
}

#[test]
fn a_search_raises_the_load_until_an_expectation_breaks() {
    let folder = Folder::new("search");
    // Load 1 is about 30 requests, so the limit of 60 is reached at about load 2.
    let search = "name = 'search'\nscenarios = ['tiny.toml']\nseeds = 3\n[search]\nexpect = ['asked <= 60']\n\
                  least = 0.5\nmost = 4\nwithin = 0.5\n";
    let file = folder.file("search.toml", search);
    let output = folder.run(&file, &[]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let printed = text(&output.stdout);
    let found = printed.lines().find(|l| l.contains("the load that it bears")).unwrap();
    let holds: f64 = found.split("bears: ").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap();
    assert!((1.2..2.8).contains(&holds), "{found}");
}

#[test]
fn an_invalid_experiment_a_missing_build_and_a_missing_folder_exit_with_2() {
    let folder = Folder::new("bad");
    let file =
        folder.file("bad.toml", "name = 'bad'\nscenarios = ['tiny.toml', 'clam']\nsedes = 1\nloads = []\n");
    let bad = folder.run(&file, &[]);
    let lines: Vec<_> = text(&bad.stderr).lines().map(str::to_owned).collect();
    assert_eq!((bad.status.code(), lines.len()), (Some(2), 3), "{lines:?}");
    assert!(lines[0].contains("bad.toml: line 2, column 27: there is no scenario `clam`"), "{lines:?}");
    let good = folder.file("good.toml", "name = 'good'\nscenarios = ['tiny.toml']\n");
    let missing = folder.run(&good, &["--against", "/no/such/build"]);
    assert_eq!((missing.status.code(), text(&missing.stderr).lines().count()), (Some(2), 1));
    assert!(!Path::new(&folder.out()).exists(), "no results folder is created");
    let report = stonevane(&["lab", "report", "/no/such/folder"]);
    assert_eq!((report.status.code(), text(&report.stderr).lines().count()), (Some(2), 1));
}
