//! Cold servers under the sum of fleets of 20, 30 and 300 nodes, with uneven traffic and restarts: none
//! gets more than N + 2 roots of N + 2 requests, and none is left unused.

use testbed::slow_start::{simulate, simulate_seeds, Plan, RestartScenario};

#[test]
fn no_cold_server_is_toppled_by_the_sum_and_none_starves() {
    for (nodes, seeds, least) in [(20, 0..3, 0.86), (30, 3..6, 0.86), (300, 0..1, 0.6)] {
        for story in RestartScenario::ALL {
            let figures = simulate_seeds(story, nodes, None, seeds.clone());
            let line = format!("{nodes} nodes, {}: {}", story.name(), figures.line());
            assert!(figures.starts > 0 && figures.overloaded == 0, "{line}");
            assert!(figures.used() > least, "{line}");
        }
    }
}

#[test]
fn one_seed_gives_one_play_and_another_another() {
    let of = |seed| {
        format!(
            "{:?}",
            simulate(&Plan::of(RestartScenario::Rolling, 20, None, seed))
        )
    };
    assert_eq!(of(7), of(7));
    assert_ne!(of(7), of(8));
}
