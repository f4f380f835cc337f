//! A program on the wire in place of the module: that it is found out when it goes wrong.

use testbed::policy::PolicyKind;
use testbed::scenario::Scenario;
use testbed::sim::{simulate, SimPlan};

#[test]
fn a_program_that_ends_or_talks_nonsense_ends_the_play_with_a_word() {
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
    assert!(message("exit 3").contains("exit 3: it ended in the middle of the reply to batch 1"));
    let nonsense = message(
        "while read word rest; do [ $word = EOF_BATCH ] && echo FROBNICATE && echo END 1; done",
    );
    assert!(
        nonsense.contains("'FROBNICATE' is no line of a reply"),
        "{nonsense}"
    );
}
