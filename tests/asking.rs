//! When a node in poll mode calls discovery: often enough to learn of a change within 6 s, and not in step
//! with the other nodes.

mod common;

use common::*;
use load_balancer::*;

/// A node must learn of a change within 6 s: a call at most 5 s after the previous one leaves 1 s for its
/// answer.
const MAX_CALL_INTERVAL: Micros = 5 * SECOND;
/// The longest time that a host waits for the answer to a call.
const CALL_TIMEOUT: Micros = 3_500_000;

fn polling_node(seed: u64, node_count: u32, max_poll_interval: Micros) -> Node {
    let settings = Settings {
        discovery_mode: DiscoveryMode::Poll,
        node_count,
        max_poll_interval,
        ..settings()
    };
    Node {
        balancer: Balancer::new(settings, seed),
        now: SECOND,
    }
}

/// The delay after which the node will call discovery.
fn delay_to_next_call(actions: &[Action]) -> Micros {
    let next = actions.iter().find_map(|a| match a {
        Action::SetTimer {
            delay,
            timer: TimerId(2),
        } => Some(*delay),
        _ => None,
    });
    next.expect("a timer for the next call")
}

// Guards against a node that learns of a change only after more than 6 s, because a pause follows a call that
// had hung for long.
#[test]
fn calls_follow_each_other_within_5_s_however_they_fail() {
    for max_poll_interval in [SECOND, 10 * SECOND, 60 * SECOND] {
        for node_count in [1, 60, 1_900] {
            for seed in 0..50 {
                let mut node = polling_node(seed, node_count, max_poll_interval);
                let first = delay_to_next_call(
                    &node.update_endpoints(UpdateKind::Cached, vec![endpoint(1)]),
                );
                assert!(
                    first < MAX_CALL_INTERVAL,
                    "the first call comes after {first} us"
                );
                node.now += first;
                for n in 0..20 {
                    assert_eq!(
                        node.event(Event::Timer(TimerId(2))),
                        vec![Action::Subscribe]
                    );
                    // The calls fail at once, after the timeout, or in between.
                    let hung = CALL_TIMEOUT * ((seed + n) % 4) / 3;
                    // Some calls succeed and the subscription breaks long afterwards. The pause that follows
                    // must be so short that it and the longest call fit into `MAX_CALL_INTERVAL`.
                    let answered = (seed + n) % 7 == 6;
                    if answered {
                        node.update_endpoints(UpdateKind::Delta, vec![]);
                        node.now += 60 * SECOND;
                    }
                    node.now += hung;
                    let pause =
                        delay_to_next_call(&node.update_endpoints(UpdateKind::Failed, vec![]));
                    let span = if answered { CALL_TIMEOUT } else { hung } + pause;
                    assert!(
                        span <= MAX_CALL_INTERVAL,
                        "{span} us from call to call, of which the pause is {pause} us"
                    );
                    assert!(
                        pause >= max_poll_interval.min(SECOND) / 6,
                        "a pause of only {pause} us"
                    );
                    node.now += pause;
                }
            }
        }
    }
}

/// The maximum number of calls per second, from `from` until 60 s after the subscriptions of all nodes broke
/// at the same time. Each call fails after `hung`.
fn max_calls_per_second(nodes: u64, hung: Micros, from: Micros) -> usize {
    let mut calls = Vec::new();
    for seed in 0..nodes {
        let mut node = polling_node(seed, nodes as u32, 10 * SECOND);
        node.update_endpoints(UpdateKind::Cached, vec![endpoint(1)]);
        node.update_endpoints(UpdateKind::Full, vec![endpoint(1)]);
        let start = node.now;
        while node.now < start + 60 * SECOND {
            let pause = delay_to_next_call(&node.update_endpoints(UpdateKind::Failed, vec![]));
            node.now += pause;
            calls.push(node.now - start);
            node.now += hung;
        }
    }
    let mut seconds = vec![0; 60];
    let inside = calls
        .into_iter()
        .filter(|at| (from..60 * SECOND).contains(at));
    inside.for_each(|at| seconds[(at / SECOND) as usize] += 1);
    seconds.into_iter().max().unwrap_or(0)
}

// Guards against overloading discovery when it returns: the number of calls per second must stay well below
// the number of nodes, also in the first seconds after all nodes have lost it at the same time.
#[test]
fn nodes_that_lose_discovery_together_do_not_call_it_in_step() {
    // Calls that fail at once follow each other in 3.3 s on average; calls that hang for 3.5 s are followed
    // by a pause of 1 s on average.
    for (hung, mean_interval, max_at_first, max_later) in [
        (0, 10 * SECOND / 3, 1_100, 650),
        (CALL_TIMEOUT, CALL_TIMEOUT + SECOND, 1_450, 900),
    ] {
        let max_calls = |from| max_calls_per_second(1_900, hung, from);
        let (at_first, later) = (max_calls(0), max_calls(30 * SECOND));
        let even = 1_900 * SECOND / mean_interval;
        println!(
            "calls that fail after {hung} us: at most {at_first} per second, {later} from 30 s on; {even} if evenly spread"
        );
        assert!(at_first <= max_at_first, "{at_first} calls in one second");
        assert!(
            later <= max_later,
            "{later} calls in one second from 30 s on; {even} if evenly spread"
        );
    }
}
