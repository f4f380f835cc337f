//! Unit tests of `subscription`.

use super::*;

const SECOND: Micros = 1_000_000;

fn settings() -> Settings {
    Settings {
        node_count: 10,
        ..Settings::default()
    }
}

#[test]
fn pauses_grow_up_to_a_maximum() {
    let mut rng = Rng::with_seed(1);
    let mut subscription = Subscription::default();
    let mut now = 100 * SECOND;
    let mut delays = Vec::new();
    for _ in 0..10 {
        // The call fails as soon as it is made.
        let delay = subscription.record_failure(&settings(), now, &mut rng);
        delays.push(delay);
        now += delay;
    }
    assert!(delays[0] <= 3 * SECOND / 2, "{delays:?}");
    assert!(delays.iter().all(|&delay| delay <= DISCOVERY_CALL_INTERVAL));
    assert!(delays[3..].iter().any(|&delay| delay > SECOND));
}

// Guards against too long a time between calls, when the usual pause follows a call that hung.
#[test]
fn a_call_that_hung_is_followed_by_a_short_pause() {
    let mut rng = Rng::with_seed(1);
    for _ in 0..100 {
        let mut subscription = Subscription::default();
        let first = subscription.record_failure(&settings(), SECOND, &mut rng);
        let hung_until = SECOND + first + DISCOVERY_CALL_INTERVAL;
        let second = subscription.record_failure(&settings(), hung_until, &mut rng);
        assert!(second <= 3 * SECOND / 2, "{second}");
    }
}

#[test]
fn an_update_completes_the_subscription_and_a_failure_ends_it() {
    let mut rng = Rng::with_seed(1);
    let mut subscription = Subscription::default();
    assert!(!subscription.is_subscribed());
    subscription.mark_subscribed();
    assert!(subscription.is_subscribed());
    subscription.record_failure(&settings(), SECOND, &mut rng);
    assert!(!subscription.is_subscribed());
}

#[test]
fn the_delay_of_first_calls_is_bounded_by_the_number_of_nodes() {
    let mut rng = Rng::with_seed(1);
    for _ in 0..100 {
        let delay = Subscription::first_call_delay(&settings(), &mut rng);
        assert!(delay <= 10 * START_SPREAD);
    }
}
