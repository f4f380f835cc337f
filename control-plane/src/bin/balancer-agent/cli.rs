//! The command line of `balancer-agent`. Subcommands that were renamed accept their former name as an alias.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use control_plane::lease::Role;
use control_plane::membership::Name;

/// Runs a load balancer node, and tracks the fleet that it is part of.
///
/// One agent runs per machine. It starts, supervises and restarts the node. It exchanges messages with the other
/// agents, and reports which are present, have left or have failed, and whether all agents agree on that. Clients'
/// requests do not pass through it.
///
/// Exit codes: 0 success; 1 views differ, or a command was rejected; 2 failure (arguments, configuration, no answer, or
/// a command whose result is unknown); 3 an older process has the agent's name.
#[derive(Debug, Parser)]
#[command(version, max_term_width = 100)]
pub struct Cli {
    /// The subcommand.
    #[command(subcommand)]
    pub command: Command,
}

/// A subcommand.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the agent in the foreground; on SIGTERM it drains the node, leaves the fleet and exits
    ///
    /// The agent logs to standard error. $BALANCER_AGENT_LOG overrides the configured log level (in the syntax of
    /// RUST_LOG).
    Run(ConfigArgs),
    /// Validate a configuration and report every problem in it
    Check(ConfigArgs),
    /// Print an example configuration with every key
    Example,
    /// Show the members as an agent sees them, and whether all members have the same view
    ///
    /// Exit code 1 if the view of a member has differed for longer than convergence-timeout.
    Members(ReportArgs),
    /// Show the holders of the fleet's roles, and the cordoned servers
    #[command(visible_alias = "duties")]
    Roles(ReportArgs),
    /// Show the metrics of all nodes, aggregated by the holder of the census role
    ///
    /// On a terminal, the output is refreshed each second until interrupted.
    Top(TopArgs),
    /// Cordon a server, so that no node sends it requests
    ///
    /// Exit code 0 once a majority of the voters has persisted the command; 1 if it was rejected and nothing was
    /// changed; 2 if its result is unknown, in which case it can be repeated without harm.
    #[command(visible_alias = "out")]
    Cordon(CordonArgs),
    /// Uncordon a server. Exit codes as for `cordon`
    #[command(visible_alias = "back")]
    Uncordon(UncordonArgs),
    /// Ask the holder of a role to release it, so that another agent takes it over. Exit codes as for `cordon`
    #[command(visible_alias = "yield")]
    Release(ReleaseArgs),
    /// Create the store of a new voter
    ///
    /// For the first voters of a fleet, which every agent's configuration names, create it without --join. A voter that
    /// has lost its store may have voted in a term that it does not remember: remove it (voter-remove), then create a
    /// new store with --join. To replace a voter, run voter-init --join on the new machine, wait until it votes, and
    /// remove the old voter with voter-remove.
    VoterInit(VoterInitArgs),
    /// Remove a voter permanently. Exit codes as for `cordon`
    ///
    /// Remove one voter at a time, and only while all others keep up. A voter that is still joining would join again:
    /// stop its agent first.
    VoterRemove(VoterRemoveArgs),
    /// Print a shell's completion script for this program
    Completions(CompletionsArgs),
}

/// The configuration to use.
#[derive(Debug, Args)]
pub struct ConfigArgs {
    /// The agent's configuration, in TOML
    #[arg(long, short, value_name = "FILE")]
    pub config: PathBuf,
}

/// The agent to contact.
#[derive(Debug, Args)]
pub struct AgentArgs {
    /// Address of an agent's HTTP interface for operators
    #[arg(long, value_name = "ADDR")]
    pub at: Option<SocketAddr>,
    /// Configuration of an agent, from which to take that address
    #[arg(long, short, value_name = "FILE", conflicts_with = "at")]
    pub config: Option<PathBuf>,
}

/// Arguments of `members` and `roles`.
#[derive(Debug, Args)]
pub struct ReportArgs {
    /// The agent to contact.
    #[command(flatten)]
    pub agent: AgentArgs,
    /// Print the agent's full report as JSON
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `top`.
#[derive(Debug, Args)]
pub struct TopArgs {
    /// The agent to contact.
    #[command(flatten)]
    pub agent: AgentArgs,
    /// Print the metrics once, even on a terminal
    #[arg(long)]
    pub once: bool,
    /// Print the metrics once as JSON, including the sums of each minute of the last hour
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `cordon`.
#[derive(Debug, Args)]
pub struct CordonArgs {
    /// The agent to contact.
    #[command(flatten)]
    pub agent: AgentArgs,
    /// The server's id on the endpoint list
    pub server: String,
    /// The reason, for other operators
    #[arg(long)]
    pub why: String,
    /// Duration of the cordon, with a unit such as 30m [default: until it is uncordoned]
    #[arg(long, value_name = "SPAN", value_parser = humantime::parse_duration)]
    pub until: Option<std::time::Duration>,
    /// The name of the operator [default: $USER]
    #[arg(long)]
    pub who: Option<String>,
}

/// Arguments of `uncordon`.
#[derive(Debug, Args)]
pub struct UncordonArgs {
    /// The agent to contact.
    #[command(flatten)]
    pub agent: AgentArgs,
    /// The server's id on the endpoint list
    pub server: String,
}

/// Arguments of `release`.
#[derive(Debug, Args)]
pub struct ReleaseArgs {
    /// The agent to contact.
    #[command(flatten)]
    pub agent: AgentArgs,
    /// The role: maintenance, census or watch
    #[arg(value_name = "ROLE")]
    pub role: Role,
}

/// Arguments of `voter-init`.
#[derive(Debug, Args)]
pub struct VoterInitArgs {
    /// The configuration to use.
    #[command(flatten)]
    pub file: ConfigArgs,
    /// Create the store of an agent that joins the voters of a running fleet
    #[arg(long)]
    pub join: bool,
}

/// Arguments of `voter-remove`.
#[derive(Debug, Args)]
pub struct VoterRemoveArgs {
    /// The agent to contact.
    #[command(flatten)]
    pub agent: AgentArgs,
    /// The voter's name
    pub name: Name,
}

/// Arguments of `completions`.
#[derive(Debug, Args)]
pub struct CompletionsArgs {
    /// The shell
    #[arg(value_enum)]
    pub shell: clap_complete::Shell,
}

#[cfg(test)]
mod tests;
