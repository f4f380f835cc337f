//! The command line of `balancer-agent`. Subcommands that were renamed accept their former name as an alias.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use control_plane::lease::Role;
use control_plane::membership::Name;

/// Runs a load balancer node, and knows the fleet that it is part of.
///
/// One agent per machine. It starts the node, supervises it and restarts it; it keeps in touch with the other agents and
/// reports which are present, have left or have failed, and whether all agree on it. Clients' requests do not pass
/// through it.
///
/// Exit codes: 0 yes or done; 1 the answer is no; 2 nothing could be done (arguments, configuration, no answer);
/// 3 an older process has the agent's name.
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
    /// Run the agent in the foreground; SIGTERM drains the node, leaves the fleet, and ends it
    ///
    /// It logs to standard error; $BALANCER_AGENT_LOG overrides the levels of the file (in RUST_LOG's form).
    Run(ConfigArgs),
    /// Validate a configuration and report every problem in it
    Check(ConfigArgs),
    /// Print a configuration with every key
    Example,
    /// Show the members as an agent sees them, and whether all have the same view
    ///
    /// Exit code 1 if the views of some members differ lastingly.
    Members(ReportArgs),
    /// Show the holders of the fleet's roles, and the cordoned servers
    #[command(visible_alias = "duties")]
    Roles(ReportArgs),
    /// Show the metrics of all nodes, aggregated by the holder of the census role
    ///
    /// On a terminal it is refreshed each second, until interrupted.
    Top(TopArgs),
    /// Cordon a server: no node sends it requests
    ///
    /// Exit code 0 once a majority of the voters has persisted it; 1 if nothing was changed; 2 if the result is not known:
    /// repeating the command is harmless.
    #[command(visible_alias = "out")]
    Cordon(CordonArgs),
    /// Uncordon a server; exit codes as of `cordon`
    #[command(visible_alias = "back")]
    Uncordon(UncordonArgs),
    /// Ask the holder of a role to release it; another agent takes it over. Exit codes as of `cordon`
    #[command(visible_alias = "yield")]
    Release(ReleaseArgs),
    /// Create the store of a voter, once in its life
    ///
    /// The first voters of a fleet, named in every file, are created without --join. A voter that lost its store may have
    /// voted in a term that it does not remember: remove it (voter-remove) and create a new store with --join. A voter is
    /// replaced likewise: voter-init --join on the new machine, wait until it votes, voter-remove the old one.
    VoterInit(VoterInitArgs),
    /// Remove a voter permanently. Exit codes as of `cordon`
    ///
    /// One at a time, and only while all other voters keep up. A voter that is still joining would join again: stop its
    /// agent first.
    VoterRemove(VoterRemoveArgs),
    /// Print a script that completes this command line in a shell
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
    /// The operators' address of an agent
    #[arg(long, value_name = "ADDR")]
    pub at: Option<SocketAddr>,
    /// An agent's configuration, to take that address from
    #[arg(long, short, value_name = "FILE", conflicts_with = "at")]
    pub config: Option<PathBuf>,
}

/// Arguments of `members` and `roles`.
#[derive(Debug, Args)]
pub struct ReportArgs {
    /// The agent to contact.
    #[command(flatten)]
    pub agent: AgentArgs,
    /// Print everything that the agent knows as JSON
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `top`.
#[derive(Debug, Args)]
pub struct TopArgs {
    /// The agent to contact.
    #[command(flatten)]
    pub agent: AgentArgs,
    /// Print it once, also on a terminal
    #[arg(long)]
    pub once: bool,
    /// Print it once, as JSON, with sums by minute for an hour
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `cordon`.
#[derive(Debug, Args)]
pub struct CordonArgs {
    /// The agent to contact.
    #[command(flatten)]
    pub agent: AgentArgs,
    /// The server's id, as on the endpoint list
    pub server: String,
    /// The reason, for other operators
    #[arg(long)]
    pub why: String,
    /// For how long, with a unit; without it, until it is uncordoned
    #[arg(long, value_name = "SPAN", value_parser = humantime::parse_duration)]
    pub until: Option<std::time::Duration>,
    /// The operator's name [default: $USER]
    #[arg(long)]
    pub who: Option<String>,
}

/// Arguments of `uncordon`.
#[derive(Debug, Args)]
pub struct UncordonArgs {
    /// The agent to contact.
    #[command(flatten)]
    pub agent: AgentArgs,
    /// The server's id, as on the endpoint list
    pub server: String,
}

/// Arguments of `release`.
#[derive(Debug, Args)]
pub struct ReleaseArgs {
    /// The agent to contact.
    #[command(flatten)]
    pub agent: AgentArgs,
    /// maintenance, census or watch
    #[arg(value_name = "ROLE")]
    pub role: Role,
}

/// Arguments of `voter-init`.
#[derive(Debug, Args)]
pub struct VoterInitArgs {
    /// The configuration to use.
    #[command(flatten)]
    pub file: ConfigArgs,
    /// For an agent that joins the voters of a running fleet
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
