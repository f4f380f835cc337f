//! The command line of `balancer-agent`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use control_plane::lease::Role;
use control_plane::membership::Name;

/// Runs a woodgap node and knows the fleet it is part of.
///
/// One agent a machine. It starts the node, watches it and starts it again; it keeps in touch with the other agents
/// and tells staff who is present, who has left, who failed, and who sees it otherwise. Clients' requests never
/// pass it.
///
/// Exit codes: 0 yes or done; 1 the answer is no; 2 nothing could be done (arguments, configuration, no answer);
/// 3 the name is held by an older process.
#[derive(Debug, Parser)]
#[command(version, max_term_width = 100)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the agent in the foreground; SIGTERM drains the node, tells the fleet, and ends it
    ///
    /// It logs to standard error; $WOODGAP_AGENT_LOG sets levels otherwise than the file (RUST_LOG's form).
    Run(File),
    /// Say whether a configuration is sound: every fault of it at once
    Check(File),
    /// Print a configuration with every key
    Example,
    /// Show the members as an agent sees them, and whether all see the same
    ///
    /// Exit code 1 where the views of some differ and stay so.
    Members(Members),
    /// Show who holds which duty, and the servers out
    Duties(Members),
    /// Show what the nodes of the fleet do, summed by the holder of the census
    ///
    /// On a terminal anew each second, until ended.
    Top(Top),
    /// Take a server out of all nodes
    ///
    /// Exit code 0 once a majority of the voters keeps it; 1 where nothing was changed; 2 where it was tried and is not
    /// known: asking again is harmless.
    Out(Out),
    /// Put a server back; exit codes as of `out`
    Back(Back),
    /// Ask the holder of a duty to give it up; another takes it. Exit codes as of `out`
    Yield(Yield),
    /// Make the store of a voter, once in its life
    ///
    /// The first voters of a fleet, named in every file, are made without --join. A voter that lost its store may have
    /// voted in a term that it does not remember: remove it (voter-remove) and make a new store with --join. So is a voter
    /// replaced: voter-init --join on the new machine, wait until it votes, voter-remove the old one.
    VoterInit(VoterInit),
    /// Take the vote of an agent away, for good. Exit codes as of `out`
    ///
    /// Done one at a time, and only while all other voters keep up. One that still joins joins again: stop its agent first.
    VoterRemove(VoterRemove),
    /// Print a script that completes this command line in a shell
    Completions(Completions),
}

#[derive(Debug, Args)]
pub struct File {
    /// The agent's configuration, in TOML
    #[arg(long, short, value_name = "FILE")]
    pub config: PathBuf,
}

#[derive(Debug, Args)]
pub struct At {
    /// The operators' address of an agent
    #[arg(long, value_name = "ADDR")]
    pub at: Option<SocketAddr>,
    /// An agent's configuration, to take that address from
    #[arg(long, short, value_name = "FILE", conflicts_with = "at")]
    pub config: Option<PathBuf>,
}

#[derive(Debug, Args)]
pub struct Members {
    #[command(flatten)]
    pub at: At,
    /// Print all that the agent knows as JSON
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, Args)]
pub struct Top {
    #[command(flatten)]
    pub at: At,
    /// Print it once, also on a terminal
    #[arg(long)]
    pub once: bool,
    /// Print it once, as JSON, with sums by minute for an hour
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, Args)]
pub struct Out {
    #[command(flatten)]
    pub at: At,
    /// The server's id, as on discovery's list
    pub server: String,
    /// Why, for others
    #[arg(long)]
    pub why: String,
    /// For how long, with a unit; until it is put back without
    #[arg(long, value_name = "SPAN", value_parser = humantime::parse_duration)]
    pub until: Option<std::time::Duration>,
    /// Who says so [default: $USER]
    #[arg(long)]
    pub who: Option<String>,
}

#[derive(Debug, Args)]
pub struct Back {
    #[command(flatten)]
    pub at: At,
    /// The server's id, as on discovery's list
    pub server: String,
}

#[derive(Debug, Args)]
pub struct Yield {
    #[command(flatten)]
    pub at: At,
    /// maintenance, census or watch
    pub duty: Role,
}

#[derive(Debug, Args)]
pub struct VoterInit {
    #[command(flatten)]
    pub file: File,
    /// For an agent that joins the voters of a running fleet
    #[arg(long)]
    pub join: bool,
}

#[derive(Debug, Args)]
pub struct VoterRemove {
    #[command(flatten)]
    pub at: At,
    /// The voter's name
    pub name: Name,
}

#[derive(Debug, Args)]
pub struct Completions {
    /// Which shell
    #[arg(value_enum)]
    pub shell: clap_complete::Shell,
}
