use super::*;

/// Guards against an action of a deposed holder that takes effect after an action of its successor.
#[test]
fn an_older_token_is_rejected_and_counted() {
    let mut tokens = FencingTokens::default();
    assert_eq!(tokens.check(Role::MetricsAggregation, 5), Ok(true));
    assert_eq!(
        tokens.check(Role::MetricsAggregation, 5),
        Ok(false),
        "the same token is accepted again"
    );
    assert_eq!(
        tokens.check(Role::Alerting, 3),
        Ok(true),
        "each role has its own token"
    );
    assert_eq!(
        tokens.check(Role::MetricsAggregation, 4),
        Err(StaleToken { token: 4, seen: 5 })
    );
    assert_eq!(
        (tokens.rejected, tokens.check(Role::MetricsAggregation, 9)),
        (1, Ok(true))
    );
}
