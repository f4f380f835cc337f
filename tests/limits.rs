//! Limits of size on the sources of the node and the control plane: they are read on call.

use std::fs;
use std::path::{Path, PathBuf};

/// Lines of a source file, at most.
const MAX_FILE_LINES: usize = 600;
/// Characters of a line, at most.
const MAX_LINE_WIDTH: usize = 110;
/// Lines of a function of the decisions, at most, from `fn` to its closing brace.
const MAX_FUNCTION_LINES: usize = 50;
/// Files that the next sitting on the data path splits.
const LARGE_FILES: [&str; 3] = [
    "src/bin/load-balancer/body.rs",
    "src/bin/load-balancer/clients.rs",
    "src/bin/load-balancer/servers.rs",
];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            files.push(path);
        }
    }
    files.sort();
    files
}

fn name_of(path: &Path) -> String {
    path.strip_prefix(root()).unwrap().display().to_string()
}

fn indent_of(line: &str) -> usize {
    line.len() - line.trim_start().len()
}

/// Whether a line begins a function; the formatter puts its closing brace at the same indent.
fn begins_function(line: &str) -> bool {
    let text = line.trim_start();
    ["fn ", "pub fn ", "pub(crate) fn ", "pub(super) fn "]
        .iter()
        .any(|start| text.starts_with(start))
}

/// The functions of a text with the number of their lines.
fn functions(text: &str) -> Vec<(String, usize)> {
    let lines: Vec<&str> = text.lines().collect();
    let mut found = Vec::new();
    for (first, line) in lines.iter().enumerate() {
        if !begins_function(line) {
            continue;
        }
        let end = lines[first..].iter().position(|other| {
            indent_of(other) == indent_of(line) && other.trim_end().ends_with('}')
        });
        let end = end.unwrap_or_else(|| panic!("no end of {line}"));
        found.push((line.trim().to_owned(), end + 1));
    }
    found
}

#[test]
fn no_source_file_is_longer_than_a_reader_can_hold() {
    let mut files = rust_files(&root().join("src"));
    files.extend(rust_files(&root().join("control-plane/src")));
    assert!(files.len() > 50, "only {} files were found", files.len());
    for path in files {
        let name = name_of(&path);
        if LARGE_FILES.contains(&name.as_str()) {
            continue;
        }
        let lines = fs::read_to_string(&path).unwrap().lines().count();
        assert!(lines <= MAX_FILE_LINES, "{name} has {lines} lines");
    }
}

#[test]
fn the_decisions_are_short_functions_in_documented_modules() {
    let files = rust_files(&root().join("src/balancer"));
    assert!(files.len() > 10, "only {} files were found", files.len());
    let mut count = 0;
    for path in files {
        let name = name_of(&path);
        let text = fs::read_to_string(&path).unwrap();
        assert!(text.starts_with("//! "), "{name} does not say what it is");
        for (n, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(
                width <= MAX_LINE_WIDTH,
                "{name}:{} has {width} characters",
                n + 1
            );
        }
        for (function, lines) in functions(&text) {
            count += 1;
            assert!(
                lines <= MAX_FUNCTION_LINES,
                "{name}: {function} has {lines} lines"
            );
        }
    }
    assert!(count > 100, "only {count} functions were found");
}

/// The values of `key` in the deploy file: a list of strings.
fn deploy_list(key: &str) -> Vec<String> {
    let deploy = fs::read_to_string(root().join("deploy/balancer.toml")).unwrap();
    let start = format!("{key} = [");
    let (_, list) = deploy.split_once(&start).unwrap();
    let (list, _) = list.split_once(']').unwrap();
    list.split('"')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

// The operators' bench reads single files for `policy`: one that is missing there is in no snapshot of the journal.
#[test]
fn the_deploy_file_names_each_module_of_the_decisions() {
    let modules: Vec<String> = rust_files(&root().join("src/balancer"))
        .iter()
        .filter(|path| !path.ends_with("tests.rs"))
        .map(|path| name_of(path))
        .collect();
    assert_eq!(deploy_list("policy"), modules);
}

#[test]
fn the_balancer_names_its_interface_in_its_first_line() {
    let text = fs::read_to_string(root().join("src/balancer/mod.rs")).unwrap();
    assert!(text.lines().next().unwrap().contains("`src/api.rs`"));
}
