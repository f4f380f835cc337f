//! Figures of every shipped scenario in virtual time, on three seeds, against those of the build before.

use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;

use tempfile::TempDir;
use testbed::scenario::SHIPPED;

/// One play a line: the file that `sim --json` wrote, without white space at line ends and without `cpu_s`.
const EXPECTED: &str = include_str!("fixtures/sim-figures.jsonl");
const SEEDS: [u64; 3] = [11, 12, 13];
/// The one field that depends on the machine.
const HOST_DEPENDENT_FIELD: &str = "\"cpu_s\":";
const MAX_THREADS: usize = 8;

struct Play {
    scenario: &'static str,
    seed: u64,
}

fn plays() -> Vec<Play> {
    let mut names: Vec<&str> = SHIPPED.iter().map(|(name, _)| *name).collect();
    names.sort_unstable();
    let of_scenario = |scenario| SEEDS.map(|seed| Play { scenario, seed });
    names.into_iter().flat_map(of_scenario).collect()
}

/// The text of a figures file in the form of the fixture. It stays text: a parsed number could round.
fn compact(pretty: &str) -> String {
    pretty
        .lines()
        .map(|line| line.trim().replace("\": ", "\":"))
        .filter(|line| !line.starts_with(HOST_DEPENDENT_FIELD))
        .collect()
}

fn measured(play: &Play) -> String {
    let folder = TempDir::new().unwrap();
    let figures = folder.path().join("figures.json");
    let output = Command::new(env!("CARGO_BIN_EXE_balancer-testbed"))
        .args(["sim", play.scenario, "--seed", &play.seed.to_string()])
        .arg("--json")
        .arg(&figures)
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    compact(&std::fs::read_to_string(figures).unwrap())
}

/// The first figure that differs, with the name of the class or node it stands under.
fn first_difference(expected: &str, actual: &str) -> Option<String> {
    if expected == actual {
        return None;
    }
    let mut name = "";
    let mut fields = expected.split(',').zip(actual.split(',')).enumerate();
    let differing = fields.find(|(_, (before, now))| {
        if before.contains("\"name\":") {
            name = before;
        }
        before != now
    });
    Some(match differing {
        Some((at, (before, now))) => {
            format!("field {at} (after {name}): {before} before, {now} now")
        }
        None => "one has more fields than the other".to_owned(),
    })
}

/// Guards against a decision, a random draw or a sum whose order was changed while code was moved or renamed.
#[test]
fn every_shipped_scenario_gives_the_figures_of_before_to_the_last_digit() {
    let plays = plays();
    let expected: Vec<&str> = EXPECTED.lines().collect();
    assert_eq!(expected.len(), plays.len());
    let next = AtomicUsize::new(0);
    let differences = Mutex::new(Vec::new());
    let play_all = || loop {
        let at = next.fetch_add(1, Ordering::Relaxed);
        let Some(play) = plays.get(at) else { return };
        if let Some(difference) = first_difference(expected[at], &measured(play)) {
            let text = format!("{} seed {}: {difference}", play.scenario, play.seed);
            differences.lock().unwrap().push(text);
        }
    };
    let threads = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..threads.min(MAX_THREADS) {
            scope.spawn(play_all);
        }
    });
    let mut differences = differences.into_inner().unwrap();
    differences.sort();
    assert!(differences.is_empty(), "{}", differences.join("\n"));
}
