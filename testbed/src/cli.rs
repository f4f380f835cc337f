//! Owns the command line. It plays nothing.

use std::fmt::Display;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use testbed::policy::PolicyKind;
use testbed::scale::Role;
use testbed::sim::TraceFilter;

/// A testbed for load-balancer nodes: simulated servers, clients, front ends and discovery, and an
/// invariant checker that follows every request to its one final answer.
#[derive(Debug, Parser)]
#[command(version, propagate_version = true)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Start real nodes, play a scenario round them in real time, and judge what they did
    ///
    /// Exit status: 0 when all rules hold and no node crashed, 1 when not, 2 when nothing could be
    /// played, 130 when stopped by a signal. All node processes have ended by then.
    Up(Up),
    /// Play a scenario in virtual time, with the decisions inside: the same each time, on any machine
    ///
    /// Exit status as of `up`.
    Sim(Sim),
    /// Play a grid of scenarios, sizes, policies and variants over seeds, and compare it pair by pair
    ///
    /// Results stream to results.jsonl in the folder. Exit status: 0 when all rules hold in all plays,
    /// 1 when not, 2 when nothing could be played.
    Experiment(Experiment),
    /// Play a recorded stream of one node to the decisions again and compare each action
    ///
    /// Exit status: 0 when all actions are identical, 1 at the first that is not, 2 otherwise.
    Replay(Replay),
    /// Write one HTML file about an experiment's results, with plots and without outside references
    Report(Report),
    /// Hold the node against a bare forwarder on the same sockets, by turns
    Bench(Bench),
    /// Measure what grows with the fleet at growing sizes, and hold it against the fleet that is wanted
    ///
    /// Loopback only, one node and one forwarder at a time. docs/CAPACITY.md is written from its results.
    #[command(name = "capacity", alias = "scale")]
    Scale(Scale),
    /// Measure membership among agents: time to know a death, false failures, healing, cost
    ///
    /// In virtual time, a play a seed; with --agent also on real processes, loopback only.
    #[command(name = "membership", alias = "plane")]
    Plane(Plane),
    /// Play duties among voters under faults in virtual time, a play a seed, and check what happened
    ///
    /// Exit code 1 where a play broke a property; its seed plays it again.
    #[command(name = "roles", alias = "duties")]
    Duties(Duties),
    /// Hold what cold servers get from a whole fleet of nodes against what topples them, in virtual time
    ///
    /// Exit code 1 where one got more than N + 2 roots of N + 2 requests.
    #[command(name = "slow-start", alias = "cold")]
    Cold(Cold),
    /// List the scenarios that ship, a line each
    Scenarios,
}

/// What is played, how large and how long.
#[derive(Args, Debug)]
pub struct Day {
    /// A scenario that ships, or the path of a scenario file
    #[arg(default_value = "quiet")]
    pub scenario: String,
    /// Nodes; up to 100 on sockets, 1000 in virtual time [default: the scenario's]
    #[arg(long, value_name = "N")]
    pub nodes: Option<usize>,
    /// Servers at the start; up to 250 on sockets, 1000 in virtual time [default: the scenario's]
    #[arg(long, value_name = "N")]
    pub servers: Option<usize>,
    /// Seconds of load; up to 3600 on sockets, 86400 in virtual time [default: the scenario's]
    #[arg(long, value_name = "S")]
    pub seconds: Option<f64>,
    /// Seed of the world: true speeds, delays, requests, and who is struck by troubles
    #[arg(long, value_name = "N", default_value_t = 1)]
    pub seed: u64,
    /// Write the figures to this file, too
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

impl Day {
    /// What the types of the options can't show, with the most nodes, servers and seconds.
    fn check(&self, (nodes, servers, seconds): (usize, usize, f64)) -> Result<(), String> {
        within("--nodes", self.nodes, 1, nodes)?;
        within("--servers", self.servers, 1, servers)?;
        within("--seconds", self.seconds, 1.0, seconds)
    }
}

/// The options of `up`.
#[derive(Args, Debug)]
pub struct Up {
    #[command(flatten)]
    pub day: Day,
    /// Keep the nodes' logs in this folder
    #[arg(long, value_name = "DIR")]
    pub logs: Option<PathBuf>,
    /// Start this program as a node, rather than build and run what deploy/balancer.toml names
    #[arg(long, value_name = "PATH")]
    pub node: Option<PathBuf>,
}

/// The options of `bench`.
#[derive(Args, Debug)]
pub struct Bench {
    /// Pairs of turns
    #[arg(long, value_name = "N", default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..=100))]
    pub rounds: u32,
    /// Seconds of a turn
    #[arg(long, value_name = "S", default_value_t = 5.0)]
    pub seconds: f64,
    /// Hold the node against this program, rather than the lab's bare forwarder
    #[arg(long, value_name = "PATH")]
    pub against: Option<PathBuf>,
}

impl Bench {
    /// What the types of the options can't show.
    pub fn check(&self) -> Result<(), String> {
        within("--seconds", Some(self.seconds), 1.0, 3600.0)
    }
}

/// The options of `report`.
#[derive(Args, Debug)]
pub struct Report {
    /// The folder of an experiment
    #[arg(default_value = "found/experiment")]
    pub folder: PathBuf,
    /// Where to write it [default: report.html in the folder]
    #[arg(long, value_name = "FILE")]
    pub out: Option<PathBuf>,
}

/// The options of `replay`.
#[derive(Args, Debug)]
pub struct Replay {
    /// A stream that `sim --events` wrote
    pub file: PathBuf,
    /// Replay to this command, rather than to what deploy/balancer.toml builds and names as sim
    #[arg(long, value_name = "COMMAND")]
    pub sim: Option<String>,
}

/// The options of `experiment`.
#[derive(Args, Debug)]
pub struct Experiment {
    /// The file that describes it, as lab/experiments/baselines.toml does
    pub file: PathBuf,
    /// Where the results are kept
    #[arg(long, value_name = "DIR", default_value = "found/experiment")]
    pub out: PathBuf,
    /// Plays at a time [default: as many as there are cores]
    #[arg(long, value_name = "N", default_value_t = 0, hide_default_value = true)]
    pub jobs: usize,
    /// Go on with the results that are there, and play only what they lack
    #[arg(long)]
    pub resume: bool,
}

/// The options of `sim`.
#[derive(Args, Debug)]
pub struct Sim {
    #[command(flatten)]
    pub day: Day,
    /// What decides in each node: node (the module), random, round-robin, two-choices,
    /// least-outstanding, ring-bounded, maglev-plain, oracle, or wire:COMMAND, a program that speaks
    /// the simulator's wire, such as an older build's load-balancer-sim
    #[arg(long, value_name = "P", default_value = "node")]
    pub policy: PolicyKind,
    /// Write what happened to this file, a line each
    #[arg(long, value_name = "FILE")]
    pub trace: Option<PathBuf>,
    /// What the trace follows: request:NUMBER, key:NUMBER, server:ID, node:NUMBER or all
    #[arg(long, value_name = "WHAT", default_value = "all", requires = "trace")]
    pub follow: TraceFilter,
    /// Write the first node's stream of events and actions to this file, for `replay`
    #[arg(long, value_name = "FILE")]
    pub events: Option<PathBuf>,
}

impl Sim {
    /// What the types of the options can't show.
    pub fn check(&self) -> Result<(), String> {
        self.day.check((1000, 1000, 86_400.0))
    }
}

fn within<T: PartialOrd + Display + Copy>(
    option: &str,
    given: Option<T>,
    least: T,
    most: T,
) -> Result<(), String> {
    match given {
        Some(n) if !(least..=most).contains(&n) => {
            Err(format!("{option} {n}: expected {least} to {most}"))
        }
        _ => Ok(()),
    }
}

impl Up {
    /// What the types of the options can't show.
    pub fn check(&self) -> Result<(), String> {
        self.day.check((100, 250, 3600.0))
    }
}

/// Which plays with cold servers.
#[derive(Args, Debug)]
pub struct Cold {
    /// Fleet sizes
    #[arg(long, value_delimiter = ',', default_value = "20,30,300", value_name = "N,..",
        value_parser = clap::value_parser!(u64).range(2..=3_000))]
    pub nodes: Vec<u64>,
    /// The first seed
    #[arg(long, default_value_t = 0, value_name = "SEED")]
    pub from: u64,
    /// Servers; by default 20 for less than 100 nodes, else one for ten nodes
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u64).range(10..=20_000))]
    pub servers: Option<u64>,
    /// Only this story
    #[arg(long, value_name = "NAME", value_parser = ["start", "rolling", "rush", "refusing", "most", "herd"])]
    pub story: Option<String>,
    /// Plays of each story at each size
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    pub plays: u64,
}

/// What is measured of scale.
#[derive(Args, Debug)]
pub struct Scale {
    /// Two sizes and short plays, in under a minute: for CI
    #[arg(long, conflicts_with = "page")]
    pub quick: bool,
    /// Measure one role alone
    #[arg(long, value_name = "ROLE")]
    pub only: Option<Role>,
    /// Where the results are written; with --page, one or more files of earlier runs
    #[arg(long, value_name = "FILE", required = true)]
    pub json: Vec<PathBuf>,
    /// Measure nothing: write the tables of the results in these files into this page
    #[arg(long, value_name = "PAGE", conflicts_with = "only")]
    pub page: Option<PathBuf>,
    /// Start this program as the node, rather than build and run what deploy/balancer.toml names
    #[arg(long, value_name = "PATH")]
    pub node: Option<PathBuf>,
}

impl Scale {
    /// The one file that a run writes.
    pub fn output(&self) -> Result<&PathBuf, String> {
        match &self.json[..] {
            [file] => Ok(file),
            _ => Err("--json: a run writes one file".into()),
        }
    }
}

/// Which plays of the duties.
#[derive(Args, Debug)]
pub struct Duties {
    /// Voters; two agents without a vote come on top
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=7))]
    pub voters: u8,
    /// The first seed
    #[arg(long, default_value_t = 0, value_name = "SEED")]
    pub from: u64,
    /// Plays
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(1..=10_000_000))]
    pub plays: u64,
    /// Check the lease in every state up to so many halves of a lease instead; 4 take half a minute, 5 all memory
    #[arg(long, value_name = "STEPS", value_parser = clap::value_parser!(u64).range(3..=5))]
    pub model: Option<u64>,
    /// Measure on real processes of this agent's program instead, with as many kills as plays; loopback only
    #[arg(long, value_name = "FILE", conflicts_with = "model")]
    pub agent: Option<PathBuf>,
}

/// What is measured of the fleet plane.
#[derive(Args, Debug)]
pub struct Plane {
    /// Fleet sizes in virtual time
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "5,30,100",
        value_name = "N,.."
    )]
    pub members: Vec<usize>,
    /// Plays of each, one a seed; also the kills on real processes
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub plays: u64,
    /// Hours of virtual time at each loss; 0 leaves false failures out
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(0..=1_000))]
    pub hours: u64,
    /// Parts of datagrams that are lost, for false failures
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "0,0.05,0.2",
        value_name = "PART,.."
    )]
    pub loss: Vec<f64>,
    /// The agent's program: five processes of it are measured too
    #[arg(long, value_name = "FILE")]
    pub agent: Option<PathBuf>,
}
