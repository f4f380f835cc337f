//! Plays of a node that is broken on purpose (`broken-node`) on sockets.

use testbed::checker::Rule;
use testbed::outcome::Outcome;
use testbed::runtime::{play, Plan};
use testbed::scenario::Scenario;

/// Light enough for a machine that has little time, with a trouble for the rules that need one.
const DAY: &str = r#"
title = "a light day"
[load]
level = 0.15
work_scale = 0.2
"#;

const STAND_IN: &str = env!("CARGO_BIN_EXE_broken-node");

/// Plays a broken node through a trouble, for so many seconds.
pub async fn run(fault: &str, trouble: &str, seconds: f64) -> Outcome {
    let scenario = Scenario::read("day.toml", &format!("{DAY}{trouble}")).unwrap();
    let plan = Plan {
        seed: 3,
        nodes: 1,
        servers: 4,
        seconds,
        command: format!("BROKEN_NODE={fault} exec '{STAND_IN}'"),
        root: std::env::temp_dir(),
        logs: None,
        scenario,
    };
    play(plan, |_| {}).await.unwrap()
}

/// The rules that the referee names.
pub async fn named(fault: &str, trouble: &str, seconds: f64) -> Vec<Rule> {
    let outcome = run(fault, trouble, seconds).await;
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
