//! Slow start in fleets of 20, 30 and 300 nodes with uneven traffic and restarts: where a window allows
//! N requests, no cold server gets more than N + 2 * sqrt(N) + 2 in it; and none is left unused.

use testbed::slow_start::{simulate, simulate_seeds, Plan, RestartScenario};

#[test]
fn no_cold_server_is_overloaded_by_all_nodes_together_and_none_is_left_unused() {
    for (nodes, seeds, least) in [(20, 0..3, 0.86), (30, 3..6, 0.86), (300, 0..1, 0.6)] {
        for scenario in RestartScenario::ALL {
            let figures = simulate_seeds(scenario, nodes, None, seeds.clone());
            let line = format!("{nodes} nodes, {}: {}", scenario.name(), figures.line());
            assert!(figures.starts > 0 && figures.overloaded == 0, "{line}");
            assert!(figures.utilization() > least, "{line}");
        }
    }
}

#[test]
fn a_seed_determines_a_run_and_seeds_differ() {
    let run = |seed| {
        format!(
            "{:?}",
            simulate(&Plan::of(RestartScenario::Rolling, 20, None, seed))
        )
    };
    assert_eq!(run(7), run(7));
    assert_ne!(run(7), run(8));
}
