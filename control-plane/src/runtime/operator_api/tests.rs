use super::*;

/// Guards against carrying out a command that is ambiguous, too long or names no server.
#[test]
fn commands_are_parsed_completely_or_rejected_with_the_reason() {
    let uncordon = parse_command("/back", "server=api%201").unwrap();
    let server = "api 1".to_owned();
    assert_eq!(uncordon, OperatorCommand::Uncordon { server });
    let release = parse_command("/yield", "duty=census").unwrap();
    assert_eq!(
        release,
        OperatorCommand::ReleaseRole(Role::MetricsAggregation)
    );
    let cordon = "server=a&who=me&why=disk&until_ms=17";
    let Ok(OperatorCommand::Cordon { server, cordon }) = parse_command("/out", cordon) else {
        panic!("a valid command");
    };
    assert_eq!((server.as_str(), cordon.until_ms), ("a", Some(17)));
    let long = format!("server={}", "x".repeat(MAX_SERVER_BYTES + 1));
    for (path, query, reason) in [
        ("/out", "server=a&server=b", "server is said twice"),
        ("/out", long.as_str(), "server is longer than 128 bytes"),
        ("/back", "", "server names none"),
        (
            "/out",
            "server=a&until_ms=soon",
            "until_ms: 'soon' is no time in milliseconds",
        ),
        (
            "/yield",
            "duty=none",
            "'none' is no duty: maintenance, census or watch",
        ),
    ] {
        let error = parse_command(path, query).unwrap_err();
        assert_eq!(error.to_string(), reason, "{path}?{query}");
    }
}
