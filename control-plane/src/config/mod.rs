//! The agent's configuration: a TOML file, which is either accepted completely or rejected with a list of all its
//! problems.

mod parse;
mod toml_reader;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use toml::de::DeTable;

pub use toml_reader::Problem;
use toml_reader::ProblemCollector;

use crate::lease::LeaseSettings;
use crate::membership::{MembershipSettings, Name};
use crate::metrics::AlarmSettings;
use crate::supervisor::SupervisorSettings;

/// Example of a configuration file with every key, printed by `balancer-agent example`.
pub const EXAMPLE: &str = include_str!("example.toml");

/// Why a configuration file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("can't read the configuration {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system, or that the file is not UTF-8.
        source: std::io::Error,
    },
    /// The content of the file is invalid.
    #[error("invalid configuration {path}: {}", describe(.problems))]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// All problems of the file, ordered by line.
        problems: Vec<Problem>,
    },
}

/// The number of problems, and one line for each.
fn describe(problems: &[Problem]) -> String {
    let count = if problems.len() == 1 {
        "1 problem".to_owned()
    } else {
        format!("{} problems", problems.len())
    };
    let lines: String = problems
        .iter()
        .map(|problem| format!("\n  {problem}"))
        .collect();
    format!("{count}{lines}")
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// The error for a text that names no log format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("must be text or json")]
pub struct UnknownLogFormat;

impl FromStr for LogFormat {
    type Err = UnknownLogFormat;

    fn from_str(text: &str) -> Result<LogFormat, UnknownLogFormat> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(UnknownLogFormat),
        }
    }
}

/// The node that an agent runs.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeConfig {
    /// The program and its arguments.
    pub command: Vec<String>,
    /// The node's own configuration file.
    pub config: PathBuf,
    /// Address at which clients connect; the agent owns the listening socket.
    pub listen: SocketAddr,
    /// Address of the node's HTTP interface for operators.
    pub operator_addr: SocketAddr,
    /// Timeouts and limits by which the agent supervises the node.
    pub supervision: SupervisorSettings,
}

/// The voters of the replicated log, and its timing.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationConfig {
    /// Names of the first voters; empty in a fleet without a replicated log. Updates from the fleet replace them.
    pub voters: Vec<Name>,
    /// Timing of the leases on roles.
    pub lease: LeaseSettings,
    /// Interval of the replicated log's ticks, at which a leader sends heartbeats.
    pub tick: Duration,
    /// Number of ticks without a leader's heartbeat before an election.
    pub election_ticks: usize,
}

/// The configuration of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The agent's name, unique in the fleet.
    pub name: Name,
    /// The agent's machine, for display; may be empty.
    pub machine: String,
    /// The agent's zone; may be empty.
    pub zone: String,
    /// Folder of the agent's persisted state.
    pub state_dir: PathBuf,
    /// Address at which the agent receives datagrams and calls from other agents.
    pub listen: SocketAddr,
    /// Address to which other agents send datagrams and calls.
    pub advertise: SocketAddr,
    /// Addresses of the agents through which this one joins the fleet. Its own is ignored.
    pub seeds: Vec<SocketAddr>,
    /// Settings of membership, with the name of the fleet.
    pub membership: MembershipSettings,
    /// Address of the agent's HTTP interface for operators.
    pub operator_addr: SocketAddr,
    /// The voters, and the timing of leases and of the replicated log.
    pub coordination: CoordinationConfig,
    /// Thresholds of alarms.
    pub alarms: AlarmSettings,
    /// The node, if the agent runs one.
    pub node: Option<NodeConfig>,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// The least severe level that is logged.
    pub log_level: tracing::Level,
}

impl Config {
    /// Reads and parses a file.
    ///
    /// # Errors
    /// If the file can't be read or is invalid.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        Config::parse(&text).map_err(|problems| ConfigError::Invalid {
            path: path.to_owned(),
            problems,
        })
    }

    /// Parses the content of a file.
    ///
    /// # Errors
    /// All problems of the content, ordered by line.
    pub fn parse(text: &str) -> Result<Config, Vec<Problem>> {
        let collector = ProblemCollector::new(text);
        let config = match DeTable::parse(text) {
            Ok(table) => parse::parse(&collector, table.get_ref()),
            Err(error) => {
                let position = error.span().map(|span| span.start);
                collector.add(position, "the file", error.message());
                None
            }
        };
        let problems = collector.into_problems();
        config.filter(|_| problems.is_empty()).ok_or(problems)
    }
}

#[cfg(test)]
mod tests;
