//! Retries: which requests are retried or rejected, and the timeouts of their attempts.

use super::*;

// Guards against running a non-idempotent request twice: it is retried only after an attempt that is known
// never to have run.
#[test]
fn a_non_idempotent_request_is_retried_only_when_it_never_ran() {
    for (outcome, retried) in [
        (Outcome::ConnectFailed, true),
        (Outcome::Overloaded, true),
        (Outcome::Error, false),
        (Outcome::Reset, false),
        (Outcome::Timeout, false),
    ] {
        let mut node = Node::with_servers(8);
        let server = node.route(1, NON_IDEMPOTENT, 5);
        let actions = node.end_attempt(1, 0, server, outcome);
        assert_eq!(sent_to(&actions).is_some(), retried, "{outcome:?}");
        assert_eq!(failed(&actions), !retried, "{outcome:?}");
        assert!(!rejected(&actions), "{outcome:?}");
        assert_ne!(sent_to(&actions), Some(server));
    }
}

// Guards against running a request twice: other cells do not deduplicate a retry, nor does its own cell after
// the deduplication time.
#[test]
fn a_retry_with_a_cell_key_stays_in_its_cell_and_within_its_deduplication_time() {
    let mut node = Node::with_servers(16);
    let first = node.route(1, CELL_KEY, 5);
    node.now += 100_000;
    let second = sent_to(&node.end_attempt(1, 0, first, Outcome::Reset)).expect("retried");
    assert_eq!(first.0 / 4, second.0 / 4);
    assert_ne!(first, second);
    node.now += SECOND;
    let actions = node.end_attempt(1, 1, second, Outcome::Reset);
    assert!(failed(&actions) && !rejected(&actions), "{actions:?}");
}

// Guards against failing a request that its client may safely retry, as every server deduplicates it.
#[test]
fn a_request_with_a_global_key_may_be_rejected_after_it_may_have_run() {
    let mut node = Node::with_servers(1);
    let first = node.route(1, GLOBAL_KEY, 5);
    assert!(rejected(&node.end_attempt(1, 0, first, Outcome::Reset)));
}

// Guards against attempts at all servers of an unreachable fleet, one after the other. The retry budget does
// not prevent that, as a failed connection takes nothing from it.
#[test]
fn a_request_gets_no_more_attempts_than_allowed() {
    let mut node = Node::with_servers(20);
    let mut server = node.route(1, IDEMPOTENT, 5);
    for n in 0..2 {
        server = sent_to(&node.end_attempt(1, n, server, Outcome::ConnectFailed)).expect("retried");
    }
    let actions = node.end_attempt(1, 2, server, Outcome::ConnectFailed);
    assert!(rejected(&actions) && sent_to(&actions).is_none());
}

// Guards against running a request twice where servers may answer "overloaded" after they have begun with it.
#[test]
fn an_overloaded_attempt_may_have_run_where_the_settings_say_so() {
    let settings = Settings {
        overloaded_may_have_run: true,
        ..settings()
    };
    let mut node = Node::new(settings, (0..16).map(endpoint).collect());
    let server = node.route(1, NON_IDEMPOTENT, 5);
    let actions = node.end_attempt(1, 0, server, Outcome::Overloaded);
    assert!(failed(&actions) && !rejected(&actions) && sent_to(&actions).is_none());
    let server = node.route(2, CELL_KEY, 5);
    let next = sent_to(&node.end_attempt(2, 0, server, Outcome::Overloaded))
        .expect("its cell deduplicates");
    assert_eq!(next.0 / 4, server.0 / 4);
}

// Guards against spreading congestion within a cell. After an early timeout, the retry would go to one of the
// few other servers of the cell, which would do the work a second time while the slow server may go on with
// it.
#[test]
fn an_attempt_whose_retry_would_stay_in_its_cell_has_no_early_timeout() {
    let timeout = |class| {
        let actions = Node::with_servers(8).send_request(1, class, 5);
        actions.iter().find_map(|a| match a {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        })
    };
    assert_eq!(timeout(CELL_KEY), Some(SECOND));
    assert_eq!(timeout(NON_IDEMPOTENT), Some(SECOND));
    let mut node = Node::with_servers(8);
    answer_requests(&mut node, 0, 300, Outcome::Ok, 20_000);
    for n in 1000..1300 {
        let server = node.route(n, IDEMPOTENT, n);
        node.end_attempt(n, 0, server, Outcome::Ok);
    }
    let actions = node.send_request(2000, IDEMPOTENT, 5);
    assert!(
        matches!(actions[..], [Action::Send { timeout, .. }] if timeout < SECOND / 2),
        "{actions:?}"
    );
}
