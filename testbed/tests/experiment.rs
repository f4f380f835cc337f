//! An experiment on disk: stopped and resumed it gives what it gives in one go, and a line cut off by a
//! crash costs that play alone.

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
fn a_stopped_experiment_goes_on_where_it_was() {
    let grid = Grid::read("grid.toml", GRID).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let (whole, cut) = (folder.path().join("whole"), folder.path().join("cut"));
    let all = run(
        &grid,
        Store::open(&whole, false, |word| panic!("{word}")).unwrap(),
        2,
    )
    .unwrap();
    assert_eq!(all.len(), 4);
    assert!(
        Store::open(&whole, false, |_| {}).is_err(),
        "results are not written over"
    );
    // Two whole lines and a part of the third.
    let text = fs::read_to_string(whole.join("results.jsonl")).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    fs::create_dir(&cut).unwrap();
    let left = format!("{}\n{}\n{}", lines[0], lines[1], &lines[2][..40]);
    fs::write(cut.join("results.jsonl"), left).unwrap();
    let mut words = Vec::new();
    let store = Store::open(&cut, true, |word| words.push(word)).unwrap();
    assert!(
        words.len() == 1 && words[0].contains(":3: a damaged line"),
        "{words:?}"
    );
    assert_eq!(run(&grid, store, 1).unwrap(), all);
    assert_eq!(
        fs::read_to_string(cut.join("results.jsonl"))
            .unwrap()
            .lines()
            .count(),
        4
    );
}

#[test]
fn a_wrong_grid_is_told_what() {
    let message = |text: &str| Grid::read("grid.toml", text).unwrap_err().to_string();
    assert!(message(&GRID.replace("\"random\"", "\"randon\"")).contains("did you mean 'random'?"));
    assert!(message(&GRID.replace("level = 0.2", "levle = 0.2")).contains("did you mean 'level'?"));
    assert!(message(&GRID.replace("seconds", "second")).contains("unknown field `second`"));
}
