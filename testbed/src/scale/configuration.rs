//! Measures what brings configuration to a node: its file at the start, and SIGHUP, which puts a later one into force.

use std::time::{Duration, Instant};

use super::loopback::Loopback;
use super::process::{Process, Told};
use super::results::{About, Aspect, Loss, Measurement, Source};
use super::{target, Effort, Plan, ScaleError};

const ROLE: &str = "configuration";
/// A program that can't start has ended by then.
const ENDS: Duration = Duration::from_secs(5);

/// The figures of the role.
pub async fn measure(
    plan: &Plan,
    effort: &Effort,
    told: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    let world = Loopback::open(10)
        .await
        .map_err(ScaleError::io("discovery"))?;
    let (mut tenants, mut changes, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for &count in effort.tenants {
        told(&format!("configuration: a start with {count} tenants"));
        let (refused, file_bytes) = start_with_tenants(plan, &world, count).await?;
        tenants.push((count as f64, refused));
        bytes.push((count as f64, file_bytes));
    }
    for &count in effort.changes {
        told(&format!("configuration: {count} changes"));
        changes.push((count as f64, not_in_force(plan, &world, count).await?));
    }
    let about = About {
        role: ROLE,
        aspect: Aspect::State,
        name: "tenants-refused",
        unit: "tenants of a file that keeps a node from its start",
        of: "tenants",
        source: Source::Processes,
        target: target::TENANTS as f64,
        budget: Some(0.0),
        loss: Loss::Fleet,
        carried_by: "the file that is read at the start, whole; 100,000 tenants at the most",
    };
    let lost = About {
        aspect: Aspect::Messages,
        name: "changes-not-in-force",
        unit: "changes of the file, told by SIGHUP, without effect",
        of: "changes a day",
        target: target::CHANGES_A_DAY as f64,
        loss: Loss::Part,
        carried_by: "SIGHUP: all settings of the file, in place, or none",
        ..about
    };
    let file = About {
        aspect: Aspect::Messages,
        name: "tenants-bytes",
        unit: "bytes of a file with a name and a quota for each tenant",
        budget: None,
        loss: Loss::Room,
        ..about
    };
    let at_the_rate = About {
        aspect: Aspect::Latency,
        name: "tenants-at-the-rate",
        unit: "s for that file at 6 KB/s",
        source: Source::Arithmetic,
        budget: Some(target::READY_S),
        loss: Loss::Time,
        carried_by: "nothing: the file is there before the start",
        ..about
    };
    let spans: Vec<(f64, f64)> = bytes
        .iter()
        .map(|(size, bytes)| (*size, bytes / target::BYTES_A_SECOND))
        .collect();
    Ok(vec![
        Measurement::new(&about, &tenants),
        Measurement::new(&lost, &changes),
        Measurement::new(&file, &bytes),
        Measurement::new(&at_the_rate, &spans),
    ])
}

/// The tenants that a node refuses with its whole file, all or none; and the file's bytes.
async fn start_with_tenants(
    plan: &Plan,
    world: &Loopback,
    tenants: usize,
) -> Result<(f64, f64), ScaleError> {
    let io = || ScaleError::io("a node with tenants");
    let told = Told {
        tenants,
        ..Told::default()
    };
    let mut node = Process::start(&plan.node, world.discovery(), told).map_err(io())?;
    let bytes = node.config_bytes().map_err(io())? as f64;
    let from = Instant::now();
    loop {
        if node.is_ready().await {
            node.end().await;
            return Ok((0.0, bytes));
        }
        if let Some(status) = node.ended(Duration::from_millis(5)).await {
            tracing::info!(%status, log = node.log(), "a node with {tenants} tenants ended");
            return Ok((tenants as f64, bytes));
        }
        if from.elapsed() > ENDS {
            return Err(io()(std::io::Error::other("neither ready nor ended")));
        }
    }
}

/// Of so many changes, each a class more, those that the node says are applied and does not go by.
async fn not_in_force(plan: &Plan, world: &Loopback, changes: usize) -> Result<f64, ScaleError> {
    let io = || ScaleError::io("a node with changes");
    let mut node = Process::start(&plan.node, world.discovery(), Told::default()).map_err(io())?;
    node.until("ready", node.started, async |node| node.is_ready().await)
        .await
        .map_err(io())?;
    let mut missing = 0;
    for change in 1..=changes {
        node.configure(Told {
            more_classes: change,
            ..Told::default()
        })
        .map_err(io())?;
        let applied = async |node: &Process| {
            node.figure("svc_sighup_applied_total")
                .await
                .is_some_and(|count| count >= change as u64)
        };
        node.until("a change is applied", Instant::now(), applied)
            .await
            .map_err(io())?;
        let in_force = node
            .figures()
            .await
            .contains(&format!("service=\"lane-{change}\""));
        missing += u32::from(!in_force);
    }
    node.end().await;
    Ok(f64::from(missing))
}
