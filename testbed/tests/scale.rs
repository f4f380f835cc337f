//! The short capacity run for CI, with lists of ten and of 18,000 servers for the real node. Checks what holds whatever
//! else the machine is doing; times are recorded but not judged.

use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use testbed::scale::results::{Measurement, Results};

/// Time limit of the short run of one role.
const TIME_LIMIT: Duration = Duration::from_secs(60);

fn short_run(only: &str) -> Results {
    let testbed = Path::new(env!("CARGO_BIN_EXE_balancer-testbed"));
    let node = testbed.with_file_name("load-balancer");
    assert!(
        node.is_file(),
        "{}: build the workspace first (cargo test --workspace does)",
        node.display()
    );
    let folder = tempfile::tempdir().unwrap();
    let json = folder.path().join("scale.json");
    let started = Instant::now();
    let output = Command::new(testbed)
        .args(["scale", "--quick", "--only", only, "--json"])
        .arg(&json)
        .arg("--node")
        .arg(&node)
        .output()
        .unwrap();
    let elapsed = started.elapsed();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(
        elapsed < TIME_LIMIT,
        "the short run took {elapsed:?}, more than {TIME_LIMIT:?}"
    );
    let results = Results::read(&json).unwrap();
    assert!(results.quick && !results.measurements.is_empty());
    for measurement in &results.measurements {
        assert_eq!(
            (measurement.sizes.len(), measurement.values.len()),
            (2, 2),
            "{measurement:?}"
        );
        assert!(
            measurement.values.iter().all(|value| value.is_finite()),
            "{measurement:?}"
        );
        assert!(
            measurement.at_target.is_none() || measurement.sizes.contains(&measurement.target),
            "two sizes are too few to extrapolate: {measurement:?}"
        );
    }
    results
}

fn measurement<'a>(results: &'a Results, name: &str) -> &'a Measurement {
    results
        .measurements
        .iter()
        .find(|measurement| measurement.name == name)
        .unwrap_or_else(|| panic!("{name}"))
}

#[test]
fn a_node_accepts_a_list_of_18_000_servers_and_serves_requests() {
    let results = short_run("node");
    let at_target = |name: &str| {
        measurement(&results, name)
            .at_target
            .unwrap_or_else(|| panic!("{name} at the target"))
    };
    assert!(
        at_target("unserved") < 50.0,
        "percent of the requests; a busy machine may cause some failures"
    );
    assert!(
        at_target("list-bytes") > 1e6 && at_target("memory") > 1.0 && at_target("list-in") > 0.0
    );
    // With fewer slots than servers, 16,381 for 18,000, at least 1,619 servers would have none. More slots leave fewer.
    assert!(
        at_target("servers-without-slot") <= 18_000.0 - 16_381.0,
        "no more servers without a slot than a table of 16,381 slots leaves"
    );
    assert_eq!(
        measurement(&results, "servers-without-slot").values[0],
        0.0,
        "each of ten servers has a slot"
    );
}

#[test]
fn configuration_delivery_is_measured_on_a_real_node() {
    let results = short_run("configuration");
    assert_eq!(
        measurement(&results, "tenants-refused").values[0],
        0.0,
        "ten tenants are accepted"
    );
    assert_eq!(
        measurement(&results, "changes-not-in-force").sizes,
        [1.0, 2.0]
    );
}

#[test]
fn idle_members_and_members_over_regions_are_measured() {
    let results = short_run("agent");
    assert!(measurement(&results, "rest-bytes")
        .values
        .iter()
        .all(|bytes| *bytes > 0.0));
    assert_eq!(
        measurement(&results, "falsely-failed").values[0],
        0.0,
        "no false failure among fourteen members with a probe each second"
    );
    assert_eq!(
        measurement(&results, "region-healed").values.len(),
        2,
        "the views converge again at both sizes"
    );
}

#[test]
fn the_control_plane_is_measured_without_lost_leases_or_rejected_calls() {
    let results = short_run("control");
    let all = |name: &str, most: f64| {
        let values = &measurement(&results, name).values;
        assert!(
            values.iter().all(|value| (0.0..=most).contains(value)),
            "{name}: {values:?}"
        );
    };
    // Measured in virtual time, so independent of the machine.
    all("leases-lost", 0.0);
    all("back-turned-away", 0.0);
    all("census-silent", 0.0);
    all("out-all", 9.0);
    all("leader-slowest", 6.0);
    assert_eq!(
        measurement(&results, "entries").values,
        [8.0, 8.0],
        "8 commands per second, the most that the short run tries, are sustained"
    );
    assert_eq!(
        measurement(&results, "stopped-in-turn").values,
        [6.0, 0.0],
        "quorum losses with three voters and with five"
    );
    assert_eq!(
        measurement(&results, "zone-out-refused").values,
        [0.0, 125.0],
        "at most 1,000 servers can be cordoned"
    );
}
