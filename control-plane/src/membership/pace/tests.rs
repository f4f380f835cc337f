use super::*;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SECOND: Micros = 1_000_000;

#[test]
fn no_second_of_a_seeded_storm_carries_more_than_burst_and_rate() {
    let (rate, burst) = (4_500, 1_400);
    let mut rng = Pcg64::seed_from_u64(9);
    let mut pace = Pace::new(rate, burst);
    let mut sent: Vec<(Micros, usize)> = Vec::new();
    let mut now = 0;
    for _ in 0..20_000 {
        now += rng.random_range(0..20_000);
        pace.refill(now);
        let bytes = rng.random_range(1..=1_400);
        if pace.left() >= bytes as i64 {
            pace.spend(bytes);
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
    // What the storm wanted was far more, so all of the rate was used.
    let all: usize = sent.iter().map(|(_, bytes)| bytes).sum();
    assert!(
        all as f64 > 0.9 * rate as f64 * now as f64 / SECOND as f64,
        "{all} bytes in {now} us"
    );
}

#[test]
fn what_is_owed_is_paid_back_first_and_the_time_for_more_is_told() {
    let mut pace = Pace::new(1_000, 1_400);
    pace.refill(5 * SECOND);
    assert_eq!(pace.left(), 1_400, "no more than the burst");
    pace.spend(1_900);
    assert_eq!(pace.left(), -500);
    let then = pace.when(100);
    assert_eq!(then, 5 * SECOND + 600_000);
    pace.refill(then - 1);
    assert!(pace.left() < 100);
    pace.refill(then);
    assert_eq!(pace.left(), 100);
    assert_eq!(
        pace.when(1_000_000),
        pace.when(1_400),
        "the whole burst is the most that can be waited for"
    );
    pace.refill(0);
    assert_eq!(pace.left(), 100, "time never goes back");
}
