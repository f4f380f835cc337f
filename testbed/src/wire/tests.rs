//! Settings and actions survive encoding and parsing.

use super::*;
use crate::scenario::Scenario;
use load_balancer::settings::{parse, Pairs};

#[test]
fn settings_survive_encoding_and_parsing() {
    let scenario = Scenario::find("big-bodies").unwrap();
    let settings = Settings {
        node_index: Some(3),
        ..crate::deployment::settings(&scenario, 7)
    };
    let names = scenario.class_names();
    let line = settings_line(&settings, &names);
    let parsed = parse(&Pairs::from_line(&line).unwrap()).unwrap();
    assert_eq!(format!("{:?}", parsed.settings), format!("{settings:?}"));
    assert_eq!(parsed.names.classes(), names);
}

#[test]
fn actions_survive_encoding_and_parsing_and_invalid_lines_are_named() {
    let id = RequestId([b'7'; 36]);
    for written in [
        Action::Send {
            id,
            server: ServerId(9),
            timeout: 3,
            write_within: None,
        },
        Action::Cancel { id, attempt: 2 },
        Action::Reject { id, retry_after: 5 },
        Action::Fail { id },
        Action::HealthCheck(ServerId(1)),
        Action::CloseIdleConnections(ServerId(2)),
        Action::SetTimer {
            delay: 4,
            timer: TimerId(6),
        },
        Action::Log("two words".into()),
    ] {
        assert_eq!(action(&action_line(&written)).unwrap(), written);
    }
    for line in ["DELIVER short 1 2", "GIVE_UP", "NONSENSE", "SET_ALARM x 1"] {
        assert!(action(line).unwrap_err().to_string().contains(line));
    }
}
