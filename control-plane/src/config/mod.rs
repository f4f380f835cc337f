//! The agent's configuration: one TOML file, accepted completely or rejected with every problem in it.

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

/// A file with every key, for `balancer-agent example`.
pub const EXAMPLE: &str = include_str!("example.toml");

/// A configuration file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// Its content is invalid.
    #[error("{path}: {}", describe(.problems))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Every problem in it.
        problems: Vec<Problem>,
    },
}

/// The number of problems, and one line for each.
fn describe(problems: &[Problem]) -> String {
    let count = if problems.len() == 1 {
        "1 fault".to_owned()
    } else {
        format!("{} faults", problems.len())
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

/// A text that names no log format.
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
    pub operators: SocketAddr,
    /// Timeouts and limits of its supervision.
    pub supervision: SupervisorSettings,
}

/// The voters of the replicated log, and its timing.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationConfig {
    /// Names of the first voters; empty for a fleet without coordination.
    pub voters: Vec<Name>,
    /// Leases on roles.
    pub lease: LeaseSettings,
    /// Tick of the replicated log: a leader's heartbeat interval.
    pub tick: Duration,
    /// Ticks without a leader before an election.
    pub election_ticks: usize,
}

/// The configuration of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The agent's name.
    pub name: Name,
    /// Its machine, for display.
    pub machine: String,
    /// Its zone.
    pub zone: String,
    /// Folder of persisted state.
    pub state_dir: PathBuf,
    /// Address on which datagrams and calls of other agents arrive.
    pub listen: SocketAddr,
    /// Address to which other agents send them.
    pub advertise: SocketAddr,
    /// Addresses to join by.
    pub seeds: Vec<SocketAddr>,
    /// Settings of membership, with the name of the fleet.
    pub membership: MembershipSettings,
    /// Address of the agent's HTTP interface for operators.
    pub operators: SocketAddr,
    /// Coordination of roles.
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
    /// Reads a file.
    ///
    /// # Errors
    /// If it can't be read, or is invalid.
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
    /// Every problem in it.
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
