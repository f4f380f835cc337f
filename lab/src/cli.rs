//! Owns the command line. It plays nothing.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// A world for woodgap nodes to run in: servers, clients, fronts and discovery on loopback, and a
/// referee that follows every request to its one final answer.
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
    /// List the scenarios that ship, a line each
    Scenarios,
}

/// The options of `up`.
#[derive(Args, Debug)]
pub struct Up {
    /// A scenario that ships, or the path of a scenario file
    #[arg(default_value = "quiet")]
    pub scenario: String,
    /// Nodes, 1 to 100 [default: the scenario's]
    #[arg(long, value_name = "N")]
    pub nodes: Option<usize>,
    /// Servers at the start, 1 to 250 [default: the scenario's]
    #[arg(long, value_name = "N")]
    pub servers: Option<usize>,
    /// Seconds of load, 1 to 3600 [default: the scenario's]
    #[arg(long, value_name = "S")]
    pub seconds: Option<f64>,
    /// Seed of the world: true speeds, delays, requests, and who is struck by troubles
    #[arg(long, value_name = "N", default_value_t = 1)]
    pub seed: u64,
    /// Write the figures to this file, too
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Keep the nodes' logs in this folder
    #[arg(long, value_name = "DIR")]
    pub logs: Option<PathBuf>,
    /// Start this program as a node, rather than build and run what deploy/balancer.toml names
    #[arg(long, value_name = "PATH")]
    pub node: Option<PathBuf>,
}

impl Up {
    /// What the types of the options can't show.
    pub fn check(&self) -> Result<(), String> {
        if let Some(n) = self.nodes.filter(|n| !(1..=100).contains(n)) {
            return Err(format!("--nodes {n}: expected 1 to 100"));
        }
        if let Some(n) = self.servers.filter(|n| !(1..=250).contains(n)) {
            return Err(format!("--servers {n}: expected 1 to 250"));
        }
        if let Some(s) = self.seconds.filter(|s| !(1.0..=3600.0).contains(s)) {
            return Err(format!("--seconds {s}: expected 1 to 3600"));
        }
        Ok(())
    }
}
