//! Duties under faults in virtual time: no play may break a property, and each property can be broken.

use testbed::agent_harness::coordination::model::{check, Flaw};
use testbed::agent_harness::coordination::{run_seeds, Breach, InjectedBug};

#[test]
fn no_fault_makes_two_holders_loses_a_yes_or_lets_an_old_token_act() {
    let all: Vec<_> = [(3, 0..300), (5, 300..500)]
        .into_iter()
        .flat_map(|(n, seeds)| run_seeds(n, seeds, None))
        .collect();
    let broken: Vec<_> = all
        .iter()
        .filter(|play| !play.breaches.is_empty())
        .collect();
    let sum = |of: fn(&testbed::agent_harness::coordination::RunResult) -> usize| {
        all.iter().map(of).sum::<usize>()
    };
    let (changes, replaced) = (sum(|play| play.changes), sum(|play| play.replaced));
    let (refused, answered) = (sum(|play| play.acts.1 as usize), sum(|play| play.calls.0));
    println!(
        "{} plays: {changes} changes of hands, {replaced} voters replaced",
        all.len()
    );
    println!("{refused} acts refused, {answered} calls answered with yes");
    assert!(
        broken.is_empty(),
        "{} broken, the first: {:#?}",
        broken.len(),
        broken.first()
    );
    let tried = changes > 2_000 && refused > 50 && answered > 2_000 && replaced > 100;
    assert!(tried, "the plays must have tried it");
}

/// Plays until the break is found, by what names it.
fn found(sabotage: InjectedBug, names: impl Fn(&Breach) -> bool) -> Option<usize> {
    let all = run_seeds(3, 0..100, Some(sabotage));
    all.iter().position(|play| play.breaches.iter().any(&names))
}

#[test]
fn each_property_can_be_broken_and_is_then_named() {
    let fence = found(InjectedBug::FenceOff, |breach| {
        matches!(breach, Breach::OldToken(..))
    });
    let drift = found(InjectedBug::DriftIgnored, |breach| {
        matches!(breach, Breach::TwoHolders(..))
    });
    let forgets = |breach: &Breach| {
        matches!(
            breach,
            Breach::TwoLeaders(..) | Breach::Forked(_) | Breach::NotLinear(_)
        )
    };
    let vote = found(InjectedBug::VoteNotSynced, forgets);
    let store = found(InjectedBug::StoreLost, forgets);
    println!(
        "first found in play: fence {fence:?}, drift {drift:?}, vote {vote:?}, store {store:?}"
    );
    assert!(fence.is_some() && drift.is_some() && vote.is_some() && store.is_some());
}

#[test]
fn the_lease_holds_in_every_state_within_the_bounds_and_each_flaw_is_found() {
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
