//! In-order keys: requests that share a key and must run one at a time.

use super::*;

fn in_order_settings() -> Settings {
    let mut settings = Settings {
        quarantine_time: 200_000,
        ..settings()
    };
    settings.classes[NON_IDEMPOTENT].in_order = true;
    settings
}

fn in_order_node() -> Node {
    Node::new(in_order_settings(), (0..4).map(endpoint).collect())
}

// Guards against two requests of an in-order key that run at the same time.
#[test]
fn requests_of_an_in_order_key_run_one_at_a_time() {
    let mut node = in_order_node();
    let first = node.route(1, NON_IDEMPOTENT, 5);
    assert!(
        node.send_request(2, NON_IDEMPOTENT, 5).is_empty(),
        "the second request waits"
    );
    assert!(
        sent_to(&node.send_request(3, NON_IDEMPOTENT, 6)).is_some(),
        "a request with another key is sent"
    );
    assert!(
        sent_to(&node.send_request(4, IDEMPOTENT, 5)).is_some(),
        "a request of a class that is not in order is sent"
    );
    assert!(
        sent_to(&node.end_attempt(1, 0, first, Outcome::Ok)).is_some(),
        "the second request is sent when the first has ended"
    );
}

// Guards against sending a key's next request while an attempt that was reset may still be running.
#[test]
fn a_key_is_quarantined_after_an_attempt_that_may_still_run() {
    let mut node = in_order_node();
    let first = node.route(1, NON_IDEMPOTENT, 5);
    node.send_request(2, NON_IDEMPOTENT, 5);
    let actions = node.end_attempt(1, 0, first, Outcome::Reset);
    assert!(failed(&actions) && sent_to(&actions).is_none());
    let timer = actions.iter().find_map(|a| match a {
        Action::SetTimer {
            delay: 200_000,
            timer,
        } => Some(*timer),
        _ => None,
    });
    node.now += 200_000;
    assert!(sent_to(&node.event(Event::Timer(
        timer.expect("a timer for the end of the quarantine")
    )))
    .is_some());
}

// Guards against sending a key's next request while an abandoned one still has an attempt in flight.
#[test]
fn an_abandoned_request_blocks_its_key_until_its_attempt_ends() {
    let mut node = in_order_node();
    let first = node.route(1, NON_IDEMPOTENT, 5);
    node.send_request(2, NON_IDEMPOTENT, 5);
    assert!(sent_to(&node.event(Event::RequestAbandoned(id(1)))).is_none());
    assert!(sent_to(&node.end_attempt(1, 0, first, Outcome::Ok)).is_some());
}

// Guards against unbounded queues of in-order keys, and against late answers to requests that wait behind an
// attempt that gets no answer.
#[test]
fn a_request_that_would_wait_too_long_is_rejected() {
    let mut node = in_order_node();
    node.route(1, NON_IDEMPOTENT, 5);
    let waiting = (2..40)
        .filter(|&n| !rejected(&node.send_request(n, NON_IDEMPOTENT, 5)))
        .count();
    assert!((1..10).contains(&waiting), "{waiting} waiting");
    let mut rejections = 0;
    while node.now < 101 * SECOND {
        node.now += 100_000;
        rejections += node
            .event(Event::Timer(TimerId(1)))
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count();
    }
    assert_eq!(rejections, waiting);
}
