//! Owns the host on real sockets: it starts node processes and plays the world round them on loopback.
//! It moves bytes, waits and sends signals; what a server, client, front or list does is asked of the
//! world, and what a node did is told to the referee.

mod clients;
mod config;
mod deploy;
mod discovery;
pub(crate) mod http;
mod nodes;
mod operator;
mod reserve;
mod servers;
mod stage;
mod usage;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::checker::InvariantChecker;
use crate::outcome::Outcome;
use crate::scenario::{FaultKind, Scenario};
use crate::world::{Demand, FrontEnd, Micros, World};

pub use deploy::{Deploy, DeployError};
pub use reserve::Reservation;
pub use stage::Stage;

/// Time for the nodes to say that they are ready.
const START: Duration = Duration::from_secs(30);
/// After the load, requests still have this long beyond the longest deadline.
const TAIL: Duration = Duration::from_millis(700);

/// What is to be played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The scenario.
    pub scenario: Scenario,
    /// Its seed.
    pub seed: u64,
    /// How many nodes.
    pub nodes: usize,
    /// How many servers at the start.
    pub servers: usize,
    /// Seconds of load.
    pub seconds: f64,
    /// How a node is started, for a shell.
    pub command: String,
    /// Where it is started.
    pub root: PathBuf,
    /// Where the nodes' logs are kept, if they are.
    pub logs: Option<PathBuf>,
}

/// Why a play could not be finished.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A socket or file of the lab's own.
    #[error("{what}: {error}")]
    Io {
        /// What for.
        what: String,
        /// Why.
        error: std::io::Error,
    },
    /// A node did not come up.
    #[error("node n{node} was not ready within {seconds} s{log}")]
    NotReady {
        /// Place of the node.
        node: usize,
        /// How long it had.
        seconds: u64,
        /// The end of its log.
        log: String,
    },
    /// SIGINT or SIGTERM.
    #[error("stopped by a signal; the nodes were ended")]
    Stopped,
}

impl HostError {
    fn io(what: impl Into<String>, error: std::io::Error) -> HostError {
        HostError::Io {
            what: what.into(),
            error,
        }
    }
}

/// Plays a plan to its end. `live` is called about four times a second.
pub async fn play(plan: Plan, mut live: impl FnMut(&Stage)) -> Result<Outcome, HostError> {
    let world = World::new(&plan.scenario, plan.seed, plan.nodes, plan.servers);
    let demand = Demand::new(&plan.scenario, plan.seed, world.capacity(), plan.seconds);
    let front = FrontEnd::for_scenario(&plan.scenario, plan.nodes);
    let referee = InvariantChecker::new(&plan.scenario, plan.nodes);
    let (stage, orders) = Stage::new(world, referee, front, plan.nodes);
    let stage = Arc::new(stage);
    let rate = demand.rate();
    let scratch = tempfile::Builder::new()
        .prefix("balancer-testbed-")
        .tempdir()
        .map_err(|error| HostError::io("a folder for the nodes", error))?;
    let servers = servers::Servers::new(stage.clone(), plan.nodes, &plan.scenario);
    servers
        .open_all()
        .map_err(|error| HostError::io("the servers' addresses", error))?;
    let agents = discovery::Agents::open(stage.clone(), servers.clone(), plan.nodes)
        .map_err(|error| HostError::io("discovery's addresses", error))?;
    let hand_over = plan
        .scenario
        .faults
        .iter()
        .any(|t| t.get_ref().kind == FaultKind::Upgrade);
    let fleet = nodes::Fleet::start(&plan, hand_over, scratch.path(), &stage, &agents, orders)?;
    let played = tokio::select! {
        played = perform(&plan, &stage, &servers, &fleet, demand, &mut live) => played,
        () = signalled() => Err(HostError::Stopped),
    };
    let nodes = fleet.end().await;
    let (lateness, crossed) = played?;
    let referee = stage.take_referee();
    let servers = stage.world(|world, _, _| world.servers().len());
    Ok(Outcome {
        checker: referee,
        nodes,
        lateness: Some(lateness),
        rate,
        servers,
        resent_after_close: crossed,
        warnings: stage.take_faults(),
    })
}

async fn perform(
    plan: &Plan,
    stage: &Arc<Stage>,
    servers: &Arc<servers::Servers>,
    fleet: &nodes::Fleet,
    demand: Demand,
    live: &mut impl FnMut(&Stage),
) -> Result<([Micros; 3], u64), HostError> {
    let mut parts = JoinSet::new();
    for node in 0..plan.nodes {
        parts.spawn(clients::watch_ready(
            stage.clone(),
            node,
            fleet.listen(node),
        ));
    }
    fleet.ready(START).await?;
    stage.begin();
    let (opened, mut to_open) = mpsc::unbounded_channel();
    parts.spawn(stage::pulse(stage.clone(), opened));
    let opener = servers.clone();
    parts.spawn(async move {
        while let Some(server) = to_open.recv().await {
            opener.open(server);
        }
    });
    let addresses = (0..plan.nodes).map(|node| fleet.listen(node)).collect();
    let zones = plan.scenario.fleet.zones.len();
    let names = plan.scenario.class_names();
    let load = clients::Load::new(
        stage.clone(),
        addresses,
        names,
        zones,
        plan.scenario.run.descriptor_limit / 3,
    );
    parts.spawn(load.clone().judge_drains());
    let longest = plan
        .scenario
        .load
        .class
        .iter()
        .map(|class| class.deadline_ms.0)
        .fold(0.0, f64::max);
    let end = Duration::from_secs_f64(plan.seconds + longest / 1e3) + TAIL;
    let load = load.run(demand);
    tokio::pin!(load);
    let deadline = tokio::time::sleep(end);
    tokio::pin!(deadline);
    let mut ticks = tokio::time::interval(Duration::from_millis(250));
    loop {
        tokio::select! {
            done = &mut load => return Ok(done),
            () = &mut deadline => return Ok((&mut load).await),
            _ = ticks.tick() => live(stage),
        }
    }
}

/// Resolves when the lab is told to stop.
async fn signalled() {
    use tokio::signal::unix::{signal, SignalKind};
    let wait = |kind| async move {
        match signal(kind) {
            Ok(mut signals) => {
                signals.recv().await;
            }
            Err(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        () = wait(SignalKind::interrupt()) => {}
        () = wait(SignalKind::terminate()) => {}
        () = wait(SignalKind::hangup()) => {}
    }
}
