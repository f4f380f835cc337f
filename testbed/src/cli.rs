//! The command line: subcommands, options and their checks.

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
    /// The subcommand to execute.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a scenario in real time against real nodes on loopback, and check what they did
    ///
    /// Exit status: 0 if no rule was broken and no node crashed, 1 if one was or did, 2 if the run could not
    /// be made, 130 if stopped by a signal. All node processes have ended when the command exits.
    Up(Up),
    /// Run a scenario in virtual time, with the decision modules in this process
    ///
    /// The same options give the same result on any machine. Exit status as for `up`.
    Sim(Sim),
    /// Simulate a grid of scenarios, variants, sizes and policies over seeds, and compare the policies in pairs
    ///
    /// Results are appended to results.jsonl in the output folder. Exit status: 0 if no run broke a rule, 1 if
    /// one did, 2 if the experiment could not be completed.
    Experiment(Experiment),
    /// Replay a recorded event stream of one node to its decision module and compare the actions
    ///
    /// Exit status: 0 if all actions are identical, 1 at the first that differs, 2 on any other failure.
    Replay(Replay),
    /// Write the results of an experiment with plots to one HTML file without external references
    Report(Report),
    /// Compare the node with a bare forwarder on the same sockets, in alternating runs
    Bench(Bench),
    /// Measure the costs that grow with the fleet at several sizes, and compare them with the target fleet
    ///
    /// Uses loopback only, with one node and one forwarder at a time. docs/CAPACITY.md is generated from the
    /// results.
    #[command(name = "capacity", alias = "scale")]
    Capacity(Capacity),
    /// Measure membership among agents: failure detection time, false failures, recovery after a partition, cost
    ///
    /// Simulated in virtual time, one run per seed; with --agent also on real processes on loopback.
    #[command(name = "membership", alias = "plane")]
    Membership(Membership),
    /// Simulate role leases among voters under faults in virtual time, one run per seed, and check the history
    ///
    /// Exit status 1 if a run violated a property; the printed seed repeats it.
    #[command(name = "roles", alias = "duties")]
    Roles(Roles),
    /// Compare what cold servers receive from a fleet of nodes with what overloads them, in virtual time
    ///
    /// Exit status 1 if a cold server received more than N + 2 * sqrt(N) + 2 requests within a window, where N
    /// requests in the window overload a server of its current warmth.
    #[command(name = "slow-start", alias = "cold")]
    SlowStart(SlowStart),
    /// List the built-in scenarios, one per line
    Scenarios,
}

/// Options that `up` and `sim` share: scenario, size, duration, seed and output.
#[derive(Args, Debug)]
pub struct RunOptions {
    /// Name of a built-in scenario, or path of a scenario file
    #[arg(default_value = "quiet")]
    pub scenario: String,
    /// Number of nodes; up to 100 on sockets, 1000 in virtual time [default: the scenario's]
    #[arg(long, value_name = "N")]
    pub nodes: Option<usize>,
    /// Number of servers at the start; up to 250 on sockets, 1000 in virtual time [default: the scenario's]
    #[arg(long, value_name = "N")]
    pub servers: Option<usize>,
    /// Seconds of load; up to 3600 on sockets, 86400 in virtual time [default: the scenario's]
    #[arg(long, value_name = "S")]
    pub seconds: Option<f64>,
    /// Seed of the simulated world: server speeds, delays, requests, and the targets of faults
    #[arg(long, value_name = "N", default_value_t = 1)]
    pub seed: u64,
    /// Also write the results to this file, as JSON
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

impl RunOptions {
    /// Checks the ranges, given the maximum of nodes, servers and seconds.
    fn check(&self, (nodes, servers, seconds): (usize, usize, f64)) -> Result<(), String> {
        check_range("--nodes", self.nodes, 1, nodes)?;
        check_range("--servers", self.servers, 1, servers)?;
        check_range("--seconds", self.seconds, 1.0, seconds)
    }
}

/// The options of `up`.
#[derive(Args, Debug)]
pub struct Up {
    #[command(flatten)]
    pub common: RunOptions,
    /// Write the nodes' logs to this folder, and keep them
    #[arg(long, value_name = "DIR")]
    pub logs: Option<PathBuf>,
    /// Program to start as a node [default: build and run what deploy/balancer.toml names]
    #[arg(long, value_name = "PATH")]
    pub node: Option<PathBuf>,
}

/// The options of `bench`.
#[derive(Args, Debug)]
pub struct Bench {
    /// Number of pairs of runs
    #[arg(long, value_name = "N", default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..=100))]
    pub rounds: u32,
    /// Seconds of load in each run
    #[arg(long, value_name = "S", default_value_t = 5.0)]
    pub seconds: f64,
    /// Program to compare the node with [default: the testbed's bare forwarder]
    #[arg(long, value_name = "PATH")]
    pub against: Option<PathBuf>,
}

impl Bench {
    /// Checks the ranges that the option types do not enforce.
    pub fn check(&self) -> Result<(), String> {
        check_range("--seconds", Some(self.seconds), 1.0, 3600.0)
    }
}

/// The options of `report`.
#[derive(Args, Debug)]
pub struct Report {
    /// Output folder of an experiment
    #[arg(default_value = "found/experiment")]
    pub folder: PathBuf,
    /// File to write [default: report.html in the folder]
    #[arg(long, value_name = "FILE")]
    pub out: Option<PathBuf>,
}

/// The options of `replay`.
#[derive(Args, Debug)]
pub struct Replay {
    /// Event stream that `sim --events` wrote
    pub file: PathBuf,
    /// Command to replay to [default: build and run what deploy/balancer.toml names as sim]
    #[arg(long, value_name = "COMMAND")]
    pub sim: Option<String>,
}

/// The options of `experiment`.
#[derive(Args, Debug)]
pub struct Experiment {
    /// File that describes the experiment, such as testbed/experiments/baselines.toml
    pub file: PathBuf,
    /// Output folder of the results
    #[arg(long, value_name = "DIR", default_value = "found/experiment")]
    pub out: PathBuf,
    /// Number of parallel runs [default: one per core]
    #[arg(long, value_name = "N", default_value_t = 0, hide_default_value = true)]
    pub jobs: usize,
    /// Keep the existing results and execute only the runs that are missing
    #[arg(long)]
    pub resume: bool,
}

/// The options of `sim`.
#[derive(Args, Debug)]
pub struct Sim {
    #[command(flatten)]
    pub common: RunOptions,
    /// Policy of the nodes: node (the node's decision module), random, round-robin, two-choices,
    /// least-outstanding, ring-bounded, maglev-plain, oracle, or wire:COMMAND for a program that speaks
    /// the simulator's wire protocol, such as load-balancer-sim of an older build
    #[arg(long, value_name = "P", default_value = "node")]
    pub policy: PolicyKind,
    /// Write a trace to this file, one event per line
    #[arg(long, value_name = "FILE")]
    pub trace: Option<PathBuf>,
    /// Subject of the trace: request:NUMBER, key:NUMBER, server:ID, node:NUMBER or all
    #[arg(long, value_name = "WHAT", default_value = "all", requires = "trace")]
    pub follow: TraceFilter,
    /// Record the first node's events and actions to this file, for `replay`
    #[arg(long, value_name = "FILE")]
    pub events: Option<PathBuf>,
}

impl Sim {
    /// Checks the ranges that the option types do not enforce.
    pub fn check(&self) -> Result<(), String> {
        self.common.check((1000, 1000, 86_400.0))
    }
}

fn check_range<T: PartialOrd + Display + Copy>(
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
    /// Checks the ranges that the option types do not enforce.
    pub fn check(&self) -> Result<(), String> {
        self.common.check((100, 250, 3600.0))
    }
}

/// The options of `slow-start`.
#[derive(Args, Debug)]
pub struct SlowStart {
    /// Fleet sizes
    #[arg(long, value_delimiter = ',', default_value = "20,30,300", value_name = "N,..",
        value_parser = clap::value_parser!(u64).range(2..=3_000))]
    pub nodes: Vec<u64>,
    /// First seed
    #[arg(long, default_value_t = 0, value_name = "SEED")]
    pub from: u64,
    /// Number of servers [default: 20 for fewer than 100 nodes, otherwise one per ten nodes]
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u64).range(10..=20_000))]
    pub servers: Option<u64>,
    /// Simulate only this restart scenario
    #[arg(long = "story", value_name = "NAME", value_parser = ["start", "rolling", "rush", "refusing", "most", "herd"])]
    pub scenario: Option<String>,
    /// Number of runs of each restart scenario at each fleet size, one per seed
    #[arg(long = "plays", value_name = "PLAYS", default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    pub runs: u64,
}

/// The options of `capacity`.
#[derive(Args, Debug)]
pub struct Capacity {
    /// Measure only two sizes in short runs, in under a minute; for CI
    #[arg(long, conflicts_with = "page")]
    pub quick: bool,
    /// Measure only this role
    #[arg(long, value_name = "ROLE")]
    pub only: Option<Role>,
    /// File to write the results to; with --page, one or more result files to read
    #[arg(long, value_name = "FILE", required = true)]
    pub json: Vec<PathBuf>,
    /// Measure nothing, and update the tables in this page from the result files
    #[arg(long, value_name = "PAGE", conflicts_with = "only")]
    pub page: Option<PathBuf>,
    /// Program to start as the node [default: build and run what deploy/balancer.toml names]
    #[arg(long, value_name = "PATH")]
    pub node: Option<PathBuf>,
}

impl Capacity {
    /// The result file to write. More than one is an error.
    pub fn output(&self) -> Result<&PathBuf, String> {
        match &self.json[..] {
            [file] => Ok(file),
            _ => Err("--json: expected exactly one file, unless --page is given".into()),
        }
    }
}

/// The options of `roles`.
#[derive(Args, Debug)]
pub struct Roles {
    /// Number of voters; two agents without a vote are added
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=7))]
    pub voters: u8,
    /// First seed
    #[arg(long, default_value_t = 0, value_name = "SEED")]
    pub from: u64,
    /// Number of runs, one per seed
    #[arg(long = "plays", value_name = "PLAYS", default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(1..=10_000_000))]
    pub runs: u64,
    /// Instead of simulating, model-check the lease in all states up to this many half lease durations; 4 takes half
    /// a minute, 5 exhausts the memory
    #[arg(long, value_name = "STEPS", value_parser = clap::value_parser!(u64).range(3..=5))]
    pub model: Option<u64>,
    /// Instead of simulating, measure real processes of this agent program on loopback; --plays sets how often the
    /// process that holds the lease is killed
    #[arg(long, value_name = "FILE", conflicts_with = "model")]
    pub agent: Option<PathBuf>,
}

/// The options of `membership`.
#[derive(Args, Debug)]
pub struct Membership {
    /// Fleet sizes in virtual time
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "5,30,100",
        value_name = "N,.."
    )]
    pub members: Vec<usize>,
    /// Number of runs of each measurement, one per seed; also the number of kills of real processes
    #[arg(long = "plays", value_name = "PLAYS", default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub runs: u64,
    /// Hours of virtual time at each loss rate; 0 skips the measurement of false failures
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(0..=1_000))]
    pub hours: u64,
    /// Loss rates of datagrams, for false failures
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "0,0.05,0.2",
        value_name = "PART,.."
    )]
    pub loss: Vec<f64>,
    /// Agent program; five real processes of it are measured too
    #[arg(long, value_name = "FILE")]
    pub agent: Option<PathBuf>,
}
