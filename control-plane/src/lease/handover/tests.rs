use super::*;

use serde_json::json;

/// Guards against a renamed JSON name, which operators' scripts read.
#[test]
fn handovers_are_serialized_under_the_operators_names() {
    let handover = Handover {
        role: Role::Maintenance,
        from: None,
        to: Some("m0".parse().unwrap()),
        token: 3,
        reason: HandoverReason::FirstGrant,
        at_ms: 4,
    };
    let expected = json!({
        "duty": "maintenance", "from": null, "to": "m0", "token": 3, "why": "first", "at_ms": 4,
    });
    assert_eq!(serde_json::to_value(handover).unwrap(), expected);
}

/// Guards against a reason in the log file that differs from the one in JSON.
#[test]
fn reasons_have_one_name() {
    let names = [
        (HandoverReason::FirstGrant, "first"),
        (HandoverReason::LeaseExpired, "lapsed"),
        (HandoverReason::Released, "free"),
        (HandoverReason::Shutdown, "stops"),
        (HandoverReason::OperatorRequest, "asked"),
    ];
    for (reason, name) in names {
        assert_eq!(reason.name(), name);
        assert_eq!(serde_json::to_value(reason).unwrap(), name);
    }
}
