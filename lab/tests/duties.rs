//! Duties under faults in virtual time: no play may break a property, and each property can be broken.

use woodgap_lab::plane::duties::{plays, Breach, Sabotage};

#[test]
fn no_fault_makes_two_holders_loses_a_yes_or_lets_an_old_token_act() {
    let all: Vec<_> =
        [(3, 0..300), (5, 300..500)].into_iter().flat_map(|(n, seeds)| plays(n, seeds, None)).collect();
    let broken: Vec<_> = all.iter().filter(|play| !play.breaches.is_empty()).collect();
    let sums = all
        .iter()
        .fold((0, 0, 0, 0), |s, p| (s.0 + p.changes, s.1 + p.acts.0, s.2 + p.acts.1, s.3 + p.calls.0));
    println!("{} plays: (changes of hands, acts, acts refused, calls answered) {sums:?}", all.len());
    assert!(broken.is_empty(), "{} broken, the first: {:?}", broken.len(), broken.first());
    assert!(sums.0 > 2_000 && sums.2 > 100, "the plays must have tried it: {sums:?}");
}

/// Plays until the break is found, by what names it.
fn found(sabotage: Sabotage, names: impl Fn(&Breach) -> bool) -> Option<usize> {
    let all = plays(3, 0..200, Some(sabotage));
    all.iter().position(|play| play.breaches.iter().any(&names))
}

#[test]
fn each_property_can_be_broken_and_is_then_named() {
    let fence = found(Sabotage::FenceOff, |breach| matches!(breach, Breach::OldToken(..)));
    let drift = found(Sabotage::DriftIgnored, |breach| matches!(breach, Breach::TwoHolders(..)));
    let vote = found(Sabotage::VoteNotSynced, |breach| {
        matches!(breach, Breach::TwoLeaders(..) | Breach::Forked(_) | Breach::Lost(_))
    });
    println!("first found in play: fence {fence:?}, drift {drift:?}, vote {vote:?}");
    assert!(fence.is_some() && drift.is_some() && vote.is_some(), "{fence:?} {drift:?} {vote:?}");
}
