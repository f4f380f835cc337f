//! Settings that come while the module works: what is held and learnt stays, what is asked next goes by the new ones.

mod common;

use common::*;
use load_balancer::*;

fn with(change: impl FnOnce(&mut Settings)) -> Event {
    let mut settings = settings();
    change(&mut settings);
    Event::Settings(Box::new(settings))
}

#[test]
fn a_request_that_is_out_is_answered_and_a_new_class_is_taken() {
    let mut node = Node::fleet(6);
    let server = node.place(1, 1, 5);
    assert!(refused(&node.ask(2, 4, 5)), "there is no such class yet");
    assert!(node
        .event(with(|s| s.classes.push(class(Idempotency::Idempotent))))
        .is_empty());
    assert_eq!(node.place(3, 4, 5), server, "the same key, the same owner");
    assert!(node.close(1, 0, server, Outcome::Ok).is_empty());
    assert!(node.close(3, 0, server, Outcome::Ok).is_empty());
    // An unsafe one that may have run is still never sent again.
    let server = node.place(4, 1, 6);
    node.event(with(|s| s.classes.push(class(Idempotency::Idempotent))));
    let actions = node.close(4, 0, server, Outcome::Reset);
    assert!(sent(&actions).is_none() && failed(&actions), "{actions:?}");
}

#[test]
fn what_a_class_may_do_follows_at_once() {
    let mut node = Node::fleet(6);
    let server = node.place(1, 0, 5);
    // What may have run is no longer safe to repeat.
    node.event(with(|s| {
        s.classes[0].idempotency = Idempotency::NonIdempotent
    }));
    let actions = node.close(1, 0, server, Outcome::Reset);
    assert!(sent(&actions).is_none() && failed(&actions), "{actions:?}");
    node.event(with(|s| s.max_attempts = 1));
    let server = node.place(2, 3, 5);
    assert!(sent(&node.close(2, 0, server, Outcome::ConnectFailed)).is_none());
}

#[test]
fn a_server_that_is_ejected_stays_so_and_new_classes_keep_off_it() {
    let mut node = Node::fleet(6);
    let server = node.place(1, 0, 5);
    node.close(1, 0, server, Outcome::ConnectFailed);
    let before = node.balancer.avoided_servers();
    assert_eq!(before, 1);
    node.event(with(|s| s.classes.push(class(Idempotency::Idempotent))));
    assert_eq!(node.balancer.avoided_servers(), before);
    assert_ne!(node.place(2, 4, 5), server);
}

#[test]
fn shorter_lists_are_ignored() {
    let mut node = Node::fleet(6);
    node.event(with(|s| s.classes.truncate(1)));
    let server = node.place(1, 3, 5);
    assert!(node.close(1, 0, server, Outcome::Ok).is_empty());
}
