use super::*;
use crate::matrix::{NO_OPERATOR, Setting};

#[test]
fn a_truncated_file_yields_its_complete_lines() {
    let setting =
        Setting { scenario: "calm".into(), nodes: None, load_per_mille: 1_000, operator: NO_OPERATOR.into() };
    let run = |seed| {
        let cell = Cell { setting: setting.clone(), seed };
        RunResult::new(cell, Build::A, Err(RunError::Interrupted), 0.5)
    };
    let text = format!("{}{}", run(1).line(), run(2).line());
    let first_line = run(1).line().len();
    for cut in 0..=text.len() {
        let ResultsFile { runs: found, complete_bytes } = read(&text[..cut]).unwrap();
        let expected = usize::from(cut >= first_line) + usize::from(cut == text.len());
        assert_eq!(
            (found.len(), complete_bytes),
            (expected, [0, first_line, text.len()][expected]),
            "cut at {cut}"
        );
    }
    assert_eq!(read(&text).unwrap().runs, [run(1), run(2)]);
    assert_eq!(read(&format!("{}nonsense\n", run(1).line())).unwrap_err().line, 2);
}
