//! The checker against faulty nodes, one for each rule: a small stand-in plays one request as such a node
//! would, and exactly that rule must be reported.

use super::*;
use crate::scenario::Scenario;

const SECOND: Micros = 1_000_000;

/// What the stand-in for a node does with its one request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Node {
    Correct,
    NeverAnswers,
    ClosesUnanswered,
    AnswersTwice,
    InventsAnswer,
    SendsTwice,
    RefusesAfterRun,
    InventsRequest,
    SendsToDraining,
    SendsToWithheld,
    SendsAfterLeaving,
    OverloadsColdServer,
}

fn client_request(repeats: RetrySafety) -> ClientRequest {
    let scenario = Scenario::read("t", "title = \"t\"").unwrap();
    let mut demand = crate::world::Demand::new(&scenario, 1, 9.0, 60.0);
    let mut request = demand
        .find(|request| request.retry_safety == repeats && request.abandons_after.is_none())
        .unwrap();
    request.first_try_at = 2 * SECOND;
    request
}

/// Plays one request, which is not safe to retry, at one node with two servers.
fn run_request(node: Node, past_grace: bool) -> InvariantChecker {
    let scenario = Scenario::read("t", "title = \"t\"").unwrap();
    let mut checker = InvariantChecker::new(&scenario, 1);
    let request = client_request(RetrySafety::Unsafe);
    // Drain and cordon are known at 1 s. The attempt reaches its server at 2.1 s, or within the grace period
    // at 1.7 s.
    checker.server_phase_known(0, "s-1", Phase::InService, 0);
    if node == Node::SendsToDraining {
        checker.server_phase_known(0, "s-1", Phase::Terminating, SECOND);
    }
    if node == Node::SendsToWithheld {
        checker.cordoned(0, "s-1", SECOND, Some(SECOND + 1_000));
    }
    let sent = if past_grace { 2_100_000 } else { 1_700_000 };
    checker.asked(&request);
    checker.taken("a1", &request, 0, 3 * SECOND);
    if node == Node::SendsAfterLeaving {
        checker.left("a1", 1_900_000);
    }
    let txn = if node == Node::InventsRequest {
        "b2"
    } else {
        "a1"
    };
    if let Some(attempt) = checker.sent(Some(txn), 0, "s-1", sent, sent) {
        checker.ended(
            txn,
            attempt,
            node != Node::SendsTwice && node != Node::RefusesAfterRun,
            false,
        );
    }
    match node {
        Node::NeverAnswers => checker.unanswered("a1", 4 * SECOND),
        Node::ClosesUnanswered => {
            checker.closed("a1", &request, false, 2_200_000);
        }
        Node::RefusesAfterRun => {
            checker.answered("a1", &request, TryOutcome::Refused(None), 2_300_000, false)
        }
        Node::InventsAnswer => {
            checker.answered("a1", &request, TryOutcome::Served, 2_300_000, false)
        }
        Node::SendsTwice => {
            let second = checker
                .sent(Some("a1"), 0, "s-2", 2_200_000, 2_200_000)
                .unwrap();
            checker.ended("a1", second, true, false);
            checker.answered("a1", &request, TryOutcome::Served, 2_300_000, true);
        }
        // The client has left, so no answer is due.
        Node::SendsAfterLeaving => {}
        Node::InventsRequest => {
            checker.answered("a1", &request, TryOutcome::Failed, 2_300_000, false)
        }
        _ => checker.answered("a1", &request, TryOutcome::Served, 2_300_000, true),
    }
    if node == Node::AnswersTwice {
        checker.answered("a1", &request, TryOutcome::Failed, 2_400_000, false);
    }
    if node == Node::OverloadsColdServer {
        checker.cold_server_overloaded("s-1", if past_grace { 0.9 } else { 0.5 }, 2_500_000);
    }
    checker
}

#[test]
fn each_faulty_node_breaks_exactly_its_rule_and_a_correct_node_none() {
    assert!(run_request(Node::Correct, true).breaches().is_empty());
    let broken = [
        (Node::NeverAnswers, Rule::Lost),
        (Node::ClosesUnanswered, Rule::Lost),
        (Node::AnswersTwice, Rule::TwoAnswers),
        (Node::InventsAnswer, Rule::MadeUp),
        (Node::SendsTwice, Rule::RunTwice),
        (Node::RefusesAfterRun, Rule::RefusedAfterRun),
        (Node::InventsRequest, Rule::UnknownRequest),
        (Node::SendsToDraining, Rule::SentToDraining),
        (Node::SendsToWithheld, Rule::SentToWithheld),
        (Node::SendsAfterLeaving, Rule::SentAfterLeaving),
        (Node::OverloadsColdServer, Rule::ColdToppled),
    ];
    for (node, rule) in broken {
        let checker = run_request(node, true);
        let named: Vec<Rule> = checker
            .breaches()
            .iter()
            .map(|breach| breach.rule)
            .collect();
        assert_eq!(named, [rule], "{node:?}");
        let breach = &checker.breaches()[0];
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
fn behaviour_within_the_grace_periods_breaks_no_rule() {
    for node in [
        Node::SendsToDraining,
        Node::SendsToWithheld,
        Node::SendsAfterLeaving,
        Node::OverloadsColdServer,
    ] {
        assert!(run_request(node, false).breaches().is_empty(), "{node:?}");
    }
    // An attempt that a server rejected never ran: neither the next attempt nor a refusal is a breach.
    let scenario = Scenario::read("t", "title = \"t\"").unwrap();
    let mut checker = InvariantChecker::new(&scenario, 1);
    let request = client_request(RetrySafety::Unsafe);
    checker.taken("a1", &request, 0, 3 * SECOND);
    for server in ["s-1", "s-2"] {
        let attempt = checker.sent(Some("a1"), 0, server, SECOND, SECOND).unwrap();
        checker.ended("a1", attempt, false, true);
    }
    checker.answered("a1", &request, TryOutcome::Refused(None), SECOND, false);
    // A node may close a connection on its first request, and requests on a dead node are not lost.
    checker.taken("a2", &request, 0, 3 * SECOND);
    assert_eq!(
        checker.closed("a2", &request, true, SECOND),
        TryOutcome::Failed
    );
    checker.taken("a3", &request, 0, 3 * SECOND);
    checker.node_died(0, SECOND);
    assert_eq!(
        checker.closed("a3", &request, false, SECOND + 1),
        TryOutcome::Unreachable
    );
    assert!(checker.breaches().is_empty(), "{:?}", checker.breaches());
}

#[test]
fn value_is_full_within_the_objective_reduced_after_it_and_zero_after_the_deadline() {
    let scenario = Scenario::read("t", "title = \"t\"").unwrap();
    let mut checker = InvariantChecker::new(&scenario, 1);
    let request = client_request(RetrySafety::Safe);
    for (txn, spent) in [
        ("a", 400_000),
        ("b", 900_000),
        ("c", 2_100_000),
        ("d", 100_000),
    ] {
        checker.asked(&request);
        checker.taken(txn, &request, 0, request.first_try_at + 2 * SECOND);
        let attempt = checker
            .sent(
                Some(txn),
                0,
                "s-1",
                request.first_try_at,
                request.first_try_at,
            )
            .unwrap();
        checker.ended(txn, attempt, true, false);
        checker.answered(
            txn,
            &request,
            TryOutcome::Served,
            request.first_try_at + spent,
            true,
        );
    }
    let class = &checker.totals().classes[request.class];
    assert_eq!((class.asked, class.in_time, class.late), (4, 2, 1));
    assert!((checker.totals().served_share() - (1.0 + 0.25 + 0.0 + 1.0) / 4.0).abs() < 1e-9);
}
