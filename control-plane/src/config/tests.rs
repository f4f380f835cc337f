//! The example file, and how faults of a file are told.

use super::*;

#[test]
fn the_example_is_sound_and_its_defaults_are_the_real_ones() {
    let config = Config::read(EXAMPLE).unwrap();
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
        Config::read(&shown).unwrap(),
        config,
        "what is commented out is what holds"
    );
}

#[test]
fn every_fault_is_named_at_once_with_its_line_and_key() {
    let text = EXAMPLE
        .replace("name = \"n1\"", "name = \"n 1\"")
        .replace("zone = ", "zonne = ")
        .replace("# probe-timeout = \"400ms\"", "probe-timeout = \"900ms\"")
        .replace("# backoff = \"200ms\"", "backoff = 5")
        .replace("operators = \"127.0.0.1:5001\"", "");
    let faults = Config::read(&text).unwrap_err();
    let told: Vec<String> = faults.iter().map(Fault::to_string).collect();
    let wanted = [
        "line 4: name: 'n 1' is no name",
        "line 6: zonne: no such key, did you mean 'zone'?",
        "line 14: membership.probe-timeout: must be below half",
        "line 47: node.operators: is missing",
        "line 52: node.backoff: must be a text, is a integer",
    ];
    for want in wanted {
        assert!(
            told.iter().any(|fault| fault.starts_with(want)),
            "{want}: {told:#?}"
        );
    }
    assert_eq!(told.len(), wanted.len(), "{told:#?}");
    assert!(Config::read("fleet = ").unwrap_err()[0]
        .to_string()
        .starts_with("line 1: the file:"));
}
