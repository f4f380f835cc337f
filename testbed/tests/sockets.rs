//! The socket runtime and the invariant checker against a deliberately faulty node (`broken-node`): each fault breaks
//! its own rule, and the node without a fault breaks none.

mod faulty_node;

use faulty_node::{broken_rules, run};
use testbed::checker::Rule;

const NO_ADDITIONS: &str = "";
const DRAIN: &str = "[[trouble]]\nat_s = 0.5\nkind = \"replace\"\npart = 0.25\nstep_s = 0";
const CORDON: &str = "[[trouble]]\nat_s = 0.5\nkind = \"hand\"\npart = 0.5\nfor_s = 6";
const STANDBY: &str = "[[trouble]]\nat_s = 0.5\nkind = \"drain\"\npart = 1\nfor_s = 6";
const IMPATIENT_CLIENTS: &str = "[clients]\nimpatient = 0.5";
const COLD_RESTART: &str = "[discovery]\nadd_s = 0\nnotice_s = 0\nperiod_ms = 20\nspread_ms = 1\n\
    [[trouble]]\nat_s = 0.5\nkind = \"restart\"\npart = 1\nfor_s = 0.2\n\
    [[trouble]]\nat_s = 0\nkind = \"burst\"\nfor_s = 8\nsize = 5";

#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_a_fault_breaks_no_rule() {
    let outcome = run("honest", DRAIN, 8.0).await;
    assert!(
        outcome.checker.breaches().is_empty(),
        "{:?}",
        outcome.checker.breaches()
    );
    let totals = outcome.checker.totals();
    assert!(
        totals.requests() > 50 && totals.served_share() > 0.5,
        "{totals:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn each_fault_is_reported_under_its_rule() {
    let faults = [
        ("lost", NO_ADDITIONS, Rule::Lost),
        ("two-answers", NO_ADDITIONS, Rule::TwoAnswers),
        ("made-up", NO_ADDITIONS, Rule::MadeUp),
        ("run-twice", NO_ADDITIONS, Rule::RunTwice),
        ("refused-after-run", NO_ADDITIONS, Rule::RefusedAfterRun),
        ("unknown-request", NO_ADDITIONS, Rule::UnknownRequest),
        ("sent-to-draining", DRAIN, Rule::SentToDraining),
        ("sent-to-withheld", CORDON, Rule::SentToWithheld),
        (
            "sent-after-leaving",
            IMPATIENT_CLIENTS,
            Rule::SentAfterLeaving,
        ),
        ("cold-toppled", COLD_RESTART, Rule::ColdToppled),
        ("not-drained", STANDBY, Rule::NotDrained),
    ];
    let runs = faults.map(|(fault, additions, _)| {
        tokio::spawn(broken_rules(
            fault,
            additions,
            if additions.is_empty() { 2.0 } else { 8.0 },
        ))
    });
    for ((fault, _, rule), run) in faults.into_iter().zip(runs) {
        let rules = run.await.unwrap();
        assert!(rules.contains(&rule), "{fault}: broken rules {rules:?}");
    }
}
