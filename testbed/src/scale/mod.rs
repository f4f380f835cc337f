//! Capacity runs: measure what grows with the fleet at increasing sizes and compare it with budgets at the size of the
//! target fleet. `balancer` drives the node's decision code alone and `decisions` measures it; `loopback`, `process` and
//! `load` provide discovery, servers, processes and clients for the real node that `node` and `configuration` measure.
//! `agent` simulates cluster membership in virtual time; `control` simulates the replicated log, leases, operator commands
//! and fleet metrics. `fit` and `results` evaluate the values; `page` writes the tables of `docs/CAPACITY.md`.

mod agent;
mod balancer;
mod configuration;
mod control;
mod decisions;
mod fit;
mod load;
mod loopback;
mod node;
pub mod page;
mod process;
pub mod results;
mod target;

use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use procfs::{Current, LoadAverage, Meminfo};

use results::{Machine, Results};

/// Component that is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq, clap::ValueEnum)]
pub enum Role {
    /// One load balancer node.
    Node,
    /// Cluster membership among agents, in virtual time.
    Agent,
    /// Delivery of configuration to nodes.
    Configuration,
    /// Replicated log, leases, operator commands and fleet metrics, in virtual time.
    Control,
}

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Whether to measure only two sizes with short simulations, for CI.
    pub quick: bool,
    /// The only role to measure; all roles if absent.
    pub only: Option<Role>,
    /// Path of the node's executable.
    pub node: PathBuf,
    /// Path of the executable of the bare forwarder, the baseline for added latency.
    pub forwarder: PathBuf,
    /// Path of the agent's executable.
    pub agent: PathBuf,
}

/// Reason why a run was aborted.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// Failure of a socket, file or process.
    #[error("{context}: {error}")]
    Io {
        /// Operation or component that failed.
        context: String,
        /// Underlying error.
        error: std::io::Error,
    },
    /// The run uses more than half of the machine's memory.
    #[error(
        "run aborted: it uses {used_mb:.0} MB, more than half of this machine's {all_mb:.0} MB"
    )]
    Memory {
        /// Memory used by the run and its processes.
        used_mb: f64,
        /// Memory of the machine.
        all_mb: f64,
    },
    /// System information under `/proc` can't be read.
    #[error("cannot read system information from /proc: {0}")]
    System(#[from] procfs::ProcError),
}

impl ScaleError {
    fn io(context: impl Into<String>) -> impl FnOnce(std::io::Error) -> ScaleError {
        let context = context.into();
        |error| ScaleError::Io { context, error }
    }
}

/// Sizes, durations and repetitions of a run.
#[derive(Clone, Copy, Debug)]
struct RunParameters {
    /// Lengths of the endpoint list given to real nodes.
    servers: &'static [usize],
    /// Lengths of the endpoint list for which the decision code is timed.
    timed_servers: &'static [usize],
    /// Lengths of the endpoint list for which slots per server are counted.
    slot_servers: &'static [usize],
    /// Numbers of nodes over which retries and in-flight attempts are summed.
    nodes: &'static [usize],
    /// Numbers of services with a slot table each.
    services: &'static [usize],
    /// Numbers of tenants in a node's configuration.
    tenants: &'static [usize],
    /// Numbers of configuration changes applied by SIGHUP.
    changes: &'static [usize],
    /// Numbers of voters of the replicated log.
    voters: &'static [usize],
    /// Round trips in ms, the same between all voters.
    round_trips_ms: &'static [usize],
    /// Durations of a synced write, in microseconds.
    sync_writes_us: &'static [usize],
    /// Numbers of agents, with nine voters among them.
    agents: &'static [usize],
    /// Numbers of voters run as processes; the agent's configuration accepts at most seven.
    real_voters: &'static [usize],
    /// Whether processes of all sizes run at the same time, which is faster but distorts the measurements.
    real_concurrently: bool,
    /// Numbers of agents run as processes.
    real_agents: &'static [usize],
    /// Numbers of cordoned servers.
    cordoned: &'static [usize],
    /// Lengths of a cordon's reason, in bytes.
    reason_bytes: &'static [usize],
    /// Numbers of lease roles held.
    roles_held: &'static [usize],
    /// Numbers of servers of one zone to cordon.
    zone_cordons: &'static [usize],
    /// Seconds of virtual time for which the log is loaded.
    log_s: u64,
    /// Seconds of virtual time for which leases are observed.
    lease_s: u64,
    /// Seconds of virtual time, or of real time with processes, for which commands are submitted.
    command_s: u64,
    /// Seconds of virtual time for which fleet metrics are collected.
    metrics_s: u64,
    /// Upper end of the search for the highest command rate, in commands per second.
    max_rate: f64,
    /// Commands that each voter keeps open under overload.
    open_commands: usize,
    /// Non-voters that submit commands without pause.
    saturating_agents: usize,
    /// Number of leader failures after each of which an election is timed.
    elections: u64,
    /// Commands submitted one after the other to time their commits.
    sequential_commands: usize,
    /// Numbers of members in a fleet in one region.
    members: &'static [usize],
    /// Numbers of members in a fleet spread over regions.
    regional_members: &'static [usize],
    /// Seconds of virtual time for which idle members are observed.
    idle_s: u64,
    /// Repetitions of timed code, of which the median counts.
    timed_runs: usize,
    /// Times that one server, and one zone, is removed and added again.
    update_rounds: usize,
    /// Rounds in which node, bare forwarder and servers are loaded in turn.
    load_rounds: usize,
    /// Duration of one load phase.
    load_phase: Duration,
    /// Time for which an idle node is observed.
    idle_time: Duration,
    /// Requests whose decisions are timed.
    requests: u64,
    /// Seconds of virtual time simulated with a failed zone.
    dead_zone_s: u64,
}

const FULL: RunParameters = RunParameters {
    servers: &[10, 100, 1_000, 4_000, target::SERVERS],
    timed_servers: &[10, 100, 1_000, 4_000, 9_000, target::SERVERS],
    slot_servers: &[10, 100, 1_000, 4_000, 9_000, target::SERVERS],
    nodes: &[10, 100, 500, target::NODES],
    services: &[10, 100, 400, target::SERVICES],
    tenants: &[10, 1_000, 10_000, target::TENANTS],
    changes: &[1, 2, 4, 8],
    voters: &[3, 5, 7, target::VOTERS],
    round_trips_ms: &[5, 25, 50, 100, 150, 200, target::MAX_ROUND_TRIP_MS as usize],
    sync_writes_us: &[500, 1_000, 2_000, 4_000, 8_000],
    agents: &[30, 100, 400, 1_000, target::NODES],
    cordoned: &[10, 100, 300, target::MAX_CORDONED],
    real_voters: &[3, 5, 7],
    real_concurrently: false,
    real_agents: &[5, 10, 20, 40],
    reason_bytes: &[10, 200, 400, 600, 800],
    roles_held: &[0, 1, 2, 3],
    zone_cordons: &[10, 100, 500, 1_000, target::ZONE_SERVERS],
    log_s: 10,
    lease_s: 300,
    command_s: 10,
    metrics_s: 60,
    max_rate: 4_096.0,
    open_commands: 64,
    saturating_agents: 400,
    elections: 51,
    sequential_commands: 20,
    members: &[30, 100, 200, 400],
    regional_members: &[28, 56, 98, 154],
    idle_s: 10,
    timed_runs: 31,
    update_rounds: 9,
    load_rounds: 5,
    load_phase: Duration::from_secs(4),
    idle_time: Duration::from_secs(5),
    requests: 20_000,
    dead_zone_s: 30,
};

const QUICK: RunParameters = RunParameters {
    servers: &[10, target::SERVERS],
    timed_servers: &[10, 1_000],
    slot_servers: &[10, target::SERVERS],
    nodes: &[2, 10],
    services: &[10, 100],
    tenants: &[10, target::TENANTS],
    changes: &[1, 2],
    voters: &[3, 5],
    round_trips_ms: &[5, 50],
    sync_writes_us: &[1_000, 4_000],
    agents: &[10, 30],
    cordoned: &[10, 100],
    real_voters: &[3, 5],
    real_concurrently: true,
    real_agents: &[4, 8],
    reason_bytes: &[10, 800],
    roles_held: &[0, 3],
    zone_cordons: &[10, target::ZONE_SERVERS],
    log_s: 1,
    lease_s: 2,
    command_s: 1,
    metrics_s: 10,
    max_rate: 8.0,
    open_commands: 2,
    saturating_agents: 20,
    elections: 2,
    sequential_commands: 2,
    members: &[10, 30],
    regional_members: &[14, 28],
    idle_s: 2,
    timed_runs: 3,
    update_rounds: 2,
    load_rounds: 1,
    load_phase: Duration::from_secs(1),
    idle_time: Duration::from_secs(1),
    requests: 500,
    dead_zone_s: 4,
};

/// Measures the selected roles; `progress` is called with the step that starts.
pub async fn run(plan: &Plan, mut progress: impl FnMut(&str)) -> Result<Results, ScaleError> {
    let parameters = if plan.quick { QUICK } else { FULL };
    let (started, load_before) = (Instant::now(), LoadAverage::current()?.one);
    let began_s = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs());
    let selected = |role| plan.only.is_none_or(|only| only == role);
    let mut measurements = Vec::new();
    if selected(Role::Node) {
        measurements.extend(node::measure(plan, &parameters, &mut progress).await?);
    }
    if selected(Role::Agent) {
        measurements.extend(agent::measure(&parameters, &mut progress)?);
    }
    if selected(Role::Configuration) {
        measurements.extend(configuration::measure(plan, &parameters, &mut progress).await?);
    }
    if selected(Role::Control) {
        measurements.extend(control::measure(plan, &parameters, &mut progress).await?);
    }
    let machine = Machine {
        cores: std::thread::available_parallelism().map_or(1, usize::from),
        load_before: f64::from(load_before),
        load_after: f64::from(LoadAverage::current()?.one),
        memory_mb: Meminfo::current()?.mem_total as f64 / f64::from(1 << 20),
    };
    let took_s = started.elapsed().as_secs_f64();
    Ok(Results {
        quick: plan.quick,
        began_s,
        took_s,
        machine,
        measurements,
    })
}

/// Fails if the run uses more than half of the machine's memory; `others_mb` is the memory of its child processes.
fn check_memory(others_mb: f64) -> Result<(), ScaleError> {
    let own = procfs::process::Process::myself()?
        .status()?
        .vmrss
        .unwrap_or(0) as f64
        / 1_024.0;
    let all_mb = Meminfo::current()?.mem_total as f64 / f64::from(1 << 20);
    let used_mb = own + others_mb;
    if used_mb > all_mb / 2.0 {
        return Err(ScaleError::Memory { used_mb, all_mb });
    }
    Ok(())
}

/// Median (the upper one of an even number); 0 if there are no values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

#[cfg(test)]
mod tests;
