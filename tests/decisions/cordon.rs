//! Cordons: servers that operators take out of service and return to it.

use super::*;

fn set_cordoned(node: &mut Node, server: ServerId, cordoned: bool) {
    node.event(Event::Cordon { server, cordoned });
}

// Guards against an endpoint list that returns a cordoned server to service: operators may have restarted the
// server.
#[test]
fn a_cordoned_server_gets_nothing_until_it_is_uncordoned() {
    let mut node = Node::with_servers(4);
    let cordoned = ServerId(1);
    assert!((0..200).any(|n| node.route(n, 0, n) == cordoned));
    set_cordoned(&mut node, cordoned, true);
    assert_eq!(node.balancer.avoided_servers(), 1);
    let restarted = Endpoint {
        started_at: node.now,
        ..endpoint(1)
    };
    let lists = [
        (UpdateKind::Full, (0..4).map(endpoint).collect()),
        (UpdateKind::Delta, vec![restarted.clone()]),
        (
            UpdateKind::Full,
            vec![endpoint(0), endpoint(2), endpoint(3)],
        ),
        (UpdateKind::Delta, vec![restarted]),
    ];
    let mut next = 1_000;
    for (kind, endpoints) in lists {
        node.update_endpoints(kind, endpoints);
        for n in next..next + 100 {
            assert_ne!(node.route(n, 0, n), cordoned);
        }
        next += 100;
    }
    // To uncordon it a second time changes nothing.
    set_cordoned(&mut node, cordoned, false);
    set_cordoned(&mut node, cordoned, false);
    assert_eq!(node.balancer.avoided_servers(), 0);
}

// Guards against overloading an uncordoned server that was restarted while the list does not show that yet,
// and against leaving it without requests.
#[test]
fn an_uncordoned_server_gets_a_slow_start_whatever_the_list_says() {
    let mut node = Node::with_servers(4);
    let uncordoned = ServerId(1);
    set_cordoned(&mut node, uncordoned, true);
    node.update_endpoints(UpdateKind::Full, (0..4).map(endpoint).collect());
    set_cordoned(&mut node, uncordoned, false);
    node.update_endpoints(UpdateKind::Full, (0..4).map(endpoint).collect());
    let mut first = 0;
    let mut sent = Vec::new();
    for second in 0..15 {
        let before = first;
        for _ in 0..10 {
            for n in first..first + 4 {
                let server = node.route(n, 0, n);
                sent.push((second, server));
                node.end_attempt(n, 0, server, Outcome::Ok);
            }
            first += 4;
            node.advance(100_000);
        }
        assert!(first > before);
    }
    let sent_in_second = |wanted: i32| {
        sent.iter()
            .filter(|(second, server)| *second == wanted && *server == uncordoned)
            .count()
    };
    assert!(
        (0..5).any(|second| sent_in_second(second) > 0),
        "it got no request for 5 s"
    );
    // Once warm, it gets about a quarter of the 40 requests per second.
    assert!(
        sent_in_second(0) <= 4 && sent_in_second(14) >= 6,
        "{} and {}",
        sent_in_second(0),
        sent_in_second(14)
    );
}
