//! When a polling node calls discovery: soon enough to know of a change in 6 s, and spread over the many nodes.

mod common;

use common::*;
use load_balancer::*;

/// A change must be known within 6 s: a call follows 5 s after the previous one, which leaves it 1 s.
const MAX_CALL_INTERVAL: Micros = 5 * SECOND;
/// The longest that a host waits for a call.
const LONGEST_CALL: Micros = 3_500_000;

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

/// When the node wants to call, from now.
fn next_call(actions: &[Action]) -> Micros {
    let next = actions.iter().find_map(|a| match a {
        Action::SetTimer {
            delay,
            timer: TimerId(2),
        } => Some(*delay),
        _ => None,
    });
    next.expect("a timer of the next call")
}

// Guards against pauses after failed calls that, with the time a call hung, keep a change unknown for over 6 s.
#[test]
fn calls_follow_each_other_within_5_s_however_they_fail() {
    for max_poll_interval in [SECOND, 10 * SECOND, 60 * SECOND] {
        for node_count in [1, 60, 1_900] {
            for seed in 0..50 {
                let mut node = polling_node(seed, node_count, max_poll_interval);
                let first =
                    next_call(&node.update_endpoints(UpdateKind::Cached, vec![endpoint(1)]));
                assert!(first < MAX_CALL_INTERVAL, "the first call after {first}");
                node.now += first;
                for n in 0..20 {
                    assert_eq!(
                        node.event(Event::Timer(TimerId(2))),
                        vec![Action::Subscribe]
                    );
                    // Refused at once, timed out, and in between.
                    let hung = LONGEST_CALL * ((seed + n) % 4) / 3;
                    // Answered once in a while, and the subscription broken long after: then the longest call counts.
                    let answered = (seed + n) % 7 == 6;
                    if answered {
                        node.update_endpoints(UpdateKind::Delta, vec![]);
                        node.now += 60 * SECOND;
                    }
                    node.now += hung;
                    let pause = next_call(&node.update_endpoints(UpdateKind::Failed, vec![]));
                    let span = if answered { LONGEST_CALL } else { hung } + pause;
                    assert!(
                        span <= MAX_CALL_INTERVAL,
                        "{span} from call to call, {pause} of it a pause"
                    );
                    assert!(
                        pause >= max_poll_interval.min(SECOND) / 6,
                        "a pause of {pause}"
                    );
                    node.now += pause;
                }
            }
        }
    }
}

/// The most calls that begin within a second, from `from` on after the subscriptions of all nodes broke together.
fn max_calls_per_second(nodes: u64, hung: Micros, from: Micros) -> usize {
    let mut calls = Vec::new();
    for seed in 0..nodes {
        let mut node = polling_node(seed, nodes as u32, 10 * SECOND);
        node.update_endpoints(UpdateKind::Cached, vec![endpoint(1)]);
        node.update_endpoints(UpdateKind::Full, vec![endpoint(1)]);
        let start = node.now;
        while node.now < start + 60 * SECOND {
            let pause = next_call(&node.update_endpoints(UpdateKind::Failed, vec![]));
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

// Guards against overloading discovery when it returns: the calls in a second must stay well below the number of nodes,
// also in the first seconds after all nodes have lost it together.
#[test]
fn nodes_that_lose_discovery_together_do_not_call_it_in_step() {
    // Refused at once: a pause of 3.3 s in the mean. Hung: 3.5 s and a pause of 1 s in the mean.
    for (hung, mean, first, later) in [
        (0, 10 * SECOND / 3, 1_100, 650),
        (LONGEST_CALL, LONGEST_CALL + SECOND, 1_450, 900),
    ] {
        let most = |from| max_calls_per_second(1_900, hung, from);
        let (at_first, from_half) = (most(0), most(30 * SECOND));
        let even = 1_900 * SECOND / mean;
        println!(
            "hung {hung}: {at_first} calls in a second, {from_half} from 30 s on, evenly {even}"
        );
        assert!(at_first <= first, "{at_first} calls in a second at first");
        assert!(
            from_half <= later,
            "{from_half} calls in a second from 30 s on, evenly {even}"
        );
    }
}
