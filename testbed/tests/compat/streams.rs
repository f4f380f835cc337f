//! The first node's stream of events and actions in each built-in scenario, as `sim --events` records it.

use std::sync::Mutex;

use tempfile::TempDir;
use testbed::scenario::SHIPPED;
use xxhash_rust::xxh3::xxh3_64;

use super::program::{for_each, testbed};

/// Each line: scenario, number of a block of lines, and hash of the block.
const EXPECTED: &str = include_str!("fixtures/streams.txt");
const BLOCK_LINES: usize = 1_000;
const SEED: &str = "11";
const SECONDS: &str = "6";
/// This scenario has an event that the format cannot express, so the program fails.
const NOT_RECORDED: &str = "hand-and-drain";

fn recorded(name: &str) -> Option<String> {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("events.txt").display().to_string();
    let arguments = [
        "sim",
        name,
        "--seed",
        SEED,
        "--seconds",
        SECONDS,
        "--events",
        &file,
    ];
    let output = testbed(&arguments);
    output
        .status
        .success()
        .then(|| std::fs::read_to_string(file).unwrap())
}

fn hashes(name: &str, stream: &str) -> Vec<String> {
    let lines: Vec<&str> = stream.lines().collect();
    let blocks = lines.chunks(BLOCK_LINES).enumerate();
    let hash = |block: &[&str]| xxh3_64(block.join("\n").as_bytes());
    blocks
        .map(|(number, block)| format!("{name} {number} {:016x}", hash(block)))
        .collect()
}

/// Guards against a change of the events or actions of a node, or of the format of their lines. Streams that were
/// recorded earlier must still replay.
#[test]
fn every_built_in_scenario_records_the_earlier_stream() {
    let now = Mutex::new(Vec::new());
    for_each(SHIPPED, |(name, _)| match recorded(name) {
        Some(stream) => now.lock().unwrap().extend(hashes(name, &stream)),
        None => assert_eq!(*name, NOT_RECORDED),
    });
    let mut now = now.into_inner().unwrap();
    let mut expected: Vec<&str> = EXPECTED.lines().collect();
    now.sort_unstable();
    expected.sort_unstable();
    for (now, expected) in now.iter().zip(&expected) {
        assert_eq!(
            now, expected,
            "the first block of {BLOCK_LINES} lines that differs"
        );
    }
    assert_eq!(now.len(), expected.len());
}
