use super::*;

use serde_json::json;

/// Guards against a renamed JSON name, which operators' scripts read.
#[test]
fn alarms_are_serialized_under_the_operators_names() {
    let member: Name = "m0".parse().unwrap();
    let serialized = |alarm: Alarm| serde_json::to_value(alarm).unwrap();
    assert_eq!(serialized(Alarm::Overload), json!("jam"));
    assert_eq!(serialized(Alarm::DiscoveryMismatch), json!("discovery"));
    assert_eq!(
        serialized(Alarm::RestartLoop(member)),
        json!({"flaps": "m0"})
    );
    let raised = RaisedAlarm {
        message: "too many".into(),
        since_ms: 7,
    };
    assert_eq!(
        serde_json::to_value(raised).unwrap(),
        json!({"words": "too many", "since_ms": 7})
    );
}
