//! The example configuration that an earlier build shipped. Files in use follow it.

use std::process::Command;

use control_plane::config::Config;

use super::agents::PROGRAM;

const EXAMPLE: &str = include_str!("fixtures/example.toml");

/// The example with every key that is commented out put into effect.
fn uncommented() -> String {
    let uncomment = |line: &'static str| {
        let key = line.strip_prefix("# ");
        key.filter(|key| key.contains(" = ")).unwrap_or(line)
    };
    EXAMPLE
        .lines()
        .map(uncomment)
        .collect::<Vec<_>>()
        .join("\n")
}

/// Runs `balancer-agent check` on a file with this text. Returns its exit code and standard output.
fn check(text: &str) -> (Option<i32>, String) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("agent.toml");
    std::fs::write(&path, text).unwrap();
    let output = Command::new(PROGRAM)
        .args(["check", "--config"])
        .arg(path)
        .output()
        .unwrap();
    (
        output.status.code(),
        String::from_utf8(output.stdout).unwrap(),
    )
}

/// Guards against rejecting a configuration file that is in use.
#[test]
fn the_example_of_an_earlier_build_is_accepted() {
    let summary =
        "sound: n1 of fleet bilbao-main, 2 seeds, runs target/release/woodgap for clients at \
        127.0.0.1:5000\n";
    assert_eq!(check(EXAMPLE), (Some(0), summary.to_owned()));
    assert_eq!(check(&uncommented()), (Some(0), summary.to_owned()));
}

/// Guards against a changed default: the keys that are commented out in the example show the defaults.
#[test]
fn the_defaults_of_an_earlier_build_are_unchanged() {
    assert_eq!(Config::parse(&uncommented()), Config::parse(EXAMPLE));
    assert!(Config::parse(EXAMPLE).is_ok());
}

/// Guards against a key that is accepted and has no effect.
#[test]
fn every_key_of_an_earlier_build_has_an_effect() {
    let defaults = Config::parse(EXAMPLE).unwrap();
    let mut checked = 0;
    for (key, other) in [
        (r#"advertise = "#, r#"advertise = "127.0.0.1:7009""#),
        (r#"probe-interval = "#, r#"probe-interval = "3s""#),
        (r#"probe-timeout = "#, r#"probe-timeout = "300ms""#),
        (r#"indirect-probes = "#, r#"indirect-probes = 2"#),
        (r#"suspicion-mult = "#, r#"suspicion-mult = 3.5"#),
        (r#"suspicion-max-mult = "#, r#"suspicion-max-mult = 6.5"#),
        (r#"gossip-interval = "#, r#"gossip-interval = "300ms""#),
        (r#"sync-interval = "#, r#"sync-interval = "40s""#),
        (r#"rejoin-interval = "#, r#"rejoin-interval = "4s""#),
        (r#"seed-interval = "#, r#"seed-interval = "6s""#),
        (r#"settle = "#, r#"settle = "3s""#),
        (r#"hold = "#, r#"hold = "23h""#),
        (r#"rate = "#, r#"rate = 4600"#),
        (r#"burst = "#, r#"burst = 1401"#),
        (r#"most-members = "#, r#"most-members = 2999"#),
        (r#"format = 2"#, r#"format = 1"#),
        (r#"voters = "#, r#"voters = ["n1", "n2", "n3"]"#),
        (r#"lease = "#, r#"lease = "2s""#),
        (r#"drift = "#, r#"drift = 0.06"#),
        (r#"tick = "#, r#"tick = "110ms""#),
        (r#"election-ticks = "#, r#"election-ticks = 11"#),
        (r#"refused = "#, r#"refused = 0.06"#),
        (r#"refused-for = "#, r#"refused-for = "11s""#),
        (r#"lists-differ-for = "#, r#"lists-differ-for = "16s""#),
        (r#"starts-per-minute = 3 "#, r#"starts-per-minute = 4"#),
        (r#"backoff = "#, r#"backoff = "210ms""#),
        (r#"backoff-most = "#, r#"backoff-most = "11s""#),
        (r#"starts-per-minute = 12"#, r#"starts-per-minute = 13"#),
        (r#"ready-within = "#, r#"ready-within = "11s""#),
        (r#"drain-within = "#, r#"drain-within = "31s""#),
        (r#"status-interval = "#, r#"status-interval = "260ms""#),
        (r#"silent-limit = "#, r#"silent-limit = "11s""#),
        (r#"format = "text""#, r#"format = "json""#),
        (r#"level = "#, r#"level = "debug""#),
    ] {
        let commented = format!("# {key}");
        let line = EXAMPLE.lines().find(|line| line.starts_with(&commented));
        let line = line.unwrap_or_else(|| panic!("no {key}"));
        let changed = Config::parse(&EXAMPLE.replacen(line, other, 1));
        let changed = changed.unwrap_or_else(|problems| panic!("{other}: {problems:?}"));
        assert_ne!(changed, defaults, "{other}");
        checked += 1;
    }
    let commented = |line: &&str| line.starts_with("# ") && line.contains(" = ");
    assert_eq!(checked, EXAMPLE.lines().filter(commented).count());
}
