//! End-to-end tests of `stonevane scale measure` and `scale table`: output, files and rejected arguments.
#![allow(missing_docs)]

mod common;

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use common::{STONEVANE, Temp, stonevane, text};

const CSV_HEADER: &str = "role,size,seed,metric,unit,basis,value";

#[test]
fn a_measured_role_is_printed_and_written_as_csv_and_svg() {
    let (csv, chart) = (Temp::new("scale.csv", ""), Temp::new("scale.svg", ""));
    let args = ["scale", "measure", "--role", "discovery", "--sizes", "10,20,40"];
    let files = ["--csv", csv.path(), "--chart", chart.path()];
    let output = stonevane(&[&args[..], &files[..]].concat());
    let printed = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let sizes: Vec<_> = printed.lines().filter(|line| line.starts_with("discovery ")).collect();
    assert_eq!(sizes.len(), 3, "{printed}");
    assert!(printed.contains("start_calls: 0 + 1 a size"), "{printed}");
    let written = std::fs::read_to_string(csv.path()).unwrap();
    assert_eq!(written.lines().next(), Some(CSV_HEADER));
    assert!(written.contains("discovery,40,1,start_calls,1,measured,40.0"), "{written}");
    let drawn = std::fs::read_to_string(chart.path()).unwrap();
    assert!(drawn.starts_with("<svg") && drawn.contains("start_calls"));
}

#[test]
fn invalid_arguments_are_reported_in_one_line_before_any_measurement() {
    let cases: [(&[&str], &str); 12] = [
        (&["--role", "nodes", "--sizes", "3"], "there is no role \"nodes\"; one of membership, "),
        (&["--role", "discovery", "--sizes", "3,2"], "--sizes: 2 does not rise above 3"),
        (&["--role", "discovery", "--sizes", "3,3"], "--sizes: 3 does not rise above 3"),
        (&["--role", "discovery", "--sizes", "0,3"], "--sizes: \"0\" is no size above 0"),
        (&["--role", "discovery", "--sizes", "3,x"], "--sizes: \"x\" is no size above 0"),
        (&["--role", "discovery", "--sizes", ""], "--sizes: \"\" is no size above 0"),
        (&["--role", "membership", "--sizes", "300,70000"], "can't be measured at size 70000; 5 to 65535"),
        (&["--role", "membership", "--sizes", "4,300"], "can't be measured at size 4; 5 to 65535"),
        (&["--role", "membership", "--sizes", "300,60000", "--full-up-to", "60000"], "size 60000 needs "),
        (
            &["--role", "discovery", "--sizes", "3", "--tolerance", "2"],
            "--tolerance: \"2\" is no number between",
        ),
        (&["--role", "discovery", "--sizes", "3", "--csv", "/nowhere/x.csv"], "/nowhere/x.csv: "),
        (&["--role", "discovery", "--sizes", "3", "--chart", "/nowhere/x.svg"], "/nowhere/x.svg: "),
    ];
    for (args, expected) in cases {
        let output = stonevane(&[&["scale", "measure"], args].concat());
        let printed = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {printed}");
        assert!(output.stdout.is_empty(), "{args:?}: {}", text(&output.stdout));
        assert_eq!(printed.lines().count(), 1, "{printed}");
        assert!(printed.starts_with("stonevane: ") && printed.contains(expected), "{printed}");
    }
}

#[test]
fn a_table_without_measurements_is_rejected() {
    let output = stonevane(&["scale", "table", "--measurements", "/nowhere"]);
    let printed = text(&output.stderr);
    assert_eq!((output.status.code(), printed.lines().count()), (Some(2), 1), "{printed}");
}

/// Returns whether a process that measures a size with this seed is running.
fn is_measuring(seed: &str) -> bool {
    let processes = std::fs::read_dir("/proc").unwrap().filter_map(Result::ok);
    let mut commands = processes.filter_map(|process| std::fs::read(process.path().join("cmdline")).ok());
    commands.any(|command| {
        let words: Vec<&[u8]> = command.split(|byte| *byte == 0).collect();
        words.contains(&b"--in-process".as_slice()) && words.contains(&seed.as_bytes())
    })
}

/// Waits until the condition holds; fails after 60 s.
fn wait_for(event: &str, condition: impl Fn() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < Duration::from_secs(60), "timed out waiting for {event}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_killed_measurement_leaves_no_process_behind() {
    let seed = format!("7{}", std::process::id());
    let mut parent = Command::new(STONEVANE)
        .args(["scale", "measure", "--role", "membership", "--sizes", "2000", "--seed", &seed])
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    wait_for("the start of the size's process", || is_measuring(&seed));
    parent.kill().unwrap();
    parent.wait().unwrap();
    wait_for("the end of the size's process", || !is_measuring(&seed));
}
