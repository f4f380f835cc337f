//! The socket host and the referee together, against a node that is broken on purpose (`broken-node`): each fault has to be named by its rule, and the honest one by none.

mod plays;

use plays::{named, run};
use testbed::checker::Rule;

const NONE: &str = "";
const DRAIN: &str = "[[trouble]]\nat_s = 0.5\nkind = \"replace\"\npart = 0.25\nstep_s = 0";
const HAND: &str = "[[trouble]]\nat_s = 0.5\nkind = \"hand\"\npart = 0.5\nfor_s = 6";
const STANDBY: &str = "[[trouble]]\nat_s = 0.5\nkind = \"drain\"\npart = 1\nfor_s = 6";
const LEAVING: &str = "[clients]\nimpatient = 0.5";
const COLD: &str = "[discovery]\nadd_s = 0\nnotice_s = 0\nperiod_ms = 20\nspread_ms = 1\n\
    [[trouble]]\nat_s = 0.5\nkind = \"restart\"\npart = 1\nfor_s = 0.2\n\
    [[trouble]]\nat_s = 0\nkind = \"burst\"\nfor_s = 8\nsize = 5";

#[tokio::test(flavor = "multi_thread")]
async fn an_honest_node_breaks_no_rule() {
    let outcome = run("honest", DRAIN, 8.0).await;
    assert!(
        outcome.checker.breaches().is_empty(),
        "{:?}",
        outcome.checker.breaches()
    );
    let tally = outcome.checker.totals();
    assert!(
        tally.requests() > 50 && tally.served_share() > 0.5,
        "{tally:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn each_fault_on_the_sockets_is_named_by_its_rule() {
    let faults = [
        ("lost", NONE, Rule::Lost),
        ("two-answers", NONE, Rule::TwoAnswers),
        ("made-up", NONE, Rule::MadeUp),
        ("run-twice", NONE, Rule::RunTwice),
        ("refused-after-run", NONE, Rule::RefusedAfterRun),
        ("unknown-request", NONE, Rule::UnknownRequest),
        ("sent-to-draining", DRAIN, Rule::SentToDraining),
        ("sent-to-withheld", HAND, Rule::SentToWithheld),
        ("sent-after-leaving", LEAVING, Rule::SentAfterLeaving),
        ("cold-toppled", COLD, Rule::ColdToppled),
        ("not-drained", STANDBY, Rule::NotDrained),
    ];
    let plays = faults.map(|(fault, trouble, _)| {
        tokio::spawn(named(
            fault,
            trouble,
            if trouble.is_empty() { 2.0 } else { 8.0 },
        ))
    });
    for ((fault, _, rule), play) in faults.into_iter().zip(plays) {
        let rules = play.await.unwrap();
        assert!(rules.contains(&rule), "{fault} was named {rules:?}");
    }
}
