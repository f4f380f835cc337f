//! Reloads of the settings while requests are in flight: these requests and the state of servers are kept, and new
//! requests follow the new settings.

mod common;

use common::*;
use load_balancer::*;

/// The event that puts changed settings in force.
fn with(change: impl FnOnce(&mut Settings)) -> Event {
    let mut settings = settings();
    change(&mut settings);
    Event::Settings(Box::new(settings))
}

#[test]
fn a_request_in_flight_is_answered_and_a_new_class_is_accepted() {
    let mut node = Node::with_servers(6);
    let server = node.route(1, 1, 5);
    assert!(
        rejected(&node.send_request(2, 4, 5)),
        "the class does not exist yet"
    );
    assert!(node
        .event(with(|s| s.classes.push(class(Idempotency::Idempotent))))
        .is_empty());
    assert_eq!(
        node.route(3, 4, 5),
        server,
        "the reload does not change the owner of a key"
    );
    assert!(node.end_attempt(1, 0, server, Outcome::Ok).is_empty());
    assert!(node.end_attempt(3, 0, server, Outcome::Ok).is_empty());
    // A non-idempotent request that may have run is still not retried after another reload.
    let server = node.route(4, 1, 6);
    node.event(with(|s| s.classes.push(class(Idempotency::Idempotent))));
    let actions = node.end_attempt(4, 0, server, Outcome::Reset);
    assert!(
        sent_to(&actions).is_none() && failed(&actions),
        "{actions:?}"
    );
}

#[test]
fn the_idempotency_of_a_class_changes_at_once() {
    let mut node = Node::with_servers(6);
    let server = node.route(1, 0, 5);
    // The class is no longer idempotent: its request in flight is not retried once it may have run.
    node.event(with(|s| {
        s.classes[0].idempotency = Idempotency::NonIdempotent
    }));
    let actions = node.end_attempt(1, 0, server, Outcome::Reset);
    assert!(
        sent_to(&actions).is_none() && failed(&actions),
        "{actions:?}"
    );
    node.event(with(|s| s.max_attempts = 1));
    let server = node.route(2, 3, 5);
    assert!(sent_to(&node.end_attempt(2, 0, server, Outcome::ConnectFailed)).is_none());
}

#[test]
fn an_ejected_server_stays_ejected_for_new_classes_too() {
    let mut node = Node::with_servers(6);
    let server = node.route(1, 0, 5);
    node.end_attempt(1, 0, server, Outcome::ConnectFailed);
    let before = node.balancer.avoided_servers();
    assert_eq!(before, 1);
    node.event(with(|s| s.classes.push(class(Idempotency::Idempotent))));
    assert_eq!(node.balancer.avoided_servers(), before);
    assert_ne!(node.route(2, 4, 5), server);
}

#[test]
fn settings_with_fewer_classes_are_ignored() {
    let mut node = Node::with_servers(6);
    node.event(with(|s| s.classes.truncate(1)));
    let server = node.route(1, 3, 5);
    assert!(node.end_attempt(1, 0, server, Outcome::Ok).is_empty());
}
