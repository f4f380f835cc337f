//! Size limits for the sources of the node and the control plane, which engineers on call must be able to
//! read, and checks that files which list or describe the modules of the balancer are up to date.

use std::fs;
use std::path::{Path, PathBuf};

/// Maximum number of lines of a source file.
const MAX_FILE_LINES: usize = 600;
/// Maximum number of characters of a line of `src/balancer`.
const MAX_LINE_WIDTH: usize = 110;
/// Maximum number of lines of a function of `src/balancer`, from `fn` to its closing brace.
const MAX_FUNCTION_LINES: usize = 50;
/// Files that are above the limit and still have to be split.
const LARGE_FILES: [&str; 2] = [
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

/// Whether a line begins a function. The formatter puts the function's closing brace at the same indent.
fn begins_function(line: &str) -> bool {
    let text = line.trim_start();
    ["fn ", "pub fn ", "pub(crate) fn ", "pub(super) fn "]
        .iter()
        .any(|start| text.starts_with(start))
}

/// The first line and the number of lines of each function of a source text.
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
        let end = end.unwrap_or_else(|| panic!("found no closing brace of {line}"));
        found.push((line.trim().to_owned(), end + 1));
    }
    found
}

#[test]
fn no_source_file_has_more_than_600_lines() {
    let mut files = rust_files(&root().join("src"));
    files.extend(rust_files(&root().join("control-plane/src")));
    assert!(files.len() > 50, "only {} files were found", files.len());
    for path in files {
        let name = name_of(&path);
        if LARGE_FILES.contains(&name.as_str()) {
            continue;
        }
        let lines = fs::read_to_string(&path).unwrap().lines().count();
        assert!(
            lines <= MAX_FILE_LINES,
            "{name} has {lines} lines, more than {MAX_FILE_LINES}"
        );
    }
}

#[test]
fn the_modules_of_the_balancer_are_documented_and_their_functions_short() {
    let files = rust_files(&root().join("src/balancer"));
    assert!(files.len() > 10, "only {} files were found", files.len());
    let mut count = 0;
    for path in files {
        let name = name_of(&path);
        let text = fs::read_to_string(&path).unwrap();
        assert!(
            text.starts_with("//! "),
            "{name} does not begin with a module comment"
        );
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

/// The list of strings under `key` in the deploy file.
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

// Guards against a module that is missing in the snapshots of the operators' bench, which copies exactly the
// files listed under `policy`.
#[test]
fn the_deploy_file_lists_each_module_of_the_balancer() {
    let modules: Vec<String> = rust_files(&root().join("src/balancer"))
        .iter()
        .filter(|path| !path.ends_with("tests.rs"))
        .map(|path| name_of(path))
        .collect();
    assert_eq!(deploy_list("policy"), modules);
}

#[test]
fn the_first_line_of_the_balancer_names_its_interface() {
    let text = fs::read_to_string(root().join("src/balancer/mod.rs")).unwrap();
    assert!(text.lines().next().unwrap().contains("`src/api.rs`"));
}
