//! Runs of a deliberately faulty node (`broken-node`) on real sockets.

use testbed::checker::Rule;
use testbed::outcome::Outcome;
use testbed::runtime::{self, Plan};
use testbed::scenario::Scenario;

/// A light load, for slow machines. Tests append the scenario's faults.
const SCENARIO: &str = r#"
title = "a light day"
[load]
level = 0.15
work_scale = 0.2
"#;

const PROGRAM: &str = env!("CARGO_BIN_EXE_broken-node");

/// Runs `broken-node` with the fault `fault` and these additions to the scenario, for `seconds` of load.
pub async fn run(fault: &str, scenario_additions: &str, seconds: f64) -> Outcome {
    let scenario = Scenario::read("day.toml", &format!("{SCENARIO}{scenario_additions}")).unwrap();
    let plan = Plan {
        seed: 3,
        nodes: 1,
        servers: 4,
        seconds,
        command: format!("BROKEN_NODE={fault} exec '{PROGRAM}'"),
        root: std::env::temp_dir(),
        logs: None,
        scenario,
    };
    runtime::run(plan, |_| {}).await.unwrap()
}

/// The rules that the invariant checker reports for such a run.
pub async fn broken_rules(fault: &str, scenario_additions: &str, seconds: f64) -> Vec<Rule> {
    let outcome = run(fault, scenario_additions, seconds).await;
    assert!(
        outcome.nodes.iter().all(|node| node.crashes.is_empty()),
        "{fault}: {:?}",
        outcome.nodes
    );
    let mut rules: Vec<Rule> = outcome
        .checker
        .breaches()
        .iter()
        .map(|breach| breach.rule)
        .collect();
    rules.dedup();
    rules
}
