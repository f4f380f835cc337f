//! Discovery updates after an outage, on real sockets: a node that stops calling discovery after its first failed call
//! sends to draining servers and is reported, and the node without a fault is not. These runs have a test binary of
//! their own, so that they do not compete with those of `sockets.rs` for processor time.

mod faulty_node;

use faulty_node::{broken_rules, run};
use testbed::checker::Rule;

/// Duration of the load, in seconds. Discovery is back at 1.7 s; a node counts as informed of a drain 6 s after that,
/// and may send nothing new another 0.8 s later, so that requests are checked against the rule from 8.5 s on.
const LOAD_SECONDS: f64 = 10.0;

/// Discovery is unavailable while servers begin to drain, and is back soon after.
fn outage(kind: &str, mode: &str) -> String {
    format!(
        "[discovery]\nmode = \"{mode}\"\nnotice_s = 0\nperiod_ms = 20\nspread_ms = 1\n\
         [[trouble]]\nat_s = 0.5\nkind = \"discovery-{kind}\"\nfor_s = 1.2\n\
         [[trouble]]\nat_s = 1\nkind = \"replace\"\npart = 0.5\nstep_s = 0"
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn only_a_node_that_ignores_discovery_after_a_failed_call_sends_to_draining_servers() {
    let outages = [("hangs", "push"), ("resets", "ask"), ("errors", "push")];
    let runs = outages.map(|(kind, mode)| {
        let scenarios = (outage(kind, mode), outage(kind, mode));
        let deaf =
            tokio::spawn(async move { broken_rules("deaf", &scenarios.0, LOAD_SECONDS).await });
        let honest = tokio::spawn(async move { run("honest", &scenarios.1, LOAD_SECONDS).await });
        (kind, deaf, honest)
    });
    for (kind, deaf, honest) in runs {
        let rules = deaf.await.unwrap();
        assert!(
            rules.contains(&Rule::SentToDraining),
            "{kind}: the deaf node broke {rules:?}"
        );
        let honest = honest.await.unwrap().checker;
        assert!(
            honest.breaches().is_empty(),
            "{kind}: the honest node broke {:?}",
            honest.breaches()
        );
        let totals = honest.totals();
        assert!(
            totals.requests() > 50 && totals.served_share() > 0.5,
            "{kind}: {totals:?}"
        );
    }
}
