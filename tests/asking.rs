//! When a node that has to ask discovery calls it: soon enough for what counts as told, and spread over its many peers.

mod common;

use common::*;
use load_balancer::*;

/// What counts as told in 6 s has to be asked for 5 s after the call before, which leaves a call 1 s.
const MOST: Micros = 5 * SECOND;
/// The longest that a host waits for a call.
const LONGEST_CALL: Micros = 3_500_000;

fn asking(seed: u64, group_size: u32, ask_within: Micros) -> Node {
    let settings = Settings {
        discovery_mode: DiscoveryMode::Poll,
        node_count: group_size,
        max_poll_interval: ask_within,
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
    next.expect("a timer to call by")
}

#[test]
fn from_one_call_to_the_next_it_takes_5_s_at_the_most_however_calls_fail() {
    for ask_within in [SECOND, 10 * SECOND, 60 * SECOND] {
        for group_size in [1, 60, 1_900] {
            for seed in 0..50 {
                let mut node = asking(seed, group_size, ask_within);
                let first = next_call(&node.sync(UpdateKind::Cached, vec![member(1)]));
                assert!(first < MOST, "the first call after {first}");
                node.now += first;
                for n in 0..20 {
                    assert_eq!(
                        node.event(Event::Timer(TimerId(2))),
                        vec![Action::Subscribe]
                    );
                    // Refused at once, given up at the end, and in between.
                    let hung = LONGEST_CALL * ((seed + n) % 4) / 3;
                    // Answered once in a while, and broken long after: then the longest silence counts.
                    let answered = (seed + n) % 7 == 6;
                    if answered {
                        node.sync(UpdateKind::Delta, vec![]);
                        node.now += 60 * SECOND;
                    }
                    node.now += hung;
                    let pause = next_call(&node.sync(UpdateKind::Failed, vec![]));
                    let span = if answered { LONGEST_CALL } else { hung } + pause;
                    assert!(
                        span <= MOST,
                        "{span} from call to call, {pause} of it a pause"
                    );
                    assert!(pause >= ask_within.min(SECOND) / 6, "a pause of {pause}");
                    node.now += pause;
                }
            }
        }
    }
}

/// The most calls that begin within a second, of so many nodes whose watches all break in the same moment, from
/// `from` after it on.
fn most_in_a_second(nodes: u64, hung: Micros, from: Micros) -> usize {
    let mut calls = Vec::new();
    for seed in 0..nodes {
        let mut node = asking(seed, nodes as u32, 10 * SECOND);
        node.sync(UpdateKind::Cached, vec![member(1)]);
        node.sync(UpdateKind::Full, vec![member(1)]);
        let start = node.now;
        while node.now < start + 60 * SECOND {
            let pause = next_call(&node.sync(UpdateKind::Failed, vec![]));
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

// Each calls once in some seconds, and only once after the return: what discovery gets in a second has to stay below
// the number of nodes, also in the first seconds after all have lost it in one moment.
#[test]
fn nodes_that_lose_discovery_together_do_not_call_it_in_step() {
    // Refused at once: a pause of 3.3 s in the mean. Hung: 3.5 s and a pause of 1 s in the mean.
    for (hung, mean, first, later) in [
        (0, 10 * SECOND / 3, 1_100, 650),
        (LONGEST_CALL, LONGEST_CALL + SECOND, 1_450, 900),
    ] {
        let most = |from| most_in_a_second(1_900, hung, from);
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
