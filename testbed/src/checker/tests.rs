//! The referee against nodes that are broken on purpose, one for each rule: a small stand-in plays a
//! request as such a node would, and just that rule must be named.

use super::*;
use crate::scenario::Scenario;

const SECOND: Micros = 1_000_000;

/// What the stand-in does with its one request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Node {
    Honest,
    Forgets,
    ClosesUnanswered,
    AnswersTwice,
    MakesUp,
    SendsTwice,
    RefusesAfterRun,
    Invents,
    SendsToDraining,
    SendsToWithheld,
    SendsAfterLeaving,
    Topples,
}

fn ask(repeats: RetrySafety) -> ClientRequest {
    let scenario = Scenario::read("t", "title = \"t\"").unwrap();
    let mut demand = crate::world::Demand::new(&scenario, 1, 9.0, 60.0);
    let mut ask = demand
        .find(|ask| ask.retry_safety == repeats && ask.abandons_after.is_none())
        .unwrap();
    ask.first_try_at = 2 * SECOND;
    ask
}

/// Plays one request of a class that is unsafe to repeat at a node, between two servers.
fn play(node: Node, late: bool) -> InvariantChecker {
    let scenario = Scenario::read("t", "title = \"t\"").unwrap();
    let mut referee = InvariantChecker::new(&scenario, 1);
    let ask = ask(RetrySafety::Unsafe);
    // Told of at 1 s; the request reaches its server at 2.1 s, or in time at 1.7 s.
    referee.server_phase_known(0, "s-1", Phase::InService, 0);
    if node == Node::SendsToDraining {
        referee.server_phase_known(0, "s-1", Phase::Terminating, SECOND);
    }
    if node == Node::SendsToWithheld {
        referee.cordoned(0, "s-1", SECOND, Some(SECOND + 1_000));
    }
    let sent = if late { 2_100_000 } else { 1_700_000 };
    referee.asked(&ask);
    referee.taken("a1", &ask, 0, 3 * SECOND);
    if node == Node::SendsAfterLeaving {
        referee.left("a1", 1_900_000);
    }
    let txn = if node == Node::Invents { "b2" } else { "a1" };
    if let Some(attempt) = referee.sent(Some(txn), 0, "s-1", sent, sent) {
        referee.ended(
            txn,
            attempt,
            node != Node::SendsTwice && node != Node::RefusesAfterRun,
            false,
        );
    }
    match node {
        Node::Forgets => referee.unanswered("a1", 4 * SECOND),
        Node::ClosesUnanswered => {
            referee.closed("a1", &ask, false, 2_200_000);
        }
        Node::RefusesAfterRun => {
            referee.answered("a1", &ask, TryOutcome::Refused(None), 2_300_000, false)
        }
        Node::MakesUp => referee.answered("a1", &ask, TryOutcome::Served, 2_300_000, false),
        Node::SendsTwice => {
            let second = referee
                .sent(Some("a1"), 0, "s-2", 2_200_000, 2_200_000)
                .unwrap();
            referee.ended("a1", second, true, false);
            referee.answered("a1", &ask, TryOutcome::Served, 2_300_000, true);
        }
        // Nothing more is owed.
        Node::SendsAfterLeaving => {}
        Node::Invents => referee.answered("a1", &ask, TryOutcome::Failed, 2_300_000, false),
        _ => referee.answered("a1", &ask, TryOutcome::Served, 2_300_000, true),
    }
    if node == Node::AnswersTwice {
        referee.answered("a1", &ask, TryOutcome::Failed, 2_400_000, false);
    }
    if node == Node::Topples {
        referee.cold_server_overloaded("s-1", if late { 0.9 } else { 0.5 }, 2_500_000);
    }
    referee
}

#[test]
fn each_broken_node_is_named_by_its_rule_and_the_honest_one_by_none() {
    assert!(play(Node::Honest, true).breaches().is_empty());
    let broken = [
        (Node::Forgets, Rule::Lost),
        (Node::ClosesUnanswered, Rule::Lost),
        (Node::AnswersTwice, Rule::TwoAnswers),
        (Node::MakesUp, Rule::MadeUp),
        (Node::SendsTwice, Rule::RunTwice),
        (Node::RefusesAfterRun, Rule::RefusedAfterRun),
        (Node::Invents, Rule::UnknownRequest),
        (Node::SendsToDraining, Rule::SentToDraining),
        (Node::SendsToWithheld, Rule::SentToWithheld),
        (Node::SendsAfterLeaving, Rule::SentAfterLeaving),
        (Node::Topples, Rule::ColdToppled),
    ];
    for (node, rule) in broken {
        let referee = play(node, true);
        let named: Vec<Rule> = referee
            .breaches()
            .iter()
            .map(|breach| breach.rule)
            .collect();
        assert_eq!(named, [rule], "{node:?}");
        let breach = &referee.breaches()[0];
        assert!(breach.at >= 2 * SECOND && !breach.what.is_empty());
        if rule != Rule::ColdToppled {
            assert!(
                breach.node == Some(0) && breach.request.is_some(),
                "{breach}"
            );
        }
    }
}

#[test]
fn what_is_inside_the_limits_breaks_nothing() {
    for node in [
        Node::SendsToDraining,
        Node::SendsToWithheld,
        Node::SendsAfterLeaving,
        Node::Topples,
    ] {
        assert!(play(node, false).breaches().is_empty(), "{node:?}");
    }
    // A turned away attempt never ran: the next is no duplicate, and neither is a refusal.
    let scenario = Scenario::read("t", "title = \"t\"").unwrap();
    let mut referee = InvariantChecker::new(&scenario, 1);
    let ask = ask(RetrySafety::Unsafe);
    referee.taken("a1", &ask, 0, 3 * SECOND);
    for server in ["s-1", "s-2"] {
        let attempt = referee.sent(Some("a1"), 0, server, SECOND, SECOND).unwrap();
        referee.ended("a1", attempt, false, true);
    }
    referee.answered("a1", &ask, TryOutcome::Refused(None), SECOND, false);
    // The first request of a connection may end with it, and what a dead node held is not lost.
    referee.taken("a2", &ask, 0, 3 * SECOND);
    assert_eq!(referee.closed("a2", &ask, true, SECOND), TryOutcome::Failed);
    referee.taken("a3", &ask, 0, 3 * SECOND);
    referee.node_died(0, SECOND);
    assert_eq!(
        referee.closed("a3", &ask, false, SECOND + 1),
        TryOutcome::Unreachable
    );
    assert!(referee.breaches().is_empty(), "{:?}", referee.breaches());
}

#[test]
fn worth_is_counted_within_the_aim_after_it_and_not_after_the_deadline() {
    let scenario = Scenario::read("t", "title = \"t\"").unwrap();
    let mut referee = InvariantChecker::new(&scenario, 1);
    let ask = ask(RetrySafety::Safe);
    for (txn, spent) in [
        ("a", 400_000),
        ("b", 900_000),
        ("c", 2_100_000),
        ("d", 100_000),
    ] {
        referee.asked(&ask);
        referee.taken(txn, &ask, 0, ask.first_try_at + 2 * SECOND);
        let attempt = referee
            .sent(Some(txn), 0, "s-1", ask.first_try_at, ask.first_try_at)
            .unwrap();
        referee.ended(txn, attempt, true, false);
        referee.answered(
            txn,
            &ask,
            TryOutcome::Served,
            ask.first_try_at + spent,
            true,
        );
    }
    let class = &referee.totals().classes[ask.class];
    assert_eq!((class.asked, class.in_time, class.late), (4, 2, 1));
    assert!((referee.totals().served_share() - (1.0 + 0.25 + 0.0 + 1.0) / 4.0).abs() < 1e-9);
}
