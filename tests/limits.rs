//! The limits of size that the operators set for the decision module: they port it by hand.

use std::fs;
use std::path::PathBuf;

const MAX_LINES: usize = 1_200;
const MAX_WIDTH: usize = 110;

/// The path and text of each source file of the decision module.
fn sources() -> Vec<(PathBuf, String)> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/src/balancer");
    let mut sources = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_file() {
            let text = fs::read_to_string(&path).unwrap();
            sources.push((path, text));
        }
    }
    assert!(!sources.is_empty());
    sources
}

// Guards against a module too long to port: the operators' bench counts all lines that are not blank.
#[test]
fn the_module_has_no_more_lines_than_the_operators_port() {
    let lines: usize = sources()
        .iter()
        .flat_map(|(_, text)| text.lines())
        .filter(|line| !line.trim().is_empty())
        .count();
    assert!(
        (1..=MAX_LINES).contains(&lines),
        "{lines} lines that are not blank"
    );
}

#[test]
fn lines_are_no_wider_than_the_operators_read() {
    for (path, text) in sources() {
        for (number, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(
                width <= MAX_WIDTH,
                "{}:{} has {width} characters",
                path.display(),
                number + 1
            );
        }
    }
}

#[test]
fn the_module_names_its_interface_in_its_first_line() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/src/balancer/mod.rs");
    let text = fs::read_to_string(path).unwrap();
    assert!(text.lines().next().unwrap().contains("`src/api.rs`"));
}
