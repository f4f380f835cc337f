//! Results of every built-in scenario in virtual time, with three seeds, compared with those of the earlier build.

use std::sync::Mutex;

use tempfile::TempDir;
use testbed::scenario::SHIPPED;

use super::program::{earlier_scenario, for_each, testbed};

/// One run per line: the file that `sim --json` wrote, without line breaks and indentation and without `cpu_s`.
const EXPECTED: &str = include_str!("fixtures/sim-results.jsonl");
const SEEDS: [u64; 3] = [11, 12, 13];
/// The only field that depends on the machine.
const HOST_DEPENDENT_FIELD: &str = "\"cpu_s\":";

struct Run {
    /// The argument of the program: the name of a built-in scenario, or a file.
    argument: String,
    seed: u64,
    /// The line of the fixture, which has the name of the built-in scenario.
    expected: &'static str,
}

fn names() -> Vec<&'static str> {
    let mut names: Vec<&str> = SHIPPED.iter().map(|(name, _)| *name).collect();
    names.sort_unstable();
    names
}

fn expected(name: &str, seed: u64) -> &'static str {
    let start = format!("{{\"scenario\":\"{name}\",\"policy\":\"node\",\"seed\":{seed},");
    let found = EXPECTED.lines().find(|line| line.starts_with(&start));
    found.unwrap_or_else(|| panic!("no result of {name}, seed {seed}"))
}

/// The text of a results file in the format of the fixture. It is not parsed, because a parsed number could be rounded.
fn compact(pretty: &str) -> String {
    pretty
        .lines()
        .map(|line| line.trim().replace("\": ", "\":"))
        .filter(|line| !line.starts_with(HOST_DEPENDENT_FIELD))
        .collect()
}

fn actual(run: &Run) -> String {
    let folder = TempDir::new().unwrap();
    let results = folder.path().join("results.json").display().to_string();
    let seed = run.seed.to_string();
    let output = testbed(&["sim", &run.argument, "--seed", &seed, "--json", &results]);
    assert!(output.status.success(), "{output:?}");
    compact(&std::fs::read_to_string(results).unwrap())
}

/// The first value that differs, with the name of the class or node that it belongs to. The first field, the scenario,
/// is not compared, because it can be a path.
fn first_difference(expected: &str, actual: &str) -> Option<String> {
    let (expected, actual) = (expected.split(',').skip(1), actual.split(',').skip(1));
    let counts = (expected.clone().count(), actual.clone().count());
    let mut name = "";
    for (at, (expected, actual)) in expected.zip(actual).enumerate() {
        if expected.contains("\"name\":") {
            name = expected;
        }
        if expected != actual {
            return Some(format!(
                "field {at} (after {name}): expected {expected}, got {actual}"
            ));
        }
    }
    (counts.0 != counts.1).then(|| format!("expected {} fields, got {}", counts.0, counts.1))
}

#[track_caller]
fn assert_all_equal(runs: &[Run]) {
    let differences = Mutex::new(Vec::new());
    for_each(runs, |run| {
        if let Some(difference) = first_difference(run.expected, &actual(run)) {
            let text = format!("{} seed {}: {difference}", run.argument, run.seed);
            differences.lock().unwrap().push(text);
        }
    });
    let mut differences = differences.into_inner().unwrap();
    differences.sort();
    assert!(differences.is_empty(), "{}", differences.join("\n"));
}

/// Guards against code that was moved or renamed and now makes decisions, draws random numbers or adds up values in
/// another order.
#[test]
fn every_built_in_scenario_gives_the_earlier_results_to_the_last_digit() {
    let of_scenario = |name: &'static str| {
        SEEDS.map(|seed| Run {
            argument: name.to_owned(),
            seed,
            expected: expected(name, seed),
        })
    };
    let runs: Vec<Run> = names().into_iter().flat_map(of_scenario).collect();
    assert_eq!(runs.len(), EXPECTED.lines().count());
    assert_all_equal(&runs);
}

/// Guards against a key of a scenario file that is no longer read or has another meaning.
#[test]
fn earlier_scenario_files_give_the_same_results() {
    let run = |name| Run {
        argument: earlier_scenario(name),
        seed: SEEDS[0],
        expected: expected(name, SEEDS[0]),
    };
    let runs: Vec<Run> = names().into_iter().map(run).collect();
    assert_all_equal(&runs);
}
