//! Outlier ejection: servers, classes at servers, and zones that get no requests because they fail.

use super::*;

// Guards against sending a key's next requests to a server that is down.
#[test]
fn an_unreachable_server_is_ejected() {
    let mut node = Node::with_servers(4);
    let unreachable = node.route(1, IDEMPOTENT, 5);
    assert!(sent_to(&node.end_attempt(1, 0, unreachable, Outcome::ConnectFailed)).is_some());
    assert_ne!(node.route(2, IDEMPOTENT, 5), unreachable);
}

// Guards against sending requests to a hanging server until its attempts time out, and against more than one
// trial of it at a time.
#[test]
fn a_silent_server_is_ejected_until_a_trial_succeeds() {
    let mut node = Node::with_servers(4);
    let silent = node.route(1, NON_IDEMPOTENT, 5);
    node.advance(900_000);
    let other = node.route(2, NON_IDEMPOTENT, 5);
    assert_ne!(other, silent);
    node.end_attempt(2, 0, other, Outcome::Ok);
    node.advance(3 * SECOND);
    let trial = node.route(3, IDEMPOTENT, 5);
    node.end_attempt(1, 0, silent, Outcome::Timeout);
    assert_eq!(trial, silent, "an idempotent request is the trial");
    assert_eq!(node.route(4, IDEMPOTENT, 5), other, "one trial at a time");
    node.end_attempt(4, 0, other, Outcome::Ok);
    node.end_attempt(3, 0, silent, Outcome::Ok);
    node.advance(8 * SECOND);
    assert_eq!(node.route(5, NON_IDEMPOTENT, 5), silent);
}

/// For each key, sends one request of a class that the `failing` servers answer with errors and three of a
/// class that they serve. Returns how many requests of each class the server `observed` got.
fn fail_one_class(
    node: &mut Node,
    base: u64,
    keys: &[u64],
    observed: ServerId,
    failing: &[u32],
) -> [u32; 2] {
    let mut counts = [0; 2];
    for (i, &key) in keys.iter().enumerate() {
        for (position, class) in [NON_IDEMPOTENT, GLOBAL_KEY, GLOBAL_KEY, GLOBAL_KEY]
            .into_iter()
            .enumerate()
        {
            let n = base + 4 * i as u64 + position as u64;
            node.now += 1_000;
            let server = node.route(n, class, key);
            counts[usize::from(class == GLOBAL_KEY)] += u32::from(server == observed);
            let fails = class == NON_IDEMPOTENT && failing.contains(&server.0);
            node.end_attempt(
                n,
                0,
                server,
                if fails { Outcome::Error } else { Outcome::Ok },
            );
        }
    }
    counts
}

// Guards against sending a class to a server that fails only this class: neither the server's failure rate
// over all classes nor a health check shows that.
#[test]
fn a_class_that_one_server_fails_is_sent_to_others_until_a_trial_succeeds() {
    let mut node = Node::with_servers(4);
    let failing_server = ServerId(2);
    let mut keys = Vec::new();
    for key in 0..800 {
        let server = node.route(key, GLOBAL_KEY, key);
        node.end_attempt(key, 0, server, Outcome::Ok);
        keys.extend((server == failing_server).then_some(key));
    }
    let requests = keys.len() as u32;
    assert!(requests > 100, "{requests}");
    let [failed, others] =
        fail_one_class(&mut node, 1_000, &keys, failing_server, &[failing_server.0]);
    assert!(failed < 20, "{failed} of {requests} were sent to it");
    assert!(
        others > 2 * requests,
        "the other class stays: {others} of {}",
        3 * requests
    );
    // Once the server serves the class again, a trial succeeds.
    node.advance(10 * SECOND);
    let [recovered, _] = fail_one_class(&mut node, 5_000, &keys, failing_server, &[]);
    assert!(
        recovered > requests / 2,
        "{recovered} of {requests} after it has recovered"
    );
}

// Guards against rejecting a class that every server fails.
#[test]
fn a_class_that_all_servers_fail_is_still_sent() {
    let mut node = Node::with_servers(4);
    let keys: Vec<u64> = (0..400).collect();
    let [sent, _] = fail_one_class(&mut node, 0, &keys, ServerId(2), &[0, 1, 2, 3]);
    assert!(sent > 20, "{sent} of 400");
}

// Guards against ejecting overloaded servers. A server with attempts in flight that accepts no further
// connection is at its capacity; to eject it would overload the next servers.
#[test]
fn a_server_with_attempts_in_flight_is_not_ejected_for_a_failed_connection() {
    let mut node = Node::with_servers(4);
    let server = node.route(1, IDEMPOTENT, 5);
    assert_eq!(node.route(2, IDEMPOTENT, 5), server);
    let other = sent_to(&node.end_attempt(2, 0, server, Outcome::ConnectFailed)).expect("retried");
    node.end_attempt(2, 1, other, Outcome::Ok);
    node.advance(SECOND / 2);
    let mut sent_afterwards = 0;
    for n in 10..200 {
        let target = node.route(n, IDEMPOTENT, n);
        sent_afterwards += u32::from(target == server);
        node.end_attempt(n, 0, target, Outcome::Ok);
    }
    assert!(sent_afterwards > 0, "it keeps part of its slots");
}

// Guards against sending an attempt to each dead server of a lost zone before that server is ejected, and
// against a zone that stays lost after its unreachable servers were restarted.
#[test]
fn a_zone_with_several_unreachable_servers_gets_no_requests_until_one_responds_or_they_restart() {
    let in_lost_zone = |node: &mut Node, base: u64| {
        let requests = (base..base + 300).filter(|&n| {
            let server = node.route(n, NON_IDEMPOTENT, n);
            node.end_attempt_after(n, 0, server, Outcome::Cancelled, 1_000);
            server.0 % 2 == 1
        });
        requests.count()
    };
    let node_with_lost_zone = || {
        let mut node = Node::new(
            Settings {
                may_health_check: true,
                ..settings()
            },
            (0..40).map(endpoint).collect(),
        );
        let mut silent = Vec::new();
        for n in 0.. {
            let server = node.route(n, NON_IDEMPOTENT, n);
            if server.0.is_multiple_of(2) {
                node.end_attempt(n, 0, server, Outcome::Ok);
            } else if silent.len() < 3 {
                silent.push(server);
                let other = sent_to(&node.end_attempt(n, 0, server, Outcome::ConnectFailed))
                    .expect("retried");
                node.end_attempt_after(n, 1, other, Outcome::Cancelled, 1_000);
            } else {
                node.end_attempt_after(n, 0, server, Outcome::Cancelled, 1_000);
                break;
            }
            if silent.len() == 3 {
                break;
            }
        }
        (node, silent)
    };
    let (mut node, silent) = node_with_lost_zone();
    assert_eq!(in_lost_zone(&mut node, 1_000), 0);
    node.event(Event::HealthCheckEnded {
        server: silent[0],
        outcome: Outcome::Ok,
        elapsed: 1_000,
        load_report: vec![],
    });
    assert!(in_lost_zone(&mut node, 2_000) > 50);
    let (mut node, silent) = node_with_lost_zone();
    let back = silent.iter().map(|server| Endpoint {
        started_at: node.now - 60 * SECOND,
        ..endpoint(server.0)
    });
    node.update_endpoints(UpdateKind::Delta, back.collect());
    assert!(in_lost_zone(&mut node, 2_000) > 50);
}
