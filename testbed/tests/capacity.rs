//! Holds `docs/CAPACITY.md` against `docs/capacity/*.json`, the committed results of full scale runs, one a role: every
//! table word for word, and every figure that the text names in the form "VALUE unit (`name`)".

use std::fs;
use std::path::{Path, PathBuf};

use testbed::scale::page;
use testbed::scale::results::Results;

/// The files, in the order of the page.
const ROLES: [&str; 4] = [
    "node.json",
    "agent.json",
    "configuration.json",
    "control.json",
];

fn docs(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../docs")
        .join(file)
}

fn both() -> (String, Results) {
    let page = fs::read_to_string(docs("CAPACITY.md")).unwrap();
    (
        page,
        Results::read_all(&ROLES.map(|role| docs("capacity").join(role))).unwrap(),
    )
}

/// Where the text's figures differ from the file's; how many agree.
fn differences(page: &str, results: &Results) -> (Vec<String>, usize) {
    let (mut wrong, mut right) = (Vec::new(), 0);
    let text: Vec<&str> = page.lines().filter(|line| !line.starts_with('|')).collect();
    let words: Vec<&str> = text
        .iter()
        .flat_map(|line| line.split_whitespace())
        .collect();
    for (at, word) in words.iter().enumerate() {
        let Some((name, _)) = word
            .strip_prefix("(`")
            .and_then(|rest| rest.split_once("`)"))
        else {
            continue;
        };
        // A file that the text points to.
        if name.contains('/') {
            continue;
        }
        let Some(measurement) = results
            .measurements
            .iter()
            .find(|measurement| measurement.name == name)
        else {
            wrong.push(format!("{name}: no such figure"));
            continue;
        };
        // The value stands before its unit, of at most three words.
        let before = &words[at.saturating_sub(4)..at];
        let value = measurement.at_target.map(page::number);
        if value
            .as_ref()
            .is_some_and(|value| before.contains(&value.as_str()))
        {
            right += 1;
        } else {
            wrong.push(format!(
                "{name}: the page says \"{}\", the file {value:?}",
                before.join(" ")
            ));
        }
    }
    (wrong, right)
}

#[test]
fn the_page_and_the_results_agree() {
    let (text, results) = both();
    assert!(!results.quick, "the committed results are of a full run");
    let filled = page::fill(&text, &results).unwrap();
    for (line, (is, ought)) in text.lines().zip(filled.lines()).enumerate() {
        assert_eq!(
            is,
            ought,
            "line {} of the page; balancer-testbed capacity --page writes it",
            line + 1
        );
    }
    assert_eq!(text, filled);
    let (wrong, right) = differences(&text, &results);
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert!(right > 0, "the text names figures");
}

#[test]
fn every_figure_and_every_red_line_is_on_the_page() {
    let (text, results) = both();
    for measurement in &results.measurements {
        assert!(
            text.contains(&page::row(measurement)),
            "{} {} is missing",
            measurement.role,
            measurement.name
        );
    }
    assert!(text.contains(&page::red_lines(&results)));
}

#[test]
fn a_page_that_differs_is_found_out() {
    let (text, results) = both();
    let mut other = results.clone();
    for measurement in &mut other.measurements {
        measurement.at_target = measurement.at_target.map(|value| value * 2.0 + 1.0);
    }
    assert_ne!(page::fill(&text, &other).unwrap(), text, "in its tables");
    assert!(!differences(&text, &other).0.is_empty(), "and in its text");
}
