use super::*;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SECOND: Micros = 1_000_000;

/// Guards against an idle time that accumulates more than the burst, and a refill that loses part of the rate by
/// rounding.
#[test]
fn no_second_of_random_load_carries_more_than_the_burst_plus_one_seconds_rate() {
    let (rate, burst) = (4_500, 1_400);
    let mut rng = Pcg64::seed_from_u64(9);
    let mut limiter = RateLimiter::new(rate, burst);
    let mut sent: Vec<(Micros, usize)> = Vec::new();
    let mut now = 0;
    for _ in 0..20_000 {
        now += rng.random_range(0..20_000);
        limiter.refill(now);
        let bytes = rng.random_range(1..=1_400);
        if limiter.available() >= bytes as i64 {
            limiter.consume(bytes);
            sent.push((now, bytes));
        }
    }
    for (first, (from, _)) in sent.iter().enumerate() {
        let second = sent[first..]
            .iter()
            .take_while(|(at, _)| *at < from + SECOND);
        let carried: usize = second.map(|(_, bytes)| bytes).sum();
        assert!(
            carried <= rate + burst,
            "{carried} bytes in the second from {from}"
        );
    }
    // The offered load was far above the rate, so the limiter must have allowed nearly all of it.
    let all: usize = sent.iter().map(|(_, bytes)| bytes).sum();
    assert!(
        all as f64 > 0.9 * rate as f64 * now as f64 / SECOND as f64,
        "{all} bytes in {now} us"
    );
}

/// Guards against an overdraft that is never repaid, and an `available_at` that is too early to send.
#[test]
fn debt_is_repaid_first_and_available_at_is_exact() {
    let mut limiter = RateLimiter::new(1_000, 1_400);
    limiter.refill(5 * SECOND);
    assert_eq!(
        limiter.available(),
        1_400,
        "an idle time earns no more than the burst"
    );
    limiter.consume(1_900);
    assert_eq!(limiter.available(), -500);
    let then = limiter.available_at(100);
    assert_eq!(then, 5 * SECOND + 600_000);
    limiter.refill(then - 1);
    assert!(limiter.available() < 100);
    limiter.refill(then);
    assert_eq!(limiter.available(), 100);
    assert_eq!(
        limiter.available_at(1_000_000),
        limiter.available_at(1_400),
        "more than the burst is never available at once"
    );
    limiter.refill(0);
    assert_eq!(limiter.available(), 100, "an earlier time changes nothing");
}
