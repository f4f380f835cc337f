//! Routing: which server gets a request, by the slot table, for hot keys, and when servers leave.

use super::*;

// Guards against nodes that send a key to different servers because their seeds or the order of their lists
// differ: the key would be cached at several servers.
#[test]
fn a_key_goes_to_one_server_at_every_node() {
    let (mut a, mut b) = (
        Node::with_servers(12),
        Node::new(settings(), (0..12).rev().map(endpoint).collect()),
    );
    b.balancer = Balancer::new(settings(), 77);
    b.update_endpoints(UpdateKind::Cached, (0..12).rev().map(endpoint).collect());
    for key in 0..200 {
        let server = a.route(key, IDEMPOTENT, key);
        a.end_attempt(key, 0, server, Outcome::Ok);
        assert_eq!(b.route(key, IDEMPOTENT, key), server);
        b.end_attempt(key, 0, server, Outcome::Ok);
    }
}

// Guards against requests that wait while there is no server, and against a node that keeps rejecting
// requests once there is one.
#[test]
fn without_servers_requests_are_rejected_at_once() {
    let mut node = Node::new(settings(), vec![]);
    for class in 0..4 {
        assert!(rejected(&node.send_request(class as u64, class, 1)));
    }
    node.update_endpoints(UpdateKind::Full, vec![endpoint(3)]);
    assert_eq!(node.route(9, IDEMPOTENT, 1), ServerId(3));
}

// Guards against sending new requests to a server whose process is about to end.
#[test]
fn draining_and_removed_servers_get_no_new_requests() {
    let mut node = Node::with_servers(4);
    let mut draining = endpoint(1);
    draining.state = ServerState::Draining;
    node.update_endpoints(UpdateKind::Delta, vec![draining]);
    for key in 0..300 {
        let server = node.route(key, IDEMPOTENT, key);
        assert_ne!(server, ServerId(1));
        node.end_attempt(key, 0, server, Outcome::Ok);
    }
    node.update_endpoints(UpdateKind::Full, vec![endpoint(2)]);
    for key in 300..400 {
        let server = node.route(key, IDEMPOTENT, key);
        assert_eq!(server, ServerId(2));
        node.end_attempt(key, 0, server, Outcome::Ok);
    }
}

// Guards against overloading the owner of a key's slot when a third of all requests have that key.
#[test]
fn a_hot_key_is_spread_over_several_owners() {
    let mut node = Node::with_servers(20);
    let mut servers_of_hot_key = std::collections::BTreeSet::new();
    for n in 0..600 {
        let key = if n % 3 == 0 { 7 } else { n };
        let server = node.route(n, IDEMPOTENT, key);
        if key == 7 && n > 300 {
            servers_of_hot_key.insert(server);
        }
        node.end_attempt(n, 0, server, Outcome::Ok);
    }
    assert!(servers_of_hot_key.len() >= 4, "{servers_of_hot_key:?}");
}
