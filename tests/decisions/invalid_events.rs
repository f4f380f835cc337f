//! Invalid events: those that refer to unknown requests, attempts, servers or classes.

use super::*;

// Guards against a panic, or an action, on an invalid event.
#[test]
fn invalid_events_are_ignored() {
    let mut node = Node::with_servers(2);
    assert!(node.end_attempt(1, 0, ServerId(0), Outcome::Ok).is_empty());
    assert!(node.event(Event::RequestAbandoned(id(5))).is_empty());
    let server = node.route(1, IDEMPOTENT, 5);
    assert!(node.end_attempt(1, 9, server, Outcome::Ok).is_empty());
    assert!(
        node.send_request(1, IDEMPOTENT, 5).is_empty(),
        "an id still in use"
    );
    node.end_attempt(1, 0, server, Outcome::Ok);
    assert!(node.end_attempt(1, 0, server, Outcome::Ok).is_empty());
    assert!(
        rejected(&node.send_request(2, 99, 5)),
        "a class outside the settings"
    );
    node.event(Event::HealthCheckEnded {
        server: ServerId(99),
        outcome: Outcome::Ok,
        elapsed: 1,
        load_report: vec![],
    });
}
