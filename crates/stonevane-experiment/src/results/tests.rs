use super::*;
use crate::matrix::{NO_OPERATOR, Setting};

#[test]
fn results_are_read_back_up_to_where_they_were_cut_off() {
    let setting =
        Setting { scenario: "calm".into(), nodes: None, load_per_mille: 1_000, operator: NO_OPERATOR.into() };
    let run = |seed| {
        let cell = Cell { setting: setting.clone(), seed };
        RunResult::new(cell, Build::A, Err(RunError::Interrupted), 0.5)
    };
    let text = format!("{}{}", run(1).line(), run(2).line());
    let first = run(1).line().len();
    for cut in 0..=text.len() {
        let ResultsFile { runs: found, complete_bytes: whole } = read(&text[..cut]).unwrap();
        let expected = usize::from(cut >= first) + usize::from(cut == text.len());
        assert_eq!((found.len(), whole), (expected, [0, first, text.len()][expected]), "cut at {cut}");
    }
    assert_eq!(read(&text).unwrap().runs, [run(1), run(2)]);
    assert_eq!(read(&format!("{}nonsense\n", run(1).line())).unwrap_err().line, 2);
}
