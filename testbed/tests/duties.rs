//! Roles and the replicated log under fault injection, in virtual time: no run may break an invariant, and
//! each invariant is found broken when its safeguard is switched off.

use testbed::agent_harness::coordination::model::{check, Flaw};
use testbed::agent_harness::coordination::{run_seeds, Breach, InjectedBug};

#[test]
fn no_fault_makes_two_holders_loses_a_committed_command_or_lets_a_stale_token_act() {
    let all: Vec<_> = [(3, 0..300), (5, 300..500)]
        .into_iter()
        .flat_map(|(n, seeds)| run_seeds(n, seeds, None))
        .collect();
    let broken: Vec<_> = all.iter().filter(|run| !run.breaches.is_empty()).collect();
    let sum = |of: fn(&testbed::agent_harness::coordination::RunResult) -> usize| {
        all.iter().map(of).sum::<usize>()
    };
    let (changes, replaced) = (sum(|run| run.changes), sum(|run| run.replaced));
    let (refused, answered) = (sum(|run| run.acts.1 as usize), sum(|run| run.calls.0));
    println!(
        "{} runs: {changes} role grants used, {replaced} voters replaced",
        all.len()
    );
    println!("{refused} updates rejected, {answered} commands committed");
    assert!(
        broken.is_empty(),
        "{} broken, the first: {:#?}",
        broken.len(),
        broken.first()
    );
    let tried = changes > 2_000 && refused > 50 && answered > 2_000 && replaced > 100;
    assert!(
        tried,
        "the runs must have exercised handovers, rejections, commands and replacements"
    );
}

/// The first of 100 runs with an injected bug in which a matching breach is found.
fn first_found(bug: InjectedBug, matches: impl Fn(&Breach) -> bool) -> Option<usize> {
    let all = run_seeds(3, 0..100, Some(bug));
    all.iter().position(|run| run.breaches.iter().any(&matches))
}

#[test]
fn each_injected_bug_is_found_as_a_breach_of_its_invariant() {
    let fence = first_found(InjectedBug::FencingDisabled, |breach| {
        matches!(breach, Breach::StaleToken(..))
    });
    let drift = first_found(InjectedBug::ClockDriftIgnored, |breach| {
        matches!(breach, Breach::TwoHolders(..))
    });
    let lost_write = |breach: &Breach| {
        matches!(
            breach,
            Breach::TwoLeaders(..) | Breach::Diverged(_) | Breach::NotLinearizable(_)
        )
    };
    let vote = first_found(InjectedBug::AcknowledgedBeforeSync, lost_write);
    let store = first_found(InjectedBug::StoreLost, lost_write);
    println!(
        "first found in run: fence {fence:?}, drift {drift:?}, vote {vote:?}, store {store:?}"
    );
    assert!(fence.is_some() && drift.is_some() && vote.is_some() && store.is_some());
}

#[test]
fn the_lease_model_has_one_holder_in_every_state_within_the_bounds_and_each_flaw_is_found() {
    let (states, found) = check(Flaw::None, 3);
    println!("{states} states");
    assert!(
        found.is_empty() && states > 10_000,
        "{states} states: {found:?}"
    );
    for flaw in [Flaw::DriftIgnored, Flaw::NoWaitAtStart] {
        let (states, found) = check(flaw, 3);
        println!("{flaw:?}: found within {states} states");
        assert!(
            found.iter().any(|found| found.starts_with("one holder")),
            "{flaw:?}: {found:?}"
        );
    }
}
