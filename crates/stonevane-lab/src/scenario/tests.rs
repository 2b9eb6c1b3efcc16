use super::*;

#[test]
fn every_scenario_that_comes_along_can_be_read_and_bears_its_name() {
    for built_in in crate::SCENARIOS {
        let (name, text) = (built_in.name, built_in.text);
        let scenario = Scenario::parse(text).unwrap_or_else(|e| panic!("{name}: {e:?}"));
        assert_eq!(scenario.name, name);
        assert!(!scenario.about.is_empty() && !scenario.expects.is_empty(), "{name}");
    }
    assert_eq!(crate::SCENARIOS[0].name, "calm");
}

#[test]
fn every_fault_of_a_bad_scenario_is_told_with_its_place() {
    let text = "nme = 'x'\nexpect = ['served > 0', 'srved >= 1', 'served >= many']\n[fleet]\nnodes = 0\n\
                [[fault]]\ndo = 'vanich'\nto = 'cache-1'\n[[fault]]\ndo = 'kill'\nto = 'cache-9'\n[[fault]]\n\
                do = 'node-kill'\n";
    let faults: Vec<_> = Scenario::parse(text).unwrap_err().iter().map(ToString::to_string).collect();
    let has = |part: &str| assert!(faults.iter().any(|f| f.contains(part)), "{part}: {faults:#?}");
    has("line 1, column 1: unknown key `nme` in the file; did you mean `name`?");
    has("line 2, column 11: `served > 0` is not like");
    has("line 2, column 25: there is no figure `srved`; did you mean `served`?");
    has("`many` is no number");
    has("line 4, column 9: `nodes` is to be from 1 to 400");
    has("line 6, column 6: `do` has no `vanich`; did you mean `vanish`?");
    has("line 10, column 6: there is no `cache-9`; did you mean `cache-0`?");
    has("`to` is missing in [fault]");
    has("`name` is missing in the file");
}

#[test]
fn expectations_compare_as_they_read() {
    let expect = |text| Expectation::parse(text).unwrap();
    assert!(expect("served >= 0.9").holds(0.9) && !expect("served >= 0.9").holds(0.89));
    assert!(expect("p99_ms <= 5").holds(5.0) && !expect("p99_ms <= 5").holds(5.1));
    assert!(expect("cache_falls = 0").holds(0.0) && !expect("cache_falls = 0").holds(1.0));
}
