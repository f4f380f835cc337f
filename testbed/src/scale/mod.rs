//! Owns the scale runs: what grows with the fleet, measured at growing sizes and held against the fleet that is wanted.
//! `law` and `results` are pure; `module` asks the decisions alone; `loopback`, `process` and `load` are the world round
//! one real node, `decisions` and `node` the measurements on both; `agent` plays members in virtual time, `control` the
//! machines of the fleet plane and those who ask them. The tables of `docs/CAPACITY.md` are written from what comes out.

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

/// Whose figures.
#[derive(Clone, Copy, Debug, Eq, PartialEq, clap::ValueEnum)]
pub enum Role {
    /// One node.
    Node,
    /// Membership among agents, in virtual time.
    Agent,
    /// What brings configuration to nodes.
    Configuration,
    /// The machines of the fleet plane, in virtual time.
    Control,
}

/// What is to be measured.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Two sizes and short plays, for CI.
    pub quick: bool,
    /// One role alone.
    pub only: Option<Role>,
    /// The node's program.
    pub node: PathBuf,
    /// The bare forwarder's.
    pub forwarder: PathBuf,
    /// The agent's.
    pub agent: PathBuf,
}

/// Why a run was given up.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// A socket, file or process.
    #[error("{what}: {error}")]
    Io {
        /// Of what.
        what: String,
        /// Why.
        error: std::io::Error,
    },
    /// More than half of the machine's memory would be used.
    #[error("{used_mb:.0} MB used, more than half of this machine's {all_mb:.0} MB")]
    Memory {
        /// By the run.
        used_mb: f64,
        /// There is.
        all_mb: f64,
    },
    /// What the system says of itself can't be read.
    #[error("the system's own figures: {0}")]
    System(#[from] procfs::ProcError),
}

impl ScaleError {
    fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> ScaleError {
        let what = what.into();
        |error| ScaleError::Io { what, error }
    }
}

/// How much is measured of each.
#[derive(Clone, Copy, Debug)]
struct Effort {
    /// Servers in the list, for real nodes.
    servers: &'static [usize],
    /// Servers in the list, where the module is timed.
    timed: &'static [usize],
    /// Servers in the list, where the table's slots are counted.
    dealt: &'static [usize],
    /// Nodes in sums over nodes.
    nodes: &'static [usize],
    services: &'static [usize],
    tenants: &'static [usize],
    changes: &'static [usize],
    /// Voters of the agreed log, and their round trips in ms where all are alike.
    voters: &'static [usize],
    trips_ms: &'static [usize],
    /// Microseconds that a synced write takes.
    syncs_us: &'static [usize],
    /// Agents round nine control machines.
    agents: &'static [usize],
    /// Voters and agents as processes; the configuration takes seven voters at most.
    real_voters: &'static [usize],
    /// Whether those of all sizes run at the same time, which takes less and disturbs the figures.
    real_together: bool,
    real_agents: &'static [usize],
    /// Servers out, the reasons given with one in bytes, duties held, and servers of a zone that are taken out.
    out: &'static [usize],
    reasons: &'static [usize],
    duties: &'static [usize],
    zone_out: &'static [usize],
    /// Seconds of virtual time for which the log is driven, leases are watched, asks come and the census goes round.
    log_s: u64,
    lease_s: u64,
    ask_s: u64,
    census_s: u64,
    /// Asks a second up to which the highest rate is sought, asks that each voter has open where it is driven, and agents
    /// without a vote that ask all the time.
    most_rate: f64,
    open: usize,
    eager: usize,
    /// Leaders that die, and asks one after the other.
    elections: u64,
    asks: usize,
    /// Members in one place, and members spread over regions.
    members: &'static [usize],
    far: &'static [usize],
    /// Seconds of virtual time that members are watched at rest.
    rest_s: u64,
    /// Runs of what is timed, of which the middle one counts.
    runs: usize,
    /// News of one server and of a zone that are awaited, each way.
    news: usize,
    /// Turns of load.
    rounds: usize,
    /// Length of a turn.
    turn: Duration,
    /// Length of what is watched at rest.
    rest: Duration,
    /// Requests whose decisions are timed, and seconds of a play with a dead zone.
    requests: u64,
    dead_s: u64,
}

const FULL: Effort = Effort {
    servers: &[10, 100, 1_000, 4_000, target::SERVERS],
    timed: &[10, 100, 1_000, 4_000, 9_000, target::SERVERS],
    dealt: &[10, 100, 1_000, 4_000, 9_000, target::SERVERS],
    nodes: &[10, 100, 500, target::NODES],
    services: &[10, 100, 400, target::SERVICES],
    tenants: &[10, 1_000, 10_000, target::TENANTS],
    changes: &[1, 2, 4, 8],
    voters: &[3, 5, 7, target::CONTROL],
    trips_ms: &[5, 25, 50, 100, 150, 200, target::FAR_MS as usize],
    syncs_us: &[500, 1_000, 2_000, 4_000, 8_000],
    agents: &[30, 100, 400, 1_000, target::NODES],
    out: &[10, 100, 300, target::MOST_OUT],
    real_voters: &[3, 5, 7],
    real_together: false,
    real_agents: &[5, 10, 20, 40],
    reasons: &[10, 200, 400, 600, 800],
    duties: &[0, 1, 2, 3],
    zone_out: &[10, 100, 500, 1_000, target::ZONE_SERVERS],
    log_s: 10,
    lease_s: 300,
    ask_s: 10,
    census_s: 60,
    most_rate: 4_096.0,
    open: 64,
    eager: 400,
    elections: 51,
    asks: 20,
    members: &[30, 100, 200, 400],
    far: &[28, 56, 98, 154],
    rest_s: 10,
    runs: 31,
    news: 9,
    rounds: 5,
    turn: Duration::from_secs(4),
    rest: Duration::from_secs(5),
    requests: 20_000,
    dead_s: 30,
};

const QUICK: Effort = Effort {
    servers: &[10, target::SERVERS],
    timed: &[10, 1_000],
    dealt: &[10, target::SERVERS],
    nodes: &[2, 10],
    services: &[10, 100],
    tenants: &[10, target::TENANTS],
    changes: &[1, 2],
    voters: &[3, 5],
    trips_ms: &[5, 50],
    syncs_us: &[1_000, 4_000],
    agents: &[10, 30],
    out: &[10, 100],
    real_voters: &[3, 5],
    real_together: true,
    real_agents: &[4, 8],
    reasons: &[10, 800],
    duties: &[0, 3],
    zone_out: &[10, target::ZONE_SERVERS],
    log_s: 1,
    lease_s: 2,
    ask_s: 1,
    census_s: 10,
    most_rate: 8.0,
    open: 2,
    eager: 20,
    elections: 2,
    asks: 2,
    members: &[10, 30],
    far: &[14, 28],
    rest_s: 2,
    runs: 3,
    news: 2,
    rounds: 1,
    turn: Duration::from_secs(1),
    rest: Duration::from_secs(1),
    requests: 500,
    dead_s: 4,
};

/// Measures; `told` hears what is at hand.
pub async fn run(plan: &Plan, mut told: impl FnMut(&str)) -> Result<Results, ScaleError> {
    let effort = if plan.quick { QUICK } else { FULL };
    let (began, load_before) = (Instant::now(), LoadAverage::current()?.one);
    let began_s = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs());
    let wanted = |role| plan.only.is_none_or(|only| only == role);
    let mut measurements = Vec::new();
    if wanted(Role::Node) {
        measurements.extend(node::measure(plan, &effort, &mut told).await?);
    }
    if wanted(Role::Agent) {
        measurements.extend(agent::measure(&effort, &mut told)?);
    }
    if wanted(Role::Configuration) {
        measurements.extend(configuration::measure(plan, &effort, &mut told).await?);
    }
    if wanted(Role::Control) {
        measurements.extend(control::measure(plan, &effort, &mut told).await?);
    }
    let machine = Machine {
        cores: std::thread::available_parallelism().map_or(1, usize::from),
        load_before: f64::from(load_before),
        load_after: f64::from(LoadAverage::current()?.one),
        memory_mb: Meminfo::current()?.mem_total as f64 / f64::from(1 << 20),
    };
    let took_s = began.elapsed().as_secs_f64();
    Ok(Results {
        quick: plan.quick,
        began_s,
        took_s,
        machine,
        measurements,
    })
}

/// Stops a run that would take more than half of the machine's memory; `others_mb` is what its processes hold.
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

/// The middle one.
fn middle(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

#[cfg(test)]
mod tests;
