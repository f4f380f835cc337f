//! Property tests of one node over random legal sequences of events. The properties, as far as one node can
//! keep them, are:
//!
//! - Each request gets exactly one final answer, and gets it by its deadline.
//! - A request that may have run is sent again, or rejected, only where that cannot cause a second effect.
//! - Requests of an in-order key run one at a time, in the order of their arrival.
//! - A warming server is sent less than overloads it.
//!
//! The host models no servers: the outcome of each attempt is random.

#[path = "../common/mod.rs"]
mod common;
mod host;

use common::*;
use host::Host;
use load_balancer::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// One step of a random sequence.
#[derive(Clone, Debug)]
enum Step {
    Request {
        class: usize,
        key: u64,
        remaining_timeout: Micros,
    },
    EndAttempt {
        pick: usize,
        outcome: u8,
    },
    Abandon {
        pick: usize,
    },
    List {
        full: bool,
        servers: Vec<(u32, u8)>,
    },
    ListFailure,
    HealthCheck {
        server: u32,
        ok: bool,
    },
    Wait {
        span: Micros,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4usize, prop_oneof![0..4u64, 0..40u64], 1..3 * SECOND)
            .prop_map(|(class, key, remaining_timeout)| Step::Request { class, key, remaining_timeout }),
        6 => (any::<usize>(), 0..7u8).prop_map(|(pick, outcome)| Step::EndAttempt { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::Abandon { pick }),
        1 => (any::<bool>(), prop::collection::vec((0..12u32, 0..5u8), 0..12))
            .prop_map(|(full, servers)| Step::List { full, servers }),
        1 => Just(Step::ListFailure),
        1 => (0..12u32, any::<bool>()).prop_map(|(server, ok)| Step::HealthCheck { server, ok }),
        4 => (1..400_000u64).prop_map(|span| Step::Wait { span }),
    ]
}

fn check_random_sequences(settings: Settings) {
    let config = Config {
        cases: 96,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let answers = std::cell::Cell::new(0);
    runner
        .run(&prop::collection::vec(step(), 1..300), |steps| {
            let mut host = Host::new(settings.clone());
            for step in steps {
                host.step(step);
            }
            host.wait(10 * SECOND);
            assert!(host.all_ended(), "a request has no final answer after 10 s");
            answers.set(answers.get().max(host.answers()));
            Ok(())
        })
        .unwrap();
    assert!(answers.get() > 0, "no request got a final answer");
}

#[test]
fn the_properties_hold_with_hedging_and_pushed_lists() {
    check_random_sequences(settings());
}

#[test]
fn the_properties_hold_with_in_order_classes_and_overloaded_attempts_that_may_have_run() {
    let mut settings = Settings {
        quarantine_time: 200_000,
        overloaded_may_have_run: true,
        ..settings()
    };
    settings.classes[1].in_order = true;
    settings.classes[2].in_order = true;
    settings.classes[2].idempotency = Idempotency::IdempotencyKey {
        scope: DedupScope::Zone,
        ttl: SECOND,
    };
    check_random_sequences(settings.clone());
    check_random_sequences(Settings {
        overloaded_may_have_run: false,
        may_cancel: false,
        may_hedge: false,
        ..settings
    });
}

#[test]
fn the_properties_hold_with_health_checks_and_polled_lists_without_hedging() {
    check_random_sequences(Settings {
        may_hedge: false,
        may_cancel: false,
        may_health_check: true,
        discovery_mode: DiscoveryMode::Poll,
        node_count: 60,
        ..settings()
    });
}

// Guards against decisions that depend on anything but the events and the seed, such as a clock or the order
// of a hash map.
#[test]
fn identical_events_give_identical_actions() {
    let run = || {
        let mut node = Node::with_servers(9);
        let mut all = Vec::new();
        for n in 0..500 {
            let actions = node.send_request(n, (n % 4) as usize, n % 17);
            if let Some(server) = sent_to(&actions) {
                all.extend(node.end_attempt(
                    n,
                    0,
                    server,
                    [Outcome::Ok, Outcome::Overloaded][n as usize % 2],
                ));
            }
            all.extend(actions);
            node.advance(50_000);
        }
        all
    };
    assert_eq!(run(), run());
}

// Guards against overloading warming servers, also while much of the fleet is warming up and one key has much
// of the traffic: in each second the node sends each less than overloads the capacity that it had at the
// beginning of that second.
#[test]
fn warming_servers_are_sent_less_than_overloads_them() {
    for (warming, multiple) in [(1, 1.5), (4, 1.5), (8, 1.5), (8, 3.0), (11, 1.5)] {
        let mut endpoints: Vec<Endpoint> = (0..12).map(endpoint).collect();
        endpoints[..warming]
            .iter_mut()
            .for_each(|m| m.started_at = 100 * SECOND);
        let settings = Settings {
            cold_overload_factor: multiple,
            ..settings()
        };
        let mut node = Node::new(settings.clone(), endpoints);
        for window in 0..9 {
            let (per_window, mut counts) = (2_000u64, [0u32; 12]);
            for n in 0..per_window {
                node.advance(if n % 200 == 0 { 100_000 } else { 0 });
                let n = window * per_window + n;
                let Some(server) =
                    sent_to(&node.send_request(n, IDEMPOTENT, if n % 5 == 0 { 7 } else { n }))
                else {
                    continue;
                };
                counts[server.0 as usize] += 1;
                node.end_attempt(n, 0, server, Outcome::Ok);
            }
            // The rate of requests is the capacity of the fleet when it is warm.
            let warm_up =
                settings.cold_capacity + (1.0 - settings.cold_capacity) * window as f64 / 10.0;
            let most = multiple * warm_up * per_window as f64 / 12.0;
            for count in &counts[..warming] {
                assert!(
                    f64::from(*count) < most,
                    "{warming} warming servers, second {window}: one got {count} requests, at most {most} are allowed"
                );
            }
        }
    }
}

const IDEMPOTENT: usize = 0;

// Guards against a node that polls and, after failed calls, waits longer for its next call to discovery than
// the settings allow.
#[test]
fn a_polling_node_never_goes_long_without_a_call() {
    let settings = Settings {
        discovery_mode: DiscoveryMode::Poll,
        node_count: 60,
        ..settings()
    };
    let mut node = Node {
        balancer: Balancer::new(settings.clone(), 9),
        now: SECOND,
    };
    let mut first = node.update_endpoints(UpdateKind::Cached, vec![endpoint(1)]);
    for _ in 0..12 {
        let delay = first.iter().find_map(|a| match a {
            Action::SetTimer {
                delay,
                timer: TimerId(2),
            } => Some(*delay),
            _ => None,
        });
        let delay = delay.expect("a timer for the next call");
        assert!(delay < settings.max_poll_interval, "{delay}");
        node.now += delay;
        assert_eq!(
            node.event(Event::Timer(TimerId(2))),
            vec![Action::Subscribe]
        );
        first = node.update_endpoints(UpdateKind::Failed, vec![]);
    }
}
