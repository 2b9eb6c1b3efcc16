//! Tests that every error of an operator file is reported with its position, and that no input makes the
//! parser panic.
#![allow(missing_docs)]

use proptest::prelude::*;
use stonevane_config::operator::{Operator, Region, Regions, Servers};

#[test]
fn a_file_that_sets_nothing_changes_nothing() {
    assert_eq!(Operator::parse(""), Ok(Operator::default()));
    assert_eq!(Operator::parse("# all off\nversion = 1\n[clients]\n"), Ok(Operator::default()));
    let shipped = include_str!("../../../deploy/operator.toml");
    assert_eq!(Operator::parse(shipped), Ok(Operator::default()), "the shipped file sets nothing");
}

#[test]
fn the_keys_in_the_shipped_files_comments_are_known_and_show_the_defaults() {
    let shipped = include_str!("../../../deploy/operator.toml");
    let set = |line: &&str| line.contains(" = ") || line.starts_with('[');
    let uncommented = shipped.lines().map(|line| line.strip_prefix("# ").filter(set).unwrap_or(line));
    let uncommented: Vec<_> = uncommented.collect();
    assert!(uncommented.iter().filter(|line| line.contains(" = ")).count() > 4);
    let offered = Operator::parse(&uncommented.join("\n")).unwrap();
    // The store is off in a file without the section `[store]`. The section in the shipped file shows the
    // defaults, except for the path.
    let minimal = Operator::parse("[store]\nsqlite = 'zones.db'\n[fleet]").unwrap();
    assert!(offered.store.is_some() && offered.fleet.is_some() && offered == minimal);
    assert_eq!(Operator { store: None, fleet: None, ..offered }, Operator::default());
    let first_error = |text: &str| Operator::parse(text).unwrap_err()[0].to_string();
    assert!(first_error("[store]\nqueue = 2").contains("`sqlite` or `postgres` is missing in [store]"));
    assert!(first_error("[store]\nsqlite = ''").contains("is to name a file"));
    assert!(first_error("[store]\nsqlite = 'z'\npostgres = 'postgres://h/d'").contains("only one of"));
    assert!(first_error("[store]\npostgres = 'mysql://h/d'").contains("`postgres` is to be like"));
    assert!(
        first_error("[store]\npostgres = 'postgres://h/d'\nreaders = 2")
            .contains("`readers` goes with `sqlite`")
    );
    assert!(first_error("[store]\nsqlite = 'z'\nprobe_ms = 2000").contains("`probe_ms` is to be at most"));
    let server =
        Operator::parse("[store]\npostgres = 'postgres://u:secret@h:5432/d'").unwrap().store.unwrap();
    assert_eq!(server.place.to_string(), "postgres://h:5432/d", "the displayed URL has no credentials");
    assert!(first_error("[store]\nsqlite = 'z'\nreaders = 0").contains("`readers` is to be from 1 to 16"));
}

#[test]
fn all_errors_of_the_fleet_section_are_reported_together() {
    let wrong = "[fleet]\nperiod_ms = 400\nanswer_ms = 300\nkey = 'abc'\nspeaks = 3\nsuspicion = 0\n";
    let lines: Vec<_> = Operator::parse(wrong).unwrap_err().iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "line 3, column 13: `answer_ms` is to be at most half of `period_ms`, 200",
            "line 4, column 7: `key` is to be 32 bytes, as 64 hexadecimal digits",
            "line 5, column 10: `speaks` is to be from 1 to 2",
            "line 6, column 13: `suspicion` is to be from 1 to 20",
        ]
    );
    let keyed = format!("[fleet]\nkey = '{}'", "0f".repeat(32));
    assert_eq!(Operator::parse(&keyed).unwrap().fleet.unwrap().key, Some([15; 32]));
}

#[test]
fn regions_are_read_with_their_zones_and_are_off_without_the_section() {
    assert_eq!(Operator::parse("version = 1").unwrap().regions, None);
    let text = "[regions]\nhome = 'north'\nnodes = 643\n[regions.zones]\nsouth = ['a', 'b']\nnorth = ['c']\n";
    let regions = Operator::parse(text).unwrap().regions.unwrap();
    let region = |name: &str, zones: &[&str]| Region {
        name: name.into(),
        zones: zones.iter().map(std::string::ToString::to_string).collect(),
    };
    let others = vec![region("south", &["a", "b"])];
    assert_eq!(regions, Regions { home: region("north", &["c"]), others, nodes: 643, min_usable: 2 });
    // The section in the shipped file, uncommented.
    let shipped = include_str!("../../../deploy/operator.toml");
    let offered: Vec<_> = shipped.lines().skip_while(|line| *line != "## [regions]").collect();
    let offered = offered.iter().filter_map(|line| line.strip_prefix("## ")).collect::<Vec<_>>().join("\n");
    let offered = Operator::parse(&offered).unwrap().regions.unwrap();
    assert_eq!((offered.home, offered.min_usable), (region("south", &["a", "b"]), regions.min_usable));
}

#[test]
fn all_errors_of_the_regions_section_are_reported_together() {
    let wrong = "[regions]\nhome = 'wets'\nnodes = 0\nleast = 'x'\nlimit = 1\n\
                 [regions.zones]\nwest = ['a', 'b', 'a']\neast = ['b']\nnone = []\nodd = 7\n";
    let lines: Vec<_> = Operator::parse(wrong).unwrap_err().iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "line 2, column 8: `home` is no region of [regions.zones]; did you mean `west`?",
            "line 3, column 9: `nodes` is to be from 1 to 1000000",
            "line 4, column 9: `least` is to be a whole number, and is a text",
            "line 5, column 1: unknown key `limit` in [regions]; known: home, nodes, least, zones",
            "line 7, column 19: the zone `a` is in the region `west` already",
            "line 8, column 9: the zone `b` is in the region `west` already",
            "line 9, column 1: the region `none` has no zone",
            "line 10, column 1: the region `odd` has no zone",
            "line 10, column 7: `odd` is to be a list of texts, and is a whole number",
        ]
    );
}

#[test]
fn all_errors_are_listed_with_their_positions_and_the_nearest_names() {
    let text = "version = 2\nclents = 1\n[clients]\nidle_ms = \"long\"\nfrist_ms = 3\nwhole_ms = 0\n[servers]\nrest_ms = -1\n";
    let errors = Operator::parse(text).unwrap_err();
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "line 1, column 11: `version` is to be from 1 to 1",
            "line 2, column 1: unknown key `clents` in the file; did you mean `clients`?",
            "line 4, column 11: `idle_ms` is to be a whole number, and is a text",
            "line 5, column 1: unknown key `frist_ms` in [clients]; did you mean `first_ms`?",
            "line 6, column 12: `whole_ms` is to be from 10 to 3600000",
            "line 8, column 11: `rest_ms` is to be from 0 to 1000",
        ]
    );
}

#[test]
fn a_syntax_error_is_reported_with_its_position_and_the_rest_is_still_read() {
    let errors = Operator::parse("[clients]\nidle_ms = = 3\n[servers]\nrest = 3\n").unwrap_err();
    assert!(errors.iter().any(|error| error.line == 2), "{errors:?}");
    assert!(
        errors.iter().any(|error| error.line == 4 && error.problem.to_string().contains("rest_ms")),
        "{errors:?}"
    );
    let crossed = Operator::parse("[clients]\nspare_ms = 9000\nidle_ms = 50\n").unwrap_err();
    assert_eq!(crossed[0].to_string(), "line 2, column 12: `spare_ms` is to be at most `idle_ms`, 50");
    assert!(Operator::parse(&"#".repeat(2 << 20)).is_err());
}

#[test]
fn set_values_replace_the_defaults() {
    let set = Operator::parse("[servers]\nrest_ms = 0x10\n").unwrap();
    assert_eq!(set.servers, Servers { rest: std::time::Duration::from_millis(16) });
    let start = |text: &str| Operator::parse(text).map(|operator| operator.start.attempts_per_server);
    assert_eq!(start(""), Ok(8.0));
    assert_eq!(start("[start]\neach = 2.5\n"), Ok(2.5));
    assert_eq!(start("[start]\neach = 2.5\nramp = false\n"), Ok(0.0));
    let none = start("[start]\neach = 0\nramp = 1\n").unwrap_err();
    let lines: Vec<_> = none.iter().map(ToString::to_string).collect();
    assert_eq!(lines[0], "line 2, column 8: `each` is to be from 0.1 to 10000");
    assert!(lines.len() == 2 && lines[1].starts_with("line 3, column 8: `ramp`"), "{lines:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default() })]
    #[test]
    fn no_input_panics(text in "([\\[\\]=\"a-z_0-9.\\n é#{},-]|clients|idle_ms|rest_ms){0,60}") {
        if let Err(errors) = Operator::parse(&text) {
            let lines = text.matches('\n').count() + 1;
            prop_assert!(errors.iter().all(|error| error.line <= lines && error.column >= 1 && !error.problem.to_string().contains('\n')));
        }
    }
}
