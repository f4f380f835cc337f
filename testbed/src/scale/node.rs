//! Measures one node: a real process with a list of growing length, under its share of the peak, beside a bare forwarder
//! with the same list and beside the same clients at the servers themselves.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::load::{Clients, Spell};
use super::loopback::Loopback;
use super::process::{Process, Told};
use super::results::{About, Aspect, Loss, Measurement, Source};
use super::{check_memory, decisions, middle, target, Effort, Plan, ScaleError};

const ROLE: &str = "node";
/// A group of this size keeps its connections to servers.
const KEEPERS: usize = 24;
pub(super) const TABLE: &str =
    "one slot table, of 16,381 slots to 2,047 servers and at least eight a server beyond, then built bit by bit";
const WATCH: &str = "the watch on discovery: the whole list, then what changes";
const POOL: &str = "idle connections by server, closed after each answer where nodes are many";
pub(super) const LOOK_OVER: &str = "the look-over of all servers, ten times a second";

/// The figures of the role.
pub async fn measure(
    plan: &Plan,
    effort: &Effort,
    told: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    let mut measurements = decisions::measure(effort, told);
    let mut seen = Vec::new();
    for &servers in effort.servers {
        told(&format!("node: a list of {servers}"));
        let process = at_size(plan, effort, servers).await?;
        told(&format!("node: a list of {servers}, connections kept"));
        let kept = kept_connections(&plan.node, effort, servers).await?;
        seen.push((servers as f64, Seen { kept, ..process }));
    }
    measurements.extend(processes(&seen));
    Ok(measurements)
}

pub(super) const BASE: About = About {
    role: ROLE,
    aspect: Aspect::State,
    name: "",
    unit: "",
    of: "servers",
    source: Source::Module,
    target: target::SERVERS as f64,
    budget: None,
    loss: Loss::Room,
    carried_by: TABLE,
};

/// What one process showed at one size.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    list_bytes: f64,
    ready_s: f64,
    list_in_s: f64,
    memory_mb: f64,
    idle_core: f64,
    change_ms: f64,
    zone_bytes: f64,
    lost_ms: f64,
    back_ms: f64,
    zone_cpu_ms: f64,
    stall_ms: f64,
    connections: f64,
    kept: f64,
    cpu_us: f64,
    added_p50: f64,
    added_p99: f64,
    bare_p99: f64,
    direct_p99: f64,
    unserved: f64,
}

async fn at_size(plan: &Plan, effort: &Effort, servers: usize) -> Result<Seen, ScaleError> {
    let io = || ScaleError::io(format!("a node with a list of {servers}"));
    let world = Loopback::open(servers).await.map_err(io())?;
    let mut seen = Seen {
        list_bytes: world.whole().len() as f64,
        ..Seen::default()
    };
    let mut node = Process::start(&plan.node, world.discovery(), Told::default()).map_err(io())?;
    let from = node.started;
    seen.ready_s = node
        .until("ready", from, async |node| node.is_ready().await)
        .await
        .map_err(io())?
        .as_secs_f64();
    seen.list_in_s = listed(&mut node, from, servers)
        .await
        .map_err(io())?
        .as_secs_f64();
    let clients = Clients::new(node.listen);
    clients
        .spell(target::NODE_RATE, Duration::from_millis(500))
        .await;

    // At rest: what is kept by the spell before has gone.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (before, began) = (node.cpu_s(), Instant::now());
    tokio::time::sleep(effort.rest).await;
    seen.idle_core = (node.cpu_s() - before) / began.elapsed().as_secs_f64() * 100.0;

    news(&world, effort, &mut node, &clients, servers, &mut seen)
        .await
        .map_err(io())?;
    against(plan, effort, &world, &node, &clients, &mut seen)
        .await
        .map_err(io())?;
    let (now_mb, most_mb) = node.memory_mb().unwrap_or_default();
    seen.memory_mb = most_mb;
    check_memory(now_mb)?;
    node.end().await;
    Ok(seen)
}

async fn listed(node: &mut Process, from: Instant, servers: usize) -> std::io::Result<Duration> {
    let has = async |node: &Process| node.figure("svc_discovered").await == Some(servers as u64);
    node.until(&format!("{servers} listed"), from, has).await
}

/// One server and a zone go from the list and come back.
async fn news(
    world: &Arc<Loopback>,
    effort: &Effort,
    node: &mut Process,
    clients: &Arc<Clients>,
    servers: usize,
    seen: &mut Seen,
) -> std::io::Result<()> {
    let (mut changes, mut lost, mut back) = (Vec::new(), Vec::new(), Vec::new());
    let zone = world.zone();
    for turn in 0..effort.news {
        let place = [turn % servers];
        for there in [false, true] {
            let from = Instant::now();
            world.change(&place, there);
            let wanted = if there { servers } else { servers - 1 };
            changes.push(listed(node, from, wanted).await?.as_secs_f64() * 1e3);
        }
        for there in [false, true] {
            let from = Instant::now();
            seen.zone_bytes = world.change(&zone, there) as f64;
            let wanted = if there { servers } else { servers - zone.len() };
            let spans = if there { &mut back } else { &mut lost };
            spans.push(listed(node, from, wanted).await?.as_secs_f64() * 1e3);
        }
    }
    (seen.change_ms, seen.lost_ms, seen.back_ms) = (middle(changes), middle(lost), middle(back));
    // Without questions between: what the news themselves cost, and how long clients stand still for them.
    let (mut cpu, mut stall) = (Vec::new(), Vec::new());
    for there in [false, true, false, true] {
        let before = node.cpu_s();
        world.change(&zone, there);
        tokio::time::sleep(Duration::from_millis(200)).await;
        clients
            .spell(target::NODE_RATE, Duration::from_millis(8))
            .await;
        cpu.push((node.cpu_s() - before) * 1e3);
        let load = clients.spell(target::NODE_RATE, Duration::from_millis(600));
        let change = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            world.change(&zone, !there);
            tokio::time::sleep(Duration::from_millis(200)).await;
            world.change(&zone, there);
        };
        let (spell, ()) = tokio::join!(load, change);
        stall.push(spell.ms(1.0));
    }
    (seen.zone_cpu_ms, seen.stall_ms) = (middle(cpu), middle(stall));
    Ok(())
}

/// The node, the bare forwarder and the servers themselves by turns, under the node's share of the peak.
async fn against(
    plan: &Plan,
    effort: &Effort,
    world: &Arc<Loopback>,
    node: &Process,
    clients: &Arc<Clients>,
    seen: &mut Seen,
) -> std::io::Result<()> {
    let mut bare = Process::start(&plan.forwarder, world.discovery(), Told::default())?;
    bare.until(
        "the forwarder takes connections",
        bare.started,
        async |bare| bare.accepts().await,
    )
    .await?;
    let parties = [
        clients.clone(),
        Clients::new(bare.listen),
        Clients::new(world.server()),
    ];
    for party in &parties {
        party.spell(target::NODE_RATE, effort.turn / 2).await;
    }
    let (mut p50, mut p99, mut bare_p99, mut direct_p99) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let (mut connections, mut requests, mut cpu, mut unserved) = (0, 0, 0.0, 0);
    for round in 0..effort.rounds {
        let mut spells: [Option<Spell>; 3] = [None, None, None];
        // Who goes first changes, as the first may find a warmer or colder machine.
        for turn in 0..parties.len() {
            let at = (round + turn) % parties.len();
            let count = || world.served.connections.load(Ordering::Relaxed);
            let before = (count(), node.cpu_s());
            let spell = parties[at].spell(target::NODE_RATE, effort.turn).await;
            if at == 0 {
                connections += count() - before.0;
                cpu += node.cpu_s() - before.1;
                requests += spell.requests();
                unserved += spell.unserved;
            }
            spells[at] = Some(spell);
        }
        let [Some(by_node), Some(by_bare), Some(direct)] = &spells else {
            continue;
        };
        p50.push(by_node.ms(0.5) - direct.ms(0.5));
        p99.push(by_node.ms(0.99) - direct.ms(0.99));
        bare_p99.push(by_bare.ms(0.99) - direct.ms(0.99));
        direct_p99.push(direct.ms(0.99));
    }
    bare.end().await;
    let each = requests.max(1) as f64;
    seen.connections = connections as f64 / each;
    seen.cpu_us = cpu * 1e6 / each;
    seen.unserved = unserved as f64 / each * 100.0;
    (seen.added_p50, seen.added_p99, seen.bare_p99) = (middle(p50), middle(p99), middle(bare_p99));
    seen.direct_p99 = middle(direct_p99);
    Ok(())
}

/// New connections a request of a node in a small group, which keeps its connections for as long as it may.
async fn kept_connections(
    program: &Path,
    effort: &Effort,
    servers: usize,
) -> Result<f64, ScaleError> {
    let io = || ScaleError::io(format!("a node of few with a list of {servers}"));
    let world = Loopback::open(servers).await.map_err(io())?;
    let told = Told {
        nodes: KEEPERS,
        ..Told::default()
    };
    let mut node = Process::start(program, world.discovery(), told).map_err(io())?;
    let from = node.started;
    listed(&mut node, from, servers).await.map_err(io())?;
    let clients = Clients::new(node.listen);
    clients.spell(target::NODE_RATE, effort.turn).await;
    let before = world.served.connections.load(Ordering::Relaxed);
    let spell = clients.spell(target::NODE_RATE, effort.turn * 2).await;
    let new = world.served.connections.load(Ordering::Relaxed) - before;
    node.end().await;
    Ok(new as f64 / spell.requests().max(1) as f64)
}

fn processes(seen: &[(f64, Seen)]) -> Vec<Measurement> {
    let measurement = |about: About, of: fn(&Seen) -> f64| {
        let measured: Vec<(f64, f64)> = seen.iter().map(|(size, seen)| (*size, of(seen))).collect();
        Measurement::new(&about, &measured)
    };
    let base = About {
        source: Source::Processes,
        carried_by: WATCH,
        ..BASE
    };
    let reckoned = About {
        source: Source::Arithmetic,
        ..base
    };
    let messages = About {
        aspect: Aspect::Messages,
        ..base
    };
    let latency = About {
        aspect: Aspect::Latency,
        loss: Loss::Time,
        ..base
    };
    let added = About {
        unit: "ms over the servers themselves",
        carried_by: "the node",
        ..latency
    };
    let told = Some(target::TOLD_MS);
    vec![
        measurement(About { name: "list-bytes", unit: "bytes of the whole list", ..messages }, |s| s.list_bytes),
        measurement(
            About {
                aspect: Aspect::Latency,
                name: "list-at-the-rate",
                unit: "s for the whole list at 6 KB/s",
                budget: Some(target::READY_S),
                loss: Loss::Time,
                ..reckoned
            },
            |s| s.list_bytes / target::BYTES_A_SECOND,
        ),
        measurement(About { name: "zone-bytes", unit: "bytes of the news of a zone", ..messages }, |s| {
            s.zone_bytes
        }),
        measurement(
            About {
                aspect: Aspect::Latency,
                name: "zone-at-the-rate",
                unit: "s for the news of a zone at 6 KB/s",
                budget: Some(target::TOLD_MS / 1e3),
                loss: Loss::Time,
                ..reckoned
            },
            |s| s.zone_bytes / target::BYTES_A_SECOND,
        ),
        measurement(
            About {
                name: "ready",
                unit: "s from the start of the process",
                budget: Some(target::READY_S),
                ..latency
            },
            |s| s.ready_s,
        ),
        measurement(
            About {
                name: "list-in",
                unit: "s from the start until the whole list is in",
                budget: Some(target::READY_S),
                ..latency
            },
            |s| s.list_in_s,
        ),
        measurement(
            About {
                aspect: Aspect::Memory,
                name: "memory",
                unit: "MB at most",
                budget: Some(target::MEMORY_MB),
                ..base
            },
            |s| s.memory_mb,
        ),
        measurement(
            About {
                aspect: Aspect::Processor,
                name: "idle",
                unit: "% of a core without requests",
                budget: Some(target::CORE),
                carried_by: LOOK_OVER,
                ..base
            },
            |s| s.idle_core,
        ),
        measurement(About { name: "change-told", unit: "ms, asked each 2 ms", budget: told, ..latency }, |s| {
            s.change_ms
        }),
        measurement(About { name: "zone-lost-told", unit: "ms, asked each 2 ms", budget: told, ..latency }, |s| {
            s.lost_ms
        }),
        measurement(About { name: "zone-back-told", unit: "ms, asked each 2 ms", budget: told, ..latency }, |s| {
            s.back_ms
        }),
        measurement(
            About {
                name: "zone-stall",
                unit: "ms of the slowest answer while a zone goes and comes",
                ..latency
            },
            |s| s.stall_ms,
        ),
        measurement(
            About { aspect: Aspect::Processor, name: "zone-cpu", unit: "ms of the core for a zone", ..base },
            |s| s.zone_cpu_ms,
        ),
        measurement(
            About {
                name: "connections",
                unit: "new ones a request",
                budget: Some(target::NEW_CONNECTIONS),
                loss: Loss::Time,
                carried_by: POOL,
                ..messages
            },
            |s| s.connections,
        ),
        measurement(
            About {
                name: "connections-kept",
                unit: "new ones a request where the group is told to be 24 and keeps them",
                carried_by: "idle connections by server, kept for 3 s",
                ..messages
            },
            |s| s.kept,
        ),
        measurement(
            About {
                name: "handshakes-at-a-server",
                unit: "a second at each of 18,000 servers",
                carried_by: POOL,
                ..About { aspect: Aspect::Messages, ..reckoned }
            },
            |s| s.connections * target::PEAK / target::SERVERS as f64,
        ),
        measurement(
            About {
                aspect: Aspect::Processor,
                name: "request-cpu",
                unit: "us of the core a request",
                carried_by: "the node",
                ..base
            },
            |s| s.cpu_us,
        ),
        measurement(About { name: "added-p50", ..added }, |s| s.added_p50),
        measurement(About { name: "added-p99", budget: Some(target::ADDED_MS), ..added }, |s| s.added_p99),
        measurement(
            About { name: "added-p99-bare", carried_by: "the bare forwarder, for comparison", ..added },
            |s| s.bare_p99,
        ),
        measurement(
            About {
                name: "direct-p99",
                unit: "ms at the servers themselves: what this machine adds",
                carried_by: "-",
                ..latency
            },
            |s| s.direct_p99,
        ),
        measurement(
            About {
                name: "added-p99-between-zones",
                unit: "ms, with a handshake of one round trip between zones where more than 1 % pay one",
                budget: Some(target::ADDED_MS),
                source: Source::Arithmetic,
                carried_by: POOL,
                ..latency
            },
            |s| {
                let pays = s.connections > target::NEW_CONNECTIONS;
                s.added_p99 + if pays { target::BETWEEN_ZONES_MS } else { 0.0 }
            },
        ),
        measurement(
            About {
                aspect: Aspect::State,
                name: "unserved",
                unit: "% of the requests under the load without an answer of 200",
                carried_by: "the node",
                ..base
            },
            |s| s.unserved,
        ),
    ]
}
