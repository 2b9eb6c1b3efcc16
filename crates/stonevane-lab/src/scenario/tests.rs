use super::*;

/// Guards against a bundled scenario that does not parse, lacks a description or expectations, or has another
/// name than its file.
#[test]
fn bundled_scenarios_parse_and_are_named_like_their_files() {
    for built_in in crate::SCENARIOS {
        let (name, text) = (built_in.name, built_in.text);
        let scenario = Scenario::parse(text).unwrap_or_else(|e| panic!("{name}: {e:?}"));
        assert_eq!(scenario.name, name);
        assert!(!scenario.about.is_empty() && !scenario.expects.is_empty(), "{name}");
    }
    assert_eq!(crate::SCENARIOS[0].name, "calm");
}

/// Guards against errors that are lost or lack their position when one file has several.
#[test]
fn all_errors_of_a_scenario_are_reported_with_their_positions() {
    let text = "nme = 'x'\nexpect = ['served > 0', 'srved >= 1', 'served >= many']\n[fleet]\nnodes = 0\n\
                [[fault]]\ndo = 'vanich'\nto = 'cache-1'\n[[fault]]\ndo = 'kill'\nto = 'cache-9'\n[[fault]]\n\
                do = 'node-kill'\n";
    let faults: Vec<_> = Scenario::parse(text).unwrap_err().iter().map(ToString::to_string).collect();
    let has = |part: &str| assert!(faults.iter().any(|f| f.contains(part)), "{part}: {faults:#?}");
    has("line 1, column 1: unknown key `nme` in the file; did you mean `name`?");
    has(
        "line 2, column 11: `served > 0` has no comparison (`>=`, `<=` or `=`); write an expectation like `served >= 0.9`",
    );
    has("line 2, column 25: there is no figure `srved`; did you mean `served`?");
    has("the bound `many` is not a finite number");
    has("line 4, column 9: `nodes` is to be from 1 to 400");
    has("line 6, column 6: `do` has no `vanich`; did you mean `vanish`?");
    has("line 10, column 6: there is no `cache-9`; did you mean `cache-0`?");
    has("`to` is missing in [fault]");
    has("`name` is missing in the file");
}

/// Guards against a comparison that treats a figure equal to its bound wrongly.
#[test]
fn expectations_compare_figures_with_inclusive_bounds() {
    let expect = |text| Expectation::parse(text).unwrap();
    assert!(expect("served >= 0.9").holds(0.9) && !expect("served >= 0.9").holds(0.89));
    assert!(expect("p99_ms <= 5").holds(5.0) && !expect("p99_ms <= 5").holds(5.1));
    assert!(expect("cache_falls = 0").holds(0.0) && !expect("cache_falls = 0").holds(1.0));
}
