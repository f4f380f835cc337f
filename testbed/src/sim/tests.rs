//! Simulations in virtual time.

use super::*;
use crate::checker::Rule;

fn plan(scenario: &str, policy: PolicyKind, seconds: f64) -> SimPlan {
    let scenario = Scenario::find(scenario).unwrap();
    SimPlan {
        scenario,
        seed: 4,
        nodes: 4,
        servers: 9,
        seconds,
        policy,
        record: false,
        trace_filter: None,
    }
}

fn text_of_result(plan: &SimPlan) -> String {
    let outcome = simulate(plan).unwrap().outcome;
    let totals = outcome.checker.totals();
    format!("{totals:?} {:?}", outcome.checker.breaches())
}

#[test]
fn the_same_seed_gives_the_same_result_and_another_seed_a_different_one() {
    for scenario in ["release", "node-crash"] {
        let mut plan = plan(scenario, PolicyKind::Node, 12.0);
        let first = text_of_result(&plan);
        assert_eq!(first, text_of_result(&plan), "{scenario}");
        plan.seed += 1;
        assert_ne!(first, text_of_result(&plan), "{scenario}");
    }
}

#[test]
fn a_trace_has_all_steps_of_one_request_and_does_not_change_the_result() {
    let untraced = plan("bad-servers", PolicyKind::Node, 6.0);
    let traced = SimPlan {
        trace_filter: Some("request:40".parse().unwrap()),
        ..untraced.clone()
    };
    let output = simulate(&traced).unwrap();
    let trace = output.trace.unwrap();
    assert!(
        trace.lines().all(|line| line.contains("  request 40  ")),
        "{trace}"
    );
    for word in ["try 0", "send", "accepted", "answer Served"] {
        assert!(trace.contains(word), "{word}: {trace}");
    }
    let totals = format!("{:?}", output.outcome.checker.totals());
    assert_eq!(
        totals,
        format!(
            "{:?}",
            simulate(&untraced).unwrap().outcome.checker.totals()
        )
    );
}

#[test]
fn every_policy_answers_every_request_and_keeps_the_rules_on_retries() {
    for policy in PolicyKind::ALL {
        for scenario in ["lost-zone", "upgrade", "hand-and-drain"] {
            let outcome = simulate(&plan(scenario, policy.clone(), 15.0))
                .unwrap()
                .outcome;
            let totals = outcome.checker.totals();
            assert!(
                totals.requests() > 500 && totals.served_share() > 0.3,
                "{policy:?} {scenario}"
            );
            let is_kept = |rule| {
                outcome
                    .checker
                    .breaches()
                    .iter()
                    .all(|breach| breach.rule != rule)
            };
            for rule in [
                Rule::Lost,
                Rule::RunTwice,
                Rule::RefusedAfterRun,
                Rule::MadeUp,
                Rule::TwoAnswers,
            ] {
                assert!(
                    is_kept(rule),
                    "{policy:?} {scenario}: {:?}",
                    outcome.checker.breaches()
                );
            }
        }
    }
}

#[test]
fn the_oracle_and_the_decisions_of_the_node_serve_more_than_random_selection() {
    let served = |policy: PolicyKind| {
        let runs = (1..=3).map(|seed| {
            let plan = SimPlan {
                seed,
                ..plan("bad-servers", policy.clone(), 20.0)
            };
            simulate(&plan)
                .unwrap()
                .outcome
                .checker
                .totals()
                .served_share()
        });
        runs.sum::<f64>() / 3.0
    };
    let (random, node, oracle) = (
        served(PolicyKind::Random),
        served(PolicyKind::Node),
        served(PolicyKind::Oracle),
    );
    assert!(oracle > random + 0.02, "oracle {oracle}, random {random}");
    assert!(node > random + 0.02, "node {node}, random {random}");
}

#[test]
fn a_node_that_polls_learns_of_drains_in_time_and_one_that_does_not_subscribe_violates_a_rule() {
    for seed in 1..=10 {
        let plan = SimPlan {
            seed,
            ..plan("discovery-asked", PolicyKind::Node, 64.0)
        };
        let output = simulate(&plan).unwrap().outcome;
        assert!(
            output.checker.breaches().is_empty(),
            "seed {seed}: {:?}",
            output.checker.breaches()
        );
        assert!(output.checker.totals().served_share() > 0.5);
    }
    // The baselines never subscribe.
    let output = simulate(&plan("discovery-asked", PolicyKind::Random, 64.0))
        .unwrap()
        .outcome;
    assert!(output
        .checker
        .breaches()
        .iter()
        .any(|breach| breach.rule == Rule::SentToDraining));
}
