//! The decision module stays small enough to be read in a day.
#![allow(missing_docs)]

#[test]
fn the_decision_module_keeps_to_its_lines_and_columns() {
    let texts = [
        include_str!("../src/brain.rs"),
        include_str!("../src/placement.rs"),
        include_str!("../src/slow_start.rs"),
    ];
    let lines = texts.iter().flat_map(|text| text.lines()).filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 1200, "{lines} lines that are not blank, 1200 at most");
    for text in texts {
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "line {} is longer than 110 columns", number + 1);
        }
    }
}
