//! Unit tests of `latency`.

use super::*;

const CLASS: ClassId = ClassId(0);

fn latencies() -> ClassLatencies {
    let mut latencies = ClassLatencies::default();
    latencies.add_classes(&[RequestClass {
        latency_objective: 400_000,
        deadline: 1_000_000,
        priority_weight: 1.0,
        late_value: 0.0,
        idempotency: Idempotency::Idempotent,
        in_order: false,
    }]);
    latencies
}

#[test]
fn the_expected_time_before_the_first_answer_is_a_quarter_of_the_objective() {
    assert_eq!(latencies().expected(CLASS, None), 100_000.0);
}

#[test]
fn the_expected_time_follows_the_stated_cost() {
    let mut latencies = latencies();
    for _ in 0..200 {
        latencies.record(CLASS, Some(10_000), 20_000.0, false);
        latencies.record(CLASS, Some(50_000), 60_000.0, false);
    }
    let short = latencies.expected(CLASS, Some(10_000));
    let long = latencies.expected(CLASS, Some(50_000));
    assert!((15_000.0..25_000.0).contains(&short), "{short}");
    assert!((55_000.0..65_000.0).contains(&long), "{long}");
    assert!(latencies.expected(CLASS, Some(0)) >= latencies.mean(CLASS) / 4.0);
}

// Guards against congestion that becomes the expected answer time and is then no longer noticed.
#[test]
fn slow_answers_under_congestion_hardly_change_the_mean() {
    let mean_after_slow_answers = |distorted| {
        let mut latencies = latencies();
        for _ in 0..1_000 {
            latencies.record(CLASS, None, 20_000.0, false);
        }
        for _ in 0..50 {
            latencies.record(CLASS, None, 200_000.0, distorted);
        }
        latencies.mean(CLASS)
    };
    assert!(
        mean_after_slow_answers(true) < 45_000.0,
        "{}",
        mean_after_slow_answers(true)
    );
    assert!(
        mean_after_slow_answers(false) > 100_000.0,
        "{}",
        mean_after_slow_answers(false)
    );
}

#[test]
fn a_relative_latency_starts_at_its_prior_and_follows_the_answers() {
    let mut server = RelativeLatency::default();
    assert_eq!(server.mean(2.0), 2.0);
    for _ in 0..200 {
        server.record(1.0);
    }
    assert!((server.mean(2.0) - 1.0).abs() < 0.1);
    for _ in 0..10_000 {
        server.decay();
    }
    assert!(server.mean(2.0) > 1.9, "old answers expire");
}

#[test]
fn the_fastest_kind_is_that_with_the_lowest_mean() {
    let mut kinds = KindLatencies::default();
    assert_eq!((kinds.fastest(), kinds.mean(KindId(1))), (1.0, 1.0));
    for _ in 0..100 {
        kinds.record(KindId(1), 2.0);
        kinds.record(KindId(2), 0.5);
    }
    assert!(kinds.mean(KindId(1)) > 1.9);
    assert_eq!(kinds.fastest(), kinds.mean(KindId(2)));
}
