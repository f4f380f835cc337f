//! Compares `docs/CAPACITY.md` with `docs/capacity/*.json`, the committed results of full capacity runs, one file per
//! role: every table word for word, and every value that the text cites in the form "VALUE unit (`name`)".

use std::fs;
use std::path::{Path, PathBuf};

use testbed::scale::page;
use testbed::scale::results::Results;

/// Result files, in the order of the page's tables.
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

fn page_and_results() -> (String, Results) {
    let page = fs::read_to_string(docs("CAPACITY.md")).unwrap();
    (
        page,
        Results::read_all(&ROLES.map(|role| docs("capacity").join(role))).unwrap(),
    )
}

/// Values cited in the text that differ from the results, and the number of those that match.
fn differences(page: &str, results: &Results) -> (Vec<String>, usize) {
    let (mut differing, mut matching) = (Vec::new(), 0);
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
        // A reference to a file rather than to a measurement.
        if name.contains('/') {
            continue;
        }
        let Some(measurement) = results
            .measurements
            .iter()
            .find(|measurement| measurement.name == name)
        else {
            differing.push(format!("{name}: no such measurement"));
            continue;
        };
        // The value precedes its unit, which has at most three words.
        let before = &words[at.saturating_sub(4)..at];
        let value = measurement.at_target.map(page::number);
        if value
            .as_ref()
            .is_some_and(|value| before.contains(&value.as_str()))
        {
            matching += 1;
        } else {
            differing.push(format!(
                "{name}: the page has \"{}\", the results have {value:?}",
                before.join(" ")
            ));
        }
    }
    (differing, matching)
}

#[test]
fn the_page_and_the_results_agree() {
    let (text, results) = page_and_results();
    assert!(
        !results.quick,
        "the committed results must come from a full run"
    );
    let filled = page::fill(&text, &results).unwrap();
    for (line, (actual, expected)) in text.lines().zip(filled.lines()).enumerate() {
        assert_eq!(
            actual,
            expected,
            "line {} of the page differs; `balancer-testbed capacity --page` writes its tables",
            line + 1
        );
    }
    assert_eq!(text, filled);
    let (differing, matching) = differences(&text, &results);
    assert!(differing.is_empty(), "{differing:#?}");
    assert!(matching > 0, "the text cites no measurement");
}

#[test]
fn every_measurement_and_every_one_over_budget_is_on_the_page() {
    let (text, results) = page_and_results();
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
fn a_page_that_differs_from_the_results_is_detected() {
    let (text, results) = page_and_results();
    let mut other = results.clone();
    for measurement in &mut other.measurements {
        measurement.at_target = measurement.at_target.map(|value| value * 2.0 + 1.0);
    }
    assert_ne!(
        page::fill(&text, &other).unwrap(),
        text,
        "a difference in a table is detected"
    );
    assert!(
        !differences(&text, &other).0.is_empty(),
        "a difference in the text is detected"
    );
}
