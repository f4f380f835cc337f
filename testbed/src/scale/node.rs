//! Measures one node: a real process with endpoint lists of growing length under its share of the peak load, compared
//! with a bare forwarder that has the same list and with the same load sent directly to the servers.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::load::{Clients, LoadResult};
use super::loopback::Loopback;
use super::process::{NodeOptions, Process};
use super::results::{Aspect, Impact, Measurement, MeasurementSpec, Source};
use super::{check_memory, decisions, median, target, Plan, RunParameters, ScaleError};

const ROLE: &str = "node";
/// Group size that is small enough for a node to keep idle connections to servers.
const SMALL_GROUP: usize = 24;
pub(super) const TABLE: &str =
    "one slot table, of 16,381 slots to 2,047 servers and at least eight a server beyond, then built bit by bit";
const WATCH: &str = "the watch on discovery: the whole list, then what changes";
const POOL: &str = "idle connections by server, closed after each answer where nodes are many";
pub(super) const SWEEP: &str = "the look-over of all servers, ten times a second";

/// Returns the measurements of the node role.
pub async fn measure(
    plan: &Plan,
    parameters: &RunParameters,
    progress: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    let mut measurements = decisions::measure(parameters, progress);
    let mut values = Vec::new();
    for &servers in parameters.servers {
        progress(&format!("node: a process with a list of {servers} servers"));
        let process = at_size(plan, parameters, servers).await?;
        progress(&format!(
            "node: a process with a list of {servers} servers in a group of {SMALL_GROUP} nodes"
        ));
        let connections_small_group =
            connections_in_small_group(&plan.node, parameters, servers).await?;
        values.push((
            servers as f64,
            ProcessValues {
                connections_small_group,
                ..process
            },
        ));
    }
    measurements.extend(processes(&values));
    Ok(measurements)
}

pub(super) const BASE: MeasurementSpec = MeasurementSpec {
    role: ROLE,
    aspect: Aspect::State,
    name: "",
    unit: "",
    size_unit: "servers",
    source: Source::Module,
    target: target::SERVERS as f64,
    budget: None,
    impact: Impact::Resources,
    mechanism: TABLE,
};

/// Values measured on one process at one list length.
#[derive(Clone, Copy, Debug, Default)]
struct ProcessValues {
    list_bytes: f64,
    ready_s: f64,
    list_complete_s: f64,
    memory_mb: f64,
    idle_core: f64,
    server_change_ms: f64,
    zone_bytes: f64,
    zone_removed_ms: f64,
    zone_added_ms: f64,
    zone_cpu_ms: f64,
    stall_ms: f64,
    connections: f64,
    connections_small_group: f64,
    cpu_us: f64,
    added_p50: f64,
    added_p99: f64,
    bare_p99: f64,
    direct_p99: f64,
    failed: f64,
}

async fn at_size(
    plan: &Plan,
    parameters: &RunParameters,
    servers: usize,
) -> Result<ProcessValues, ScaleError> {
    let io = || ScaleError::io(format!("node with a list of {servers} servers"));
    let loopback = Loopback::open(servers).await.map_err(io())?;
    let mut values = ProcessValues {
        list_bytes: loopback.full_list().len() as f64,
        ..ProcessValues::default()
    };
    let mut node =
        Process::start(&plan.node, loopback.discovery(), NodeOptions::default()).map_err(io())?;
    let from = node.started;
    values.ready_s = node
        .wait_until("ready", from, async |node| node.is_ready().await)
        .await
        .map_err(io())?
        .as_secs_f64();
    values.list_complete_s = wait_listed(&mut node, from, servers)
        .await
        .map_err(io())?
        .as_secs_f64();
    let clients = Clients::new(node.listen);
    clients
        .run(target::NODE_REQUESTS_PER_S, Duration::from_millis(500))
        .await;

    // Waits for the work and connections of the load phase to end, so that the node is idle.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (before, started) = (node.cpu_s(), Instant::now());
    tokio::time::sleep(parameters.idle_time).await;
    values.idle_core = (node.cpu_s() - before) / started.elapsed().as_secs_f64() * 100.0;

    measure_updates(
        &loopback,
        parameters,
        &mut node,
        &clients,
        servers,
        &mut values,
    )
    .await
    .map_err(io())?;
    measure_added_latency(plan, parameters, &loopback, &node, &clients, &mut values)
        .await
        .map_err(io())?;
    let (now_mb, peak_mb) = node.memory_mb().unwrap_or_default();
    values.memory_mb = peak_mb;
    check_memory(now_mb)?;
    node.stop().await;
    Ok(values)
}

async fn wait_listed(
    node: &mut Process,
    from: Instant,
    servers: usize,
) -> std::io::Result<Duration> {
    let is_listed =
        async |node: &Process| node.metric("svc_discovered").await == Some(servers as u64);
    node.wait_until(&format!("{servers} servers discovered"), from, is_listed)
        .await
}

/// Measures updates of the list that remove one server or a zone and add it again: the time until the node's metrics
/// show each, and for a zone also the size of the update, the processor time and the slowest response meanwhile.
async fn measure_updates(
    loopback: &Arc<Loopback>,
    parameters: &RunParameters,
    node: &mut Process,
    clients: &Arc<Clients>,
    servers: usize,
    values: &mut ProcessValues,
) -> std::io::Result<()> {
    let (mut changes, mut removed, mut added_again) = (Vec::new(), Vec::new(), Vec::new());
    let zone = loopback.zone();
    for turn in 0..parameters.update_rounds {
        let index = [turn % servers];
        for in_list in [false, true] {
            let from = Instant::now();
            loopback.set_listed(&index, in_list);
            let expected = if in_list { servers } else { servers - 1 };
            changes.push(wait_listed(node, from, expected).await?.as_secs_f64() * 1e3);
        }
        for in_list in [false, true] {
            let from = Instant::now();
            values.zone_bytes = loopback.set_listed(&zone, in_list) as f64;
            let expected = if in_list {
                servers
            } else {
                servers - zone.len()
            };
            let durations = if in_list {
                &mut added_again
            } else {
                &mut removed
            };
            durations.push(wait_listed(node, from, expected).await?.as_secs_f64() * 1e3);
        }
    }
    (
        values.server_change_ms,
        values.zone_removed_ms,
        values.zone_added_ms,
    ) = (median(changes), median(removed), median(added_again));
    // Without polling the metrics: the processor time of the updates themselves, and the slowest response during them.
    let (mut cpu, mut stall) = (Vec::new(), Vec::new());
    for in_list in [false, true, false, true] {
        let before = node.cpu_s();
        loopback.set_listed(&zone, in_list);
        tokio::time::sleep(Duration::from_millis(200)).await;
        clients
            .run(target::NODE_REQUESTS_PER_S, Duration::from_millis(8))
            .await;
        cpu.push((node.cpu_s() - before) * 1e3);
        let load = clients.run(target::NODE_REQUESTS_PER_S, Duration::from_millis(600));
        let change = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            loopback.set_listed(&zone, !in_list);
            tokio::time::sleep(Duration::from_millis(200)).await;
            loopback.set_listed(&zone, in_list);
        };
        let (result, ()) = tokio::join!(load, change);
        stall.push(result.ms(1.0));
    }
    (values.zone_cpu_ms, values.stall_ms) = (median(cpu), median(stall));
    Ok(())
}

/// Loads the node, the bare forwarder and the servers directly, in turn, with the node's share of the peak load.
async fn measure_added_latency(
    plan: &Plan,
    parameters: &RunParameters,
    loopback: &Arc<Loopback>,
    node: &Process,
    clients: &Arc<Clients>,
    values: &mut ProcessValues,
) -> std::io::Result<()> {
    let mut forwarder = Process::start(
        &plan.forwarder,
        loopback.discovery(),
        NodeOptions::default(),
    )?;
    forwarder
        .wait_until(
            "the bare forwarder accepts connections",
            forwarder.started,
            async |forwarder| forwarder.accepts().await,
        )
        .await?;
    let routes = [
        clients.clone(),
        Clients::new(forwarder.listen),
        Clients::new(loopback.server()),
    ];
    for route in &routes {
        route
            .run(target::NODE_REQUESTS_PER_S, parameters.load_phase / 2)
            .await;
    }
    let (mut p50, mut p99, mut bare_p99, mut direct_p99) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let (mut connections, mut requests, mut cpu, mut failed) = (0, 0, 0.0, 0);
    for round in 0..parameters.load_rounds {
        let mut results: [Option<LoadResult>; 3] = [None, None, None];
        // The order rotates, as the state of the machine may favour one position.
        for turn in 0..routes.len() {
            let index = (round + turn) % routes.len();
            let count = || loopback.counts.connections.load(Ordering::Relaxed);
            let before = (count(), node.cpu_s());
            let result = routes[index]
                .run(target::NODE_REQUESTS_PER_S, parameters.load_phase)
                .await;
            if index == 0 {
                connections += count() - before.0;
                cpu += node.cpu_s() - before.1;
                requests += result.requests();
                failed += result.failed;
            }
            results[index] = Some(result);
        }
        let [Some(via_node), Some(via_forwarder), Some(direct)] = &results else {
            continue;
        };
        p50.push(via_node.ms(0.5) - direct.ms(0.5));
        p99.push(via_node.ms(0.99) - direct.ms(0.99));
        bare_p99.push(via_forwarder.ms(0.99) - direct.ms(0.99));
        direct_p99.push(direct.ms(0.99));
    }
    forwarder.stop().await;
    let per_request = requests.max(1) as f64;
    values.connections = connections as f64 / per_request;
    values.cpu_us = cpu * 1e6 / per_request;
    values.failed = failed as f64 / per_request * 100.0;
    (values.added_p50, values.added_p99, values.bare_p99) =
        (median(p50), median(p99), median(bare_p99));
    values.direct_p99 = median(direct_p99);
    Ok(())
}

/// New connections per request of a node in a small group, where a node keeps its idle connections as long as it may.
async fn connections_in_small_group(
    program: &Path,
    parameters: &RunParameters,
    servers: usize,
) -> Result<f64, ScaleError> {
    let io = || {
        ScaleError::io(format!(
            "node in a small group with a list of {servers} servers"
        ))
    };
    let loopback = Loopback::open(servers).await.map_err(io())?;
    let options = NodeOptions {
        nodes: SMALL_GROUP,
        ..NodeOptions::default()
    };
    let mut node = Process::start(program, loopback.discovery(), options).map_err(io())?;
    let from = node.started;
    wait_listed(&mut node, from, servers).await.map_err(io())?;
    let clients = Clients::new(node.listen);
    clients
        .run(target::NODE_REQUESTS_PER_S, parameters.load_phase)
        .await;
    let before = loopback.counts.connections.load(Ordering::Relaxed);
    let result = clients
        .run(target::NODE_REQUESTS_PER_S, parameters.load_phase * 2)
        .await;
    let new = loopback.counts.connections.load(Ordering::Relaxed) - before;
    node.stop().await;
    Ok(new as f64 / result.requests().max(1) as f64)
}

fn processes(values: &[(f64, ProcessValues)]) -> Vec<Measurement> {
    let measurement = |spec: MeasurementSpec, value_of: fn(&ProcessValues) -> f64| {
        let measured: Vec<(f64, f64)> = values
            .iter()
            .map(|(size, values)| (*size, value_of(values)))
            .collect();
        Measurement::new(&spec, &measured)
    };
    let base = MeasurementSpec {
        source: Source::Processes,
        mechanism: WATCH,
        ..BASE
    };
    let computed = MeasurementSpec {
        source: Source::Arithmetic,
        ..base
    };
    let messages = MeasurementSpec {
        aspect: Aspect::Messages,
        ..base
    };
    let latency = MeasurementSpec {
        aspect: Aspect::Latency,
        impact: Impact::Delay,
        ..base
    };
    let added = MeasurementSpec {
        unit: "ms over the servers themselves",
        mechanism: "the node",
        ..latency
    };
    let update_budget = Some(target::UPDATE_WITHIN_MS);
    vec![
        measurement(MeasurementSpec { name: "list-bytes", unit: "bytes of the whole list", ..messages }, |values| values.list_bytes),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Latency,
                name: "list-at-the-rate",
                unit: "s for the whole list at 6 KB/s",
                budget: Some(target::READY_WITHIN_S),
                impact: Impact::Delay,
                ..computed
            },
            |values| values.list_bytes / target::BYTES_PER_S,
        ),
        measurement(MeasurementSpec { name: "zone-bytes", unit: "bytes of the news of a zone", ..messages }, |values| {
            values.zone_bytes
        }),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Latency,
                name: "zone-at-the-rate",
                unit: "s for the news of a zone at 6 KB/s",
                budget: Some(target::UPDATE_WITHIN_MS / 1e3),
                impact: Impact::Delay,
                ..computed
            },
            |values| values.zone_bytes / target::BYTES_PER_S,
        ),
        measurement(
            MeasurementSpec {
                name: "ready",
                unit: "s from the start of the process",
                budget: Some(target::READY_WITHIN_S),
                ..latency
            },
            |values| values.ready_s,
        ),
        measurement(
            MeasurementSpec {
                name: "list-in",
                unit: "s from the start until the whole list is in",
                budget: Some(target::READY_WITHIN_S),
                ..latency
            },
            |values| values.list_complete_s,
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Memory,
                name: "memory",
                unit: "MB at most",
                budget: Some(target::MEMORY_MB),
                ..base
            },
            |values| values.memory_mb,
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Processor,
                name: "idle",
                unit: "% of a core without requests",
                budget: Some(target::CORE_PERCENT),
                mechanism: SWEEP,
                ..base
            },
            |values| values.idle_core,
        ),
        measurement(MeasurementSpec { name: "change-told", unit: "ms, asked each 2 ms", budget: update_budget, ..latency }, |values| {
            values.server_change_ms
        }),
        measurement(MeasurementSpec { name: "zone-lost-told", unit: "ms, asked each 2 ms", budget: update_budget, ..latency }, |values| {
            values.zone_removed_ms
        }),
        measurement(MeasurementSpec { name: "zone-back-told", unit: "ms, asked each 2 ms", budget: update_budget, ..latency }, |values| {
            values.zone_added_ms
        }),
        measurement(
            MeasurementSpec {
                name: "zone-stall",
                unit: "ms of the slowest answer while a zone goes and comes",
                ..latency
            },
            |values| values.stall_ms,
        ),
        measurement(
            MeasurementSpec { aspect: Aspect::Processor, name: "zone-cpu", unit: "ms of the core for a zone", ..base },
            |values| values.zone_cpu_ms,
        ),
        measurement(
            MeasurementSpec {
                name: "connections",
                unit: "new ones a request",
                budget: Some(target::MAX_NEW_CONNECTION_SHARE),
                impact: Impact::Delay,
                mechanism: POOL,
                ..messages
            },
            |values| values.connections,
        ),
        measurement(
            MeasurementSpec {
                name: "connections-kept",
                unit: "new ones a request where the group is told to be 24 and keeps them",
                mechanism: "idle connections by server, kept for 3 s",
                ..messages
            },
            |values| values.connections_small_group,
        ),
        measurement(
            MeasurementSpec {
                name: "handshakes-at-a-server",
                unit: "a second at each of 18,000 servers",
                mechanism: POOL,
                ..MeasurementSpec { aspect: Aspect::Messages, ..computed }
            },
            |values| values.connections * target::PEAK_REQUESTS_PER_S / target::SERVERS as f64,
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Processor,
                name: "request-cpu",
                unit: "us of the core a request",
                mechanism: "the node",
                ..base
            },
            |values| values.cpu_us,
        ),
        measurement(MeasurementSpec { name: "added-p50", ..added }, |values| values.added_p50),
        measurement(MeasurementSpec { name: "added-p99", budget: Some(target::ADDED_P99_MS), ..added }, |values| values.added_p99),
        measurement(
            MeasurementSpec { name: "added-p99-bare", mechanism: "the bare forwarder, for comparison", ..added },
            |values| values.bare_p99,
        ),
        measurement(
            MeasurementSpec {
                name: "direct-p99",
                unit: "ms at the servers themselves: what this machine adds",
                mechanism: "-",
                ..latency
            },
            |values| values.direct_p99,
        ),
        measurement(
            MeasurementSpec {
                name: "added-p99-between-zones",
                unit: "ms, with a handshake of one round trip between zones where more than 1 % pay one",
                budget: Some(target::ADDED_P99_MS),
                source: Source::Arithmetic,
                mechanism: POOL,
                ..latency
            },
            |values| {
                let pays = values.connections > target::MAX_NEW_CONNECTION_SHARE;
                values.added_p99 + if pays { target::ZONE_ROUND_TRIP_MS } else { 0.0 }
            },
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::State,
                name: "unserved",
                unit: "% of the requests under the load without an answer of 200",
                mechanism: "the node",
                ..base
            },
            |values| values.failed,
        ),
    ]
}
