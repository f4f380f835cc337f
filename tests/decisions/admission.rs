//! The concurrency limit: what lowers it, what does not, how it recovers, and the advice to rejected clients.

use std::ops::Range;

use super::*;

/// Sends the requests with these numbers and leaves them in flight; returns how many were admitted.
fn count_admitted(node: &mut Node, requests: Range<u64>) -> usize {
    requests
        .filter(|&n| sent_to(&node.send_request(n, NON_IDEMPOTENT, n)).is_some())
        .count()
}

// Guards against a fleet that answers everything late because it is sent more than it can do: the limit must
// fall, so that the excess is rejected at once.
#[test]
fn late_answers_lower_the_limit() {
    let mut node = Node::with_servers(10);
    answer_requests(&mut node, 0, 200, Outcome::Ok, 900_000);
    let admitted = count_admitted(&mut node, 1000..1100);
    assert!(admitted < 20, "{admitted} in flight");
    let mut fresh = Node::with_servers(10);
    answer_requests(&mut fresh, 0, 200, Outcome::Ok, 100_000);
    let admitted = count_admitted(&mut fresh, 1000..1100);
    assert_eq!(admitted, 100);
}

// Guards against rejections at the usual load: an attempt that times out before the latency objective, so
// that a retry can still be in time, is not late.
#[test]
fn timeouts_before_the_objective_do_not_lower_the_limit() {
    let admitted = |elapsed: Micros| {
        let mut node = Node::with_servers(10);
        for n in 0..200 {
            node.now += 5_000;
            let outcome = if n % 4 == 0 {
                Outcome::Timeout
            } else {
                Outcome::Ok
            };
            let Some(server) = sent_to(&node.send_request(n, NON_IDEMPOTENT, n)) else {
                continue;
            };
            node.end_attempt_after(
                n,
                0,
                server,
                outcome,
                if n % 4 == 0 { elapsed } else { 50_000 },
            );
        }
        count_admitted(&mut node, 1000..1100)
    };
    assert_eq!(admitted(200_000), 100);
    assert!(admitted(600_000) < 100);
}

// Guards against rejecting requests that the fleet could serve. Timeouts at a server that answers no request
// at all are no sign of overload; they are if the server answers others, or if many servers are ejected.
#[test]
fn a_hung_server_does_not_lower_the_limit() {
    let admitted = |answers_others: bool, lost: u32| {
        let mut node = Node::with_servers(10);
        let slow = node.route(0, NON_IDEMPOTENT, 5);
        node.end_attempt(0, 0, slow, Outcome::Ok);
        let mut ejected = vec![slow];
        for n in 10_000.. {
            if ejected.len() > lost as usize {
                break;
            }
            let server = node.route(n, NON_IDEMPOTENT, n);
            let fails = !ejected.contains(&server);
            let next = node.end_attempt(
                n,
                0,
                server,
                if fails {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Ok
                },
            );
            if let Some(other) = sent_to(&next) {
                node.end_attempt(n, 1, other, Outcome::Ok);
                ejected.push(server);
            }
        }
        node.advance(100_000);
        let sent_to_slow: Vec<u64> = (1..200)
            .filter(|&n| sent_to(&node.send_request(n, NON_IDEMPOTENT, n)) == Some(slow))
            .collect();
        let (last, earlier) = sent_to_slow
            .split_last()
            .expect("requests to the slow server");
        assert!(earlier.len() > 5);
        node.now += SECOND / 2;
        if answers_others {
            node.end_attempt(*last, 0, slow, Outcome::Ok);
        }
        node.now += SECOND / 2;
        for &n in earlier {
            node.end_attempt_after(n, 0, slow, Outcome::Timeout, SECOND);
        }
        count_admitted(&mut node, 1000..1100)
    };
    assert_eq!(admitted(false, 0), 100);
    assert!(admitted(true, 0) < 100);
    assert!(admitted(false, 4) < 100);
}

// Guards against rejections long after a fault is over.
#[test]
fn the_limit_recovers_within_30_s_of_normal_answers() {
    let mut node = Node::with_servers(10);
    answer_requests(&mut node, 0, 200, Outcome::Ok, 900_000);
    for second in 1..30 {
        answer_requests(&mut node, second * 1000, 50, Outcome::Ok, 50_000);
        node.advance(SECOND);
    }
    assert_eq!(
        answer_requests(&mut node, 90_000, 50, Outcome::Ok, 50_000),
        0
    );
    let admitted = count_admitted(&mut node, 100_000..100_030);
    assert_eq!(admitted, 30);
}

// Guards against a recovery time that does not scale with the latency objective: with an objective a quarter
// as long, the limit must recover in a quarter of the time.
#[test]
fn the_limit_recovers_faster_with_shorter_objectives() {
    let admitted = |objective: Micros, duration: Micros| {
        let mut settings = settings();
        settings
            .classes
            .iter_mut()
            .for_each(|class| class.latency_objective = objective);
        let mut node = Node::new(settings, (0..10).map(endpoint).collect());
        answer_requests(&mut node, 0, 200, Outcome::Ok, 2 * objective);
        let end = node.now + duration;
        while node.now < end {
            let actions = node.event(Event::Timer(TimerId(1)));
            let delay = actions.iter().find_map(|action| match action {
                Action::SetTimer {
                    delay,
                    timer: TimerId(1),
                } => Some(*delay),
                _ => None,
            });
            node.now += delay.expect("the next tick");
        }
        count_admitted(&mut node, 1000..1400)
    };
    let (fast, slow) = (
        admitted(100_000, 3 * SECOND),
        admitted(400_000, 12 * SECOND),
    );
    assert_eq!(fast, slow);
    assert!(admitted(400_000, 3 * SECOND) < fast, "{fast}");
}

// Guards against evicting all keys from the caches of the servers in an overload. All nodes must reject the
// same keys, so that the servers keep the others cached.
#[test]
fn an_overload_rejects_the_same_keys_at_every_node() {
    // The fleet can serve 300 requests per second and gets 500. An answer takes as long as the queue before
    // it.
    let rejected_fractions = |seed: u64| -> Vec<f64> {
        let mut node = Node::with_servers(10);
        node.balancer = Balancer::new(settings(), seed);
        node.update_endpoints(UpdateKind::Cached, (0..10).map(endpoint).collect());
        let (mut counts, mut in_flight) = (vec![[0.0; 2]; 100], std::collections::VecDeque::new());
        for n in 0..20_000u64 {
            node.now += 2_000;
            node.advance(if n % 50 == 0 { 100_000 } else { 0 });
            let key = ((n + 20_000 * seed).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) % 100;
            counts[key as usize][0] += 1.0;
            match sent_to(&node.send_request(n, NON_IDEMPOTENT, key)) {
                Some(server) => in_flight.push_back((n, server)),
                None => counts[key as usize][1] += 1.0,
            }
            if n % 5 < 3 && !in_flight.is_empty() {
                let elapsed = in_flight.len() as u64 * 10_000 / 3;
                let (n, server) = in_flight.pop_front().unwrap();
                node.end_attempt_after(n, 0, server, Outcome::Ok, elapsed);
            }
        }
        counts
            .iter()
            .map(|[requests, rejected]| rejected / requests)
            .collect()
    };
    let (a, b) = (rejected_fractions(1), rejected_fractions(2));
    let mean = a.iter().sum::<f64>() / 100.0;
    assert!((0.2..0.8).contains(&mean), "{mean} rejected");
    let treated_alike = a
        .iter()
        .zip(&b)
        .filter(|(a, b)| (**a > mean) == (**b > mean))
        .count();
    let consistent = a.iter().filter(|part| **part < 0.1 || **part > 0.9).count();
    assert!(
        consistent > 60,
        "{consistent} of 100 keys are nearly always admitted or rejected: {a:?}"
    );
    assert!(
        treated_alike > 90,
        "{treated_alike} of 100 keys are treated alike: {a:?} {b:?}"
    );
}

// Guards against an overload that is sustained by retries which come too late to have any value. The advised
// delay reaches the deadline only if clients honor a delay that long and a late answer has no value.
#[test]
fn retry_after_reaches_the_deadline_only_where_a_retry_has_no_value() {
    let advice = |late_value: f64, max_retry_after: Micros, retry_after: bool| {
        let mut settings = Settings {
            retry_after,
            max_retry_after,
            ..settings()
        };
        settings.classes[IDEMPOTENT].late_value = late_value;
        let actions = Node::new(settings, vec![]).send_request(1, IDEMPOTENT, 5);
        match actions[..] {
            [Action::Reject { retry_after, .. }] => retry_after,
            _ => panic!("{actions:?}"),
        }
    };
    assert_eq!(advice(0.0, 2 * SECOND, true), 2 * SECOND);
    assert_eq!(
        advice(0.0, SECOND, true),
        20_000,
        "clients would retry before the deadline"
    );
    assert_eq!(
        advice(0.2, 2 * SECOND, true),
        20_000,
        "late answers have some value"
    );
    assert_eq!(
        advice(0.2, 10_000, true),
        10_000,
        "not more than clients honor"
    );
    assert_eq!(advice(0.0, 2 * SECOND, false), 0);
}

// Guards against rejections because a single server stays overloaded while the others have capacity.
#[test]
fn one_overloaded_server_causes_no_rejections() {
    let mut node = Node::with_servers(10);
    let (overloaded, mut rejections, mut overloads) = (ServerId(3), 0, 0);
    for n in 0..2000 {
        node.now += 2_000;
        let Some(server) = sent_to(&node.send_request(n, NON_IDEMPOTENT, n)) else {
            rejections += 1;
            continue;
        };
        if server != overloaded {
            node.end_attempt(n, 0, server, Outcome::Ok);
            continue;
        }
        overloads += 1;
        if let Some(next) = sent_to(&node.end_attempt(n, 0, overloaded, Outcome::Overloaded)) {
            node.end_attempt(n, 1, next, Outcome::Ok);
        }
    }
    assert!(
        overloads > 5 && rejections == 0,
        "{overloads} attempts were overloaded and {rejections} requests rejected"
    );
}

// Guards against a fleet that stays congested with all answers late (incident idb82f5): client retries raise
// the rate of requests, and late answers must lower the limit nevertheless.
#[test]
fn late_answers_cut_the_limit_however_many_requests_come() {
    let in_flight_after = |retries: u64| {
        let mut node = Node::with_servers(10);
        let (mut n, mut in_flight) = (0, std::collections::VecDeque::new());
        for _ in 0..400 {
            for _ in 0..=retries {
                n += 1;
                if let Some(server) = sent_to(&node.send_request(n, NON_IDEMPOTENT, n)) {
                    in_flight.push_back((n, server));
                }
            }
            if let Some((oldest, server)) = in_flight.pop_front() {
                node.end_attempt_after(oldest, 0, server, Outcome::Ok, 900_000);
            }
            node.advance(100_000);
        }
        in_flight.len()
    };
    assert!(
        in_flight_after(20) <= 12,
        "{} in flight",
        in_flight_after(20)
    );
}

/// A node of 30 servers that has learnt an answer time of 50 ms and has 40 attempts in flight.
fn node_with_attempts_in_flight(settings: Settings) -> Node {
    let mut node = Node::new(settings, (0..30).map(endpoint).collect());
    for n in 0..100 {
        let server = node.route(n, NON_IDEMPOTENT, n);
        node.end_attempt_after(n, 0, server, Outcome::Ok, 50_000);
        node.advance(100_000);
    }
    for n in 1_000..1_040 {
        node.now += 1_000;
        node.route(n, NON_IDEMPOTENT, n);
    }
    node
}

// Guards against noticing congestion too late: long before any answer is late, attempts that have been in
// flight for several times their expected time must lower the limit.
#[test]
fn slow_attempts_lower_the_limit() {
    let sent_after = |wait: Micros| {
        let mut node = node_with_attempts_in_flight(settings());
        node.advance(wait);
        count_admitted(&mut node, 2_000..2_040)
    };
    assert_eq!(sent_after(0), 40);
    assert!(sent_after(300_000) < 20);
}

// Guards against mistaking an unreachable server for congestion: within the connect timeout, an attempt may
// still be waiting for its connection.
#[test]
fn an_attempt_that_may_still_be_connecting_is_no_sign_of_congestion() {
    let settings = Settings {
        connect_timeout: SECOND,
        ..settings()
    };
    let mut node = node_with_attempts_in_flight(settings);
    node.advance(300_000);
    let admitted = count_admitted(&mut node, 2_000..2_040);
    assert_eq!(admitted, 40);
}

// Guards against a node with little traffic whose limit stays low because of its few latest answers.
#[test]
fn a_node_with_little_traffic_recovers_from_congestion_as_fast_as_others() {
    let mut node = Node::with_servers(30);
    answer_requests(&mut node, 0, 100, Outcome::Ok, 50_000);
    node.advance(5 * SECOND);
    answer_requests(&mut node, 1_000, 20, Outcome::Ok, 450_000);
    node.advance(SECOND);
    let mut in_flight = Vec::new();
    in_flight.extend((2_000..2_020).filter_map(|n| {
        sent_to(&node.send_request(n, NON_IDEMPOTENT, n)).map(|server| (n, server))
    }));
    assert!(in_flight.len() < 20);
    in_flight.into_iter().for_each(|(n, server)| {
        drop(node.end_attempt_after(n, 0, server, Outcome::Cancelled, 1_000))
    });
    node.advance(8 * SECOND);
    let admitted = count_admitted(&mut node, 3_000..3_010);
    assert_eq!(admitted, 10);
}
