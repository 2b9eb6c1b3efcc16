//! The cases of the review: `review CASE RECORD` plays one and exits with 1 if its rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` a case is played without its disruption.

mod crash;
mod crowd;
mod foreign;
mod late_read;
mod long_values;
mod platform;
mod stale;
mod standstill;
mod term;

use std::path::Path;
use std::process::ExitCode;

use platform::{Record, Verdict};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::new(Path::new(path));
    record.line(
        "case",
        format!(
            "{case}, {}",
            if platform::trouble() { "with its disruption" } else { "without its disruption" }
        ),
    );
    // A case that can't go on, for want of a port or a file, could not run.
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(case, &record)));
    let verdict = played.unwrap_or_else(|_| Verdict::CouldNotRun("a stand-in could not be started".into()));
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("broken: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    record.line("verdict", &text);
    println!("{text}");
    ExitCode::from(code)
}

fn play(case: &str, record: &Record) -> Verdict {
    match case {
        "crash" => crash::play(record),
        "crowd" => crowd::play(record),
        "foreign" => foreign::play(record),
        "late-read" => late_read::play(record),
        "long-values" => long_values::play(record),
        "stale" => stale::play(record),
        "standstill" => standstill::play(record),
        "term" => term::play(record),
        _ => Verdict::CouldNotRun(format!("there is no case {case}")),
    }
}
