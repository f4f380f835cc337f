//! Plays in virtual time.

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

fn bytes(plan: &SimPlan) -> String {
    let outcome = simulate(plan).unwrap().outcome;
    let tally = outcome.checker.totals();
    format!("{tally:?} {:?}", outcome.checker.breaches())
}

#[test]
fn the_same_seed_gives_the_same_bytes_and_another_seed_others() {
    for scenario in ["release", "node-crash"] {
        let mut plan = plan(scenario, PolicyKind::Node, 12.0);
        let first = bytes(&plan);
        assert_eq!(first, bytes(&plan), "{scenario}");
        plan.seed += 1;
        assert_ne!(first, bytes(&plan), "{scenario}");
    }
}

#[test]
fn a_trace_follows_one_request_from_its_try_to_its_answer_and_changes_nothing() {
    let bare = plan("bad-servers", PolicyKind::Node, 6.0);
    let traced = SimPlan {
        trace_filter: Some("request:40".parse().unwrap()),
        ..bare.clone()
    };
    let played = simulate(&traced).unwrap();
    let trace = played.trace.unwrap();
    assert!(
        trace.lines().all(|line| line.contains("  request 40  ")),
        "{trace}"
    );
    for word in ["try 0", "send", "takes it", "answer Served"] {
        assert!(trace.contains(word), "{word}: {trace}");
    }
    let tally = format!("{:?}", played.outcome.checker.totals());
    assert_eq!(
        tally,
        format!("{:?}", simulate(&bare).unwrap().outcome.checker.totals())
    );
}

#[test]
fn every_policy_ends_every_request_and_keeps_the_rules_on_resends() {
    for policy in PolicyKind::ALL {
        for scenario in ["lost-zone", "upgrade", "hand-and-drain"] {
            let outcome = simulate(&plan(scenario, policy.clone(), 15.0))
                .unwrap()
                .outcome;
            let tally = outcome.checker.totals();
            assert!(
                tally.requests() > 500 && tally.served_share() > 0.3,
                "{policy:?} {scenario}"
            );
            let kept = |rule| {
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
                    kept(rule),
                    "{policy:?} {scenario}: {:?}",
                    outcome.checker.breaches()
                );
            }
        }
    }
}

#[test]
fn seeing_the_true_state_is_worth_more_than_chance_and_so_is_the_module() {
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
    let (chance, module, ceiling) = (
        served(PolicyKind::Random),
        served(PolicyKind::Node),
        served(PolicyKind::Oracle),
    );
    assert!(ceiling > chance + 0.02, "oracle {ceiling}, random {chance}");
    assert!(module > chance + 0.02, "node {module}, random {chance}");
}

#[test]
fn where_nodes_ask_the_module_knows_in_time_and_one_that_never_asks_is_named() {
    for seed in 1..=10 {
        let plan = SimPlan {
            seed,
            ..plan("discovery-asked", PolicyKind::Node, 64.0)
        };
        let played = simulate(&plan).unwrap().outcome;
        assert!(
            played.checker.breaches().is_empty(),
            "seed {seed}: {:?}",
            played.checker.breaches()
        );
        assert!(played.checker.totals().served_share() > 0.5);
    }
    // The baselines never subscribe.
    let played = simulate(&plan("discovery-asked", PolicyKind::Random, 64.0))
        .unwrap()
        .outcome;
    assert!(played
        .checker
        .breaches()
        .iter()
        .any(|breach| breach.rule == Rule::SentToDraining));
}
