//! Results of every shipped scenario in virtual time, on three seeds, against those of the build before.

use std::sync::Mutex;

use tempfile::TempDir;
use testbed::scenario::SHIPPED;

use super::program::{for_each, scenario_of_before, testbed};

/// One play a line: the file that `sim --json` wrote, without white space at line ends and without `cpu_s`.
const EXPECTED: &str = include_str!("fixtures/sim-results.jsonl");
const SEEDS: [u64; 3] = [11, 12, 13];
/// The one field that depends on the machine.
const HOST_DEPENDENT_FIELD: &str = "\"cpu_s\":";

struct Play {
    /// The program's argument: the name of a shipped scenario, or a file.
    argument: String,
    seed: u64,
    /// The line of the fixture, which names the shipped scenario.
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

/// The text of a results file in the form of the fixture. It stays text: a parsed number could round.
fn compact(pretty: &str) -> String {
    pretty
        .lines()
        .map(|line| line.trim().replace("\": ", "\":"))
        .filter(|line| !line.starts_with(HOST_DEPENDENT_FIELD))
        .collect()
}

fn measured(play: &Play) -> String {
    let folder = TempDir::new().unwrap();
    let results = folder.path().join("results.json").display().to_string();
    let seed = play.seed.to_string();
    let output = testbed(&["sim", &play.argument, "--seed", &seed, "--json", &results]);
    assert!(output.status.success(), "{output:?}");
    compact(&std::fs::read_to_string(results).unwrap())
}

/// The first value that differs, with the name of the class or node it stands under. The first field names what was
/// played, and is left out.
fn first_difference(expected: &str, actual: &str) -> Option<String> {
    let (expected, actual) = (expected.split(',').skip(1), actual.split(',').skip(1));
    let counts = (expected.clone().count(), actual.clone().count());
    let mut name = "";
    for (at, (before, now)) in expected.zip(actual).enumerate() {
        if before.contains("\"name\":") {
            name = before;
        }
        if before != now {
            return Some(format!(
                "field {at} (after {name}): {before} before, {now} now"
            ));
        }
    }
    (counts.0 != counts.1).then(|| format!("{} fields before, {} now", counts.0, counts.1))
}

#[track_caller]
fn assert_all_equal(plays: &[Play]) {
    let differences = Mutex::new(Vec::new());
    for_each(plays, |play| {
        if let Some(difference) = first_difference(play.expected, &measured(play)) {
            let text = format!("{} seed {}: {difference}", play.argument, play.seed);
            differences.lock().unwrap().push(text);
        }
    });
    let mut differences = differences.into_inner().unwrap();
    differences.sort();
    assert!(differences.is_empty(), "{}", differences.join("\n"));
}

/// Guards against a decision, a random draw or a sum whose order was changed while code was moved or renamed.
#[test]
fn every_shipped_scenario_gives_the_results_of_before_to_the_last_digit() {
    let of_scenario = |name: &'static str| {
        SEEDS.map(|seed| Play {
            argument: name.to_owned(),
            seed,
            expected: expected(name, seed),
        })
    };
    let plays: Vec<Play> = names().into_iter().flat_map(of_scenario).collect();
    assert_eq!(plays.len(), EXPECTED.lines().count());
    assert_all_equal(&plays);
}

/// Guards against a key of a scenario file that is not read any more, or means something else.
#[test]
fn the_scenario_files_of_before_have_the_same_results() {
    let play = |name| Play {
        argument: scenario_of_before(name),
        seed: SEEDS[0],
        expected: expected(name, SEEDS[0]),
    };
    let plays: Vec<Play> = names().into_iter().map(play).collect();
    assert_all_equal(&plays);
}
