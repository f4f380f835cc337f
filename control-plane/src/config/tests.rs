//! Tests of the example file, of the reported problems, and of the former names of keys.

use super::*;

/// Guards against an example file that shows other defaults than the program uses.
#[test]
fn the_example_is_valid_and_shows_the_real_defaults() {
    let config = Config::parse(EXAMPLE).unwrap();
    assert_eq!((config.name.as_str(), config.seeds.len()), ("n1", 2));
    let shown: String = EXAMPLE
        .lines()
        .map(|line| {
            line.strip_prefix("# ")
                .filter(|l| l.contains(" = "))
                .unwrap_or(line)
        })
        .fold(String::new(), |mut all, line| {
            all.push_str(line);
            all.push('\n');
            all
        });
    assert_eq!(
        Config::parse(&shown).unwrap(),
        config,
        "the commented keys show the defaults"
    );
}

/// Guards against reporting only the first problem of a file, and against ignoring a misspelt key.
#[test]
fn every_problem_is_reported_at_once_with_its_line_and_key() {
    let text = EXAMPLE
        .replace("name = \"n1\"", "name = \"n 1\"")
        .replace("zone = ", "zonne = ")
        .replace("# probe-timeout = \"400ms\"", "probe-timeout = \"900ms\"")
        .replace("# backoff = \"200ms\"", "backoff = 5")
        .replace("operators = \"127.0.0.1:5001\"", "");
    let problems = Config::parse(&text).unwrap_err();
    let reported: Vec<String> = problems.iter().map(Problem::to_string).collect();
    let expected = [
        "line 4: name: 'n 1' is not a valid name",
        "line 6: zonne: no such key, did you mean 'zone'?",
        "line 14: membership.probe-timeout: must be below half",
        "line 47: node.operators: is missing",
        "line 52: node.backoff: must be a string, not integer",
    ];
    for start in expected {
        assert!(
            reported.iter().any(|problem| problem.starts_with(start)),
            "{start}: {reported:#?}"
        );
    }
    assert_eq!(reported.len(), expected.len(), "{reported:#?}");
    assert!(Config::parse("fleet = ").unwrap_err()[0]
        .to_string()
        .starts_with("line 1: the file:"));
}

/// Guards against rejecting a former name of a key, and against reporting a problem under a name that is not in the
/// file.
#[test]
fn former_names_of_keys_are_accepted_and_problems_name_the_key_in_use() {
    let current = EXAMPLE.replace("# max-members = 3000", "max-members = 2");
    let former = current
        .replace("max-members", "most-members")
        .replace("[coordinator]", "[duties]")
        .replace("[alarms]", "[watch]");
    assert_eq!(Config::parse(&former), Config::parse(&current));
    let invalid = former.replace("most-members = 2", "most-members = 1");
    let problems = Config::parse(&invalid).unwrap_err();
    assert_eq!(problems.len(), 1, "{problems:?}");
    assert_eq!(problems[0].key, "membership.most-members");
    let both = current.replace("max-members = 2", "max-members = 2\nmost-members = 2");
    let problems = Config::parse(&both).unwrap_err();
    assert!(
        problems[0].reason.starts_with("no such key"),
        "{problems:?}"
    );
}
