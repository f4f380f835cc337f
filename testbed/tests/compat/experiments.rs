//! An experiment with all policies: its file, and its results on disk.

use std::fs;

use tempfile::TempDir;

use super::program::testbed;

const GRID: &str = include_str!("fixtures/experiment.toml");
/// The lines of `results.jsonl` from the earlier build, sorted, because runs end in any order.
const RESULTS: &str = include_str!("fixtures/results.jsonl");
const RESULTS_FILE: &str = "results.jsonl";

struct Experiment {
    folder: TempDir,
}

impl Experiment {
    fn new() -> Experiment {
        let folder = TempDir::new().unwrap();
        fs::write(folder.path().join("experiment.toml"), GRID).unwrap();
        Experiment { folder }
    }

    fn run(&self, options: &[&str]) {
        let out = self.folder.path().display().to_string();
        let grid = format!("{out}/experiment.toml");
        let mut arguments = vec!["experiment", &grid, "--out", &out];
        arguments.extend(options);
        let output = testbed(&arguments);
        assert!(output.status.success(), "{output:?}");
    }

    fn results(&self) -> Vec<String> {
        let text = fs::read_to_string(self.folder.path().join(RESULTS_FILE)).unwrap();
        let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
        lines.sort_unstable();
        lines
    }
}

/// Guards against a change of a policy, of a variant's key or of the format of the results.
#[test]
fn every_policy_gives_the_earlier_results() {
    let experiment = Experiment::new();
    experiment.run(&[]);
    let now = experiment.results();
    for (now, earlier) in now.iter().zip(RESULTS.lines()) {
        assert_eq!(now, earlier);
    }
    assert_eq!(now.len(), RESULTS.lines().count());
}

/// Guards against a change after which earlier results can no longer be resumed or reported.
#[test]
fn earlier_results_can_be_resumed_and_reported() {
    let experiment = Experiment::new();
    fs::write(experiment.folder.path().join(RESULTS_FILE), RESULTS).unwrap();
    experiment.run(&["--resume"]);
    assert_eq!(experiment.results().len(), RESULTS.lines().count());
    let out = experiment.folder.path().display().to_string();
    let report = testbed(&["report", &out]);
    let output = String::from_utf8(report.stdout).unwrap();
    assert!(output.starts_with("32 of 32 plays: "), "{output}");
}
