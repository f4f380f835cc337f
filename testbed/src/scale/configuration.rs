//! Measures the delivery of configuration to a node: the file read at its start, and SIGHUP, which applies a changed file.

use std::time::{Duration, Instant};

use super::loopback::Loopback;
use super::process::{NodeOptions, Process};
use super::results::{Aspect, Impact, Measurement, MeasurementSpec, Source};
use super::{target, Plan, RunParameters, ScaleError};

const ROLE: &str = "configuration";
/// Time within which a node that refuses its configuration has exited.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the measurements of the configuration role.
pub async fn measure(
    plan: &Plan,
    parameters: &RunParameters,
    progress: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    let loopback = Loopback::open(10)
        .await
        .map_err(ScaleError::io("discovery"))?;
    let (mut tenants, mut changes, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for &count in parameters.tenants {
        progress(&format!(
            "configuration: starting a node with {count} tenants"
        ));
        let (refused, file_bytes) = start_with_tenants(plan, &loopback, count).await?;
        tenants.push((count as f64, refused));
        bytes.push((count as f64, file_bytes));
    }
    for &count in parameters.changes {
        progress(&format!("configuration: applying {count} changes"));
        changes.push((count as f64, not_in_force(plan, &loopback, count).await?));
    }
    let spec = MeasurementSpec {
        role: ROLE,
        aspect: Aspect::State,
        name: "tenants-refused",
        unit: "tenants of a file that keeps a node from its start",
        size_unit: "tenants",
        source: Source::Processes,
        target: target::TENANTS as f64,
        budget: Some(0.0),
        impact: Impact::Outage,
        mechanism: "the file that is read at the start, whole; 100,000 tenants at the most",
    };
    let changes_lost = MeasurementSpec {
        aspect: Aspect::Messages,
        name: "changes-not-in-force",
        unit: "changes of the file, told by SIGHUP, without effect",
        size_unit: "changes a day",
        target: target::CONFIG_CHANGES_PER_DAY as f64,
        impact: Impact::Partial,
        mechanism: "SIGHUP: all settings of the file, in place, or none",
        ..spec
    };
    let file_size = MeasurementSpec {
        aspect: Aspect::Messages,
        name: "tenants-bytes",
        unit: "bytes of a file with a name and a quota for each tenant",
        budget: None,
        impact: Impact::Resources,
        ..spec
    };
    let transfer_time = MeasurementSpec {
        aspect: Aspect::Latency,
        name: "tenants-at-the-rate",
        unit: "s for that file at 6 KB/s",
        source: Source::Arithmetic,
        budget: Some(target::READY_WITHIN_S),
        impact: Impact::Delay,
        mechanism: "nothing: the file is there before the start",
        ..spec
    };
    let transfer_seconds: Vec<(f64, f64)> = bytes
        .iter()
        .map(|(size, bytes)| (*size, bytes / target::BYTES_PER_S))
        .collect();
    Ok(vec![
        Measurement::new(&spec, &tenants),
        Measurement::new(&changes_lost, &changes),
        Measurement::new(&file_size, &bytes),
        Measurement::new(&transfer_time, &transfer_seconds),
    ])
}

/// Starts a node with `tenants` tenants in its configuration file. Returns how many of them the node refused, which is
/// all or none because it refuses the whole file, and the size of the file in bytes.
async fn start_with_tenants(
    plan: &Plan,
    loopback: &Loopback,
    tenants: usize,
) -> Result<(f64, f64), ScaleError> {
    let io = || ScaleError::io("node with tenants");
    let options = NodeOptions {
        tenants,
        ..NodeOptions::default()
    };
    let mut node = Process::start(&plan.node, loopback.discovery(), options).map_err(io())?;
    let bytes = node.config_bytes().map_err(io())? as f64;
    let from = Instant::now();
    loop {
        if node.is_ready().await {
            node.stop().await;
            return Ok((0.0, bytes));
        }
        if let Some(status) = node.wait_exit(Duration::from_millis(5)).await {
            tracing::info!(%status, log = node.log(), "node with {tenants} tenants exited before it was ready: counted as refused");
            return Ok((tenants as f64, bytes));
        }
        if from.elapsed() > EXIT_TIMEOUT {
            return Err(io()(std::io::Error::other(
                "the node neither became ready nor exited in time",
            )));
        }
    }
}

/// Applies changes that each add a request class, and counts those that the node reports as applied but that have no
/// effect on its metrics.
async fn not_in_force(plan: &Plan, loopback: &Loopback, changes: usize) -> Result<f64, ScaleError> {
    let io = || ScaleError::io("node under configuration changes");
    let mut node =
        Process::start(&plan.node, loopback.discovery(), NodeOptions::default()).map_err(io())?;
    node.wait_until("ready", node.started, async |node| node.is_ready().await)
        .await
        .map_err(io())?;
    let mut missing = 0;
    for change in 1..=changes {
        node.configure(NodeOptions {
            extra_classes: change,
            ..NodeOptions::default()
        })
        .map_err(io())?;
        let applied = async |node: &Process| {
            node.metric("svc_sighup_applied_total")
                .await
                .is_some_and(|count| count >= change as u64)
        };
        node.wait_until("applying a configuration change", Instant::now(), applied)
            .await
            .map_err(io())?;
        let in_force = node
            .metrics()
            .await
            .contains(&format!("service=\"lane-{change}\""));
        missing += u32::from(!in_force);
    }
    node.stop().await;
    Ok(f64::from(missing))
}
