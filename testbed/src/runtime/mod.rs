//! Runs a scenario on real sockets: starts node processes and simulates the servers, clients, front ends
//! and discovery around them on loopback. This module does the I/O, the waiting and the signalling. The
//! world decides how each simulated party behaves, and the invariant checker is given what the nodes did.

mod clients;
mod config;
mod deploy;
mod discovery;
pub(crate) mod http;
mod nodes;
mod operator;
mod reservation;
mod run_state;
mod servers;
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
pub use reservation::Reservation;
pub use run_state::RunState;

/// Time for all nodes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the last requests to end, counted from the longest deadline after the end of the load. Requests that take
/// longer are still awaited, but without progress reports.
const DRAIN_TIME: Duration = Duration::from_millis(700);

/// A run on real sockets.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The scenario to run.
    pub scenario: Scenario,
    /// Seed of the simulated world.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of servers at the start.
    pub servers: usize,
    /// Seconds of load.
    pub seconds: f64,
    /// Shell command that starts a node.
    pub command: String,
    /// Working directory of that command.
    pub root: PathBuf,
    /// Folder that keeps the nodes' logs; without one they are deleted after the run.
    pub logs: Option<PathBuf>,
}

/// Error that ends a run early.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A socket, file or process of the testbed's own failed.
    #[error("{what}: {error}")]
    Io {
        /// What the operation was for.
        what: String,
        /// The underlying error.
        error: std::io::Error,
    },
    /// A node did not become ready in time.
    #[error("node n{node} was not ready within {seconds} s{log}")]
    NotReady {
        /// Number of the node, from 1.
        node: usize,
        /// Time that it had, in seconds.
        seconds: u64,
        /// The last lines of its log, if its process has ended.
        log: String,
    },
    /// SIGINT, SIGTERM or SIGHUP was received.
    #[error("stopped by a signal; all node processes were ended")]
    Stopped,
}

impl RunError {
    fn io(what: impl Into<String>, error: std::io::Error) -> RunError {
        RunError::Io {
            what: what.into(),
            error,
        }
    }
}

/// Runs a plan to its end. `live` is called about four times a second.
pub async fn run(plan: Plan, mut live: impl FnMut(&RunState)) -> Result<Outcome, RunError> {
    let world = World::new(&plan.scenario, plan.seed, plan.nodes, plan.servers);
    let demand = Demand::new(&plan.scenario, plan.seed, world.capacity(), plan.seconds);
    let front_end = FrontEnd::for_scenario(&plan.scenario, plan.nodes);
    let checker = InvariantChecker::new(&plan.scenario, plan.nodes);
    let (run_state, commands) = RunState::new(world, checker, front_end, plan.nodes);
    let run_state = Arc::new(run_state);
    let rate = demand.rate();
    let scratch = tempfile::Builder::new()
        .prefix("balancer-testbed-")
        .tempdir()
        .map_err(|error| RunError::io("cannot create a folder for the nodes", error))?;
    let servers = servers::Servers::new(run_state.clone(), plan.nodes, &plan.scenario);
    servers
        .open_all()
        .map_err(|error| RunError::io("cannot open the servers' addresses", error))?;
    let agents = discovery::Agents::open(run_state.clone(), servers.clone(), plan.nodes)
        .map_err(|error| RunError::io("cannot open the discovery agents' addresses", error))?;
    let inherit_listener = plan
        .scenario
        .faults
        .iter()
        .any(|fault| fault.get_ref().kind == FaultKind::Upgrade);
    let fleet = nodes::Fleet::start(
        &plan,
        inherit_listener,
        scratch.path(),
        &run_state,
        &agents,
        commands,
    )?;
    let result = tokio::select! {
        result = drive_load(&plan, &run_state, &servers, &fleet, demand, &mut live) => result,
        () = stop_signal() => Err(RunError::Stopped),
    };
    let nodes = fleet.end().await;
    let (lateness, resent_after_close) = result?;
    let checker = run_state.take_checker();
    let servers = run_state.with_world(|world, _, _| world.servers().len());
    Ok(Outcome {
        checker,
        nodes,
        lateness: Some(lateness),
        rate,
        servers,
        resent_after_close,
        warnings: run_state.take_warnings(),
    })
}

async fn drive_load(
    plan: &Plan,
    run_state: &Arc<RunState>,
    servers: &Arc<servers::Servers>,
    fleet: &nodes::Fleet,
    demand: Demand,
    live: &mut impl FnMut(&RunState),
) -> Result<([Micros; 3], u64), RunError> {
    let mut tasks = JoinSet::new();
    for node in 0..plan.nodes {
        tasks.spawn(clients::watch_ready(
            run_state.clone(),
            node,
            fleet.listen(node),
        ));
    }
    fleet.ready(READY_TIMEOUT).await?;
    run_state.start_load();
    let (started, mut starting) = mpsc::unbounded_channel();
    tasks.spawn(run_state::drive_world(run_state.clone(), started));
    let listeners = servers.clone();
    tasks.spawn(async move {
        while let Some(server) = starting.recv().await {
            listeners.open(server);
        }
    });
    let addresses = (0..plan.nodes).map(|node| fleet.listen(node)).collect();
    let zones = plan.scenario.fleet.zones.len();
    let class_names = plan.scenario.class_names();
    let load = clients::LoadGenerator::new(
        run_state.clone(),
        addresses,
        class_names,
        zones,
        plan.scenario.run.descriptor_limit / 3,
    );
    tasks.spawn(load.clone().check_drains());
    let longest_deadline_ms = plan
        .scenario
        .load
        .class
        .iter()
        .map(|class| class.deadline_ms.0)
        .fold(0.0, f64::max);
    let end = Duration::from_secs_f64(plan.seconds + longest_deadline_ms / 1e3) + DRAIN_TIME;
    let load = load.run(demand);
    tokio::pin!(load);
    let deadline = tokio::time::sleep(end);
    tokio::pin!(deadline);
    let mut ticks = tokio::time::interval(Duration::from_millis(250));
    loop {
        tokio::select! {
            done = &mut load => return Ok(done),
            () = &mut deadline => return Ok((&mut load).await),
            _ = ticks.tick() => live(run_state),
        }
    }
}

/// Resolves on SIGINT, SIGTERM or SIGHUP.
async fn stop_signal() {
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
