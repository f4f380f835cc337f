//! Errors of an external program that decides in place of the load balancer.

use testbed::policy::PolicyKind;
use testbed::scenario::Scenario;
use testbed::sim::{simulate, SimPlan};

#[test]
fn a_program_that_ends_or_sends_an_invalid_line_ends_the_run_with_an_error() {
    let message = |command: &str| {
        let scenario = Scenario::find("quiet").unwrap();
        let policy: PolicyKind = format!("wire:{command}").parse().unwrap();
        let plan = SimPlan {
            scenario,
            seed: 1,
            nodes: 1,
            servers: 3,
            seconds: 1.0,
            policy,
            record: false,
            trace_filter: None,
        };
        simulate(&plan).unwrap_err().to_string()
    };
    assert!(message("exit 3")
        .contains("exit 3: the program ended before its reply to batch 1 was complete"));
    let invalid = message(
        "while read word rest; do [ $word = EOF_BATCH ] && echo FROBNICATE && echo END 1; done",
    );
    assert!(
        invalid.contains("invalid line in a reply: 'FROBNICATE'"),
        "{invalid}"
    );
}
