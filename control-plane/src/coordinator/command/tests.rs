use super::*;

use serde_json::json;

/// Guards against a renamed JSON name, which operators' scripts read.
#[test]
fn results_are_serialized_under_the_operators_names() {
    let cordon = Cordon {
        operator: "ana".into(),
        reason: "disk".into(),
        since_ms: 1,
        until_ms: None,
    };
    let serialized = |result: CommandResult| serde_json::to_value(result).unwrap();
    assert_eq!(
        serialized(CommandResult::Committed(Some(cordon))),
        json!({"done": {"who": "ana", "why": "disk", "since_ms": 1, "until_ms": null}})
    );
    assert_eq!(
        serialized(CommandResult::Committed(None)),
        json!({"done": null})
    );
    assert_eq!(
        serialized(CommandResult::Rejected("no".into())),
        json!({"refused": "no"})
    );
    assert_eq!(
        serialized(CommandResult::Unconfirmed("late".into())),
        json!({"tried": "late"})
    );
}

/// Guards against a changed text, which operators see and scripts may match.
#[test]
fn rejections_keep_their_texts() {
    let name: Name = "m0".parse().unwrap();
    let no_majority = Rejection::NoMajority {
        present: 1,
        total: 3,
        missing: "m1, m2".into(),
    };
    let texts = [
        (
            Rejection::NoVoters,
            "this fleet has no voters: nothing can be agreed on",
        ),
        (
            no_majority,
            "no majority: 1 of 3 voters present, missing m1, m2",
        ),
        (Rejection::TooManyCalls, "too many calls at a time"),
        (Rejection::Superseded, "overtaken by another"),
        (Rejection::TooManyCordoned, "too many servers are out"),
        (
            Rejection::VoterWasRemoved(name.clone()),
            "this store of m0 was removed: make a new one",
        ),
        (
            Rejection::NameVotesAlready(name.clone()),
            "m0 votes already, with another store: remove it first",
        ),
        (Rejection::LastVoter(name), "m0 is the last voter"),
    ];
    for (rejection, text) in texts {
        assert_eq!(rejection.to_string(), text);
    }
}
