use std::io;

use super::*;

fn parse(text: &str) -> Result<Experiment, Vec<String>> {
    let find = |_: &str| Err(io::Error::other("no such file"));
    Experiment::parse(text, &find).map_err(|errors| errors.iter().map(ToString::to_string).collect())
}

#[test]
fn a_matrix_has_one_cell_per_setting_and_seed_ordered_by_seed() {
    let text = "name = 'm'\nscenarios = ['calm', 'drain']\nseeds = 3\nnodes = [2, 4]\nloads = [1, 1.5]\n\
                [[operator]]\nname = 'a'\n[[operator]]\nname = 'b'\ntext = '''version = 1\n[servers]\nrest_ms = 5\n'''\n";
    let experiment = parse(text).unwrap();
    let cells = experiment.cells();
    assert_eq!(cells.len(), 2 * 2 * 2 * 2 * 3);
    let mut unique = cells.clone();
    unique.sort();
    unique.dedup();
    assert_eq!(unique.len(), cells.len());
    assert!(cells[..16].iter().all(|cell| cell.seed == 1), "the first half of the cells has the first seed");
    let last = &cells[15].setting;
    assert_eq!(last.to_string(), "drain, 4 nodes, load 1.500, b");
}

#[test]
fn all_errors_of_an_experiment_file_are_reported_with_their_position() {
    let errors = parse(
        "scenarios = ['clam']\nsedes = 3\nloads = []\nnodes = [0]\n[[operator]]\nname = 'x'\ntext = 'rest = 1'\n\
         [search]\nleast = 2\nmost = 1\nexpect = ['srved >= 1']\n",
    )
    .unwrap_err();
    let has = |part: &str| assert!(errors.iter().any(|error| error.contains(part)), "{part}: {errors:#?}");
    has("`name` is missing");
    has("line 1, column 14: there is no scenario `clam` (no such file); did you mean `calm`?");
    has("unknown key `sedes` in the file; did you mean `seeds`?");
    has("line 3, column 9: an empty matrix: `loads` has no values");
    has("line 4, column 10: `nodes` is to be from 1 to 64");
    has("the operator file `x`: line 1, column 1: unknown key `rest`");
    has("`least` must be less than `most`");
    has("there is no figure `srved`");
    has("`loads` can't be combined with [search], which determines the loads");
    assert!(parse("name = 'e'\nscenarios = []\n").unwrap_err()[0].contains("an empty matrix"));
}
