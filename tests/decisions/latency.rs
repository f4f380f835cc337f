//! Routing by answer time: servers and kinds of machines that are slower than others.

use super::*;

// Guards against sending slow machines as much as fast ones until each of them has answered often. In a large
// fleet a node gets an answer of any one server only every few seconds, but many of its kind of machine.
#[test]
fn a_slow_kind_of_machine_serves_fewer_slots_before_each_server_has_answered() {
    let kind = |n: u32| KindId(n % 2);
    let endpoints = (0..40)
        .map(|n| Endpoint {
            kind: kind(n),
            ..endpoint(n)
        })
        .collect();
    let mut node = Node::new(settings(), endpoints);
    for n in 0..60 {
        let server = node.route(n, NON_IDEMPOTENT, n);
        let elapsed = if kind(server.0) == KindId(1) {
            150_000
        } else {
            50_000
        };
        node.end_attempt_after(n, 0, server, Outcome::Ok, elapsed);
        node.advance(50_000);
    }
    let slow = (1_000..2_000).filter(|&n| {
        let server = node.route(n, NON_IDEMPOTENT, n);
        node.end_attempt_after(n, 0, server, Outcome::Cancelled, 1_000);
        kind(server.0) == KindId(1)
    });
    let slow = slow.count();
    assert!((100..350).contains(&slow), "{slow} of a thousand");
}

// Guards against treating a server as slow because it got expensive requests.
#[test]
fn a_server_whose_answers_take_as_long_as_their_stated_cost_keeps_its_slots() {
    let mut node = Node::with_servers(10);
    let mut owner = |key: u64| {
        let server = node.route(key, NON_IDEMPOTENT, key);
        node.end_attempt_after(key, 0, server, Outcome::Cancelled, 1_000);
        server
    };
    let costly_owner = owner(0);
    let (keys, other_keys): (Vec<u64>, Vec<u64>) =
        (1..1_000).partition(|&key| owner(key) == costly_owner);
    let mut sent_to_owner = 0;
    for (i, &key) in keys.iter().take(60).enumerate() {
        let requests = [
            (key, 100_000),
            (other_keys[2 * i], 10_000),
            (other_keys[2 * i + 1], 10_000),
        ];
        for (position, (key, cost)) in requests.into_iter().enumerate() {
            let n = 10_000 + 3 * i as u64 + position as u64;
            let request = Request {
                cost: Some(cost),
                ..request(n, NON_IDEMPOTENT, key)
            };
            let server = sent_to(&node.event(Event::Request(request))).expect("sent");
            sent_to_owner += u32::from(position == 0 && server == costly_owner);
            node.end_attempt_after(n, 0, server, Outcome::Ok, 20_000 + cost);
        }
        node.advance(100_000);
    }
    assert!(sent_to_owner >= 55, "{sent_to_owner} of 60");
}

// Guards against a server that stays overloaded by the requests of its remaining share: it recovers only if
// it gets none.
#[test]
fn a_server_several_times_slower_than_its_kind_gets_no_requests() {
    let mut node = Node::with_servers(10);
    let overloaded = node.route(0, NON_IDEMPOTENT, 5);
    node.end_attempt(0, 0, overloaded, Outcome::Ok);
    answer_requests(&mut node, 1, 30, Outcome::Ok, 20_000);
    for n in 1_000..2_000 {
        let server = node.route(n, NON_IDEMPOTENT, n);
        node.end_attempt_after(
            n,
            0,
            server,
            Outcome::Ok,
            if server == overloaded {
                300_000
            } else {
                20_000
            },
        );
    }
    node.advance(SECOND);
    let requests = (10_000..10_500).filter(|&n| {
        let server = node.route(n, NON_IDEMPOTENT, n);
        node.end_attempt_after(n, 0, server, Outcome::Cancelled, 1_000);
        server == overloaded
    });
    assert_eq!(requests.count(), 0);
}
