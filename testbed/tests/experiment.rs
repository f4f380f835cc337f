//! Experiments on disk: a stopped and resumed experiment has the same results as an uninterrupted one, and a line
//! truncated by a crash costs only that run. A faulty experiment file is refused with the reason.

use std::fs;

use testbed::experiment::{run, Grid, Store};

const GRID: &str = r#"
scenarios = ["release"]
policies = ["node", "random"]
seeds = { from = 5, count = 2 }
seconds = 4
sizes = [{ nodes = 2, servers = 5 }]
variants = [{ name = "light", set = { load = { level = 0.2 } } }]
"#;

#[test]
fn a_resumed_experiment_has_the_results_of_an_uninterrupted_one() {
    let grid = Grid::read("grid.toml", GRID).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let (complete, truncated) = (
        folder.path().join("complete"),
        folder.path().join("truncated"),
    );
    let all = run(
        &grid,
        Store::open(&complete, false, |warning| panic!("{warning}")).unwrap(),
        2,
    )
    .unwrap();
    assert_eq!(all.len(), 4);
    assert!(
        Store::open(&complete, false, |_| {}).is_err(),
        "existing results are not overwritten"
    );
    // Two complete lines and a part of the third.
    let text = fs::read_to_string(complete.join("results.jsonl")).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    fs::create_dir(&truncated).unwrap();
    let remaining = format!("{}\n{}\n{}", lines[0], lines[1], &lines[2][..40]);
    fs::write(truncated.join("results.jsonl"), remaining).unwrap();
    let mut warnings = Vec::new();
    let store = Store::open(&truncated, true, |warning| warnings.push(warning)).unwrap();
    assert!(
        warnings.len() == 1 && warnings[0].contains(":3: a damaged line"),
        "{warnings:?}"
    );
    assert_eq!(run(&grid, store, 1).unwrap(), all);
    assert_eq!(
        fs::read_to_string(truncated.join("results.jsonl"))
            .unwrap()
            .lines()
            .count(),
        4
    );
}

#[test]
fn a_faulty_experiment_file_is_refused_with_the_reason() {
    let message = |text: &str| Grid::read("grid.toml", text).unwrap_err().to_string();
    assert!(message(&GRID.replace("\"random\"", "\"randon\"")).contains("did you mean 'random'?"));
    assert!(message(&GRID.replace("level = 0.2", "levle = 0.2")).contains("did you mean 'level'?"));
    assert!(message(&GRID.replace("seconds", "second")).contains("unknown field `second`"));
}
