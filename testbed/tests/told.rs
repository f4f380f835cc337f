//! What discovery tells after calls that failed, on sockets: a node that is deaf after its first failed call has to be
//! named, and the honest one not. A file of its own, as these plays beside those of `sockets.rs` would take their time.

mod plays;

use plays::{named, run};
use testbed::checker::Rule;

/// A drain counts as told 6 s after discovery's return, and 0.8 s later nothing may come.
const SECONDS: f64 = 10.0;

/// Discovery is out of reach when servers begin to drain, and back soon after.
fn outage(kind: &str, mode: &str) -> String {
    format!(
        "[discovery]\nmode = \"{mode}\"\nnotice_s = 0\nperiod_ms = 20\nspread_ms = 1\n\
         [[trouble]]\nat_s = 0.5\nkind = \"discovery-{kind}\"\nfor_s = 1.2\n\
         [[trouble]]\nat_s = 1\nkind = \"replace\"\npart = 0.5\nstep_s = 0"
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_is_deaf_after_a_failed_call_is_named_and_the_honest_one_is_not() {
    let outages = [("hangs", "push"), ("resets", "ask"), ("errors", "push")];
    let plays = outages.map(|(kind, mode)| {
        let days = (outage(kind, mode), outage(kind, mode));
        let deaf = tokio::spawn(async move { named("deaf", &days.0, SECONDS).await });
        let honest = tokio::spawn(async move { run("honest", &days.1, SECONDS).await });
        (kind, deaf, honest)
    });
    for (kind, deaf, honest) in plays {
        let rules = deaf.await.unwrap();
        assert!(
            rules.contains(&Rule::SentToDraining),
            "{kind}: deaf, and named {rules:?}"
        );
        let honest = honest.await.unwrap().checker;
        assert!(
            honest.breaches().is_empty(),
            "{kind}: honest, and named {:?}",
            honest.breaches()
        );
        let tally = honest.totals();
        assert!(
            tally.requests() > 50 && tally.served_share() > 0.5,
            "{kind}: {tally:?}"
        );
    }
}
